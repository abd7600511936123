#!/usr/bin/env bash
# Datagrams between two nodes are dropped, first in one direction, then in both. Meanwhile each node serves all keys, the
# leader stays, and no key has two owners. The cut is between the leader and another node, which is the worst pair.
LINKED=1
. "$(dirname "$0")/../../scripts/cluster.sh"
peers_of() { curl -sf "http://$NET.$1:8081/metrics" | awk '/^cedarwinch_peers / {print $2}'; }
knows_peers() { [ "$(peers_of "$1")" = "$2" ]; }
served_by() { # NODE NAME: sends 400 requests to that node only
    local NODES="$NET.$1:8080"
    cluster_callers "$2" --rate 80 --count 400
}

standard_cluster 3
until_true knows_peers 1 2
until_true knows_peers 2 2
until_true knows_peers 3 2
leading=$(leader)
other=$((leading % 3 + 1))
link cut-one-way "n$leading" "n$other"
until_true knows_peers "$other" 1
check "the leader hears the other one still" knows_peers "$leading" 2
served_by "$other" one-way
check "one way: the node without the leader's datagrams serves all" at_least "$(sum_of one-way s200)" 398
link cut "n$leading" "n$other"
until_true knows_peers "$leading" 1
served_by "$other" both-ways
check "both ways: it serves all" at_least "$(sum_of both-ways s200)" 398
check "the leader is the same" [ "$(leader)" = "$leading" ]
link heal
until_true knows_peers "$leading" 2
until_true knows_peers "$other" 2
served_by "$other" after
check "all answered after it" at_least "$(sum_of after s200)" 398
check "records agree" cluster_check
finish_test
