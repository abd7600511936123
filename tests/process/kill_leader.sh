#!/usr/bin/env bash
# The leader is killed and started again, then a server is killed. No request is run twice, no key has two owners, and all
# keys are served again.
. "$(dirname "$0")/../../scripts/cluster.sh"
standard_cluster 3
cluster_callers before --rate 100 --count 200
first=$(leader)
(cluster_callers during --rate 80 --count 900) &
callers=$!
sleep 1
kill -KILL "${NODE_PIDS[$first]}"
unset "NODE_PIDS[$first]"
until_true leader
second=$(leader)
check "another node leads" [ "$first" != "$second" ]
start_node "$first"
kill -KILL "${SERVER_PIDS[m2]}"
cluster_server m2b --service maps --zone z2 --keyed --work-ms 15
wait "$callers"
check "most answered during it" at_least "$(sum_of during s200)" 500
until_true cluster_wait_served
cluster_callers after --rate 100 --count 200
check "all answered after it" at_least "$(sum_of after s200)" 199
check "records agree" cluster_check
finish_test
