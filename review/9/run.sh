#!/usr/bin/env bash
# A queue is directed to another service whose name falls on the same partition; then the owner of
# the partition is killed, and a submission arrives once more before the next owner has taken over.
# Exit 1: the rule was broken; 0: it held; 2: the case could not run.  TROUBLE=0: nobody is killed.
# BACK=1: the queue was directed to the second service before it was directed to the first one.
set -uo pipefail
cd "$(dirname "$0")/../.."
RECORD=$PWD/review/9/record.txt TROUBLE=${TROUBLE:-1} BACK=${BACK:-0}
DAEMONS=3 WORKERS=8 QUEUE=q FIRST=svc SECOND=svc39 PARTITION=7
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
octal() { local n=$1 out= i; for i in 1 2 3 4; do out="\\$(printf '%03o' $((n & 255)))$out"; n=$((n >> 8)); done; printf '%s' "$out"; }
version=1
configure() { # SERVICE, to which the queue is directed
  version=$((version + 2))
  local value='{"version":'$version',"routes":[{"name":"'$QUEUE'","host":"h.example","path-prefix":"/'$QUEUE'/","service":"'$1'","max-attempts":3,"stretch-factor":2,"target-duration-ms":1000}],"services":[{"name":"'$FIRST'"},{"name":"'$SECOND'"}]}'
  { printf "$(octal $((7 + ${#value})))"; printf '\006config%s' "$value"; } > "$T/record"
  note "operator: version $version directs the queue to $1 -> $(curl -s -o /dev/null -w '%{http_code}' --data-binary "@$T/record" "http://127.0.0.1:$base/api/log-append?topic=keyed.op&part=0")"
}
owner() { # prints the daemon that owns the partition
  local p
  p=$(platform "api/log-owners?group=owners" | tr -d ' ' | grep -o ",$PARTITION,\"127.0.0.1:[0-9]*" | grep -o '[0-9]*$') && echo $(((p - base - 32) / 4))
}
doubled() { platform audit | grep -o '"doubled":[0-9]*' | cut -d: -f2; }
target/review-3/standin-platform "$base" $WORKERS "" $SECOND=4 > "$T/platform.log" 2>&1 &
PIDS+=($!)
for i in $(seq 50); do platform audit > /dev/null && break; sleep 0.1; done
[ "$BACK" != 0 ] && configure $SECOND || configure $FIRST
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
[ "$BACK" != 0 ] && { sleep 2; configure $FIRST; sleep 5; }
JOB=$(printf '%016x' $((0x5eed0000 + RANDOM)))
BODY='{"spec":"60000","phases":[{"count":4,"cpu":2000,"mem-mb":100,"estimate-ms":60000}]}'
for i in $(seq 20); do
  call $((i % DAEMONS)) POST "$JOB" "$BODY"
  [ "$STATUS" = 200 ] && break
  sleep 0.3
done
[ "$STATUS" = 200 ] || { echo "the job was not accepted"; exit 2; }
for i in $(seq 100); do [ "$(platform "running?job=$JOB" | grep -o '[0-9]*')" = 4 ] && break; sleep 0.1; done
note "workers: $(platform "running?job=$JOB")"
configure $SECOND
sleep 5
held=$(owner) || { echo "the partition has no owner"; exit 2; }
asked=$(((held + 1) % DAEMONS))
if [ "$TROUBLE" != 0 ]; then
  kill -9 "${PID[$held]}"
  note "daemon $held, the owner, is killed"
fi
sleep 0.2
call $asked POST "$JOB" "$BODY"
for i in $(seq 30); do
  sleep 0.1
  note "workers: $(platform "running?job=$JOB") doubled=$(doubled)"
done
[ "$TROUBLE" != 0 ] && { start_daemon "$held"; note "daemon $held starts again"; }
for i in $(seq 8); do
  sleep 1
  call $asked GET "$JOB"
  note "workers: $(platform "running?job=$JOB") doubled=$(doubled)"
done
note "audit of the workers: $(platform audit)"
grep -h -E "$JOB" "$T"/d*.log | cut -c1-260 >> "$RECORD"
if [ "$(doubled)" != 0 ]; then
  echo "TWICE: $(doubled) tasks were started while another run of them was at work"
  exit 1
fi
if [ "$STATUS" = 410 ]; then
  echo "LOST: the accepted job, which nobody has cancelled, is answered 410"
  exit 1
fi
echo "held"
exit 0
