#!/usr/bin/env bash
# Real daemons against a stand-in of the platform: what the scripts of pools cannot show.
# Waits for conditions, never for times; the stand-in's workers tell what really ran.
set -euo pipefail
cd "$(dirname "$0")/.."
B=build OUT=out/platform
rm -rf "$OUT"; mkdir -p "$OUT"
source tools/ports.sh
base=$(free_block 20000 50 200 0 20) || { echo "no ports are free"; exit 1; }
declare -A PID
trap 'kill ${PID[*]} 2> /dev/null || true' EXIT
say() { echo "-- $1"; }
die() { echo "$1"; exit 1; }
until_true() { local end=$((SECONDS + 45)); while [ $SECONDS -lt $end ]; do "$@" && return 0; sleep 0.01; done; return 1; }
port() { echo $((base + 20 + $1 * 4)); }

settings() { # INDEX
  cat <<INI
[daemon]
name=d$1
domain=z$1
grace=6s
[listen]
callers=127.0.0.1:$(port "$1")
readiness=127.0.0.1:$(($(port "$1") + 1))
peers=127.0.0.1:$(($(port "$1") + 2))
metrics=127.0.0.1:$(($(port "$1") + 3))
[store]
address=127.0.0.1:$base
partitions=32
shortest-membership=1000ms
[workers]
longest-lease=6000ms
longest-stop=200ms
gang-patience=3000ms
INI
}
start_daemon() { # INDEX
  settings "$1" > "$OUT/d$1.ini"
  $B/flamingobarrowd --settings "$OUT/d$1.ini" >> "$OUT/d$1.log" 2>&1 &
  PID[$1]=$!
}
ask() { # DAEMON METHOD JOB [BODY]
  curl -s --max-time 5 -o "$OUT/answer" -w '%{http_code}' -X "$2" -H 'Host: h.example' ${4:+-d "$4"} "http://127.0.0.1:$(port "$1")/q/$3" || true
}
job() { printf '%016x' "$1"; }
steps='{"spec":"150","phases":[{"count":3,"cpu":2000,"mem-mb":100,"estimate-ms":150},{"count":1,"cpu":2000,"mem-mb":100,"estimate-ms":150,"after":[0]}]}'
submitted() { [ "$(ask "$1" POST "$(job "$2")" "$steps")" = 200 ]; }
is() { [ "$(ask "$1" GET "$(job "$2")")" = 200 ] && grep -q "\"$3\"" "$OUT/answer"; }
ready() { [ "$(curl -s -o /dev/null -w '%{http_code}' "http://127.0.0.1:$(($(port "$1") + 1))/api/readyz")" = 200 ]; }
owner() { # the daemon that settled the pool last in this life and has not lost it
  local d; for d in "${!PID[@]}"; do
    [ "$d" != platform ] && [ "$(grep -E 'POOL_(SETTLED|LOST)|PROCESS_STARTED' "$OUT/d$d.log" | tail -1 | grep -c SETTLED)" = 1 ] && kill -0 "${PID[$d]}" 2> /dev/null && echo "$d" && return
  done; return 1; }
members() { curl -s "http://127.0.0.1:$base/api/log-owners?group=owners" | grep -o '127.0.0.1:[0-9]*/[0-9]*' | sort -u | wc -l; }
two_members() { [ "$(members)" = 2 ]; }
dealt_to_owner() { # nothing moves any more: the store's owner of the pool is the one that settled it
  local d p; two_members && d=$(owner) || return 1
  p=$(grep -o 'POOL_TAKEN partition=[0-9]*' "$OUT/d$d.log" | tail -1 | grep -o '[0-9]*$')
  curl -s "http://127.0.0.1:$base/api/log-owners?group=owners" | tr -d ' ' | grep -q ",$p,\"127.0.0.1:$(($(port "$d") + 2))/"; }
# Sets OF_POOL to the owner of a pool that rests.  The owner is read with the condition: a daemon that
# was cut off for longer than its time to live may join, and give its pool up, right after it.
rests() { dealt_to_owner && of_pool=$(owner); }
audit() { curl -s "http://127.0.0.1:$base/audit"; }

say "settings are checked, the error names file, group and key"
{ settings 0; echo crashes=1; } > "$OUT/bad.ini"
told=$($B/flamingobarrowd --check --settings "$OUT/bad.ini" 2>&1) && die "a limit of one crash was taken"
[[ $told == *"bad.ini: [workers] crashes: expected a whole number from 2 to 8"* ]] || die "the error says: $told"
settings 0 | sed 's/^peers=.*/&\nadvertised-peers=elsewhere/' > "$OUT/bad.ini"
told=$($B/flamingobarrowd --check --settings "$OUT/bad.ini" 2>&1) && die "an advertised address without a port was taken"
[[ $told == *"bad.ini: [listen] advertised-peers: expected IP:PORT"* ]] || die "the error says: $told"

say "SIGHUP before a daemon has read its settings does not end it"
mkfifo "$OUT/late.ini"
$B/flamingobarrowd --settings "$OUT/late.ini" > "$OUT/late.log" 2>&1 & early=$!
exec 3> "$OUT/late.ini" # opens once the daemon opens the other end
kill -HUP $early
echo "not settings" > "$OUT/late.next"; mv "$OUT/late.next" "$OUT/late.ini"
exec 3>&-
end=0; wait $early || end=$?
[ "$end" = 3 ] || die "it ended with $end, not for its settings: $(cat "$OUT/late.log")"

$B/standins/standin-platform "$base" 6 & PID[platform]=$!
for d in 0 1 2; do start_daemon $d; done
for d in 0 1 2; do until_true ready $d || die "daemon $d is not ready"; done
until_true owner > /dev/null || die "nobody owns the pool"

say "a job at one daemon is done and known at the others; the same id again is the same job"
until_true submitted 0 1 || die "the job was not taken"
submitted 1 1 || die "the job was not taken again"
until_true is 2 1 completed || die "the job did not complete"

say "bad requests: a clear refusal each"
[ "$(ask 0 POST "$(job 2)" '{"spec":1}')" = 400 ] || die "a bad job was taken"
[ "$(ask 0 POST nonsense "$steps")" = 404 ] || die "a bad id was taken"
[ "$(ask 0 GET "$(job 99)")" = 410 ] || die "a job that nobody submitted is known"
[ "$(curl -s -o /dev/null -w '%{http_code}' -H 'Host: other' "http://127.0.0.1:$(port 0)/q/")" = 404 ] || die "another host's queue was found"

say "a task that crashes its workers is given up, and what runs beside it is done"
crash='{"spec":"crash 100","phases":[{"count":1,"cpu":2000,"mem-mb":100,"estimate-ms":100}]}'
[ "$(ask 1 POST "$(job 5)" "$crash")" = 200 ] || die "the job that crashes workers was not taken"
for n in 6 7 8; do submitted $((n % 3)) $n || die "job $n was not taken"; done
until_true is 0 5 failed || die "the job that crashes workers has not failed"
for n in 6 7 8; do until_true is 2 $n completed || die "job $n did not complete beside it"; done
audit | grep -q '"started-too-often":0' || die "it was started too often: $(audit)"
[ "$(audit | grep -o '"crashes":[0-9]*' | cut -d: -f2)" -le 4 ] || die "it crashed too many workers: $(audit)"

say "workers carry starts out without an answer and refuse copies of them: no task runs in two places"
curl -s -d '{"lose-answers":true}' "http://127.0.0.1:$base/control" > /dev/null
for n in $(seq 60 69); do submitted $((n % 3)) "$n" || die "job $n was not taken"; done
for n in $(seq 60 69); do until_true is 0 "$n" completed || die "job $n did not complete"; done
curl -s -d '{"lose-answers":false}' "http://127.0.0.1:$base/control" > /dev/null
audit | grep -q '"doubled":0' || die "workers saw a task twice: $(audit)"

say "workers come back under the ids that they had: nothing that is done runs again, what lasts runs on"
lasting='{"spec":"600000","phases":[{"count":4,"cpu":2000,"mem-mb":100,"long-running":true}]}'
crash_worker() { curl -s -d "{\"crash\":$1,\"for-ms\":300,\"returns\":true}" "http://127.0.0.1:$base/control" > /dev/null; }
running() { curl -s "http://127.0.0.1:$base/running?job=$1" | grep -o '[0-9]*'; }
four_run() { [ "$(running "$(job 4)")" = 4 ]; }
[ "$(ask 0 POST "$(job 4)" "$lasting")" = 200 ] || die "the lasting job was not taken"
until_true four_run || die "the lasting job does not run"
for k in 0 1 2 3 4 5; do
  for n in 0 1 2 3; do submitted $((n % 3)) $((70 + 4 * k + n)) || die "a job was not taken"; done
  crash_worker $k
  for n in 0 1 2 3; do until_true is 0 $((70 + 4 * k + n)) completed || die "job $((70 + 4 * k + n)) did not complete"; done
done
until_true four_run || die "$(running "$(job 4)") of 4 lasting tasks run after their workers came back"
[ "$(ask 1 DELETE "$(job 4)")" = 200 ] || die "the cancel was not taken"
audit | grep -q '"doubled":0' || die "workers saw a task twice: $(audit)"

say "a cancelled job ends, and its tasks with it"
long='{"spec":"600000","phases":[{"count":2,"cpu":2000,"mem-mb":100,"long-running":true}]}'
[ "$(ask 0 POST "$(job 3)" "$long")" = 200 ] || die "the lasting job was not taken"
until_true is 1 3 running || die "the lasting job does not run"
[ "$(ask 2 DELETE "$(job 3)")" = 200 ] || die "the cancel was not taken"
until_true is 0 3 cancelled || die "the job is not cancelled"

say "the owner is killed with work running: another takes over, nothing runs twice"
for n in $(seq 10 19); do submitted $((n % 3)) "$n" || die "job $n was not taken"; done
dead=$(owner)
kill -9 "${PID[$dead]}"; wait "${PID[$dead]}" 2> /dev/null || true
unset "PID[$dead]"
left=("${!PID[@]}"); left=("${left[@]/platform/}")
for d in "${left[@]}"; do [ -n "$d" ] && alive=$d; done
for n in $(seq 10 19); do until_true is "$alive" "$n" completed || die "job $n did not complete after the owner's death"; done

say "all daemons are killed and start again at once: none waits until those before are forgotten"
curl -s -d '{"patient":true}' "http://127.0.0.1:$base/control" > /dev/null # forgets nobody
for d in "${left[@]}"; do [ -n "$d" ] && kill -9 "${PID[$d]}" && { wait "${PID[$d]}" 2> /dev/null || true; }; done
for d in "${left[@]}"; do [ -n "$d" ] && start_daemon "$d"; done
for d in "${left[@]}"; do [ -z "$d" ] || until_true ready "$d" || die "daemon $d is not ready again"; done
until_true two_members || die "the processes before stay in the group: $(members) members"
until_true submitted "$alive" 20 || die "no job is taken after all were killed"
until_true is "$alive" 20 completed || die "that job did not complete"
curl -s -d '{"patient":false}' "http://127.0.0.1:$base/control" > /dev/null

say "the store is away: refused at once and truly not stored; back: taken again"
curl -s -d '{"outage":true}' "http://127.0.0.1:$base/control" > /dev/null
refused() { [ "$(ask "$alive" POST "$(job 30)" "$steps")" = 503 ]; }
until_true refused || die "a job was not refused while the store was away"
curl -s -d '{"outage":false}' "http://127.0.0.1:$base/control" > /dev/null
until_true submitted "$alive" 31 || die "a job was not taken after the store was back"
until_true is "$alive" 31 completed || die "that job did not complete"
[ "$(ask "$alive" GET "$(job 30)")" = 410 ] || die "the refused job is known"

say "the store takes calls and answers none: callers are refused, and nothing is sent"
curl -s -d '{"silent":true}' "http://127.0.0.1:$base/control" > /dev/null
refused_unsent() { [ "$(ask "$alive" POST "$(job 32)" "$steps")" = 503 ]; }
until_true refused_unsent || die "no caller was refused while the store was silent"
curl -s -d '{"silent":false}' "http://127.0.0.1:$base/control" > /dev/null
until_true submitted "$alive" 33 || die "a job was not taken after the store spoke again"
until_true is "$alive" 33 completed || die "that job did not complete"

say "the store is away from one daemon alone: a peer stores what its callers hand in"
store_at() { sed -i "s/^address=.*/address=127.0.0.1:$2/" "$OUT/d$1.ini"; kill -HUP "${PID[$1]}"; }
reloads() { grep -c SETTINGS_RELOADED "$OUT/d$1.log" || true; }
before=$(reloads "$alive")
store_at "$alive" $((base + 19)) # nobody listens there
reloaded() { [ "$(reloads "$alive")" -gt "$before" ]; }
until_true reloaded || die "the settings were not loaded again"
[ "$(ask "$alive" POST "$(job 34)" "$steps")" = 200 ] || die "a job was refused although a peer reaches the store"
for d in "${left[@]}"; do [ -n "$d" ] && [ "$d" != "$alive" ] && other=$d; done
until_true is "$other" 34 completed || die "the job that a peer stored did not complete"
before=$(reloads "$alive")
store_at "$alive" "$base"
until_true reloaded || die "the settings were not loaded again"
until_true ready "$alive" || die "the daemon is not ready again"

say "the store is away from the owner alone, and nobody replaces it: its ends are recorded through a peer"
until_true rests || die "the pool does not come to rest"
curl -s -d '{"patient":true}' "http://127.0.0.1:$base/control" > /dev/null # forgets nobody
cut=$of_pool before=$(reloads "$of_pool")
reloaded() { [ "$(reloads "$cut")" -gt "$before" ]; }
store_at "$cut" $((base + 19))
until_true reloaded || die "the settings were not loaded again"
for d in "${left[@]}"; do [ -n "$d" ] && [ "$d" != "$cut" ] && other=$d; done
until_true submitted "$other" 35 || die "the job was not taken"
until_true is "$other" 35 completed || die "the end of a job is not shown while the store turns its owner away"
[ "$(owner)" = "$cut" ] || die "the pool has another owner"
before=$(reloads "$cut")
store_at "$cut" "$base"
until_true reloaded || die "the settings were not loaded again"
until_true ready "$cut" || die "the daemon is not ready again"
curl -s -d '{"patient":false}' "http://127.0.0.1:$base/control" > /dev/null

say "the store is away from the owner alone: a peer tells it who owns the pool now"
until_true rests || die "the pool does not come to rest"
cut=$of_pool before=$(reloads "$of_pool")
reloaded() { [ "$(reloads "$cut")" -gt "$before" ]; }
store_at "$cut" $((base + 19))
until_true reloaded || die "the settings were not loaded again"
moved() { local now; now=$(owner) && [ "$now" != "$cut" ]; }
until_true moved || die "nobody took the pool over"
until_true is "$cut" 34 completed || die "callers of the daemon that is cut off do not learn of their job"
before=$(reloads "$cut")
store_at "$cut" "$base"
until_true reloaded || die "the settings were not loaded again"
until_true ready "$cut" || die "the daemon is not ready again"

say "a daemon stands still and loses its pool: its lines tell that it was its loop, and its join"
until_true rests || die "the pool does not come to rest"
still=$of_pool
for d in "${left[@]}"; do [ -n "$d" ] && [ "$d" != "$still" ] && other=$d; done
count() { grep -c "$2" "$OUT/d$1.log" || true; }
before=$(count "$other" POOL_TAKEN) from=$(wc -l < "$OUT/d$still.log")
taken_over() { [ "$(count "$other" POOL_TAKEN)" -gt "$before" ]; }
kill -STOP "${PID[$still]}"
until_true taken_over || die "nobody took the pool over"
kill -CONT "${PID[$still]}"
tells() { tail -n +$((from + 1)) "$OUT/d$still.log" | grep -E "$1" | grep -qE "$2"; }
until_true tells ' LOOP_LATE ' ' late_ms=[0-9]{3,} ' || die "it does not tell that its loop was late"
until_true tells ' JOIN_LATE ' ' join_gap_ms=[0-9]{4,} ' || die "it does not tell that its join was late"
until_true tells ' POOL_LOST ' ' loop_late_ms=[0-9]{3,}$' || die "it does not tell what it lost its pool with"
until_true ready "$still" || die "the daemon is not ready again"

say "a worker dies with work on it"
for n in $(seq 40 45); do submitted "$alive" "$n" || die "job $n was not taken"; done
curl -s -d '{"worker":2,"up":false}' "http://127.0.0.1:$base/control" > /dev/null
for n in $(seq 40 45); do until_true is "$alive" "$n" completed || die "job $n did not complete after its worker's death"; done

say "a planned stop: the daemon ends by itself, the others go on"
start_daemon "$dead"; until_true ready "$dead" || die "the daemon did not come back"
kill -TERM "${PID[$alive]}"
gone() { ! kill -0 "${PID[$alive]}" 2> /dev/null; }
until_true gone || die "the stopped daemon runs on"
grep -q 'PROCESS_STOPPED' "$OUT/d$alive.log" || die "the stopped daemon did not end as planned"
until_true submitted "$dead" 50 || die "no job is taken after the planned stop"
until_true is "$dead" 50 completed || die "that job did not complete"

say "a planned stop of the owner: whom it asked until its end got an answer, from the next owner"
start_daemon "$alive"; until_true ready "$alive" || die "the daemon did not come back"
stopped=$(owner)
call() { # curl ends with 7 when nobody listens, with 52 or 56 when a request that was read gets no answer
  local end=0 code; code=$(curl -s --max-time 9 -o /dev/null -w '%{http_code}' -H 'Host: h.example' "http://127.0.0.1:$(port "$stopped")/q/$(job 50)") || end=$?
  echo "$end/$code" >> "$OUT/calls"; }
gone() { ! kill -0 "${PID[$stopped]}" 2> /dev/null; }
kill -TERM "${PID[$stopped]}"
calls=()
until gone; do call & calls+=($!); sleep 0.05; done
wait "${calls[@]}"
# A connection that the daemon has not read from when it ends is reset by the kernel (56, 52): it
# was not taken.  What was read is in the daemon's log, and nothing was open at its end.
answered=$(grep -c '^0/200$' "$OUT/calls") || die "no caller was answered during the stop"
! grep -qvE '^(0/200|7/000|56/000|52/000)$' "$OUT/calls" || die "callers were turned away: $(sort "$OUT/calls" | uniq -c | tr '\n' ' ')"
read_n=$(awk '/PROCESS_DRAINING/ { n = 0 } /JOB_ASKED job='"$(job 50)"' / { n++ } END { print n }' "$OUT/d$stopped.log")
[ "$read_n" = "$answered" ] || die "$read_n calls were read and $answered answered"
tail -1 "$OUT/d$stopped.log" | grep -q 'PROCESS_STOPPED .* open=0' || die "calls were open at the end"
unset "PID[$stopped]"
next=$(until_true owner) || die "nobody owns the pool after the stop"
until_true submitted "$next" 51 || die "no job is taken after that stop"
until_true is "$next" 51 completed || die "that job did not complete"

say "the parts of each take-over add up"
grep -h ' POOL_TAKEN ' "$OUT"/d?.log | awk '{ for (i = 1; i <= NF; i++) { split($i, f, "="); v[f[1]] = f[2] }
  bad += v["load_ms"] != v["shut_out_ms"] + v["progress_ms"] + v["jobs_ms"] + v["admit_ms"] || v["jobs"] == "" }
  END { exit bad > 0 || NR == 0 }' || die "the parts of a take-over do not add up"

say "metrics, and what the workers saw"
metrics=$(curl -s "http://127.0.0.1:$(($(port "$next") + 3))/metrics")
grep -q '^flamingobarrow_caller_answer_ms_count [1-9]' <<< "$metrics" || die "no histogram at /metrics"
seen=$(audit)
grep -q '"doubled":0,"over-capacity":0' <<< "$seen" || die "the workers saw $seen"
echo "platform: ok"
