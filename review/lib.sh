# Functions that the scripts of the cases share; sourced by review/N/run.sh, which sets CASE to its folder.
#
# Starts the deploy file's program (deploy/system.toml: target/cedarwinchd, with its settings file in CEDARWINCH_SETTINGS) and the
# project's stand-ins as separate processes, each on a loopback address of its own. Settings are those of deploy/settings.yaml,
# filled in as for a small deployment. All processes are ended by their process ids when the script ends.
# Exit codes: 1 the rule was broken, 0 it held, 2 the case could not run.
set -u
cd "$(dirname "${BASH_SOURCE[0]}")/.." || exit 2
TROUBLE=${TROUBLE:-1}
RECORD=$CASE/record.txt
ZONES=(quays-hall docklands-hall rathmines-hall)
RECOVERY_S=15 # bound `recovery-s` of the small deployments
NODES=8       # machines of the smallest deployment
NODE_PIDS=() PIDS=() ADDRESSES=""

say() { echo "$(date +%T.%3N) $*" | tee -a "$RECORD"; }
give_up() { say "the case could not run: $*"; exit 2; }

children_of() { cat /proc/[0-9]*/stat 2>/dev/null | awk -v parent="$1" '$4 == parent {print $1}'; }
end_tree() { # PID: ends the process and all that it started
    local child
    kill -STOP "$1" # so that it starts nothing meanwhile
    for child in $(children_of "$1"); do end_tree "$child"; done
    kill -KILL "$1"
}
end_all() { # by parents, not by the pids kept: that of a process that has ended may be another's by now
    local pid
    for pid in $(children_of "$$"); do end_tree "$pid"; done 2>/dev/null
    wait 2>/dev/null
    [ "${KEEP:-}" = 1 ] && echo "kept: $WORK" || rm -rf "$WORK"
}

begin() { # builds what is missing, and chooses addresses
    : >"$RECORD"
    [ -x target/cedarwinchd ] && [ -x build/cw-store ] && [ -x build/review/lenient-server ] && [ -x build/review/unreadable-relay ] || review/build.sh >/dev/null 2>&1 ||
        give_up "review/build.sh failed"
    WORK=$(mktemp -d)
    trap end_all EXIT # KEEP=1 keeps the temporary folder
    trap 'exit 2' INT TERM
    NET="127.$((RANDOM % 200 + 20)).$((RANDOM % 250 + 1))"
    say "TROUBLE=$TROUBLE, addresses $NET.x"
}

wait_for() { # SECONDS COMMAND...: until the command succeeds
    local end=$((SECONDS + $1))
    shift
    until "$@" >/dev/null 2>&1; do
        [ "$SECONDS" -lt "$end" ] || return 1
        sleep 0.1
    done
}

start_store() { # [ENDPOINTS]: with more than one, each node has an endpoint of its own
    build/cw-store --address "$NET.250" ${1:+--endpoints "$1"} ${PAGE:+--page "$PAGE"} >"$WORK/store.out" &
    PIDS+=("$!")
    wait_for 5 grep -q port "$WORK/store.out" || give_up "no store"
    STORE="$NET.250:$(awk '{print $2}' "$WORK/store.out")" # for the operator and the servers
    NODE_STORE=$STORE ENDPOINTS=${1:-1}
}
node_store() { # NODE: prints the address of the store for a node
    [ "$ENDPOINTS" = 1 ] && echo "$NODE_STORE" || echo "$NET.250:$(awk -v n="$1" '{print $(n + 2)}' "$WORK/store.out")"
}

write_settings() { # NODE [BOOTSTRAP]: the text of deploy/settings.yaml for a machine
    cat >"$WORK/node$1.yaml" <<YAML
node: front-${ZONES[$((($1 - 1) % 3))]}-$1
zone: ${ZONES[$((($1 - 1) % 3))]}
zone_regions: ["quays-hall=leinster","docklands-hall=leinster","rathmines-hall=leinster"]
address: $NET.$1
callers: $NET.$1:8548
readiness: $NET.$1:8542
readiness_path: /readyz
metrics_port: 9464
metrics_path: /metrics
peer_port: 7540
seeds: ["$NET.1:8544","$NET.2:8544","$NET.3:8544"]
store: $(node_store "$1")
hold_max_ms: 10000
drain_ms: 2000
configuration_within_ms: 2000
server_heartbeat_ms: 1300
cpu_share: 0.2
${2:+first_look_within_ms: 1000}
link_mbps: 1000.0
memory_mb: 260
stop_grace_ms: 6000
retry_window_ms: 10000
retry_ratio: 0.2
retry_extra: 56
credential_scheme: Token
log_level: info
YAML
}

start_node() { # NODE [BOOTSTRAP]
    write_settings "$@"
    CEDARWINCH_SETTINGS="$WORK/node$1.yaml" target/cedarwinchd >>"$WORK/node$1.log" 2>>"$WORK/node$1.err" &
    NODE_PIDS[$1]=$!
    PIDS+=("$!")
}

start_nodes() {
    local n
    for n in $(seq 1 "$NODES"); do
        start_node "$n" bootstrap
        ADDRESSES="$ADDRESSES${ADDRESSES:+,}$NET.$n:8548"
    done
}

are_ready() {
    local n
    for n in $(seq 1 "$NODES"); do curl -sf -m 1 "http://$NET.$n:8542/readyz" || return 1; done
}

store_object() { # KIND NAME SPEC: creates an object in the store
    curl -sf -m 2 -X POST "http://$STORE/api/objects/$1" -d "{\"metadata\":{\"name\":\"$2\"},\"spec\":$3}"
}

configure() {
    store_object config main '{"version":1,"routes":[
 {"name":"dock-reads","host":"dock.example","path-prefix":"/docks/","route-type":"safe","timeout_ms":2000,"aim_ms":500,"priority":2,"max-attempts":3,"service":"dockmap"},
 {"name":"unlocks","host":"dock.example","path-prefix":"/unlock/","route-type":"unsafe","timeout_ms":1200,"aim_ms":300,"priority":0,"max-attempts":2,"service":"hiresvc"}],
 "services":[{"name":"dockmap","health-path":"/health","max-connections":110,"use-sharding":true,"warm-s":3.0},{"name":"hiresvc","health-path":"/health","max-connections":110}],
 "limits":{"max-header-bytes":16384,"max-body-bytes":67108864,"header_timeout_ms":3000,"idle_timeout_ms":15000}}' >/dev/null ||
        give_up "the store does not take the configuration"
}

# Starts so many servers of the service that is divided by key, or of the other one. Their records go to $WORK/server-*.json.
start_servers() { # SERVICE COUNT ARGS...
    local service=$1 count=$2 i
    shift 2
    for i in $(seq 1 "$count"); do
        build/cw-server --address "$NET.100" --store "$STORE" --service "$service" --zone "${ZONES[$(((i - 1) % 3))]}" --capacity 2 \
            --heartbeat-ms 1300 "$@" >"$WORK/server-$service$i.json" &
        PIDS+=("$!")
    done
}
