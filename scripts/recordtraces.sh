#!/usr/bin/env bash
# Records the traces in tests/traces again from real daemons. Needed after a change to the decisions of the
# core, because the replay of older traces then shows differences. The expected outcomes stay the same.
set -euo pipefail
cd "$(dirname "$0")/.."
bin=build/release
source scripts/fleet.sh
traces=$PWD/tests/traces

# Starts two daemons, the first of which records a trace, and publishes the samples.
start_fleet() {
    start_standin log --role=log; log=$address
    start_standin vms --role=vms; vms=$address
    start_standin e1 --role=engine --token_ms=20; e1=$address
    start_standin e2 --role=engine --token_ms=20; e2=$address
    start_standin b1 --role=service; b1=$address
    routers=(); admins=(); listed=""
    rm -f "$work/record.jsonl"
    start_router r1 a --record="$work/record.jsonl"
    start_router r2 a
    publish_vms
    sed -e "s/127.0.0.1:7101/$e1/; s/127.0.0.1:7102/$e2/" samples/demo-assistant.json >"$work/assistant.json"
    sed -e "s/127.0.0.1:7111/$b1/" samples/demo-booking.json >"$work/booking.json"
    publish "$work/assistant.json" >/dev/null
    publish "$work/booking.json" >/dev/null
    await_claims
}

# keep NAME OUTCOME...: stops the fleet, stores the trace up to the last step that answers or finishes a
# request, and appends the expected outcomes, given in order of arrival.
keep() {
    local name=$1
    shift
    kill "${pid_of[r1]}" 2>/dev/null || true
    wait "${pid_of[r1]}" || true
    for pid in "${pids[@]}"; do
        kill "$pid" 2>/dev/null || true
    done
    wait
    pids=()
    python3 - "$work/record.jsonl" "$traces/$name.jsonl" "$@" <<'PYTHON'
import json
import sys

source, target, *outcomes = sys.argv[1:]
lines = open(source).read().splitlines()
requests = []
last = 0
for number, line in enumerate(lines[1:], 1):
    step = json.loads(line)
    if "RequestArrived" in step["event"]:
        requests.append(step["event"]["RequestArrived"]["request"])
    if any("AnswerCaller" in action or "FinishCaller" in action for action in step["actions"]):
        last = number
if len(requests) != len(outcomes):
    sys.exit(f"{target}: {len(requests)} requests, {len(outcomes)} outcomes")
expects = [json.dumps({"expect": {"request": request, "outcome": outcome}})
           for request, outcome in zip(requests, outcomes)]
open(target, "w").write("\n".join(lines[:last + 1] + expects) + "\n")
PYTHON
}

chat() {
    curl -sS -o /dev/null -X POST "http://${routers[0]}/v1/assistant/chat" -H 'Authorization: Bearer demo-key-1' \
        -H 'Camphorshunt-Output-Tokens: 10' -d '{"outputTokens":10}'
}

confirm() {
    curl -sS -o /dev/null -X POST "http://${routers[0]}/v1/booking/confirm" -H 'Authorization: Bearer demo-key-1' \
        -H "Idempotency-Key: $key" -d '{}'
}

start_fleet
chat
keep streamed done

start_fleet
key=$(printf '%012x' "$(date +%s%3N)" | sed 's/\(.\{8\}\)\(.*\)/\1-\2-7123-8000-000000000001/')
confirm
sleep 0.5 # Time for the settle to reach the log.
confirm
keep booking done done

start_fleet
for engine in "$e1" "$e2"; do
    curl -sS -X POST "http://$engine/admin/faults" -d '{"mode":"cut","afterEvents":4,"count":1}' >/dev/null
done
chat
keep resumed done

start_fleet
chat &
call=$!
until curl -sS "http://${admins[0]}/status" | grep -q '"requests":1'; do
    sleep 0.01
done
kill "${pid_of[r1]}"
until ! curl -sS -o /dev/null -f "http://${admins[0]}/ready"; do
    sleep 0.01
done
chat || true
wait "$call" || true
keep drain done not-run
