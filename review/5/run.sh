#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
here=$(cd "$(dirname "$0")" && pwd)
top=$(cd "$here/../.." && pwd)
folder=$(mktemp -d) || exit 2
trap 'rm -rf "$folder"' EXIT
cd "$top" || exit 2
timeout -k 5 100 target/review/Smuggle target/src/app/auburnpost "$folder" "${TROUBLE:-1}" "$here/record.txt"
status=$?
[ "$status" -le 1 ] || status=2
exit "$status"
