#!/usr/bin/env bash
# Guards against requests to servers that have rejected a request and asked the node for a rest: without it they got each
# request twice. Waiting requests, new ones and retries must not go to such a server until its rest is over.
. "$(dirname "$0")/../../scripts/cluster.sh"
cluster_start "${REST_NODES:-4}"
for i in 1 2 3; do
    cluster_server "m$i" --service maps --zone "z$i" --keyed --work-ms 15 --signals "$([ "$i" = 1 ] && echo rest=2 || echo none)"
    cluster_server "h$i" --service hires --zone "z$i" --work-ms 15 --signals "$([ "$i" = 1 ] && echo rest=2.5 || echo none),rest=1.5"
done
cluster_configure "$(configuration 1)"
cluster_wait_ready
cluster_wait_served
signal() { local name; for name in "${@:2}"; do kill -"$1" "${SERVER_PIDS[$name]}"; done; } # SIGNAL NAME...
now_ns() { awk '{printf "%d000000", $1 * 1000}' /proc/uptime; } # on the clock of the records
share_of() { # METHOD STATUS FROM_NS UNTIL_NS, in hundredths
    jq -rs --arg m "$1" --argjson s "$2" --argjson a "$3" --argjson b "$4" \
        '[.[]|select(.event=="end" and .method==$m and .ns>=$a and .ns<$b)]|[(map(select(.status==$s))|length)*100/length]|.[0]|floor' "$WORK/callers-day.json"
}
slow_refusals() { jq -rs '[.[]|select(.event=="end" and .status==503 and (.id|test("-0$")) and .ms>250)]|length' "$WORK/callers-day.json"; }
arrivals() { # NAME FROM_NS UNTIL_NS
    jq -rs --argjson a "$2" --argjson b "$3" '[.[]|select(.event=="arrive" and .ns>=$a and .ns<$b)]|length' "$WORK/server-$1.json"
}

(cluster_callers day --rate 120 --count 2040) & # 17 s
callers=$!
sleep 1
begin=$(now_ns)
signal USR1 m1 h1 # m1 rests for 2 s at a time, h1 for 2.5 s; the others do not
sleep 6
signal USR2 m1 h1
sleep 3
all=$(now_ns)
signal USR1 h1 h2 h3 && sleep 0.1 && signal USR1 h2 h3 # all servers of a service rest for 1.5 s at a time
sleep 3
signal USR2 h1 h2 h3
wait "$callers"
check "no node sends more than two requests that cross with the start of a rest" cluster_check
# Each node is asked for four rests in this time; up to two of its requests cross with the start of each.
check "an owner at rest gets only a few requests of each node" at_most "$(arrivals m1 "$begin" $((begin + 6000000000)))" $((12 * ${REST_NODES:-4}))
check "requests without a key are served" at_least "$(share_of POST 200 "$begin" "$all")" 97
check "most requests are refused while all servers of the service are at rest" at_least "$(share_of POST 503 $((all + 500000000)) $((all + 2900000000)))" 80
check "these requests are refused at once" at_most "$(slow_refusals)" 20
check "requests are served after the rests are over" at_least "$(share_of GET 200 $((begin + 9000000000)) $((all + 9000000000)))" 97
finish_test
