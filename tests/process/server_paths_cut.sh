#!/usr/bin/env bash
# Three of six nodes lose their paths to all servers. Callers of these nodes are served as often as the others', by way of the
# other nodes.
LINKED=1
. "$(dirname "$0")/../../scripts/cluster.sh"
. "$(dirname "$0")/lib/server_paths.sh"
standard_cluster 6
mapfile -t cut < <(others_than "$(leader)" | head -3)
callers_at before 60 240 "${cut[@]}"
check "all served before it" at_least "$(first_served before)" 235
cut_from_servers cut "${cut[@]}"
(callers_at detection 30 60 "${cut[@]}") &
until_true paths_lost "${cut[@]}"
wait $!
callers_at during 90 540 "${cut[@]}"
echo "     at the cut nodes: $(answers during)"
check "at the cut nodes, first attempts are served" at_least "$(first_served during)" 529
through=$(grep -h '"served"' "$WORK/node${cut[0]}.log" | grep '"by_node"' | tail -1 | jq -r .request)
explains() { "$BUILD/cedarwinch" explain "$through" "$WORK"/node*.log | grep -q "$1"; } # TEXT
check "explain shows that it was passed on" explains delegated
check "explain names the reason" explains "reaches no server of the service"
check "explain shows the node that found the server" explains for_node
link heal
until_true paths_open "${cut[@]}"
callers_at after 60 240 "${cut[@]}"
check "all served after it" at_least "$(first_served after)" 235
check "records agree" cluster_check
finish_test
