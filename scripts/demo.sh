#!/usr/bin/env bash
# Builds the programs, starts a small fleet with stand-ins on loopback, publishes the sample documents,
# sends a streamed request and a booking, and stops every process that it started.
set -euo pipefail
cd "$(dirname "$0")/.."

cmake --preset release >/dev/null
cmake --build --preset release --target camphorshuntd camphorshuntctl standins
bin=build/release
source scripts/fleet.sh

start_standin log --role=log; log=$address
start_standin vms --role=vms; vms=$address
start_standin e1 --role=engine --token_ms=40; e1=$address
start_standin e2 --role=engine --token_ms=40; e2=$address
start_standin b1 --role=service; b1=$address

# Replaces the fixed ports of the samples by the free ports that the stand-ins listen on.
sed -e "s/127.0.0.1:7101/$e1/; s/127.0.0.1:7102/$e2/" samples/demo-assistant.json >"$work/assistant.json"
sed -e "s/127.0.0.1:7111/$b1/" samples/demo-booking.json >"$work/booking.json"

for name in r1 r2 r3; do
    start_router "$name"
done
publish_vms

publish "$work/assistant.json" | grep -v '^[+-]'
publish "$work/booking.json" | grep -v '^[+-]'

for router in "${routers[@]}"; do
    echo
    echo "A streamed answer from the daemon at $router:"
    curl -sS -N -i -X POST "http://$router/v1/assistant/chat" -H 'Authorization: Bearer demo-key-1' \
        -H 'Camphorshunt-Output-Tokens: 4' -d '{"prompt":"Is my boiler safe?","outputTokens":4}'
done

await_claims
# A version 7 UUID: milliseconds since 1970, then random bits.
hex=$(printf '%012x' "$(date +%s%3N)")
key="${hex:0:8}-${hex:8:4}-7$(printf '%03x' $((RANDOM % 4096)))-8000-$(printf '%06x%06x' $RANDOM $RANDOM)"
for router in "${routers[0]}" "${routers[1]}"; do
    echo
    echo "A booking under the key $key at $router:"
    curl -sS -i -X POST "http://$router/v1/booking/confirm" -H 'Authorization: Bearer demo-key-1' \
        -H "Idempotency-Key: $key" -d '{"visit":1}'
    echo
done

echo
echo "The fleet:"
admin=$(IFS=,; echo "${admins[*]}")
"$bin/camphorshuntctl" status --admin="$admin"
