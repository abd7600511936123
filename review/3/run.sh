#!/usr/bin/env bash
# DRAIN: servers leave while the leading node is cut off from the store. Exit codes: 1 broken, 0 held, 2 not run.
# TROUBLE=0: the same servers leave, and no node is cut off.
CASE=$(cd "$(dirname "$0")" && pwd)
. "$CASE/../lib.sh"
CYCLES=4 LEAVING=2 # servers that leave in each cycle
STAYING=4          # servers of hiresvc that stay
CUT_MS=2400        # how long the leader is cut off from the store
LEAVE_AFTER_S=1.5  # from the begin of the cut
DRAIN_MS=2000      # bound `drain-s`
SERVE_ON_S=2.5     # how long a server that leaves serves on: drain-s and a little longer
CYCLE_S=10
RATE=12            # requests a second at each node

monotonic_ms() { awk '{printf "%d", $1 * 1000}' /proc/uptime; }
start_lenient_server() { # NUMBER
    build/review/lenient-server "$NET.100" "i-0000000$1" >"$WORK/server$1.out" &
    SERVER_PIDS[$1]=$!
    PIDS+=("$!")
    wait_for 5 grep -q port "$WORK/server$1.out" || give_up "no server $1"
}
entry() { # NUMBER SEQUENCE: what a server writes into the store
    echo "{\"service\":\"hiresvc\",\"address\":\"$NET.100:$(awk '/^port/ {print $2}' "$WORK/server$1.out")\",\"zone\":\"${ZONES[$((($1 - 1) % 3))]}\",\"version\":\"v1\",\"capacity\":2,\"state\":\"ready\",\"cold_ms\":0,\"sequence\":$2,\"born\":$BORN}"
}
heartbeats() { # NUMBER: until the file that says that the server leaves exists
    local sequence=1
    while sleep 1.3 && [ ! -e "$WORK/leaves$1" ]; do
        sequence=$((sequence + 1))
        curl -s -m 1 -X PUT "http://$STORE/api/objects/servers/i-0000000$1" \
            -d "{\"metadata\":{\"name\":\"i-0000000$1\"},\"spec\":$(entry "$1" "$sequence")}" >/dev/null
    done
}
leader() { # prints the number of the leading node
    local n
    for n in $(seq 1 "$NODES"); do
        curl -sf -m 1 "http://$NET.$n:8542/metrics" | grep -q '^cedarwinch_leading 1' && echo "$n" && return 0
    done
    return 1
}
serves() { # NODE
    curl -sf -m 2 -X POST "http://$NET.$1:8548/unlock/first" -H 'Host: dock.example' -H "X-Request-Id: first-$1-$RANDOM$RANDOM" \
        -H 'X-Deadline-Ms: 1200' -d first
}
# A server's entry goes without a word; the server serves on, and ends later.
leave() { # NUMBER LEADER
    local acknowledged
    touch "$WORK/leaves$1"
    sleep 0.1 # a heartbeat that has begun
    curl -sf -m 1 -X DELETE "http://$STORE/api/objects/servers/i-0000000$1" >/dev/null || give_up "the store does not remove an entry"
    acknowledged=$(monotonic_ms)
    echo "$1 $2 $acknowledged" >>"$WORK/left"
    say "server i-0000000$1 leaves: acknowledged by the store at $acknowledged ms"
    (sleep "$SERVE_ON_S"; kill -KILL "${SERVER_PIDS[$1]}") &
    PIDS+=("$!")
}

begin
BORN=$(date +%s%3N) SERVER_PIDS=() CALLERS=()
start_store "$((NODES + 1))"
configure
start_servers dockmap 14 --keyed --work-ms 20
for i in $(seq 1 "$((STAYING + CYCLES * LEAVING))"); do
    start_lenient_server "$i"
    store_object servers "i-0000000$i" "$(entry "$i" 1)" >/dev/null || give_up "the store does not take a server's entry"
    heartbeats "$i" &
    PIDS+=("$!")
done
start_nodes
wait_for 20 are_ready || give_up "the nodes are not ready"
for n in $(seq 1 "$NODES"); do wait_for 10 serves "$n" || give_up "node $n serves nothing"; done
for n in $(seq 1 "$NODES"); do
    build/cw-callers --nodes "$NET.$n:8548" --name "node$n" --kind "dock.example,/unlock/,POST,1200,0" --rate "$RATE" \
        --count "$((RATE * (3 + CYCLES * CYCLE_S)))" >"$WORK/callers-$n.json" &
    CALLERS+=("$!")
    PIDS+=("$!")
done
sleep 3
server=$STAYING
for cycle in $(seq 1 "$CYCLES"); do
    lead=$(leader) || give_up "no node leads"
    if [ "$TROUBLE" != 0 ]; then
        curl -sf -m 1 -X POST "http://$STORE/control?down=$CUT_MS&how=silent&endpoint=$((lead + 1))" >/dev/null || give_up "no cut"
        say "cycle $cycle: node $lead leads, and is cut off from the store for $CUT_MS ms"
    fi
    sleep "$LEAVE_AFTER_S"
    for _ in $(seq 1 "$LEAVING"); do
        server=$((server + 1))
        leave "$server" "$lead"
    done
    sleep "$(awk "BEGIN {print $CYCLE_S - $LEAVE_AFTER_S - 0.2}")"
done
wait "${CALLERS[@]}"
cat "$WORK"/callers-*.json | jq -r 'select(.event=="end")|"sent: \(.id) \(.method), answered: \(.status)"' >>"$RECORD"
for i in $(seq 1 "$((STAYING + CYCLES * LEAVING))"); do
    sed -n "s/^run /ran: /; s/\$/ ms, at server i-0000000$i/p" "$WORK/server$i.out" | grep '^ran:' >>"$RECORD"
done
# Requests that reached a server too late, without those of the node that was cut off.
late=0
while read -r number lead acknowledged; do
    awk -v until="$((acknowledged + DRAIN_MS))" -v lead="node$lead-" -v ack="$acknowledged" -v server="i-0000000$number" \
        '/^run node/ && $6 > until && index($2, lead) != 1 {
            printf "late: request %s reached server %s at %d ms, %d ms after the acknowledgement\n", $2, server, $6, $6 - ack}' \
        "$WORK/server$number.out" >>"$WORK/late"
done <"$WORK/left"
late=$(wc -l <"$WORK/late")
cat "$WORK/late" >>"$RECORD"
# Those of them that the server ran, and whose callers got no success, since the server ended.
cat "$WORK"/callers-*.json | jq -r 'select(.event=="end" and .status==200).id' >"$WORK/served"
lost=$(awk '{print $3}' "$WORK/late" | grep -cvxFf "$WORK/served")
say "$(cat "$WORK"/server*.out | grep -c '^run node') requests ran; $late of them reached a server that had left more than $DRAIN_MS ms before; $lost of these have run and got no success"
if [ "$late" -gt 0 ]; then
    say "DRAIN is broken"
    exit 1
fi
say "DRAIN held"
