#!/usr/bin/env bash
# RECOVER: another writer leaves entries in the list of servers whose bytes can't be read, and then all processes are killed. Exit
# codes: 1 broken, 0 held, 2 not run. TROUBLE=0: the same without these entries.
CASE=$(cd "$(dirname "$0")" && pwd)
. "$CASE/../lib.sh"
FOREIGN=60 # entries of the other writer, next to one another in the list; cw-store sends 50 items in one answer

start_relay() { # the nodes reach the store through it; it turns UNREADABLE into bytes that are no text
    build/review/unreadable-relay "$NET.251" "${STORE%:*}" "${STORE##*:}" >"$WORK/relay.out" &
    PIDS+=("$!")
    wait_for 5 grep -q port "$WORK/relay.out" || give_up "no relay"
    NODE_STORE="$NET.251:$(awk '{print $2}' "$WORK/relay.out")"
}
create_foreign_entries() {
    local i
    for i in $(seq -w 1 "$FOREIGN"); do
        store_object servers "load-test-$i" '{"note":"UNREADABLE"}' >/dev/null || give_up "the store does not take a foreign entry"
    done
    say "another writer has created $FOREIGN entries, load-test-01 to load-test-$FOREIGN, with bytes that can't be read"
}
send_requests() { # NAME COUNT: sets SERVED to the number of requests that were served
    build/cw-callers --nodes "$ADDRESSES" --name "$1" --kind "dock.example,/docks/,GET,2000,1" --kind "dock.example,/unlock/,POST,1200,0" \
        --rate 50 --count "$2" >"$WORK/callers-$1.json"
    SERVED=$(tail -n 1 "$WORK/callers-$1.json" | jq -r '.s200 // 0')
    jq -r 'select(.event=="end")|"sent: \(.id) \(.method), answered: \(.status)"' "$WORK/callers-$1.json" >>"$RECORD"
    say "requests $1: $SERVED of $2 served; $(tail -n 1 "$WORK/callers-$1.json")"
}

begin
start_store
start_relay
configure
start_servers dockmap 14 --keyed --work-ms 20
start_servers hiresvc 6 --work-ms 20
start_servers refundsvc 7 --work-ms 20
start_nodes
wait_for 20 are_ready || give_up "the nodes are not ready"
sleep 3
send_requests before 300
before=$SERVED
[ "$TROUBLE" = 0 ] || create_foreign_entries
sleep 3
send_requests beside 200
for n in $(seq 1 "$NODES"); do kill -KILL "${NODE_PIDS[$n]}"; done
wait "${NODE_PIDS[@]}" 2>/dev/null
say "all $NODES processes of the system were killed"
for n in $(seq 1 "$NODES"); do start_node "$n"; done
say "all are back"
sleep "$((RECOVERY_S + 1))"
send_requests after 300
listed=$(for n in $(seq 1 "$NODES"); do curl -s -m 1 "http://$NET.$n:8542/status" | jq '.servers | length'; done | xargs)
cat "$WORK"/server-*.json | jq -r 'select(.event=="run")|"ran: \(.id) at \(.server)"' >>"$RECORD"
say "servers in the lists of the nodes: $listed"
if [ $((before * 4)) -lt 300 ]; then give_up "less than a quarter was served before"; fi
if [ $((SERVED * 4)) -lt 300 ]; then
    say "RECOVER is broken"
    exit 1
fi
say "RECOVER held"
