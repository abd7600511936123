#!/usr/bin/env bash
# Watches of the configuration that the store never answers, on connections that stay open: a reader must find out by
# itself. Each change is in force everywhere within a few times its bound (2 s), far below the time (26 s) that a call may
# be held by the store.
. "$(dirname "$0")/../../scripts/cluster.sh"
usual_cluster 4
versions() { local n; for n in 1 2 3 4; do curl -sf "http://$NET.$n:8081/metrics" | awk '/^cedarwinch_configuration_version/ {print $2}'; done | sort -u | xargs; }
all_have() { [ "$(versions)" = "$1" ]; }
control() { curl -sf -X POST "http://$STORE/control?$1" >/dev/null; }
in_force_within() { # SECONDS VERSION
    timeout "$1" bash -c "$(declare -f versions all_have until_true); NET=$NET; until_true all_have $2"
}
sleep 4 # a process that has just started reads for nobody
control mute=1
cluster_configure "$(configuration 2)"
check "a change that no watch tells is in force" in_force_within 8 2
control mute=0
cluster_configure "$(configuration 3)"
check "so is one after which the store answers watches again" in_force_within 8 3
killed=$(leader)
control mute=1
kill -KILL "${NODE_PIDS[$killed]}"
start_node "$killed"
cluster_configure "$(configuration 4)"
check "so is one while nobody leads" in_force_within 8 4
control mute=0
finish_test
