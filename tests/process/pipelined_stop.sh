#!/usr/bin/env bash
# Planned stops of nodes in the middle of pipelined requests: each request gets its answer, or it was sent behind a request
# whose answer closed the connection, and then no server has run it.
. "$(dirname "$0")/../../scripts/cluster.sh"
NODE_SETTINGS="stop_grace_ms: 5000"
WORK_MS=120
maps="maps.example,/docks/,GET,2000,1" # three repeatable requests in a row that run concurrently, then one that may not be repeated
KINDS=(--kind "$maps" --kind "$maps" --kind "$maps" --kind "maps.example,/hire/,POST,2000,0")
standard_cluster 3
(cluster_callers piped --pipeline 6 --rate 90 --count 1500) &
callers=$!
for n in 1 2 3; do
    sleep 1 # so that requests are in flight at the stop
    kill -TERM "${NODE_PIDS[$n]}"
    wait "${NODE_PIDS[$n]}"
    check "node $n exits by itself with status 0" [ $? = 0 ]
    start_node "$n"
    until_true curl -sf "http://$NET.$n:8081/readyz"
done
wait "$callers"
check "each answer belongs to its request" [ $? = 0 ]
ended() { jq -rs "[.[]|select(.event==\"end\" and .fault==\"$1\").id]|$2" "$WORK/callers-piped.json"; }
check "some requests were behind a closing answer" at_least "$(ended 'behind a closing answer' length)" 1
check "no connection was closed while a request on it had no answer" at_most "$(ended cut length)" 0
check "most requests were answered" at_least "$(sum_of piped s200)" 1000
ended 'behind a closing answer' '.[]' >"$WORK/unread"
run_unread() { cat "$WORK"/server-*.json | jq -r 'select(.event=="run").id' | grep -cxFf "$WORK/unread"; }
check "none of the requests behind a closing answer has run" at_most "$(run_unread)" 0
check "records agree" cluster_check
finish_test
