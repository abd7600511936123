#!/usr/bin/env bash
# No node and no server can reach the store's region for some seconds, which looks like a store that is down. Requests are
# still served, owners keep their keys, and a change of the configuration made meanwhile comes into force afterwards.
LINKED=1
. "$(dirname "$0")/../../scripts/cluster.sh"
versions() { local n; for n in 1 2 3; do curl -sf "http://$NET.$n:8081/metrics" | awk '/^cedarwinch_configuration_version/ {print $2}'; done | sort -u | xargs; }
all_have() { [ "$(versions)" = "$1" ]; }
owners() { curl -sf "http://$STORE/api/objects/cedarwinch-assignments/maps" | jq -c '[.spec.ranges[]|.[2]]|unique|sort'; }

standard_cluster 3
before=$(owners)
link cut all store
cluster_configure "$(configuration 2)"
cluster_callers during --rate 80 --count 480
check "all but a few requests are answered while the store is unreachable" at_least "$(sum_of during s200)" 470
check "a change is not in force meanwhile" [ "$(versions)" = 1 ]
link heal
until_true all_have 2
check "the change is in force afterwards" all_have 2
until_true leader
cluster_wait_served
check "the owners are the same" [ "$(owners)" = "$before" ]
cluster_callers after --rate 100 --count 200
check "all requests are answered afterwards" at_least "$(sum_of after s200)" 198
check "records agree" cluster_check
finish_test
