#!/usr/bin/env bash
# Measures how long a key is not served after its server, its server's forwarder node or the control leader is killed.
# Prints one line for each loss and the longest of each kind. Not part of the tests: these are absolute times.
set -u
cd "$(dirname "$0")/.." || exit 2
. scripts/process_test.sh

ROUNDS=${ROUNDS:-5}

now_ms() {
    local now
    now=$(awk '{ printf "%.0f", $1 * 1000 }' /proc/uptime)
    echo "$now"
}

# explain_field FIELD: of the key, asked at a node that is not killed.
explain_field() {
    command_line "$WATCHER" "$ADMINISTRATOR_TOKEN" --json explain liffeyspoke/map "$KEY" |
        grep -oE "\"$1\": *(\"[^\"]*\"|[0-9]+)" | head -1 | sed -E 's/.*: *//; s/"//g'
}

# watch_key MS_LIMIT: asks for the key without pause and prints the longest time between two answers.
watch_key() {
    local end last longest=0 now
    last=$(now_ms)
    end=$((last + $1))
    while now=$(now_ms) && [ "$now" -lt "$end" ]; do
        if key_answered "$WATCHER" liffeyspoke map "$KEY" >/dev/null; then
            now=$(now_ms)
            [ $((now - last)) -le "$longest" ] || longest=$((now - last))
            last=$now
        fi
    done
    now=$(now_ms)
    [ $((now - last)) -le "$longest" ] || longest=$((now - last))
    echo "$longest"
}

# lose KIND NAME: kills a process while the key is watched; prints the gap.
lose() {
    local gap
    watch_key 6000 >"$CLUSTER_DIR/gap" &
    local watcher=$!
    sleep 0.5
    end_process "$2" KILL
    wait "$watcher"
    gap=$(cat "$CLUSTER_DIR/gap")
    echo "$1 $2: not served for $gap ms"
    echo "$1 $gap" >>"$CLUSTER_DIR/gaps"
}

restart_server() {
    start_backend liffeyspoke map "${1#s}" a --slots 2 --service-ms 3 --cold-ms 5
    wait_for "server $1 to own ranges" 30 owns_something "$WATCHER" map "$1"
}

restart_node() {
    start_node "$1"
    wait_for "node $1" 30 node_ready "$1"
}

# other_than NODE...: a node that is none of these.
other_than() {
    local node
    for node in $(seq 1 "$TEST_NODES"); do
        case " $* " in
        *" $node "*) ;;
        *) echo "$node" && return ;;
        esac
    done
}

start_test
configure_test
KEY=key-under-watch
WATCHER=6
for round in $(seq 1 "$ROUNDS"); do
    owner=$(explain_field owner)
    lose server "liffeyspoke-map-${owner#s}"
    restart_server "$owner"
    forwarder=$(explain_field forwarder)
    leader=$(leader_node "$WATCHER")
    WATCHER=$(other_than "$forwarder" "$leader")
    if [ "$forwarder" != "$leader" ]; then
        lose forwarder "node$forwarder"
        restart_node "$forwarder"
    fi
    leader=$(leader_node "$WATCHER")
    WATCHER=$(other_than "$leader" "$(explain_field forwarder)")
    lose leader "node$leader"
    restart_node "$leader"
    echo "round $round done"
done
sort "$CLUSTER_DIR/gaps" | awk '{ if ($2 > longest[$1]) longest[$1] = $2; sum[$1] += $2; count[$1]++ }
    END { for (kind in longest) printf "%s: %d losses, mean %d ms, longest %d ms\n", kind, count[kind], sum[kind] / count[kind], longest[kind] }'
