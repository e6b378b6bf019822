#!/usr/bin/env bash
# Builds the stand-ins of the review's scripts into target/review/.
set -euo pipefail
top=$(cd "$(dirname "$0")/.." && pwd)
mkdir -p "$top/target/review"
for source in "$top"/review/standin/*.cpp; do
    g++ -std=c++20 -O1 -pthread -o "$top/target/review/$(basename "$source" .cpp)" "$source"
done
