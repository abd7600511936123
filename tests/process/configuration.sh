#!/usr/bin/env bash
# Changes of the configuration: in force at every node, kept through a forgotten history, never back.
. "$(dirname "$0")/../../scripts/cluster.sh"
usual_cluster 3
versions() { local n; for n in 1 2 3; do curl -sf "http://$NET.$n:8081/metrics" | awk '/^cedarwinch_configuration_version/ {print $2}'; done | sort -u | xargs; }
status() { curl -s -o /dev/null -w '%{http_code}' "http://$NET.$1:8080$2" -H 'Host: maps.example' -H "X-Request-Id: c$RANDOM$RANDOM" -H 'X-Deadline-Ms: 900'; }
all_have() { [ "$(versions)" = "$1" ]; }
renamed() { configuration "$1" | sed 's#/hire/#/rent/#'; }
check "the first version everywhere" all_have 1
cluster_configure "$(renamed 5)"
until_true all_have 5
check "the new route serves" [ "$(status 1 /rent/x)" = 200 ]
check "the old one is gone" [ "$(status 2 /hire/x)" = 404 ]
curl -sf -X POST "http://$STORE/control?forget=1" >/dev/null
cluster_configure "$(configuration 9)"
until_true all_have 9
check "after the history was forgotten too" [ "$(status 3 /hire/x)" = 200 ]
cluster_configure "$(renamed 7)" # lower: whoever wrote it, it is not taken
cluster_configure "$(configuration 12)"
until_true all_have 12
check "a lower version was not taken" [ "$(grep -h '"configuration accepted"' "$WORK"/node1.log | grep -c '"version":7')" = 0 ]
# A limit of another type: refused whole, with its place; the one in force stays, and a later one is taken.
refused() { grep -h '"configuration refused"' "$WORK"/node?.log | grep -q 'limits.max-body-bytes: not a number'; }
cluster_configure "$(renamed 14 | jq -c '.limits = {"max-body-bytes": "1000"}')"
until_true refused
check "a limit of another type is refused with its place" refused
check "the version in force stays" all_have 12
check "its routes serve" [ "$(status 1 /hire/x)" = 200 ]
cluster_configure "$(configuration 16)"
until_true all_have 16
check "a later one is taken" all_have 16
# Forgotten, and nothing changes: a watch from the object's own revision would be refused again and again.
curl -sf -X POST "http://$STORE/control?forget=1" >/dev/null
reads() { curl -sf "http://$NET.1:8081/metrics" | awk '/^cedarwinch_store_reads_total/ {print $2}'; }
sleep 0.5
before=$(reads)
sleep 2
check "a forgotten history is read past once" at_most "$(($(reads) - before))" 12
for i in $(seq 20 45); do cluster_configure "$(configuration "$i")"; done
until_true all_have 45
check "twenty-six changes in a row end at the last" all_have 45
finish_test
