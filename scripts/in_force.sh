#!/usr/bin/env bash
# Measures how long an accepted configuration takes until every node reports it in force, which it does with its next
# heartbeat. Not part of the tests: these are absolute times.
set -u
cd "$(dirname "$0")/.." || exit 2
. scripts/process_test.sh

ROUNDS=${ROUNDS:-10}

now_ms() {
    awk '{ printf "%.0f", $1 * 1000 }' /proc/uptime
}

# make_plan FILE: prints the plan's id.
make_plan() {
    command_line 2 liffeyspoke-operator --json plan "$1" | grep -oE '"plan": *"[^"]+"' | cut -d'"' -f4
}

start_test
configure_test
longest=0
for round in $(seq 1 "$ROUNDS"); do
    sed "s/timeout_ms: 1000/timeout_ms: $((1000 + round))/" "$CLUSTER_DIR/intent/liffeyspoke.yaml" >"$CLUSTER_DIR/intent/round.yaml"
    plan=$(make_plan "$CLUSTER_DIR/intent/round.yaml")
    began=$(now_ms)
    command_line 2 liffeyspoke-operator confirm "$plan" >/dev/null || exit 1
    accepted=$(now_ms)
    wait_for "version in force" 20 in_force_everywhere 6 || exit 1
    ended=$(now_ms)
    echo "round $round: accepted after $((accepted - began)) ms, reported in force by all nodes after $((ended - began)) ms"
    [ $((ended - began)) -le "$longest" ] || longest=$((ended - began))
done
echo "longest: $longest ms"
