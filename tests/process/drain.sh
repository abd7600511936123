#!/usr/bin/env bash
# Planned stops of separate processes under load: a server and a node that leave cut off nothing in flight, and a
# leaving server gets no new work.
set -u
cd "$(dirname "$0")/../.." || exit 2
. scripts/process_test.sh

# starts_after FILE REAL_US: executions begun after a moment.
starts_after() {
    grep '"event": *"start"' "$1" | grep -oE '"real_us": *[0-9]+' | grep -oE '[0-9]+$' | awk -v from="$2" '$1 > from' | wc -l
}

monotonic_us() {
    awk '{ printf "%.0f", $1 * 1000000 }' /proc/uptime
}

start_test
configure_test
start_load 14

# A server leaves by its own word.
check "a leaving server ends by itself" end_process liffeyspoke-map-3 TERM
check "its ranges are elsewhere" wait_for "ranges off map s3" 10 owns_nothing 6 map s3

# A server is emptied by its operator and gets no new work once it is empty.
check "the operator's drain is accepted" command_line 2 liffeyspoke-operator drain liffeyspoke/unlocks/s1
check "the drained server owns nothing" wait_for "ranges off unlocks s1" 10 owns_nothing 6 unlocks s1
emptied=$(monotonic_us)

# A node leaves: it hands over its servers, its journal entries and its vote, and exits 0.
leader=$(leader_node 6)
leaving=$((leader % 3 + 1))
check "a leaving voter exits 0" end_process "node$leaving" TERM
leader=$(leader_node 6)
check "a leaving leader exits 0" end_process "node$leader" TERM
check "another node leads" wait_for "another leader" 15 leader_node 6

wait_load
check "no request was cut off" cut_off_nothing
check "the drained server got no new work" test "$(starts_after "$CLUSTER_DIR/record/liffeyspoke-unlocks-1.jsonl" "$emptied")" = 0
check "the records show no violation" evidence
finish_test
