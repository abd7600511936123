#!/usr/bin/env bash
# All nodes are killed at once. All lasting state is in the store, so owners keep their keys and service continues.
. "$(dirname "$0")/../../scripts/cluster.sh"
standard_cluster 3
cluster_callers before --rate 100 --count 200
owners() { curl -sf "http://$STORE/api/objects/cedarwinch-assignments/maps" | jq -c '[.spec.ranges[]|.[2]]|unique|sort'; }
check "records of assignments stand in the store" [ -n "$(owners)" ]
for n in 1 2 3; do kill -KILL "${NODE_PIDS[$n]}"; done
for n in 1 2 3; do start_node "$n"; done
cluster_wait_ready
cluster_wait_served
cluster_callers after --rate 100 --count 300
check "all answered after it" at_least "$(sum_of after s200)" 299
check "records agree" cluster_check
finish_test
