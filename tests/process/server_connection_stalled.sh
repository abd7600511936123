#!/usr/bin/env bash
# Open connections to servers stall without closing, while new connections work. Requests on the stalled connections end by
# their deadline; a request that may have run is not sent again unless it is repeatable. Later requests use new connections.
LINKED=1
. "$(dirname "$0")/../../scripts/cluster.sh"
stall() { # SERVER: stalls the nodes' open connections to this server
    local n
    for n in 1 2 3; do
        link stall "n$n" "$1"
        STALLED=$((STALLED + ${LINK_REPLY#ok }))
    done
}
late() { jq -s '[.[]|select(.event=="end" and .ms > 2500)]|length' "$WORK/callers-$1.json"; }
has_served() { [ "$(grep -c '"event":"run"' "$WORK/server-$1.json")" -ge "$2" ]; }

standard_cluster 3
STALLED=0
(cluster_callers during --rate 80 --count 960) &
callers=$!
until_true has_served m1 20
until_true has_served h1 20
stall m1
stall h1
check "there were open connections" at_least "$STALLED" 2
runs=$(grep -c '"event":"run"' "$WORK/server-h1.json")
until_true has_served h1 $((runs + 20))
check "the server gets requests on new connections" has_served h1 $((runs + 20))
wait "$callers"
check "each request ends by its deadline" at_most "$(late during)" 0
check "most requests are answered" at_least "$(sum_of during s200)" 800
until_true cluster_wait_served
cluster_callers after --rate 100 --count 200
check "all later requests are answered" at_least "$(sum_of after s200)" 198
check "records agree" cluster_check
finish_test
