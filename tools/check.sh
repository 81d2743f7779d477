#!/usr/bin/env bash
# All tests, format and lint.  Fixed seeds and fake clocks: the same verdict on
# every run.
set -uo pipefail
cd "$(dirname "$0")/.."
B=build
passed=0 failed=0
# A line of KNOWN-RED.txt begins with the name of a check, or with an input of the fuzzer.
is_known_red() { awk -v name="$1: " 'index($0, name) == 1 { found = 1 } END { exit !found }' KNOWN-RED.txt; }
verdict() { # NAME COMMAND...
  local name=$1 red=; shift
  is_known_red "$name" && red=1
  if "$@" > out/check.log 2>&1; then
    passed=$((passed + 1))
    [ -z "$red" ] || { failed=$((failed + 1)); echo "PASSES, so its line has to leave KNOWN-RED.txt: $name"; }
  elif [ -n "$red" ]; then echo "KNOWN RED $name"; tail -5 out/check.log
  else failed=$((failed + 1)); echo "FAILED $name"; tail -20 out/check.log; fi
}
mkdir -p out

verdict "format" tools/format.sh
verdict "lint" tools/lint.sh
verdict "catalogues" tools/check-docs.sh
verdict "units" $B/tests/test-units
verdict "parts of a daemon on the platform" $B/tests/test-entry
verdict "advice of two owners" $B/tests/test-advice
verdict "links between daemons" $B/tests/test-links
verdict "calls over HTTP" $B/tests/test-http
verdict "messages of the platform" $B/tests/test-wire
pool() { diff <($B/tests/test-pool "$1" 2>&1) "${1%.script}.expected"; }
script() { diff <($B/tests/test-script "$1" 2>&1) "${1%.script}.expected"; }
for s in tests/scripts/*.script; do verdict "$(basename "$s")" script "$s"; done
for s in tests/pools/*.script; do verdict "pool $(basename "$s")" pool "$s"; done
policy() { diff <($B/flamingobarrow check "$1" 2>&1 | sed 's|.*/||') "${1%.ini}.expected"; }
for s in tests/policies/*.ini; do verdict "$(basename "$s")" policy "$s"; done
verdict "fuzz corpus" $B/fuzz/fuzz-steps fuzz/corpus/*
verdict "fuzz seeds" $B/fuzz/fuzz-steps --seed 1 --inputs 400
verdict "fuzz pools" $B/fuzz/fuzz-pool 1 500
verdict "fuzz pools with advice" $B/fuzz/fuzz-pool 1 500 advised
verdict "fuzz readers" $B/fuzz/fuzz-readers --seed 1 --inputs 20000
verdict "processes" tests/processes.sh
verdict "processes on the platform" tests/platform.sh

# A fault that is known and not mended yet is told on every run; once it is
# mended its line must go, and an input join the corpus.
known_red() { $B/fuzz/fuzz-steps "$1"; [ $? = 1 ]; }
while IFS= read -r line; do
  echo "KNOWN RED $line"
  [ ! -f "${line%%:*}" ] || verdict "still red: ${line%%:*}" known_red "${line%%:*}"
done < KNOWN-RED.txt

echo "$passed passed, $failed failed"
[ "$failed" = 0 ]
