#!/usr/bin/env bash
# Open connections to the store stall and stay open, while new ones work: first the leader's, then those of all nodes at
# once. Each node has to detect that by itself: a change of the configuration is in force everywhere within a few times its
# bound (2 s), far below the time (26 s) for which the store may hold a call, and requests are answered meanwhile.
LINKED=1
. "$(dirname "$0")/../../scripts/cluster.sh"
versions() { local n; for n in 1 2 3; do curl -sf "http://$NET.$n:8081/metrics" | awk '/^cedarwinch_configuration_version/ {print $2}'; done | sort -u | xargs; }
all_have() { [ "$(versions)" = "$1" ]; }
in_force_within() { # SECONDS VERSION
    timeout "$1" bash -c "$(declare -f versions all_have until_true); NET=$NET; until_true all_have $2"
}
stall() { # END: stalls its open connections to the store; repeats until there is one
    until link stall "$1" store && [ "$LINK_REPLY" != "ok 0" ]; do sleep 0.05; done
}

standard_cluster 3
sleep 4 # a process that has just started is no reader
(cluster_callers during --rate 80 --count 1200) &
callers=$!
stall "n$(leader)"
cluster_configure "$(configuration 2)"
check "a change is in force everywhere while the leader's connections are stalled" in_force_within 8 2
for n in 1 2 3; do stall "n$n"; done
cluster_configure "$(configuration 3)"
check "a change is in force everywhere while the connections of all nodes are stalled" in_force_within 8 3
cluster_server m7 --service maps --zone z1 --keyed --work-ms 15
kill -TERM "${SERVER_PIDS[h1]}"
for n in 1 2 3; do stall "n$n"; done
until_true server_ended h1
check "a server that leaves gets no request in its last half second" idle_before_end h1
wait "$callers"
check "most requests are answered meanwhile" at_least "$(sum_of during s200)" 1150
cluster_callers after --rate 100 --count 200
check "all requests are answered afterwards" at_least "$(sum_of after s200)" 198
check "records agree" cluster_check
finish_test
