#!/usr/bin/env bash
# The leader's region is cut off from the other region and from the store. A node outside becomes the leader and, once the
# holds of the owners inside have run out, assigns their keys to servers that it reaches. Inside, requests for keys are
# refused once the tables have expired. After the link is restored, all nodes have the same view.
LINKED=1
. "$(dirname "$0")/../../scripts/cluster.sh"
regions_cluster
lost=$(region_of_node "$(leader)")
kept=$(other_region "$lost")
cut_off_region "$lost"
(region_callers "$kept" outside --rate 60 --count 600) &
outside=$!
until_true leader_of_region "$kept"
check "a node outside leads" leader_of_region "$kept"
until_true region_serves_all_keys "$kept"
check "outside, all keys are served" region_serves_all_keys "$kept"
check "the new leader has not resigned" at_most "$(cut_off_resignations)" 0
until_true region_refuses_all_keys "$lost"
check "inside, all keys are refused" region_refuses_all_keys "$lost"
wait "$outside"
link heal
until_true one_view
until_true region_serves_all_keys east
until_true region_serves_all_keys west
cluster_callers after --rate 100 --count 300
check "all answered after it" at_least "$(sum_of after s200)" 295
check "records agree" cluster_check
finish_test
