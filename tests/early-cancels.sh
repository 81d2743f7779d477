#!/usr/bin/env bash
# Jobs that are cancelled before their submission is stored do not run, whoever owns the pool then.
set -euo pipefail
cd "$(dirname "$0")/.."
B=build OUT=out/early-cancels
rm -rf "$OUT"; mkdir -p "$OUT"
source tools/ports.sh
source tests/daemons.sh
base=$(free_block 20000 50 200 $(seq 0 39)) || { echo "no ports are free"; exit 1; }
declare -A PID
trap 'kill -CONT ${PID[*]} 2> /dev/null || true; kill ${PID[*]} 2> /dev/null || true' EXIT
port() { echo $((base + 20 + $1 * 4)); }
url() { echo "http://127.0.0.1:$(port "$1")/q/$(job "$2")"; } # DAEMON JOB
body='{"spec":"600000","phases":[{"count":2,"cpu":1000,"mem-mb":100,"long-running":true}]}'
call() { # DAEMON METHOD JOB: prints the status
  curl -s --max-time 5 -o "$OUT/answer" -w '%{http_code}' -X "$2" -H 'Host: h.example' \
    ${4:+-d "$4"} "$(url "$1" "$3")" || true
}
submitted() { [ "$(call "$1" POST "$2" "$body")" = 200 ]; } # DAEMON JOB
cancel() { # DAEMON JOB
  local status; status=$(call "$1" DELETE "$2")
  [ "$status" = 200 ] || [ "$status" = 410 ] || die "daemon $1 answered the cancel of job $2 with $status"
  control "{\"cancelled\":\"$(job "$2")\"}"
}
state_is() { [ "$(call "$1" GET "$2")" = 200 ] && grep -q "\"$3\"" "$OUT/answer"; } # DAEMON JOB STATE
n_run() { [ "$(curl -s "http://127.0.0.1:$base/running?job=$(job "$1")" | grep -o '[0-9]*')" = "$2" ]; }
started() { curl -s "http://127.0.0.1:$base/started?job=$(job "$1")" | grep -q true; }
owner() { local p; p=$(member_of 7) && echo $(((p - base - 22) / 4)); }
others() { local d o; o=$(owner); for d in 0 1 2; do [ $d = "$o" ] || echo $d; done; }
owner_is_not() { local d; d=$(owner) && [ "$d" != "$1" ] && ready "$d"; }
never_runs() { # JOB
  local d
  for d in 0 1 2; do until_true state_is $d "$1" cancelled || die "daemon $d shows the cancelled job $1 as $(cat "$OUT/answer")"; done
  ! started "$1" || die "a task of job $1 started after its cancel was acknowledged"
}

$B/standins/standin-platform "$base" 6 > "$OUT/platform.log" 2>&1 & PID[platform]=$!
for d in 0 1 2; do start_daemon $d; done
for d in 0 1 2; do until_true ready $d || die "daemon $d is not ready"; done
until_true submitted 0 1 || die "the job was not accepted"
until_true n_run 1 2 || die "the job does not run"
started 1 || die "the stand-in does not tell that the job was started"
until_true owner_is_not none || die "the pool has no owner"

step "a cancel that arrives before the submission, at each daemon"
k=10
for d in 0 1 2; do
  for e in 0 1 2; do
    cancel $d $k
    submitted $e $k || die "daemon $e did not accept job $k"
    never_runs $k
    k=$((k + 1))
  done
done

step "a submission in doubt that the store carries out after the cancel"
control '{"store-faults":true,"late":100,"late-ms":7000,"for-ms":30000}'
status=$(call 0 POST 30 "$body")
[ "$status" = 504 ] || die "the submission was answered $status"
sleep 2 # until no daemon repeats the append
control '{"healthy":true}'
cancel 1 30
never_runs 30

step "a cancel before the submission, and an owner that is killed in between"
was=$(owner)
a=$(others | head -1) b=$(others | tail -1)
cancel "$a" 40
kill -9 "${PID[$was]}"; wait "${PID[$was]}" 2> /dev/null || true
until_true owner_is_not "$was" || die "no daemon takes the pool over"
until_true submitted "$b" 40 || die "the job was not accepted"
start_daemon "$was"
until_true ready "$was" || die "daemon $was is not ready again"
never_runs 40

step "a cancel before the submission, and all daemons are killed after it"
cancel 0 50
submitted 1 50 || die "the job was not accepted"
for d in 0 1 2; do kill -9 "${PID[$d]}"; wait "${PID[$d]}" 2> /dev/null || true; done
for d in 0 1 2; do start_daemon $d; done
for d in 0 1 2; do until_true ready $d || die "daemon $d is not ready again"; done
never_runs 50

step "no task of a cancelled job starts later"
sleep 3.2
for k in 10 11 12 13 14 15 16 17 18 30 40 50; do never_runs $k; done

step "other jobs run on"
n_run 1 2 || die "the job that was not cancelled does not run"
submitted 0 60 || die "the job was not accepted"
until_true n_run 60 2 || die "the job does not run"

step "metrics tell of kept cancels and of the ends of cancelled runs"
metric() { local d; for d in 0 1 2; do curl -s "http://127.0.0.1:$(($(port $d) + 3))/metrics"; done | awk -v name="$1" '$1 == name { n += $2 } END { print n + 0 }'; }
is_kept() { [ "$(metric flamingobarrow_cancels_kept_total)" = 1 ]; } # all daemons are new
cancel 1 61
until_true is_kept || die "the kept cancel is not counted"
was=$(metric flamingobarrow_cancel_ms_count)
cancel 0 60
until_true n_run 60 0 || die "the cancelled job runs"
ended() { [ $(($(metric flamingobarrow_cancel_ms_count) - was)) = 2 ]; }
until_true ended || die "the ends of the runs of the cancelled job are not counted"
audit=$(curl -s "http://127.0.0.1:$base/audit")
for counter in cancelled-started cancelled-at-work; do
  grep -q "\"$counter\":0[,}]" <<< "$audit" || die "the workers' audit: $audit"
done
echo "early cancels: ok"
