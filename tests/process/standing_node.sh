#!/usr/bin/env bash
# A node stands still (SIGSTOP) while callers send it requests. Guards against: after it goes on it sends requests to servers
# although their callers have closed their connections, or although their time is over.
. "$(dirname "$0")/../../scripts/cluster.sh"
CONNECTIONS=60 # two thirds used before, the others new
STALL_S=1.2
request() { # ID DEADLINE_MS
    printf 'POST /hire/x HTTP/1.1\r\nHost: maps.example\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %s\r\nContent-Length: 0\r\n\r\n' "$1" "$2"
}
# Reads an answer and prints its status. The answers of the stand-in servers have a Content-Length.
read_answer() { # FD
    local line status="" length=0
    while IFS= read -r -t 10 -u "$1" line; do
        line=${line%$'\r'}
        case ${line,,} in
        http/*) status=${line:9:3} ;;
        content-length:*) length=${line#*: } ;;
        "") break ;;
        esac
    done
    [ "$length" = 0 ] || IFS= read -r -t 10 -u "$1" -N "$length" line
    echo "$status"
}
# Counts the requests whose id begins so that a server has begun to run after the standstill.
runs_of() { cat "$WORK"/server-*.json | grep '"event":"run"' | grep -c "\"id\":\"$1-"; }

standard_cluster 3
port=8080
used=$((CONNECTIONS * 2 / 3))
declare -a callers
for i in $(seq 1 "$used"); do
    exec {fd}<>"/dev/tcp/$NET.1/$port"
    callers[i]=$fd
    request "before-$i" 5000 >&"$fd"
    read_answer "$fd" >>"$WORK/before"
done
check "requests before the standstill are answered" at_least "$(grep -c 200 "$WORK/before")" $((used - 2))
lost_before=$(grep -c '"peer lost"' "$WORK/node1.log")
kill -STOP "${NODE_PIDS[1]}"
for i in $(seq $((used + 1)) "$CONNECTIONS"); do
    exec {fd}<>"/dev/tcp/$NET.1/$port"
    callers[i]=$fd
done
for i in $(seq 1 "$CONNECTIONS"); do
    case $((i % 3)) in
    0) request "leave-$i" 5000 >&"${callers[$i]}" ;;
    1) request "brief-$i" 300 >&"${callers[$i]}" ;;
    2) request "stay-$i" 10000 >&"${callers[$i]}" ;;
    esac
done
for i in $(seq 3 3 "$CONNECTIONS"); do eval "exec ${callers[$i]}>&-"; done
sleep "$STALL_S"
kill -CONT "${NODE_PIDS[1]}"
for i in $(seq 1 "$CONNECTIONS"); do
    [ $((i % 3)) = 1 ] && read_answer "${callers[$i]}" >>"$WORK/brief"
    [ $((i % 3)) = 2 ] && read_answer "${callers[$i]}" >>"$WORK/stay"
done
check "no request runs whose caller has left" at_most "$(runs_of leave)" 0
check "no request runs whose time is over" at_most "$(runs_of brief)" 0
check "those are refused with 503" at_least "$(grep -c 503 "$WORK/brief")" $((CONNECTIONS / 3))
check "requests with time left are answered" at_least "$(grep -c 200 "$WORK/stay")" $((CONNECTIONS / 3))
check "the node does not take the others for lost" at_most "$(grep -c '"peer lost"' "$WORK/node1.log")" "$lost_before"
check "the node tells that it stood still" grep -q '"loop stalled"' "$WORK/node1.log"
finish_test
