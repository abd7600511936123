#!/usr/bin/env bash
# Parts that the scenarios share: servers, load, processor time. Source it after cluster.sh and figures.sh.
set -u

BENCH_TENANT=bench
CLOCK_TICKS=$(getconf CLK_TCK)
LEASE_OF_AN_HOUR_US=3600000000
DIRECT_FENCE=1.1

# bench_cluster NODES SETTINGS: platform stand-in and nodes, each in a zone of its own; SETTINGS: lines for every node.
bench_cluster() {
    local node zones=(a b c)
    cluster_begin "$(mktemp -d)"
    start_platform || return 1
    for node in $(seq 1 "$1"); do
        write_settings "$node" "${zones[$(((node - 1) % 3))]}" "$1"
        printf '%s' "$2" >>"$CLUSTER_DIR/settings/node$node.yaml"
        start_node "$node"
    done
    BENCH_NODES=$1
    intent_head "$BENCH_TENANT"
}

# bench_end: ends the cluster and removes its files, unless BENCH_KEEP is set.
bench_end() {
    cluster_end
    [ -n "${BENCH_KEEP:-}" ] || rm -rf "$CLUSTER_DIR"
}

# bench_configure SERVICE...: the intent accepted and every service answering.
bench_configure() {
    local service
    wait_nodes_ready "$BENCH_NODES" || return 1
    plan_and_confirm 1 "$BENCH_TENANT" "$ADMINISTRATOR_TOKEN" >/dev/null || return 1
    for service in "$@"; do
        wait_for "$service to answer" 30 service_answers "$service" || return 1
    done
}

service_answers() {
    local key
    for key in $(seq 1 20); do
        curl -sf --max-time 2 -X POST -H "authorization: Bearer $BENCH_TENANT-caller" \
            "http://$CLUSTER_NET.1:7200/v1/$BENCH_TENANT/$1/key-$key/" || return 1
    done
}

# routed_load NAME SECONDS SERVICE RATE METHOD FIELDS: load on a service through all nodes; report in NAME.json.
routed_load() {
    local node gateways=()
    for node in $(seq 1 "$BENCH_NODES"); do
        gateways+=(--gateway "$CLUSTER_NET.$node:7200")
    done
    "$CLUSTER_BUILD/cw-load" --duration-s "$2" --warmup-s 1 --seed 1 --json "$CLUSTER_DIR/$1.json" "${gateways[@]}" \
        --stream "tenant=$BENCH_TENANT,service=$3,token=$BENCH_TENANT-caller,rate=$4,method=$5,$6" >/dev/null
}

# direct_load NAME SECONDS SERVICE SERVER RATE METHOD FIELDS: the same, straight to one server.
direct_load() {
    "$CLUSTER_BUILD/cw-load" --duration-s "$2" --warmup-s 1 --seed 1 --json "$CLUSTER_DIR/$1.json" \
        --gateway "$CLUSTER_NET.200:${CLUSTER_PORTS[$4]}" \
        --stream "tenant=$BENCH_TENANT,service=$3,token=none,fence=$DIRECT_FENCE,rate=$5,method=$6,$7" >/dev/null
}

# grant_all SERVICE SERVER: gives a server outside the cluster every key of a service for an hour. The service's id is
# read from the records of a server that the cluster uses.
grant_all() {
    local url="http://$CLUSTER_NET.200:${CLUSTER_PORTS[$2]}" state service
    service=$(grep -ohE '"service": ?"[0-9a-f]{16}"' "$CLUSTER_DIR/record/$BENCH_TENANT-$1-1.jsonl" | head -1 |
        grep -oE '[0-9a-f]{16}')
    state=$(curl -sf "$url/control/state") || return 1
    jq -n --argjson state "$state" --arg service "$service" --arg fence "$DIRECT_FENCE" \
        --argjson lease "$LEASE_OF_AN_HOUR_US" '{incarnation: $state.incarnation,
        lease_end_us: ($state.clock_us + $lease), grants: [{range: 1, service: $service, low: "0000000000000000",
        last: "ffffffffffffffff", fence: $fence}]}' |
        curl -sf -X PUT -d @- "$url/control/grants" | jq -e '.accepted == [1]' >/dev/null
}

# report NAME FILTER: a value of a load report's stream.
report() {
    jq -r ".streams[0] | $2" "$CLUSTER_DIR/$1.json"
}

# answered_per_second NAME
answered_per_second() {
    jq -r '.streams[0].outcomes.answered / (.duration_s - .warmup_s)' "$CLUSTER_DIR/$1.json"
}

# share_answered NAME
share_answered() {
    report "$1" '.outcomes.answered / .requests'
}

# processor_seconds PREFIX: user and system time so far of all processes whose name begins with PREFIX.
processor_seconds() {
    local name total=0 ticks
    for name in "${!CLUSTER_PIDS[@]}"; do
        case $name in
        "$1"*)
            ticks=$(sed 's/.*) //' "/proc/${CLUSTER_PIDS[$name]}/stat" | awk '{ print $12 + $13 }')
            total=$((total + ticks))
            ;;
        esac
    done
    calculate "$total / $CLOCK_TICKS"
}

# bytes_written: by all nodes so far, to peers, servers and callers.
bytes_written() {
    local node total=0
    for node in $(seq 1 "$BENCH_NODES"); do
        total=$((total + $(awk '/^wchar/ { print $2 }' "/proc/${CLUSTER_PIDS[node$node]}/io")))
    done
    echo "$total"
}

# counter NAME: sum over all nodes of one of their metrics.
counter() {
    local node
    for node in $(seq 1 "$BENCH_NODES"); do
        curl -sf "http://$CLUSTER_NET.$node:7200/metrics"
    done | awk -v name="cedarwinch_$1" '$1 == name { total += $2 } END { print total + 0 }'
}
