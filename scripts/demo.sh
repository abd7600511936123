#!/usr/bin/env bash
# Demo: five nodes, nine servers and callers of two kinds, while the leader is killed, a server leaves and the store stops
# answering. Prints a report of these events, whether the promises held, and the three measures.
cd "$(dirname "$0")/.." || exit 1
. scripts/cluster.sh
standard_cluster 5
echo "5 nodes, 9 servers, one store on $NET.0/24"
(cluster_callers demo --rate 100 --count 1500) &
callers=$!
sleep 2
first=$(leader)
echo "killing the leader, node $first"
kill -KILL "${NODE_PIDS[$first]}"
wait "${NODE_PIDS[$first]}" 2>/dev/null
sleep 4
start_node "$first"
echo "server m3 leaves"
kill -TERM "${SERVER_PIDS[m3]}"
sleep 3
echo "the store does not answer for 4 s"
curl -sf -X POST "http://$STORE/control?down=4000&how=silent" >/dev/null
wait "$callers"
cluster_wait_served
sum_metric() { for n in "${!NODE_PIDS[@]}"; do curl -sf "http://$NET.$n:8081/metrics"; done | awk -v m="$1" '$1 == m {s += $2} END {print s + 0}'; }
most_metric() { for n in "${!NODE_PIDS[@]}"; do curl -sf "http://$NET.$n:8081/metrics"; done | awk -v m="$1" '$1 == m && $2 > s {s = $2} END {print s + 0}'; }
verdict=$(cluster_check | tail -1)
cat <<REPORT

Done       5 nodes and 9 servers; the leader, node $first, was killed; server m3 left; the store did not answer for 4 s.
           $(sum_of demo s200) of 1500 requests answered with 200. Leader now: node $(leader).
Promised   nothing runs twice, no key has two owners, no answer is another's: $verdict
Measures   (counted by the leaders that are still running)
  imbalance    $(awk -v a="$(sum_metric cedarwinch_imbalance_weighted_milliseconds_total)" -v b="$(sum_metric cedarwinch_imbalance_milliseconds_total)" 'BEGIN {printf "%.2f", (b > 0 ? a / b : 0)}') load of the busiest owner over the mean
  churn        $(awk -v a="$(sum_metric cedarwinch_moved_keys_total)" 'BEGIN {printf "%.2f", a / 65536}') times all keys, $(awk -v a="$(sum_metric cedarwinch_moved_cold_keys_total)" 'BEGIN {printf "%.2f", a / 65536}') of it cold
  unavailable  $(awk -v a="$(sum_metric cedarwinch_unavailable_key_milliseconds_total)" 'BEGIN {printf "%.2f", a / 65536 / 1000}') s for the mean key, $(most_metric cedarwinch_unavailable_longest_milliseconds) ms for the longest
REPORT
curl -sf "http://$STORE/api/objects/cedarwinch-assignments/maps" |
    jq -r '.spec.ranges[] | "  keys \(.[0])-\(.[1]) at \(.[2]), fence \(.[4])"' | head -20
cluster_check >/dev/null
