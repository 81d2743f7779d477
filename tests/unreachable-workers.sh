#!/usr/bin/env bash
# The stand-in's workers that stand still execute waiting calls in order, and lose calls of later owners.
set -euo pipefail
cd "$(dirname "$0")/.."
B=build OUT=out/unreachable-workers
rm -rf "$OUT"; mkdir -p "$OUT"
source tools/ports.sh
source tests/daemons.sh
base=$(free_block 20000 50 200 $(seq 0 39)) || { echo "no ports are free"; exit 1; }
platform=
trap 'kill $platform 2> /dev/null || true' EXIT
call() { curl -s --max-time "${4:-5}" -d "$3" "http://127.0.0.1:$((base + 1 + $1))/api/$2" || true; } # WORKER CALL JSON [SECONDS]
start() { call "$1" run-start "{\"fencing-token\":$4,\"task\":\"$2\",\"attempt\":$3,\"spec\":\"60000\",\"deadline-ms\":$6}" "$5"; } # WORKER TASK ATTEMPT TOKEN SECONDS DEADLINE
poll() { call "$1" hold "{\"fencing-token\":$2,\"acknowledged\":0}" "${3:-5}"; } # WORKER TOKEN [SECONDS]
clock() { poll "$1" "$2" | grep -o '"clock-ms":[0-9]*' | grep -o '[0-9]*$'; } # WORKER TOKEN
$B/standins/standin-platform "$base" 3 > "$OUT/platform.log" 2>&1 & platform=$!
platform_serves() { clock 0 1 > "$OUT/answer"; }
until_true platform_serves || die "the stand-in platform does not respond"
never=1000000000

step "a worker that stands still for less than its lease"
start 0 a 1 1 5 $never > /dev/null
control '{"suspend":0,"for-ms":1500}'
[ -z "$(start 0 b 1 1 0.3 $never)" ] || die "a worker that stands still answers"
call 0 run-stop '{"fencing-token":1,"task":"b","attempt":1}' 0.3 > /dev/null
expect_match "$(poll 0 1)" '"running":\[\["a",1,"",[0-9]*\]\],"finished":\[\[1,"b",1,"stopped",""\]\]' "the waiting calls in order"

step "a worker that stands still for longer than its lease"
start 1 c 1 1 5 $(($(clock 1 1) + 1000)) > /dev/null
control '{"suspend":1,"for-ms":2000}'
sleep 0.3
start 1 d 1 1 0.3 $(($(clock 2 1) + 500)) > /dev/null
expect_match "$(poll 1 1)" '"running":\[\],"finished":\[\[1,"c",1,"lapsed",""\]\]' "the lease ended, and the waiting start is late"

step "a worker out of reach for later owners"
poll 2 4 > /dev/null
control '{"exclude-later-owners":2,"for-ms":2000}'
[ -z "$(start 2 e 9 5 0.5 $never)" ] || die "a later owner gets an answer"
expect_match "$(poll 2 4)" '"running":\[\]' "the call of a later owner is not executed"
expect_match "$(start 2 e 8 4 1 $never)" '{"clock-ms":[0-9]*}' "the owner before reaches it"
expect_match "$(poll 2 3)" '"fence"' "an owner before that is fenced"
sleep 2
expect_match "$(poll 2 5)" '"running":\[\["e",8,"",[0-9]*\]\]' "the later owner reaches it again"
echo "unreachable workers: ok"
