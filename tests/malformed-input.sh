#!/usr/bin/env bash
# Records and requests that cannot be decoded are skipped or refused, and no daemon ends.
set -euo pipefail
cd "$(dirname "$0")/.."
B=build OUT=out/malformed-input
rm -rf "$OUT"; mkdir -p "$OUT"
source tools/ports.sh
source tests/daemons.sh
base=$(free_block 20000 50 200 $(seq 0 39)) || { echo "no ports are free"; exit 1; }
declare -A PID
trap 'kill ${PID[*]} 2> /dev/null || true' EXIT
port() { echo $((base + 20 + $1 * 4)); }
call() { # DAEMON METHOD JOB [CURL OPTION...]: prints the status
  curl -s --max-time 5 -o "$OUT/answer" -w '%{http_code}' -X "$2" -H 'Host: h.example' "${@:4}" "http://127.0.0.1:$(port "$1")/q/$(job "$3")" || true
}
submitted() { [ "$(call "$1" POST "$2" -d '{"spec":"150","phases":[{"count":3,"cpu":2000,"mem-mb":100,"estimate-ms":150}]}')" = 200 ]; }
completed() { [ "$(call "$1" GET "$2")" = 200 ] && grep -q '"completed"' "$OUT/answer"; }
logged() { grep -q "$2" "$OUT/d$1.log"; } # DAEMON TEXT
reported() { cat "$OUT"/d?.log | grep -q "LOG_RECORD_SKIPPED $1"; } # TEXT; daemons without a pool do not read entries
all_run() { local d; for d in 0 1 2; do kill -0 "${PID[$d]}" 2> /dev/null || die "$1: daemon $d has ended: $(tail -2 "$OUT/d$d.log")"; done; } # CAUSE
runs_jobs() { # CAUSE JOB
  until_true submitted 0 "$2" || die "$1: a job was not accepted"
  until_true completed 1 "$2" || die "$1: the job has not completed: $(cat "$OUT/answer")"
  all_run "$1"
}
restart_all() { local d; for d in 0 1 2; do kill -9 "${PID[$d]}"; wait "${PID[$d]}" 2> /dev/null || true; : > "$OUT/d$d.log"; start_daemon "$d"; done; }
is_refused() { # CAUSE DAEMON FILE
  local status; status=$(call "$2" POST 99 --data-binary "@$3")
  [ "$status" = 400 ] || die "$1: the request was answered with status $status"
}

printf '[%.0s' $(seq 250000) > "$OUT/brackets"
head -c 100000 "$OUT/brackets" > "$OUT/deep"
{ printf '{"spec":"1","phases":'; cat "$OUT/deep"; } > "$OUT/deep-steps"
printf '\377\376{' > "$OUT/bytes"
$B/standins/standin-platform "$base" 6 > "$OUT/platform.log" 2>&1 & PID[platform]=$!
for d in 0 1 2; do start_daemon $d; done
for d in 0 1 2; do until_true ready $d || die "daemon $d is not ready"; done
runs_jobs "before" 1

step "entries that cannot be decoded are skipped, and the other workers are used"
store_record keyed.servers other-writer "$OUT/brackets" || die "the entry was not stored"
store_record keyed.servers bytes "$OUT/bytes" || die "the entry was not stored"
store_record keyed.servers $'line\nbreak' "$OUT/bytes" || die "the entry was not stored"
until_true reported 'the entry of worker other-writer: the text is nested too deep' || die "no daemon reports the deep entry"
until_true reported 'the entry of worker bytes: the text is not UTF-8' || die "no daemon reports the entry of bytes"
until_true reported 'topic=keyed.servers .*malformed' || die "no daemon reports the key"
runs_jobs "entries" 2

step "a configuration that cannot be decoded is ignored, and the one before stays in force"
store_record keyed.op config "$OUT/brackets" || die "the configuration was not stored"
for d in 0 1 2; do until_true logged $d 'CONFIG_IGNORED .*nested too deep' || die "daemon $d does not report the configuration"; done
runs_jobs "configuration" 3

step "requests that cannot be decoded are refused"
for d in 0 1 2; do
  for file in deep deep-steps bytes; do is_refused "$file" $d "$OUT/$file"; done
done
runs_jobs "requests" 4

step "long bodies are refused while they arrive, at a path that exists or not, and use no memory"
memory_mb() { awk '/^VmHWM/ { print int($2 / 1024) }' "/proc/${PID[0]}/status"; }
send_zeros() { # BYTES PATH [CURL OPTION...]: prints the status; 000: the connection was closed
  local code=0
  head -c "$1" /dev/zero | curl -s --max-time 10 -o /dev/null -w '%{http_code}' -X POST -H 'Host: h.example' -H 'Expect:' "${@:3}" --data-binary @- "http://127.0.0.1:$(port 0)$2" || code=$?
  [ $code != 28 ] || echo " timeout"
}
before_mb=$(memory_mb)
for path in "/q/$(job 99)" /elsewhere; do
  for option in "Content-Type: application/json" "Transfer-Encoding: chunked"; do
    status=$(send_zeros 1000000 "$path" -H "$option")
    [ "$status" = 413 ] || die "$option, 1 MB to $path: the request was answered with status $status"
    status=$(send_zeros 100000000 "$path" -H "$option")
    [[ $status =~ ^(413|000)$ ]] || die "$option, 100 MB to $path: the request was answered with status $status"
  done
done
senders=()
for k in $(seq 40); do send_zeros 5000000 "/q/$(job 99)" > /dev/null & senders+=($!); done
wait "${senders[@]}"
[ "$(memory_mb)" -le $((before_mb + 16)) ] || die "the daemon has grown from $before_mb to $(memory_mb) MB"
runs_jobs "long bodies" 6

step "daemons that start later skip the same entries"
store_configuration '{"version":3,"routes":[{"name":"q","host":"h.example","path-prefix":"/q/","service":"svc","max-attempts":3,"stretch-factor":2,"target-duration-ms":1000}],"services":[{"name":"svc"}]}'
restart_all
for d in 0 1 2; do until_true ready $d || die "daemon $d is not ready: $(tail -2 "$OUT/d$d.log")"; done
until_true reported 'the entry of worker other-writer' || die "no daemon reports the deep entry"
until_true completed 2 4 || die "a job is not known after the start"
runs_jobs "start" 5
# Stores 600 records in one append, more than a page of a listing holds.
store_page() { # TOPIC KEY-PREFIX
  local LC_ALL=C k; : > "$OUT/records"
  for k in $(seq 100 699); do printf "\\0\\0\\0\\$(printf '%03o' $((${#2} + 5)))\\$(printf '%03o' $((${#2} + 3)))%s%s{" "$2" "$k" >> "$OUT/records"; done
  append_records "$1" "$OUT/records"
}
n=10
# Restarts the daemons with each form in which listings show keys that are not UTF-8.
runs_jobs_in_each_form() { # CAUSE
  local form
  for form in raw replaced surrogates omitted; do
    control "{\"malformed-keys\":\"$form\"}"
    restart_all
    runs_jobs "$1, $form" $n
    n=$((n + 1))
  done
}

step "listings with keys that are not UTF-8 are read, whatever form the store shows them in"
not_utf8=$(printf '\377%.0s' $(seq 40))
store_record keyed.servers "$not_utf8" "$OUT/bytes" || die "the entry was not stored"
store_record keyed.op "$not_utf8" "$OUT/bytes" || die "the record was not stored"
for part in $(seq 0 31); do
  store_record keyed.jobs "$not_utf8" "$OUT/bytes" "$part" || die "the record was not stored"
  store_record keyed.progress "$not_utf8" "$OUT/bytes" "$part" || die "the record was not stored"
done
runs_jobs_in_each_form "keys"

step "a page of malformed keys does not end a listing"
store_page keyed.servers '!' || die "the entries were not stored"
store_page keyed.servers $'"\n' || die "the entries were not stored"
store_page keyed.servers $'#\377' || die "the entries were not stored"
runs_jobs_in_each_form "pages of keys"
echo "malformed input: ok"
