#!/usr/bin/env bash
# Guards against 504 where a refusal is due: all servers of a service stand still, a node takes its paths to them for lost,
# and passes its next requests to nodes that have no evidence of their own and send them to these servers.
. "$(dirname "$0")/../../scripts/cluster.sh"
standard_cluster 3
ask() { # ID DEADLINE_MS
    curl -s -o /dev/null -w '%{http_code}' "http://$NET.1:8080/hire/x" -X POST -H 'Host: maps.example' -H "X-Request-Id: $1" -H "X-Deadline-Ms: $2"
}
paths_lost() { [ "$(curl -sf "http://$NET.1:8081/metrics" | awk '$1 == "cedarwinch_server_paths_lost" {print $2}')" -ge 1 ]; }
for i in 1 2 3; do kill -STOP "${SERVER_PIDS[h$i]}"; done
for i in 1 2 3 4 5 6; do ask "held-$i" 30000 >/dev/null & done
until_true paths_lost
for i in 1 2 3 4 5 6 7 8 9 10; do ask "next-$i" 2000; echo; done >"$WORK/codes"
check "all later requests are refused ($(sort "$WORK/codes" | uniq -c | xargs))" [ "$(grep -c 503 "$WORK/codes")" = 10 ]
for i in 1 2 3; do kill -CONT "${SERVER_PIDS[h$i]}"; done
served() { [ "$(ask "again-$RANDOM$RANDOM" 2000)" = 200 ]; }
until_true served
check "requests are served again" served
finish_test
