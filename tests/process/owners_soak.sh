#!/usr/bin/env bash
# Short soak with a fixed seed: owners change while lists lag, addresses are used again and leaders change in a row, see
# tests/fault_soak/owners_soak.sh. Longer soaks are started by hand.
. "$(dirname "$0")/../../scripts/cluster.sh"
soak() { SEED=$1 ROUNDS=1 bash "$(dirname "$0")/../fault_soak/owners_soak.sh"; }
check "seed 1" soak 1
finish_test
