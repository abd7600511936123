#!/usr/bin/env bash
# A fifth of all datagrams between nodes is lost while a tenant sends four times its limit. The number of its requests that run on
# all servers must stay within the limit in each window, although asks and replies of the counting node are lost.
LINKED=1
. "$(dirname "$0")/../../scripts/cluster.sh"
. "$(dirname "$0")/lib/limited_tenant.sh"

regions_cluster
until_true all_reachable
limited_callers limited 30 &
callers=$!
link lose all all 20
wait "$callers"
check "no window holds more than the limit allows" at_most "$(max_runs_in_window)" "$ALLOWED"
check "at least half of the limit is used" at_least "$(sum_of limited s200)" $((RATE * 30 / 2))
check "records agree" cluster_check
finish_test
