#!/usr/bin/env bash
# Measures the latency that one idle daemon adds to a call of its engine stand-in, in one run that
# alternates between direct calls and calls through the daemon. Usage: scripts/latency.sh [CALLS]
set -euo pipefail
cd "$(dirname "$0")/.."

cmake --preset release >/dev/null
cmake --build --preset release -j3 --target camphorshuntd camphorshuntctl camphorshuntload standins >/dev/null
bin=build/release
source scripts/fleet.sh

start_standin log --role=log; log=$address
start_standin vms --role=vms; vms=$address
start_standin e1 --role=engine --token_ms=0; e1=$address
sed -e "s/127.0.0.1:7101/$e1/; /\"e2\"/d; s/\"slots\": 4 },/\"slots\": 4 }/" samples/demo-assistant.json >"$work/assistant.json"
start_router r1
publish_vms
publish "$work/assistant.json" >"$work/publish.out"
cat >"$work/plan.json" <<PLAN
{
    "service": "assistant", "slots": 4,
    "daemons": [{ "name": "r1", "callers": "${routers[0]}", "admin": "${admins[0]}" }],
    "upstreams": [{ "name": "e1", "endpoint": "$e1" }],
    "organisations": [{
        "name": "householders", "key": "demo-key-1", "concurrency": 1, "class": "interactive", "operation": "chat",
        "promptTokens": { "shape": "constant", "first": 10 }, "outputTokens": { "shape": "constant", "first": 1 },
        "entries": [{ "daemon": "r1" }]
    }]
}
PLAN
"$bin/camphorshuntload" --plan="$work/plan.json" --latency="${1:-2000}"
