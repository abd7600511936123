#!/usr/bin/env bash
# Ownership under faults of separate processes: kills, freezes and an outage of the store, with the servers' execution
# records as evidence. What must hold: one owner of a key at a time, fences never go down, each non-repeatable request
# runs at most once, refusals are true, answers are the caller's own.
set -u
cd "$(dirname "$0")/../.." || exit 2
. scripts/process_test.sh

start_test
configure_test
leader=$(leader_node 6)
standby=$((leader % 3 + 1))
start_load 24

# A server that is lost, then back as a new incarnation.
end_process liffeyspoke-map-1 KILL
check "a killed server's ranges move" wait_for "ranges off map s1" 15 owns_nothing 6 map s1
start_backend liffeyspoke map 1 a --slots 2 --service-ms 3 --cold-ms 5

# A server that freezes past its lease and comes back believing that it owns its keys.
signal_process liffeyspoke-unlocks-2 STOP
check "a frozen server's ranges move" wait_for "ranges off unlocks s2" 15 owns_nothing 6 unlocks s2
signal_process liffeyspoke-unlocks-2 CONT

# The leader is lost while the store does not answer.
platform_faults '{"mode":"hang"}'
end_process "node$leader" KILL
check "a new leader is elected without the store" wait_for "another leader" 15 leader_node "$standby"
end_process liffeyspoke-map-2 KILL
check "ranges move while the store is down" wait_for "ranges off map s2" 15 owns_nothing "$standby" map s2
platform_faults '{"mode":"ok"}'

# A node that freezes and comes back.
frozen=5
signal_process "node$frozen" STOP
check "its servers stay owned and answer" wait_for "an answer through another node" 15 key_answered 6 liffeyspoke map k7
signal_process "node$frozen" CONT
check "the frozen node is ready again" wait_for "node $frozen" 15 node_ready "$frozen"
start_node "$leader"
check "the restarted node is ready again" wait_for "node $leader" 20 node_ready "$leader"

wait_load
check "every key answers at the end" wait_for "an answer" 15 key_answered 6 liffeyspoke map k1
check "the records show no violation" evidence
finish_test
