#!/usr/bin/env bash
# Plots one scenario of the benchmark for all policies: reserved shares of accelerators and CPU, and
# the longest p99 of the waiting times.  Writes out/NAME.png.
set -euo pipefail
cd "$(dirname "$0")/.."
scenario=${1:-bench/scenarios/accelerators-saturated.ini}
name=$(basename "$scenario" .ini)
mkdir -p out
build/bench/flamingobarrow-bench --json "$scenario" | while read -r line; do
  policy=$(sed 's/.*"policy":"\([^"]*\)".*/\1/' <<< "$line")
  cpu=$(sed 's/.*"cpu_held":\([0-9.]*\).*/\1/' <<< "$line")
  accel=$(sed 's/.*"accel_held":\([0-9.]*\).*/\1/' <<< "$line")
  p99=$(grep -o '"p99_ms":[0-9]*' <<< "$line" | cut -d: -f2 | sort -n | tail -1)
  echo "$policy $cpu $accel $p99"
done > "out/$name.dat"
gnuplot <<EOF
set terminal pngcairo size 1000,500
set output "out/$name.png"
set title "$name"
set style data histogram
set style fill solid 0.7
set yrange [0:1]
set ylabel "share reserved"
set y2label "longest p99 of the waiting time, ms"
set y2tics
set y2range [0:*]
set xtics rotate by -20
set key outside
plot "out/$name.dat" using 2:xtic(1) title "CPU", "" using 3 title "accelerators", "" using 0:4 axes x1y2 with linespoints lw 2 pt 7 title "p99"
EOF
echo "out/$name.png"
