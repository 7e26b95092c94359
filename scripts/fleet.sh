# Starts and stops a fleet with stand-ins on loopback; sourced by the other scripts.
# Needs $bin, the folder of the programs. Settings and logs are kept in $work; at the end of the script,
# all started processes are stopped and $work is removed.
work=$(mktemp -d)
pids=()
declare -A pid_of

stop_all() {
    for pid in "${pids[@]}"; do
        kill "$pid" 2>/dev/null || true
    done
    wait 2>/dev/null || true
    rm -rf "$work"
}
trap stop_all EXIT

# start NAME COMMAND...: starts a program and waits up to 10 s for its line that begins with "listening";
# sets $line to that line.
start() {
    local name=$1
    shift
    : >"$work/$name.out"
    "$@" >"$work/$name.out" 2>"$work/$name.log" &
    pids+=($!)
    pid_of[$name]=$!
    for _ in $(seq 200); do
        line=$(grep -m 1 '^listening' "$work/$name.out" || true)
        [ -n "$line" ] && return
        sleep 0.05
    done
    echo "$name did not report that it listens within 10 s; its log:" >&2
    cat "$work/$name.log" >&2
    exit 1
}

# start_standin NAME FLAG...: sets $address to the stand-in's address.
start_standin() {
    start "$1" "$bin/standins" --listen=127.0.0.1:0 "${@:2}"
    address=${line#listening }
}

# start_router NAME [FAILURE_DOMAIN [FLAG...]]: starts a daemon with the flags. Needs the addresses $log and
# $vms. Appends to $routers, $admins and $listed, the entries of the VM list.
routers=()
admins=()
listed=""
start_router() {
    local name=$1 domain=${2:-a}
    cat >"$work/$name.json" <<SETTINGS
{
    "name": "$name", "failureDomain": "$domain",
    "callers": { "listen": "127.0.0.1:0" },
    "admin": { "listen": "127.0.0.1:0" },
    "peers": { "listen": "127.0.0.1:0", "sharedKey": "a key for this demonstration" },
    "platform": { "log": "$log", "vms": "$vms" }
}
SETTINGS
    start "$name" "$bin/camphorshuntd" --settings="$work/$name.json" "${@:3}"
    routers+=("$(sed 's/.*callers=\([^ ]*\).*/\1/' <<<"$line")")
    admins+=("$(sed 's/.*admin=\([^ ]*\).*/\1/' <<<"$line")")
    local peer
    peer=$(sed 's/.*peers=\([^ ]*\).*/\1/' <<<"$line")
    listed+="{\"name\":\"$name\",\"role\":\"router\",\"address\":\"$peer\",\"failureDomain\":\"$domain\",\"state\":\"live\"},"
}

publish_vms() {
    curl -sS -X POST "http://$vms/admin/vms" -d "{\"vms\":[${listed%,}]}" >/dev/null
}

publish() {
    "$bin/camphorshuntctl" publish "$1" --log="$log" --admin="$(IFS=,; echo "${admins[*]}")"
}

# Waits until every daemon can claim: a new daemon first reads the tail of the log and queries its peers.
await_claims() {
    local admin
    for admin in "${admins[@]}"; do
        until curl -sS "http://$admin/status" | grep -q '"claims":{"ready":true'; do
            sleep 0.05
        done
    done
}
