#!/usr/bin/env bash
# Builds the stand-ins that the scripts in review/4 to review/8 start.  Needs the compiler, the
# libraries and Python 3 of the deploy build only (Meson needs Python as well); the scripts use its
# standard library alone.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review-2
flags=$(pkg-config --cflags --libs libsoup-3.0 json-glib-1.0)
mkdir -p $out
# The project's own stand-in of the platform.
# shellcheck disable=SC2086
gcc -O2 -Iinclude -o $out/standin-platform standins/standin-platform*.c $flags
# The same with workers of 40 cores in place of 8, which report a checkpoint with each end.
rm -rf $out/checkpoints && mkdir $out/checkpoints
cp standins/standin-platform* $out/checkpoints
sed -i -e 's/^#define WORKER_CPU_MILLI 8000$/#define WORKER_CPU_MILLI 40000/' \
  -e 's/,\\"%s\\",\\"\\"\]"/,\\"%s\\",\\"00000bb87a21d94b\\"]"/' \
  $out/checkpoints/standin-platform-workers.c
grep -q 'WORKER_CPU_MILLI 40000' $out/checkpoints/standin-platform-workers.c
grep -q '00000bb87a21d94b' $out/checkpoints/standin-platform-workers.c
# shellcheck disable=SC2086
gcc -O2 -Iinclude -o $out/standin-platform-checkpoints $out/checkpoints/*.c $flags
for file in review/standins-2/*.py review/[5-8]/case.py; do
  PYTHONDONTWRITEBYTECODE=1 python3 -c \
    'import ast, sys; ast.parse(open(sys.argv[1]).read(), sys.argv[1])' "$file"
done
echo "stand-ins: ok"
