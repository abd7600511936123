#!/usr/bin/env bash
# Nodes are stopped by SIGTERM and started again, one after the other, under load. No request is lost.
. "$(dirname "$0")/../../scripts/cluster.sh"
NODE_SETTINGS="stop_grace_ms: 5000"
standard_cluster 3
(cluster_callers rolling --rate 60 --count 1100) &
callers=$!
not_ready() { [ "$(curl -s -o /dev/null -w '%{http_code}' "http://$NET.$1:8081/readyz")" != 200 ]; }
for n in 1 2 3; do
    kill -TERM "${NODE_PIDS[$n]}"
    until_true not_ready "$n"
    check "node $n is not ready at once" not_ready "$n"
    wait "${NODE_PIDS[$n]}"
    check "node $n ends by itself, with 0" [ $? = 0 ]
    start_node "$n"
    until_true curl -sf "http://$NET.$n:8081/readyz"
done
wait "$callers"
# Callers of this test each use one node only: while it is down their connections are refused, which no router can prevent.
cut=$(jq -s '[.[]|select(.event=="end" and .status==0 and .fault!="connection refused" and .fault!="no connection in time")]|length' "$WORK/callers-rolling.json")
check "no connection was cut under a request" at_most "$cut" 0
check "records agree" cluster_check
finish_test
