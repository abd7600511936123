#!/usr/bin/env bash
# Soak test: servers turn requests away, send answers a second time in the place of the next one, cut answers off at any byte, and send
# pages of other programs in the place of answers to requests and orders, while
# servers and nodes stand still, are killed and come back, and nodes lose their paths to servers, so that requests go by way of
# other nodes. One server may send bytes without end, and another writer leaves odd entries among those of the servers. Real processes, faults drawn by a seed, which overlap.
#
#   SEED=n       seed of the schedule of faults, which is printed as it is carried out (default 1)
#   ROUNDS=n     number of rounds (default 3), NODES=n number of nodes (default 5)
#   SERVERS=n    number of servers of each service (default 3): one divided by key, one not
#   ANSWERS=text shares of the faults of answers (default: drawn)
#
# Most requests may not be repeated, half of those with a key. Callers go on using their connections through all of it.
#
# Promises that are checked, by the records of callers, servers and the test:
#   records   no request that was answered 408, 421, 429 or 503 has run, nothing runs twice, each key has one owner, fences rise
#             (cw-verdict)
#   whole     no 2xx without the whole answer to that request
#   served    12 s after the faults of a round, all keys are served
# KEEP=1 keeps the records. The exit code is 1 if there is a finding.
SEED=${SEED:-1} ROUNDS=${ROUNDS:-3} COUNT=${NODES:-5} SERVERS=${SERVERS:-3}
LINKED=1
. "$(dirname "$0")/../../scripts/cluster.sh"
. "$(dirname "$0")/lib/draws.sh"
. "$(dirname "$0")/lib/foreign.sh"
. "$(dirname "$0")/../process/lib/server_paths.sh"
NEXT_SERVER=0 CALM_S=12 ROUND_S=14 RATE=80
STOPPED=() # process ids that stand still

# Requests with a key go to two routes of one service: those of /lock/ may not be repeated.
configuration() { # VERSION
    cat <<JSON
{"version":$1,"routes":[
 {"name":"maps","host":"maps.example","path-prefix":"/docks/","route-type":"safe","timeout_ms":2000,"aim_ms":500,"priority":2,"max-attempts":3,"service":"maps"},
 {"name":"locks","host":"maps.example","path-prefix":"/lock/","route-type":"unsafe","timeout_ms":2000,"aim_ms":500,"priority":1,"max-attempts":2,"service":"maps"},
 {"name":"hires","host":"maps.example","path-prefix":"/hire/","route-type":"unsafe","timeout_ms":2000,"aim_ms":500,"priority":0,"max-attempts":3,"service":"hires"}],
 "services":[{"name":"maps","max-connections":100,"use-sharding":true,"warm-s":1},{"name":"hires","max-connections":100}],
 "limits":{"max-header-bytes":16384,"max-body-bytes":1048576,"header_timeout_ms":3000,"idle_timeout_ms":15000}}
JSON
}
KINDS=(--kind "maps.example,/docks/,GET,2000,1" --kind "maps.example,/lock/,POST,2000,1" --kind "maps.example,/hire/,POST,2000,0")

# ---- servers ----
draw_answers() { # shares of the faults of answers, in DRAWN
    local second unnamed cut page orders deny
    [ -z "${ANSWERS:-}" ] || { DRAWN=$ANSWERS; return; }
    draw_item 0.05 0.2 0.5; second=$DRAWN
    draw_item 0 0.1 0.3; unnamed=$DRAWN
    draw_item 0 0.02 0.05; cut=$DRAWN
    draw_item 0.05 0.2 0.4; deny=$DRAWN
    draw_item 0 0.01 0.03; page=$DRAWN
    draw_item 0 0.05 0.5; orders=$DRAWN
    DRAWN="second=$second,unnamed=$unnamed,cut=$cut,deny=$deny,page=$page,orders=$orders"
}
add_server() { # SERVICE
    local keyed=""
    [ "$1" != maps ] || keyed=--keyed
    NEXT_SERVER=$((NEXT_SERVER + 1))
    draw_answers
    log "server s$NEXT_SERVER of $1: $DRAWN"
    cluster_server "s$NEXT_SERVER" --service "$1" --zone "z$((NEXT_SERVER % 3 + 1))" $keyed --work-ms 15 --seed "$((SEED + NEXT_SERVER))" \
        --answer-faults "$DRAWN"
    SERVER_NAMES+=("s$NEXT_SERVER")
}
add_endless_server() { # it gets requests until it is avoided, and no keys
    draw_item "" "" interim head body chunks noise
    [ -n "$DRAWN" ] || return 0
    log "server endless of hires: $DRAWN without end"
    count "endless_$DRAWN"
    cluster_server endless --service hires --zone z1 --endless "$DRAWN"
}
draw_server() { draw 0 "${#SERVER_NAMES[@]}"; DRAWN=${SERVER_NAMES[$DRAWN]}; }
is_up() { kill -0 "$1" 2>/dev/null; } # PID
server_fault() {
    local kind name
    draw_item stop stop kill again
    kind=$DRAWN
    draw_server
    name=$DRAWN
    count "server_$kind"
    log "server $name: $kind"
    case $kind in
    stop) kill -STOP "${SERVER_PIDS[$name]}" 2>/dev/null; STOPPED+=("${SERVER_PIDS[$name]}") ;;
    kill) cluster_kill_server "$name"; cluster_server_again "$name" ;;
    again) kill -TERM "${SERVER_PIDS[$name]}" 2>/dev/null ;;
    esac
}
restart_left_servers() {
    local name
    for name in "${SERVER_NAMES[@]}"; do is_up "${SERVER_PIDS[$name]}" || cluster_server_again "$name"; done
}

# ---- nodes and links ----
node_fault() {
    local kind node
    draw_item stop stop kill term
    kind=$DRAWN
    draw 1 "$COUNT"
    node=$DRAWN
    count "node_$kind"
    log "node $node: $kind"
    case $kind in
    stop) kill -STOP "${NODE_PIDS[$node]}" 2>/dev/null; STOPPED+=("${NODE_PIDS[$node]}") ;;
    kill) kill -KILL "${NODE_PIDS[$node]}" 2>/dev/null; start_node "$node" ;;
    term) kill -TERM "${NODE_PIDS[$node]}" 2>/dev/null; kill -CONT "${NODE_PIDS[$node]}" 2>/dev/null; start_node "$node" ;;
    esac
}
path_fault() {
    local kind node
    draw_item cut cut-one-way reset refuse stall
    kind=$DRAWN
    draw 1 "$COUNT"
    node=$DRAWN
    count "paths_$kind"
    log "node $node: paths to servers, $kind"
    cut_from_servers "$kind" "$node"
}
peer_fault() {
    local kind node other
    draw_item reset stall cut
    kind=$DRAWN
    draw 1 "$COUNT"
    node=$DRAWN
    other=$((node % COUNT + 1))
    count "peers_$kind"
    log "nodes $node and $other: $kind"
    link "$kind" "n$node" "n$other"
}
go_on() {
    local pid
    for pid in "${STOPPED[@]}"; do kill -CONT "$pid" 2>/dev/null; done
    STOPPED=()
}
ease() { # some faults end
    draw_item heal go_on go_on both none
    case $DRAWN in
    heal) link heal ;;
    go_on) go_on ;;
    both) link heal; go_on ;;
    esac
}

# ---- rounds ----
NUMBER=0
served_everywhere() {
    local key node
    for key in 0 10000 20000 30000 40000 50000 65535; do
        NUMBER=$((NUMBER + 1))
        node=$((NUMBER % COUNT + 1))
        curl -s -m 3 --retry 8 --retry-all-errors --retry-delay 0 -f "http://$NET.$node:8080/docks/x" -H 'Host: maps.example' \
            -H "X-Shard-Key: $key" -H "X-Request-Id: calm-$key-$NUMBER" -H 'X-Deadline-Ms: 800' >/dev/null || return 1
    done
}
round() { # NUMBER
    local steps callers
    draw 5 4
    steps=$DRAWN
    log "round $1: $steps steps"
    cluster_callers "round$1" --rate "$RATE" --count $((RATE * ROUND_S)) &
    callers=$!
    while [ "$steps" -gt 0 ]; do
        draw_item server_fault node_fault path_fault path_fault peer_fault foreign_fault foreign_fault
        "$DRAWN"
        draw_pause 300 1500
        ease
        steps=$((steps - 1))
    done
    link heal
    go_on
    restart_left_servers
    wait_within "$CALM_S" served_everywhere || report_finding "served: round $1: some keys are not served"
    wait "$callers"
    [ "$(sum_of "round$1" wrong)" = 0 ] || report_finding "whole: round $1: $(sum_of "round$1" wrong) answers 2xx are not the whole answer to their request"
    log "round $1: $(tail -1 "$WORK/callers-round$1.json")"
}

log "seed $SEED, $ROUNDS rounds, $COUNT nodes, $SERVERS servers of each service"
cluster_start "$COUNT"
SERVER_NAMES=()
for _ in $(seq 1 "$SERVERS"); do add_server maps; add_server hires; done
add_endless_server
cluster_configure "$(configuration 1)"
cluster_wait_ready
cluster_wait_served
for number in $(seq 1 "$ROUNDS"); do round "$number"; done
if ! cluster_check >"$WORK/verdict"; then
    head -30 "$WORK/verdict"
    report_finding "records: $(tail -1 "$WORK/verdict")"
fi
log "verdict: $(tail -2 "$WORK/verdict" | paste -sd' ')"
for kind in second unnamed cut page orders deny; do COUNTS[answer_$kind]=$(cat "$WORK"/server-*.json | grep -c "\"fault\":\"$kind\""); done
log "nodes: $(cat "$WORK"/node*.log | grep -c '"answer discarded"') answers discarded, $(cat "$WORK"/node*.log | grep -c '"order answer not accepted"') answers to orders not accepted, $(cat "$WORK"/node*.log | grep -c '"delegated"') requests passed on"
log "faults: $(for kind in "${!COUNTS[@]}"; do echo "$kind ${COUNTS[$kind]}"; done | sort | xargs)"
[ "$FINDINGS" = 0 ] || { KEEP=1; log "records are kept in $WORK"; }
echo "seed $SEED: $FINDINGS findings"
[ "$FINDINGS" = 0 ]
