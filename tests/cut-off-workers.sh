#!/usr/bin/env bash
# Tests daemon processes against the stand-in platform: workers that run on are missing in the worker
# list, and some cannot be reached, while their pool changes owners.  None of their tasks runs twice.
set -euo pipefail
cd "$(dirname "$0")/.."
B=build OUT=out/cut-off-workers WORKERS=12
rm -rf "$OUT"; mkdir -p "$OUT"
source tools/ports.sh
source tests/daemons.sh
base=$(free_block 20000 50 200 $(seq 0 39)) || { echo "no ports are free"; exit 1; }
declare -A PID
trap 'kill -CONT ${PID[*]} 2> /dev/null || true; kill ${PID[*]} 2> /dev/null || true' EXIT
port() { echo $((base + 20 + $1 * 4)); }
number() { curl -s "http://127.0.0.1:$base/$1" | grep -o "\"$2\":[0-9]*" | cut -d: -f2; } # PATH NAME
call() { # DAEMON METHOD JOB [BODY]: prints the status
  curl -s --max-time 5 -o "$OUT/answer.$1" -w '%{http_code}' -X "$2" -H 'Host: h.example' ${4:+-d "$4"} "http://127.0.0.1:$(port "$1")/q/$(job "$3")" || true
}
submitted() { [ "$(call "$1" POST "$2" "$3")" = 200 ]; }
state_is() { [ "$(call "$1" GET "$2")" = 200 ] && grep -q "\"$3\"" "$OUT/answer.$1"; }
n_run() { [ "$(number "running?job=$(job "$1")" running)" = "$2" ]; }
workers_of() { local k; for ((k = 0; k < WORKERS; k++)); do [ "$(number "running?job=$(job "$1")&worker=$k" running)" = 0 ] || echo $k; done; } # JOB
n_listed() { [ "$(number listed listed)" = "$1" ]; }
no_run_twice() { [ "$(number audit doubled)" = 0 ] || die "$1: a task ran twice at the workers: $(curl -s "http://127.0.0.1:$base/audit")"; }
owner() { # the daemon that has completed the recovery of the pool, once the store assigns the pool to it
  local d p owners
  owners=$(curl -s "http://127.0.0.1:$base/api/log-owners?group=owners" | tr -d ' ')
  for d in "${!PID[@]}"; do
    [ "$d" != platform ] && grep -E 'POOL_(SETTLED|LOST)|PROCESS_STARTED' "$OUT/d$d.log" | tail -1 | grep -q SETTLED || continue
    p=$(grep -o 'POOL_TAKEN partition=[0-9]*' "$OUT/d$d.log" | tail -1 | grep -o '[0-9]*$')
    grep -q ",$p,\"127.0.0.1:$(($(port "$d") + 2))/" <<< "$owners" && echo "$d" && return
  done
  return 1
}
three_members() { [ "$(curl -s "http://127.0.0.1:$base/api/log-owners?group=owners" | grep -o '127.0.0.1:[0-9]*/[0-9]*' | sort -u | wc -l)" = 3 ]; }
lines() { cat "$OUT"/d?.log | grep -c " $1 " || true; } # EVENT
# Waits until another owner has received answers from a majority of the workers.
note_owners() { epochs=$(number audit epochs) majorities=$(lines POOL_MAJORITY); }
has_next_owner() { [ "$(number audit epochs)" -gt "$epochs" ] && [ "$(lines POOL_MAJORITY)" -gt "$majorities" ]; }
cut_off() { local k; for k in "$@"; do control '{"refuse-connections":'"$k"',"for-ms":600000}'; done; } # WORKER...
# Makes the store unavailable and waits until the entries of all workers have expired.
expire_entries() {
  local k
  control '{"outage":true}'
  for ((k = 0; k < WORKERS; k++)); do control '{"unlisted":'$k',"for-ms":600000}'; done
  until_true n_listed 0 || die "the entries of the workers do not expire"
}
renew_entries_but() { # WORKER...: the store is back, and all other workers renew their entries
  local k
  for ((k = 0; k < WORKERS; k++)); do [[ " $* " == *" $k "* ]] || control '{"unlisted":'$k',"for-ms":0}'; done
  control '{"outage":false}'
}
restart() { kill -9 "${PID[$1]}" 2> /dev/null || true; wait "${PID[$1]}" 2> /dev/null || true; start_daemon "$1"; } # DAEMON
calm() { until_true three_members && owner_now=$(until_true owner) && until_true n_listed "$1"; } # WORKERS-LISTED
tasks() { echo '{"spec":"600000","phases":[{"count":'"$1"',"cpu":2000,"mem-mb":100,"estimate-ms":60000}]}'; } # N

$B/standins/standin-platform "$base" $WORKERS > "$OUT/platform.log" 2>&1 & PID[platform]=$!
until_true curl -s -o /dev/null "http://127.0.0.1:$base/audit" || die "the stand-in does not answer"
new=(10 11) # started for the last step
for k in "${new[@]}"; do control '{"worker":'"$k"',"up":false}'; done
for d in 0 1 2; do start_daemon $d; done
for d in 0 1 2; do until_true ready $d || die "daemon $d is not ready"; done

step "the owner is killed while workers are cut off and not listed: their tasks run on or end, and do not start again"
calm 10 || die "the pool has no owner"
until_true submitted 0 1 "$(tasks 10)" || die "the job was not accepted"
until_true n_run 1 10 || die "the job does not run"
until_true submitted 1 2 "$(tasks 2)" || die "the job was not accepted"
until_true n_run 2 2 || die "the job does not run"
mapfile -t cut < <(workers_of 2)
expire_entries
note_owners
cut_off "${cut[@]}"
control '{"finish":"'"$(job 2)"'"}'
restart "$owner_now"
renew_entries_but "${cut[@]}"
until_true has_next_owner || die "the pool has no next owner"
sleep 1
control '{"healthy":true}'
no_run_twice "owner killed"
until_true state_is 0 2 completed || die "the ends on the workers that were cut off are not counted: $(cat "$OUT/answer.0")"
until_true n_run 1 10 || die "$(number "running?job=$(job 1)" running) of 10 tasks run"
no_run_twice "after the cut"

step "the owner is suspended while one worker is cut off and another one has gone: only the tasks of the latter start again"
calm 10 || die "the pool has no owner"
until_true submitted 2 3 "$(tasks 2)" || die "the job was not accepted"
until_true n_run 3 2 || die "the job does not run"
mapfile -t cut < <(workers_of 3)
gone=$(workers_of 1 | grep -vxFf <(workers_of 3) | tail -1) || die "no other worker runs tasks"
expire_entries
note_owners
cut_off "${cut[@]}" "$gone"
control '{"crash":'"$gone"',"for-ms":600000}'
control '{"finish":"'"$(job 3)"'"}'
kill -STOP "${PID[$owner_now]}"
renew_entries_but "${cut[@]}" "$gone"
until_true has_next_owner || die "the pool has no next owner"
kill -CONT "${PID[$owner_now]}"
sleep 1
for k in "${cut[@]}"; do control '{"refuse-connections":'"$k"',"for-ms":0}'; done
no_run_twice "owner suspended"
until_true state_is "$owner_now" 3 completed || die "the ends on the workers that were cut off are not counted: $(cat "$OUT/answer.$owner_now")"
until_true n_run 1 10 || die "$(number "running?job=$(job 1)" running) of 10 tasks run"
no_run_twice "after the cut"

step "the owner is killed while workers that were listed a moment before the outage are not listed"
calm 9 || die "the pool has no owner"
until_true submitted 0 4 "$(tasks 34)" || die "the job was not accepted"
until_true n_run 4 26 || die "$(number "running?job=$(job 4)" running) of 26 tasks run"
control '{"worker":'"${new[0]}"',"up":true}'
until_true n_run 4 30 || die "no tasks start on the new worker"
control '{"reject-appends":true}'
control '{"worker":'"${new[1]}"',"up":true}'
is_heard() { grep -q " POOL_WORKER_HEARD worker=i-${new[1]}[@ ]" "$OUT/d$owner_now.log"; }
until_true is_heard || die "the new worker is not polled"
sleep 0.2
expire_entries
control '{"reject-appends":false}'
control '{"finish":"'"$(job 1)"'"}'
note_owners
restart "$owner_now"
renew_entries_but "${new[@]}"
until_true has_next_owner || die "the pool has no next owner"
sleep 1
control '{"healthy":true}'
no_run_twice "new workers"
until_true state_is 0 1 completed || die "the ends during the outage are not counted: $(cat "$OUT/answer.0")"
until_true n_run 4 34 || die "$(number "running?job=$(job 4)" running) of 34 tasks run"
no_run_twice "after the outage"
audit_result=$(curl -s "http://127.0.0.1:$base/audit")
grep -q '"doubled":0,"over-capacity":0' <<< "$audit_result" || die "the audit of the workers has a violation: $audit_result"
echo "cut-off workers: ok, $(number audit started) starts of 48 tasks"
