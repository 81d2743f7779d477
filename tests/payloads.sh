#!/usr/bin/env bash
# The stand-in's workers save checkpoints, go on from them, and run gangs.
set -euo pipefail
cd "$(dirname "$0")/.."
B=build OUT=out/payloads
rm -rf "$OUT"; mkdir -p "$OUT"
source tools/ports.sh
source tests/daemons.sh
base=$(free_block 20000 50 200 $(seq 0 39)) || { echo "no ports are free"; exit 1; }
platform=
trap 'kill $platform 2> /dev/null || true' EXIT
call() { curl -s --max-time 5 -d "$3" "http://127.0.0.1:$((base + 1 + $1))/api/$2"; } # WORKER CALL JSON
start() { call "$1" run-start "{\"fencing-token\":1,\"task\":\"$2\",\"attempt\":$3,\"spec\":\"$4\",\"deadline-ms\":1000000000,\"checkpoint\":\"${5:-}\"}" > "$OUT/answer"; } # WORKER TASK ATTEMPT SPEC [CHECKPOINT]
stop() { call "$1" run-stop "{\"fencing-token\":1,\"task\":\"$2\",\"attempt\":$3}" > "$OUT/answer"; } # WORKER TASK ATTEMPT
poll() { call "$1" hold "{\"fencing-token\":1,\"acknowledged\":0,\"deadline-ms\":1000000000,\"wait-ms\":${2:-0}}"; } # WORKER [WAIT]
$B/standins/standin-platform "$base" 3 > "$OUT/platform.log" 2>&1 & platform=$!
platform_serves() { poll 0 > "$OUT/answer"; }
until_true platform_serves || die "the stand-in platform does not respond"

step "checkpoints"
start 0 a.0.1.0 1 "1800 saves=0,1"
start 0 a.0.0.0 1 "1800 saves=0,1"
sleep 1.2
expect_match "$(poll 0)" '\["a.0.1.0",1,"work-1000",[0-9]*\],\["a.0.0.0",1,"",[0-9]*\]' "a checkpoint after 1 s, in the step that saves"
stop 0 a.0.1.0 1
expect_match "$(poll 0)" '\["a.0.1.0",1,"work-1[2-7][0-9][0-9]",[0-9]*\]\|\[1,"a.0.1.0",1,"stopped","work-1[2-7][0-9][0-9]"\]' "a checkpoint at the stop"
start 1 a.0.1.0 2 "1800 saves=0,1" work-1700
sleep 0.5
expect_match "$(poll 1)" '\[1,"a.0.1.0",2,"done",' "the rest of the work"

step "gangs"
start 0 g.0.0.0 5 "600 gang=2"
sleep 1
expect_match "$(poll 0)" '\["g.0.0.0",5,"",0\]' "a member that waits for the other"
start 2 g.0.0.1 5 "600 gang=2"
sleep 0.8
expect_match "$(poll 0)" '"g.0.0.0",5,"done"' "the first member"
expect_match "$(poll 2)" '"g.0.0.1",5,"done"' "the second member"
start 1 h.0.0.0 5 "60000 gang=2"
start 2 h.0.0.1 5 "60000 gang=2"
sleep 0.1
stop 2 h.0.0.1 5
sleep 0.1
expect_match "$(poll 1)" '"h.0.0.0",5,"broken"' "the other member was stopped"
start 1 i.0.0.0 5 "600 gang=2"
sleep 3.2
expect_match "$(poll 1)" '"i.0.0.0",5,"alone"' "the other member never came"
echo "payloads: ok"
