#!/usr/bin/env bash
# Scaling benchmark: measures with stand-ins how the cost of a daemon grows with the rate of
# starts and with the number of daemons, and how the cost of decisions alone grows with the size of
# the cell.  Costs are CPU time, not wall time; each figure is an average over the daemons between
# two readings of their counters.
set -euo pipefail
cd "$(dirname "$0")/.."
B=build OUT=out/slopes
source tools/cell-lib.sh
names=(sofia-entry-0 lima-entry-0 sofia-entry-1 lima-entry-1 sofia-entry-2 lima-entry-2 sofia-entry-3 lima-entry-3 sofia-entry-4 lima-entry-4 sofia-entry-5 lima-entry-5 sofia-entry-6 lima-entry-6)
read_counters() { $B/tools/flamingobarrow-load --cell "$OUT/cell.ini" --record-port $((base + 142)) --seconds 0 --scale 0 --terse; }
# Prints the number of daemons, and per daemon and second: CPU %, RSS MB, peer KB, peer messages,
# starts, exchanges, appends, platform KB.
print_rates() { # BEFORE AFTER
  echo "$1 $2" | awk '{ t = $14 - $3; printf "%4d  %6.3f  %6.2f  %7.3f  %7.2f  %6.3f  %6.2f  %6.3f  %8.2f\n", $12, 100*($13-$2)/t, $15/1e6, ($16-$5)/t/1000, ($17-$6)/t, ($18-$7)/t, ($19-$8)/t, ($20-$9)/t, ($22-$11)/t/1000 }'
}
run_for() { # SCALE SECONDS
  local before after
  before=$(read_counters)
  $B/tools/flamingobarrow-load --cell "$OUT/cell.ini" --record-port $((base + 142)) --seconds "$2" --scale "$1" --terse > /dev/null
  after=$(read_counters)
  print_rates "$before" "$after"
}
header="daemons  CPU%  RSS-MB  peerKB/s  peermsg/s  starts/s exch/s appends/s platformKB/s  (per daemon)"

for n in ${SLOPE_DAEMONS:-4 8 14}; do
  start_platform
  for d in "${names[@]:0:$n}"; do start_daemon "$d"; done
  until_true all_owned
  $B/flamingobarrow -d "$sofia" -k "$OUT/zavisimost.key" apply examples/zavisimost.ini > /dev/null
  $B/flamingobarrow -d "$lima" -k "$OUT/cobranzas.key" apply examples/cobranzas.ini > /dev/null
  pause 3
  echo "$n daemons, idle"; echo "$header"
  run_for 0 12
  if [ "$n" = 14 ]; then
    for scale in 0.1 0.3 1; do echo "14 daemons, load x$scale"; run_for $scale 12; done
  fi
  kill "${PIDS[@]}" 2> /dev/null || true; wait 2> /dev/null || true; PIDS=()
done
[ -x $B/bench/flamingobarrow-bench ] && $B/bench/flamingobarrow-bench --slopes
