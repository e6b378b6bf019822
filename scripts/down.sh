#!/usr/bin/env bash
# Stops the processes that scripts/up.sh started, and no others.
set -euo pipefail
top=$(cd "$(dirname "$0")/.." && pwd)
run=${BUILD_DIR:-$top/build}/run
stop_seconds=35

if [ ! -e "$run/pids" ]; then
    echo "down: no site is running"
    exit 0
fi

# The system may have reused a pid for another process; a process of the site has its settings file in its command line.
is_ours() { tr '\0' ' ' 2>/dev/null < "/proc/$1/cmdline" | grep -qF -- "--settings $run/$2.ini"; }

each_process() {
    local pid name
    while read -r pid name; do
        if is_ours "$pid" "$name"; then "$1" "$pid" "$name"; fi
    done < "$run/pids"
}

terminate() { kill -TERM "$1" 2>/dev/null || true; }
stop_hard() { echo "down: $2 did not stop within $stop_seconds s; killed"; kill -KILL "$1" 2>/dev/null || true; }
count() { running=$((running + 1)); }

each_process terminate
end=$((SECONDS + stop_seconds))
while running=0 && each_process count && [ "$running" -gt 0 ] && [ "$SECONDS" -lt "$end" ]; do sleep 0.1; done
each_process stop_hard
rm -f "$run/pids"
echo "down: stopped"
