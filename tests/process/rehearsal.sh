#!/usr/bin/env bash
# Checks what docs/OPERATIONS.md describes: explain finds refused and failed requests by their ids, status shows the
# owners of keys, and the logs show an outage of the store and a reload.
. "$(dirname "$0")/../../scripts/cluster.sh"
HIRE_MS=6000 # a request of this service keeps its slot for so long
cluster_start 3
for i in 1 2 3 4 5 6; do cluster_server "m$i" --service maps --zone "z$(((i - 1) % 3 + 1))" --keyed --work-ms 15; done
for i in 1 2 3; do cluster_server "h$i" --service hires --zone "z$i" --work-ms $HIRE_MS; done
cluster_configure "$(configuration 1)"
cluster_wait_ready
cluster_wait_served
ask() { curl -s -o /dev/null -w '%{http_code}' "http://$NET.1:8080$1" -H 'Host: maps.example' -H "X-Request-Id: $2" -H 'X-Shard-Key: 5' -H "X-Deadline-Ms: $3" "${@:4}"; }
check "a request without a route gets 404" [ "$(ask /nowhere lost-1 500)" = 404 ]
for i in 1 2 3 4 5 6; do kill -STOP "${SERVER_PIDS[m$i]}"; done
check "a request without an answer within its time limit gets 504" [ "$(ask /docks/x late-1 400)" = 504 ]
for i in 1 2 3 4 5 6; do kill -CONT "${SERVER_PIDS[m$i]}"; done
metric() { curl -sf "http://$NET.1:8081/metrics" | awk -v name="$1" '$1 == name {print $2}'; }
metric_is() { [ "$(metric "$1")" = "$2" ]; }
cluster_configure "$(configuration 2 | jq '.routes[1].timeout_ms = 30000')"
until_true metric_is cedarwinch_configuration_version 2
sent=$(metric cedarwinch_sent_total)
for i in 1 2 3 4 5 6; do ask /hire/x "hold-$i" 30000 -X POST >/dev/null & done
until_true metric_is cedarwinch_sent_total $((sent + 6)) # all slots: three servers with two each
code=$(ask /hire/x refused-1 1000 -X POST)
check "a request that gets no slot in time is refused ($code)" [ "$code" = 503 ]
sleep 0.5
explained() { "$BUILD/cedarwinch" explain "$1" "$WORK"/node*.log | tee "$WORK/explained" | grep -q "$2"; }
check "explain shows the refusal" explained refused-1 'refused.*no slot in time'
check "explain shows the state of the node" grep -q 'this node: .*configuration accepted' "$WORK/explained"
check "explain shows the request that exceeded its time limit" explained late-1 'failed.*time limit'
check "explain shows the last change of the key's range" grep -q "the key's range: .*assignment" "$WORK/explained"
check "explain reports that no line names an unknown request" [ "$("$BUILD/cedarwinch" explain no-such "$WORK"/node1.log | grep -c 'no line names')" = 1 ]
"$BUILD/cedarwinch" status "$NET.1:8081" "$NET.2:8081" "$NET.3:8081" >"$WORK/status"
check "status shows each node" [ "$(grep -c '^n[123]' "$WORK/status")" = 3 ]
check "status shows the ranges of owners" at_least "$(grep -c 'keys .* fence' "$WORK/status")" 6
curl -sf -X POST "http://$STORE/control?down=2500&how=busy" >/dev/null
logged() { grep -q "$1" "$WORK"/node*.log; }
until_true logged '"store lost"'
until_true logged '"store back"'
check "the outage of the store is logged" logged '"store back"'
kill -HUP "${NODE_PIDS[1]}"
until_true logged '"reload"'
check "a reload is logged" logged '"reload".*taken'
finish_test
