#!/usr/bin/env bash
# A server leaves, and the store forgets its history before the nodes have read that change, while it refuses one node of
# three. The list is read by its changes, and this change is lost. Every node that the store answers must notice the leaving
# server all the same.
STORE_ENDPOINTS=4
STORE_PAGE=2
. "$(dirname "$0")/../../scripts/cluster.sh"
standard_cluster 3
listed() { curl -sf "http://$NET.$1:8081/status" | jq -r '.servers[] | select(.draining == false) | .service' | grep -c hires; }
has() { local n; for n in 1 2 3; do [ "$(listed "$n")" = "$1" ] || return 1; done; }
until_true has 3
turn=0
for how in reset silent; do
    turn=$((turn + 1))
    until_true leader
    leading=$(leader)
    away=$((leading % 3 + 1))
    NODES=""
    for n in 1 2 3; do [ "$n" = "$away" ] || NODES="$NODES${NODES:+,}$NET.$n:8080"; done
    (cluster_callers "$how" --rate 100 --count 600) &
    callers=$!
    curl -sf -X POST "http://$STORE/control?endpoint=$((away + 1))&down=4000&how=$how" >/dev/null
    kill -TERM "${SERVER_PIDS[h$turn]}"
    curl -sf -X POST "http://$STORE/control?forget=1" >/dev/null
    wait "$callers"
    until_true server_ended "h$turn"
    check "$how: no request in the leaving server's last half second" idle_before_end "h$turn"
    check "$how: most requests are answered" at_least "$(sum_of "$how" s200)" 590
    cluster_server "h$((turn + 3))" --service hires --zone z1 --work-ms 15 --hangs
    until_true has 3
    check "$how: all nodes have the same servers again" has 3
done
check "records agree" cluster_check
finish_test
