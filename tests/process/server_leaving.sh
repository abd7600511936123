#!/usr/bin/env bash
# Guards against requests to leaving servers: servers announce in their answers that they leave, while their list entries
# still say that they are ready. Two seconds after a node has relayed such an answer they must get no more requests,
# with the store up and while it does not answer.
. "$(dirname "$0")/../../scripts/cluster.sh"
cluster_start 4
for i in 1 2 3; do
    cluster_server "m$i" --service maps --zone "z$i" --keyed --work-ms 15 --signals leaving
    cluster_server "h$i" --service hires --zone "z$i" --work-ms 15 --signals leaving
done
cluster_configure "$(configuration 1)"
cluster_wait_ready
cluster_wait_served
leave() { kill -USR1 "${SERVER_PIDS[m$1]}" "${SERVER_PIDS[h$1]}"; } # NUMBER
now_ns() { awk '{printf "%d000000", $1 * 1000}' /proc/uptime; } # on the clock of the records
served_after() { # METHOD NS
    jq -rs --arg m "$1" --argjson t "$2" '[.[]|select(.event=="end" and .method==$m and .ns>=$t)]|[(map(select(.status==200))|length)*100/length]|.[0]|floor' "$WORK/callers-day.json"
}
# Number of requests that arrive at a server more than a second after its first answer that announces that it leaves.
arrivals_after_notice() { # NAME
    jq -rs '[.[]|select(.event=="arrive").ns]|sort|if length == 0 then 0 else .[0] as $told|map(select(. >= $told + 1000000000))|length end' "$WORK/server-$1.json"
}
slow_refusals() { jq -rs '[.[]|select(.event=="end" and .status==503 and (.id|test("-0$")) and .ms>400)]|length' "$WORK/callers-day.json"; }

(cluster_callers day --rate 120 --count 1800) & # 15 s
callers=$!
sleep 1
first=$(now_ns)
leave 1
sleep 3.5
curl -s -m 2 -X POST "http://$STORE/control?down=6000&how=silent" >/dev/null
second=$(now_ns)
leave 2
wait "$callers"
check "no server gets a request sent two seconds after the first relayed answer that announces its leaving" cluster_check
check "all nodes know from a few answers that the first server leaves" at_most "$(arrivals_after_notice h1)" 0
check "all nodes know that the second server leaves while the store does not answer" at_most "$(arrivals_after_notice h2)" 0
check "requests without a key are served" at_least "$(served_after POST "$first")" 97
check "keys move while the store answers and after it is back" at_least "$(served_after GET $((second + 9000000000)))" 95
check "requests for keys without an owner are refused soon" at_most "$(slow_refusals)" 36
finish_test
