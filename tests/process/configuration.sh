#!/usr/bin/env bash
# Changes of the configuration come into force at every node. They still do after the store has forgotten its history, and
# no node goes back to a lower version.
. "$(dirname "$0")/../../scripts/cluster.sh"
standard_cluster 3
versions() { local n; for n in 1 2 3; do curl -sf "http://$NET.$n:8081/metrics" | awk '/^cedarwinch_configuration_version/ {print $2}'; done | sort -u | xargs; }
status() { curl -s -o /dev/null -w '%{http_code}' "http://$NET.$1:8080$2" -H 'Host: maps.example' -H "X-Request-Id: c$RANDOM$RANDOM" -H 'X-Deadline-Ms: 900'; }
all_have() { [ "$(versions)" = "$1" ]; }
renamed() { configuration "$1" | sed 's#/hire/#/rent/#'; }
check "the first version is in force everywhere" all_have 1
cluster_configure "$(renamed 5)"
until_true all_have 5
check "the new route serves" [ "$(status 1 /rent/x)" = 200 ]
check "the former route is gone" [ "$(status 2 /hire/x)" = 404 ]
curl -sf -X POST "http://$STORE/control?forget=1" >/dev/null
cluster_configure "$(configuration 9)"
until_true all_have 9
check "a change after the history was forgotten is in force" [ "$(status 3 /hire/x)" = 200 ]
cluster_configure "$(renamed 7)" # a lower version must not come into force, whoever wrote it
cluster_configure "$(configuration 12)"
until_true all_have 12
check "a lower version was not accepted" [ "$(grep -h '"configuration accepted"' "$WORK"/node1.log | grep -c '"version":7')" = 0 ]
# A limit of the wrong type: the whole version is refused and the place of the fault is logged. The version in force stays,
# and a later one comes into force.
refused() { grep -h '"configuration refused"' "$WORK"/node?.log | grep -q 'limits.max-body-bytes: not a number'; }
cluster_configure "$(renamed 14 | jq -c '.limits = {"max-body-bytes": "1000"}')"
until_true refused
check "a limit of another type is refused with its place" refused
check "the version in force stays" all_have 12
check "the routes of the version in force serve" [ "$(status 1 /hire/x)" = 200 ]
cluster_configure "$(configuration 16)"
until_true all_have 16
check "a later version is in force" all_have 16
# The history is forgotten and nothing changes: a watch from the object's own revision would be refused again and again.
curl -sf -X POST "http://$STORE/control?forget=1" >/dev/null
reads() { curl -sf "http://$NET.1:8081/metrics" | awk '/^cedarwinch_store_reads_total/ {print $2}'; }
sleep 0.5
before=$(reads)
sleep 2
check "a node does not read again and again after the history was forgotten" at_most "$(($(reads) - before))" 12
for i in $(seq 20 45); do cluster_configure "$(configuration "$i")"; done
until_true all_have 45
check "after twenty-six changes in a row the last one is in force" all_have 45
finish_test
