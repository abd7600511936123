#!/usr/bin/env bash
# Two regions are cut off from one another and healed, three times, while a tenant sends four times its limit: its runs over all
# servers stay within the limit in each window, also those of after a cut, when nodes of both sides have counted.
LINKED=1
. "$(dirname "$0")/../../scripts/cluster.sh"
RATE=10 WINDOW_S=5 SLACK=20
eval "untenanted_$(declare -f configuration)"
configuration() {
    untenanted_configuration "$1" | jq -c --argjson rate "$RATE" \
        '. + {tenants: [{name: "limited", "api-keys": ["limited-key"], priority: 0, "rate-per-s": $rate}]}'
}
CALLER_KEY=limited-key
counting() { # nodes that count for a tenant
    local n
    for n in "${!NODE_PIDS[@]}"; do
        curl -sf "http://$NET.$n:8081/metrics" | grep -q '^cedarwinch_limit_buckets 1' && echo "$n"
    done
}
region_counts() { [ -n "$(for n in $(counting); do region_of_node "$n"; done | grep -x "$1")" ]; }
other_peers() { # NODE COUNT
    [ "$(curl -sf "http://$NET.$1:8081/metrics" | awk '/^cedarwinch_peers / {print $2}')" = "$2" ]
}
all_in_touch() {
    local n
    for n in "${!NODE_PIDS[@]}"; do other_peers "$n" 5 || return 1; done
}

regions_cluster
until_true all_in_touch
(KINDS=("${ANY_SERVER[@]}"); cluster_callers limited --credential limited-key --rate 40 --count 1200) &
callers=$!
for _ in 1 2 3; do
    link cut east west
    until_true region_counts east
    until_true region_counts west
    link heal
    until_true all_in_touch
done
wait "$callers"
most=$(cat "$WORK"/server-*.json | jq -s --argjson w "${WINDOW_S}000000000" \
    '[.[]|select(.event=="run" and .tenant=="limited").ns]|sort as $t|[range($t|length) as $i|[$t[$i:][]|select(. < $t[$i]+$w)]|length]|max // 0')
allowed=$((RATE * WINDOW_S * 11 / 10 + SLACK))
check "no window holds more than the limit allows" at_most "$most" "$allowed"
check "a good part of the limit is used" at_least "$(sum_of limited s200)" $((RATE * 30 / 2))
check "records agree" cluster_check
finish_test
