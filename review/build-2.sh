#!/usr/bin/env bash
# Builds the stand-ins that the scripts in review/4 to review/8 start.  Needs the compiler, the
# libraries and Python 3 of the deploy build only.  The scripts are written for Python 3, which the
# deploy build needs as well (Meson), and use only its standard library.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
gcc -O2 -Iinclude -o target/review-2/standin-platform standins/standin-platform*.c \
  $(pkg-config --cflags --libs libsoup-3.0 json-glib-1.0)
echo "stand-ins: ok"
