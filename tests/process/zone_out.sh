#!/usr/bin/env bash
# A zone is taken out of service and put back. In between its servers must get no requests, its keys must be served by
# other zones, and no request may be lost.
. "$(dirname "$0")/../../scripts/cluster.sh"
NODE_SETTINGS="zone_out_within_ms: 3000"

runs_of_zone() { # prints the number of requests that the servers of zone z1 have run so far
    cat "$WORK"/server-m1.json "$WORK"/server-m4.json "$WORK"/server-h1.json | grep -c '"event":"run"'
}
has_run() { [ "$(runs_of_zone)" -ge "$1" ]; }
out_metric() { # COUNT: every node's metric shows this number of zones out of service
    local n
    for n in "${!NODE_PIDS[@]}"; do
        curl -sf "http://$NET.$n:8081/metrics" | grep -q "^cedarwinch_zones_out_of_service $1" || return 1
    done
}
owns_nothing() { # the leader's status lists no range owned by a server of the zone
    local ids
    ids=$(cat "$WORK"/server-m1.json "$WORK"/server-m4.json | jq -rs '[.[].server]|unique|.[]')
    ! curl -sf "http://$NET.$(leader):8081/status" | jq -r '.assignments.maps[].server' | grep -qFx "$ids"
}

zone() { "$BUILD/cedarwinch" zone "$@" --store "$STORE"; }
refused() { ! "$@" >/dev/null 2>&1; }
plan_id() { awk '/^plan/ {print $2}' "$1"; }
zones_out() { curl -sf "http://$STORE/api/objects/evacuations" | jq -r '.items[].metadata.name' | xargs; }

standard_cluster 3
(cluster_callers out --rate 60 --count 900) &
callers=$!
until_true has_run 30
check "an unknown zone is refused" refused zone out z9
check "a zone in service cannot be put back" refused zone in z1
zone out z1 >"$WORK/plan"
check "the plan lists servers and keys of a keyed service" grep -Eq '^- service maps: 2 of 6 servers, [0-9.]+ % of its keys; 4 left in z2, z3$' "$WORK/plan"
check "the plan lists every service" grep -q '^- service hires: 1 of 3 servers; 2 left in z2, z3$' "$WORK/plan"
check "a plan changes nothing" [ "$(zones_out)" = "" ]
check "the id of another plan is refused" refused zone out z1 --confirm 0123456789abcdef
check "a refused id changes nothing" [ "$(zones_out)" = "" ]
check "the plan is confirmed" zone out z1 --confirm "$(plan_id "$WORK/plan")"
until_true out_metric 1
until_true owns_nothing
check "the status names the zone" [ "$(curl -sf "http://$NET.1:8081/status" | jq -r '.zones_out[]')" = z1 ]
sleep 1 # requests sent before have run after this time
before=$(runs_of_zone)
sleep 2
check "the zone's servers get no requests while it is out" [ "$(runs_of_zone)" = "$before" ]
zone in z1 >"$WORK/plan"
check "the plan for putting the zone back lists its servers" grep -q '^+ service maps: 2 servers' "$WORK/plan"
check "putting the zone back is confirmed" zone in z1 --confirm "$(plan_id "$WORK/plan")"
check "no zone is out of service any more" [ "$(zones_out)" = "" ]
until_true out_metric 0
until_true has_run $((before + 1))
check "the zone's servers get requests again" true
wait "$callers"
check "nearly all requests were answered" at_least "$(sum_of out s200)" 890
zone out z1 >"$WORK/plan"
curl -sf -X POST "http://$STORE/control?lose=1000" >/dev/null # the answers of all writes are lost until this is reset
zone out z1 --confirm "$(plan_id "$WORK/plan")" >"$WORK/lost"
curl -sf -X POST "http://$STORE/control?lose=0" >/dev/null
check "after a lost answer the outcome is read" grep -q 'zone z1 is out of service (its answer was lost; read back)' "$WORK/lost"
zone out z2 >"$WORK/second"
check "the plan does not count a zone that is out already" grep -q '^- service hires: 1 of 2 servers; 1 left in z3$' "$WORK/second"
curl -sf -X POST "http://$STORE/api/objects/evacuations" -d '{"metadata":{"name":"z3"},"spec":{}}' >/dev/null
check "a plan made before another zone went out is stale" refused zone out z2 --confirm "$(plan_id "$WORK/second")"
check "taking out the last zone of a service is reported" grep -q "service 'hires' has no server in any other zone" <(zone out z2)
curl -sf -X DELETE "http://$STORE/api/objects/evacuations/z3" >/dev/null
check "the event is logged" grep -q '"zone out of service"' "$WORK/node1.log"
check "records agree" cluster_check
finish_test
