#!/usr/bin/env bash
# Sixteen nodes: one of each zone hands out the slots of a service's servers. While such a node stands still, and after
# some nodes were killed, requests go on, none runs twice and no key has two owners.
. "$(dirname "$0")/../../scripts/cluster.sh"
CLUSTER_ZONES=2
NODES_STARTED=16

silent_asks() { # asks without a reply, of all nodes that run
    local n
    for n in "${!NODE_PIDS[@]}"; do curl -sf -m 1 "http://$NET.$n:8081/metrics"; done |
        awk '/^cedarwinch_slot_brokers_silent_total/ {sum += $2} END {print sum + 0}'
}
all_know_each_other() {
    local n
    for n in "${!NODE_PIDS[@]}"; do
        [ "$(curl -sf "http://$NET.$n:8081/metrics" | awk '/^cedarwinch_peers / {print $2}')" -ge $((NODES_STARTED - 1)) ] || return 1
    done
}

standard_cluster "$NODES_STARTED"
until_true all_know_each_other
cluster_callers calm --rate 100 --count 300
check "all answered on a calm day" at_least "$(sum_of calm s200)" 299
STILL=2000 # requests, 20 s: some four nodes of the sixteen hand out slots, and a round takes 8 s on an idle machine
(cluster_callers still --rate 100 --count "$STILL") &
callers=$!
missed=0
n=0
while [ "$missed" = 0 ] && kill -0 "$callers" 2>/dev/null; do
    n=$((n % NODES_STARTED + 1))
    kill -STOP "${NODE_PIDS[$n]}"
    sleep 0.3
    kill -CONT "${NODE_PIDS[$n]}"
    missed=$(silent_asks)
done
check "a node that hands out slots was missed" at_least "$missed" 1
wait "$callers"
check "most answered while nodes stood still" at_least "$(sum_of still s200)" $((STILL * 9 / 10))
for n in 3 4 5 6; do
    kill -KILL "${NODE_PIDS[$n]}"
    unset "NODE_PIDS[$n]"
done
NODES=$(printf "$NET.%s:8080\n" "${!NODE_PIDS[@]}" | paste -sd,)
until_true cluster_wait_served
cluster_callers after --rate 100 --count 300
check "all answered after some were killed" at_least "$(sum_of after s200)" 299
check "records agree" cluster_check
finish_test
