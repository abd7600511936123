#!/usr/bin/env bash
# Scenario: what the journal costs, and what is saved by keeping only requests that a caller's own repetition cannot
# rebuild (Usui, Nishinaga, Kitatsuji, Yokota: "Restoring CSCF by Leveraging Feature of Retransmission Mechanism in
# Session Initiation Protocol"), against a journal of every request. One run holds both clusters, one after the other,
# under the mix of the users: nine reads to each write.
set -u

JOURNAL_READS=1800
JOURNAL_WRITES=200

# journal_mix NAME SETTINGS
journal_mix() {
    local nodes bytes messages sent
    cost_cluster "$2" || return 1
    nodes=$(processor_seconds node)
    bytes=$(bytes_written)
    messages=$(counter forwarder_journal_messages_total)
    sent=$(counter forwarder_sent_total)
    routed_load writes "$COST_SECONDS" writes "$JOURNAL_WRITES" POST "$COST_FIELDS" &
    routed_load reads "$COST_SECONDS" reads "$JOURNAL_READS" GET "$COST_FIELDS"
    wait $!
    nodes=$(calculate "$(processor_seconds node) - $nodes")
    bytes=$(calculate "$(bytes_written) - $bytes")
    messages=$(calculate "$(counter forwarder_journal_messages_total) - $messages")
    sent=$(calculate "$(counter forwarder_sent_total) - $sent")
    figure "$1: answered reads" "$(share_answered reads)" "share of requests"
    figure "$1: answered writes" "$(share_answered writes)" "share of requests"
    figure "$1: median of reads" "$(report reads .answered.p50_ms)" ms
    figure "$1: p99 of reads" "$(report reads .answered.p99_ms)" ms
    figure "$1: p99 of writes" "$(report writes .answered.p99_ms)" ms
    figure "$1: processor time" "$(calculate "$nodes * 1e6 / $sent")" "us/request"
    figure "$1: bytes written" "$(calculate "$bytes / $sent")" "bytes/request"
    figure "$1: messages" "$(calculate "$messages / $sent")" "messages/request"
    bench_end
}

scenario_journal() {
    local measure
    journal_mix "journal needed" "" || return 1
    journal_mix "journal all" "journal_everything: true
" || return 1
    for measure in "median of reads" "p99 of reads" "p99 of writes" "processor time" "bytes written" messages; do
        quotient "$measure, journal all / needed" "journal all: $measure" "journal needed: $measure" ratio
    done
}
