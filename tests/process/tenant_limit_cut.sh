#!/usr/bin/env bash
# Two regions are cut off from each other and connected again, three times, while a tenant sends four times its limit. The number of
# its requests that run on all servers must stay within the limit in each window, also after a cut during which nodes of both
# regions have counted.
LINKED=1
. "$(dirname "$0")/../../scripts/cluster.sh"
. "$(dirname "$0")/lib/limited_tenant.sh"
region_counts() { [ -n "$(for n in $(counting); do region_of_node "$n"; done | grep -x "$1")" ]; }

regions_cluster
until_true all_reachable
limited_callers limited 30 &
callers=$!
for _ in 1 2 3; do
    link cut east west
    until_true region_counts east
    until_true region_counts west
    link heal
    until_true all_reachable
done
wait "$callers"
check "no window holds more than the limit allows" at_most "$(max_runs_in_window)" "$ALLOWED"
check "at least half of the limit is used" at_least "$(sum_of limited s200)" $((RATE * 30 / 2))
check "records agree" cluster_check
finish_test
