#!/usr/bin/env bash
# Builds the stand-ins of the scripts into target/review. Needs g++ and nlohmann/json, which the
# deploy file names.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for source in review/*/case.cpp; do
    number="$(basename "$(dirname "$source")")"
    g++ -std=c++20 -O1 -Wall -Wextra -pthread "$source" -o "target/review/case$number"
done
