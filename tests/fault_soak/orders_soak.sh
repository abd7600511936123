#!/usr/bin/env bash
# Soak test: servers that own keys stand still, answer no orders or are cut off, while leaders are lost and owners change. Real
# processes, faults drawn by a seed, in series and overlapping.
#
#   SEED=n       seed of the schedule of faults, which is printed as it is carried out (default 1)
#   ROUNDS=n     number of rounds (default 2), NODES=n number of nodes (default 8)
#   SERVERS=n    number of servers of the service that is divided by key (default 14)
#   LINKS=1      nodes and servers reach each other through the proxy, and links fail, too; 0: no proxy (default: 1 for each third seed)
#   ONLY="KIND..."  steps of these kinds only, for example ONLY="late late move" for first grants that are taken late
#
# Each step of a round is one of these, and may begin while earlier ones last:
#   stop, stop_many   servers are stopped (SIGSTOP) for 0.3 to 14 s and go on: what came meanwhile lies in their sockets
#   late              servers leave a share of their orders without an answer, and carry them out 2 to 12 s later
#   again             servers are killed, others start at their addresses, some of them under their own names
#   leave_again       the same after an announced leave
#   move, out, in     servers are replaced, added and taken out, so that keys are granted for the first time
#   cut               the link between a node (often the leader) or all nodes and servers is cut, in both directions or one, or
#                     is slow (only with the proxy)
#   leader            the leader is lost: killed, stopped or (with the proxy) cut off; a killed one starts again
# Each of the others is followed by the loss of the leader within 1.2 s now and then, while orders are out. In every other round, as
# drawn, no leader is lost, so that one leader knows the whole history of its orders.
#
# Promises that are checked, by the records of callers, servers and the test:
#   records   each key has one owner, fences rise, nothing runs twice, no refused request has run, no two servers hold a key (cw-verdict)
#   served    12 s after the faults of a round, all keys are served
# KEEP=1 keeps the records. The exit code is 1 if there is a finding.
SEED=${SEED:-1} ROUNDS=${ROUNDS:-2} COUNT=${NODES:-8} SERVERS=${SERVERS:-14} LINKS=${LINKS:-$((${SEED:-1} % 3 == 0))}
[ "$LINKS" = 0 ] || LINKED=1
. "$(dirname "$0")/../../scripts/cluster.sh"
. "$(dirname "$0")/lib/draws.sh"
NEXT_SERVER=0 CALM_S=12 CALLERS_S=${CALLERS_S:-40} RATE=100 STEPS=${STEPS:-14} LEADER="" KEEPS_LEADER=""
SERVER_NAMES=() LEAVING=() PENDING=()

draw_duration() { draw_item 300 1500 5000 8000 11000; local base=$DRAWN; draw "$base" 3000; } # 0.3 to 14 s, in ms

# ---- what is due later ----
now_ms() { NOW=$((${EPOCHREALTIME/[.,]/} / 1000)); }
later() { now_ms; PENDING+=("$((NOW + $1)) ${*:2}"); } # MS COMMAND...
run_due() {
    local item due=() waiting=()
    now_ms
    for item in "${PENDING[@]}"; do
        if [ "${item%% *}" -le "$NOW" ]; then due+=("${item#* }"); else waiting+=("$item"); fi
    done
    PENDING=("${waiting[@]}")
    for item in "${due[@]}"; do $item; done # no argument contains a blank
}
pass() { # MS: what is due meanwhile is done
    local end
    now_ms
    end=$((NOW + $1))
    while run_due; [ "$NOW" -lt "$end" ]; do sleep 0.02; done
}

# ---- servers ----
draw_servers() { # COUNT: names of different servers, in CHOSEN
    local first index
    draw 0 "${#SERVER_NAMES[@]}"
    first=$DRAWN
    CHOSEN=()
    for index in $(seq 1 "$1"); do CHOSEN+=("${SERVER_NAMES[$(((first + index) % ${#SERVER_NAMES[@]}))]}"); done
}
draw_some_servers() { draw 1 $((${#SERVER_NAMES[@]} / $1 + 1)); draw_servers "$DRAWN"; } # DIVISOR: at most one in so many, and one
is_started() { grep -qs '"start"' "$WORK/server-$1.json"; }
is_leaving() { [[ " ${LEAVING[*]} " = *" $1 "* ]]; }
add_server() { # every third keeps its name when it is started again
    local name own_name=()
    NEXT_SERVER=$((NEXT_SERVER + 1))
    name=m$NEXT_SERVER
    [ $((NEXT_SERVER % 3)) != 0 ] || own_name=(--id "own-$name")
    cluster_server "$name" --service maps --zone "z$((NEXT_SERVER % 3 + 1))" --keyed --work-ms 15 \
        --seed "$((SEED * 100 + NEXT_SERVER))" "${own_name[@]}"
    SERVER_NAMES+=("$name")
}
remove_server() { # NAME SIGNAL
    local kept=() name
    for name in "${SERVER_NAMES[@]}"; do [ "$name" = "$1" ] || kept+=("$name"); done
    SERVER_NAMES=("${kept[@]}")
    if [ "$2" = KILL ]; then cluster_kill_server "$1"; else kill -TERM "${SERVER_PIDS[$1]}" 2>/dev/null; fi
}
stop_servers() { # for a time that is drawn
    local name
    draw_duration
    log "servers stopped for $DRAWN ms: ${CHOSEN[*]}"
    for name in "${CHOSEN[@]}"; do
        kill -STOP "${SERVER_PIDS[$name]}" 2>/dev/null
        later "$DRAWN" continue_server "$name"
    done
}
is_stopped() { [[ "$(cat "/proc/${SERVER_PIDS[$1]}/stat" 2>/dev/null)" = *") T "* ]]; } # NAME
continue_server() { kill -CONT "${SERVER_PIDS[$1]}" 2>/dev/null; } # NAME
set_late() { curl -s -m 0.5 -X POST "http://$(server_listens "$1")/control?late-orders=$2" >/dev/null; } # NAME SHARE
server_listens() { # NAME: its own address, not the proxy's
    local address
    address=$(server_address "$1")
    echo "$NET.100:${address##*:}"
}
make_late() { # a share and a time that are drawn
    local name share
    draw_item 0.2 0.5 1
    share=$DRAWN
    draw_duration
    log "servers leave $share of their orders without an answer for $DRAWN ms: ${CHOSEN[*]}"
    for name in "${CHOSEN[@]}"; do
        is_stopped "$name" || { set_late "$name" "$share"; later "$DRAWN" set_late "$name" 0; }
    done
}
start_again() { ! server_is_up "$1" && cluster_server_again "$1"; } # NAME
server_is_up() { kill -0 "${SERVER_PIDS[$1]}" 2>/dev/null; }
kill_and_start_again() {
    local name
    draw_item 0 0 300 2000 6000
    log "servers killed, started again after $DRAWN ms: ${CHOSEN[*]}"
    for name in "${CHOSEN[@]}"; do is_leaving "$name" || cluster_kill_server "$name"; done
    for name in "${CHOSEN[@]}"; do is_leaving "$name" || later "$DRAWN" start_again "$name"; done
}
leave_and_start_again() {
    local name
    log "servers leave, others start at their addresses: ${CHOSEN[*]}"
    for name in "${CHOSEN[@]}"; do is_leaving "$name" || { kill -TERM "${SERVER_PIDS[$name]}" 2>/dev/null; LEAVING+=("$name"); }; done
    later 500 follow_leaves
}
follow_leaves() { # servers that have left by now: others start at their addresses
    local name still=()
    for name in "${LEAVING[@]}"; do
        if server_is_up "$name"; then still+=("$name"); else cluster_server_again "$name"; fi
    done
    LEAVING=("${still[@]}")
    [ ${#LEAVING[@]} = 0 ] || later 500 follow_leaves
}
replace_servers() { # KIND
    local name signal
    draw_item TERM TERM KILL
    signal=$DRAWN
    log "servers: $1 ${CHOSEN[*]} $signal"
    for name in "${CHOSEN[@]}"; do
        [ "$1" = in ] || [ ${#SERVER_NAMES[@]} -ge $((SERVERS * 3 / 2)) ] || add_server
        [ "$1" = out ] || is_leaving "$name" || [ ${#SERVER_NAMES[@]} -le $((SERVERS * 2 / 3)) ] || remove_server "$name" "$signal"
    done
}

# ---- links ----
draw_node() { draw_item "${LEADER:-1}" "${LEADER:-1}" any all; [ "$DRAWN" != any ] || draw 1 "$COUNT"; } # number or "all", in DRAWN
cut_links() { # between a node or all and the chosen servers
    local name node nodes kind ms
    draw_node
    node=$DRAWN
    nodes=$([ "$node" = all ] && seq 1 "$COUNT" || echo "$node")
    draw_item cut cut to_server to_node slow
    kind=$DRAWN
    draw_duration
    ms=$DRAWN
    log "links: $kind for $ms ms, node $node and ${CHOSEN[*]}"
    for name in "${CHOSEN[@]}"; do
        for node in $nodes; do
            case $kind in
            cut) link cut "n$node" "$name" ;;
            to_server) link cut-one-way "n$node" "$name" ;;
            to_node) link cut-one-way "$name" "n$node" ;;
            slow) link delay "n$node" "$name" 2000 ;;
            esac
        done
    done
    later "$ms" link heal
}

# ---- losses of leaders ----
monotonic_ms() { awk '{printf "%d", $1 * 1000}' /proc/uptime; } # the clock that the records of servers and callers use
record_trouble() { # EVENT NODE: trouble (restarted or stopped), calm
    echo "{\"ns\":$(monotonic_ms)000000,\"event\":\"$1\",\"node\":\"$NET.$2:8080\"}" >>"$WORK/troubles.json"
}
find_leader() { # the latest node that says that it leads, in LEADER; a stopped one does not answer
    local node term best=-1
    LEADER=""
    for node in $(seq 1 "$COUNT"); do
        term=$(curl -s -m 0.2 "http://$NET.$node:8081/status" | jq -r 'select(.leadership.leading == true)|.leadership.term' 2>/dev/null)
        [ "${term:--1}" -le "$best" ] || best=$term LEADER=$node
    done
    [ -n "$LEADER" ]
}
node_is_up() { kill -0 "${NODE_PIDS[$1]}" 2>/dev/null; }
start_node_again() { node_is_up "$1" || start_node "$1"; }             # NODE
continue_node() { kill -CONT "${NODE_PIDS[$1]}" 2>/dev/null; } # NODE
cut_node() { # NODE KIND: store, peers or both; also in one direction
    local other command
    command=$([[ "$2" = *_one_way ]] && echo cut-one-way || echo cut)
    [[ "$2" = peers* ]] || link "$command" "n$1" store
    [[ "$2" != store* ]] || return 0
    for other in $(seq 1 "$COUNT"); do [ "$other" = "$1" ] || link "$command" "n$1" "n$other"; done
}
lose_leader() {
    local kind node=$LEADER how
    draw_item kill kill stop stop cut
    kind=$DRAWN
    [ "$kind" != cut ] || [ "$LINKS" != 0 ] || kind=stop
    draw_item store peers both store_one_way peers_one_way
    how=$DRAWN
    draw_item 0 200 2000 5000 9000
    [ -n "$node" ] && node_is_up "$node" || { log "no leader to lose"; return; }
    count "leader_$kind"
    log "leader $node: $kind$([ "$kind" != cut ] || echo " $how") for $DRAWN ms"
    record_trouble trouble "$node"
    case $kind in
    kill)
        kill -KILL "${NODE_PIDS[$node]}"
        wait "${NODE_PIDS[$node]}" 2>/dev/null
        later "$DRAWN" start_node_again "$node"
        ;;
    stop) kill -STOP "${NODE_PIDS[$node]}"; later $((DRAWN + 300)) continue_node "$node" ;;
    cut) cut_node "$node" "$how"; later $((DRAWN + 300)) link heal ;;
    esac
}

# ---- rounds ----
NUMBER=0
served_everywhere() {
    local key node
    for key in 0 10000 20000 30000 40000 50000 65535; do
        NUMBER=$((NUMBER + 1))
        node=$((NUMBER % COUNT + 1))
        curl -sf -m 2 "http://$NET.$node:8080/docks/x" -H 'Host: maps.example' -H "X-Shard-Key: $key" \
            -H "X-Request-Id: calm-$key-$NUMBER" -H 'X-Deadline-Ms: 800' >/dev/null || return 1
    done
}
step() {
    local kind kinds=(stop stop stop stop_many stop_many stop_many late late again leave_again move move out in)
    [ "$LINKS" = 0 ] || kinds+=(cut cut cut cut)
    [ -n "$KEEPS_LEADER" ] || kinds+=(leader)
    [ -z "${ONLY:-}" ] || read -r -a kinds <<<"$ONLY"
    draw_item "${kinds[@]}"
    kind=$DRAWN
    find_leader
    count "$kind"
    case $kind in
    out) CHOSEN=(new) ;;
    stop | move | in) draw_servers 1 ;;
    stop_many | late | again | leave_again | cut) draw_some_servers 3 ;;
    esac
    case $kind in
    stop | stop_many) stop_servers ;;
    late) make_late ;;
    again) kill_and_start_again ;;
    leave_again) leave_and_start_again ;;
    move | out | in) replace_servers "$kind" ;;
    cut) cut_links ;;
    leader) lose_leader; return ;;
    esac
    draw 0 4
    [ "$DRAWN" = 0 ] && [ -z "$KEEPS_LEADER" ] || return
    draw 0 1200
    pass "$DRAWN"
    lose_leader
}
is_over() { run_due; [ ${#PENDING[@]} = 0 ]; } # everything that was due later is done
end_faults() {
    local node name
    control "lapse=2500"
    for name in "${SERVER_NAMES[@]}"; do
        continue_server "$name"
        server_is_up "$name" || { log "server $name was down"; cluster_server_again "$name"; }
        until_true set_late "$name" 0
    done
    [ "$LINKS" = 0 ] || link heal
    for node in $(seq 1 "$COUNT"); do
        continue_node "$node"
        node_is_up "$node" || { log "node $node was down"; start_node "$node"; }
        record_trouble calm "$node"
    done
}
round() { # NUMBER
    local callers left=$STEPS
    draw_item "" yes
    KEEPS_LEADER=$DRAWN
    draw_item 0 1500 2500 6000
    log "round $1: entries of silent servers lapse after $DRAWN ms (0: never)${KEEPS_LEADER:+, no leader is lost}"
    control "lapse=$DRAWN"
    cluster_callers "round$1" --rate "$RATE" --count $((RATE * CALLERS_S)) &
    callers=$!
    while [ "$left" -gt 0 ]; do
        step
        draw_item 100 400 1000 2000
        pass "$DRAWN"
        left=$((left - 1))
    done
    until is_over; do sleep 0.05; done
    end_faults
    wait_within "$CALM_S" served_everywhere || report_finding "served: round $1: some keys are not served"
    wait "$callers"
}
events() { cat "$WORK"/node*.log | grep -c "$1"; } # TEXT

log "seed $SEED, $ROUNDS rounds, $COUNT nodes, $SERVERS servers, $([ "$LINKS" = 0 ] && echo "no proxy" || echo "with the proxy")"
cluster_start "$COUNT"
for _ in $(seq 1 "$SERVERS"); do add_server; done
cluster_server h1 --service hires --zone z1 --work-ms 15 --hangs
cluster_configure "$(configuration 1)"
cluster_wait_ready
cluster_wait_served
for number in $(seq 1 "$ROUNDS"); do round "$number"; done
if ! cluster_check >"$WORK/verdict"; then
    head -30 "$WORK/verdict"
    report_finding "records: $(awk '$2 == "at" {print $1}' "$WORK/verdict" | sort | uniq -c | xargs), $(tail -1 "$WORK/verdict")"
fi
log "verdict: $(tail -2 "$WORK/verdict" | paste -sd' ')"
log "leaders: $(events 'leadership taken') taken; $(events 'grant not confirmed') grants not confirmed," \
    "$(events 'former holder let go') former holders let go"
log "faults: $(for kind in "${!COUNTS[@]}"; do echo "$kind ${COUNTS[$kind]}"; done | sort | xargs)"
[ "$FINDINGS" = 0 ] || { KEEP=1; log "records are kept in $WORK"; }
echo "seed $SEED: $FINDINGS findings"
[ "$FINDINGS" = 0 ]
