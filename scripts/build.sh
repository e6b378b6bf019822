#!/usr/bin/env bash
# Builds everything in build/ or in the folder BUILD_DIR.
set -euo pipefail
top=$(cd "$(dirname "$0")/.." && pwd)
build=${BUILD_DIR:-$top/build}
cmake -S "$top" -B "$build" -G Ninja "$@" >/dev/null
cmake --build "$build"
