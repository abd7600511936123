#!/usr/bin/env bash
# Guards against a refusal of a request that has run: servers turn half of all requests away, and send that answer a second time in the
# place of the next one, with the id of the request or without one. The requests may not be repeated; one service is divided by key.
. "$(dirname "$0")/../../scripts/cluster.sh"
configuration() { # VERSION
    cat <<JSON
{"version":$1,"routes":[
 {"name":"locks","host":"maps.example","path-prefix":"/docks/","route-type":"unsafe","timeout_ms":2000,"aim_ms":500,"priority":2,"max-attempts":2,"service":"maps"},
 {"name":"hires","host":"maps.example","path-prefix":"/hire/","route-type":"unsafe","timeout_ms":2000,"aim_ms":500,"priority":0,"max-attempts":3,"service":"hires"}],
 "services":[{"name":"maps","max-connections":100,"use-sharding":true,"warm-s":1},{"name":"hires","max-connections":100}],
 "limits":{"max-header-bytes":16384,"max-body-bytes":1048576,"header_timeout_ms":3000,"idle_timeout_ms":15000}}
JSON
}
KINDS=(--kind "maps.example,/docks/,POST,2000,1" --kind "maps.example,/hire/,POST,2000,0")
cluster_start 3
cluster_server m1 --service maps --zone z1 --keyed --work-ms 15 --seed 1 --answer-faults second=0.6,unnamed=0.3,deny=0.5
cluster_server h1 --service hires --zone z1 --work-ms 15 --seed 2 --answer-faults second=0.6,unnamed=0.3,deny=0.5
cluster_configure "$(configuration 1)"
cluster_wait_ready
cluster_wait_served
cluster_callers load --rate 60 --count 600
faults_of() { cat "$WORK"/server-*.json | grep -c "\"fault\":\"$1\""; }
check "servers have turned requests away" at_least "$(faults_of deny)" 100
check "and have sent answers a second time" at_least "$(faults_of second)" 50
check "also without an id" at_least "$(faults_of unnamed)" 20
check "no request that was refused has run, and none has run twice" cluster_check
check "each 2xx is the whole answer to its request" [ "$(sum_of load wrong)" = 0 ]
check "requests are sent again and served" at_least "$(sum_of load s200)" 300
finish_test
