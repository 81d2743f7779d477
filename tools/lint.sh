#!/usr/bin/env bash
# Runs clang-tidy on the product and the tests, with the checks of .clang-tidy.
set -euo pipefail
cd "$(dirname "$0")/.."
# Text of other programs is read by fb_json_parse() alone, which limits its depth and size.
if git grep -n 'json_parser_\(new\|load\)\|json_from_string' -- 'src/*.c' 'platform/*.c' 'programs/*.c' 'tools/*.c' ':!src/net/json.c'; then
  echo "use fb_json_parse()"
  exit 1
fi
git ls-files -co --exclude-standard -- 'src/*.c' 'platform/*.c' 'programs/*.c' 'standins/*.c' 'tools/*.c' 'tests/*.c' 'fuzz/*.c' 'bench/*.c' 'soak/*.c' \
  | grep -v libfuzzer | xargs -P "$(nproc)" -n 6 clang-tidy -p build --quiet
