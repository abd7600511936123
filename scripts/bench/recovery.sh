#!/usr/bin/env bash
# Scenario: the journal's wait at the users' distances between zones, and how soon a range serves non-repeatable
# requests again after its forwarder is lost, with and without recovering the unfinished entries first. The first part
# runs in virtual time and is exact; the second kills a node.
set -u

TAKE_OVER_NODES=5
TAKE_OVER_SECONDS=${BENCH_SECONDS:-8}

exact_figures() {
    local name value unit
    while IFS=$'\t' read -r name value unit; do
        figure "$name" "$value" "$unit"
    done <"$1"
}

# metric NODE NAME
metric() {
    curl -sf "http://$CLUSTER_NET.$1:7200/metrics" | awk -v name="cedarwinch_$2" '$1 == name { print $2 }'
}

# busiest_forwarder: the node, other than the leader, that sent most requests to servers.
busiest_forwarder() {
    local node
    for node in $(seq 1 "$BENCH_NODES"); do
        [ "$(metric "$node" control_leader)" = 1 ] || echo "$(metric "$node" forwarder_sent_total) $node"
    done | sort -n | tail -1 | cut -d' ' -f2
}

# other_gateways NODE
other_gateways() {
    local node
    for node in $(seq 1 "$BENCH_NODES"); do
        [ "$node" = "$1" ] || echo "--gateway $CLUSTER_NET.$node:7200"
    done
}

# take_over NAME SETTINGS: a forwarder is killed under load; figure: the longest time that a key was not served.
take_over() {
    local victim load
    bench_cluster $TAKE_OVER_NODES "$2" && start_service "$BENCH_TENANT" writes 6 4 1 || return 1
    intent_service "$BENCH_TENANT" writes 6 4 110 1 1 1 1
    bench_configure writes || return 1
    victim=$(busiest_forwarder)
    # shellcheck disable=SC2046
    "$CLUSTER_BUILD/cw-load" --duration-s "$TAKE_OVER_SECONDS" --seed 1 $(other_gateways "$victim") \
        --record "$CLUSTER_DIR/load.jsonl" --stream "tenant=$BENCH_TENANT,service=writes,token=$BENCH_TENANT-caller,\
rate=600,keys=100,method=POST,timeout_ms=500,non_repeatable=1" >/dev/null &
    load=$!
    sleep $((TAKE_OVER_SECONDS / 2))
    end_process "node$victim" KILL
    wait $load
    "$CLUSTER_BUILD/cw-evidence" --load "$CLUSTER_DIR/load.jsonl" --json "$CLUSTER_DIR/evidence.json" \
        "$CLUSTER_DIR"/record/*.jsonl >/dev/null
    figure "longest gap of a key, forwarder killed, $1" "$(jq '.services[0].longest_unavailable_s' "$CLUSTER_DIR/evidence.json")" s
    figure "violations, forwarder killed, $1" "$(jq .violations "$CLUSTER_DIR/evidence.json")" count
    bench_end
}

scenario_recovery() {
    local figures entries
    figures=$(mktemp)
    "$CLUSTER_BUILD/cw-journal" >"$figures" || return 1
    exact_figures "$figures"
    rm -f "$figures"
    for entries in 100 1000 10000; do
        quotient "first write served, $entries entries, all at once / unfinished first" \
            "first write served after a take-over of $entries entries, all at once" \
            "first write served after a take-over of $entries entries, unfinished first" ratio
    done
    take_over "unfinished first" "" || return 1
    take_over "all at once" "unfinished_first: false
" || return 1
    quotient "longest gap of a key, all at once / unfinished first" \
        "longest gap of a key, forwarder killed, all at once" \
        "longest gap of a key, forwarder killed, unfinished first" ratio
}
