#!/usr/bin/env bash
# A region that was cut off is connected again and has old state: meanwhile the configuration has changed twice, one server
# has left, another one has joined, and keys have moved. The region's nodes take the newer configuration, list and tables,
# and none of their old state spreads to other nodes.
LINKED=1
. "$(dirname "$0")/../../scripts/cluster.sh"
versions_of_region() { local n; for n in $(nodes_of_region "$1"); do curl -sf "http://$NET.$n:8081/metrics" | awk '/^cedarwinch_configuration_version/ {print $2}'; done | sort -u | xargs; }
region_has() { [ "$(versions_of_region "$1")" = "$2" ]; }
id_of() { jq -rs '.[0].server' "$WORK/server-$1.json"; }
lists() { # NODE SERVER
    curl -sf "http://$NET.$1:8081/status" | jq -r '.servers[].id' | grep -qx "$(id_of "$2")"
}
region_lists() { local n; for n in $(nodes_of_region "$1"); do lists "$n" "$2" || return 1; done; }
region_lists_no() { local n; for n in $(nodes_of_region "$1"); do ! lists "$n" "$2" || return 1; done; }
older_configurations_accepted() { # number of times that a node accepted a configuration that is not newer than its own
    local n count=0
    for n in "${!NODE_PIDS[@]}"; do
        count=$((count + $(jq -rs '[.[]|select(.event=="configuration accepted").version] as $v|[range(1;$v|length)|select($v[.]<=$v[.-1])]|length' "$WORK/node$n.log")))
    done
    echo "$count"
}

regions_cluster
kept=$(region_of_node "$(leader)")
lost=$(other_region "$kept")
# In the region that stays connected, one server leaves and another one joins. The region that is cut off knows only the
# first of them.
if [ "$kept" = east ]; then gone=m1 zone=z1; else gone=m3 zone=z3; fi
until_true one_view
cut_off_region "$lost"
until_true region_refuses_all_keys "$lost"
cluster_configure "$(configuration 2)"
cluster_configure "$(configuration 3)"
kill -TERM "${SERVER_PIDS[$gone]}"
cluster_server m8 --service maps --zone "$zone" --keyed --work-ms 15
until_true region_has "$kept" 3
until_true region_lists "$kept" m8
until_true region_lists_no "$kept" "$gone"
until_true region_serves_all_keys "$kept"
check "the region cut off has the old configuration" region_has "$lost" 1
check "and the old list" region_lists "$lost" "$gone"
before=$(curl -sf "http://$NET.$(leader):8081/status" | jq .leadership.term)
link heal
until_true one_view
until_true region_has "$lost" 3
until_true region_serves_all_keys "$lost"
check "back, all nodes have one leader, configuration and list" one_view
check "the server that has come is in it" region_lists "$lost" m8
check "the one that went is not" region_lists_no "$lost" "$gone"
check "the leader's term is the same" [ "$(curl -sf "http://$NET.$(leader):8081/status" | jq .leadership.term)" = "$before" ]
cluster_callers after --rate 100 --count 300
check "all answered after it" at_least "$(sum_of after s200)" 295
check "no node took an older configuration" at_most "$(older_configurations_accepted)" 0
check "records agree" cluster_check
finish_test
