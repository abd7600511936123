#!/usr/bin/env bash
# Five nodes, nine servers, callers of two kinds; the leader is killed, a server leaves, the store falls silent. A report.
cd "$(dirname "$0")/.." || exit 1
. scripts/cluster.sh
usual_cluster 5
echo "5 nodes, 9 servers, one store on $NET.0/24"
(cluster_callers demo --rate 100 --count 1500) &
callers=$!
sleep 2
first=$(leader)
echo "killing the leader, node $first"
kill -KILL "${NODE_PIDS[$first]}"
sleep 4
start_node "$first"
echo "server m3 leaves"
kill -TERM "${SERVER_PIDS[m3]}"
sleep 3
echo "the store falls silent for 4 s"
curl -sf -X POST "http://$STORE/control?down=4000&how=silent" >/dev/null
wait "$callers"
cluster_wait_served
echo
echo "callers: $(tail -1 "$WORK/callers-demo.json")"
echo "records: $(cluster_check | tail -1)"
echo "leader now: node $(leader)"
curl -sf "http://$STORE/api/objects/cedarwinch-assignments/maps" |
    jq -r '.spec.ranges[] | "  keys \(.[0])-\(.[1]) at \(.[2]), fence \(.[4])"' | head -20
cluster_check >/dev/null
