#!/usr/bin/env bash
# Servers leave on SIGTERM: their keys are handed over, they get no request shortly before their end, and no request is
# lost.
. "$(dirname "$0")/../../scripts/cluster.sh"
standard_cluster 3
(cluster_callers leaving --rate 100 --count 600) &
callers=$!
sleep 1
kill -TERM "${SERVER_PIDS[m1]}" "${SERVER_PIDS[h1]}"
wait "$callers"
check "all requests are answered" at_least "$(sum_of leaving s200)" 598
wait "${SERVER_PIDS[m1]}"
check "the server gets no request in its last half second" idle_before_end "m1"
check "its keys are released" [ "$(grep -c '"release"' "$WORK/server-m1.json")" -ge 1 ]
check "records agree" cluster_check
finish_test
