#!/usr/bin/env bash
# Other writers leave bytes in the store that break the structure of its answers: among the servers, beside the configuration, among
# the zones, in the leader's lock and in the record of keys. Nodes that run notice servers that leave and start, and new
# configurations; nodes that start serve; a lock and a record are replaced (review/2 with other bytes: DRAIN, RECOVER).
STORE_PAGE=3
. "$(dirname "$0")/../../scripts/cluster.sh"
QUOTES='raw-hex(2222222222222222222222)'      # eleven quotation marks
BACKSLASHES='raw-hex(5c5c5c5c5c5c5c5c5c5c5c)' # eleven backslashes
NO_TEXT='raw-hex(fffefd)'
write() { # KIND NAME SPEC: creates or replaces an object
    curl -sf -X POST "http://$STORE/api/objects/$1" -d "{\"metadata\":{\"name\":\"$2\"},\"spec\":$3}" >/dev/null ||
        curl -sf -X PUT "http://$STORE/api/objects/$1/$2" -d "{\"metadata\":{\"name\":\"$2\"},\"spec\":$3}" >/dev/null
}
leave_bytes() { # KIND PREFIX
    write "$1" "$2-quotes" "{\"note\":\"$QUOTES\"}"
    write "$1" "$2-backslashes" "{\"note\":\"$BACKSLASHES\"}"
    write "$1" "$2-no-text" "{\"note\":\"$NO_TEXT\"}"
}
listed() { curl -sf "http://$NET.$1:8081/status" | jq -r '.servers[] | select(.draining == false) | .service' | grep -c '^hires$'; }
all_list() { local n; for n in 1 2 3; do [ "$(listed "$n")" = "$1" ] || return 1; done; }
in_force() { curl -sf "http://$NET.$1:8081/status" | jq .configuration; }
all_have() { local n; for n in 1 2 3; do [ "$(in_force "$n")" = "$1" ] || return 1; done; }
cluster_start 3
standard_servers
cluster_configure "$(configuration 1)"
cluster_wait_ready
cluster_wait_served
until_true all_list 3
for kind in servers config evacuations; do leave_bytes "$kind" i; done
cluster_server h4 --service hires --zone z1 --work-ms 15
until_true all_list 4
check "a server that starts beside such entries is listed by all nodes" all_list 4
(cluster_callers leave --rate 100 --count 300) &
callers=$!
kill -TERM "${SERVER_PIDS[h4]}"
until_true server_ended h4
check "no request in the leaving server's last half second" idle_before_end h4
wait "$callers"
check "all requests are answered beside it" at_least "$(sum_of leave s200)" 298
cluster_configure "$(configuration 2)"
until_true all_have 2
check "a new configuration comes into force at all nodes" all_have 2
curl -sf -X POST "http://$STORE/control?forget=1" >/dev/null
cluster_server h5 --service hires --zone z1 --work-ms 15
until_true all_list 4
check "the list is read whole beside such entries" all_list 4
for n in 1 2 3; do kill -KILL "${NODE_PIDS[$n]}"; done
for n in 1 2 3; do start_node "$n"; done
cluster_wait_ready
cluster_wait_served
check "nodes that start list the servers" all_list 4
cluster_callers restarted --rate 100 --count 100
check "and serve all requests" at_least "$(sum_of restarted s200)" 99
write cedarwinch-assignments maps "{\"note\":\"$QUOTES\"}"
write cedarwinch-leaders leader "{\"note\":\"$BACKSLASHES\"}"
write cedarwinch-assignments maps "{\"note\":\"$BACKSLASHES\"}"
for n in 1 2 3; do kill -KILL "${NODE_PIDS[$n]}"; done
for n in 1 2 3; do start_node "$n"; done
cluster_wait_ready
cluster_wait_served
cluster_callers replaced --rate 100 --count 100
check "a lock and a record of such bytes are replaced, and all requests are served" at_least "$(sum_of replaced s200)" 99
check "the records of servers, callers and nodes agree" cluster_check
finish_test
