#!/usr/bin/env bash
# A server leaves: its keys are handed over, it gets no request when its time is up, nothing is lost.
. "$(dirname "$0")/../../scripts/cluster.sh"
standard_cluster 3
(cluster_callers leaving --rate 100 --count 600) &
callers=$!
sleep 1
kill -TERM "${SERVER_PIDS[m1]}" "${SERVER_PIDS[h1]}"
wait "$callers"
check "all answered" at_least "$(sum_of leaving s200)" 598
wait "${SERVER_PIDS[m1]}"
check "no request in its last half second" idle_before_end "m1"
check "its keys were released" [ "$(grep -c '"release"' "$WORK/server-m1.json")" -ge 1 ]
check "records agree" cluster_check
finish_test
