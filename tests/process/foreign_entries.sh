#!/usr/bin/env bash
# Other writers leave malformed entries among the servers' entries: missing fields, fields of another type, an unknown
# state, no name, a service that no configuration names. The nodes must skip them and list all other servers, also while
# the list is read page by page and by its changes.
STORE_PAGE=3
. "$(dirname "$0")/../../scripts/cluster.sh"
create_entry() { # NAME SPEC
    curl -sf -X POST "http://$STORE/api/objects/servers" -d "{\"metadata\":{\"name\":\"$1\"},\"spec\":$2}" >/dev/null
}
create_foreign_entries() { # PREFIX
    create_entry "$1-empty" '{}'
    create_entry "$1-text" '"a text"'
    create_entry "$1-types" '{"service":7,"address":"10.0.0.1:80","zone":"z1","version":"v1","capacity":2,"state":"ready","cold_ms":0,"sequence":1}'
    create_entry "$1-state" '{"service":"hires","address":"10.0.0.1:80","zone":"z1","version":"v1","capacity":2,"state":"resting","cold_ms":0,"sequence":1}'
    create_entry "$1-born" '{"service":"hires","address":"10.0.0.1:80","zone":"z1","version":"v1","capacity":2,"state":"ready","cold_ms":0,"sequence":1,"born":"today"}'
    create_entry "$1-service" '{"service":"nobody","address":"10.0.0.1:80","zone":"z1","version":"v1","capacity":2,"state":"ready","cold_ms":0,"sequence":1}'
}
cluster_start 3
create_foreign_entries a
standard_servers
cluster_configure "$(configuration 1)"
cluster_wait_ready
cluster_wait_served
count_hires() { curl -sf "http://$NET.$1:8081/status" | jq -r '.servers[] | .service' | grep -c '^hires$'; }
all_list_three() { [ "$(count_hires 1)" = 3 ] && [ "$(count_hires 2)" = 3 ] && [ "$(count_hires 3)" = 3 ]; }
until_true all_list_three
check "all nodes list the servers, and no foreign entries" all_list_three
create_foreign_entries z
cluster_server h4 --service hires --zone z1 --work-ms 15
all_list_four() { [ "$(count_hires 1)" = 4 ] && [ "$(count_hires 2)" = 4 ] && [ "$(count_hires 3)" = 4 ]; }
until_true all_list_four
check "a server that starts beside new foreign entries is listed" all_list_four
cluster_callers after --rate 100 --count 200
check "all requests are answered" at_least "$(sum_of after s200)" 198
logged() { cat "$WORK"/node*.log | grep 'malformed store body' | grep -c "$1"; }
check "each node logs a malformed entry at most once" at_most "$(logged '"a-empty"')" 3
check "a malformed entry is logged at least once" at_least "$(logged '"a-empty"')" 1
counted() { curl -sf "http://$NET.$(leader):8081/metrics" | awk '/^cedarwinch_store_bodies_malformed_total/ {print $2}'; }
check "each reading of a malformed entry is counted" at_least "$(counted)" 5
check "the records of servers, callers and nodes agree" cluster_check
finish_test
