#!/usr/bin/env bash
# A run without faults: every request is answered completely, by the owner of its key, and none is executed twice.
. "$(dirname "$0")/../../scripts/cluster.sh"
standard_cluster 3
cluster_callers calm --rate 100 --count 600
check "all answered" at_least "$(sum_of calm s200)" 600
check "records agree" cluster_check
check "one leader" [ "$(leader | wc -l)" = 1 ]
check "no restart, no error text" [ ! -s "$WORK/node1.err" ]
finish_test
