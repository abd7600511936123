#!/usr/bin/env bash
# Servers that hold keys leave one after the other, each while it hands out wrong bytes: one answer in 50, that to the release of its keys,
# is a page of another program, without X-Handover; the release is not carried out. The keys are given to another server at once. TROUBLE=0:
# the same without wrong bytes. Exit status: 1 the rule is broken, 0 it holds, 2 not run.
set -u
cd "$(dirname "$0")/../.." || exit 2
here=review/6
record=$here/record.txt
work=$(mktemp -d) || exit 2
net="127.$((RANDOM % 200 + 20)).$((RANDOM % 250 + 1))"
pids=()
finish() {
    local pid
    disown -a
    kill -KILL "${pids[@]}" 2>/dev/null
    for pid in "${pids[@]}"; do while kill -0 "$pid" 2>/dev/null; do sleep 0.05; done; done
    rm -rf "$work"
}
trap finish EXIT
cannot() {
    echo "could not run: $*" | tee -a "$record"
    exit 2
}
say() { echo "$(awk '{print $1}' /proc/uptime) $*" >>"$record"; }
wait_for() { # SECONDS COMMAND...
    local end=$((SECONDS + $1))
    shift
    until "$@" >/dev/null 2>&1; do
        [ "$SECONDS" -lt "$end" ] || return 1
        sleep 0.1
    done
}
: >"$record" || exit 2
for program in cedarwinchd cw-store cw-server cw-callers cw-verdict review-faulty-server; do
    [ -x "target/$program" ] || cannot "target/$program is missing"
done

# ---- the platform's store, three nodes, six servers of a service divided by key; each has faulty_server in front ----
target/cw-store --address "$net.250" >"$work/store.out" &
pids+=($!)
wait_for 10 grep -q port "$work/store.out" || cannot "the store does not start"
store="$net.250:$(awk '{print $2}' "$work/store.out")"
nodes=""
for n in 1 2 3; do
    cat >"$work/node$n.yaml" <<YAML
node: front-$n
zone: z$n
address: $net.$n
callers: $net.$n:8080
readiness: $net.$n:8081
peer_port: 7540
seeds: ["$net.1:7540", "$net.2:7540", "$net.3:7540"]
store: $store
hold_max_ms: 10000
drain_ms: 2000
settle_ms: 3000
configuration_within_ms: 2000
server_heartbeat_ms: 1300
cpu_share: 0.2
first_look_within_ms: 1000
link_mbps: 1000
memory_mb: 260
stop_grace_ms: 6000
retry_window_ms: 10000
retry_ratio: 0.2
retry_extra: 56
log_level: info
YAML
    CEDARWINCH_SETTINGS="$work/node$n.yaml" target/cedarwinchd >"$work/node$n.log" 2>&1 &
    pids+=($!)
    nodes="$nodes${nodes:+,}$net.$n:8080"
done
fronts=() servers=()
start_server() { # NUMBER
    target/cw-server --address "$net.100" --port "$((9000 + $1))" --advertise "$net.100:$((9100 + $1))" --store "$store" --service dockmap \
        --keyed --zone "z$((($1 - 1) % 3 + 1))" --work-ms 15 --heartbeat-ms 1300 >"$work/server-$1.json" &
    pids+=($!)
    servers[$1]=$!
    target/review-faulty-server "$net.100" "$((9100 + $1))" "$((9000 + $1))" releases 0.02 10000 "$1" >"$work/spoiled-$1" &
    pids+=($!)
    fronts[$1]=$!
}
for i in 1 2 3 4 5 6; do start_server "$i"; done
curl -sf -X POST "http://$store/api/objects/config" >/dev/null -d '{"metadata":{"name":"main"},"spec":{"version":1,"routes":[
 {"name":"dock-reads","host":"dock.example","path-prefix":"/docks/","route-type":"safe","timeout_ms":1000,"aim_ms":500,"priority":2,"max-attempts":3,"service":"dockmap"}],
 "services":[{"name":"dockmap","max-connections":110,"use-sharding":true,"warm-s":1}],
 "limits":{"max-header-bytes":16384,"max-body-bytes":1048576,"header_timeout_ms":3000,"idle_timeout_ms":15000}}}' ||
    cannot "no configuration"
for n in 1 2 3; do wait_for 20 curl -sf -m 1 "http://$net.$n:8081/readyz" || cannot "node $n is not ready"; done
for key in 0 10000 20000 30000 40000 50000 65535; do
    wait_for 20 curl -sf -m 2 "http://$net.1:8080/docks/x" -H 'Host: dock.example' -H "X-Shard-Key: $key" -H "X-Request-Id: w$key-$RANDOM$RANDOM" \
        -H 'X-Deadline-Ms: 1000' || cannot "keys are not served"
done
sleep 4 # contact-s (3) and more

# ---- clients: 97 requests a second; six servers are replaced, the new one starts first, the old one drains ----
target/cw-callers --nodes "$nodes" --name c --kind "dock.example,/docks/,GET,2000,1" --rate 97 --count 6200 >"$work/callers.json" &
callers=$!
pids+=($!)
sleep 1
for turn in 1 2 3 4 5 6; do
    if [ "${TROUBLE:-1}" != 0 ]; then
        say "trouble $turn: server $turn answers at most 1 of 50 with wrong bytes"
        kill -USR1 "${fronts[turn]}"
    fi
    sleep 3.2
    start_server "$((turn + 6))"
    sleep 0.3
    say "server $turn is to leave, server $((turn + 6)) has started"
    kill -TERM "${servers[turn]}"
    sleep 2
    if [ "${TROUBLE:-1}" != 0 ]; then
        kill -USR2 "${fronts[turn]}"
        say "trouble $turn ends"
    fi
    sleep 4
done
wait "$callers"

# ---- OWNER: two servers that are up hold the same keys for over half a second (cw-verdict, its rule HELD) ----
target/cw-verdict "$work"/server-*.json "$work/callers.json" >"$work/verdict"
for i in "${!fronts[@]}"; do sed "s/^/wrong bytes in place of server $i's answer to a release, at /" "$work/spoiled-$i"; done >>"$record"
jq -c 'select(.event == "start" or .event == "grant" or .event == "release" or .event == "stop")
    | {s: (.ns / 1e9), event, server, low, last, fence, hold_ms}' "$work"/server-*.json | sort >>"$record"
jq -c 'select(.event == "end") | {id, node, status, fault}' "$work/callers.json" >>"$record"
tail -1 "$work/callers.json" >>"$record"
cat "$work/verdict" >>"$record"
held=$(grep -c '^HELD' "$work/verdict")
requests=$(jq -s '[.[] | select(.event == "end")] | length' "$work/callers.json")
[ "${requests:-0}" -gt 0 ] || cannot "no requests"
echo "releases answered with wrong bytes $(cat "$work"/spoiled-* | wc -l), times that two servers held keys for over half a second: $held" |
    tee -a "$record"
if [ "$held" -gt 0 ]; then
    echo "OWNER is broken" | tee -a "$record"
    exit 1
fi
echo "OWNER holds" | tee -a "$record"
exit 0
