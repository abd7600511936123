#!/usr/bin/env bash
# What docs/OPERATIONS.md tells: a refused and a failed request are found by id, status shows owners, alarms show.
. "$(dirname "$0")/../../scripts/cluster.sh"
standard_cluster 3
ask() { curl -s -o /dev/null -w '%{http_code}' "http://$NET.1:8080$1" -H 'Host: maps.example' -H "X-Request-Id: $2" -H 'X-Shard-Key: 5' -H "X-Deadline-Ms: $3" "${@:4}"; }
check "no route" [ "$(ask /nowhere lost-1 500)" = 404 ]
for i in 1 2 3 4 5 6; do kill -STOP "${SERVER_PIDS[m$i]}"; done
check "late" [ "$(ask /docks/x late-1 400)" = 504 ]
for i in 1 2 3 4 5 6; do kill -CONT "${SERVER_PIDS[m$i]}"; done
metric() { curl -sf "http://$NET.1:8081/metrics" | awk -v name="$1" '$1 == name {print $2}'; }
metric_is() { [ "$(metric "$1")" = "$2" ]; }
cluster_configure "$(configuration 2 | jq '.routes[1].timeout_ms = 30000')" # what holds a slot holds it until its server goes on
until_true metric_is cedarwinch_configuration_version 2
for i in 1 2 3; do kill -STOP "${SERVER_PIDS[h$i]}"; done
sent=$(metric cedarwinch_sent_total)
for i in 1 2 3 4 5 6; do ask /hire/x "hold-$i" 30000 -X POST >/dev/null & done
until_true metric_is cedarwinch_sent_total $((sent + 6)) # three servers of two slots
code=$(ask /hire/x refused-1 1000 -X POST)
check "refused ($code)" [ "$code" = 503 ]
for i in 1 2 3; do kill -CONT "${SERVER_PIDS[h$i]}"; done
sleep 0.5
explained() { "$BUILD/cedarwinch" explain "$1" "$WORK"/node*.log | tee "$WORK/story" | grep -q "$2"; }
check "explain tells the refusal" explained refused-1 'refused.*no slot in time'
check "with what the node believed" grep -q 'this node: .*configuration accepted' "$WORK/story"
check "explain tells the late one" explained late-1 'failed.*time limit'
check "with the key's range" grep -q "the key's range: .*assignment" "$WORK/story"
check "explain finds nothing where there is nothing" [ "$("$BUILD/cedarwinch" explain no-such "$WORK"/node1.log | grep -c 'no line names')" = 1 ]
"$BUILD/cedarwinch" status "$NET.1:8081" "$NET.2:8081" "$NET.3:8081" >"$WORK/status"
check "status shows each node" [ "$(grep -c '^n[123]' "$WORK/status")" = 3 ]
check "and the owners' ranges" at_least "$(grep -c 'keys .* fence' "$WORK/status")" 6
curl -sf -X POST "http://$STORE/control?down=2500&how=busy" >/dev/null
told() { grep -q "$1" "$WORK"/node*.log; }
until_true told '"store lost"'
until_true told '"store back"'
check "the store's outage is told" told '"store back"'
kill -HUP "${NODE_PIDS[1]}"
until_true told '"reload"'
check "a reload is told" told '"reload".*taken'
finish_test
