#!/usr/bin/env bash
# Tests daemon processes against the stand-in platform while the operator directs a queue from one
# service to another: jobs that are stored already stay where they are and are answered for, and none
# runs twice.
set -euo pipefail
cd "$(dirname "$0")/.."
B=build OUT=out/queue-services
rm -rf "$OUT"; mkdir -p "$OUT"
source tools/ports.sh
source tests/daemons.sh
base=$(free_block 20000 50 200 $(seq 0 39)) || { echo "no ports are free"; exit 1; }
declare -A PID
trap 'kill -CONT ${PID[*]} 2> /dev/null || true; kill ${PID[*]} 2> /dev/null || true' EXIT
port() { echo $((base + 20 + $1 * 4)); }
version=1
# Stores the next version of the configuration.
configure() { # SERVICES QUEUE=SERVICE...
  local services routes= service pair
  services=$(for service in $1; do printf '{"name":"%s"},' "$service"; done); shift
  for pair in "$@"; do
    routes+='{"name":"'${pair%=*}'","host":"h.example","path-prefix":"/'${pair%=*}'/","service":"'${pair#*=}'","max-attempts":3,"stretch-factor":2,"target-duration-ms":1000},'
  done
  version=$((version + 2))
  store_configuration '{"version":'$version',"routes":['"${routes%,}"'],"services":['"${services%,}"']}'
}
in_force() { local d; for d in "${!PID[@]}"; do [ "$d" = platform ] || grep -q "ROUTES_IN_FORCE version=$version " "$OUT/d$d.log" || return 1; done; }
directed() { configure "$@"; until_true in_force || die "version $version is not in force"; }
call() { # DAEMON METHOD PATH [BODY]: prints the status
  curl -s --max-time 5 -o "$OUT/answer.$1" -w '%{http_code}' -X "$2" -H 'Host: h.example' ${4:+-d "$4"} "http://127.0.0.1:$(port "$1")/$3" || true
}
answers() { [ "$(call "$1" "$2" "$3" "${5:-}")" = "$4" ]; }
state_is() { answers "$1" GET "$2" 200 && grep -q "\"$3\"" "$OUT/answer.$1"; }
all_show() { local d; for d in 0 1 2; do state_is $d "$1" "$2" || return 1; done; }
submitted() { answers "$1" POST "$2" 200 "$3"; }
running() { curl -s "http://127.0.0.1:$base/running?job=$(job "$1")" | grep -o '[0-9]*'; }
n_run() { [ "$(running "$1")" = "$2" ]; }
audit() { curl -s "http://127.0.0.1:$base/audit"; }
started() { audit | grep -o '"started":[0-9]*' | cut -d: -f2; }
no_run_twice() { audit | grep -q '"doubled":0' || die "$1: a task ran twice at the workers: $(audit)"; }
given_up() { cat "$OUT"/d?.log | grep -c " JOB_ELSEWHERE job=$(job "$1") " || true; }
is_given_up() { [ "$(given_up "$1")" -ge "${2:-1}" ]; }
restart_all() {
  local d
  for d in 0 1 2; do kill -9 "${PID[$d]}"; wait "${PID[$d]}" 2> /dev/null || true; done
  for d in 0 1 2; do mv "$OUT/d$d.log" "$OUT/d$d.$version.log"; start_daemon $d; done
  for d in 0 1 2; do until_true ready $d || die "daemon $d is not ready again"; done
}
long='{"spec":"60000","phases":[{"count":2,"cpu":2000,"mem-mb":100,"estimate-ms":60000}]}'
lasting='{"spec":"600000","phases":[{"count":2,"cpu":2000,"mem-mb":100,"long-running":true}]}'
short='{"spec":"100","phases":[{"count":2,"cpu":2000,"mem-mb":100,"estimate-ms":100}]}'
filling='{"spec":"60000","phases":[{"count":16,"cpu":2000,"mem-mb":100,"estimate-ms":60000}]}'
# The partitions of svc and svc39 are the same, that of svc2 is another one.
all="svc svc2 svc39" p1=7 p2=6

$B/standins/standin-platform "$base" 8 "" svc2=2,svc39=2 > "$OUT/platform.log" 2>&1 & PID[platform]=$!
until_true curl -s -o /dev/null "http://127.0.0.1:$base/audit" || die "the stand-in does not answer"
configure "$all" q=svc s=svc2
for d in 0 1 2; do start_daemon $d; done
for d in 0 1 2; do until_true ready $d || die "daemon $d is not ready"; done

step "a job that runs is answered for, and not started again by a repeated submission"
until_true submitted 0 "q/$(job 1)" "$long" || die "the job was not accepted"
until_true n_run 1 2 || die "the job does not run"
directed "$all" q=svc2 s=svc2
for d in 0 1 2; do state_is $d "q/$(job 1)" running || die "daemon $d answers $(cat "$OUT/answer.$d")"; done
submitted 1 "q/$(job 1)" "$long" || die "the repeated submission was not accepted"
until_true is_given_up 1 || die "the second service does not give the job up"
all_show "q/$(job 1)" running || die "the job is not shown as running after the repeated submission"
n_run 1 2 || die "$(running 1) tasks run"
no_run_twice "repeated submission"

step "a job that is not known to any service is answered 410"
for d in 0 1 2; do answers $d GET "q/$(job 99)" 410 || die "daemon $d: $(cat "$OUT/answer.$d")"; done
while answers 0 DELETE "q/$(job 99)" 504; do sleep 0.1; done # the store did not answer in time
answers 0 DELETE "q/$(job 99)" 410 || die "the cancel of an unknown job is not answered 410"
for p in $p1 $p2; do
  curl -s "http://127.0.0.1:$base/api/log-newest?topic=keyed.jobs&part=$p" | grep -q "\"c$(job 99)\"" ||
    die "the cancel is not stored in partition $p"
done

step "a cancel reaches the job at its service"
answers 2 DELETE "q/$(job 1)" 200 || die "the cancel was answered $(cat "$OUT/answer.2")"
until_true n_run 1 0 || die "the cancelled job runs on"
until_true all_show "q/$(job 1)" cancelled || die "the job is not shown as cancelled"

step "a new job runs at the new service only"
submitted 0 "q/$(job 2)" "$short" || die "the job was not accepted"
until_true all_show "q/$(job 2)" completed || die "the job did not complete"
! grep -h " TASK_PLACED .*$(job 2)" "$OUT"/d?.log | grep -qE 'worker=i-[0-3][^0-9]' || die "it ran at the earlier service"

step "a job that has completed is not run again after the queue is directed back"
until_true submitted 1 "q/$(job 3)" "$long" || die "the long job was not accepted"
until_true n_run 3 2 || die "the long job does not run"
directed "$all" q=svc s=svc2
all_show "q/$(job 2)" completed || die "the completed job is not shown"
before=$(started)
submitted 0 "q/$(job 2)" "$short" || die "the repeated submission was not accepted"
submitted 0 "q/$(job 3)" "$long" || die "the repeated submission was not accepted"
sleep 0.5
all_show "q/$(job 2)" completed || die "the completed job is shown otherwise after a repeated submission"
all_show "q/$(job 3)" running || die "the long job is not shown as running"
[ "$(started)" = "$before" ] || die "$(($(started) - before)) tasks were started by repeated submissions"

step "the record of a repeated submission at a service that does not have the job is deleted"
stored() { curl -s "http://127.0.0.1:$base/api/log-newest?topic=keyed.jobs&part=$1" | grep -c "\"j$(job "$2")\"" || true; }
is_deleted() { [ "$(stored "$1" "$2")" = 0 ]; }
until_true is_deleted $p1 2 || die "the record of a completed job is left at the first service"
until_true is_deleted $p1 3 || die "the record of a running job is left at the first service"
[ "$(stored $p2 3)" = 1 ] || die "the record of the running job was deleted"

step "such a record is deleted once the store takes writes again"
directed "$all" q=svc2 s=svc2
until_true submitted 0 "q/$(job 5)" "$short" || die "the job was not accepted"
until_true all_show "q/$(job 5)" completed || die "the job did not complete"
until_true is_deleted $p2 5 || die "the record of the completed job is not deleted"
directed "$all" q=svc s=svc2
# The record of the second submission is due to be deleted 1 s after that of the first.
for d in 0 1; do submitted $d "q/$(job 3)" "$long" || die "the repeated submission was not accepted"; done
curl -s -d '{"outage":true,"patient":true}' "http://127.0.0.1:$base/control" > /dev/null # the owner stays
sleep 2
curl -s -d '{"outage":false}' "http://127.0.0.1:$base/control" > /dev/null
until_true is_deleted $p1 3 || die "the record is left after the store was away"
curl -s -d '{"patient":false}' "http://127.0.0.1:$base/control" > /dev/null

step "daemons that start after the change give the same answers"
restart_all
until_true all_show "q/$(job 3)" running || die "the long job is not shown as running: $(cat "$OUT/answer.0")"
all_show "q/$(job 2)" completed || die "the completed job is not shown"
submitted 2 "q/$(job 3)" "$long" || die "the repeated submission was not accepted"
submitted 1 "q/$(job 2)" "$short" || die "the repeated submission was not accepted"
sleep 0.5
n_run 3 2 || die "$(running 3) tasks of the long job run"
no_run_twice "all daemons restarted"
answers 0 DELETE "q/$(job 3)" 200 || die "the cancel was answered $(cat "$OUT/answer.0")"
until_true n_run 3 0 || die "the cancelled job runs on"

step "the owner of the job's pool is killed while a repeated submission arrives"
until_true submitted 0 "q/$(job 4)" "$lasting" || die "the job was not accepted"
until_true n_run 4 2 || die "the job does not run"
directed "$all" q=svc2 s=svc2
until_true owned $p1 || die "the partition has no owner"
killed=$(owner_of $p1)
kill -9 "${PID[$killed]}"; wait "${PID[$killed]}" 2> /dev/null || true
survivor=$(((killed + 1) % 3))
submitted $survivor "q/$(job 4)" "$lasting" || die "the repeated submission was not accepted"
until_true state_is $survivor "q/$(job 4)" running || die "the job is not shown as running after the change of owner"
until_true n_run 4 2 || die "$(running 4) tasks run"
start_daemon "$killed"; until_true ready "$killed" || die "the daemon is not ready again"
no_run_twice "owner killed"

step "a cancel that is stored while the owner of the new service's pool is away reaches the job"
until_true owned $p2 || die "the partition has no owner"
frozen=$(owner_of $p2)
kill -STOP "${PID[$frozen]}"
canceller=$(((frozen + 1) % 3))
until_true answers $canceller DELETE "q/$(job 4)" 200 || die "the cancel was not accepted"
until_true n_run 4 0 || die "the cancelled job runs on"
kill -CONT "${PID[$frozen]}"
until_true ready "$frozen" || die "the daemon is not ready again"
until_true all_show "q/$(job 4)" cancelled || die "the job is not shown as cancelled"

step "pending jobs are counted at all services of the queue"
directed "$all" q=svc s=svc2
until_true submitted 0 "q/$(job 10)" "$filling" || die "the job was not accepted"
until_true n_run 10 16 || die "the job does not fill the workers"
submitted 1 "q/$(job 11)" "$short" || die "the second job was not accepted"
pending_is() { answers "$1" GET q/ 200 && grep -q "\"pending\": *$2" "$OUT/answer.$1"; }
until_true pending_is 0 1 || die "the waiting job is not counted: $(cat "$OUT/answer.0")"
directed "$all" q=svc2 s=svc2
for d in 0 1 2; do pending_is $d 1 || die "daemon $d counts $(cat "$OUT/answer.$d")"; done
all_show "q/$(job 11)" queued || die "the waiting job is not shown as queued"
submitted 2 "q/$(job 11)" "$short" || die "the repeated submission was not accepted"
until_true is_given_up 11 || die "the second service does not give the waiting job up"
answers 0 DELETE "q/$(job 10)" 200 || die "the cancel was answered $(cat "$OUT/answer.0")"
until_true all_show "q/$(job 11)" completed || die "the waiting job did not complete"
no_run_twice "waiting job"

step "the queue is removed, and added again with another service"
directed "$all" q=svc s=svc2
until_true submitted 0 "q/$(job 12)" "$long" || die "the job was not accepted"
until_true n_run 12 2 || die "the job does not run"
directed "$all" s=svc2
for d in 0 1 2; do answers $d GET "q/$(job 12)" 404 || die "daemon $d serves a queue that was removed"; done
directed "$all" q=svc2 s=svc2
all_show "q/$(job 12)" running || die "the job is not shown as running"
submitted 0 "q/$(job 12)" "$long" || die "the repeated submission was not accepted"
until_true is_given_up 12 || die "the second service does not give the job up"
no_run_twice "queue removed"

step "the job's service is removed, and all daemons start again"
directed "svc2" q=svc2 s=svc2
restart_all
until_true all_show "q/$(job 12)" running || die "the job is not shown as running: $(cat "$OUT/answer.0")"
submitted 1 "q/$(job 12)" "$long" || die "the repeated submission was not accepted"
until_true is_given_up 12 || die "the second service does not give the job up"
answers 2 DELETE "q/$(job 12)" 200 || die "the cancel was answered $(cat "$OUT/answer.2")"
until_true n_run 12 0 || die "the cancelled job runs on"
no_run_twice "service removed"

step "both services have the same partition"
directed "$all" r=svc s=svc2
until_true submitted 0 "r/$(job 20)" "$long" || die "the job was not accepted"
until_true n_run 20 2 || die "the job does not run"
directed "$all" r=svc39 s=svc2
all_show "r/$(job 20)" running || die "the job is not shown as running"
submitted 1 "r/$(job 20)" "$long" || die "the repeated submission was not accepted"
until_true is_given_up 20 || die "the second service does not give the job up"
sleep 0.5
restart_all
until_true all_show "r/$(job 20)" running || die "the job is not shown as running after a restart: $(cat "$OUT/answer.0")"
until_true n_run 20 2 || die "$(running 20) tasks run"
no_run_twice "same partition"
answers 2 DELETE "r/$(job 20)" 200 || die "the cancel was answered $(cat "$OUT/answer.2")"
until_true n_run 20 0 || die "the cancelled job runs on"

step "daemons with two versions of the configuration accept the same job at the same time"
directed "$all" u=svc s=svc2
for k in 0 1 2 3; do
  late=$((k % 3)) early=$(((k + 1) % 3)) n=$((30 + k))
  until_true ready $late || die "daemon $late is not ready"
  kill -STOP "${PID[$late]}"
  [ $((k % 2)) = 0 ] && configure "$all" u=svc2 s=svc2 || configure "$all" u=svc s=svc2
  call $late POST "u/$(job $n)" "$lasting" > "$OUT/late" & late_call=$!
  has_version() { grep -q "ROUTES_IN_FORCE version=$version " "$OUT/d$early.log"; }
  until_true has_version || die "version $version is not in force"
  until_true submitted $early "u/$(job $n)" "$lasting" || die "the job was not accepted"
  kill -CONT "${PID[$late]}"
  wait $late_call
  until_true in_force || die "version $version is not in force"
  until_true all_show "u/$(job $n)" running || die "the job is not shown as running"
  n_run $n 2 || die "$(running $n) tasks run"
  no_run_twice "two versions"
  answers $early DELETE "u/$(job $n)" 200 || die "the cancel was answered $(cat "$OUT/answer.$early")"
  until_true n_run $n 0 || die "the cancelled job runs on"
done
audit_result=$(audit)
grep -q '"doubled":0,"over-capacity":0' <<< "$audit_result" || die "the audit of the workers has a violation: $audit_result"
echo "queue services: ok"
