#!/usr/bin/env bash
# Planned restart of every node, one after the other, under load: no request that was sent is left without an answer.
set -u
cd "$(dirname "$0")/../.." || exit 2
. scripts/process_test.sh

start_test
configure_test
wait_for "every range to be owned" 20 every_range_owned 1
start_load 18
for node in 1 2 3 4 5 6; do
    check "node $node restarts as planned" restart_node "$node"
done
wait_load
check "nothing was cut off" cut_off_nothing
check "the records show no violation" evidence
finish_test
