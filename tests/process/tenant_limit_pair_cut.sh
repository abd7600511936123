#!/usr/bin/env bash
# Guards against two nodes that each give out the whole of a tenant's limit. In a cluster of four nodes, datagrams between the counting
# node and each other node in turn are cut for seven seconds: first only those from the counting node, then both directions.
LINKED=1
. "$(dirname "$0")/../../scripts/cluster.sh"
. "$(dirname "$0")/lib/limited_tenant.sh"
COUNT=${COUNT:-4} CUT_S=${CUT_S:-7}

standard_cluster "$COUNT"
until_true all_reachable
limited_callers limited $((2 * (COUNT - 1) * (CUT_S + 2) + 4)) &
callers=$!
until_true one_counts
counter=$(counting)
echo "n$counter counts"
for cut in cut-one-way cut; do
    for other in "${!NODE_PIDS[@]}"; do
        [ "$other" != "$counter" ] || continue
        link "$cut" "n$counter" "n$other"
        sleep "$CUT_S"
        link heal
        until_true all_reachable
        sleep 0.5
    done
done
wait "$callers"
check "no window holds more than the limit allows" at_most "$(max_runs_in_window)" "$ALLOWED"
check "at least eight tenths of the limit over the time of the cuts are used" at_least "$(sum_of limited s200)" $((RATE * 2 * (COUNT - 1) * CUT_S * 8 / 10))
check "records agree" cluster_check
finish_test
