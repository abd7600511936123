#!/usr/bin/env bash
# The leader loses its paths to all servers; the store and the other nodes still reach it. Another node leads, and all keys are
# served at all nodes.
LINKED=1
. "$(dirname "$0")/../../scripts/cluster.sh"
. "$(dirname "$0")/lib/server_paths.sh"
another_leads() { local now; now=$(leader) && [ "$now" != "$1" ]; }
all_nodes_serve() {
    local n
    for n in "${!NODE_PIDS[@]}"; do serves_all_keys "$n" || return 1; done
}
standard_cluster 6
leading=$(leader)
cut_from_servers cut "$leading"
until_true another_leads "$leading"
check "another node leads" another_leads "$leading"
until_true all_nodes_serve
callers_at during 120 720 $(others_than)
echo "     at all nodes: $(answers during)"
check "at all nodes, first attempts are served" at_least "$(first_served during)" 706
check "the cut node does not lead again" another_leads "$leading"
link heal
until_true paths_open "$leading"
callers_at after 120 360 $(others_than)
check "all served after it" at_least "$(first_served after)" 353
check "records agree" cluster_check
finish_test
