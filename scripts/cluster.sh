#!/usr/bin/env bash
# Functions that start nodes, servers and a store on loopback addresses of their own, for the demo, the benchmark and process
# tests. This file is sourced. All processes that it has started are killed by their process ids when the shell ends.
#
#   cluster_start NODES            starts the store and so many nodes, in zones z1, z2, z3 (CLUSTER_ZONES: number of zones)
#   cluster_server NAME ARGS...    starts a server (cw-server) with these arguments; sets its process id in SERVER_PIDS[NAME]
#   cluster_kill_server NAME       kills a server, and records when its process had ended
#   cluster_server_again NAME      starts another server, with an id of its own, at the address of a server that has ended
#   cluster_configure JSON         writes the configuration to the store's object config/main
#   cluster_wait_ready             waits until each node is ready
#   cluster_callers NAME ARGS...   runs callers (cw-callers); their records go to $WORK/callers-NAME.json
#   cluster_check                  checks all records, and prints the findings (cw-verdict)
#
# With LINKED=1 a proxy (cw-link) forwards datagrams and connections between nodes, and connections from nodes and servers to the store and
# from nodes to servers:
#   link COMMAND...                sends a command to the proxy and waits until it is in force; sets LINK_REPLY to the answer
# The ends of links are n1, n2 ... (nodes), the names of servers, "store" and "callers". The group of a node or server is the
# output of group_of for its zone: the zone itself, unless a test defines another function.
set -u
BUILD=${BUILD:-build}
WORK=$(mktemp -d)
NET="127.$((RANDOM % 200 + 20)).$((RANDOM % 250 + 1))"
STORE=""
declare -A SERVER_PIDS=() NODE_PIDS=()
declare -A SERVER_ARGS=() SERVER_STORES=() # arguments and address of the store of each server, to start another at its address
PIDS=()

cluster_end() {
    local pid
    disown -a
    for pid in "${PIDS[@]}"; do kill -KILL "$pid" 2>/dev/null; done
    [ "${KEEP:-}" = 1 ] && echo "records kept in $WORK" || rm -rf "$WORK"
}
trap cluster_end EXIT

# Waits until a command succeeds, without a timeout of its own: if it never succeeds, the time limit of the test runner ends the
# wait.
until_true() { until "$@" >/dev/null 2>&1; do sleep 0.05; done; }

# Address of the store for a node. If STORE_ENDPOINTS (number of endpoints) is set, the first endpoint serves operators and
# servers, and each node has a further endpoint of its own; else all use the first one.
store_address_for() { # NODE
    local port
    port=$(awk -v n="${STORE_ENDPOINTS:+$1}" '{print $(n == "" ? 2 : n + 2)}' "$WORK/store.out")
    echo "$NET.250:$port"
}

# ---- the proxy ----
LINK_STORE_PORT=20000        # plus the number of a node: port at which that node reaches the store
LINK_SERVER_STORE_PORT=21000 # plus the number of a server: port at which that server reaches the store
LINK_SERVER_PORT=9000        # plus the number of a server: port of the server itself and of the proxy for it
declare -A LINKED_NODES=()
LINKED_SERVERS=0
LINK_REPLY=""

group_of() { echo "$1"; } # ZONE: the group of ends in that zone

link_start() {
    coproc LINK { exec "$BUILD/cw-link" --seed "${SEED:-1}" 2>>"$WORK/link.err"; }
    PIDS+=("$LINK_PID")
    link end store store
    link end callers callers
}
link() {
    echo "$*" >&"${LINK[1]}"
    read -r -u "${LINK[0]}" LINK_REPLY
    [ "${LINK_REPLY%% *}" = ok ] || { echo "link: $*: $LINK_REPLY" >&2; return 1; }
}
# Defines a node's links. Other nodes know it by NET.N as without a proxy; it binds another address for datagrams, and has a
# link of its own to the store.
link_node() { # NODE ZONE
    [ -z "${LINKED_NODES[$1]:-}" ] || return 0
    LINKED_NODES[$1]=1
    link end "n$1" "$(group_of "$2")"
    link node "n$1" "$NET.$1:7000" "$NET.$(($1 + 110)):7000"
    link link callers "n$1" "$NET.$1:7000" "$NET.$(($1 + 110)):7000"
    link link "n$1" store "$NET.251:$((LINK_STORE_PORT + $1))" "$(store_address_for "$1")"
}
# Defines a server's links. Nodes know the server by a port of the proxy.
link_server() { # NAME ARGS...
    local name=$1 zone=z1
    shift
    while [ $# -gt 0 ]; do
        [ "$1" != --zone ] || zone=$2
        shift
    done
    LINKED_SERVERS=$((LINKED_SERVERS + 1))
    link end "$name" "$(group_of "$zone")"
    link link "$name" store "$NET.251:$((LINK_SERVER_STORE_PORT + LINKED_SERVERS))" "$STORE"
    link link callers "$name" "$NET.101:$((LINK_SERVER_PORT + LINKED_SERVERS))" "$NET.100:$((LINK_SERVER_PORT + LINKED_SERVERS))"
}

# Starts a node. Its earlier process, if there is one, has been sent a signal; on a busy machine it holds its addresses for a while.
start_node() {
    local n=$1 zone="z$((($1 - 1) % ${CLUSTER_ZONES:-3} + 1))" store first_look=""
    [ -z "${NODE_PIDS[$n]:-}" ] || wait "${NODE_PIDS[$n]}" 2>/dev/null
    [ -e "$WORK/node$n.yaml" ] || first_look="first_look_within_ms: 20"
    store=$(store_address_for "$n")
    if [ -n "${LINKED:-}" ]; then
        link_node "$n" "$zone"
        store="$NET.251:$((LINK_STORE_PORT + n))"
    fi
    cat >"$WORK/node$n.yaml" <<YAML
node: n$n
zone: $zone
address: $NET.$n
callers: $NET.$n:8080
readiness: $NET.$n:8081
peer_port: 7000
seeds: ["$NET.1:7000", "$NET.2:7000"]
store: $store
${LINKED:+peer_bind: $NET.$((n + 110))}
retry_extra: 40
$first_look
${NODE_SETTINGS:-}
YAML
    "$BUILD/cedarwinchd" --settings "$WORK/node$n.yaml" >>"$WORK/node$n.log" 2>>"$WORK/node$n.err" &
    NODE_PIDS[$n]=$!
    PIDS+=("$!")
    [ -z "${LINKED:-}" ] || link process "n$n" "${NODE_PIDS[$n]}"
}

cluster_start() {
    local n
    "$BUILD/cw-store" --address "$NET.250" ${STORE_PAGE:+--page "$STORE_PAGE"} ${STORE_ENDPOINTS:+--endpoints "$STORE_ENDPOINTS"} >"$WORK/store.out" &
    PIDS+=("$!")
    until_true grep -q port "$WORK/store.out"
    STORE="$NET.250:$(awk '{print $2}' "$WORK/store.out")" # the first endpoint also serves operators and servers
    [ -z "${LINKED:-}" ] || link_start
    NODES=""
    for n in $(seq 1 "$1"); do
        start_node "$n"
        NODES="$NODES${NODES:+,}$NET.$n:8080"
    done
}

cluster_server() {
    local name=$1 store=$STORE advertised=()
    shift
    if [ -n "${LINKED:-}" ]; then
        link_server "$name" "$@"
        store="$NET.251:$((LINK_SERVER_STORE_PORT + LINKED_SERVERS))"
        advertised=(--port "$((LINK_SERVER_PORT + LINKED_SERVERS))" --advertise "$NET.101:$((LINK_SERVER_PORT + LINKED_SERVERS))")
    fi
    SERVER_ARGS[$name]="$*" # no argument contains a blank
    SERVER_STORES[$name]=$store
    "$BUILD/cw-server" --address "$NET.100" --store "$store" "${advertised[@]}" "$@" >>"$WORK/server-$name.json" &
    SERVER_PIDS[$name]=$!
    PIDS+=("$!")
}
server_address() { jq -r 'select(.event=="start").address' "$WORK/server-$1.json" | tail -1; } # NAME
cluster_kill_server() { # NAME
    kill -KILL "${SERVER_PIDS[$1]}" 2>/dev/null
    wait "${SERVER_PIDS[$1]}" 2>/dev/null
    jq -c --argjson ms "$(awk '{printf "%d", $1 * 1000}' /proc/uptime)" \
        'select(.event=="start")|{ns: ($ms * 1000000), event: "gone", server: .server, service: .service}' \
        "$WORK/server-$1.json" | tail -1 >"$WORK/gone.json"
    cat "$WORK/gone.json" >>"$WORK/server-$1.json"
}
cluster_server_again() { # NAME
    local address
    address=$(server_address "$1")
    "$BUILD/cw-server" --address "$NET.100" --store "${SERVER_STORES[$1]}" --port "${address##*:}" --advertise "$address" \
        ${SERVER_ARGS[$1]} >>"$WORK/server-$1.json" &
    SERVER_PIDS[$1]=$!
    PIDS+=("$!")
}

# Creates or replaces the configuration in the store.
cluster_configure() {
    curl -sf -X POST "http://$STORE/api/objects/config" -d "{\"metadata\":{\"name\":\"main\"},\"spec\":$1}" >/dev/null ||
        curl -sf -X PUT "http://$STORE/api/objects/config/main" -d "{\"metadata\":{\"name\":\"main\"},\"spec\":$1}" >/dev/null
}

configuration() { # VERSION: the configuration with two services that the demo and most tests use
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

# Waits until the leader has granted all keys: requests for keys from all parts of the key space succeed. CALLER_KEY: the
# credential to send, if callers need one.
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

leader() { # prints the number of the node that leads, by its metrics
    local n
    for n in "${!NODE_PIDS[@]}"; do
        curl -sf "http://$NET.$n:8081/metrics" 2>/dev/null | grep -q '^cedarwinch_leading 1' && echo "$n" && return 0
    done
    return 1
}

sum_of() { tail -1 "$WORK/callers-$1.json" | jq -r "(.$2 // 0)"; }

# troubles.json: troubles of nodes, if a test records them. Which requests were passed to which node is in the nodes' logs.
cluster_check() {
    local n
    touch "$WORK/troubles.json"
    for n in "${!NODE_PIDS[@]}"; do
        echo "{\"ns\":0,\"event\":\"name\",\"id\":\"n$n\",\"node\":\"$NET.$n:8080\"}"
    done >"$WORK/names.json"
    grep -hE '"event":"(delegated|delegation declined)"' "$WORK"/node*.log >"$WORK/passed.log"
    "$BUILD/cw-verdict" "$WORK"/server-*.json "$WORK"/callers-*.json "$WORK/troubles.json" "$WORK/names.json" "$WORK/passed.log"
}

# ---- tests: checks are counted; the test runner (tests/run.sh) reads the last line ----
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
    [ "$FAILURES" = 0 ] || find "$WORK" -name "node*.err" -size +0 -exec tail -v -n 3 {} +
    echo "$((CHECKS == 0 ? 0 : 100 * (CHECKS - FAILURES) / CHECKS))%: Checks: $CHECKS, Failures: $FAILURES, Errors: 0"
    [ "$FAILURES" = 0 ]
}

# Checks of a server's record: that it has ended, and that it ran no request in its last half second.
server_ended() { grep -q '"stop"' "$WORK/server-$1.json"; }
idle_before_end() {
    local last_run stop
    last_run=$(jq -s '[.[]|select(.event=="run").ns]|max // 0' "$WORK/server-$1.json")
    stop=$(jq -s '[.[]|select(.event=="stop").ns]|max // 0' "$WORK/server-$1.json")
    [ "$last_run" -lt "$((stop - 500000000))" ]
}

# Starts the servers that most tests use: six of the service maps (divided by key), three of hires.
standard_servers() {
    local i
    for i in 1 2 3 4 5 6; do cluster_server "m$i" --service maps --zone "z$(((i - 1) % 3 + 1))" --keyed --work-ms "${WORK_MS:-15}"; done
    for i in 1 2 3; do cluster_server "h$i" --service hires --zone "z$i" --work-ms 15 --hangs; done
}
standard_cluster() {
    cluster_start "${1:-3}"
    standard_servers
    cluster_configure "$(configuration 1)"
    cluster_wait_ready
    cluster_wait_served
}

# ---- two regions of two zones each, for tests with LINKED=1: six nodes; 1, 2, 5 and 6 are in the east, 3 and 4 in the west ----
regions_cluster() {
    CLUSTER_ZONES=4
    NODE_SETTINGS="zone_regions: [z1=east, z2=east, z3=west, z4=west]
${NODE_SETTINGS:-}"
    group_of() { case $1 in z1 | z2) echo east ;; *) echo west ;; esac; }
    cluster_start 6
    standard_servers
    cluster_server m7 --service maps --zone z4 --keyed --work-ms 15
    cluster_server h4 --service hires --zone z4 --work-ms 15 --hangs
    cluster_configure "$(configuration 1)"
    cluster_wait_ready
    cluster_wait_served
}
region_of_node() { group_of "z$((($1 - 1) % 4 + 1))"; }
other_region() { [ "$1" = east ] && echo west || echo east; }
nodes_of_region() {
    local n
    for n in $(printf '%s\n' "${!NODE_PIDS[@]}" | sort -n); do [ "$(region_of_node "$n")" != "$1" ] || echo "$n"; done
}
# Cuts a region off from the other region and from the store; callers still reach its nodes.
cut_off_region() {
    link cut "$1" "$(other_region "$1")"
    link cut "$1" store
}
leader_of_region() {
    local n
    for n in $(nodes_of_region "$1"); do
        curl -sf "http://$NET.$n:8081/metrics" | grep -q '^cedarwinch_leading 1' && echo "$n" && return 0
    done
    return 1
}
# Prints the statuses of requests for several keys in one line.
key_statuses() { # NODE
    local key
    for key in 0 10000 20000 30000 40000 50000 65535; do
        curl -s -o /dev/null -w '%{http_code}\n' "http://$NET.$1:8080/docks/x" -H 'Host: maps.example' \
            -H "X-Shard-Key: $key" -H "X-Request-Id: status-$key-$RANDOM$RANDOM" -H 'X-Deadline-Ms: 1000'
    done | xargs
}
serves_all_keys() { [ "$(key_statuses "$1" | tr ' ' '\n' | sort -u)" = 200 ]; }
refuses_all_keys() { [ "$(key_statuses "$1" | tr ' ' '\n' | sort -u)" = 503 ]; }
region_serves_all_keys() {
    local n
    for n in $(nodes_of_region "$1"); do serves_all_keys "$n" || return 1; done
}
region_refuses_all_keys() {
    local n
    for n in $(nodes_of_region "$1"); do refuses_all_keys "$n" || return 1; done
}
region_callers() { # REGION NAME ARGS...
    local region=$1 NODES KINDS=("${KINDS[@]}")
    shift
    NODES=$(for n in $(nodes_of_region "$region"); do echo "$NET.$n:8080"; done | paste -sd,)
    cluster_callers "$@"
}
# Prints the different views of all nodes, one line each: leader, term, configuration, servers.
node_views() {
    local n
    for n in "${!NODE_PIDS[@]}"; do
        curl -sf "http://$NET.$n:8081/status" | jq -c '[.leadership.leader, .leadership.term, .configuration, (.servers|map(.id)|sort)]'
    done | sort -u
}
one_view() { [ "$(node_views | wc -l)" = 1 ]; }
ANY_SERVER=(--kind "maps.example,/hire/,POST,2000,0") # requests that any server of their service may run
# Checks several times that each node of a region serves a request that any server of its service may run.
region_serves_any() {
    local n
    for _ in 1 2 3 4 5; do
        for n in $(nodes_of_region "$1"); do
            curl -sf -o /dev/null -X POST "http://$NET.$n:8080/hire/x" -H 'Host: maps.example' -H "X-Request-Id: any-$n-$RANDOM$RANDOM" \
                -H 'X-Deadline-Ms: 1000' || return 1
        done
    done
}
# Prints how often a leader resigned because its orders did not reach servers that answer other nodes.
cut_off_resignations() { cat "$WORK"/node*.log | grep -c "orders do not reach servers that answer others"; }
