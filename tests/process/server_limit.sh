#!/usr/bin/env bash
# Guards against servers that name a rate limit in their answers and get more requests than that from all nodes together.
# From three seconds after naming it they must get no more than it allows, and as much as it allows if there are enough
# requests.
. "$(dirname "$0")/../../scripts/cluster.sh"
LIMITED_S=10 # seconds with limits, after three seconds in which the nodes learn of them
cluster_start "${LIMIT_NODES:-4}"
for i in 1 2 3; do
    cluster_server "m$i" --service maps --zone "z$i" --keyed --work-ms 15 --signals "$([ "$i" = 1 ] && echo limit=6 || echo none),none"
    cluster_server "h$i" --service hires --zone "z$i" --work-ms 15 --signals limit=5,none
done
cluster_configure "$(configuration 1)"
cluster_wait_ready
cluster_wait_served
next_limits() { kill -USR1 "${SERVER_PIDS[m1]}" "${SERVER_PIDS[h1]}" "${SERVER_PIDS[h2]}" "${SERVER_PIDS[h3]}"; }
named_ns() { jq -s '[.[]|select(.event=="limit").ns]|min' "$WORK/server-h1.json"; }
# Number of attempts with this method and status that ended within FOR_S seconds, from AFTER_S seconds after the limits were named.
ends() { # NAME METHOD STATUS AFTER_S FOR_S
    jq -rs --arg m "$2" --argjson s "$3" --argjson t "$(named_ns)" --argjson a "$4" --argjson l "$5" \
        '[.[]|select(.event=="end" and .method==$m and .status==$s and .ns>=$t+$a*1e9 and .ns<$t+($a+$l)*1e9)]|length' "$WORK/callers-$1.json"
}
slow_refusals() { # NAME; only of first attempts, since the times of later ones include the wait before them
    jq -rs '[.[]|select(.event=="end" and .status==503 and (.id|test("-0$")) and .ms>250)]|length' "$WORK/callers-$1.json"
}

(cluster_callers limited --rate 120 --count $((120 * (LIMITED_S + 5)))) &
callers=$!
sleep 1
next_limits
wait "$callers"
check "no server gets more requests than its limit allows" cluster_check
check "three servers with a limit of 5 a second serve as many requests as that allows" at_least "$(ends limited POST 200 3 "$LIMITED_S")" $((LIMITED_S * 15 * 7 / 10))
check "requests beyond the limits are refused soon" at_most "$(slow_refusals limited)" $((120 * LIMITED_S / 50))
check "requests for keys of the limited owner are served in the end" at_least "$(ends limited GET 200 $((LIMITED_S - 1)) 4)" $((60 * 4 * 9 / 10))

next_limits # the servers name no limit
sleep 2
cluster_callers after --rate 60 --count 300 # a limit ends after three answers without it and a second
sleep 1
cluster_callers later --rate 120 --count 480
check "all requests are served after limits are no longer named" at_least "$(sum_of later s200)" 460
finish_test
