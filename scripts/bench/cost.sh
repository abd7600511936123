#!/usr/bin/env bash
# Scenario: many fast servers, so that the router's processor time is what is measured. The yardstick is the processor
# time that the servers themselves take for a request in the same run.
set -u

COST_SERVERS=6
COST_RATE=2000
COST_SECONDS=${BENCH_SECONDS:-8}
COST_FIELDS="keys=1000,timeout_ms=1000"

# cost_of NAME SERVICE METHOD: a run; sets figures of processor time, bytes and journal messages for each request.
cost_of() {
    local nodes servers bytes messages sent answered
    nodes=$(processor_seconds node)
    servers=$(processor_seconds "$BENCH_TENANT-")
    bytes=$(bytes_written)
    messages=$(counter forwarder_journal_messages_total)
    sent=$(counter forwarder_sent_total)
    routed_load cost "$COST_SECONDS" "$2" "$COST_RATE" "$3" "$COST_FIELDS"
    nodes=$(calculate "$(processor_seconds node) - $nodes")
    servers=$(calculate "$(processor_seconds "$BENCH_TENANT-") - $servers")
    bytes=$(calculate "$(bytes_written) - $bytes")
    messages=$(calculate "$(counter forwarder_journal_messages_total) - $messages")
    sent=$(calculate "$(counter forwarder_sent_total) - $sent")
    answered=$(share_answered cost)
    figure "$1: answered" "$answered" "share of requests"
    figure "$1: p50" "$(report cost .answered.p50_ms)" ms
    figure "$1: p99" "$(report cost .answered.p99_ms)" ms
    figure "$1: processor time of all nodes" "$(calculate "$nodes * 1e6 / $sent")" "us/request"
    figure "$1: processor time of the servers" "$(calculate "$servers * 1e6 / $sent")" "us/request"
    figure "$1: bytes written by all nodes" "$(calculate "$bytes / $sent")" "bytes/request"
    figure "$1: journal messages" "$(calculate "$messages / $sent")" "messages/request"
    quotient "$1: nodes / servers, processor time" "$1: processor time of all nodes" \
        "$1: processor time of the servers" ratio
}

# cost_cluster SETTINGS
cost_cluster() {
    bench_cluster 3 "$1" && start_service "$BENCH_TENANT" reads $COST_SERVERS 4 1 &&
        start_service "$BENCH_TENANT" writes $COST_SERVERS 4 1 || return 1
    intent_service "$BENCH_TENANT" reads $COST_SERVERS 4 110 0 1 1 1
    intent_service "$BENCH_TENANT" writes $COST_SERVERS 4 110 1 1 1 1
    bench_configure reads writes
}

# instructions KIND COUNT: of cw-journal, sending that many reads or writes.
instructions() {
    valgrind --tool=callgrind --callgrind-out-file=/dev/null "$CLUSTER_BUILD/cw-journal" "--$1" "$2" 2>&1 |
        awk '/Collected/ { print $NF }'
}

# Instructions of forwarder, journal replicas and messages for a request more, network and HTTP left out: repeatable.
measure_instructions() {
    local kind few many
    for kind in reads writes; do
        few=$(instructions $kind 1000)
        many=$(instructions $kind 2000)
        figure "$kind: instructions of forwarder and journal" "$(calculate "($many - $few) / 1000")" instructions/request
    done
}

scenario_cost() {
    measure_instructions
    cost_cluster "" || return 1
    cost_of "reads" reads GET
    cost_of "writes" writes POST
    figure "reads: requests a second for a core of node time" \
        "$(calculate "1e6 / ${FIGURE_VALUE[reads: processor time of all nodes]}")" "requests/s"
    quotient "writes / reads, processor time of the nodes" "writes: processor time of all nodes" \
        "reads: processor time of all nodes" ratio
    bench_end
}
