#!/usr/bin/env bash
# Starts a site, runs load against it while faults are injected, then checks the whole history against the final logs.
# Settings: SECONDS_OF_LOAD (60), RATE (150), MIX (ranwala), SEED (1), HOSTS (15), BUILD_DIR.
# Exits 1 when a check failed. Stops all processes that it started.
set -euo pipefail
top=$(cd "$(dirname "$0")/.." && pwd)
build=${BUILD_DIR:-$top/build}
seconds=${SECONDS_OF_LOAD:-60} rate=${RATE:-150} mix=${MIX:-ranwala} seed=${SEED:-1}
run=$build/run
out=$build/chaos-$mix-$seed
RANDOM=$seed
mkdir -p "$out"
"$top/scripts/up.sh" "${HOSTS:-15}"
trap '"$top/scripts/down.sh"' EXIT

pid_of() { awk -v name="$1" '$2 == name { pid = $1 } END { print pid }' "$run/pids"; }
control_of() { sed -n 's/^control = //p' "$run/$1.ini"; }
faults() { curl -sf -m 2 -X POST -d "$2" "http://$(control_of "$1")/faults" >/dev/null || true; }
restart() {
    "$build/$2" ${3:-} --settings "$run/$1.ini" >> "$run/log/$1.log" 2>&1 &
    disown "$!"
    echo "$! $1" >> "$run/pids"
}
note() { echo "$(date +%T) $*" | tee -a "$out/faults.txt"; }

kill_target() {
    note "kill $1"
    kill -9 "$(pid_of "$1")" || true
    sleep 3
    restart "$1" standins/target/standin-target
}
freeze() {
    note "freeze $1"
    kill -STOP "$(pid_of "$1")"
    sleep "$2"
    kill -CONT "$(pid_of "$1")"
}
cut_target() {
    note "cut $1"
    faults "$1" '[{"kind":"cut","peers":["*"]}]'
    sleep 3
    faults "$1" '[]'
}
kill_host() {
    note "kill $1"
    kill -9 "$(pid_of "$1")" || true
    sleep 2
    restart "$1" src/app/auburnpost serve
}
platform_out() {
    note "platform outage"
    faults platform '[{"kind":"outage"}]'
    sleep 4
    faults platform '[]'
}

case $mix in ranwala) family=sizing-core ;; *) family=smoke-core ;; esac
"$build/bench/load/auburnpost_load" --endpoints "$run/endpoints.json" --mix "$mix" --rate "$rate" --seconds "$seconds" \
    --seed "$seed" --history "$out/history.jsonl" > "$out/table.txt" 2> "$out/load.log" &
load=$!
ends=$((SECONDS + seconds - 8))
sleep 3
while [ $SECONDS -lt $ends ]; do
    target=$family-$((RANDOM % 3 + 1))-$(printf 'a\nb\nc\n' | sed -n "$((RANDOM % 3 + 1))p")
    host=host-$((RANDOM % ${HOSTS:-15} + 1))
    case $((RANDOM % 7)) in
        0 | 1) kill_target "$target" ;;
        2) freeze "$target" 2 ;;
        3) cut_target "$target" ;;
        4) kill_host "$host" ;;
        5) freeze "$host" 2 ;;
        6) platform_out ;;
    esac
    sleep $((RANDOM % 3 + 1))
done
status=0
wait "$load" || status=1
cat "$out/table.txt"
sleep 8
"$build/bench/load/auburnpost_history" --history "$out/history.jsonl" --endpoints "$run/endpoints.json" | tee "$out/check.txt" || status=1
exit $status
