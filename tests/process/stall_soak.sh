#!/usr/bin/env bash
# Short soak with a fixed seed: nodes stand still and restart while callers leave and versions follow one another, see
# tests/fault_soak/stall_soak.sh. The bound for versions leaves time for a busy machine; longer soaks are started by hand.
. "$(dirname "$0")/../../scripts/cluster.sh"
soak() { SEED=$1 ROUNDS=1 NEWEST_MS=6000 bash "$(dirname "$0")/../fault_soak/stall_soak.sh"; }
check "seed 2" soak 2
finish_test
