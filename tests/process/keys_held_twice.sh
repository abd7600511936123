#!/usr/bin/env bash
# A new leader whose list is older than the grants that it takes over takes a holder for ended, since the list shows the former
# server of the holder's address, and grants its keys to a third server while the holder still has them.
LINKED=1
STORE_ENDPOINTS=4
. "$(dirname "$0")/../../scripts/cluster.sh"
LAPSE_MS=1500    # until the entries of servers that were killed are gone
COPY_LAG_MS=6000 # age of the copies that the store answers starting nodes from
SLOW_MS=${SLOW_MS:-80}  # the store's answers, so that a starting node has its list before it leads
HOLDS_OVER_S=6    # after which no hold of before is left
PLAYS=${PLAYS:-2} # of each kind
REUSED=(m1 m2 m3 m4)

control() { curl -sf -X POST "http://$STORE/control?$1" >/dev/null; }
started_id() { jq -r 'select(.event=="start").server' "$WORK/server-$1.json" | tail -1; } # NAME
is_granted() { # NAME: whether the server's present incarnation has keys
    jq -e -s --arg id "$(started_id "$1")" 'any(.event=="grant" and .server==$id)' "$WORK/server-$1.json" >/dev/null
}
are_granted() { local name; for name in "${REUSED[@]}"; do is_granted "$name" || return 1; done; }
# Servers are killed, others start at their addresses while their entries are still listed, and get keys.
use_addresses_again() {
    local name
    for name in "${REUSED[@]}"; do cluster_kill_server "$name"; done
    for name in "${REUSED[@]}"; do cluster_server_again "$name"; done
    until_true are_granted
}
has_leader() { leader >/dev/null; }
kill_leader() { # sets LEADER
    LEADER=$(leader)
    kill -KILL "${NODE_PIDS[$LEADER]}"
    wait "${NODE_PIDS[$LEADER]}" 2>/dev/null
}
settle() {
    until_true serves_all_keys 1
    sleep "$HOLDS_OVER_S"
}
# The leader is killed and starts again at once. It takes its own lock, with a list from a copy of the store.
play_restarted_leader() {
    use_addresses_again
    control "slow=$SLOW_MS"
    kill_leader
    start_node "$LEADER"
    until_true has_leader
    control "slow=0"
    settle
}
# The others hear neither the store nor the leader when the servers start, and the next leader's reads of the list get no answer
# in time.
play_other_leader() {
    local node former
    until_true has_leader
    former=$(leader)
    for node in $(others_than_leader "$former"); do
        link cut "n$node" "n$former"
        control "endpoint=$((node + 1))&down=60000&how=busy"
    done
    use_addresses_again
    control "list-slow=3000"
    kill_leader
    for node in $(others_than_leader "$former"); do control "endpoint=$((node + 1))&down=1&how=busy"; done
    until_true has_leader
    sleep 1
    control "list-slow=0"
    link heal
    start_node "$former"
    settle
}
others_than_leader() { local node; for node in "${!NODE_PIDS[@]}"; do [ "$node" = "$1" ] || echo "$node"; done; }
held_twice() { cluster_check >"$WORK/verdict"; grep "^HELD" "$WORK/verdict"; }

standard_cluster 3
control "lapse=$LAPSE_MS&copy-lag=$COPY_LAG_MS"
sleep 2 # the copies show these servers
for _ in $(seq 1 "$PLAYS"); do play_restarted_leader; done
[ "${ONLY_RESTARTED:-}" = 1 ] || for _ in $(seq 1 "$PLAYS"); do play_other_leader; done
cluster_callers after --rate 40 --count 40
check "no two servers held the same keys, however the leader changed" [ -z "$(held_twice | tee /dev/stderr)" ]
check "all keys are served" serves_all_keys 1
check "the leader changed as often as it was killed" at_least "$(cat "$WORK"/node*.log | grep -c "leadership taken")" $((2 * PLAYS + 1))
check "records agree" cluster_check
finish_test
