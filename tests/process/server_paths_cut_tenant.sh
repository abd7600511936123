#!/usr/bin/env bash
# Nodes without paths to servers pass a tenant's requests to other nodes. The tenant's limit holds over all nodes, since each
# request is counted once, and callers at the cut nodes get their part of it.
LINKED=1
. "$(dirname "$0")/../../scripts/cluster.sh"
. "$(dirname "$0")/lib/limited_tenant.sh"
. "$(dirname "$0")/lib/server_paths.sh"
standard_cluster 6
mapfile -t cut < <(others_than "$(leader)" | head -3)
cut_from_servers cut "${cut[@]}"
limited_callers during 12
runs_at_cut=$(grep -h '"served"' $(for n in "${cut[@]}"; do echo "$WORK/node$n.log"; done) | grep -c '"by_node"')
echo "     in the busiest window $(max_runs_in_window) of $ALLOWED allowed; $runs_at_cut served at the cut nodes"
check "the limit holds in each window" at_most "$(max_runs_in_window)" "$ALLOWED"
check "callers at the cut nodes are served" at_least "$runs_at_cut" 20 # which nodes get tokens first depends on the order of requests
check "records agree" cluster_check
finish_test
