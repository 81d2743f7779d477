#!/usr/bin/env bash
# Tests admission by forecast with daemon processes against the stand-in platform.
set -euo pipefail
cd "$(dirname "$0")/.."
B=build OUT=out/admission
rm -rf "$OUT"; mkdir -p "$OUT"
source tools/ports.sh
source tests/daemons.sh
base=$(free_block 20000 50 200 $(seq 0 39)) || { echo "no ports are free"; exit 1; }
pids=()
trap 'kill ${pids[*]} 2> /dev/null || true' EXIT
port() { echo $((base + 20 + $1 * 4)); }
start_daemon() { run_daemon "$1"; pids+=($!); } # INDEX
configure() { # VERSION ACCOUNTS: writes a configuration as operators do
  store_configuration '{"version":'$1',"routes":[{"name":"q","host":"h.example","path-prefix":"/q/","service":"svc","max-attempts":3,"stretch-factor":2,"target-duration-ms":1000}],
    "services":[{"name":"svc"}],"tenants":['$2']}'
}
call() { # DAEMON METHOD JOB KEY [BODY]: prints the status
  curl -s --max-time 5 -o "$OUT/answer" -D "$OUT/headers" -w '%{http_code}' -X "$2" -H 'Host: h.example' -H "Flamingobarrow-Key: $4" ${5:+-d "$5"} "http://127.0.0.1:$(port "$1")/q/$(printf '%016x' "$3")" || true
}
answers() { [ "$(call "$1" "$2" "$3" "$4" "${6:-}")" = "$5" ]; } # DAEMON METHOD JOB KEY STATUS [BODY]
in_force() { grep -q "ROUTES_IN_FORCE version=$2 " "$OUT/d$1.log"; }
overloaded() { grep -h 'POOL_OVERLOADED' "$OUT"/d?.log | tail -1 | grep -q "overloaded=$1"; }
next=100
# Sends jobs until one is refused at DAEMON: the first of each second is within the rate.
is_refused() {
  local i
  for i in 1 2 3; do
    next=$((next + 1))
    answers "$1" POST "$next" key-a 429 "$short" && return
  done
  return 1
}
counted() { cat <(curl -s "http://127.0.0.1:$(($(port 0) + 3))/metrics") <(curl -s "http://127.0.0.1:$(($(port 1) + 3))/metrics") | grep "^$1 " | awk '{ n += $2 } END { print n }'; }
short='{"spec":"150","phases":[{"count":1,"cpu":2000,"mem-mb":100,"estimate-ms":150}]}'
long='{"spec":"60000","phases":[{"count":8,"cpu":2000,"mem-mb":100,"estimate-ms":60000}]}'
a='{"name":"a","api-keys":["key-a"],"weight":1,"cap":{"cpu":2000,"mem-mb":0,"gpu":0}}'
b='{"name":"b","api-keys":["key-b"],"weight":9,"cap":{"cpu":0,"mem-mb":0,"gpu":0}}'

$B/standins/standin-platform "$base" 8 > "$OUT/platform.log" 2>&1 & pids+=($!)
until_true curl -s -o /dev/null "http://127.0.0.1:$base/audit" || die "the stand-in does not answer"
configure 2 "$a,$b"
start_daemon 0; start_daemon 1
until_true in_force 0 2 && until_true in_force 1 2 || die "the configuration is not in force"

step "without an overload nothing is refused"
until_true answers 0 POST 1 key-a 200 "$short" || die "a job is not accepted"
for i in $(seq 2 5); do answers 1 POST "$i" key-a 200 "$short" || die "job $i beyond the rate is refused without an overload"; done

step "what an account sends beyond its rate is refused while it has no value"
sleep 1.1 # so that the long job is within the rate
answers 0 POST 20 key-a 200 "$long" || die "a long job is not accepted"
until_true overloaded 1 || die "the overload is not reported"
for daemon in 0 1; do
  until_true is_refused "$daemon" || die "daemon $daemon refuses nothing"
  grep -q '^Retry-After: 10' "$OUT/headers" || die "no time to return: $(cat "$OUT/headers")"
  grep -q 'not run' "$OUT/answer" || die "the answer does not say that the job is not run"
  refused=$next
  until_true answers 0 GET "$refused" key-a 410 || die "a refused job exists"
done
[ "$(counted flamingobarrow_jobs_refused_by_forecast_total)" -ge 2 ] || die "refusals are not counted"
grep -q 'ADMISSION_REFUSED job=.* account=a .*limit=account' "$OUT"/d?.log || die "no refusal is logged"

step "the same job again, jobs within the rate and other accounts are accepted"
answers 0 POST 20 key-a 200 "$long" || die "a job that is stored is refused"
answers 1 POST 20 key-a 200 "$long" || die "a job that is stored is refused at another daemon"
for i in $(seq 30 39); do answers $((i % 2)) POST "$i" key-b 200 "$short" || die "job $i of another account is refused"; done

step "after the overload nothing is refused"
answers 0 DELETE 20 key-a 200 || die "the long job is not cancelled"
until_true overloaded 0 || die "the end of the overload is not reported"
sleep 0.5 # the notice reaches the other daemon
for i in $(seq 40 45); do answers $((i % 2)) POST "$i" key-a 200 "$short" || die "job $i is refused after the overload"; done

step "while the owner is gone everything is accepted"
sleep 1.1
answers 0 POST 21 key-a 200 "$long" || die "another long job is not accepted"
until_true overloaded 1 || die "the second overload is not reported"
owner=$(grep -l 'POOL_OVERLOADED.*overloaded=1' "$OUT"/d?.log | tail -1 | grep -o 'd[01].log' | grep -o '[01]')
kill -STOP "${pids[$((owner + 1))]}"
for i in $(seq 50 53); do answers $((1 - owner)) POST "$i" key-a 200 "$short" || die "job $i is refused without the owner"; done
[ "$(curl -s "http://127.0.0.1:$(($(port $((1 - owner))) + 3))/metrics" | grep '^flamingobarrow_jobs_admitted_unanswered_total ' | awk '{ print $2 }')" -ge 1 ] \
  || die "no job was accepted without an answer"
kill -CONT "${pids[$((owner + 1))]}"
audit_result=$(curl -s "http://127.0.0.1:$base/audit")
grep -q '"doubled":0,"over-capacity":0' <<< "$audit_result" || die "the audit of the workers has a violation: $audit_result"
echo "admission: ok"
