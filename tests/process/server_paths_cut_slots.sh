#!/usr/bin/env bash
# Three of six nodes lose their paths to all servers while they have requests. What they hold of the servers' slots, and what
# they say of the servers, does not keep the other nodes from serving.
LINKED=1
. "$(dirname "$0")/../../scripts/cluster.sh"
. "$(dirname "$0")/lib/server_paths.sh"
standard_cluster 6
mapfile -t cut < <(others_than "$(leader)" | head -3)
mapfile -t others < <(others_than "${cut[@]}")
cut_from_servers cut "${cut[@]}"
(callers_at detection 30 60 "${cut[@]}") &
until_true paths_lost "${cut[@]}"
wait $!
(callers_at there 120 720 "${cut[@]}") &
callers_at others 120 720 "${others[@]}"
wait $!
echo "     at the others: $(answers others)"
check "at the other nodes, first attempts are served" at_least "$(first_served others)" 706
check "records agree" cluster_check
finish_test
