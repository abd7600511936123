#!/usr/bin/env bash
# Eighteen nodes in three zones: relays send summaries between the zones, so that most reports stay inside their zone. While
# a relay is suspended, and after one was killed, no running node counts as lost, keys are served, and each has one owner.
. "$(dirname "$0")/../../scripts/cluster.sh"
NODES_STARTED=18

metric_of() { curl -sf -m 1 "http://$NET.$1:8081/metrics" | awk -v m="$2" 'index($0, m) == 1 {sum += $2} END {print sum + 0}'; }
all_know_each_other() { # NUMBER: each node knows this many others
    local n
    for n in "${!NODE_PIDS[@]}"; do
        [ "$(metric_of "$n" "cedarwinch_peers ")" -eq "$1" ] || return 1
    done
}
sum_of_metric() {
    local n sum=0
    for n in "${!NODE_PIDS[@]}"; do sum=$((sum + $(metric_of "$n" "$1"))); done
    echo "$sum"
}
datagrams_to_other_zones() { echo $(($(sum_of_metric "cedarwinch_peer_datagrams_total{kind=\"$1\",distance=\"region\"}") + $(sum_of_metric "cedarwinch_peer_datagrams_total{kind=\"$1\",distance=\"remote\"}"))); }
relays() { # nodes that have sent summaries to other zones
    local n
    for n in "${!NODE_PIDS[@]}"; do
        curl -sf "http://$NET.$n:8081/metrics" | grep -q 'peer_datagrams_total{kind="zone_summary",distance="region"}' && echo "$n"
    done
}
lost_lines() { cat "$WORK"/node*.log | grep -c '"event":"peer lost"'; }

standard_cluster "$NODES_STARTED"
until_true all_know_each_other $((NODES_STARTED - 1))
until_true test "$(relays | wc -l)" -ge 6
reports=$(datagrams_to_other_zones report)
near=$(sum_of_metric 'cedarwinch_peer_datagrams_total{kind="report",distance="zone"}')
cluster_callers calm --rate 100 --count 500
reports=$(($(datagrams_to_other_zones report) - reports))
near=$(($(sum_of_metric 'cedarwinch_peer_datagrams_total{kind="report",distance="zone"}') - near))
check "all answered on a calm day" at_least "$(sum_of calm s200)" 499
check "reports to other zones, per hundred inside" at_most $((100 * reports / near)) 40
check "no node took another one for lost" at_most "$(lost_lines)" 0

still=$(relays | awk '$1 > 2' | head -1) # not a seed
kill -STOP "${NODE_PIDS[$still]}"
lost_by_all_others() { [ "$(lost_lines)" -ge $((NODES_STARTED - 1)) ]; }
until_true lost_by_all_others
others=$(cat "$WORK"/node*.log | grep '"event":"peer lost"' | grep -vc "$NET.$still\"")
check "while a relay stands still, no other node is taken for lost" at_most "$others" 0
check "the relay that stands still is, by each of them" at_most "$(lost_lines)" $((NODES_STARTED - 1))
kill -CONT "${NODE_PIDS[$still]}"
until_true all_know_each_other $((NODES_STARTED - 1))

before=$(lost_lines)
killed=$(relays | awk -v s="$still" '$1 > 2 && $1 != s' | head -1)
kill -KILL "${NODE_PIDS[$killed]}"
unset "NODE_PIDS[$killed]"
until_true all_know_each_other $((NODES_STARTED - 2))
check "each other node has missed the one killed, and no other" at_most $(($(lost_lines) - before)) $((NODES_STARTED - 1))
# Both relays of a zone are suspended: the other nodes of the zone still get changes, directly from the leader.
zone_of() { echo $((($1 - 1) % 3)); }
first=$(relays | awk '$1 > 2' | head -1)
pair=$(for n in $(relays); do [ "$(zone_of "$n")" = "$(zone_of "$first")" ] && echo "$n"; done)
pair=$(for n in $pair; do [ "$n" = "$(leader)" ] || echo "$n"; done)
for n in $pair; do kill -STOP "${NODE_PIDS[$n]}"; done
cluster_server m7 --service maps --zone z1 --keyed --work-ms 15
others_have_ten_servers() {
    local n
    for n in "${!NODE_PIDS[@]}"; do
        grep -qx "$n" <<<"$pair" || [ "$(metric_of "$n" "cedarwinch_servers ")" -eq 10 ] || return 1
    done
}
until_true others_have_ten_servers
check "a change comes to a zone whose relays stand still" others_have_ten_servers
for n in $pair; do kill -CONT "${NODE_PIDS[$n]}"; done
until_true all_know_each_other $((NODES_STARTED - 2))
NODES=$(printf "$NET.%s:8080\n" "${!NODE_PIDS[@]}" | paste -sd,)
cluster_callers after --rate 100 --count 300
check "all answered after that" at_least "$(sum_of after s200)" 299
check "records agree" cluster_check
finish_test
