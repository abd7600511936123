#!/usr/bin/env bash
# Guards against exceeding servers' rate limits after all nodes have lost power and restarted at the same time: from four
# seconds after that, when the bounds apply again, servers must get no more than the limits that they name.
. "$(dirname "$0")/../../scripts/cluster.sh"
COUNT=16 # so many that a broker hands out the slots of all servers
BOUND_AGAIN_S=4
USED_AGAIN_S=8 # callers go on for so long from when the bounds apply again, however long the restart takes
monotonic_ms() { awk '{printf "%d", $1 * 1000}' /proc/uptime; } # on the clock of the servers' records
record_for_all_nodes() { # EVENT: trouble or calm; records it for all nodes
    local n
    for n in $(seq 1 "$COUNT"); do
        echo "{\"ns\":$(monotonic_ms)000000,\"event\":\"$1\",\"node\":\"$NET.$n:8080\"}" >>"$WORK/troubles.json"
    done
}
cluster_start "$COUNT"
for i in 1 2 3; do
    cluster_server "m$i" --service maps --zone "z$i" --keyed --work-ms 15
    cluster_server "h$i" --service hires --zone "z$i" --work-ms 15 --signals limit=5,none
done
cluster_configure "$(configuration 1)"
cluster_wait_ready
cluster_wait_served
(KINDS=(--kind "maps.example,/hire/,POST,2000,0"); cluster_callers limited --rate 100 --count 2000 --until "$WORK/limited.end") &
callers=$!
PIDS+=("$callers")
sleep 1
kill -USR1 "${SERVER_PIDS[h1]}" "${SERVER_PIDS[h2]}" "${SERVER_PIDS[h3]}" # they now name a limit of 5 a second
sleep 5
record_for_all_nodes trouble
for n in $(seq 1 "$COUNT"); do kill -KILL "${NODE_PIDS[$n]}"; done
for n in $(seq 1 "$COUNT"); do start_node "$n"; done
cluster_wait_ready
sleep "$BOUND_AGAIN_S"
record_for_all_nodes calm
calm_ns=$(monotonic_ms)000000
sleep "$USED_AGAIN_S"
touch "$WORK/limited.end"
wait "$callers"
served_after() {
    jq -rs --argjson t "$calm_ns" --argjson s "$USED_AGAIN_S" \
        '[.[]|select(.event=="end" and .status==200 and .ns>=$t and .ns<$t+$s*1e9)]|length' "$WORK/callers-limited.json"
}
echo "bounds apply again $(jq -s '(.[-1].ns - .[0].ns) / 1e6 | floor' "$WORK/troubles.json") ms after the end of all nodes," \
    "$(jq -s --argjson t "$calm_ns" '((map(.ns) | max) - $t) / 1e6 | floor' "$WORK/callers-limited.json") ms before the callers' last record"
check "no server gets more requests than its limit allows" cluster_check
check "the limits are used again" at_least "$(served_after)" $((USED_AGAIN_S * 15 / 2))
finish_test
