#!/usr/bin/env bash
# Rehearses the procedures of docs/OPERATIONS.md on separate processes, under load where that matters. Each step is
# counted like a test. Not rehearsed here, but by tests of their own: loss of a zone (tests/process/zone.sh), outage of
# the store and stale plans (configuration.sh), loss of the control group's majority (recovery.sh).
set -u
cd "$(dirname "$0")/.." || exit 2
. scripts/process_test.sh

metric() {
    curl -sf --max-time 2 "http://$CLUSTER_NET.$1:7200/metrics" | awk -v name="$2" '$1 == name { print $2 }'
}

# refusals: reasons of the router's own final answers since the nodes started, added up over the nodes that answer.
refusals() {
    local node
    for node in $(seq 1 "$TEST_NODES"); do
        curl -sf --max-time 2 "http://$CLUSTER_NET.$node:7200/metrics"
    done | awk -F '[{}" ]' '/^cedarwinch_gateway_refusals_total/ { sum[$3] += $NF }
        END { for (reason in sum) if (sum[reason] > 0) printf " %s=%d", reason, sum[reason] }'
    echo
}

# accept_file NODE FILE: plans and confirms with the tenant's operator token.
accept_file() {
    local plan
    plan=$(command_line "$1" liffeyspoke-operator --json plan "$2" | grep -oE '"plan": *"[^"]+"' | cut -d'"' -f4)
    [ -n "$plan" ] && command_line "$1" liffeyspoke-operator confirm "$plan"
}

restart_server() {
    local zones=(a b c)
    end_process "liffeyspoke-$1-$2" TERM || return 1
    start_backend liffeyspoke "$1" "$2" "${zones[$((($2 - 1) % 3))]}" --slots 2 --service-ms 3 --cold-ms 5
    wait_for "ranges on $1 s$2" 20 owns_something 1 "$1" "s$2"
}

out_of_touch() {
    [ "$(curl -s -o /dev/null --max-time 2 -w '%{http_code}' "http://$CLUSTER_NET.$1:7200/readyz")" = 503 ]
}

node_down() {
    command_line 1 "$ADMINISTRATOR_TOKEN" status | awk -v node="$1" '$1 == node && $4 == "down" { found = 1 } END { exit !found }'
}

not_listed() {
    [ -z "$(server_ranges "$1" "$2" "$3")" ]
}

start_test
configure_test

echo "== rolling restart of all nodes"
wait_for "every range to be owned" 20 every_range_owned 1
start_load 45
for node in 1 2 3 4 5 6; do
    check "node $node restarts" restart_node "$node"
done
check "nothing was cut off" cut_off_nothing

echo "== rolling restart of servers"
for server in 1 2 3; do
    check "map s$server restarts" restart_server map "$server"
done
check "nothing was cut off" cut_off_nothing
wait_load
check "nothing was cut off to the end of the load" cut_off_nothing
check "the records show no violation" evidence

echo "== a server is added, then removed"
start_backend liffeyspoke map 7 a --slots 2 --service-ms 3 --cold-ms 5
learn_backend_port liffeyspoke map 7
cp "$CLUSTER_DIR/intent/liffeyspoke.yaml" "$CLUSTER_DIR/intent/six.yaml"
sed "/name: s6, address.*port: ${CLUSTER_PORTS[liffeyspoke-map-6]}/a\\      - {name: s7, address: $CLUSTER_NET.200, port: ${CLUSTER_PORTS[liffeyspoke-map-7]}, zone: a}" \
    "$CLUSTER_DIR/intent/six.yaml" >"$CLUSTER_DIR/intent/seven.yaml"
check "the intent with it is accepted" accept_file 2 "$CLUSTER_DIR/intent/seven.yaml"
check "it takes ranges" wait_for "ranges on map s7" 60 owns_something 1 map s7
check "the intent without it is accepted" accept_file 2 "$CLUSTER_DIR/intent/six.yaml"
check "its ranges leave" wait_for "map s7 off the list" 20 not_listed 1 map s7
check "it ends" end_process liffeyspoke-map-7 TERM

echo "== a node is added, then removed"
write_settings 7 a 6
start_node 7
check "it is ready" wait_for "node 7" 20 node_ready 7
check "it answers" wait_for "an answer at node 7" 10 key_answered 7 liffeyspoke map first-key
check "it ends with 0" end_process node7 TERM
check "it stays listed as down" wait_for "node 7 down" 10 node_down 7

echo "== drain of every server of a service does not end"
for server in 1 2 3 4; do
    command_line 1 liffeyspoke-operator drain "liffeyspoke/unlocks/s$server"
done
sleep 6
command_line 1 "$ADMINISTRATOR_TOKEN" status | sed -n '/service unlocks/,$p'
check "the keys are still answered" key_unlocked 1 first-key
for server in 1 2 3 4; do
    command_line 1 liffeyspoke-operator drain "liffeyspoke/unlocks/s$server off"
done

echo "== unknown outcomes: a server freezes in the middle of its requests"
start_load 8
sleep 3
echo "before:$(refusals)"
signal_process liffeyspoke-unlocks-1 STOP
check "its ranges move" wait_for "ranges off unlocks s1" 15 owns_nothing 1 unlocks s1
wait_load
echo "after: $(refusals)"
signal_process liffeyspoke-unlocks-1 CONT
check "it takes ranges again" wait_for "ranges on unlocks s1" 60 owns_something 1 unlocks s1

echo "== journal unavailable: two nodes freeze"
start_load 12
sleep 2
leader=$(leader_node 1)
frozen=()
for node in 4 5 6; do
    [ "$node" = "$leader" ] || [ "${#frozen[@]}" = 2 ] || frozen+=("$node")
done
echo "before:$(refusals)"
for node in "${frozen[@]}"; do
    signal_process "node$node" STOP
done
sleep 4
echo "frozen ${frozen[*]}; after: $(refusals)"
check "non-repeatable requests are answered again" wait_for "an unlock" 15 key_unlocked 1 second-key
for node in "${frozen[@]}"; do
    signal_process "node$node" CONT
done
wait_load
check "the records show no violation" evidence

echo "== a node out of touch"
for node in 1 2 3; do
    signal_process "node$node" STOP
done
check "it says so" wait_for "node 6 out of touch" 10 out_of_touch 6
curl -s -i -H "authorization: Bearer liffeyspoke-caller" "http://$CLUSTER_NET.6:7200/v1/liffeyspoke/map/first-key/" |
    grep -iE '^(HTTP|cw-|retry-after)'
echo "in_touch $(metric 6 cedarwinch_in_touch)"
for node in 1 2 3; do
    signal_process "node$node" CONT
done
check "it is in touch again" wait_for "node 6 ready" 20 node_ready 6
finish_test
