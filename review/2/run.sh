#!/usr/bin/env bash
# DRAIN: another writer leaves an entry in the list of servers whose bytes can't be read; the store forgets its history; then servers
# leave. At the end all processes are killed and start again (RECOVER). Exit codes: 1 DRAIN is broken, 0 it held, 2 not run.
# TROUBLE=0: the same without the other writer's entry.
CASE=$(cd "$(dirname "$0")" && pwd)
. "$CASE/../lib.sh"
FOREIGN=${FOREIGN:-1} # entries of the other writer, next to one another in the list
FOREIGN_BYTES=${FOREIGN_BYTES:-1048300} # of each that can't be read; the entry as a whole has `value-bytes` (1,048,576) at most
PAGE=${PAGE:-500} # items in one answer of the store at most; the relay ends it at 1 MB besides
LEAVING=4       # of the servers of hiresvc, which has STAYING more
STAYING=4
DRAIN_MS=2000   # bound `drain-s`
CONTACT_S=3     # bound `contact-s`
SERVE_ON_S=3.5  # how long a server that leaves serves on: drain-s and a little longer
RATE=12         # requests a second at each node
TRAFFIC_S=20    # how long requests are sent before the final fault

monotonic_ms() { awk '{printf "%d", $1 * 1000}' /proc/uptime; }
start_relay() { # the nodes reach the store through it; it turns UNREADABLE into bytes that are no text
    build/review/unreadable-relay "$NET.251" "${STORE%:*}" "${STORE##*:}" "$FOREIGN_BYTES" >"$WORK/relay.out" &
    PIDS+=("$!")
    wait_for 5 grep -q port "$WORK/relay.out" || give_up "no relay"
    NODE_STORE="$NET.251:$(awk '{print $2}' "$WORK/relay.out")"
}
create_foreign_entries() {
    local i
    for i in $(seq -w 1 "$FOREIGN"); do
        store_object servers "benchmark-$i" '{"note":"UNREADABLE"}' >/dev/null || give_up "the store does not take a foreign entry"
    done
    say "another writer leaves in the list (entries, bytes of each that can't be read): $FOREIGN, $FOREIGN_BYTES"
}
control() { curl -sf -m 1 -X POST "http://$STORE/control?$1" >/dev/null || give_up "the store refuses $1"; }
start_lenient_server() { # NUMBER
    build/review/lenient-server "$NET.100" "i-0000000$1" >"$WORK/server$1.out" &
    SERVER_PIDS[$1]=$!
    PIDS+=("$!")
    disown "$!"
    wait_for 5 grep -q port "$WORK/server$1.out" || give_up "no server $1"
}
put_entry() { # METHOD NUMBER SEQUENCE STATE: a server writes its entry into the store
    local path=servers address spec
    [ "$1" = POST ] || path="servers/i-0000000$2"
    address="$NET.100:$(awk '/^port/ {print $2}' "$WORK/server$2.out")"
    spec="{\"service\":\"hiresvc\",\"address\":\"$address\",\"zone\":\"${ZONES[$((($2 - 1) % 3))]}\",\"version\":\"v1\",\"capacity\":2"
    spec="$spec,\"state\":\"$4\",\"cold_ms\":0,\"sequence\":$3,\"born\":$BORN}"
    curl -sf -m 1 -X "$1" "http://$STORE/api/objects/$path" -d "{\"metadata\":{\"name\":\"i-0000000$2\"},\"spec\":$spec}" >/dev/null
}
heartbeats() { # NUMBER: until the file that says that the server leaves exists
    local sequence=1
    while sleep 1.3 && [ ! -e "$WORK/leaves$1" ]; do
        sequence=$((sequence + 1))
        put_entry PUT "$1" "$sequence" ready
    done
}
leave() { # NUMBER: the server states that it is draining, serves on and ends; then its entry goes
    touch "$WORK/leaves$1"
    sleep 0.1 # a heartbeat that has begun
    put_entry PUT "$1" 1000 draining || give_up "the store does not take a server's state"
    echo "$1 $(monotonic_ms)" >>"$WORK/left"
    say "server i-0000000$1 leaves: the store has acknowledged its state draining at $(awk 'END {print $2}' "$WORK/left") ms"
    (sleep "$SERVE_ON_S"; kill -KILL "${SERVER_PIDS[$1]}"; curl -s -m 1 -X DELETE "http://$STORE/api/objects/servers/i-0000000$1") \
        >/dev/null &
    PIDS+=("$!")
}
listed() { # prints how many servers each node lists, and how many of them as draining
    local n
    for n in $(seq 1 "$NODES"); do
        curl -s -m 1 "http://$NET.$n:8542/status" | jq -r '"\(.servers | length)/\([.servers[] | select(.draining)] | length)"'
    done | xargs
}
send_requests() { # NAME COUNT: sets SERVED to the number of requests that were served
    build/cw-callers --nodes "$ADDRESSES" --name "$1" --kind "dock.example,/docks/,GET,2000,1" --kind "dock.example,/unlock/,POST,1200,0" \
        --rate 50 --count "$2" >"$WORK/callers-$1.json"
    SERVED=$(tail -n 1 "$WORK/callers-$1.json" | jq -r '.s200 // 0')
    say "requests $1 the final fault: $SERVED of $2 served"
}

record_answers() { # NAMES: of the callers, as patterns
    local name
    for name in "$@"; do
        cat "$WORK"/callers-$name.json | jq -r 'select(.event=="end")|"sent: \(.id) \(.method), answered: \(.status)"' >>"$RECORD"
    done
}

begin
BORN=$(date +%s%3N) SERVER_PIDS=() CALLERS=()
start_store
start_relay
configure
start_servers dockmap 14 --keyed --work-ms 20
for i in $(seq 1 "$((STAYING + LEAVING))"); do
    start_lenient_server "$i"
    put_entry POST "$i" 1 ready || give_up "the store does not take a server's entry"
    heartbeats "$i" &
    PIDS+=("$!")
done
start_nodes
wait_for 20 are_ready || give_up "the nodes are not ready"
sleep 3
send_requests before 200
[ "$SERVED" -ge 150 ] || give_up "too few requests were served before"
[ "$TROUBLE" = 0 ] || create_foreign_entries
sleep 1
control mute=1
sleep 1
put_entry PUT 1 500 ready # a change that the watches miss
control "mute=0&forget=1"
say "the store has forgotten its history; watches get 410"
for n in $(seq 1 "$NODES"); do
    build/cw-callers --nodes "$NET.$n:8548" --name "node$n" --kind "dock.example,/unlock/,POST,1200,0" --rate "$RATE" \
        --count "$((RATE * TRAFFIC_S))" >"$WORK/callers-$n.json" &
    CALLERS+=("$!")
    PIDS+=("$!")
done
sleep "$((CONTACT_S + 4))"
say "listed by the nodes (of these draining): $(listed)"
for i in $(seq 1 "$LEAVING"); do
    leave "$i"
    sleep 0.7
done
wait "${CALLERS[@]}"
say "listed by the nodes (of these draining): $(listed)"
record_answers before [0-9]
while read -r number acknowledged; do
    awk -v until="$((acknowledged + DRAIN_MS))" -v ack="$acknowledged" -v server="i-0000000$number" '/^run node/ && $6 > until {
            printf "late: request %s reached server %s at %d ms, %d ms after the acknowledgement\n", $2, server, $6, $6 - ack}' \
        "$WORK/server$number.out" >>"$WORK/late"
done <"$WORK/left"
cat "$WORK/late" >>"$RECORD"
late=$(wc -l <"$WORK/late")
cat "$WORK"/callers-[0-9].json | jq -r 'select(.event=="end" and .status==200).id' >"$WORK/served"
lost=$(awk '{print $3}' "$WORK/late" | grep -cvxFf "$WORK/served")
for n in $(seq 1 "$NODES"); do kill -KILL "${NODE_PIDS[$n]}"; done
wait "${NODE_PIDS[@]}" 2>/dev/null
say "final fault: all $NODES processes of the system were killed"
for n in $(seq 1 "$NODES"); do start_node "$n"; done
sleep "$((RECOVERY_S + 1))"
send_requests after 200
record_answers after
for i in $(seq 1 "$((STAYING + LEAVING))"); do
    sed -n "s/^run /ran: /; s/\$/ ms, at server i-0000000$i/p" "$WORK/server$i.out" | grep '^ran:' >>"$RECORD"
done
cat "$WORK"/server-*.json | jq -r 'select(.event=="run")|"ran: \(.id) at \(.server)"' >>"$RECORD"
say "listed by the nodes (of these draining): $(listed)"
[ "$((SERVED * 4))" -lt 200 ] && say "RECOVER is broken" || say "RECOVER held"
say "$late requests reached a server more than $DRAIN_MS ms after its leaving; $lost of these have run and got no success"
if [ "$late" -gt 0 ]; then
    say "DRAIN is broken"
    exit 1
fi
say "DRAIN held"
