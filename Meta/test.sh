#!/usr/bin/env bash
# Builds everything and runs all tests. Last line: "N passed, N failed".
# Tests named in KNOWN-RED.txt are printed and passed over.
set -uo pipefail
cd "$(dirname "$0")/.."
Meta/build.sh release || { echo "0 passed, 1 failed"; exit 1; }
export RC_PARAMS="${RC_PARAMS:-seed=20261202}"
known=""
if [ -f KNOWN-RED.txt ]; then
    echo "known red:"
    cat KNOWN-RED.txt
    known="$(cut -d';' -f1 KNOWN-RED.txt | paste -sd, -)"
fi
passed=0
failed=0
for program in build/release/bin/Test*; do
    echo "== $(basename "$program")"
    output="$("$program" --known_red="$known" 2>&1)"
    status=$?
    # The end of a long output does not have its first failures.
    echo "$output" | grep -B 5 -E '  FAILED$'
    echo "$output" | tail -n 60
    counts="$(echo "$output" | sed -nE 's/^[A-Za-z]+: ([0-9]+) passed, ([0-9]+) failed$/\1 \2/p' | tail -n 1)"
    # A program that ends without its count has crashed, and that is a failure.
    [ -n "$counts" ] || counts="0 1"
    read -r good bad <<<"$counts"
    [ "$status" -ne 0 ] && [ "$bad" -eq 0 ] && bad=1
    passed=$((passed + good))
    failed=$((failed + bad))
done
echo "$passed passed, $failed failed"
[ "$failed" -eq 0 ]
