#!/usr/bin/env bash
# Jobs of a queue whose route has been taken out of the configuration, or is not in that of every
# daemon yet, can be cancelled at each daemon.
set -euo pipefail
cd "$(dirname "$0")/.."
B=build OUT=out/dropped-routes
rm -rf "$OUT"; mkdir -p "$OUT"
source tools/ports.sh
source tests/daemons.sh
base=$(free_block 20000 50 200 $(seq 0 39)) || { echo "no ports are free"; exit 1; }
declare -A PID
trap 'kill -CONT ${PID[*]} 2> /dev/null || true; kill ${PID[*]} 2> /dev/null || true' EXIT
port() { echo $((base + 20 + $1 * 4)); }
version=1
# Puts a configuration with these queues in force at the daemons that run.
configure() { # QUEUE=SERVICE...
  local routes= pair
  for pair in "$@"; do
    routes+='{"name":"'${pair%=*}'","host":"h.example","path-prefix":"/'${pair%=*}'/","service":"'${pair#*=}'","max-attempts":3,"stretch-factor":2,"target-duration-ms":1000},'
  done
  version=$((version + 2))
  store_configuration '{"version":'$version',"routes":['"${routes%,}"'],"services":[{"name":"svc"},{"name":"svc2"}]}'
}
has_version() { grep -q "ROUTES_IN_FORCE version=$version " "$OUT/d$1.log"; } # DAEMON
directed() { local d; configure "$@"; for d in 0 1 2; do until_true has_version $d || die "version $version is not in force at daemon $d"; done; }
call() { # DAEMON METHOD PATH [BODY]: prints the status
  curl -s --max-time 5 -o "$OUT/answer.$1" -w '%{http_code}' -X "$2" -H 'Host: h.example' ${4:+-d "$4"} "http://127.0.0.1:$(port "$1")/$3" || true
}
answers() { [ "$(call "$1" "$2" "$3" "${5:-}")" = "$4" ]; } # DAEMON METHOD PATH STATUS [BODY]
cancelled() { # DAEMON PATH
  local status; status=$(call "$1" DELETE "$2")
  [ "$status" = 200 ] || [ "$status" = 410 ] || die "daemon $1 answered the cancel of $2 with $status"
}
n_run() { [ "$(curl -s "http://127.0.0.1:$base/running?job=$(job "$1")" | grep -o '[0-9]*')" = "$2" ]; }
stops() { until_true n_run "$1" 0 || die "job $1 runs on after its cancel"; } # JOB
runs() { # DAEMON QUEUE JOB
  until_true answers "$1" POST "$2/$(job "$3")" 200 "$body" || die "job $3 was not accepted"
  until_true n_run "$3" 2 || die "job $3 does not run"
}
restart_all() {
  local d
  for d in 0 1 2; do kill -9 "${PID[$d]}"; wait "${PID[$d]}" 2> /dev/null || true; done
  for d in 0 1 2; do mv "$OUT/d$d.log" "$OUT/d$d.$version.log"; start_daemon $d; done
  for d in 0 1 2; do until_true ready $d || die "daemon $d is not ready again"; done
}
body='{"spec":"600000","phases":[{"count":2,"cpu":1000,"mem-mb":100,"long-running":true}]}'

$B/standins/standin-platform "$base" 8 "" svc2=2 > "$OUT/platform.log" 2>&1 & PID[platform]=$!
until_true curl -s -o /dev/null "http://127.0.0.1:$base/audit" || die "the stand-in does not answer"
configure q=svc s=svc2 keep=svc
for d in 0 1 2; do start_daemon $d; done
for d in 0 1 2; do until_true ready $d || die "daemon $d is not ready"; done

step "the cancel of a job whose route was dropped, at each daemon"
for d in 0 1 2; do runs $d q $((10 + d)); done
directed s=svc2 keep=svc
for d in 0 1 2; do
  cancelled $d "q/$(job $((10 + d)))"
  stops $((10 + d))
done

step "a queue that was never configured is answered 404, and so are the calls that a dropped route allowed"
for d in 0 1 2; do
  answers $d DELETE "never/$(job 10)" 404 || die "daemon $d answered the cancel at an unknown queue with $(cat "$OUT/answer.$d")"
  answers $d GET "q/$(job 10)" 404 || die "daemon $d answers for a queue that was dropped"
  answers $d GET q/ 404 || die "daemon $d counts a queue that was dropped"
  answers $d POST "q/$(job 15)" 404 "$body" || die "daemon $d accepts a job of a queue that was dropped"
done
for d in 0 1 2; do answers $d DELETE "never/$(job 10)/$(job 10)" 404 || die "daemon $d answered $(cat "$OUT/answer.$d")"; done

step "daemons that start after the route was dropped"
directed q=svc s=svc2 keep=svc
runs 0 q 20
runs 1 q 21
directed s=svc2 keep=svc
restart_all
cancelled 2 "q/$(job 20)"
stops 20
cancelled 0 "q/$(job 21)"
stops 21
answers 1 DELETE "never/$(job 20)" 404 || die "daemon 1 answered the cancel at an unknown queue with $(cat "$OUT/answer.1")"

step "the queue is directed to another service, and dropped there"
directed q=svc s=svc2 keep=svc
runs 0 q 30
directed q=svc2 s=svc2 keep=svc
runs 1 q 31
directed s=svc2 keep=svc
cancelled 2 "q/$(job 30)"
cancelled 1 "q/$(job 31)"
stops 30
stops 31

step "a daemon that does not have the route yet"
for d in 0 1 2; do
  kill -STOP "${PID[$d]}"
  configure "new$d=svc" keep=svc
  other=$(((d + 1) % 3))
  until_true has_version $other || die "version $version is not in force"
  runs $other "new$d" $((40 + d))
  call $d DELETE "new$d/$(job $((40 + d)))" > "$OUT/late" & late=$!
  sleep 0.1
  kill -CONT "${PID[$d]}"
  wait $late
  grep -qE '^(200|410)$' "$OUT/late" || die "daemon $d answered the cancel with $(cat "$OUT/late")"
  stops $((40 + d))
  until_true ready $d || die "daemon $d is not ready again"
done

step "a cancel while the store is away is not refused for good"
for n in 50 51; do
  directed q=svc keep=svc
  runs 0 q $n
  directed keep=svc
  [ $n = 50 ] || restart_all
  control '{"outage":true,"patient":true}'
  status=$(call 1 DELETE "q/$(job $n)")
  control '{"outage":false,"patient":false}'
  [[ $status = 50[34] ]] || die "the cancel was answered $status while the store was away"
  until_true ready 1 || die "daemon 1 is not ready again"
  until_true answers 1 DELETE "q/$(job $n)" 410 || die "the cancel was answered $(cat "$OUT/answer.1")"
  stops $n
done
echo "dropped routes: ok"
