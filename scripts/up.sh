#!/usr/bin/env bash
# Starts a demo site in build/run: the platform, the targets of both users, and HOSTS hosts (15 unless named).
# Returns when all are ready. Everything it made is in build/run; endpoints.json tells where to reach it.
# BASE_PORT sets the first of the ports on 127.0.0.1.
set -euo pipefail
top=$(cd "$(dirname "$0")/.." && pwd)
build=${BUILD_DIR:-$top/build}
run=$build/run
hosts=${1:-15}
base=${BASE_PORT:-17000}
ready_seconds=60

[[ $hosts =~ ^[0-9]+$ ]] || { echo "up: HOSTS must be a number" >&2; exit 2; }
if [ -e "$run/pids" ]; then
    echo "up: a site is there already; end it by scripts/down.sh" >&2
    exit 1
fi
rm -rf "$run"
mkdir -p "$run/state" "$run/log"
# shellcheck source=scripts/site.sh
source "$top/scripts/site.sh"
trap 'if [ $? -ne 0 ]; then "$top/scripts/down.sh" >&2; fi' EXIT

echo "up: writing settings"
write_schemas
write_document
write_platform_settings
each_target write_target_settings
each_host write_host_settings

echo "up: starting the platform"
start platform "$build/standins/platform/standin-platform" --settings "$run/platform.ini"
echo "up: starting the targets"
each_target start_target
await platform "$(address $((base + 1)))/state"
each_target await_target
if [ "$hosts" -gt 0 ]; then
    echo "up: starting $hosts hosts"
    each_host start_host
    each_host await_host
fi
write_endpoints
echo "up: ready; see $run/endpoints.json"
