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

zone() { "$BUILD/cedarwinch" zone "$@" --store "$STORE"; }
refused() { ! "$@" >/dev/null 2>&1; }
plan_id() { awk '/^plan/ {print $2}' "$1"; }
zones_out() { curl -sf "http://$STORE/api/objects/evacuations" | jq -r '.items[].metadata.name' | xargs; }

standard_cluster 3
(cluster_callers out --rate 60 --count 900) &
callers=$!
until_true has_run 30
check "a zone that there is not is a finding" refused zone out z9
check "a zone in service cannot be put back" refused zone in z1
zone out z1 >"$WORK/plan"
check "the plan tells servers and keys" grep -Eq '^- service maps: 2 of 6 servers, [0-9.]+ % of its keys; 4 left in z2, z3$' "$WORK/plan"
check "and each service" grep -q '^- service hires: 1 of 3 servers; 2 left in z2, z3$' "$WORK/plan"
check "a plan changes nothing" [ "$(zones_out)" = "" ]
check "another plan's id is refused" refused zone out z1 --confirm 0123456789abcdef
check "and changes nothing" [ "$(zones_out)" = "" ]
check "the plan is confirmed" zone out z1 --confirm "$(plan_id "$WORK/plan")"
until_true out_metric 1
until_true owns_nothing
check "the status says which zone" [ "$(curl -sf "http://$NET.1:8081/status" | jq -r '.zones_out[]')" = z1 ]
sleep 1 # what had been sent before has run by then
before=$(runs_of_zone)
sleep 2
check "the zone's servers get nothing while it is out" [ "$(runs_of_zone)" = "$before" ]
zone in z1 >"$WORK/plan"
check "the way back is told" grep -q '^+ service maps: 2 servers' "$WORK/plan"
check "it is confirmed" zone in z1 --confirm "$(plan_id "$WORK/plan")"
check "and done" [ "$(zones_out)" = "" ]
until_true out_metric 0
until_true has_run $((before + 1))
check "the zone's servers get requests again" true
wait "$callers"
check "all answered" at_least "$(sum_of out s200)" 890
zone out z1 >"$WORK/plan"
curl -sf -X POST "http://$STORE/control?lose=1000" >/dev/null # of all writes, until it is set back
zone out z1 --confirm "$(plan_id "$WORK/plan")" >"$WORK/lost"
curl -sf -X POST "http://$STORE/control?lose=0" >/dev/null
check "a lost answer is settled by reading" grep -q 'zone z1 is out of service (its answer was lost; read back)' "$WORK/lost"
zone out z2 >"$WORK/second"
check "what is left is told without the zone that is out" grep -q '^- service hires: 1 of 2 servers; 1 left in z3$' "$WORK/second"
curl -sf -X POST "http://$STORE/api/objects/evacuations" -d '{"metadata":{"name":"z3"},"spec":{}}' >/dev/null
check "a plan from before another zone went out is stale" refused zone out z2 --confirm "$(plan_id "$WORK/second")"
check "the last zone of a service is a finding" grep -q "service 'hires' has no server in any other zone" <(zone out z2)
curl -sf -X DELETE "http://$STORE/api/objects/evacuations/z3" >/dev/null
check "the log says so" grep -q '"zone out of service"' "$WORK/node1.log"
check "records agree" cluster_check
finish_test
