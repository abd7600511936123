#!/usr/bin/env bash
# Loss of a whole zone at once, with the store down: two of six nodes (one of them a voter, the leader where it falls
# so) and the zone's servers are killed at the same moment. Ownership must move without the store, the configuration
# must stay, and the records must show no violation.
set -u
cd "$(dirname "$0")/../.." || exit 2
. scripts/process_test.sh

ZONE_SERVERS="liffeyspoke-map-1 liffeyspoke-map-4 liffeyspoke-unlocks-1 liffeyspoke-unlocks-4"

# lose_zone_a: kills first, waits afterwards, so that all are gone at the same moment.
lose_zone_a() {
    local name
    for name in $ZONE_SERVERS node1 node4; do
        signal_process "$name" KILL
    done
    for name in $ZONE_SERVERS node1 node4; do
        wait "${CLUSTER_PIDS[$name]}" 2>/dev/null
        unset "CLUSTER_PIDS[$name]"
    done
}

zone_owns_nothing() {
    owns_nothing 6 map s1 && owns_nothing 6 map s4 && owns_nothing 6 unlocks s1 && owns_nothing 6 unlocks s4
}

every_range_confirmed() {
    command_line 6 "$ADMINISTRATOR_TOKEN" status | awk '$1 == "service" { all += $3; confirmed += $5 }
        END { exit !(all > 0 && all == confirmed) }'
}

# answers_after REAL_US: answered requests that were sent after a moment.
answers_after() {
    grep '"outcome":"answered"' "$CLUSTER_DIR/load.jsonl" | grep -oE '"sent_us":[0-9]+' | cut -d: -f2 |
        awk -v from="$1" '$1 > from' | wc -l
}

start_test
configure_test
start_load 16
wait_for "load" 10 test -s "$CLUSTER_DIR/load.jsonl"
platform_faults '{"mode":"hang"}'
lose_zone_a
check "the zone's ranges move" wait_for "ranges off zone a" 20 zone_owns_nothing
check "every range is owned and confirmed" wait_for "ranges confirmed" 20 every_range_confirmed
moved=$(awk '{ printf "%.0f", $1 * 1000000 }' /proc/uptime)
check "reads are answered" wait_for "an answer" 10 key_answered 6 liffeyspoke map k1
check "non-repeatable requests are answered" wait_for "an unlock" 20 key_unlocked 6 k1
platform_faults '{"mode":"ok"}'
wait_load
check "callers were served after the move" test "$(answers_after "$moved")" -gt 0
check "the records show no violation" evidence
finish_test
