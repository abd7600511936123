#!/usr/bin/env bash
# Half of the traffic is for one key: the planner moves the other keys of its server to other servers, and no rule of
# ownership is violated. The time at which the moves begin is not checked.
. "$(dirname "$0")/../../scripts/cluster.sh"
WORK_MS=40 # long enough that one key with half of the traffic uses most of its server
standard_cluster 3
hot() { while :; do cluster_callers "hot$1" --rate 130 --count 650 --hot 50; set -- "$(($1 + 1))"; done; }
hot 1 &
PIDS+=("$!")
planned() { grep -q '"plan written"' "$WORK"/node*.log; }
until_true planned # on a busy machine an order without an answer delays moves by about 20 s
check "the planner moves ranges" planned
until_true grep -q '"sum"' "$WORK/callers-hot1.json"
check "nearly all requests are answered" at_least "$(sum_of hot1 s200)" 550
check "records agree" cluster_check
finish_test
