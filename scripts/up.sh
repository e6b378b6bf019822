#!/usr/bin/env bash
# up.sh [HOSTS]: starts a demo site with the platform, the targets of both users, and HOSTS hosts (default 15).
# Returns when all are ready. All files are in build/run; endpoints.json lists the addresses.
# BASE_PORT sets the first port on 127.0.0.1 (default 17000).
set -euo pipefail
top=$(cd "$(dirname "$0")/.." && pwd)
build=${BUILD_DIR:-$top/build}
run=$build/run
hosts=${1:-15}
base=${BASE_PORT:-17000}
ready_seconds=60

[[ $hosts =~ ^[0-9]+$ ]] || { echo "up: HOSTS must be a number" >&2; exit 2; }
if [ -e "$run/pids" ]; then
    echo "up: a site is already running; stop it with scripts/down.sh" >&2
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
