#!/usr/bin/env bash
# A long-running job whose workers go down and up by turns.  Exit 1: the rule was broken; 0: it
# held; 2: the case could not run.  TROUBLE=0: no worker goes down.
set -uo pipefail
cd "$(dirname "$0")/../.."
HERE=review/9 RECORD=$PWD/review/9/record.txt TROUBLE=${TROUBLE:-1}
DAEMONS=3 WORKERS=8 TASKS=4 DOWN_MS=1500 GAP_S=2 LAST_S=80
[ -x target/flamingobarrowd ] && [ -x target/review-3/standin-platform ] || { echo "not built"; exit 2; }
source tools/ports.sh
T=$(mktemp -d) || exit 2
PIDS=()
finish() { kill -9 "${PIDS[@]}" 2> /dev/null; wait 2> /dev/null; rm -rf "$T"; }
trap finish EXIT
base=$(free_block 21000 60 150 $(seq 0 59)) || { echo "no ports are free"; exit 2; }
port() { echo $((base + 30 + $1 * 4)); }
: > "$RECORD"
began=$(date +%s%N)
now() { echo $((($(date +%s%N) - began) / 1000000)); }
note() { echo "$(now) ms $*" >> "$RECORD"; }
start_daemon() { # INDEX
  cat > "$T/d$1.ini" <<INI
[daemon]
name=d$1
domain=z$1
grace=6s
configuration-bound=2000ms
[listen]
callers=127.0.0.1:$(port "$1")
readiness=127.0.0.1:$(($(port "$1") + 1))
peers=127.0.0.1:$(($(port "$1") + 2))
metrics=127.0.0.1:$(($(port "$1") + 3))
[store]
address=127.0.0.1:$base
partitions=32
shortest-membership=1000ms
[workers]
longest-lease=6000ms
longest-stop=200ms
gang-patience=3000ms
INI
  target/flamingobarrowd --settings "$T/d$1.ini" > "$T/d$1.log" 2>&1 &
  PIDS+=($!)
}
call() { # DAEMON METHOD JOB [BODY]; sets STATUS and ANSWER
  STATUS=$(curl -s --max-time 3 -o "$T/answer" -w '%{http_code}' -X "$2" -H 'Host: h.example' ${4:+-d "$4"} "http://127.0.0.1:$(port "$1")/q/$3")
  ANSWER=$(cat "$T/answer" 2> /dev/null)
  note "client, daemon $1: $2 $3 ${4:-} -> $STATUS $ANSWER"
}
platform() { curl -s --max-time 3 "http://127.0.0.1:$base/$1"; }
target/review-3/standin-platform "$base" $WORKERS > "$T/platform.log" 2>&1 &
PIDS+=($!)
for d in $(seq 0 $((DAEMONS - 1))); do start_daemon "$d"; done
for i in $(seq 100); do
  up=0
  for d in $(seq 0 $((DAEMONS - 1))); do
    [ "$(curl -s -o /dev/null -w '%{http_code}' "http://127.0.0.1:$(($(port "$d") + 1))/api/readyz")" = 200 ] && up=$((up + 1))
  done
  [ $up = $DAEMONS ] && break
  sleep 0.1
done
[ $up = $DAEMONS ] || { echo "the daemons are not ready"; exit 2; }
JOB=$(printf '%016x' $((0x5eed0000 + RANDOM)))
for i in $(seq 20); do
  call $((i % DAEMONS)) POST "$JOB" "{\"spec\":\"3600000\",\"phases\":[{\"count\":$TASKS,\"cpu\":2000,\"mem-mb\":100,\"estimate-ms\":1000,\"long-running\":true}]}"
  [ "$STATUS" = 200 ] && break
  sleep 0.3
done
[ "$STATUS" = 200 ] || { echo "the job was not accepted"; exit 2; }
for i in $(seq 100); do [ "$(platform "running?job=$JOB" | grep -o '[0-9]*')" = $TASKS ] && break; sleep 0.1; done
note "workers: $(platform "running?job=$JOB")"
broken=0
at=$SECONDS k=0
while [ $((SECONDS - at)) -lt $LAST_S ]; do
  if [ "$TROUBLE" != 0 ]; then
    curl -s -o /dev/null -d "{\"crash\":$((k % WORKERS)),\"for-ms\":$DOWN_MS}" "http://127.0.0.1:$base/control"
    note "worker $((k % WORKERS)) goes down for $DOWN_MS ms"
  fi
  k=$((k + 1))
  sleep $GAP_S
  call $((k % DAEMONS)) GET "$JOB"
  note "workers: $(platform "running?job=$JOB")"
  [[ $STATUS = 200 && $ANSWER = *failed* ]] && { broken=1; break; }
done
sleep 2
call 0 GET "$JOB"
note "workers: $(platform "running?job=$JOB")"
note "ends of runs that workers listed, and started runs: $(platform audit)"
grep -h -E 'TASK_GIVEN_UP|JOB_OVER' "$T"/d*.log >> "$RECORD"
if [ $broken = 1 ]; then
  platform audit | grep -q 'failed' && { echo "a run ended failed"; exit 2; }
  echo "LOST: the job is shown as failed; no run of it ended failed, and nobody cancelled it"
  exit 1
fi
echo "held"
exit 0
