#!/usr/bin/env bash
# UNASKED: requests that are hidden in the bodies of other requests run at servers. Exit codes: 1 broken, 0 held, 2 not run.
# TROUBLE=0: the same requests and bodies, framed properly.
CASE=$(cd "$(dirname "$0")" && pwd)
. "$CASE/lib.sh"
RECORD=$CASE/unasked.txt
REQUESTS=10 # with a hidden request each
SERVERS=6   # of hiresvc

start_lenient_server() { # NUMBER
    build/review/lenient-server "$NET.100" "i-0000000$1" >"$WORK/server$1.out" &
    PIDS+=("$!")
    wait_for 5 grep -q port "$WORK/server$1.out" || give_up "no server $1"
}
entry() { # NUMBER SEQUENCE: what a server writes into the store
    echo "{\"service\":\"hiresvc\",\"address\":\"$NET.100:$(awk '/^port/ {print $2}' "$WORK/server$1.out")\",\"zone\":\"${ZONES[$((($1 - 1) % 3))]}\",\"version\":\"v1\",\"capacity\":2,\"state\":\"ready\",\"cold_ms\":0,\"sequence\":$2,\"born\":$BORN}"
}
heartbeats() {
    local sequence=1 i
    while sleep 1.3; do
        sequence=$((sequence + 1))
        for i in $(seq 1 "$SERVERS"); do
            curl -s -m 1 -X PUT "http://$STORE/api/objects/servers/i-0000000$i" \
                -d "{\"metadata\":{\"name\":\"i-0000000$i\"},\"spec\":$(entry "$i" "$sequence")}" >/dev/null
        done
    done
}
serves() { # NODE
    curl -sf -m 2 -X POST "http://$NET.$1:8548/unlock/first" -H 'Host: dock.example' -H "X-Request-Id: sent-first-$1-$RANDOM$RANDOM" \
        -H 'X-Deadline-Ms: 1200' -d first
}
# Sends one request to a node on a connection of its own. Its chunked body holds the text of another request.
send_request() { # NODE NUMBER
    local hidden body field="Transfer-Encoding" answer
    [ "$TROUBLE" = 0 ] || field="Transfer-Encoding " # a blank before the colon
    hidden="POST /unlock/hidden HTTP/1.1\r\nHost: dock.example\r\nX-Request-Id: hidden-$2\r\nContent-Length: 0\r\n\r\n"
    body="0\r\n\r\n$hidden"
    exec 3<>"/dev/tcp/$NET.$1/8548" || return 1
    printf "POST /unlock/dock HTTP/1.1\r\nHost: dock.example\r\nX-Request-Id: sent-%s\r\nX-Deadline-Ms: 1200\r\n%s: chunked\r\n\r\n%x\r\n$body\r\n0\r\n\r\n" \
        "$2" "$field" "$(printf "$body" | wc -c)" >&3
    answer=$(timeout 2 head -n 1 <&3 | tr -d '\r')
    exec 3>&-
    say "sent sent-$2 to node $1, $field: chunked; answered: ${answer:-nothing}"
}

begin
BORN=$(date +%s%3N)
start_store
configure
start_servers dockmap 14 --keyed --work-ms 20
for i in $(seq 1 "$SERVERS"); do
    start_lenient_server "$i"
    store_object servers "i-0000000$i" "$(entry "$i" 1)" >/dev/null || give_up "the store does not take a server's entry"
done
heartbeats &
PIDS+=("$!")
start_nodes
wait_for 20 are_ready || give_up "the nodes are not ready"
for n in $(seq 1 "$NODES"); do wait_for 10 serves "$n" || give_up "node $n serves nothing"; done
for i in $(seq 1 "$REQUESTS"); do send_request "$((i % NODES + 1))" "$i"; done
sleep 2
grep -h '^run sent-[0-9]' "$WORK"/server*.out | sed 's/^/ran: /' >>"$RECORD"
grep -h '^run hidden-' "$WORK"/server*.out | sed 's/^/ran, though no client sent it: /' >>"$RECORD"
ran=$(cat "$WORK"/server*.out | grep -c '^run sent-[0-9]')
hidden=$(cat "$WORK"/server*.out | grep -c '^run hidden-')
say "of $REQUESTS requests servers ran $ran, and $hidden that were hidden in their bodies"
if [ "$hidden" -gt 0 ]; then
    say "UNASKED is broken"
    exit 1
fi
[ "$TROUBLE" != 0 ] || [ "$ran" = "$REQUESTS" ] || give_up "without the disruption not all requests ran"
say "UNASKED held"
