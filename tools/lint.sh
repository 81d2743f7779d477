#!/usr/bin/env bash
# Runs clang-tidy on the product and the tests, with the checks of .clang-tidy.
set -euo pipefail
cd "$(dirname "$0")/.."
git ls-files -co --exclude-standard -- 'src/*.c' 'platform/*.c' 'programs/*.c' 'standins/*.c' 'tools/*.c' 'tests/*.c' 'fuzz/*.c' 'bench/*.c' 'soak/*.c' \
  | grep -v libfuzzer | xargs -P "$(nproc)" -n 6 clang-tidy -p build --quiet
