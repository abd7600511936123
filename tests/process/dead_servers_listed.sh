#!/usr/bin/env bash
# Two servers are killed and their entries stay in the list. Their keys must move to live servers, although the dead ones
# appear idle. The limit of polls, a second apart, allows for a hold (5 s) and as long again.
. "$(dirname "$0")/../../scripts/cluster.sh"
standard_cluster 3
served() {
    local key
    for key in $(seq 0 4096 65535); do
        curl -sf -m 1 "http://$NET.1:8080/docks/x" -H 'Host: maps.example' -H "X-Shard-Key: $key" \
            -H "X-Request-Id: dead-$key-$RANDOM$RANDOM" -H 'X-Deadline-Ms: 800' >/dev/null || return 1
    done
}
served_within() { # POLLS, a second apart
    local polls=$1
    until served; do
        polls=$((polls - 1))
        [ "$polls" -gt 0 ] || return 1
        sleep 1
    done
}
check "all keys are served before" served_within 5
kill -KILL "${SERVER_PIDS[m1]}" "${SERVER_PIDS[m4]}"
check "all keys are served after two servers were killed" served_within 12
finish_test
