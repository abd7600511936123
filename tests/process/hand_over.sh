#!/usr/bin/env bash
# A leader with little capability hands over to a more capable node. The others take the lock after its step-down notice,
# not after a heartbeat timeout.
. "$(dirname "$0")/../../scripts/cluster.sh"
NODE_SETTINGS="cpu_share: 0.1"
cluster_start 1
NODE_SETTINGS="cpu_share: 0.5"
standard_servers
cluster_configure "$(configuration 1)"
cluster_wait_ready
cluster_wait_served
NODES="$NET.1:8080"
for n in 2 3; do start_node "$n"; NODES="$NODES,$NET.$n:8080"; done
cluster_wait_ready
(cluster_callers over --rate 60 --count 500) &
callers=$!
handed() { grep -q '"leadership lost"' "$WORK/node1.log" && [ "$(leader)" != 1 ] && leader; }
until_true handed
wait "$callers"
check "a more capable node leads" [ "$(leader)" != 1 ]
check "no node missed the leader's heartbeat" [ "$(cat "$WORK"/node[23].log | grep -c '"leader silent"')" = 0 ]
check "nearly all requests were answered" at_least "$(sum_of over s200)" 499
check "records agree" cluster_check
finish_test
