#!/usr/bin/env bash
# Runs all scenarios of the benchmark, or those given, with the product's policies and the baselines.
# "crashes [SEED]" measures the impact of tasks that crash their workers on other tasks.
set -euo pipefail
cd "$(dirname "$0")/.."
if [ "${1:-}" = crashes ]; then shift; exec build/bench/flamingobarrow-bench-crashes "$@"; fi
if [ $# -gt 0 ]; then exec build/bench/flamingobarrow-bench "$@"; fi
exec build/bench/flamingobarrow-bench bench/scenarios/*.ini
