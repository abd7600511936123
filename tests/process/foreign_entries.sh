#!/usr/bin/env bash
# Other writers leave entries among the servers': fields missing, of another type, a state that does not exist, no name, a
# service that nobody knows. They name no server; the others hold, also while the list is read page by page and by its changes.
STORE_PAGE=3
. "$(dirname "$0")/../../scripts/cluster.sh"
foreign() { # NAME SPEC
    curl -sf -X POST "http://$STORE/api/objects/servers" -d "{\"metadata\":{\"name\":\"$1\"},\"spec\":$2}" >/dev/null
}
foreign_all() { # PREFIX
    foreign "$1-empty" '{}'
    foreign "$1-text" '"a text"'
    foreign "$1-types" '{"service":7,"address":"10.0.0.1:80","zone":"z1","version":"v1","capacity":2,"state":"ready","cold_ms":0,"sequence":1}'
    foreign "$1-state" '{"service":"hires","address":"10.0.0.1:80","zone":"z1","version":"v1","capacity":2,"state":"resting","cold_ms":0,"sequence":1}'
    foreign "$1-born" '{"service":"hires","address":"10.0.0.1:80","zone":"z1","version":"v1","capacity":2,"state":"ready","cold_ms":0,"sequence":1,"born":"today"}'
    foreign "$1-service" '{"service":"nobody","address":"10.0.0.1:80","zone":"z1","version":"v1","capacity":2,"state":"ready","cold_ms":0,"sequence":1}'
}
cluster_start 3
foreign_all a
standard_servers
cluster_configure "$(configuration 1)"
cluster_wait_ready
cluster_wait_served
hires() { curl -sf "http://$NET.$1:8081/status" | jq -r '.servers[] | .service' | grep -c '^hires$'; }
three() { [ "$(hires 1)" = 3 ] && [ "$(hires 2)" = 3 ] && [ "$(hires 3)" = 3 ]; }
until_true three
check "the servers are listed, and no others" three
foreign_all z
cluster_server h4 --service hires --zone z1 --work-ms 15
four() { [ "$(hires 1)" = 4 ] && [ "$(hires 2)" = 4 ] && [ "$(hires 3)" = 4 ]; }
until_true four
check "one that comes beside new ones is seen" four
cluster_callers after --rate 100 --count 200
check "all are answered" at_least "$(sum_of after s200)" 198
logged() { cat "$WORK"/node*.log | grep 'malformed store body' | grep -c "$1"; }
check "an entry is logged at most once a node" at_most "$(logged '"a-empty"')" 3
check "and at least once" at_least "$(logged '"a-empty"')" 1
counted() { curl -sf "http://$NET.$(leader):8081/metrics" | awk '/^cedarwinch_store_bodies_malformed_total/ {print $2}'; }
check "each reading of it is counted" at_least "$(counted)" 5
check "records agree" cluster_check
finish_test
