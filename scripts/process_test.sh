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
    start_test_servers "$@"
    start_test_nodes
}

# start_test_servers FLAGS...: platform with these flags, servers and the intent file. Services may be added to it
# until start_test_nodes.
start_test_servers() {
    cluster_begin "$(mktemp -d)"
    start_platform "$@" &&
        start_service liffeyspoke map 6 2 3 --cold-ms 5 &&
        start_service liffeyspoke unlocks 4 2 5 --cold-ms 5 || exit 1
    [ -z "${TEST_CUTTER:-}" ] || cutter_before liffeyspoke unlocks 4 || exit 1
    intent_head liffeyspoke
    intent_service liffeyspoke map 6 2 110 0 4 1 2
    intent_service liffeyspoke unlocks 4 2 110 1 4 1 2
}

start_test_nodes() {
    start_nodes "$TEST_NODES"
    wait_nodes_ready "$TEST_NODES" || exit 1
}

# cutter_before TENANT SERVICE SERVERS: puts cw-cutter between the nodes and the service's servers; the intent then
# names the cutter's ports. Control: cutter PATH.
cutter_before() {
    local number ports relays=()
    for number in $(seq 1 "$3"); do
        relays+=(--relay "$CLUSTER_NET.200:0=$CLUSTER_NET.200:${CLUSTER_PORTS[$1-$2-$number]}")
    done
    start_process cutter "$CLUSTER_BUILD/cw-cutter" "${relays[@]}" --control "$CLUSTER_NET.200:0"
    wait_for "the cutter" 10 port_printed cutter || return 1
    read -r -a ports <"$CLUSTER_DIR/log/cutter.out"
    CUTTER_PORT=${ports[0]}
    for number in $(seq 1 "$3"); do
        CLUSTER_PORTS[$1-$2-$number]=${ports[$number]}
    done
}

# cutter PATH: "cut?mode=reset", "cut", "heal", ...
cutter() {
    curl -sf -X POST "http://$CLUSTER_NET.200:$CUTTER_PORT/$1"
}

# backend_faults TENANT SERVICE NUMBER JSON: not for servers behind the cutter.
backend_faults() {
    curl -sf -X POST -d "$4" "http://$CLUSTER_NET.200:${CLUSTER_PORTS[$1-$2-$3]}/stand-in/faults"
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

# cut_off_nothing: no request of the load was sent and then lost: no unknown outcome, no connection that ended without an
# answer, no caller's limit of time passed. A caller that finds no connection (not-sent) has lost nothing.
cut_off_nothing() {
    local ends
    ends=$(grep -oE '"outcome": *"(unknown|lost|timed-out|other)"' "$CLUSTER_DIR/load.jsonl" | sort | uniq -c)
    [ -z "$ends" ] || echo "cut off: $ends"
    [ -z "$ends" ]
}

# restart_node NODE: planned stop, then a new process that is ready.
restart_node() {
    end_process "node$1" TERM || return 1
    start_node "$1"
    wait_for "node $1" 20 node_ready "$1"
}

# every_range_owned NODE: owned, and confirmed by its server.
every_range_owned() {
    command_line "$1" "$ADMINISTRATOR_TOKEN" status |
        awk '$1 == "service" { all += $3; owned += $5 } END { exit !(all > 0 && all == owned) }'
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

# forwarder_of NODE SERVICE SERVER: the node that forwards to a server, as the given node is told.
forwarder_of() {
    command_line "$1" "$ADMINISTRATOR_TOKEN" status |
        awk -v service="$2" -v server="$3" '$1 == "service" { inside = ($2 == service ":") }
            inside && $1 == server { print $5 }'
}

# owner_of NODE TENANT/SERVICE KEY: name of the server that owns a key.
owner_of() {
    command_line "$1" "$ADMINISTRATOR_TOKEN" explain "$2" "$3" | awk '$1 == "owner" { print $2 }'
}

owns_nothing() {
    [ "$(server_ranges "$1" "$2" "$3")" = 0 ]
}

owns_something() {
    local count
    count=$(server_ranges "$1" "$2" "$3")
    [ -n "$count" ] && [ "$count" -gt 0 ]
}

# in_force_everywhere NODE: every node that is up reports the leader's version as the one in force.
in_force_everywhere() {
    command_line "$1" "$ADMINISTRATOR_TOKEN" status | awk '
        $1 == "leader" { for (i = 1; i < NF; i++) if ($i == "version") newest = $(i + 1) + 0 }
        $4 == "up" && $1 ~ /^[0-9]+$/ { nodes++; behind += $5 != newest }
        END { exit !(newest > 0 && nodes > 0 && behind == 0) }'
}
