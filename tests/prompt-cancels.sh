#!/usr/bin/env bash
# A cancel at one daemon takes effect right after another one has accepted the job.
set -euo pipefail
cd "$(dirname "$0")/.."
B=build OUT=out/prompt-cancels JOBS=40
rm -rf "$OUT"; mkdir -p "$OUT"
source tools/ports.sh
source tests/daemons.sh
base=$(free_block 20000 50 200 $(seq 0 39)) || { echo "no ports are free"; exit 1; }
declare -A PID
trap 'kill ${PID[*]} 2> /dev/null || true' EXIT
port() { echo $((base + 20 + $1 * 4)); }
url() { echo "http://127.0.0.1:$(port "$1")/q/$(job "$2")"; } # DAEMON JOB
body='{"spec":"600000","phases":[{"count":1,"cpu":2000,"mem-mb":100,"long-running":true}]}'
submitted() { [ "$(curl -s -o /dev/null -w '%{http_code}' -H 'Host: h.example' -d "$body" "$(url "$1" "$2")")" = 200 ]; }
cancelled() { [ "$(curl -s -o /dev/null -w '%{http_code}' -X DELETE -H 'Host: h.example' "$(url "$1" "$2")")" = 200 ]; }
n_run() { [ "$(curl -s "http://127.0.0.1:$base/running" | grep -o '[0-9]*')" = "$1" ]; }
# Prints the statuses of the acceptance and the cancel, which follows on a connection of its own.
submit_and_cancel() { # ACCEPTING-DAEMON CANCELLING-DAEMON JOB
  curl -s -o /dev/null -w '%{http_code} ' -H 'Host: h.example' -d "$body" "$(url "$1" "$3")" \
    --next -s -o /dev/null -w '%{http_code}' -X DELETE -H 'Host: h.example' "$(url "$2" "$3")"
}

$B/standins/standin-platform "$base" 6 > "$OUT/platform.log" 2>&1 & PID[platform]=$!
for d in 0 1; do start_daemon $d; done
for d in 0 1; do until_true ready $d || die "daemon $d is not ready"; done
until_true submitted 0 1 || die "the job was not accepted"
until_true n_run 1 || die "the job does not run"
until_true cancelled 0 1 || die "the job was not cancelled"
until_true n_run 0 || die "the cancelled job runs"

step "jobs are cancelled at another daemon than that which has accepted them"
for ((k = 2; k < 2 + JOBS; k++)); do
  statuses=$(submit_and_cancel $((k % 2)) $(((k + 1) % 2)) $k)
  [ "$statuses" = "200 200" ] || die "job $k: the submission and the cancel were answered $statuses"
done
until_true n_run 0 || die "cancelled jobs run: $(curl -s "http://127.0.0.1:$base/running")"

step "a job that does not exist cannot be cancelled"
began=$(date +%s%N)
for d in 0 1; do
  status=$(curl -s -o /dev/null -w '%{http_code}' -X DELETE -H 'Host: h.example' "$(url $d 999)")
  [ "$status" = 410 ] || die "daemon $d answered $status"
done
echo "prompt cancels: ok, $(((($(date +%s%N) - began)) / 2000000)) ms for a job that does not exist"
