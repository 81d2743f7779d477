#!/usr/bin/env bash
# Formats the C sources (--write), or fails and lists the files that are not
# formatted.  Generated code is left out.
set -euo pipefail
cd "$(dirname "$0")/.."
files=$(git ls-files -co --exclude-standard -- '*.c' '*.h' | grep -v '^rpc/')
if [ "${1:-}" = --write ]; then
  # shellcheck disable=SC2086
  clang-format -i $files
else
  # shellcheck disable=SC2086
  clang-format --dry-run --Werror $files
fi
