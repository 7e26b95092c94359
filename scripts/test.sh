#!/usr/bin/env bash
# Builds the release preset and runs every test. Failures listed in KNOWN-RED.txt are printed and do not fail
# the run.
set -euo pipefail
cd "$(dirname "$0")/.."

cmake --preset release >/dev/null
cmake --build --preset release

# An entry of KNOWN-RED.txt names its test on a line `test: NAME`.
known=$(sed -n 's/^test: //p' KNOWN-RED.txt)
log=$(mktemp)
trap 'rm -f "$log"' EXIT
status=0
ctest --preset release -j 6 2>&1 | tee "$log" || status=$?
[ "$status" -eq 0 ] && exit 0

failed=$(sed -n 's/^[[:space:]]*[0-9]* - \(.*\) (\(Failed\|Timeout\|SEGFAULT\|Subprocess aborted\|Not Run\)).*$/\1/p' "$log")
[ -n "$failed" ] || exit "$status"
unknown=$(grep -vxF -f <(printf '%s\n' "$known") <<<"$failed" || true)
if [ -n "$unknown" ]; then
    printf 'failed and not known: %s\n' "$unknown"
    exit 1
fi
printf 'known red, passed over: %s\n' "$failed"
