#!/usr/bin/env bash
# Short fault soaks with fixed seeds, see tests/fault_soak/soak.sh. Longer ones are started by hand: make fault-soak.
. "$(dirname "$0")/../../scripts/cluster.sh"
soak() { SEED=$1 ROUNDS=2 bash "$(dirname "$0")/../fault_soak/soak.sh"; }
check "seed 1" soak 1
check "seed 12" soak 12
finish_test
