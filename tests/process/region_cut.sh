#!/usr/bin/env bash
# A region is cut off from the other one and from the store; the leader is outside of it. The leader stays. Outside, all keys
# are served again, also by nodes that sent requests to owners inside before. Inside, requests for keys are refused once the
# tables have expired, and requests that any server may run go to servers of that region. After healing, all nodes have one
# view.
LINKED=1
. "$(dirname "$0")/../../scripts/cluster.sh"
regions_cluster
leading=$(leader)
kept=$(region_of_node "$leading")
lost=$(other_region "$kept")
cut_off_region "$lost"
(region_callers "$kept" outside --rate 60 --count 600) &
outside=$!
until_true region_refuses_all_keys "$lost"
check "inside, all keys are refused" region_refuses_all_keys "$lost"
until_true region_serves_all_keys "$kept"
check "outside, all keys are served" region_serves_all_keys "$kept"
check "the leader is the same" [ "$(leader)" = "$leading" ]
check "it has not resigned" at_most "$(cut_off_resignations)" 0
until_true region_serves_any "$lost"
(KINDS=("${ANY_SERVER[@]}"); region_callers "$lost" inside --rate 40 --count 200)
check "inside, servers there run what any may run" at_least "$(sum_of inside s200)" 190
wait "$outside"
link heal
until_true one_view
until_true region_serves_all_keys east
until_true region_serves_all_keys west
cluster_callers after --rate 100 --count 300
check "all answered after it" at_least "$(sum_of after s200)" 295
check "records agree" cluster_check
finish_test
