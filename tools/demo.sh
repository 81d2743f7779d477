#!/usr/bin/env bash
# Demo with stand-ins: 14 daemons, 96 workers, a log and a host list under load, while a daemon
# is killed, a worker freezes and the log is down for some time.  Takes less than two minutes; fails
# when a guarantee was violated.
set -euo pipefail
cd "$(dirname "$0")/.."
B=build OUT=out/demo
source tools/cell-lib.sh

start_platform
for i in 0 1 2 3 4 5 6; do start_daemon sofia-entry-$i; start_daemon lima-entry-$i; done
echo "14 daemons, 96 workers in 24 racks; waiting until every shard has an owner"
until_true all_owned || { echo "shards without an owner"; $B/flamingobarrow -d "$sofia" status | grep none; exit 1; }
$B/flamingobarrow -d "$sofia" -k "$OUT/zavisimost.key" apply examples/zavisimost.ini
$B/flamingobarrow -d "$lima" -k "$OUT/cobranzas.key" apply examples/cobranzas.ini

log=$((base + 140)) worker=$((base + 41))
$B/tools/flamingobarrow-load --cell "$OUT/cell.ini" --record-port $((base + 142)) \
  --seconds "${SECONDS_OF_WORK:-40}" > "$OUT/table.txt" & load=$!
pause 8;  echo "  8 s: a daemon is killed"
kill -9 "${DAEMON[lima-entry-3]}"; wait "${DAEMON[lima-entry-3]}" 2> /dev/null || true
pause 6;  echo " 14 s: a worker freezes";                  control $worker '{"pause":true}'
pause 4;  echo " 18 s: the log goes down";                 control $log '{"outage":true}'
pause 6;  echo " 24 s: the log is up, the worker resumes"; control $log '{"outage":false}'; control $worker '{"pause":false}'
pause 2;  echo " 26 s: the killed daemon is restarted";    start_daemon lima-entry-3
pause 4;  echo " 30 s: another daemon leaves as planned";  kill -TERM "${DAEMON[sofia-entry-2]}"
pause 4;  echo " 34 s: the log drops responses for 2 s";   control $log '{"lose_answers":true}'
pause 2;                                                   control $log '{"lose_answers":false}'
code=0
wait $load || code=$?
echo
cat "$OUT/table.txt"
exit $code
