#!/usr/bin/env bash
# Eighteen nodes in three zones: all nodes of one zone are killed at once and started again while the zone is cut off from
# the store. So they get the list from other nodes only: the leader sends it across zones to some of them, and these send
# it to the others.
LINKED=1
. "$(dirname "$0")/../../scripts/cluster.sh"
NODES_STARTED=18
ZONE_NODES=6

metric_of() { curl -sf -m 1 "http://$NET.$1:8081/metrics" | awk -v m="$2" 'index($0, m) == 1 {sum += $2} END {print sum + 0}'; }
have_list() { # NODES...: each knows at least the servers of the other zones
    local n
    for n in "$@"; do [ "$(metric_of "$n" "cedarwinch_servers ")" -ge 6 ] || return 1; done
}
know_all() { # NODES...
    local n
    for n in "$@"; do [ "$(metric_of "$n" "cedarwinch_peers ")" -eq $((NODES_STARTED - 1)) ] || return 1; done
}
sum_of_metric() { # METRIC NODES...
    local metric=$1 n sum=0
    shift
    for n in "$@"; do sum=$((sum + $(metric_of "$n" "$metric"))); done
    echo "$sum"
}
whole_lists() { sum_of_metric 'cedarwinch_list_from_zone_total ' "$@"; }
some_from_zone() { [ "$(whole_lists "$@")" -ge 1 ]; }
sent_across() { # bytes of lists that the leader has sent to other zones
    local beyond zone
    zone=$(metric_of "$1" 'cedarwinch_peer_bytes_total{kind="servers",distance="zone"}')
    beyond=$(metric_of "$1" 'cedarwinch_peer_bytes_total{kind="servers"')
    echo $((beyond - zone))
}

standard_cluster "$NODES_STARTED"
until_true know_all "${!NODE_PIDS[@]}"
until_true have_list "${!NODE_PIDS[@]}"
lead=$(leader)
hit=$((lead % 3 + 1)) # a zone other than the leader's
victims=$(seq "$hit" 3 "$NODES_STARTED")
echo "leader n$lead, killed: $(echo $victims)"
before=$(sent_across "$lead")
for n in $victims; do kill -KILL "${NODE_PIDS[$n]}"; done
link cut "z$hit" store
for n in $victims; do start_node "$n"; done
until_true know_all "${!NODE_PIDS[@]}"
until_true have_list "${!NODE_PIDS[@]}"
until_true some_from_zone $victims
check "the list came to nodes of the zone inside it" at_least "$(whole_lists $victims)" 1
check "the same node leads" test "$(leader)" = "$lead"
# A list of nine servers is one page, with at most 80 bytes a server and 100 bytes beside them. The leader sends it to the
# zone's two relays and, during the start, to another node that is a relay for a moment: to at most half of its nodes.
sent=$(($(sent_across "$lead") - before))
echo "bytes of lists across zones: $sent"
check "bytes of lists that the leader sent across zones" at_most "$sent" $((ZONE_NODES / 2 * (9 * 80 + 100)))
link heal
until_true know_all "${!NODE_PIDS[@]}"
cluster_wait_ready
cluster_callers after --rate 100 --count 200
check "all answered after that" at_least "$(sum_of after s200)" 199
check "records agree" cluster_check
finish_test
