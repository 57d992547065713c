#!/usr/bin/env bash
# Builds the stand-ins of cases 4 to 8 into target/review-2.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for case in review/[4-8]/case.cpp; do
    [ -e "$case" ] || continue
    number="$(basename "$(dirname "$case")")"
    g++ -std=c++20 -O1 -pthread -o "target/review-2/case-$number" "$case"
done
