#!/usr/bin/env bash
# A zone is taken out of service and put back: in between its servers get nothing, its keys are served elsewhere, and
# nothing is lost.
. "$(dirname "$0")/../../scripts/cluster.sh"
NODE_SETTINGS="zone_out_within_ms: 3000"

runs_of_zone() { # runs at the servers of zone z1 so far
    cat "$WORK"/server-m1.json "$WORK"/server-m4.json "$WORK"/server-h1.json | grep -c '"event":"run"'
}
has_run() { [ "$(runs_of_zone)" -ge "$1" ]; }
out_metric() { # how many zones are out of service, as each node says
    local n
    for n in "${!NODE_PIDS[@]}"; do
        curl -sf "http://$NET.$n:8081/metrics" | grep -q "^cedarwinch_zones_out_of_service $1" || return 1
    done
}
owns_nothing() { # the leader says that no range is owned by a server of the zone
    local ids
    ids=$(cat "$WORK"/server-m1.json "$WORK"/server-m4.json | jq -rs '[.[].server]|unique|.[]')
    ! curl -sf "http://$NET.$(leader):8081/status" | jq -r '.assignments.maps[].server' | grep -qFx "$ids"
}

usual_cluster 3
(cluster_callers out --rate 60 --count 900) &
callers=$!
until_true has_run 30
curl -sf -X POST "http://$STORE/api/objects/evacuations" -d '{"metadata":{"name":"z1"},"spec":{}}' >/dev/null
until_true out_metric 1
until_true owns_nothing
check "the status says which zone" [ "$(curl -sf "http://$NET.1:8081/status" | jq -r '.zones_out[]')" = z1 ]
sleep 1 # what had been sent before has run by then
before=$(runs_of_zone)
sleep 2
check "the zone's servers get nothing while it is out" [ "$(runs_of_zone)" = "$before" ]
curl -sf -X DELETE "http://$STORE/api/objects/evacuations/z1" >/dev/null
until_true out_metric 0
until_true has_run $((before + 1))
check "the zone's servers get requests again" true
wait "$callers"
check "all answered" at_least "$(sum_of out s200)" 890
check "the log says so" grep -q '"zone out of service"' "$WORK/node1.log"
check "records agree" cluster_check
finish_test
