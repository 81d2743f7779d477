#!/usr/bin/env bash
# The stand-in's workers list a run that is being stopped, reject what is not higher, and its audit prints both of two runs of one task.
set -euo pipefail
cd "$(dirname "$0")/.."
B=build OUT=out/slow-stops
rm -rf "$OUT"; mkdir -p "$OUT"
source tools/ports.sh
source tests/daemons.sh
base=$(free_block 20000 50 200 $(seq 0 39)) || { echo "no ports are free"; exit 1; }
platform=
trap 'kill $platform 2> /dev/null || true' EXIT
call() { curl -s --max-time 5 -d "$3" "http://127.0.0.1:$((base + 1 + $1))/api/$2"; } # WORKER CALL JSON
start() { call "$1" run-start "{\"fencing-token\":$4,\"task\":\"$2\",\"attempt\":$3,\"spec\":\"60000\",\"deadline-ms\":1000000000}"; } # WORKER TASK ATTEMPT TOKEN
stop() { call "$1" run-stop "{\"fencing-token\":1,\"task\":\"$2\",\"attempt\":$3}"; } # WORKER TASK ATTEMPT
poll() { call "$1" hold '{"fencing-token":1,"acknowledged":0}'; } # WORKER
clock() { poll "$1" | grep -o '"clock-ms":[0-9]*' | grep -o '[0-9]*$'; } # WORKER
$B/standins/standin-platform "$base" 3 > "$OUT/platform.log" 2>&1 & platform=$!
platform_serves() { clock 0 > "$OUT/answer"; }
until_true platform_serves || die "the stand-in platform does not respond"

step "a stop that takes time"
control '{"stop-ms":900}'
slow=0
for i in 1 2 3 4; do
  start 0 "a$i" 2 1 > /dev/null
  stop 0 "a$i" 2 > /dev/null
  [[ $(poll 0) != *"\"running\":[[\"a$i\",2"* ]] || slow=$i
  [ "$slow" = 0 ] || break
  sleep 1
done
[ "$slow" != 0 ] || die "none of four stopped runs is still listed"
expect_match "$(start 0 "a$slow" 2 1)" '"old"' "a start of the run that is being stopped"
expect_match "$(start 0 "a$slow" 3 1)" '"old"' "a start of a higher run while one is being stopped"
sleep 1
expect_match "$(poll 0)" "\"a$slow\",2,\"stopped\"" "the stop took longer than 900 ms"
expect_match "$(start 0 "a$slow" 3 1)" '{"clock-ms":[0-9]*}' "a start of a higher run after the stop"
expect_match "$(start 0 "a$slow" 2 1)" '"old"' "a start of a run that was stopped"
expect_match "$(start 0 b 4 1)" '{"clock-ms":[0-9]*}' "a start"
expect_match "$(start 0 b 3 1)" '"old"' "a start of a run that is lower"
expect_match "$(start 0 b 4 1)" '{"clock-ms":[0-9]*}' "a start of a run that is there"

step "two runs of one task"
expect_match "$(curl -s "http://127.0.0.1:$base/audit")" '"overlaps":\[\]' "no task runs twice"
start 1 b 5 7 > /dev/null
audit=$(curl -s "http://127.0.0.1:$base/audit")
expect_match "$audit" '"doubled":1' "a task starts on a second worker"
expect_match "$audit" '\["b attempt 4 on i-0#0, token 1, started at [0-9]* ms","b attempt 5 on i-1#0, token 7, started at [0-9]* ms"\]' "both runs"

step "slow clocks"
control '{"slow-clocks":true}'
first=$(clock 0) last=$(clock 2)
sleep 3
lag=$(($(clock 0) - first - ($(clock 2) - last)))
[ "$lag" -ge 40 ] && [ "$lag" -le 80 ] || die "the last worker's clock is $lag ms behind after 3 s"
echo "stops that take time: ok"
