#!/usr/bin/env bash
# Library for tests on separate processes: a small cluster under load, faults, and checks counted like check(1) does.
# Source it after setting nothing; it sources cluster.sh.
. scripts/cluster.sh

TEST_CHECKS=0
TEST_FAILURES=0
TEST_NODES=6

# check WHAT COMMAND...: counts one check.
check() {
    local what=$1
    shift
    TEST_CHECKS=$((TEST_CHECKS + 1))
    if "$@"; then
        echo "held: $what"
    else
        TEST_FAILURES=$((TEST_FAILURES + 1))
        echo "FAILED: $what (logs and records in $CLUSTER_DIR)"
    fi
}

# finish_test: prints the closing line, ends the cluster, exits.
finish_test() {
    cluster_end
    echo "$((100 * (TEST_CHECKS - TEST_FAILURES) / (TEST_CHECKS > 0 ? TEST_CHECKS : 1)))%: Checks: $TEST_CHECKS," \
        "Failures: $TEST_FAILURES, Errors: 0"
    if [ "$TEST_FAILURES" = 0 ] && [ "$TEST_CHECKS" -gt 0 ]; then
        [ -z "${TEST_KEEP:-}" ] || exit 0
        rm -rf "$CLUSTER_DIR"
        exit 0
    fi
    exit 1
}

# start_test: six nodes in three zones; tenant liffeyspoke with map (reads) and unlocks (never repeated).
start_test() {
    cluster_begin "$(mktemp -d)"
    start_platform "$@" &&
        start_service liffeyspoke map 6 2 3 --cold-ms 5 &&
        start_service liffeyspoke unlocks 4 2 5 --cold-ms 5 || exit 1
    intent_head liffeyspoke
    intent_service liffeyspoke map 6 2 110 0 4 1 2
    intent_service liffeyspoke unlocks 4 2 110 1 4 1 2
    start_nodes "$TEST_NODES"
    wait_nodes_ready "$TEST_NODES" || exit 1
}

# configure_test: the intent accepted and both services answering through the last node.
configure_test() {
    plan_and_confirm 1 liffeyspoke "$ADMINISTRATOR_TOKEN" >/dev/null || exit 1
    wait_for "map to answer" 20 key_answered "$TEST_NODES" liffeyspoke map first-key || exit 1
    wait_for "unlocks to answer" 30 key_unlocked "$TEST_NODES" first-key || exit 1
}

# key_unlocked NODE KEY: a non-repeatable request is answered.
key_unlocked() {
    curl -sf --max-time 2 -X POST -H "authorization: Bearer liffeyspoke-caller" \
        "http://$CLUSTER_NET.$1:7200/v1/liffeyspoke/unlocks/$2/"
}

# start_load SECONDS FLAGS...: load of both services through all nodes, in the background.
start_load() {
    local seconds=$1 node gateways=()
    shift
    for node in $(seq 1 "$TEST_NODES"); do
        gateways+=(--gateway "$CLUSTER_NET.$node:7200")
    done
    start_process load "$CLUSTER_BUILD/cw-load" --duration-s "$seconds" --seed 7 "${gateways[@]}" \
        --stream "tenant=liffeyspoke,service=map,token=liffeyspoke-caller,rate=200,keys=200,zipf=0.6,method=GET,path=/,timeout_ms=800,non_repeatable=0" \
        --stream "tenant=liffeyspoke,service=unlocks,token=liffeyspoke-caller,rate=60,keys=100,zipf=0.4,method=POST,path=/,timeout_ms=800,non_repeatable=1,repeat=0.2" \
        --record "$CLUSTER_DIR/load.jsonl" --json "$CLUSTER_DIR/load.json" "$@"
}

wait_load() {
    wait "${CLUSTER_PIDS[load]}"
    unset "CLUSTER_PIDS[load]"
}

# evidence: the checker over all records; prints its table.
evidence() {
    "$CLUSTER_BUILD/cw-evidence" --load "$CLUSTER_DIR/load.jsonl" --json "$CLUSTER_DIR/evidence.json" \
        "$CLUSTER_DIR"/record/*.jsonl
}

# leader_node: number of the leader, asked at the given node.
leader_node() {
    command_line "$1" "$ADMINISTRATOR_TOKEN" --json status | grep -oE '"leader": *[0-9]+' | grep -oE '[0-9]+$'
}

# server_ranges NODE SERVICE SERVER: how many ranges a server owns.
server_ranges() {
    command_line "$1" "$ADMINISTRATOR_TOKEN" status |
        awk -v service="$2" -v server="$3" '$1 == "service" { inside = ($2 == service ":") }
            inside && $1 == server { print $4 }'
}

owns_nothing() {
    [ "$(server_ranges "$1" "$2" "$3")" = 0 ]
}

owns_something() {
    local count
    count=$(server_ranges "$1" "$2" "$3")
    [ -n "$count" ] && [ "$count" -gt 0 ]
}
