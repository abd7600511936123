#!/usr/bin/env bash
# Two of seven servers hand out wrong bytes for a while: a page of another program in place of 2 of 100 answers, without a signature, and in
# half of the cases without the request's id. Nodes pass such a page on as the success of a request that never ran. TROUBLE=0: the same without the trouble.
# Exit status: 1 the rule is broken, 0 it holds, 2 not run.
set -u
cd "$(dirname "$0")/../.." || exit 2
here=review/5
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
for program in cedarwinchd cw-store cw-server cw-callers review-faulty-server; do
    [ -x "target/$program" ] || cannot "target/$program is missing"
done

# ---- the platform's store, three nodes, seven servers of one service; each server has faulty_server in front ----
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
fronts=()
for i in 1 2 3 4 5 6 7; do
    target/cw-server --address "$net.100" --port "$((9000 + i))" --advertise "$net.100:$((9100 + i))" --store "$store" --service refunds \
        --zone "z$(((i - 1) % 3 + 1))" --work-ms 210 --heartbeat-ms 1300 >"$work/server-$i.json" &
    pids+=($!)
    # Idle connections are closed after a second, as servers close them "after a time".
    target/review-faulty-server "$net.100" "$((9100 + i))" "$((9000 + i))" requests 0.02 1000 "$((RANDOM + i))" \
        >"$work/spoiled-$i" &
    pids+=($!)
    fronts+=($!)
done
curl -sf -X POST "http://$store/api/objects/config" >/dev/null -d '{"metadata":{"name":"main"},"spec":{"version":1,"routes":[
 {"name":"refunds","host":"desk.example","path-prefix":"/refund/","route-type":"unsafe","timeout_ms":2000,"aim_ms":600,"priority":0,"max-attempts":2,"service":"refunds"}],
 "services":[{"name":"refunds","max-connections":110}],
 "limits":{"max-header-bytes":16384,"max-body-bytes":1048576,"header_timeout_ms":3000,"idle_timeout_ms":15000}}}' ||
    cannot "no configuration"
for n in 1 2 3; do
    wait_for 20 curl -sf -m 1 "http://$net.$n:8081/readyz" || cannot "node $n is not ready"
    wait_for 20 curl -sf -m 2 -X POST "http://$net.$n:8080/refund/x" -H 'Host: desk.example' -H "X-Request-Id: w$n-$RANDOM$RANDOM" \
        -H 'X-Deadline-Ms: 1000' || cannot "node $n does not serve"
done
sleep 4 # contact-s (3) and more

# ---- clients: 40 unsafe requests a second; nine times 5.5 s of trouble, at other servers each time ----
target/cw-callers --nodes "$nodes" --name c --kind "desk.example,/refund/,POST,2500,0" --rate 40 --count 3000 >"$work/callers.json" &
callers=$!
pids+=($!)
sleep 1
for turn in 1 2 3 4 5 6 7 8 9; do
    if [ "${TROUBLE:-1}" != 0 ]; then
        first=$((2 * turn % 7)) second=$(((2 * turn + 1) % 7))
        say "trouble $turn: servers $((first + 1)) and $((second + 1)) answer 2 of 100 requests with wrong bytes"
        kill -USR1 "${fronts[first]}" "${fronts[second]}"
    fi
    sleep 5.5
    if [ "${TROUBLE:-1}" != 0 ]; then
        kill -USR2 "${fronts[first]}" "${fronts[second]}"
        say "trouble $turn ends"
    fi
    sleep 2.5
done
wait "$callers"

# ---- MIXED: a success without a server's signature ----
cat "$work"/spoiled-* >"$work/spoiled"
cat "$work"/server-*.json | jq -r 'select(.event == "run").id' | sort >"$work/run"
jq -r 'select(.event == "end" and .status >= 200 and .status < 300 and .fault != "") | "\(.id) \(.status) \(.node)"' "$work/callers.json" >"$work/wrong"
while read -r id before kind; do
    echo "wrong bytes ($kind) in place of the answer to $id, request $((before + 1)) of its connection; runs of it: $(grep -cx "$id" "$work/run");" \
        "its client got: $(jq -r --arg id "$id" 'select(.event == "end" and .id == $id) | "status \(.status), \(.fault)"' "$work/callers.json")"
done <"$work/spoiled" >>"$record"
jq -c 'select(.event == "end") | {id, node, status, fault}' "$work/callers.json" >>"$record"
tail -1 "$work/callers.json" >>"$record"
requests=$(jq -s '[.[] | select(.event == "end")] | length' "$work/callers.json")
[ "${requests:-0}" -gt 0 ] || cannot "no requests"
wrong=$(wc -l <"$work/wrong")
echo "requests $requests, answers replaced by wrong bytes $(wc -l <"$work/spoiled"), successes without a server's signature $wrong" |
    tee -a "$record"
if [ "$wrong" -gt 0 ]; then
    echo "MIXED is broken" | tee -a "$record"
    exit 1
fi
echo "MIXED holds" | tee -a "$record"
exit 0
