#!/usr/bin/env bash
# Checks the list of events, the metrics page, the man pages and the table of faults against the code.
set -euo pipefail
cd "$(dirname "$0")/.."
failed=0
report() { echo "$1"; failed=1; }
while read -r number name; do
  grep -q "| FB$number | $name |" docs/EVENTS.md || report "docs/EVENTS.md lacks FB$number $name"
done < <(sed -n 's/^FB_EVENT (\([0-9]*\), \([A-Z_]*\),.*/\1 \2/p' include/events.def)
[ "$(grep -c '^| FB' docs/EVENTS.md)" = "$(grep -c '^FB_EVENT' include/events.def)" ] || report "docs/EVENTS.md names events that the code does not have"
while read -r name; do
  grep -q "^| \`$name\` |" docs/METRICS.md || report "docs/METRICS.md lacks $name"
done < <(cat include/counters.def include/histograms.def | grep -o '"flamingobarrow_[a-z_]*"' | tr -d '"')
[ "$(grep -c '^| `flamingobarrow_' docs/METRICS.md)" = "$(cat include/counters.def include/histograms.def | grep -c '^FB_')" ] || report "docs/METRICS.md names counters that the code does not have"
while read -r kind; do
  grep -q "^| kind \`$kind\` |" docs/METRICS.md || report "docs/METRICS.md lacks kind $kind"
done < <(sed -n 's/^FB_TRAFFIC ([A-Z_]*, "\([a-z-]*\)",.*/\1/p' include/traffic.def)
[ "$(grep -c '^| kind `' docs/METRICS.md)" = "$(grep -c '^FB_TRAFFIC' include/traffic.def)" ] || report "docs/METRICS.md names kinds of bytes that the code does not have"
for program in flamingobarrow flamingobarrowd; do
  case $program in flamingobarrow) sources=src/cli/cli.c ;; *) sources=src/daemon/daemon.c ;; esac
  while read -r option; do
    grep -q "^\.BI* *\\\\-\\\\-$option" man/$program.* || report "man/$program lacks --$option"
  done < <(sed -n 's/^  { "\([a-z-]*\)", .[a-z0-9]*.\?, .*G_OPTION.*/\1/p' $sources)
done
while read -r subcommand; do
  grep -q "^\.B $subcommand" man/flamingobarrow.1 || report "man/flamingobarrow.1 lacks $subcommand"
done < <(sed -n 's/^  { "\([a-z]*\)", "[^"]*", "[^"]*",.*/\1/p' src/cli/cli-commands.c src/cli/cli-queries.c)
# Each fault of the soak test, the pool fuzzer and the stand-in platform needs a row in the table.
while read -r fault; do
  grep -q "^| .*\`$fault\`" docs/design/faults.md || report "docs/design/faults.md lacks $fault"
done < <(sed -n '/names\[SOAK_FAULT_N\]/,/};/p' soak/plan.c | grep -o '"[a-z-]*"' | tr -d '"'
  sed -n '/modes\[\]/,/};/p' fuzz/fuzz-pool.c | grep -o '"[a-z-]*"' | tr -d '"'
  sed -n 's/.*has_member (body, "\([a-z-]*\)").*/\1/p' standins/standin-platform.c)
exit $failed
