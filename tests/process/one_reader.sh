#!/usr/bin/env bash
# Four nodes of one zone: one of them watches the store, and the others get each configuration from it. When the leader is
# killed, which watches the store as well, the others still get the next versions.
CLUSTER_ZONES=1
. "$(dirname "$0")/../../scripts/cluster.sh"
standard_cluster 4
MEMBERS="1 2 3 4"
metric() { curl -sf "http://$NET.$1:8081/metrics" | awk -v name="$2" '$1 == name {print $2}'; }
versions() { local n; for n in $MEMBERS; do metric "$n" cedarwinch_configuration_version; done | sort -u | xargs; }
all_have() { [ "$(versions)" = "$1" ]; }
all_know_one_another() { local n; for n in $MEMBERS; do [ "$(metric "$n" cedarwinch_peers)" = 3 ] || return 1; done; }
readings() { local n; for n in $MEMBERS; do metric "$n" cedarwinch_store_reads_total; done | xargs; }
# Number of nodes that made at most five read calls between two lists of counts.
quiet_nodes() { paste <(tr ' ' '\n' <<<"$1") <(tr ' ' '\n' <<<"$2") | awk '$2 - $1 <= 5' | wc -l; }
until_true all_have 1
until_true all_know_one_another
sleep 4 # a process that has just started is no reader, and reads from copies itself
cluster_configure "$(configuration 2)"
until_true all_have 2
before=$(readings)
for version in $(seq 3 22); do
    cluster_configure "$(configuration "$version")"
    until_true all_have "$version"
done
check "at most the leader and one more node read twenty changes from the store" at_least "$(quiet_nodes "$before" "$(readings)")" 2
killed=$(leader)
kill -KILL "${NODE_PIDS[$killed]}"
MEMBERS=$(for n in $MEMBERS; do [ "$n" = "$killed" ] || echo "$n"; done | xargs)
cluster_configure "$(configuration 30)"
until_true all_have 30
check "after the leader was killed the others have the next version" all_have 30
cluster_configure "$(configuration 31)"
until_true all_have 31
check "the others have the version after that one" all_have 31
finish_test
