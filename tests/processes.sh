#!/usr/bin/env bash
# Tests real processes on loopback, for what the fakes do not cover.  Waits for conditions
# instead of fixed times; prints each step.
set -euo pipefail
cd "$(dirname "$0")/.."
B=build OUT=out/processes
source tools/cell-lib.sh
step() { echo "-- $1"; }
expect() { # WHAT ACTUAL PATTERN
  echo "$2" | grep -qE "$3" || { echo "expected $1 to match /$3/, got: $2"; exit 1; }
}

step "invalid settings are rejected; the error names file, group, key and the expected value"
mkdir -p out
printf '[daemon]\nname=x\ncell=nowhere.ini\ndrain-time=ten\n' > out/bad.ini
expect "bad settings" "$($B/flamingobarrowd --settings out/bad.ini 2>&1 || echo "exit $?")" 'bad.ini: \[daemon\] drain-time: expected a time such as.*'
expect "the exit code" "$($B/flamingobarrowd --settings out/bad.ini 2> /dev/null || echo "exit $?")" '^exit 3$'

start_platform
for d in sofia-entry-0 sofia-entry-1 lima-entry-0 lima-entry-1; do start_daemon $d; done
until_true all_owned || { echo "not every shard has an owner"; exit 1; }

step "reload: changeable settings take effect, the others are rejected with an error"
logged() { grep -qE "$2" "$OUT/$1.log"; }
sed -i 's/^drain-time=.*/drain-time=9s/' "$OUT/sofia-entry-1.ini"
kill -HUP "${DAEMON[sofia-entry-1]}"
until_true logged sofia-entry-1 'FB1004 .*drain_ms=9000' || { echo "the reload was not logged"; exit 1; }
sed -i 's/^name=.*/name=sofia-entry-5/' "$OUT/sofia-entry-1.ini"
kill -HUP "${DAEMON[sofia-entry-1]}"
until_true logged sofia-entry-1 'FB1005 .*name: needs a restart' || { echo "the change of the name was not rejected"; exit 1; }

step "apply: the policy is checked, signed and in force on all daemons; a wrong key is rejected"
expect "apply" "$($B/flamingobarrow -d "$sofia" -k "$OUT/zavisimost.key" apply examples/zavisimost.ini)" 'revision 1 of zavisimost is in force on all 4 daemons'
expect "a wrong key" "$($B/flamingobarrow -d "$sofia" -k "$OUT/cobranzas.key" apply examples/zavisimost.ini 2>&1 || true)" 'not signed with the key of partner zavisimost'
expect "apply" "$($B/flamingobarrow -d "$lima" -k "$OUT/cobranzas.key" apply examples/cobranzas.ini)" 'revision 1 of cobranzas is in force on all 4 daemons'
expect "diff" "$($B/flamingobarrow -d "$sofia" diff examples/zavisimost.ini)" 'against revision 1'

step "a request returns the complete answer; the same idempotency key is the same request"
send_request() { curl -s --max-time 30 -D - -X POST -H "Idempotency-Key: $1" "http://$2/v1/requests?class=$3" -d x; }
first=$(send_request k1 "$lima" reminder)
expect "a reminder" "$first" 'X-Outcome: completed'
job=$(echo "$first" | sed -n 's/^X-Job: \([0-9a-f]*\).*/\1/p')
expect "the same reminder" "$(send_request k1 "127.0.0.1:$((base + 28))" reminder)" "X-Job: $job"
expect "the job" "$($B/flamingobarrow -d "$lima" job "$job")" '"outcome":"completed"'
expect "an unknown class" "$(send_request k2 "$lima" nothing)" 'class: expected one that the partner'

step "a drained host gets no new work until the drain is cancelled"
expect "drain" "$($B/flamingobarrow -d "$lima" -k "$OUT/cobranzas.key" drain dispatch-0-0)" 'revision 2 of cobranzas is in force'
host_state() { for p in $((base + 27)) $((base + 28)); do $B/flamingobarrow -d 127.0.0.1:$p -f json status; done | grep -o '"name":"dispatch-0-0","state":"[a-z]*"'; }
is_leaving() { host_state | grep -q leaving; }
is_live() { host_state | grep -q '"ok"'; }
until_true is_leaving || { echo "the host is not leaving: $(host_state)"; exit 1; }
expect "drain off" "$($B/flamingobarrow -d "$lima" -k "$OUT/cobranzas.key" drain dispatch-0-0 off)" 'revision 3 of cobranzas is in force'
until_true is_live || { echo "the host is still leaving: $(host_state)"; exit 1; }

step "invalid requests get a specific error"
expect "no class" "$(curl -s -X POST "http://$sofia/v1/requests" -d x)" 'expected .class=NAME'
expect "a large body" "$(head -c 100000 /dev/zero | curl -s -o /dev/null -w '%{http_code}' -X POST --data-binary @- "http://$sofia/v1/requests?class=check")" '^413$'
expect "a bad job id" "$(curl -s "http://$sofia/v1/jobs/xyz")" 'hexadecimal'
expect "no such job" "$(curl -s "http://$sofia/v1/jobs/1234")" 'no such job'

step "a peer with a wrong key is rejected"
sed 's/^peer-key=.*/peer-key=another/' "$OUT/cell.ini" > "$OUT/other-cell.ini"
printf '[daemon]\nname=sofia-entry-2\ncell=other-cell.ini\n' > "$OUT/wrong-key.ini"
start_daemon wrong-key
batch_rejected() { fetch "http://$sofia/metrics" | grep -qE '^flamingobarrow_peer_rejected_total [1-9]'; }
until_true batch_rejected || { echo "the batches with the wrong key were not rejected"; exit 1; }
kill "${DAEMON[wrong-key]}"

step "a planned stop answers the requests in flight and hands over the shards"
requests() { fetch "http://$sofia/metrics" | sed -n 's/^flamingobarrow_requests_total //p'; }
requests_before=$(requests)
request_arrived() { [ "$(requests)" -gt "$requests_before" ]; }
send_request k3 "$sofia" "pull-request&run-ms=4000" > "$OUT/in-flight.txt" & request_pid=$!
until_true request_arrived || { echo "the request did not arrive"; exit 1; }
kill -TERM "${DAEMON[sofia-entry-0]}"
wait $request_pid || true
expect "the answer to the request in flight" "$(cat "$OUT/in-flight.txt")" 'X-Outcome: completed'
code=0; wait "${DAEMON[sofia-entry-0]}" || code=$?
[ $code = 0 ] || { echo "the daemon exited with status $code"; exit 1; }
sofia=127.0.0.1:$((base + 21))
kill -TERM "${DAEMON[lima-entry-0]}"
code=0; wait "${DAEMON[lima-entry-0]}" || code=$?
[ $code = 0 ] || { echo "the other daemon exited with status $code"; exit 1; }
until_true all_owned || { echo "not every shard was handed over"; exit 1; }

step "the oracle at the workers found no violation"
record=$(fetch "http://127.0.0.1:$((base + 142))/record")
expect "the record" "$record" '"doubled":0,"over_capacity":0.*"broken":""'
echo "ok"
