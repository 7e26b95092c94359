#!/usr/bin/env bash
# Measures, with eight daemons without traffic, how long an edit takes until it is in force on all of them,
# and the processor time and memory that each of three daemons spends on control in ten seconds.
set -euo pipefail
cd "$(dirname "$0")/.."
edits=20
idle_seconds=10

cmake --preset release >/dev/null
cmake --build --preset release --target camphorshuntd camphorshuntctl standins >/dev/null
bin=build/release
source scripts/fleet.sh

start_standin log --role=log; log=$address
start_standin vms --role=vms; vms=$address
for number in $(seq 8); do
    start_router "r$number"
done
publish_vms
publish samples/demo-assistant.json | tail -n 1

for number in $(seq "$edits"); do
    echo "{\"limits\":{\"queueTotal\":$((1000 + number))}}" >"$work/patch.json"
    "$bin/camphorshuntctl" publish "$work/patch.json" --patch --service=assistant --log="$log" \
        --admin="$(IFS=,; echo "${admins[*]}")" | tail -n 1
done

# User and system time of a process, in clock ticks.
ticks() {
    awk '{print $14 + $15}' "/proc/$1/stat"
}

declare -A before
for name in r1 r2 r3; do
    before[$name]=$(ticks "${pid_of[$name]}")
done
sleep "$idle_seconds"
for name in r1 r2 r3; do
    spent=$(($(ticks "${pid_of[$name]}") - before[$name]))
    echo "$name: $spent ticks of 1/$(getconf CLK_TCK) s in $idle_seconds s, $(grep VmRSS "/proc/${pid_of[$name]}/status")"
done
