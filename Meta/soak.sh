#!/usr/bin/env bash
# The fault soak: real processes under faults from outside. Meta/soak.sh --seeds A-B | --minutes M
# [--size small|large]; prints each seed's result, ends with "N passed, N failed".
set -euo pipefail
cd "$(dirname "$0")/.."
arguments=()
while [ "$#" -gt 0 ]; do
    case "$1" in
    --seeds) arguments+=("--from=${2%-*}" "--to=${2#*-}"); shift 2 ;;
    --minutes) arguments+=("--minutes=$2"); shift 2 ;;
    --size)
        # Some runs go up to what the machine bears: a hundred processes.
        [ "$2" = large ] && arguments+=(--instances=40 --targets=40 --seconds=76)
        shift 2 ;;
    *) echo "unknown: $1"; exit 2 ;;
    esac
done
Meta/build.sh release
build/release/bin/soak "${arguments[@]}"
