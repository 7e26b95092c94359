#!/usr/bin/env bash
# Checks the format of every source file, then runs the linter over every translation unit of a build.
# Usage: scripts/lint.sh [BUILD_FOLDER] [FILE...]; with files, only those are linted.
set -euo pipefail
cd "$(dirname "$0")/.."

build=${1:-build/release}
shift || true

mapfile -t sources < <(git ls-files --cached --others --exclude-standard -- '*.cpp' '*.h' | grep -v '_generated\.h$')
clang-format --dry-run --Werror "${sources[@]}"
echo "format: ${#sources[@]} files clean"

if [ $# -gt 0 ]; then
    units=("$@")
else
    mapfile -t units < <(printf '%s\n' "${sources[@]}" | grep '\.cpp$' | grep -vE '^src/boost/|catchmain\.cpp$')
fi
printf '%s\0' "${units[@]}" | xargs -0 -n 1 -P "$(nproc)" clang-tidy -p "$build" --quiet --extra-arg=-Wno-unknown-warning-option 2>/dev/null
echo "lint: ${#units[@]} units clean"
