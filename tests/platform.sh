#!/usr/bin/env bash
# Tests daemon processes against the stand-in platform, for what the scripts of pools do not cover.
# Waits for conditions instead of fixed times; its workers report the actual runs.
set -euo pipefail
cd "$(dirname "$0")/.."
B=build OUT=out/platform
rm -rf "$OUT"; mkdir -p "$OUT"
source tools/ports.sh
source tests/daemons.sh
base=$(free_block 20000 50 200 $(seq 0 39)) || { echo "no ports are free"; exit 1; }
declare -A PID
trap 'kill ${PID[*]} 2> /dev/null || true' EXIT
port() { echo $((base + 20 + $1 * 4)); }

send_request() { # DAEMON METHOD JOB [BODY]
  curl -s --max-time 5 -o "$OUT/answer" -w '%{http_code}' -X "$2" -H 'Host: h.example' ${4:+-d "$4"} "http://127.0.0.1:$(port "$1")/q/$3" || true
}
steps='{"spec":"150","phases":[{"count":3,"cpu":2000,"mem-mb":100,"estimate-ms":150},{"count":1,"cpu":2000,"mem-mb":100,"estimate-ms":150,"after":[0]}]}'
submitted() { [ "$(send_request "$1" POST "$(job "$2")" "$steps")" = 200 ]; }
job_state_is() { [ "$(send_request "$1" GET "$(job "$2")")" = 200 ] && grep -q "\"$3\"" "$OUT/answer"; }
owner() { # the running daemon whose last line about the pool since its start is POOL_SETTLED
  local d; for d in "${!PID[@]}"; do
    [ "$d" != platform ] && [ "$(grep -E 'POOL_(SETTLED|LOST)|PROCESS_STARTED' "$OUT/d$d.log" | tail -1 | grep -c SETTLED)" = 1 ] && kill -0 "${PID[$d]}" 2> /dev/null && echo "$d" && return
  done; return 1; }
members() { curl -s "http://127.0.0.1:$base/api/log-owners?group=owners" | grep -o '127.0.0.1:[0-9]*/[0-9]*' | sort -u | wc -l; }
two_members() { [ "$(members)" = 2 ]; }
assigned_to_owner() { # ownership is stable: the store assigns the pool to the daemon that has recovered it
  local d p; two_members && d=$(owner) || return 1
  p=$(grep -o 'POOL_TAKEN partition=[0-9]*' "$OUT/d$d.log" | tail -1 | grep -o '[0-9]*$')
  curl -s "http://127.0.0.1:$base/api/log-owners?group=owners" | tr -d ' ' | grep -q ",$p,\"127.0.0.1:$(($(port "$d") + 2))/"; }
# Succeeds and sets OWNER_NOW when ownership is stable.  Both are read in one step, because a daemon
# that was unreachable for longer than its time to live may join again and lose its pool right after
# a check.
ownership_stable() { assigned_to_owner && owner_now=$(owner); }
audit() { curl -s "http://127.0.0.1:$base/audit"; }

step "invalid settings are rejected; the error names file, group and key"
{ settings 0; echo crashes=1; } > "$OUT/bad.ini"
error=$($B/flamingobarrowd --check --settings "$OUT/bad.ini" 2>&1) && die "a limit of one crash was accepted"
[[ $error == *"bad.ini: [workers] crashes: expected a whole number from 2 to 8"* ]] || die "the error says: $error"
settings 0 | sed 's/^peers=.*/&\nadvertised-peers=elsewhere/' > "$OUT/bad.ini"
error=$($B/flamingobarrowd --check --settings "$OUT/bad.ini" 2>&1) && die "an advertised address without a port was accepted"
[[ $error == *"bad.ini: [listen] advertised-peers: expected IP:PORT"* ]] || die "the error says: $error"

step "SIGHUP before a daemon has read its settings does not end it"
mkfifo "$OUT/late.ini"
$B/flamingobarrowd --settings "$OUT/late.ini" > "$OUT/late.log" 2>&1 & early=$!
exec 3> "$OUT/late.ini" # blocks until the daemon opens the pipe for reading
kill -HUP $early
echo "not settings" > "$OUT/late.next"; mv "$OUT/late.next" "$OUT/late.ini"
exec 3>&-
end=0; wait $early || end=$?
[ "$end" = 3 ] || die "the daemon exited with status $end, not 3 for invalid settings: $(cat "$OUT/late.log")"

$B/standins/standin-platform "$base" 6 & PID[platform]=$!
for d in 0 1 2; do start_daemon $d; done
for d in 0 1 2; do until_true ready $d || die "daemon $d is not ready"; done
until_true owner > /dev/null || die "the pool has no owner"

step "a job completes and all daemons report it; a repeated submission of its id is the same job"
until_true submitted 0 1 || die "the job was not accepted"
submitted 1 1 || die "the repeated submission was not accepted"
until_true job_state_is 2 1 completed || die "the job did not complete"

step "invalid requests are rejected with the right status"
[ "$(send_request 0 POST "$(job 2)" '{"spec":1}')" = 400 ] || die "an invalid job was accepted"
[ "$(send_request 0 POST nonsense "$steps")" = 404 ] || die "an invalid id was accepted"
[ "$(send_request 0 GET "$(job 99)")" = 410 ] || die "a job that was never submitted is known"
[ "$(curl -s -o /dev/null -w '%{http_code}' -H 'Host: other' "http://127.0.0.1:$(port 0)/q/")" = 404 ] || die "another host's queue was found"

step "a job whose task crashes its workers fails, and the other jobs on these workers complete"
crash='{"spec":"crash 100","phases":[{"count":1,"cpu":2000,"mem-mb":100,"estimate-ms":100}]}'
[ "$(send_request 1 POST "$(job 5)" "$crash")" = 200 ] || die "the job that crashes workers was not accepted"
for n in 6 7 8; do submitted $((n % 3)) $n || die "job $n was not accepted"; done
until_true job_state_is 0 5 failed || die "the job that crashes workers has not failed"
for n in 6 7 8; do until_true job_state_is 2 $n completed || die "job $n did not complete next to it"; done
audit | grep -q '"started-too-often":0' || die "the crashing task was started too often: $(audit)"
[ "$(audit | grep -o '"crashes":[0-9]*' | cut -d: -f2)" -le 4 ] || die "the crashing task crashed too many workers: $(audit)"

step "workers execute starts whose replies are lost, and reject the repeated starts: no task runs twice"
curl -s -d '{"lose-answers":true}' "http://127.0.0.1:$base/control" > /dev/null
for n in $(seq 60 69); do submitted $((n % 3)) "$n" || die "job $n was not accepted"; done
for n in $(seq 60 69); do until_true job_state_is 0 "$n" completed || die "job $n did not complete"; done
curl -s -d '{"lose-answers":false}' "http://127.0.0.1:$base/control" > /dev/null
audit | grep -q '"doubled":0' || die "a task ran twice at the workers: $(audit)"

step "workers restart with the same ids: completed tasks do not run again, long-running tasks are restarted"
long_running='{"spec":"600000","phases":[{"count":4,"cpu":2000,"mem-mb":100,"long-running":true}]}'
crash_worker() { curl -s -d "{\"crash\":$1,\"for-ms\":300,\"returns\":true}" "http://127.0.0.1:$base/control" > /dev/null; }
running() { curl -s "http://127.0.0.1:$base/running?job=$1" | grep -o '[0-9]*'; }
four_run() { [ "$(running "$(job "$1")")" = 4 ]; }
# Each pair of crashes has its own long-running job: a task may fail after three workers have crashed
# while it ran there.
for pair in 0 1 2; do
  long_job=$((100 + pair))
  [ "$(send_request 0 POST "$(job $long_job)" "$long_running")" = 200 ] || die "a long-running job was not accepted"
  until_true four_run $long_job || die "long-running job $long_job does not run"
  for k in $((2 * pair)) $((2 * pair + 1)); do
    for n in 0 1 2 3; do submitted $((n % 3)) $((70 + 4 * k + n)) || die "a job was not accepted"; done
    crash_worker $k
    for n in 0 1 2 3; do until_true job_state_is 0 $((70 + 4 * k + n)) completed || die "job $((70 + 4 * k + n)) did not complete"; done
  done
  until_true four_run $long_job || die "$(running "$(job $long_job)") of 4 long-running tasks run after their workers restarted"
  [ "$(send_request 1 DELETE "$(job $long_job)")" = 200 ] || die "the cancel was not accepted"
done
audit | grep -q '"doubled":0' || die "a task ran twice at the workers: $(audit)"

step "a cancelled job and its tasks end"
long='{"spec":"600000","phases":[{"count":2,"cpu":2000,"mem-mb":100,"long-running":true}]}'
[ "$(send_request 0 POST "$(job 3)" "$long")" = 200 ] || die "the long-running job was not accepted"
until_true job_state_is 1 3 running || die "the long-running job does not run"
[ "$(send_request 2 DELETE "$(job 3)")" = 200 ] || die "the cancel was not accepted"
until_true job_state_is 0 3 cancelled || die "the job is not cancelled"

step "the owner is killed while tasks run: another daemon takes over, no task runs twice"
for n in $(seq 10 19); do submitted $((n % 3)) "$n" || die "job $n was not accepted"; done
killed=$(owner)
kill -9 "${PID[$killed]}"; wait "${PID[$killed]}" 2> /dev/null || true
unset "PID[$killed]"
remaining=("${!PID[@]}"); remaining=("${remaining[@]/platform/}")
for d in "${remaining[@]}"; do [ -n "$d" ] && survivor=$d; done
for n in $(seq 10 19); do until_true job_state_is "$survivor" "$n" completed || die "job $n did not complete after the owner was killed"; done

step "all daemons are killed and restarted at once: none waits until the old members have expired"
curl -s -d '{"patient":true}' "http://127.0.0.1:$base/control" > /dev/null # members of the group do not expire
for d in "${remaining[@]}"; do [ -n "$d" ] && kill -9 "${PID[$d]}" && { wait "${PID[$d]}" 2> /dev/null || true; }; done
for d in "${remaining[@]}"; do [ -n "$d" ] && start_daemon "$d"; done
for d in "${remaining[@]}"; do [ -z "$d" ] || until_true ready "$d" || die "daemon $d is not ready again"; done
until_true two_members || die "the killed processes are still in the group: $(members) members"
until_true submitted "$survivor" 20 || die "no job is accepted after all daemons were killed"
until_true job_state_is "$survivor" 20 completed || die "that job did not complete"
curl -s -d '{"patient":false}' "http://127.0.0.1:$base/control" > /dev/null

step "while the store is down, jobs are rejected at once and not stored; afterwards jobs are accepted"
curl -s -d '{"outage":true}' "http://127.0.0.1:$base/control" > /dev/null
rejected() { [ "$(send_request "$survivor" POST "$(job 30)" "$steps")" = 503 ]; }
until_true rejected || die "a job was not rejected while the store was down"
curl -s -d '{"outage":false}' "http://127.0.0.1:$base/control" > /dev/null
until_true submitted "$survivor" 31 || die "a job was not accepted after the store was up again"
until_true job_state_is "$survivor" 31 completed || die "that job did not complete"
[ "$(send_request "$survivor" GET "$(job 30)")" = 410 ] || die "the rejected job was stored"

step "while the store accepts calls without responding, jobs are rejected and not sent to it"
curl -s -d '{"silent":true}' "http://127.0.0.1:$base/control" > /dev/null
rejected_unsent() { [ "$(send_request "$survivor" POST "$(job 32)" "$steps")" = 503 ]; }
until_true rejected_unsent || die "no job was rejected while the store did not respond"
curl -s -d '{"silent":false}' "http://127.0.0.1:$base/control" > /dev/null
until_true submitted "$survivor" 33 || die "a job was not accepted after the store responded again"
until_true job_state_is "$survivor" 33 completed || die "that job did not complete"

step "only one daemon cannot reach the store: a peer stores the jobs of its callers"
store_at() { sed -i "s/^address=.*/address=127.0.0.1:$2/" "$OUT/d$1.ini"; kill -HUP "${PID[$1]}"; }
reloads() { grep -c SETTINGS_RELOADED "$OUT/d$1.log" || true; }
before=$(reloads "$survivor")
store_at "$survivor" $((base + 19)) # no process listens there
reloaded() { [ "$(reloads "$survivor")" -gt "$before" ]; }
until_true reloaded || die "the settings were not reloaded"
[ "$(send_request "$survivor" POST "$(job 34)" "$steps")" = 200 ] || die "a job was rejected although a peer can reach the store"
for d in "${remaining[@]}"; do [ -n "$d" ] && [ "$d" != "$survivor" ] && other=$d; done
until_true job_state_is "$other" 34 completed || die "the job that a peer stored did not complete"
before=$(reloads "$survivor")
store_at "$survivor" "$base"
until_true reloaded || die "the settings were not reloaded"
until_true ready "$survivor" || die "the daemon is not ready again"

step "only the owner cannot reach the store and is not replaced: the ends of its jobs are stored through a peer"
until_true ownership_stable || die "the ownership of the pool does not become stable"
curl -s -d '{"patient":true}' "http://127.0.0.1:$base/control" > /dev/null # members of the group do not expire
isolated=$owner_now before=$(reloads "$owner_now")
reloaded() { [ "$(reloads "$isolated")" -gt "$before" ]; }
store_at "$isolated" $((base + 19))
until_true reloaded || die "the settings were not reloaded"
for d in "${remaining[@]}"; do [ -n "$d" ] && [ "$d" != "$isolated" ] && other=$d; done
until_true submitted "$other" 35 || die "the job was not accepted"
until_true job_state_is "$other" 35 completed || die "the end of a job is not shown while its owner cannot reach the store"
[ "$(owner)" = "$isolated" ] || die "the owner of the pool has changed"
before=$(reloads "$isolated")
store_at "$isolated" "$base"
until_true reloaded || die "the settings were not reloaded"
until_true ready "$isolated" || die "the daemon is not ready again"
curl -s -d '{"patient":false}' "http://127.0.0.1:$base/control" > /dev/null

step "only the owner cannot reach the store: it gets the new owner of the pool from a peer"
until_true ownership_stable || die "the ownership of the pool does not become stable"
isolated=$owner_now before=$(reloads "$owner_now")
reloaded() { [ "$(reloads "$isolated")" -gt "$before" ]; }
store_at "$isolated" $((base + 19))
until_true reloaded || die "the settings were not reloaded"
moved() { local now; now=$(owner) && [ "$now" != "$isolated" ]; }
until_true moved || die "no other daemon took the pool over"
until_true job_state_is "$isolated" 34 completed || die "the daemon without access to the store does not report the state of a job"
before=$(reloads "$isolated")
store_at "$isolated" "$base"
until_true reloaded || die "the settings were not reloaded"
until_true ready "$isolated" || die "the daemon is not ready again"

step "a daemon is suspended and loses its pool: its log reports the delays of its main loop and its join"
until_true ownership_stable || die "the ownership of the pool does not become stable"
paused=$owner_now
for d in "${remaining[@]}"; do [ -n "$d" ] && [ "$d" != "$paused" ] && other=$d; done
count() { grep -c "$2" "$OUT/d$1.log" || true; }
before=$(count "$other" POOL_TAKEN) from=$(wc -l < "$OUT/d$paused.log")
taken_over() { [ "$(count "$other" POOL_TAKEN)" -gt "$before" ]; }
kill -STOP "${PID[$paused]}"
until_true taken_over || die "no other daemon took the pool over"
kill -CONT "${PID[$paused]}"
logged() { tail -n +$((from + 1)) "$OUT/d$paused.log" | grep -E "$1" | grep -qE "$2"; }
until_true logged ' LOOP_LATE ' ' late_ms=[0-9]{3,} ' || die "LOOP_LATE with the delay of the main loop is not logged"
until_true logged ' JOIN_LATE ' ' join_gap_ms=[0-9]{4,} ' || die "JOIN_LATE with the gap between joins is not logged"
until_true logged ' POOL_LOST ' ' loop_late_ms=[0-9]{3,}$' || die "POOL_LOST with the delay of the main loop is not logged"
until_true ready "$paused" || die "the daemon is not ready again"

step "a worker fails while tasks run on it"
for n in $(seq 40 45); do submitted "$survivor" "$n" || die "job $n was not accepted"; done
curl -s -d '{"worker":2,"up":false}' "http://127.0.0.1:$base/control" > /dev/null
for n in $(seq 40 45); do until_true job_state_is "$survivor" "$n" completed || die "job $n did not complete after its worker failed"; done

step "graceful shutdown: the daemon exits, the others continue"
start_daemon "$killed"; until_true ready "$killed" || die "the daemon did not start again"
kill -TERM "${PID[$survivor]}"
has_exited() { ! kill -0 "${PID[$survivor]}" 2> /dev/null; }
until_true has_exited || die "the daemon does not exit after SIGTERM"
grep -q 'PROCESS_STOPPED' "$OUT/d$survivor.log" || die "the daemon did not log a graceful shutdown"
until_true submitted "$killed" 50 || die "no job is accepted after the shutdown"
until_true job_state_is "$killed" 50 completed || die "that job did not complete"

step "graceful shutdown of the owner: every caller whose request was read gets a response"
start_daemon "$survivor"; until_true ready "$survivor" || die "the daemon did not start again"
stopped=$(owner)
call() { # curl exits with 7 when no process listens, with 52 or 56 when the connection is closed without a response
  local end=0 code; code=$(curl -s --max-time 9 -o /dev/null -w '%{http_code}' -H 'Host: h.example' "http://127.0.0.1:$(port "$stopped")/q/$(job 50)") || end=$?
  echo "$end/$code" >> "$OUT/calls"; }
has_exited() { ! kill -0 "${PID[$stopped]}" 2> /dev/null; }
kill -TERM "${PID[$stopped]}"
calls=()
until has_exited; do call & calls+=($!); sleep 0.05; done
wait "${calls[@]}"
# When the daemon exits, the kernel resets connections that it has not read from (52, 56).  Requests
# that were read are in the daemon's log, and none may be open at its exit.
answered=$(grep -c '^0/200$' "$OUT/calls") || die "no caller got a response during the shutdown"
! grep -qvE '^(0/200|7/000|56/000|52/000)$' "$OUT/calls" || die "unexpected results of calls: $(sort "$OUT/calls" | uniq -c | tr '\n' ' ')"
read_n=$(awk '/PROCESS_DRAINING/ { n = 0 } /JOB_ASKED job='"$(job 50)"' / { n++ } END { print n }' "$OUT/d$stopped.log")
[ "$read_n" = "$answered" ] || die "$read_n calls were read, but $answered answered"
tail -1 "$OUT/d$stopped.log" | grep -q 'PROCESS_STOPPED .* open=0' || die "calls were open when the daemon exited"
unset "PID[$stopped]"
next=$(until_true owner) || die "the pool has no owner after the shutdown"
until_true submitted "$next" 51 || die "no job is accepted after the shutdown of the owner"
until_true job_state_is "$next" 51 completed || die "that job did not complete"

step "the logged phases of each takeover add up to its duration"
grep -h ' POOL_TAKEN ' "$OUT"/d?.log | awk '{ for (i = 1; i <= NF; i++) { split($i, f, "="); v[f[1]] = f[2] }
  bad += v["load_ms"] != v["shut_out_ms"] + v["progress_ms"] + v["jobs_ms"] + v["admit_ms"] || v["jobs"] == "" }
  END { exit bad > 0 || NR == 0 }' || die "the phases of a takeover do not add up to its duration"

step "metrics are served, and the audit of the workers has no violation"
metrics=$(curl -s "http://127.0.0.1:$(($(port "$next") + 3))/metrics")
grep -q '^flamingobarrow_caller_answer_ms_count [1-9]' <<< "$metrics" || die "no histogram at /metrics"
audit_result=$(audit)
grep -q '"doubled":0,"over-capacity":0' <<< "$audit_result" || die "the audit of the workers has a violation: $audit_result"
echo "platform: ok"
