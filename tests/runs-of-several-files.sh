#!/usr/bin/env bash
# `flamingobarrow runs` on one file for each daemon, standard input, a margin, and files that cannot be read.
set -uo pipefail
cd "$(dirname "$0")/.."
B=build
dir=$(mktemp -d)
trap 'rm -r "$dir"' EXIT
failed=0
expect() { # NAME STATUS EXPECTED COMMAND...
  local name=$1 status=$2 expected=$3; shift 3
  "$@" > "$dir/out" 2>&1
  local got=$?
  [ "$got" = "$status" ] || { echo "$name: exit $got, expected $status"; failed=1; }
  diff "$dir/out" "$expected" || { echo "$name: unexpected output"; failed=1; }
}
task=00000000000000a1.0.0.0
log=tests/runs/overlap-of-two-owners
sed '$d' "$log.expected" > "$dir/expected"
for daemon in cobalt-1 cobalt-2; do grep " $daemon " "$log.log" > "$dir/$daemon.log"; done
expect "one file for each daemon" 8 "$dir/expected" $B/flamingobarrow runs $task "$dir/cobalt-2.log" "$dir/cobalt-1.log"
expect "the same file twice" 8 "$dir/expected" $B/flamingobarrow runs $task "$dir/cobalt-2.log" "$dir/cobalt-1.log" "$dir/cobalt-2.log"
expect "standard input" 8 "$dir/expected" $B/flamingobarrow runs $task "$dir/cobalt-1.log" - < "$dir/cobalt-2.log"

sed -e '$d' -e 's/by at most 10 ms/by at most 3 ms/' -e 's/may overlap: \(the earlier ended\) \(4 ms after the later began\).*/overlap: \1 on record \2/' \
  -e 's/^no verdict: runs may overlap/verdict: runs overlap/' tests/runs/ends-within-the-margin.expected > "$dir/expected"
expect "a smaller margin" 8 "$dir/expected" $B/flamingobarrow --margin 3 runs $task tests/runs/ends-within-the-margin.log

$B/flamingobarrow runs $task "$dir/cobalt-2.log" > "$dir/out" 2>&1
[ $? = 9 ] || { echo "one of two daemons' files: expected exit 9"; failed=1; }
grep -qx "missing: the lines are of 1 daemons, and DAEMONS_READ tells of 2" "$dir/out" || { echo "one of two daemons' files: no line tells"; failed=1; }

$B/flamingobarrow runs $task "$dir/none.log" > "$dir/out" 2>&1
[ $? = 3 ] || { echo "a file that does not exist: expected exit 3"; failed=1; }
: > "$dir/empty.log"
printf '%s\n' "missing: empty.log: it has no lines" "missing: no line is about $task" \
  "clocks of two daemons are taken to differ by at most 10 ms" "no verdict: the logs do not suffice" > "$dir/expected"
expect "an empty file" 9 "$dir/expected" $B/flamingobarrow runs $task "$dir/empty.log"
head -c 4096 /dev/zero > "$dir/zeros.log"
$B/flamingobarrow runs $task "$dir/zeros.log" > "$dir/out" 2>&1
[ $? = 9 ] || { echo "a file of zeros: expected exit 9"; failed=1; }
exit $failed
