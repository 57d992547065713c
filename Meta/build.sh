#!/usr/bin/env bash
# Installs what is missing and builds a preset: Meta/build.sh [release|address|thread].
set -euo pipefail
cd "$(dirname "$0")/.."
preset="${1:-release}"
Meta/install-packages.sh
cmake --preset "$preset" >/dev/null
cmake --build --preset "$preset" -- --quiet
