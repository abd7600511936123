#!/usr/bin/env bash
# Short soak with a fixed seed: servers answer twice, turn requests away and cut answers off, beside servers, nodes and links in trouble, see
# tests/fault_soak/answers_soak.sh. Longer soaks are started by hand.
. "$(dirname "$0")/../../scripts/cluster.sh"
soak() { SEED=$1 ROUNDS=2 bash "$(dirname "$0")/../fault_soak/answers_soak.sh"; }
check "seed 2" soak 2
finish_test
