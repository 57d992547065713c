#!/usr/bin/env bash
# Builds everything and runs an example site: Meta/demo.sh [--site koper|nakhla] [--seconds N].
set -euo pipefail
cd "$(dirname "$0")/.."
site=koper
seconds=20
while [ $# -gt 0 ]; do
    case "$1" in
    --site) site="$2"; shift 2 ;;
    --seconds) seconds="$2"; shift 2 ;;
    *) echo "usage: Meta/demo.sh [--site koper|nakhla] [--seconds N]" >&2; exit 3 ;;
    esac
done
Meta/build.sh release
exec build/release/bin/demo --site "$site" --seconds "$seconds"
