#!/usr/bin/env bash
# Runs the scenarios on this version and on the baseline named in Meta/baseline, one after the other,
# and prints for each figure: measure site=S scenario=C name=N value=V unit=U baseline=B
# Usage: Meta/measure.sh --site koper|nakhla [--scenarios "calm bulk ..."] [--seed N] [--no-baseline]
set -euo pipefail
cd "$(dirname "$0")/.."
site=koper
seed=1
scenarios="calm bulk drain domain-crash region-crash store-outage rolling hop pool leaving"
with_baseline=yes
while [ $# -gt 0 ]; do
    case "$1" in
    --site) site="$2"; shift 2 ;;
    --scenarios) scenarios="$2"; shift 2 ;;
    --seed) seed="$2"; shift 2 ;;
    --no-baseline) with_baseline=no; shift ;;
    *) echo "usage: Meta/measure.sh --site koper|nakhla [--scenarios LIST] [--seed N] [--no-baseline]" >&2; exit 3 ;;
    esac
done
Meta/build.sh release
baseline="$(cat Meta/baseline)"
old=build/baseline
if [ "$with_baseline" = yes ] && [ ! -x "$old/build/release/bin/entryd" ]; then
    git worktree prune
    [ -d "$old" ] || git worktree add --detach "$old" "$baseline" >/dev/null
    (cd "$old" && cmake --preset release >/dev/null && cmake --build --preset release --target entryd lookupd controld tablectl -- --quiet)
fi
for scenario in $scenarios; do
    now="$(build/release/bin/measure --site "$site" --scenario "$scenario" --seed "$seed")"
    before=""
    [ "$with_baseline" = yes ] && before="$(build/release/bin/measure --site "$site" --scenario "$scenario" --seed "$seed" --binaries "$PWD/$old/build/release/bin" || true)"
    while read -r name value unit; do
        base="$(awk -v n="$name" '$1 == n {print $2}' <<<"$before")"
        echo "measure site=$site scenario=$scenario name=$name value=$value unit=$unit baseline=${base:-none}"
    done <<<"$now"
done
