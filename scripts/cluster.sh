#!/usr/bin/env bash
# Starts nodes, servers and a store on loopback addresses of their own, for the demo, the benchmark and process tests.
# To be sourced. Everything it starts is ended, by its process id, when the shell ends.
#
#   cluster_start NODES            the store and that many nodes, in zones z1, z2, z3 (CLUSTER_ZONES: how many zones)
#   cluster_server NAME ARGS...    one server (cw-server's arguments); its id in SERVER_PIDS[NAME]
#   cluster_configure FILE         writes config/main
#   cluster_wait_ready             until each node says it is ready
#   cluster_callers NAME ARGS...   callers; records go to $WORK/callers-NAME.json
#   cluster_check                  checks all records; its verdict on standard output
set -u
BUILD=${BUILD:-build}
WORK=$(mktemp -d)
NET="127.$((RANDOM % 200 + 20)).$((RANDOM % 250 + 1))"
STORE=""
declare -A SERVER_PIDS=() NODE_PIDS=()
PIDS=()

cluster_end() {
    local pid
    disown -a
    for pid in "${PIDS[@]}"; do kill -KILL "$pid" 2>/dev/null; done
    [ "${KEEP:-}" = 1 ] && echo "records kept in $WORK" || rm -rf "$WORK"
}
trap cluster_end EXIT

# Waits until a command succeeds; the runner's time limit ends a wait for what never comes.
until_true() { until "$@" >/dev/null 2>&1; do sleep 0.05; done; }

# Each node has an endpoint of its own to the store, beside the first one, where STORE_ENDPOINTS gives the number of all endpoints.
store_of() { # NODE
    local port
    port=$(awk -v n="${STORE_ENDPOINTS:+$1}" '{print $(n == "" ? 2 : n + 2)}' "$WORK/store.out")
    echo "$NET.250:$port"
}

start_node() {
    local n=$1 zone="z$((($1 - 1) % ${CLUSTER_ZONES:-3} + 1))"
    cat >"$WORK/node$n.yaml" <<YAML
node: n$n
zone: $zone
address: $NET.$n
callers: $NET.$n:8080
readiness: $NET.$n:8081
peer_port: 7000
seeds: ["$NET.1:7000", "$NET.2:7000"]
store: $(store_of "$n")
retry_extra: 40
${NODE_SETTINGS:-}
YAML
    "$BUILD/cedarwinchd" --settings "$WORK/node$n.yaml" >>"$WORK/node$n.log" 2>>"$WORK/node$n.err" &
    NODE_PIDS[$n]=$!
    PIDS+=("$!")
}

cluster_start() {
    local n
    "$BUILD/cw-store" --address "$NET.250" ${STORE_PAGE:+--page "$STORE_PAGE"} ${STORE_ENDPOINTS:+--endpoints "$STORE_ENDPOINTS"} >"$WORK/store.out" &
    PIDS+=("$!")
    until_true grep -q port "$WORK/store.out"
    STORE="$NET.250:$(awk '{print $2}' "$WORK/store.out")" # the first endpoint is also the operator's and the servers'
    NODES=""
    for n in $(seq 1 "$1"); do
        start_node "$n"
        NODES="$NODES${NODES:+,}$NET.$n:8080"
    done
}

cluster_server() {
    local name=$1
    shift
    "$BUILD/cw-server" --address "$NET.100" --store "$STORE" "$@" >>"$WORK/server-$name.json" &
    SERVER_PIDS[$name]=$!
    PIDS+=("$!")
}

# One node's whole configuration, as the platform stores it.
cluster_configure() {
    curl -sf -X POST "http://$STORE/api/objects/config" -d "{\"metadata\":{\"name\":\"main\"},\"spec\":$1}" >/dev/null ||
        curl -sf -X PUT "http://$STORE/api/objects/config/main" -d "{\"metadata\":{\"name\":\"main\"},\"spec\":$1}" >/dev/null
}

configuration() { # VERSION: three services, as in the demo
    cat <<JSON
{"version":$1,"routes":[
 {"name":"maps","host":"maps.example","path-prefix":"/docks/","route-type":"safe","timeout_ms":2000,"aim_ms":500,"priority":2,"max-attempts":3,"service":"maps"},
 {"name":"hires","host":"maps.example","path-prefix":"/hire/","route-type":"unsafe","timeout_ms":2000,"aim_ms":500,"priority":0,"max-attempts":2,"service":"hires"}],
 "services":[{"name":"maps","max-connections":100,"use-sharding":true,"warm-s":1},{"name":"hires","max-connections":100}],
 "limits":{"max-header-bytes":16384,"max-body-bytes":1048576,"header_timeout_ms":3000,"idle_timeout_ms":15000}}
JSON
}

cluster_wait_ready() {
    local n
    for n in "${!NODE_PIDS[@]}"; do
        until_true curl -sf "http://$NET.$n:8081/readyz"
    done
}

# Until the leader has granted all keys: a request for any key is answered. CALLER_KEY: where callers are known by keys.
cluster_wait_served() {
    local key
    for key in 0 10000 20000 30000 40000 50000 65535; do
        until_true curl -sf "http://$NET.1:8080/docks/x" -H 'Host: maps.example' -H "X-Shard-Key: $key" \
            -H "X-Request-Id: wait-$key-$RANDOM$RANDOM" -H 'X-Deadline-Ms: 1000' ${CALLER_KEY:+-H "Authorization: Bearer $CALLER_KEY"}
    done
}

KINDS=(--kind "maps.example,/docks/,GET,2000,1" --kind "maps.example,/hire/,POST,2000,0")

cluster_callers() {
    local name=$1
    shift
    "$BUILD/cw-callers" --nodes "$NODES" --name "$name" "${KINDS[@]}" "$@" >"$WORK/callers-$name.json"
}

leader() { # number of the node that leads, by its metrics
    local n
    for n in "${!NODE_PIDS[@]}"; do
        curl -sf "http://$NET.$n:8081/metrics" 2>/dev/null | grep -q '^cedarwinch_leading 1' && echo "$n" && return 0
    done
    return 1
}

sum_of() { tail -1 "$WORK/callers-$1.json" | jq -r "(.$2 // 0)"; }

cluster_check() { "$BUILD/cw-verdict" "$WORK"/server-*.json "$WORK"/callers-*.json; }

# ---- tests: each check counts, the last line is what the runner reads ----
CHECKS=0 FAILURES=0
check() { # TEXT COMMAND...
    local text=$1
    shift
    CHECKS=$((CHECKS + 1))
    if "$@"; then echo "ok   $text"; else
        echo "FAIL $text"
        FAILURES=$((FAILURES + 1))
    fi
}
at_least() { [ "$1" -ge "$2" ] || { echo "     $1 is below $2"; return 1; }; }
at_most() { [ "$1" -le "$2" ] || { echo "     $1 is above $2"; return 1; }; }
finish_test() {
    [ "$FAILURES" = 0 ] || tail -n 3 "$WORK"/node*.err
    echo "$((CHECKS == 0 ? 0 : 100 * (CHECKS - FAILURES) / CHECKS))%: Checks: $CHECKS, Failures: $FAILURES, Errors: 0"
    [ "$FAILURES" = 0 ]
}

# What a server's record tells: that it has ended, and that its last half second brought no request.
server_ended() { grep -q '"stop"' "$WORK/server-$1.json"; }
rested_before_end() {
    local last_run stop
    last_run=$(jq -s '[.[]|select(.event=="run").ns]|max // 0' "$WORK/server-$1.json")
    stop=$(jq -s '[.[]|select(.event=="stop").ns]|max // 0' "$WORK/server-$1.json")
    [ "$last_run" -lt "$((stop - 500000000))" ]
}

# Three services' servers as the tests use them: six of maps (divided by key), three of hires.
usual_servers() {
    local i
    for i in 1 2 3 4 5 6; do cluster_server "m$i" --service maps --zone "z$(((i - 1) % 3 + 1))" --keyed --work-ms "${WORK_MS:-15}"; done
    for i in 1 2 3; do cluster_server "h$i" --service hires --zone "z$i" --work-ms 15 --hangs; done
}
usual_cluster() {
    cluster_start "${1:-3}"
    usual_servers
    cluster_configure "$(configuration 1)"
    cluster_wait_ready
    cluster_wait_served
}
