#!/usr/bin/env bash
# Short soak with a fixed seed: nodes lose their paths to all servers beside restarts, leaving servers and versions, see
# tests/fault_soak/paths_soak.sh. Longer soaks are started by hand.
. "$(dirname "$0")/../../scripts/cluster.sh"
soak() { SEED=$1 ROUNDS=3 bash "$(dirname "$0")/../fault_soak/paths_soak.sh"; }
check "seed 3" soak 3
finish_test
