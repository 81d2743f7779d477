#!/usr/bin/env bash
# Fuzzes parsers and whole nodes for MINUTES, starting from the committed corpus, with libFuzzer and
# the address sanitizer.  The input of a failure is written to out/fuzz; add it to fuzz/corpus with
# the change that fixes the failure.
set -euo pipefail
cd "$(dirname "$0")/.."
minutes=${1:-1}
build=build-fuzz
[ -f $build/build.ninja ] || CC=clang meson setup $build -Dfuzzers=true -Dwerror=false \
  -Dc_args='-fsanitize=fuzzer-no-link,address -fno-omit-frame-pointer' -Dc_link_args='-fsanitize=address' -Db_lundef=false > /dev/null
ninja -C $build --quiet fuzz/fuzz-node fuzz/fuzz-readers-libfuzzer
mkdir -p out/fuzz/corpus out/fuzz/readers
cp -n fuzz/corpus/* out/fuzz/corpus/
echo "readers: $minutes/10 of the time"
ASAN_OPTIONS=detect_leaks=0 $build/fuzz/fuzz-readers-libfuzzer -max_total_time=$((minutes * 6)) -seed=1 -max_len=4096 -artifact_prefix=out/fuzz/ out/fuzz/readers 2>&1 | tail -2
ASAN_OPTIONS=detect_leaks=0 $build/fuzz/fuzz-node -max_total_time=$((minutes * 54)) -seed=1 -max_len=321 -timeout=60 -artifact_prefix=out/fuzz/ out/fuzz/corpus 2>&1 | tail -4
