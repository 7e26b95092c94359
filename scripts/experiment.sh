#!/usr/bin/env bash
# Measures fairness, utilisation and control traffic: eight daemons and eight engine stand-ins on
# loopback, and sixteen organisations. Three are large; one of these uses a single daemon.
# Usage: scripts/experiment.sh [RUN...]; runs: fair fcfs localfair oracle flood hints-high hints-low
# shards-4 kill, by default all, in this order. Reports and plans stay in build/experiment.
set -euo pipefail
cd "$(dirname "$0")/.."

duration=${DURATION_MS:-10000}
warm_up=2000
kill_at=5000
daemons=8
engines=8
slots=8
token_ms=10
quantum=${QUANTUM:-200}

cmake --preset release >/dev/null
cmake --build --preset release -j3 --target camphorshuntd camphorshuntctl camphorshuntload standins >/dev/null
bin=build/release
out=build/experiment
mkdir -p "$out"
source scripts/fleet.sh

runs=("$@")
[ ${#runs[@]} -gt 0 ] || runs=(fair fcfs localfair oracle flood hints-high hints-low shards-4 kill)

start_standin log --role=log; log=$address
start_standin vms --role=vms; vms=$address
upstreams=""
planned_upstreams=""
for at in $(seq "$engines"); do
    start_standin "e$at" --role=engine --slots="$slots" --token_ms="$token_ms"
    upstreams+="{\"name\":\"e$at\",\"address\":\"$address\",\"failureDomain\":\"a\",\"slots\":$slots},"
    planned_upstreams+="{\"name\":\"e$at\",\"endpoint\":\"$address\"},"
done
planned_daemons=""
for at in $(seq "$daemons"); do
    start_router "r$at"
    planned_daemons+="{\"name\":\"r$at\",\"callers\":\"${routers[-1]}\",\"admin\":\"${admins[-1]}\"},"
done
publish_vms

large="large1 large2 large3"
medium="medium1 medium2 medium3 medium4 medium5 medium6 medium7 medium8"
small="small1 small2 small3 small4 small5"

# publish_document POLICY SHARDS
publish_document() {
    local organisations="" name digest
    for name in $large $medium $small; do
        digest=$(printf 'key-%s' "$name" | sha256sum | cut -d' ' -f1)
        organisations+="{\"name\":\"$name\",\"weight\":1,\"keyDigests\":[\"$digest\"]},"
    done
    cat >"$work/bench.json" <<DOCUMENT
{
    "service": "bench", "upstreamKind": "model-engine",
    "organisations": [${organisations%,}],
    "operations": [
        { "name": "chat", "repeatable": true, "class": "interactive" },
        { "name": "dossier", "repeatable": true, "class": "deferrable" }
    ],
    "upstreams": [${upstreams%,}],
    "limits": { "queuePerOrganisation": 200, "queueTotal": 10000, "defaultDeadlineMs": 60000 },
    "dispatch": { "policy": "$1", "shards": $2, "quantum": $quantum, "reservedSlots": 1 }
}
DOCUMENT
    publish "$work/bench.json" >"$work/publish.out" || [ $? -eq 1 ]
    sleep 1
}

# Sets $dispatcher to the number of the daemon that dispatches the first shard; empty if there is none.
find_dispatcher() {
    dispatcher=""
    for at in $(seq "$daemons"); do
        if curl -sS "http://${admins[at - 1]}/status" | grep -q '"duties":{[^}]*"bench/0"'; then
            dispatcher=$at
        fi
    done
}

# entries DAEMON SHARE [DAEMON SHARE]...
entries() {
    local text=""
    while [ $# -gt 0 ]; do
        text+="{\"daemon\":\"r$1\",\"share\":$2},"
        shift 2
    done
    echo "[${text%,}]"
}

# organisation NAME LOAD CLASS OPERATION OUTPUT ENTRIES: adds an organisation to the plan, in $planned.
organisation() {
    local factor=1
    case "$1" in *1 | *3 | *5 | *7) factor=$hint_factor ;; esac
    planned+="{\"name\":\"$1\",\"key\":\"key-$1\",$2,\"class\":\"$3\",\"operation\":\"$4\",\"hintFactor\":$factor,"
    planned+="\"promptTokens\":{\"shape\":\"uniform\",\"first\":50,\"second\":400},"
    planned+="\"outputTokens\":$5,\"entries\":$6},"
}

write_plan() {
    local run=$1 planned="" at usual flood
    hint_factor=1
    [ "$run" != hints-high ] || hint_factor=10
    [ "$run" != hints-low ] || hint_factor=0.1
    usual='{"shape":"uniform","first":10,"second":40}'
    organisation large1 '"concurrency":48' interactive chat "$usual" "$(entries "$single" 1)"
    organisation large2 '"concurrency":48' interactive chat \
        '{"shape":"bimodal","first":20,"second":100,"rareFraction":0.1}' \
        "$(entries 1 8 2 4 3 2 4 1 5 1 6 1 7 1 8 1)"
    organisation large3 '"concurrency":48' deferrable dossier \
        '{"shape":"lognormal","first":60,"second":0.6,"longest":150}' \
        "$(entries 1 1 2 1 3 1 4 1 5 1 6 1 7 1 8 1)"
    for at in $(seq 8); do
        organisation "medium$at" '"concurrency":16' interactive chat "$usual" \
            "$(entries "$at" 3 "$((at % 8 + 1))" 1)"
    done
    for at in $(seq 5); do
        flood=""
        [ "$run-$at" != flood-1 ] || flood=',"fromMs":4000,"toMs":7000'
        organisation "small$at" "\"rate\":$([ -n "$flood" ] && echo 400 || echo 3)$flood" small chat \
            "$usual" "$(entries "$at" 1 "$((at + 2))" 1)"
    done
    cat >"$out/$run.plan.json" <<PLAN
{
    "service": "bench", "seed": 20261203, "durationMs": $duration, "warmUpMs": $warm_up,
    "slots": $((engines * slots)), "tokenMs": $token_ms, "promptWeight": 0.1,
    "daemons": [${planned_daemons%,}],
    "upstreams": [${planned_upstreams%,}],
    "organisations": [${planned%,}]
}
PLAN
}

run_one() {
    local run=$1 policy=fair shards=1 load
    case "$run" in fcfs | localfair | oracle) policy=$run ;; shards-4) shards=4 ;; esac
    publish_document "$policy" "$shards"
    find_dispatcher
    # The only daemon of the first large organisation must not be the one that is killed.
    single=$(((${dispatcher:-1} + 2) % daemons + 1))
    write_plan "$run"
    "$bin/camphorshuntload" --plan="$out/$run.plan.json" --name="$run" --report="$out/$run.json" \
        >"$out/$run.txt" &
    load=$!
    if [ "$run" = kill ] && [ -n "$dispatcher" ]; then
        sleep "$((kill_at / 1000))"
        kill -9 "${pid_of[r$dispatcher]}"
    fi
    wait "$load"
    reports+=("$out/$run.json")
    sleep 1
}

reports=()
for run in "${runs[@]}"; do
    # A policy may be published again, and its document must differ from the last.
    run_one "$run"
    echo "$run done" >&2
done
echo "commit $(git rev-parse --short HEAD)$(git diff --quiet HEAD || echo ' with changes'), $(nproc) cores, load average $(cut -d' ' -f1 /proc/loadavg)"
"$bin/camphorshuntload" "${reports[@]}"
