#!/usr/bin/env bash
# A list of several pages is kept up to date by reading its changes. Servers that are added, that leave and that end are
# noticed all the same, also after the store has forgotten its history.
STORE_PAGE=2
. "$(dirname "$0")/../../scripts/cluster.sh"
standard_cluster 3
by_changes() { local n; for n in 1 2 3; do curl -sf "http://$NET.$n:8081/metrics" | awk '/^cedarwinch_list_changes_total/ {print $2}'; done | sort -n | tail -1; }
changed() { [ "$(by_changes)" -gt "$1" ]; }
listed() { curl -sf "http://$NET.$1:8081/status" | jq -r '.servers[] | select(.draining == false) | .service' | grep -c "$2"; }
has() { [ "$(listed 1 "$1")" = "$2" ] && [ "$(listed 2 "$1")" = "$2" ] && [ "$(listed 3 "$1")" = "$2" ]; }
until_true changed 3
check "the list is read by its changes" changed 3
cluster_server h4 --service hires --zone z1 --work-ms 15
until_true has hires 4
check "a server that is added is listed" has hires 4
kill -TERM "${SERVER_PIDS[h1]}"
until_true has hires 3
check "a server that leaves is no longer listed" has hires 3
curl -sf -X POST "http://$STORE/control?forget=1" >/dev/null
cluster_server h5 --service hires --zone z2 --work-ms 15
until_true has hires 4
check "a server that is added after the history was forgotten is listed" has hires 4
before=$(by_changes)
until_true changed "$before"
check "the list is then read by its changes again" changed "$before"
cluster_callers after --rate 100 --count 200
check "all requests are answered" at_least "$(sum_of after s200)" 198
check "records agree" cluster_check
finish_test
