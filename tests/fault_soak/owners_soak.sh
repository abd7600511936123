#!/usr/bin/env bash
# Soak test: owners of keys change while lists of servers lag, addresses are used again and leaders change in a row. Real
# processes, faults drawn by a seed, which overlap.
#
#   SEED=n       seed of the schedule of faults, which is printed as it is carried out (default 1)
#   ROUNDS=n     number of rounds (default 3), NODES=n number of nodes (default 4)
#   SERVERS=n    number of servers of the service that is divided by key (default 6)
#
# Each round begins with how far lists lag: age of the store's copies, delay of listings, watches that hear nothing, time until
# the entry of a server that was killed is gone. Then changes of owners (again: killed, others start at their addresses while the
# entries are listed; leave_again: the same after an announced leave; move, out, in: servers are replaced, added and taken out)
# alternate with losses of one or several leaders in a row: killed (it starts again at once or later), frozen (also just when
# servers have started and connections to them open, or when they have their first keys), cut off from the store, the other nodes
# or both, in one direction or both. Beside them, single nodes, or all but the leader until it is lost, are cut off
# from store and leader, so that their lists lag, and writes of the store are lost or done late.
#
# Promises that are checked, by the records of callers, servers and the test:
#   held      no two servers that are up hold the same key for over half a second, with or without requests (cw-verdict)
#   records   nothing runs twice, no refused request has run, each key has one owner, fences rise (cw-verdict)
#   served    12 s after the faults of a round, all keys are served
# KEEP=1 keeps the records. The exit code is 1 if there is a finding.
SEED=${SEED:-1} ROUNDS=${ROUNDS:-3} COUNT=${NODES:-4} SERVERS=${SERVERS:-6}
LINKED=1
. "$(dirname "$0")/../../scripts/cluster.sh"
. "$(dirname "$0")/lib/draws.sh"
NEXT_SERVER=0 CALM_S=12 GRANTED_S=8 ROUND_S=20 RATE=60 LEADER="" OTHERS_LAG=""
FROZEN=() DOWN=() LEAVING=()

# ---- lists that lag ----
draw_lag() {
    local copy list slow lapse mute
    draw_item 0 2000 6000 9000; copy=$DRAWN
    draw_item 0 0 300 1500 3000; list=$DRAWN
    draw_item 0 0 40 80 150; slow=$DRAWN
    draw_item 1200 2500 6000; lapse=$DRAWN
    draw_item 0 0 1; mute=$DRAWN
    log "lists: copies $copy ms old, listings $list ms late, answers $slow ms late, entries lapse after $lapse ms, watches muted: $mute"
    control "copy-lag=$copy&list-slow=$list&slow=$slow&lapse=$lapse&list-mute=$mute"
}

# ---- changes of owners ----
draw_servers() { # COUNT: names of different servers, in CHOSEN
    local count=$1 first index
    draw 0 "${#SERVER_NAMES[@]}"
    first=$DRAWN
    CHOSEN=()
    for index in $(seq 1 "$count"); do CHOSEN+=("${SERVER_NAMES[$(((first + index) % ${#SERVER_NAMES[@]}))]}"); done
}
is_started() { grep -qs '"start"' "$WORK/server-$1.json"; }
is_leaving() { [[ " ${LEAVING[*]} " = *" $1 "* ]]; }
add_server() {
    NEXT_SERVER=$((NEXT_SERVER + 1))
    cluster_server "s$NEXT_SERVER" --service maps --zone "z$((NEXT_SERVER % 3 + 1))" --keyed --work-ms 15
    SERVER_NAMES+=("s$NEXT_SERVER")
    until_true is_started "s$NEXT_SERVER"
}
remove_server() { # NAME SIGNAL
    local kept=() name
    for name in "${SERVER_NAMES[@]}"; do [ "$name" = "$1" ] || kept+=("$name"); done
    SERVER_NAMES=("${kept[@]}")
    if [ "$2" = KILL ]; then cluster_kill_server "$1"; else kill -TERM "${SERVER_PIDS[$1]}"; fi
}
# Servers that have left by now: others start at their addresses.
follow_leaves() {
    local name still=()
    for name in "${LEAVING[@]}"; do
        if kill -0 "${SERVER_PIDS[$name]}" 2>/dev/null; then still+=("$name"); else cluster_server_again "$name"; fi
    done
    LEAVING=("${still[@]}")
}
change_owners() {
    local kind name signal
    draw_item again again again again leave_again move out in
    kind=$DRAWN
    count "$kind"
    case $kind in
    again | leave_again) draw 1 $((${#SERVER_NAMES[@]} * 2 / 3)); draw_servers "$DRAWN" ;;
    move | in) draw_servers 1 ;;
    out) CHOSEN=() ;;
    esac
    log "owners: $kind ${CHOSEN[*]}"
    case $kind in
    again)
        for name in "${CHOSEN[@]}"; do is_leaving "$name" || cluster_kill_server "$name"; done
        for name in "${CHOSEN[@]}"; do is_leaving "$name" || cluster_server_again "$name"; done
        ;;
    leave_again)
        for name in "${CHOSEN[@]}"; do is_leaving "$name" || { kill -TERM "${SERVER_PIDS[$name]}"; LEAVING+=("$name"); }; done
        ;;
    move | in)
        draw_item TERM KILL
        signal=$DRAWN
        is_leaving "${CHOSEN[0]}" && return
        [ "$kind" = move ] && add_server
        [ ${#SERVER_NAMES[@]} -le $((SERVERS / 2)) ] || remove_server "${CHOSEN[0]}" "$signal"
        ;;
    out) [ ${#SERVER_NAMES[@]} -ge $((SERVERS * 3 / 2)) ] || { add_server; add_server; } ;;
    esac
}

started_id() { jq -r 'select(.event=="start").server' "$WORK/server-$1.json" | tail -1; } # NAME
is_granted() { # NAME: whether the server's present incarnation has had keys, or is gone
    jq -e -s --arg id "$(started_id "$1")" 'any((.event=="grant" or .event=="gone") and .server==$id)' "$WORK/server-$1.json" >/dev/null
}
are_granted() { local name; for name in "${CHOSEN[@]}"; do is_granted "$name" || return 1; done; }

# ---- losses of leaders ----
find_leader() { # the latest node that says that it leads, in LEADER; a frozen one does not answer
    local node term best=-1
    LEADER=""
    for node in $(seq 1 "$COUNT"); do
        term=$(curl -s -m 0.3 "http://$NET.$node:8081/status" | jq -r 'select(.leadership.leading == true)|.leadership.term' 2>/dev/null)
        [ "${term:--1}" -le "$best" ] || best=$term LEADER=$node
    done
    [ -n "$LEADER" ]
}
node_is_up() { kill -0 "${NODE_PIDS[$1]}" 2>/dev/null; }
start_downed() {
    local node
    for node in "${DOWN[@]}"; do start_node "$node"; done
    DOWN=()
}
thaw() {
    local node
    for node in "${FROZEN[@]}"; do kill -CONT "${NODE_PIDS[$node]}" 2>/dev/null; done
    FROZEN=()
}
cut_node() { # NODE KIND: store, peers or both; also in one direction
    local other
    [ "$2" = peers ] || [ "$2" = peers_one_way ] || link "$([ "$2" = store_one_way ] && echo cut-one-way || echo cut)" "n$1" store
    case $2 in store | store_one_way) return ;; esac
    for other in $(seq 1 "$COUNT"); do
        [ "$other" = "$1" ] || link "$([ "$2" = peers_one_way ] && echo cut-one-way || echo cut)" "n$1" "n$other"
    done
}
cut_others() { # LEADER: all others hear neither the store nor the leader
    local node
    for node in $(seq 1 "$COUNT"); do
        [ "$node" = "$1" ] || { link cut "n$node" store; link cut "n$node" "n$1"; }
    done
    OTHERS_LAG=1
}
heal_others() { [ -z "$OTHERS_LAG" ] || { link heal; OTHERS_LAG=""; }; }
lose_leader() {
    local kind how
    draw_item restart restart kill freeze freeze cut
    kind=$DRAWN
    draw_item store peers both store_one_way peers_one_way
    how=$DRAWN
    find_leader || { log "no leader to lose"; return; }
    count "leader_$kind"
    log "leader $LEADER: $kind$([ "$kind" != cut ] || echo " $how")"
    [ "$kind" != cut ] || heal_others
    case $kind in
    restart | kill)
        kill -KILL "${NODE_PIDS[$LEADER]}"
        wait "${NODE_PIDS[$LEADER]}" 2>/dev/null
        if [ "$kind" = restart ]; then start_node "$LEADER"; else DOWN+=("$LEADER"); fi
        ;;
    freeze) kill -STOP "${NODE_PIDS[$LEADER]}"; FROZEN+=("$LEADER") ;;
    cut) cut_node "$LEADER" "$how" ;;
    esac
    heal_others # so that one of them can lead, with the list that it has
}
lose_leaders() {
    local times
    draw 1 3
    times=$DRAWN
    while [ "$times" -gt 0 ]; do
        lose_leader
        draw_item 100 1000 3500
        draw_pause "$DRAWN" 1000
        draw 0 3
        [ "$DRAWN" != 0 ] || thaw
        draw 0 3
        [ "$DRAWN" != 0 ] || start_downed
        times=$((times - 1))
    done
}
trouble() { # beside the others
    local kind node
    draw_item none lag lag_others lag_others lag_others lose late heal thaw
    kind=$DRAWN
    draw 1 "$COUNT"
    node=$DRAWN
    count "$kind"
    log "beside: $kind node $node"
    case $kind in
    lag) link cut "n$node" store; find_leader && [ "$LEADER" != "$node" ] && link cut "n$node" "n$LEADER" ;;
    lag_others) find_leader && cut_others "$LEADER" ;;
    lose) draw 1 3; control "lose=$DRAWN" ;;
    late) draw 1 3; control "late=$DRAWN" ;;
    heal) link heal; OTHERS_LAG="" ;;
    thaw) thaw ;;
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
end_faults() {
    local node
    control "copy-lag=0&list-slow=0&slow=0&list-mute=0&lose=0&late=0"
    link heal
    OTHERS_LAG=""
    thaw
    start_downed
    for node in $(seq 1 "$COUNT"); do node_is_up "$node" || { log "node $node was down"; start_node "$node"; }; done
    while [ ${#LEAVING[@]} -gt 0 ]; do follow_leaves; sleep 0.1; done
}
round() { # NUMBER
    local steps callers
    draw 2 3
    steps=$DRAWN
    log "round $1: $steps steps"
    draw_lag
    cluster_callers "round$1" --rate "$RATE" --count $((RATE * ROUND_S)) &
    callers=$!
    while [ "$steps" -gt 0 ]; do
        trouble
        change_owners
        draw_item 0 100 1500 granted granted
        if [ "$DRAWN" = granted ]; then wait_within "$GRANTED_S" are_granted; DRAWN=0; fi
        draw_pause "$DRAWN" 400
        lose_leaders
        follow_leaves
        steps=$((steps - 1))
    done
    end_faults
    wait_within "$CALM_S" served_everywhere || report_finding "served: round $1: some keys are not served"
    wait "$callers"
}

log "seed $SEED, $ROUNDS rounds, $COUNT nodes, $SERVERS servers"
cluster_start "$COUNT"
SERVER_NAMES=()
for i in $(seq 1 "$SERVERS"); do
    cluster_server "m$i" --service maps --zone "z$(((i - 1) % 3 + 1))" --keyed --work-ms 15
    SERVER_NAMES+=("m$i")
done
cluster_server h1 --service hires --zone z1 --work-ms 15 --hangs
cluster_configure "$(configuration 1)"
cluster_wait_ready
cluster_wait_served
for number in $(seq 1 "$ROUNDS"); do round "$number"; done
if ! cluster_check >"$WORK/verdict"; then
    head -30 "$WORK/verdict"
    report_finding "records: $(grep -c ^HELD "$WORK/verdict") held, $(tail -1 "$WORK/verdict")"
fi
log "verdict: $(tail -2 "$WORK/verdict" | paste -sd' ')"
log "leaders: $(cat "$WORK"/node*.log | grep -c 'leadership taken') taken; $(cat "$WORK"/node*.log | grep -c 'owner ended') owners ended, $(cat "$WORK"/node*.log | grep -c 'former holder let go') former holders let go"
log "faults: $(for kind in "${!COUNTS[@]}"; do echo "$kind ${COUNTS[$kind]}"; done | sort | xargs)"
[ "$FINDINGS" = 0 ] || { KEEP=1; log "records are kept in $WORK"; }
echo "seed $SEED: $FINDINGS findings"
[ "$FINDINGS" = 0 ]
