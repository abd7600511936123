#!/usr/bin/env bash
# Guards against a tenant's limit that is exceeded after all nodes have lost power and restarted at once: each node knows too few of
# the others at first, so several may count. It happens twice while the tenant sends four times its limit.
RATE=100 BURST=100
. "$(dirname "$0")/../../scripts/cluster.sh"
. "$(dirname "$0")/lib/limited_tenant.sh"
COUNT=${COUNT:-18}

standard_cluster "$COUNT"
until_true all_reachable
limited_callers limited 20 --until "$WORK/limited.end" & # at least so long, and until one node counts again
callers=$!
PIDS+=("$callers")
until_true one_counts
for _ in 1 2; do
    sleep 3
    for n in "${!NODE_PIDS[@]}"; do kill -KILL "${NODE_PIDS[$n]}"; done
    for n in $(seq 1 "$COUNT"); do start_node "$n"; done
    until_true all_reachable
    until_true one_counts
done
touch "$WORK/limited.end"
wait "$callers"
check "no window holds more than the limit allows" at_most "$(max_runs_in_window)" "$ALLOWED"
check "at least half of the limit is used" at_least "$(sum_of limited s200)" $((RATE * 20 / 2))
check "records agree" cluster_check
finish_test
