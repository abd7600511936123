#!/usr/bin/env bash
# The store is down for six seconds and answers nothing: requests are still served, and owners keep their keys.
. "$(dirname "$0")/../../scripts/cluster.sh"
standard_cluster 3
curl -sf -X POST "http://$STORE/control?down=6000&how=silent" >/dev/null
cluster_callers down --rate 80 --count 640
check "all but a few requests are answered" at_least "$(sum_of down s200)" 630
until_true leader
cluster_wait_served
curl -sf -X POST "http://$STORE/control?lose=3&late=2" >/dev/null
cluster_callers lost --rate 80 --count 320
check "all but a few requests are answered while answers of the store are lost or late" at_least "$(sum_of lost s200)" 310
check "records agree" cluster_check
finish_test
