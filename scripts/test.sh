#!/usr/bin/env bash
# Installs missing packages, builds, and runs every test.
set -euo pipefail
top=$(cd "$(dirname "$0")/.." && pwd)
"$top/scripts/install-packages.sh"
echo "build: starting"
"$top/scripts/build.sh"
echo "tests: starting"
ctest --test-dir "${BUILD_DIR:-$top/build}" --output-on-failure -j 4
