#!/usr/bin/env bash
# Mutation test of the oracle: applies each mutant of tests/mutants to a copy of the tree and runs
# the corpus, then inputs of fixed seeds, until a violation is found.  The table is the same on every
# run.  INPUTS limits the inputs per mutant, JOBS the number of mutants tested in parallel.
set -uo pipefail
cd "$(dirname "$0")/.."
export INPUTS=${INPUTS:-3000}
rm -rf out/mutants; mkdir -p out/mutants

try_one() {
  local patch=$1 name tree build first=
  name=$(basename "$patch" .patch)
  tree=out/mutants/$name/tree build=out/mutants/$name/build
  mkdir -p "$tree"
  git ls-files -z | xargs -0 cp --parents -t "$tree"
  if ! patch -s -d "$tree" -p1 < "$patch" || ! meson setup -Dwerror=false "$build" "$tree" > /dev/null \
     || ! ninja -C "$build" -j2 --quiet fuzz/fuzz-steps > "out/mutants/$name.log" 2>&1; then
    printf '%-30s %-8s %s\n' "$name" - "DOES NOT BUILD"
    return
  fi
  first=$("$build/fuzz/fuzz-steps" --stop-at-first fuzz/corpus/* 2>&1 | grep -m1 '(step')
  [ -n "$first" ] || first=$("$build/fuzz/fuzz-steps" --seed 1 --inputs "$INPUTS" --stop-at-first 2>&1 | grep -m1 '(step')
  rm -rf "out/mutants/$name"
  if [ -n "$first" ]; then
    printf '%-30s %-8s %s\n' "$name" "$(echo "$first" | sed 's/.*(step \([0-9]*\))/\1/')" "$(echo "$first" | sed 's/^[^:]*: \(.*\) (step.*/\1/')"
  else
    printf '%-30s %-8s %s\n' "$name" - "NOT CAUGHT"
  fi
}
export -f try_one
printf '%-30s %-8s %s\n' mutant steps "violation" | tee out/mutants/table
patches=("$@"); [ $# -gt 0 ] || patches=(tests/mutants/*.patch)
printf '%s\n' "${patches[@]}" | xargs -P "${JOBS:-4}" -I{} bash -c 'try_one {}' | tee -a out/mutants/table
caught=$(tail -n +2 out/mutants/table | grep -cvE 'NOT CAUGHT|DOES NOT BUILD')
all=${#patches[@]}
echo "$caught of $all caught"
[ "$caught" = "$all" ]
