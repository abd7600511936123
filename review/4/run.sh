#!/usr/bin/env bash
# One entry of another writer among the servers, of value-bytes at most, whose bytes cannot be read: nodes that read the list stand still
# for seconds and answer nobody. TROUBLE=0: the same without that entry. Exit status: 1 the rule is broken, 0 it holds, 2 not run.
set -u
cd "$(dirname "$0")/../.." || exit 2
here=review/4
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
for program in cedarwinchd cw-store cw-server cw-callers; do [ -x "target/$program" ] || cannot "target/$program is missing"; done

# ---- the platform's store, three nodes, six servers divided by key, three others ----
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
for i in 1 2 3 4 5 6; do
    target/cw-server --address "$net.100" --store "$store" --service maps --zone "z$(((i - 1) % 3 + 1))" --keyed --work-ms 15 \
        --heartbeat-ms 1300 >"$work/server-m$i.json" &
    pids+=($!)
done
for i in 1 2 3; do
    target/cw-server --address "$net.100" --store "$store" --service hires --zone "z$i" --work-ms 15 --heartbeat-ms 1300 \
        >"$work/server-h$i.json" &
    pids+=($!)
done
curl -sf -X POST "http://$store/api/objects/config" >/dev/null -d '{"metadata":{"name":"main"},"spec":{"version":1,"routes":[
 {"name":"maps","host":"maps.example","path-prefix":"/docks/","route-type":"safe","timeout_ms":2000,"aim_ms":500,"priority":2,"max-attempts":3,"service":"maps"},
 {"name":"hires","host":"maps.example","path-prefix":"/hire/","route-type":"unsafe","timeout_ms":2000,"aim_ms":500,"priority":0,"max-attempts":2,"service":"hires"}],
 "services":[{"name":"maps","max-connections":110,"use-sharding":true,"warm-s":1},{"name":"hires","max-connections":110}],
 "limits":{"max-header-bytes":16384,"max-body-bytes":1048576,"header_timeout_ms":3000,"idle_timeout_ms":15000}}}' ||
    cannot "no configuration"
for n in 1 2 3; do wait_for 20 curl -sf -m 1 "http://$net.$n:8081/readyz" || cannot "node $n is not ready"; done
for key in 0 10000 20000 30000 40000 50000 65535; do
    wait_for 20 curl -sf -m 2 "http://$net.1:8080/docks/x" -H 'Host: maps.example' -H "X-Shard-Key: $key" -H "X-Request-Id: w$key-$RANDOM$RANDOM" \
        -H 'X-Deadline-Ms: 1000' || cannot "keys are not served"
done
sleep 4 # contact-s (3) and more

# ---- clients: 40 requests a second for 30 s, which wait for 8 s; the routes' timeout-s is 2 ----
say "clients begin: 40 requests a second, deadline 8 s, timeout-s 2"
target/cw-callers --nodes "$nodes" --name c --kind "maps.example,/docks/,GET,8000,1" --kind "maps.example,/hire/,POST,8000,0" --rate 40 \
    --count 1200 >"$work/callers.json" &
callers=$!
pids+=($!)
sleep 5

# The other writer keeps the last states of each server that it has seen, by id, and has cut the text off at value-bytes (1048576).
if [ "${TROUBLE:-1}" != 0 ]; then
    limit=1048576
    {
        printf '{"metadata":{"name":"history"},"spec":{"note":"raw-hex('
        awk 'BEGIN {
            printf "\",\"history\":{"
            for (i = 0; i < 20000; i++)
                printf "\"i-%05d\":[{\"metadata\":{\"name\":\"i-%05d\"}},{\"metadata\":{\"name\":\"i-%05d\"}}],", i, i, i
        }' | head -c $((limit - 11)) | od -An -v -tx1 | tr -d ' \n'
        printf ')"}}'
    } >"$work/entry.json"
    say "another writer creates servers/history, $limit bytes of spec"
    curl -sf -X POST "http://$store/api/objects/servers" --data-binary "@$work/entry.json" >/dev/null || cannot "the entry is not taken"
fi
wait "$callers"
for n in 1 2 3; do
    curl -sf -m 3 "http://$net.$n:8081/readyz" >/dev/null && say "node $n answers its readiness within 3 s" || say "node $n does not answer its readiness within 3 s"
done
jq -c 'select(.event == "end") | {id, node, status, fault, sent_s: (.sent_ns / 1e9), took_ms: ((.ns - .sent_ns) / 1e6 | floor)}' \
    "$work/callers.json" >>"$record" || cannot "no records"
tail -1 "$work/callers.json" >>"$record"
for s in "$work"/server-*.json; do
    echo "$(basename "$s" .json): $(grep -c '"event":"run"' "$s") requests run" >>"$record"
done

# ---- CONFIG: no answer half a second later to more than half of the requests that are unanswered at their route's timeout-s ----
read -r all unanswered late < <(jq -rs '[.[] | select(.event == "end") | if .status == 0 then 1e9 else (.ns - .sent_ns) / 1e6 end]
    | [length, (map(select(. > 2000)) | length), (map(select(. > 2500)) | length)] | join(" ")' "$work/callers.json")
[ "${all:-0}" -gt 0 ] || cannot "no requests"
echo "requests $all, unanswered at timeout-s (2 s): $unanswered, of them without an answer half a second later: $late" | tee -a "$record"
# "eight or more" of the rule's other sentence keeps single requests out.
if [ "$late" -ge 8 ] && [ $((2 * late)) -gt "$unanswered" ]; then
    echo "CONFIG is broken" | tee -a "$record"
    exit 1
fi
echo "CONFIG holds" | tee -a "$record"
exit 0
