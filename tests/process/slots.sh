#!/usr/bin/env bash
# With sixteen nodes, one node of each zone hands out the slots of a service's servers. While such a node is suspended
# (SIGSTOP), and after some nodes were killed, requests must still be answered, none may run twice and no key may have
# two owners.
. "$(dirname "$0")/../../scripts/cluster.sh"
CLUSTER_ZONES=2
NODES_STARTED=16

unanswered_asks() { # sum over all running nodes
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
check "all requests are answered without failures" at_least "$(sum_of calm s200)" 299
STILL=2000 # requests, 20 s: about four of the sixteen nodes hand out slots, and a round takes 8 s on an idle machine
(cluster_callers still --rate 100 --count "$STILL") &
callers=$!
missed=0
n=0
while [ "$missed" = 0 ] && kill -0 "$callers" 2>/dev/null; do
    n=$((n % NODES_STARTED + 1))
    kill -STOP "${NODE_PIDS[$n]}"
    sleep 0.3
    kill -CONT "${NODE_PIDS[$n]}"
    missed=$(unanswered_asks)
done
check "a suspended node that hands out slots left an ask unanswered" at_least "$missed" 1
wait "$callers"
check "most requests are answered while nodes are suspended" at_least "$(sum_of still s200)" $((STILL * 9 / 10))
for n in 3 4 5 6; do
    kill -KILL "${NODE_PIDS[$n]}"
    unset "NODE_PIDS[$n]"
done
NODES=$(printf "$NET.%s:8080\n" "${!NODE_PIDS[@]}" | paste -sd,)
until_true cluster_wait_served
cluster_callers after --rate 100 --count 300
check "all requests are answered after some nodes were killed" at_least "$(sum_of after s200)" 299
check "records agree" cluster_check
finish_test
