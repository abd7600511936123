#!/usr/bin/env bash
# All nodes are killed and started again while the list of servers stays as it was. Each node finds all the others, not
# only the seeds and the leader.
. "$(dirname "$0")/../../scripts/cluster.sh"
cluster_start 6
standard_servers
cluster_configure "$(configuration 1)"
cluster_wait_ready
cluster_wait_served
peers() { curl -sf "http://$NET.$1:8081/metrics" | awk '$1 == "cedarwinch_peers" {print $2}'; }
all_know_all() { for n in 1 2 3 4 5 6; do [ "$(peers "$n")" = 5 ] || return 1; done; }
within() { # POLLS COMMAND...: limit in polls, each of which follows a second of reports
    local polls=$1
    shift
    while [ "$polls" -gt 0 ]; do
        "$@" && return 0
        polls=$((polls - 1))
        sleep 1
    done
    return 1
}
check "all nodes know all at the first start" within 20 all_know_all
for n in 1 2 3 4 5 6; do kill -KILL "${NODE_PIDS[$n]}"; done
for n in 1 2 3 4 5 6; do start_node "$n"; done
cluster_wait_ready
cluster_wait_served
check "and after all were killed" within 20 all_know_all
cluster_callers after --rate 100 --count 200
check "all answered" at_least "$(sum_of after s200)" 200
check "records agree" cluster_check
finish_test
