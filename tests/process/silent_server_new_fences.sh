#!/usr/bin/env bash
# Guards against grants that are new to a server and are taken late: a server stands still for longer than its hold, gets grants
# with one new fence after the other, which lie in its socket, and takes them all as it goes on, after others have had its keys.
. "$(dirname "$0")/../../scripts/cluster.sh"
STOPPED_S=8 # longer than a hold (5 s)
NEXT=6      # number of the newest server

has_keys() { jq -e -s 'any(.event=="grant")' "$WORK/server-$1.json" >/dev/null; } # NAME
stop_servers() { local name; for name in "$@"; do kill -STOP "${SERVER_PIDS[$name]}"; done; }
continue_servers() { local name; for name in "$@"; do kill -CONT "${SERVER_PIDS[$name]}"; done; }
# A new server gets keys, another one leaves: both move ranges of others.
move_keys() { # NAME: the server that leaves
    NEXT=$((NEXT + 1))
    cluster_server "m$NEXT" --service maps --zone "z$((NEXT % 3 + 1))" --keyed --work-ms 15
    kill -TERM "${SERVER_PIDS[$1]}"
}
play() { # LEAVING SILENT...
    local leaving=$1
    shift
    stop_servers "$@"
    sleep 1
    move_keys "$leaving"
    sleep $((STOPPED_S - 1))
    continue_servers "$@"
    until_true serves_all_keys 1
    sleep 1
}
new_fences() { cluster_check >"$WORK/verdict"; grep "^FENCE" "$WORK/verdict"; }

standard_cluster 3
for i in 1 2 3 4 5 6; do until_true has_keys "m$i"; done
cluster_callers during --rate 60 --count 1800 &
callers=$!
play m6 m1 m2
play m5 m1 m3
play m4 m2
wait "$callers"
check "no server takes a late grant with a fence that is new to it" [ -z "$(new_fences | tee /dev/stderr)" ]
check "all keys are served" serves_all_keys 1
check "records agree ($(tail -2 "$WORK/verdict" | paste -sd' '))" cluster_check
finish_test
