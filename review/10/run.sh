#!/usr/bin/env bash
# A job whose tasks save checkpoints of 158 characters; the owner of its pool is killed after the
# first tasks have ended.
# Exit 1: the rule was broken; 0: it held; 2: the case could not run.  TROUBLE=0: nobody is killed.
set -uo pipefail
cd "$(dirname "$0")/../.."
RECORD=$PWD/review/10/record.txt TROUBLE=${TROUBLE:-1}
DAEMONS=3 WORKERS=6 QUEUE=q PARTITION=7 TASKS=24
[ -x target/flamingobarrowd ] && [ -x target/review-3/standin-long ] || { echo "not built"; exit 2; }
source tools/ports.sh
T=$(mktemp -d) || exit 2
PIDS=()
finish() { kill -9 "${PIDS[@]}" 2> /dev/null; wait 2> /dev/null; rm -rf "$T"; }
trap finish EXIT
base=$(free_block 21000 80 120 $(seq 0 79)) || { echo "no ports are free"; exit 2; }
port() { echo $((base + 60 + $1 * 4)); }
: > "$RECORD"
began=$(date +%s%N)
note() { echo "$((($(date +%s%N) - began) / 1000000)) ms $*" >> "$RECORD"; }
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
  target/flamingobarrowd --settings "$T/d$1.ini" >> "$T/d$1.log" 2>&1 &
  PID[$1]=$!
  PIDS+=($!)
}
call() { # DAEMON METHOD JOB [BODY]; sets STATUS and ANSWER
  : > "$T/answer"
  STATUS=$(curl -s --max-time 3 -o "$T/answer" -w '%{http_code}' -X "$2" -H 'Host: h.example' ${4:+-d "$4"} "http://127.0.0.1:$(port "$1")/$QUEUE/$3")
  ANSWER=$(cat "$T/answer")
  note "client, daemon $1: $2 $3 ${4:-} -> $STATUS $ANSWER"
}
platform() { curl -s --max-time 3 "http://127.0.0.1:$base/$1"; }
owner() { # prints the daemon that owns the partition
  local p
  p=$(platform "api/log-owners?group=owners" | tr -d ' ' | grep -o ",$PARTITION,\"127.0.0.1:[0-9]*" | grep -o '[0-9]*$') && echo $(((p - base - 62) / 4))
}
count() { platform audit | grep -o "\"$1\":[0-9]*" | cut -d: -f2; } # started, done or doubled
target/review-3/standin-long "$base" $WORKERS > "$T/platform.log" 2>&1 &
PIDS+=($!)
for i in $(seq 50); do platform audit > /dev/null && break; sleep 0.1; done
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
sleep 1
JOB=$(printf '%016x' $((0x5eed0000 + RANDOM)))
# Two waves of 12 tasks of 5 s each.
BODY='{"spec":"5000 saves=1 cpu=4000","phases":[{"count":'$TASKS',"cpu":4000,"mem-mb":100,"estimate-ms":5000,"checkpointing":true}]}'
for i in $(seq 20); do
  call $((i % DAEMONS)) POST "$JOB" "$BODY"
  [ "$STATUS" = 200 ] && break
  sleep 0.3
done
[ "$STATUS" = 200 ] || { echo "the job was not accepted"; exit 2; }
for i in $(seq 200); do [ "$(count done)" -ge 12 ] && break; sleep 0.1; done
note "workers: $(platform "running?job=$JOB") done=$(count done)"
[ "$(count done)" -ge 12 ] || { echo "the first tasks have not ended"; exit 2; }
sleep 1.5
held=$(owner) || { echo "the partition has no owner"; exit 2; }
asked=$(((held + 1) % DAEMONS))
call $asked GET "$JOB"
if [ "$TROUBLE" != 0 ]; then
  kill -9 "${PID[$held]}"
  note "daemon $held, the owner, is killed"
  sleep 3
  start_daemon "$held"
  note "daemon $held starts again"
fi
gone=0
for i in $(seq 30); do
  sleep 0.5
  call $asked GET "$JOB"
  note "workers: $(platform "running?job=$JOB") done=$(count done)"
  [ "$STATUS" = 410 ] && gone=$((gone + 1))
  [[ $ANSWER = *completed* ]] && break
done
note "audit of the workers: $(platform audit)"
grep -h -E "$JOB|POOL_TAKEN|LOG_RECORD_SKIPPED" "$T"/d*.log | grep -v TASK_ | cut -c1-260 >> "$RECORD"
if [ $gone -gt 0 ]; then
  echo "LOST: an accepted job that nobody has cancelled was answered 410 $gone times, and $(count done) of its $TASKS tasks ran"
  exit 1
fi
[[ $ANSWER = *completed* ]] || { echo "the job has not completed"; exit 2; }
echo "held"
exit 0
