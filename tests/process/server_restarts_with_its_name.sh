#!/usr/bin/env bash
# Servers are killed and restart immediately with the same names and addresses. They must count as other owners, with
# higher fences, and all keys must be served again. The records of all incarnations are checked.
. "$(dirname "$0")/../../scripts/cluster.sh"
cluster_start 3
named() { # NUMBER
    cluster_server "m$1" --service maps --zone "z$((($1 - 1) % 3 + 1))" --keyed --work-ms 15 --id "i-named$1" --port "$((9500 + $1))"
}
for i in 1 2 3 4 5 6; do named "$i"; done
for i in 1 2 3; do cluster_server "h$i" --service hires --zone "z$i" --work-ms 15; done
cluster_configure "$(configuration 1)"
cluster_wait_ready
cluster_wait_served
listed() { # NAME: its ids in the list of node 1
    curl -sf "http://$NET.1:8081/status" | jq -r '.servers[] | .id' | grep "^$1@"
}
before=$(listed i-named2)
check "the start time is part of the server's id" [ -n "$before" ]
cluster_callers during --rate 60 --count 600 &
callers=$!
sleep 1
for i in 2 5; do
    kill -KILL "${SERVER_PIDS[m$i]}"
    wait "${SERVER_PIDS[m$i]}" # its port is free only then
    named "$i"
done
has_restarted() { local id; id=$(listed i-named2) && [ -n "$id" ] && [ "$id" != "$before" ]; }
until_true has_restarted
check "the restarted server has another id" has_restarted
wait "$callers"
until_true serves_all_keys 1
check "all keys are served after the restart" serves_all_keys 1
check "most requests were answered meanwhile" at_least "$(sum_of during s200)" 450
check "records agree" cluster_check
finish_test
