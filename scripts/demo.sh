#!/usr/bin/env bash
# Installs missing packages, builds, starts a small site, sends requests like those of a tailor and a district clerk,
# kills a primary once, and shows that no acknowledged write is missing. Exits 0 when all answers were as expected.
set -euo pipefail
top=$(cd "$(dirname "$0")/.." && pwd)
build=${BUILD_DIR:-$top/build}
run=$build/run
failures=0

"$top/scripts/install-packages.sh"
echo "build: starting (a few minutes the first time)"
"$top/scripts/build.sh"
"$top/scripts/up.sh" 3
trap '"$top/scripts/down.sh"' EXIT

host() { sed -n 's/^callers = //p' "$run/host-$1.ini"; }
session_of() { tr -d '\r' < "$run/headers" | sed -n 's/^Auburnpost-Session: //Ip'; }
served_by() { tr -d '\r' < "$run/headers" | sed -n 's/^Auburnpost-Served-By: //Ip'; }

# ask HOST ORGANISATION PATH BODY [curl arguments]: sends a request, prints the answer and the target that served it, and
# stores the session token.
ask() {
    local number=$1 organisation=$2 path=$3 body=$4
    shift 4
    answer=$(curl -s -m 20 -D "$run/headers" -X POST "http://$(host "$number")/v1/$organisation/$path" \
        -H "Authorization: Bearer demo-key-of-$organisation" -H "Auburnpost-Session: ${session:-}" "$@" -d "$body")
    local fresh
    fresh=$(session_of)
    session=${fresh:-${session:-}}
    echo "    host-$number -> $answer  [$(served_by)]"
}
# expect TEXT: counts a failure unless the last answer contains TEXT.
expect() {
    if [[ $answer != *"$1"* ]]; then
        echo "    FAILED: expected $1"
        failures=$((failures + 1))
    fi
}

echo; echo "A tailor in Kandy saves a profile through one host and reads it through the two others."
session=
ask 1 kandy-tailors statements '{"database":"sizing-core-1","sql":"CREATE TABLE IF NOT EXISTS demo_profiles(id INTEGER PRIMARY KEY, shopper TEXT, chest INTEGER)","access":"write"}'
ask 1 kandy-tailors statements '{"database":"sizing-core-1","sql":"INSERT INTO demo_profiles VALUES ($1,$2,$3)","params":[1,"nimal",96],"access":"write"}' -H "Idempotency-Key: demo-save-1"
expect '"rows_affected":1'
ask 2 kandy-tailors statements '{"database":"sizing-core-1","sql":"SELECT * FROM demo_profiles","access":"read"}'
expect nimal
ask 3 kandy-tailors statements '{"database":"sizing-core-1","sql":"SELECT * FROM demo_profiles","access":"read"}'
expect nimal
echo "The same save is retried through another host, as after a lost answer: it is not applied twice."
ask 2 kandy-tailors statements '{"database":"sizing-core-1","sql":"INSERT INTO demo_profiles VALUES ($1,$2,$3)","params":[1,"nimal",96],"access":"write"}' -H "Idempotency-Key: demo-save-1"
expect '"rows_affected":1'

echo; echo "A transaction begun on one host continues through the others."
ask 1 kandy-tailors transactions '{"database":"sizing-core-1"}'
handle=$(sed -n 's/.*"transaction":"\([^"]*\)".*/\1/p' <<< "$answer")
ask 2 kandy-tailors "transactions/$handle/statements" '{"sql":"INSERT INTO demo_profiles VALUES (2,'"'kumari'"',88)","access":"write"}'
ask 3 kandy-tailors "transactions/$handle/commit" '{}'
ask 1 kandy-tailors statements '{"database":"sizing-core-1","sql":"SELECT count(*) FROM demo_profiles","access":"read","max_age_ms":0}'
expect '[[2]]'

echo; echo "A district clerk posts a notice; the public reads it."
session=
ask 3 cariboo-district statements '{"database":"smoke-core-1","sql":"CREATE TABLE IF NOT EXISTS demo_notices(id INTEGER PRIMARY KEY, words TEXT)","access":"write"}'
ask 3 cariboo-district statements '{"database":"smoke-core-1","sql":"INSERT INTO demo_notices VALUES (1,$1)","params":["stay indoors"],"access":"write"}'
expect '"rows_affected":1'
ask 1 cariboo-district statements '{"database":"smoke-core-1","sql":"SELECT words FROM demo_notices","access":"read"}'
expect "stay indoors"

echo; echo "Twenty saves; the primary of sizing-core-1 is killed after the tenth."
session=
for number in $(seq 101 120); do
    ask $((number % 3 + 1)) kandy-tailors statements '{"database":"sizing-core-1","sql":"INSERT INTO demo_profiles VALUES ($1,$2,$3)","params":['"$number"',"shopper",90],"access":"write"}' -H "Idempotency-Key: demo-save-$number"
    expect '"rows_affected":1'
    if [ "$number" -eq 110 ]; then
        echo "    killing sizing-core-1-a"
        kill -9 "$(awk '$2 == "sizing-core-1-a" { print $1 }' "$run/pids")"
    fi
done
ask 2 kandy-tailors statements '{"database":"sizing-core-1","sql":"SELECT count(*) FROM demo_profiles","access":"read","max_age_ms":0}'
expect '[[22]]'

echo
if [ "$failures" -gt 0 ]; then
    echo "demo: $failures answers were not as expected"
    exit 1
fi
echo "demo: every acknowledged write is there exactly once"
