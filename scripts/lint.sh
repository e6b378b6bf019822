#!/usr/bin/env bash
# Runs clang-format and clang-tidy on every source file or on the files given. Needs a configured build folder.
set -euo pipefail
top=$(cd "$(dirname "$0")/.." && pwd)
build=${BUILD_DIR:-$top/build}
cd "$top"
if [ $# -gt 0 ]; then files=("$@"); else mapfile -t files < <(git ls-files 'src/*' 'standins/*' 'tests/*' 'bench/*' | grep -E '\.(cpp|h)$'); fi
echo "format: ${#files[@]} files"
clang-format --dry-run --Werror "${files[@]}"
sources=()
for file in "${files[@]}"; do [[ $file == *.cpp ]] && sources+=("$file"); done
echo "lint: ${#sources[@]} files"
if [ ${#sources[@]} -gt 0 ]; then
    printf '%s\0' "${sources[@]}" | xargs -0 -n 2 -P "$(nproc)" clang-tidy --quiet -p "$build" 2>/dev/null
fi
echo "format and lint: clean"
