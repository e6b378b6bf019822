#!/usr/bin/env bash
# Injects one fault repeatedly on a running site: run_failover.sh ENDPOINTS [flags of auburnpost_faults]
# Settings: RUNS, FAULT, DATABASE, SEED (of the first run), BUILD_DIR, OUT (folder for results), LIMIT (seconds for all runs).
# The site keeps running afterwards: a process killed by the fault is restarted with its own command line.
set -euo pipefail
top=$(cd "$(dirname "$0")/.." && pwd)
build=${BUILD_DIR:-$top/build}
runs=${RUNS:-30} fault=${FAULT:-kill} database=${DATABASE:-sizing-core-1} seed=${SEED:-1} limit=${LIMIT:-540}
out=${OUT:-$build/failover-$fault}
endpoints=$1
shift
mkdir -p "$out"
results=$out/results.jsonl
: > "$results"
deadline=$((SECONDS + limit))

command_of() { tr '\0' '\n' < "/proc/$1/cmdline"; }

# Restarts the killed process named in the result, and writes its new pid to the endpoints file.
restart() {
    local name=$1
    shift
    "$@" >> "$out/$name.log" 2>&1 &
    local pid=$!
    disown "$pid"
    # scripts/down.sh stops the processes listed in this file.
    echo "$pid $name" >> "$(dirname "$endpoints")/pids"
    python3 - "$endpoints" "$name" "$pid" <<'PY'
import json, sys
path, name, pid = sys.argv[1], sys.argv[2], int(sys.argv[3])
endpoints = json.load(open(path))
for process in endpoints["hosts"] + endpoints["targets"]:
    if process["name"] == name:
        process["pid"] = pid
json.dump(endpoints, open(path, "w"), indent=1)
PY
}

declare -A commands
while read -r name pid; do
    commands[$name]=$(command_of "$pid")
done < <(python3 -c 'import json,sys
e = json.load(open(sys.argv[1]))
for p in e["hosts"] + e["targets"]: print(p["name"], p["pid"])' "$endpoints")

failed=0
for ((run = 0; run < runs && SECONDS < deadline; ++run)); do
    history=$out/history-$run.jsonl
    line=$(timeout 90 "$build/bench/load/auburnpost_faults" --endpoints "$endpoints" --fault "$fault" --database "$database" \
        --seed $((seed + run)) --history "$history" "$@") || failed=$((failed + 1))
    if [ -n "$line" ]; then echo "$line" | tee -a "$results"; fi
    name=$(python3 -c 'import json,sys; print(json.loads(sys.argv[1] or "{}").get("subject", ""))' "$line")
    if [[ $fault == *kill && -n $name ]]; then
        mapfile -t command <<< "${commands[$name]}"
        restart "$name" "${command[@]}"
    fi
    sleep "${SETTLE:-2}"
    "$build/bench/load/auburnpost_history" --history "$history" --endpoints "$endpoints" > "$out/check-$run.txt" \
        || { failed=$((failed + 1)); tail -5 "$out/check-$run.txt"; }
done

python3 - "$results" "$run" "$runs" "$failed" <<'PY'
import json, sys
lines = [json.loads(line) for line in open(sys.argv[1])]
print(f"runs {sys.argv[2]} of {sys.argv[3]}, failed runs or checks {sys.argv[4]}")
print(f"{'part':20}{'n':>5}{'min':>9}{'p50':>9}{'p90':>9}{'max':>9}  ms")
for part in ["detect_ms", "fence_ms", "promote_ms", "learn_ms", "gap_ms", "longest_silence_ms"]:
    values = sorted(line[part] for line in lines if line[part] is not None)
    if values:
        at = lambda share: values[min(len(values) - 1, int(share * len(values)))]
        print(f"{part:20}{len(values):5}{values[0]:9.1f}{at(0.5):9.1f}{at(0.9):9.1f}{values[-1]:9.1f}")
PY
[ "$failed" -eq 0 ]
