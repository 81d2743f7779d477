#!/usr/bin/env bash
# A job runs on where it is when a submission to another service of its partition has replaced its record and the owner is lost.
set -euo pipefail
cd "$(dirname "$0")/.."
B=${B:-build} OUT=out/replaced-records FIRST=svc SECOND=svc39 P=7 TASKS=4
rm -rf "$OUT"; mkdir -p "$OUT"
source tools/ports.sh
source tests/daemons.sh
base=$(free_block 20000 50 200 $(seq 0 39)) || { echo "no ports are free"; exit 1; }
declare -A PID
trap 'kill -9 ${PID[*]} 2> /dev/null || true' EXIT
port() { echo $((base + 20 + $1 * 4)); }
version=1
configure() { # QUEUE SERVICE: directs the queue to the service
  version=$((version + 2))
  store_configuration '{"version":'$version',"routes":[{"name":"'$1'","host":"h.example","path-prefix":"/'$1'/","service":"'$2'","max-attempts":3,"stretch-factor":2,"target-duration-ms":1000}],"services":[{"name":"'$FIRST'"},{"name":"'$SECOND'"}]}'
}
in_force() { local d; for d in 0 1 2; do grep -q "ROUTES_IN_FORCE version=$version " "$OUT/d$d.log" || return 1; done; }
directed() { configure "$@"; until_true in_force || die "version $version is not in force"; }
call() { # DAEMON METHOD PATH [BODY]: prints the status
  curl -s --max-time 5 -o "$OUT/answer" -w '%{http_code}' -X "$2" -H 'Host: h.example' ${4:+-d "$4"} "http://127.0.0.1:$(port "$1")/$3" || true
}
answers() { [ "$(call "$1" "$2" "$3" "${5:-}")" = "$4" ]; }
state_is() { answers "$1" GET "$2" 200 && grep -q "\"$3\"" "$OUT/answer"; }
running() { curl -s "http://127.0.0.1:$base/running?job=$(job "$1")" | grep -o '[0-9]*'; }
n_run() { [ "$(running "$1")" = "$2" ]; }
no_run_twice() { curl -s "http://127.0.0.1:$base/audit" | grep -q '"doubled":0' || die "$1: a task ran twice at a time: $(curl -s "http://127.0.0.1:$base/audit")"; }
body='{"spec":"60000","phases":[{"count":'$TASKS',"cpu":2000,"mem-mb":100,"estimate-ms":60000}]}'

$B/standins/standin-platform "$base" 8 "" $SECOND=4 > "$OUT/platform.log" 2>&1 & PID[platform]=$!
until_true curl -s -o /dev/null "http://127.0.0.1:$base/audit" || die "the stand-in does not answer"
configure q $FIRST
for d in 0 1 2; do start_daemon $d; done
for d in 0 1 2; do until_true ready $d || die "daemon $d is not ready"; done

# Kills the owner while the job runs at the first service, and submits it to the second one.
replace_record() { # QUEUE JOB
  local killed asked
  until_true owned $P || die "the partition has no owner"
  killed=$(owner_of $P) asked=$(((killed + 1) % 3))
  kill -9 "${PID[$killed]}"; wait "${PID[$killed]}" 2> /dev/null || true
  answers $asked POST "$1/$(job "$2")" 200 "$body" || die "the repeated submission was not accepted"
  until_true owned $P || die "the partition has no other owner"
  until_true state_is $asked "$1/$(job "$2")" running || die "the job is shown as $(cat "$OUT/answer")"
  start_daemon "$killed"; until_true ready "$killed" || die "daemon $killed is not ready again"
  sleep 1
  state_is $asked "$1/$(job "$2")" running || die "the job is shown as $(cat "$OUT/answer")"
  n_run "$2" $TASKS || die "$(running "$2") tasks run"
  no_run_twice "job $2"
}
end_job() { # QUEUE JOB
  answers 0 DELETE "$1/$(job "$2")" 200 || die "the cancel was answered $(cat "$OUT/answer")"
  until_true n_run "$2" 0 || die "the cancelled job runs on"
}

step "the owner is killed before the record is stored again"
until_true answers 0 POST "q/$(job 1)" 200 "$body" || die "the job was not accepted"
until_true n_run 1 $TASKS || die "the job does not run"
directed q $SECOND
replace_record q 1
end_job q 1

step "the same, the second service has disclaimed the job"
directed r $SECOND
sleep 1
directed r $FIRST
until_true answers 0 POST "r/$(job 2)" 200 "$body" || die "the job was not accepted"
until_true n_run 2 $TASKS || die "the job does not run"
directed r $SECOND
replace_record r 2

step "the same, some of its workers are out of reach of the next owner"
for k in 0 1 2 3; do control '{"exclude-later-owners":'$k',"for-ms":2500}'; done
replace_record r 2
end_job r 2

step "a job that no other service has runs at the second one"
until_true answers 1 POST "r/$(job 3)" 200 "$body" || die "the job was not accepted"
until_true n_run 3 $TASKS || die "the job does not run"
no_run_twice "job 3"
echo "replaced records: ok"
