#!/usr/bin/env bash
# The stand-in's audit counts starts and runs of cancelled jobs that are too late, and no others.
set -euo pipefail
cd "$(dirname "$0")/.."
B=build OUT=out/cancel-audit
rm -rf "$OUT"; mkdir -p "$OUT"
source tools/ports.sh
source tests/daemons.sh
base=$(free_block 20000 50 200 $(seq 0 39)) || { echo "no ports are free"; exit 1; }
platform=
trap 'kill $platform 2> /dev/null || true' EXIT
call() { curl -s -o /dev/null --max-time "${4:-5}" -d "$3" "http://127.0.0.1:$((base + 1 + $1))/api/$2" || true; } # WORKER CALL JSON [SECONDS]
start() { call "$1" run-start "{\"fencing-token\":1,\"task\":\"$2.0.0\",\"attempt\":1,\"spec\":\"60000\",\"deadline-ms\":1000000000}" "${3:-}"; } # WORKER JOB [SECONDS]
stop() { call "$1" run-stop "{\"fencing-token\":1,\"task\":\"$2.0.0\",\"attempt\":1}"; } # WORKER JOB
count() { curl -s "http://127.0.0.1:$base/audit" | grep -o "\"$1\":[0-9]*" | grep -o '[0-9]*$'; } # NAME
expect() { # NAME VALUE WHEN
  [ "$(count "$1")" = "$2" ] || die "$1 is $(count "$1") instead of $2: $3"
}
$B/standins/standin-platform "$base" 3 > "$OUT/platform.log" 2>&1 & platform=$!
platform_serves() { count started > "$OUT/answer"; }
until_true platform_serves || die "the stand-in platform does not respond"
sleep 3.2

step "within the bounds"
start 0 a
control '{"cancelled":"a"}'
control '{"cancelled":"b"}'
sleep 2.7
start 1 b
expect cancelled-started 0 "a start within 3 s of the cancel"
stop 0 a
stop 1 b
sleep 1
expect cancelled-at-work 0 "runs that were stopped within 3.2 s"
expect cancelled 2 "two jobs were cancelled"

step "a start and a run that are too late"
start 0 b2
control '{"cancelled":"b2"}'
start 1 a
expect cancelled-started 1 "a start over 3 s after the cancel"
sleep 3.6
expect cancelled-at-work 2 "runs over 3.2 s after the cancel"
stop 0 b2
stop 1 a

step "disruptions"
control '{"disrupted":true}'
control '{"cancelled":"c"}'
sleep 4
start 0 c
expect cancelled-started 1 "a start during a disruption"
stop 0 c
control '{"disrupted":false}'
sleep 2
control '{"disrupted":false}'
start 1 c
expect cancelled-started 1 "a start within 3 s of a disruption"
sleep 1.5
start 2 c
expect cancelled-started 2 "a start over 3 s after the disruption and after the cancel"
expect cancelled-at-work 2 "runs within 6.2 s of a disruption"
sleep 3.2
expect cancelled-at-work 4 "runs over 6.2 s after the disruption"
stop 1 c
stop 2 c

step "an order that the worker executes late"
control '{"cancelled":"d"}'
sleep 1
control '{"faults":0,"for-ms":60000,"late":100,"late-ms":2500}'
start 0 d
control '{"healthy":true}'
expect started 8 "the late order was executed"
expect cancelled-started 2 "a late order"
sleep 2.5
expect cancelled-at-work 4 "a run within 3.2 s of its late start"
sleep 1
expect cancelled-at-work 5 "a run over 3.2 s after its late start"
echo "audit of cancelled jobs: ok"
