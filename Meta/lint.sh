#!/usr/bin/env bash
# Runs the linter and the project's own rules over the sources; fails on any finding.
set -uo pipefail
cd "$(dirname "$0")/.."
status=0

# The linter does not read precompiled headers of GCC.
build=build/lint
cmake -S . -B "$build" -G Ninja -DCMAKE_DISABLE_PRECOMPILE_HEADERS=ON >/dev/null || exit 1
mapfile -t files < <(find Libraries Services Utilities platform Tests -name '*.cpp' | grep -v /Generated/ | sort)
# Clang 14 has coroutines but does not say so in the way that Boost and libstdc++ ask for.
findings="$(printf '%s\n' "${files[@]}" \
    | xargs -P "$(nproc)" -n 1 clang-tidy -p "$build" --quiet \
        --extra-arg=-D__cpp_impl_coroutine=201902L --extra-arg=-DBOOST_ASIO_HAS_CO_AWAIT=1 \
        --extra-arg=-DBOOST_ASIO_HAS_STD_COROUTINE=1 --extra-arg=-Wno-unknown-warning-option 2>/dev/null \
    | grep -E ' (error|warning): ' | sort -u)"
if [ -n "$findings" ]; then
    echo "$findings"
    status=1
fi

say() { echo "lint: $1"; status=1; }
# A library is used through its one public header.
grep -rnE '#include <Lib([A-Za-z]+)/' Libraries Services Utilities Tests --include='*.h' --include='*.cpp' \
    | grep -vE '#include <Lib([A-Za-z]+)/(Lib\1\.h|Generated/)' && say "a library's inner header is included from outside"
# LibPolicy decides; it has no clock, thread, lock, socket or log.
grep -rnE 'system_clock::now|steady_clock::now|std::mutex|random_device|LOG\(|asio' Libraries/LibPolicy \
    && say "LibPolicy must stay pure"
# GCC 12 miscompiles a conditional expression around co_await.
grep -rnE '[?:] co_await' Libraries Services Utilities Tests --include='*.cpp' && say "co_await in a conditional expression"
grep -rniwE 'customer|backend|back_end|zone' Libraries Services Utilities --include='*.cpp' --include='*.h' \
    | grep -v /Generated/ && say "a word that the house style replaces"
# The users' platform is spoken in one folder only.
git grep -nE 'X-Cassiacrank-|rows-(tx|get|feed|parts)|expectedRev|tombstone|coldLeftMs|coldPerS|targetLatencyMs|homeRegions|maxAttempts' \
    -- Libraries Services Utilities ':!*.pb.*' && say "a name of the platform outside platform/"
[ "$status" -eq 0 ] && echo "lint: clean"
exit "$status"
