#!/usr/bin/env bash
# Bursts of starts leave no connections open, and runs are stopped on workers that serve only the one that polls hold.
set -euo pipefail
cd "$(dirname "$0")/.."
B=build OUT=out/crowded-workers JOBS=6 WORKERS=2 BOUND_MS=3200 BURST=24 IDLE_S=7
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
running() { curl -s "http://127.0.0.1:$base/running" | grep -o '[0-9]*'; }
n_run() { [ "$(running)" = "$1" ]; }
now_ms() { echo $(($(date +%s%N) / 1000000)); }

$B/standins/standin-platform "$base" "$WORKERS" > "$OUT/platform.log" 2>&1 & PID[platform]=$!
for d in 0 1; do start_daemon $d; done
for d in 0 1; do until_true ready $d || die "daemon $d is not ready"; done
connections() { curl -s "http://127.0.0.1:$base/connections" | grep -o '[0-9]*'; }

step "a burst of starts"
lasting=$body
body="{\"spec\":\"600000\",\"phases\":[{\"count\":$BURST,\"cpu\":100,\"mem-mb\":10,\"long-running\":true}]}"
until_true submitted 0 100 || die "the job was not accepted"
until_true n_run $BURST || die "$(running) of $BURST tasks run"
burst=$(connections)
[ "$burst" -gt 3 ] || die "a burst of $BURST starts opened $burst connections to a worker: it shows nothing"
sleep $IDLE_S
[ "$(connections)" -le 2 ] || die "$(connections) connections to a worker are open $IDLE_S s after a burst that opened $burst"
until_true cancelled 1 100 || die "the job was not cancelled"
until_true n_run 0 || die "$(running) runs are left"
body=$lasting

for ((k = 1; k <= JOBS; k++)); do until_true submitted $((k % 2)) $k || die "job $k was not accepted"; done
until_true n_run $JOBS || die "$(running) of $JOBS jobs run"

step "workers serve one connection each, which polls hold"
control '{"max-connections":1}'
sleep 2
n_run $JOBS || die "$(running) of $JOBS jobs run while polls hold the only connections"

step "jobs are cancelled"
for ((k = 1; k <= JOBS; k++)); do until_true cancelled $((k % 2)) $k || die "job $k was not cancelled"; done
began=$(now_ms)
until n_run 0; do
  [ $(($(now_ms) - began)) -le $BOUND_MS ] || die "$(running) runs of cancelled jobs are at work $BOUND_MS ms after the last cancel"
  sleep 0.02
done
echo "crowded workers: ok, the last run ended $(($(now_ms) - began)) ms after the last cancel"
