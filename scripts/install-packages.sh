#!/usr/bin/env bash
# Installs the missing Debian packages of scripts/packages.txt.
set -euo pipefail
here=$(cd "$(dirname "$0")" && pwd)
missing=()
while read -r package; do
    dpkg-query -W -f='${Status}' "$package" 2>/dev/null | grep -q 'install ok installed' || missing+=("$package")
done < "$here/packages.txt"
if [ ${#missing[@]} -eq 0 ]; then
    echo "packages: all installed"
    exit 0
fi
echo "packages: installing ${missing[*]}"
apt-get update -qq
DEBIAN_FRONTEND=noninteractive apt-get install -y -qq "${missing[@]}" >/dev/null
