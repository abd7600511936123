#!/usr/bin/env bash
# Short soak with a fixed seed: servers that own keys stand still or answer no orders, while leaders are lost and owners change,
# see tests/fault_soak/orders_soak.sh. Longer soaks are started by hand.
. "$(dirname "$0")/../../scripts/cluster.sh"
soak() { SEED=$1 ROUNDS=1 bash "$(dirname "$0")/../fault_soak/orders_soak.sh"; }
check "seed 4" soak 4
finish_test
