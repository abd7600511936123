#!/usr/bin/env bash
# The store never answers watches of the configuration, while their connections stay open: a reader has to detect that by
# itself. Each change is in force everywhere within a few times its bound (2 s), far below the time (26 s) for which the
# store may hold a call.
. "$(dirname "$0")/../../scripts/cluster.sh"
standard_cluster 4
versions() { local n; for n in 1 2 3 4; do curl -sf "http://$NET.$n:8081/metrics" | awk '/^cedarwinch_configuration_version/ {print $2}'; done | sort -u | xargs; }
all_have() { [ "$(versions)" = "$1" ]; }
control() { curl -sf -X POST "http://$STORE/control?$1" >/dev/null; }
in_force_within() { # SECONDS VERSION
    timeout "$1" bash -c "$(declare -f versions all_have until_true); NET=$NET; until_true all_have $2"
}
sleep 4 # a process that has just started is no reader
control mute=1
cluster_configure "$(configuration 2)"
check "a change is in force while the store answers no watch" in_force_within 8 2
control mute=0
cluster_configure "$(configuration 3)"
check "a change is in force when the store answers watches again" in_force_within 8 3
killed=$(leader)
control mute=1
kill -KILL "${NODE_PIDS[$killed]}"
start_node "$killed"
cluster_configure "$(configuration 4)"
check "a change is in force while there is no leader" in_force_within 8 4
control mute=0
finish_test
