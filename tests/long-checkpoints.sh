#!/usr/bin/env bash
# A job with long checkpoints is kept when the owner of its pool is killed or stopped, and tasks of a worker that crashes go on from them.
set -euo pipefail
cd "$(dirname "$0")/.."
B=${B:-build} OUT=out/long-checkpoints TASKS=12 FIRST=6 P=7
rm -rf "$OUT"; mkdir -p "$OUT"
source tools/ports.sh
source tests/daemons.sh
base=$(free_block 20000 50 200 $(seq 0 39)) || { echo "no ports are free"; exit 1; }
declare -A PID
trap 'kill -9 ${PID[*]} 2> /dev/null || true' EXIT
port() { echo $((base + 20 + $1 * 4)); }
get() { curl -s --max-time 3 -w ' %{http_code}' -H 'Host: h.example' "http://127.0.0.1:$(port "$1")/q/$(job "$2")" || true; } # DAEMON JOB
submitted() { [ "$(curl -s --max-time 3 -o /dev/null -w '%{http_code}' -H 'Host: h.example' -d "$3" "http://127.0.0.1:$(port "$1")/q/$(job "$2")")" = 200 ]; } # DAEMON JOB BODY
count() { curl -s "http://127.0.0.1:$base/audit" | grep -o "\"$1\":[0-9]*" | cut -d: -f2; } # started, done or doubled
n_done() { [ "$(count done)" -ge "$1" ]; }
completed() { # DAEMON JOB
  local answer; answer=$(get "$1" "$2")
  case $answer in *410) die "the accepted job is answered $answer" ;; *completed*) return 0 ;; esac
  return 1
}

$B/standins/standin-platform "$base" 6 > "$OUT/platform.log" 2>&1 & PID[platform]=$!
for d in 0 1 2; do start_daemon $d; done
for d in 0 1 2; do until_true ready $d || die "daemon $d is not ready"; done

number=0
# Runs a job whose first tasks have ended when SIGNAL ends the owner of the pool.
play() { # SIGNAL CHECKPOINT-CHARS
  local before owner asked body
  number=$((number + 1)) before=$(count done)
  step "checkpoints of $2 characters, the owner ends by SIG$1"
  body='{"spec":"3000 saves=1 saved-chars='$2' cpu=4000","phases":[{"count":'$TASKS',"cpu":8000,"mem-mb":100,"estimate-ms":3000,"checkpointing":true}]}'
  until_true submitted $((number % 3)) $number "$body" || die "the job was not accepted"
  until_true n_done $((before + FIRST)) || die "$(count done) tasks ended"
  sleep 1.3
  until_true owned $P || die "the partition has no owner"
  owner=$(owner_of $P) asked=$(((owner + 1) % 3))
  kill "-$1" "${PID[$owner]}"; wait "${PID[$owner]}" 2> /dev/null || true
  until_true completed $asked $number || die "the job is shown as $(get $asked $number)"
  [ "$(count doubled)" = 0 ] || die "$(count doubled) tasks ran twice at a time"
  start_daemon "$owner"; until_true ready "$owner" || die "daemon $owner is not ready again"
}
play KILL 158
play TERM 20000
grep -h "LOG_RECORD_SKIPPED" "$OUT"/d?.log && die "a record was skipped"

step "a worker crashes, and its task goes on from its checkpoint"
number=$((number + 1))
body='{"spec":"8000 saves=1 saved-chars=20000 cpu=4000","phases":[{"count":6,"cpu":8000,"mem-mb":100,"estimate-ms":8000,"checkpointing":true}]}'
before=$(count done)
until_true submitted 0 $number "$body" || die "the job was not accepted"
sleep 6
began=$(date +%s)
control '{"crash":1,"for-ms":300}'
until_true n_done $((before + 6)) || die "$(($(count done) - before)) tasks ended"
[ $(($(date +%s) - began)) -le 7 ] || die "the tasks of a crashed worker ended $(($(date +%s) - began)) s later"
until_true completed 0 $number || die "the job is shown as $(get 0 $number)"
echo "long checkpoints: ok"
