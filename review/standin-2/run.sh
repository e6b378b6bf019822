#!/usr/bin/env bash
# run.sh STAND-IN CASE: runs a stand-in, which starts the hosts, and ends with 0 if the rule held, 1 if it was broken and
# 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
if [ ! -x target/src/app/auburnpost ] || [ ! -x "target/review-2/$1" ]; then
    echo "run the build of deploy/system.toml and review/build-2.sh first" >&2
    exit 2
fi
folder=$(mktemp -d) || exit 2
timeout 110 "target/review-2/$1" "review/$2/record.txt" "$folder"
status=$?
rm -rf "$folder"
tail -n 1 "review/$2/record.txt"
[ "$status" -le 1 ] || status=2
exit "$status"
