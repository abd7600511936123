#!/usr/bin/env bash
# A tenant sends five times its limit to five nodes, and its counting node is killed. The requests that its server runs must stay
# within the limit in every window, most of the limit must be used, and requests of other tenants must be served.
. "$(dirname "$0")/../../scripts/cluster.sh"
RATE=20 WINDOW_S=5 BURST=0 SLACK=20
standard_cluster 5
cluster_server pages --service rimac/pages --work-ms 10
cat >"$WORK/rimac.yaml" <<YAML
tenant: rimac
requests_per_s: $RATE
services: [{name: pages}]
routes:
  - {name: pages, host: rm.example, prefix: /pages/, service: pages}
YAML
export CEDARWINCH_STORE=$STORE
plan=$("$BUILD/cedarwinch" plan "$WORK/rimac.yaml" | awk '/^plan/ {print $2}')
check "the tenant's intent is accepted" "$BUILD/cedarwinch" confirm "$plan" "$WORK/rimac.yaml"
status() { curl -s -o /dev/null -w '%{http_code}' "http://$NET.$1:8080/pages/x" -H 'Host: rm.example' -H "X-Request-Id: t$RANDOM$RANDOM" -H 'X-Deadline-Ms: 900'; }
served() { [ "$(status "$1")" = 200 ]; }
metric() { curl -sf -m 1 "http://$NET.$1:8081/metrics" | awk -v name="$2" '$1 == name {print $2}'; }
counting() { # prints a node that counts for a tenant
    local n
    for n in "${!NODE_PIDS[@]}"; do
        [ "$(metric "$n" cedarwinch_limit_buckets)" = 1 ] && echo "$n" && return 0
    done
    return 1
}
until_true served 1
# A node that has just started does not count, and a bucket is dropped when no request arrives, so each check sends a request first.
counting_after_a_request() { status 1 >/dev/null; counting; }
until_true counting_after_a_request
(sleep 6; until_true counting; n=$(counting) && echo "$n" >"$WORK/counted" && kill -KILL "${NODE_PIDS[$n]}") &
killer=$!
(cluster_callers calm --rate 50 --count 800) &
calm=$!
"$BUILD/cw-callers" --nodes "$NODES" --name hot --kind "rm.example,/pages/,POST,900,0" --rate 100 --count 1800 >"$WORK/callers-hot.json"
wait "$killer" "$calm"
killed=$(cat "$WORK/counted")
check "the counting node was killed ($killed)" [ -n "$killed" ]
# Largest number of runs in any window of WINDOW_S, by the server's own record.
most=$(jq -s --argjson w "$((WINDOW_S * 1000000000))" \
    '[.[] | select(.event == "run") | .ns] | sort as $t | [range($t | length) as $i | [$t[] | select(. >= $t[$i] and . < $t[$i] + $w)] | length] | max' "$WORK/server-pages.json")
allowed=$(((RATE * WINDOW_S + BURST) * 11 / 10 + SLACK))
echo "     most in $WINDOW_S s: $most, allowed $allowed; the tenant's callers: 200: $(sum_of hot s200), 429: $(sum_of hot s429), 503: $(sum_of hot s503)"
check "no window holds more than the limit allows" at_most "$most" "$allowed"
check "most of the limit is used" at_least "$(sum_of hot s200)" "$((RATE * 18 * 85 / 100))"
check "requests above the limit are refused" at_least "$(sum_of hot s429)" 900
# Callers send to the five nodes in turn and do not retry, so each request of others that failed was sent to the killed node after its end.
calm_numbers() { # JQ-CONDITION NODE: prints the numbers of the requests sent to NODE whose status meets the condition
    jq -s --argjson nodes 5 --argjson node "$2" \
        "[.[] | select(.event == \"end\" and .status $1) | .id | split(\"-\")[1] | tonumber | select(. % \$nodes + 1 == \$node)]" "$WORK/callers-calm.json"
}
for node in 1 2 3 4 5; do
    if [ "$node" = "$killed" ]; then
        check "requests of other tenants are served by node $node until it is killed" \
            [ "$(calm_numbers '== 200' "$node" | jq max)" -lt "$(calm_numbers '!= 200' "$node" | jq min)" ]
    else
        check "each request of other tenants is served by node $node" [ "$(calm_numbers '!= 200' "$node" | jq length)" = 0 ]
        check "node $node received requests of other tenants" [ "$(calm_numbers '== 200' "$node" | jq length)" = 160 ]
    fi
done
check "another node counts after the counting node was killed" counting
check "records agree" cluster_check
finish_test
