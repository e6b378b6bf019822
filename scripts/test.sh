#!/usr/bin/env bash
# Installs missing packages, builds, and runs every test. The tests listed in KNOWN-RED.txt run last; their results are
# printed and do not count.
set -euo pipefail
top=$(cd "$(dirname "$0")/.." && pwd)
"$top/scripts/install-packages.sh"
echo "build: starting"
"$top/scripts/build.sh"
echo "tests: starting"
build=${BUILD_DIR:-$top/build}
known_red='^known-red '
ctest --test-dir "$build" --output-on-failure -j 4 -E "$known_red"
if [ "$(ctest --test-dir "$build" -N -R "$known_red" | sed -n 's/^Total Tests: //p')" -gt 0 ]; then
    echo "tests listed in KNOWN-RED.txt: starting"
    ctest --test-dir "$build" -R "$known_red" || echo "passed over: tests listed in KNOWN-RED.txt failed"
fi
