#!/usr/bin/env bash
# A caller repeats a request that crashes each server that begins to run it, at changing nodes. After three crashes the
# request is refused everywhere; at most three more servers get it while the reports of the crashes spread between the
# nodes. Other requests are served.
. "$(dirname "$0")/../../scripts/cluster.sh"
cluster_start 4
for i in 1 2 3 4 5 6 7 8 9 10 11 12; do cluster_server "h$i" --service hires --zone "z$(((i - 1) % 3 + 1))" --work-ms 15 --crash-path /deadly; done
for i in 1 2 3; do cluster_server "m$i" --service maps --zone "z$i" --keyed --work-ms 15; done
cluster_configure "$(configuration 1)"
cluster_wait_ready
cluster_wait_served
crashes() { cat "$WORK"/server-h*.json | grep -c '"crash"'; }
# Sends a new attempt of the same caller: only its id differs.
ask() { # NODE PATH
    curl -s -o /dev/null -D "$WORK/head" -w '%{http_code}' -X POST "http://$NET.$1:8080/hire/$2" -H 'Host: maps.example' \
        -H "X-Request-Id: $2-$RANDOM$RANDOM$RANDOM" -H 'X-Deadline-Ms: 1000' -d "${3:-bike 7}"
}
remembered() { [ "$(curl -sf "http://$NET.$1:8081/metrics" | awk '/^cedarwinch_crash_suspects / {print $2}')" -ge 1 ]; }
seen=0
for round in 1 2 3; do
    ask $((round % 4 + 1)) deadly >/dev/null
    until_true at_least "$(crashes)" "$round"
    until_true remembered 1
    sleep 0.3 # a crash is reported three times, about 400 ms apart; one report is enough
done
check "three servers crashed" [ "$(crashes)" = 3 ]
refused_everywhere() {
    local n
    for n in 1 2 3 4; do [ "$(ask "$n" deadly)" = 503 ] || return 1; done
}
until_true refused_everywhere
check "every node refuses the request" refused_everywhere
check "the refusal says when to retry" grep -qi '^retry-after' "$WORK/head"
check "at most three more servers crashed before all nodes refused" at_most "$(crashes)" 6
before=$(crashes)
for _ in 1 2 3 4 5; do refused_everywhere || break; done
check "no further server crashes" [ "$(crashes)" = "$before" ]
check "the same path with another body is sent" [ "$(ask 1 deadly 'bike 8')" != 503 ]
check "explain names the crashes as the reason" sh -c "id=\$(grep -h 'it crashes servers' '$WORK'/node1.log | tail -1 | sed -E 's/.*\"request\":\"([^\"]*)\".*/\1/'); '$BUILD/cedarwinch' explain \"\$id\" '$WORK'/node1.log | grep -q 'under way at three servers'"
KINDS=(--kind "maps.example,/hire/,POST,2000,0")
cluster_callers others --rate 60 --count 200
check "other requests are served" at_least "$(sum_of others s200)" 195
finish_test
