#!/usr/bin/env bash
# Formats the sources, or with --check fails if any is not formatted.
set -euo pipefail
cd "$(dirname "$0")/.."
mapfile -t files < <(find Libraries Services Utilities platform Tests -name '*.cpp' -o -name '*.h' | grep -v /Generated/)
if [ "${1:-}" = "--check" ]; then
    clang-format --dry-run --Werror "${files[@]}"
else
    clang-format -i "${files[@]}"
fi
