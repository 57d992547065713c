#!/usr/bin/env bash
# Measures how the cost of each part grows with the size of the fleet, one process, about a minute.
# docs/CAPACITY.md quotes its figures. Arguments are passed on to Google Benchmark.
set -euo pipefail
cd "$(dirname "$0")/.."
Meta/build.sh release
build/release/bin/slopes --benchmark_min_time=0.2 --benchmark_counters_tabular=false "$@"
