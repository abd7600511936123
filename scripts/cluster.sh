#!/usr/bin/env bash
# Library for harness scripts: starts stand-ins and nodes as processes on loopback addresses and ends them again.
# Every process started here is ended by its own process id. Source it, then call cluster_begin.
set -u

CLUSTER_BUILD=${BUILD:-build}
ADMINISTRATOR_TOKEN=administrator-token
declare -A CLUSTER_PIDS=()
declare -A CLUSTER_PORTS=()

# cluster_begin DIRECTORY: files go there; loopback network 127.N.x.x with N from the process id, so that several
# clusters can run side by side with fixed ports.
cluster_begin() {
    CLUSTER_DIR=$1
    CLUSTER_NET="127.$((20 + $$ % 200)).$((($$ / 200) % 200))"
    mkdir -p "$CLUSTER_DIR/log" "$CLUSTER_DIR/record" "$CLUSTER_DIR/settings" "$CLUSTER_DIR/intent"
    STORE_ADDRESS="$CLUSTER_NET.250"
    STORE_PORT=7000
    trap cluster_end EXIT
    trap 'exit 130' INT TERM
}

cluster_end() {
    local name
    for name in "${!CLUSTER_PIDS[@]}"; do
        kill -CONT "${CLUSTER_PIDS[$name]}" 2>/dev/null
        kill -KILL "${CLUSTER_PIDS[$name]}" 2>/dev/null
    done
    for name in "${!CLUSTER_PIDS[@]}"; do
        wait "${CLUSTER_PIDS[$name]}" 2>/dev/null
    done
    CLUSTER_PIDS=()
}

# start_process NAME COMMAND...
start_process() {
    local name=$1
    shift
    "$@" >>"$CLUSTER_DIR/log/$name.out" 2>>"$CLUSTER_DIR/log/$name.log" </dev/null &
    CLUSTER_PIDS[$name]=$!
}

# signal_process NAME SIGNAL
signal_process() {
    kill "-$2" "${CLUSTER_PIDS[$1]}"
}

# end_process NAME SIGNAL: signals and waits for the end; returns the exit code.
end_process() {
    local pid=${CLUSTER_PIDS[$1]} code
    unset "CLUSTER_PIDS[$1]"
    kill "-$2" "$pid"
    wait "$pid" 2>/dev/null
    code=$?
    return $code
}

# wait_for WHAT SECONDS COMMAND...: polls until the command succeeds, however long each try takes.
wait_for() {
    local what=$1 end=$((SECONDS + $2))
    shift 2
    while ! "$@" >/dev/null 2>&1; do
        if [ "$SECONDS" -ge "$end" ]; then
            echo "gave up waiting for: $what" >&2
            return 1
        fi
        sleep 0.05
    done
}

sha256_of() {
    printf '%s' "$1" | sha256sum | cut -d' ' -f1
}

start_platform() {
    start_process platform "$CLUSTER_BUILD/cw-platform" --address "$STORE_ADDRESS" --port "$STORE_PORT" "$@"
    wait_for "the platform stand-in" 10 curl -sf "http://$STORE_ADDRESS:$STORE_PORT/machines"
}

# platform_faults JSON
platform_faults() {
    curl -sf -X POST -d "$1" "http://$STORE_ADDRESS:$STORE_PORT/stand-in/faults"
}

port_printed() {
    [ -s "$CLUSTER_DIR/log/$1.out" ]
}

# start_backend TENANT SERVICE NUMBER ZONE FLAGS...: a server process; its port is chosen by the system.
start_backend() {
    local tenant=$1 service=$2 number=$3 zone=$4 name
    name="$tenant-$service-$number"
    shift 4
    : >"$CLUSTER_DIR/log/$name.out"
    start_process "$name" "$CLUSTER_BUILD/cw-backend" --address "$CLUSTER_NET.200" --port "${CLUSTER_PORTS[$name]:-0}" \
        --name "$tenant/$service/s$number" --zone "$zone" --record "$CLUSTER_DIR/record/$name.jsonl" "$@"
}

# learn_backend_port TENANT SERVICE NUMBER
learn_backend_port() {
    local name="$1-$2-$3"
    wait_for "port of $name" 10 port_printed "$name" || return 1
    CLUSTER_PORTS[$name]=$(grep -oE '[0-9]+' "$CLUSTER_DIR/log/$name.out" | tail -1)
}

# write_settings NODE ZONE NODE_COUNT
write_settings() {
    local node=$1 zone=$2 count=$3 seed zones=(a b c)
    {
        echo "node_id: $node"
        echo "address: $CLUSTER_NET.$node"
        echo "zone: $zone"
        echo "region: local"
        echo "peer_port: 7100"
        echo "http_port: 7200"
        echo "store_address: $STORE_ADDRESS"
        echo "store_port: $STORE_PORT"
        echo "log_level: ${LOG_LEVEL:-info}"
        echo "administrator_tokens: [$(sha256_of "$ADMINISTRATOR_TOKEN")]"
        echo "seeds:"
        for seed in $(seq 1 "$count"); do
            echo "  - {id: $seed, address: $CLUSTER_NET.$seed, peer_port: 7100, zone: ${zones[$(((seed - 1) % 3))]}}"
        done
    } >"$CLUSTER_DIR/settings/node$node.yaml"
}

# start_node NODE
start_node() {
    start_process "node$1" "$CLUSTER_BUILD/cedarwinchd" --settings "$CLUSTER_DIR/settings/node$1.yaml"
}

# start_nodes COUNT: settings and processes, spread over zones a, b and c.
start_nodes() {
    local node zones=(a b c)
    for node in $(seq 1 "$1"); do
        write_settings "$node" "${zones[$(((node - 1) % 3))]}" "$1"
        start_node "$node"
    done
}

node_ready() {
    curl -sf --max-time 2 "http://$CLUSTER_NET.$1:7200/readyz"
}

# wait_nodes_ready COUNT
wait_nodes_ready() {
    local node
    for node in $(seq 1 "$1"); do
        wait_for "node $node to be ready" 20 node_ready "$node" || return 1
    done
}

# command_line NODE TOKEN ARGUMENTS...: the operators' command line against one node.
command_line() {
    local node=$1 token=$2
    shift 2
    CEDARWINCH_NODE="$CLUSTER_NET.$node:7200" CEDARWINCH_TOKEN="$token" "$CLUSTER_BUILD/cedarwinch" "$@"
}

# intent_head TENANT: begins $CLUSTER_DIR/intent/TENANT.yaml.
intent_head() {
    {
        echo "tenant: $1"
        echo "operator_tokens: [$(sha256_of "$1-operator")]"
        echo "caller_tokens: [$(sha256_of "$1-caller")]"
        echo "limits: {requests_per_second: 20000, concurrent_requests: 4000}"
        echo "services:"
    } >"$CLUSTER_DIR/intent/$1.yaml"
}

# intent_service TENANT SERVICE SERVERS SLOTS CONNECTIONS NON_REPEATABLE(0|1) IMBALANCE CHURN UNAVAILABLE
intent_service() {
    local tenant=$1 service=$2 servers=$3 number zones=(a b c)
    {
        echo "  - name: $service"
        echo "    slots_per_server: $4"
        echo "    connections_per_server: $5"
        echo "    timeout_ms: 1000"
        [ "$6" = 0 ] || echo "    non_repeatable: [{method: POST, path_prefix: /}]"
        echo "    weights: {imbalance: $7, churn: $8, unavailable: $9}"
        echo "    servers:"
        for number in $(seq 1 "$servers"); do
            echo "      - {name: s$number, address: $CLUSTER_NET.200, port: ${CLUSTER_PORTS[$tenant-$service-$number]}," \
                "zone: ${zones[$(((number - 1) % 3))]}}"
        done
    } >>"$CLUSTER_DIR/intent/$tenant.yaml"
}

# start_service TENANT SERVICE SERVERS SLOTS SERVICE_MS FLAGS...
start_service() {
    local tenant=$1 service=$2 servers=$3 slots=$4 service_ms=$5 number zones=(a b c)
    shift 5
    for number in $(seq 1 "$servers"); do
        start_backend "$tenant" "$service" "$number" "${zones[$(((number - 1) % 3))]}" --slots "$slots" \
            --service-ms "$service_ms" --seed "$number" "$@"
    done
    for number in $(seq 1 "$servers"); do
        learn_backend_port "$tenant" "$service" "$number" || return 1
    done
}

# plan_and_confirm NODE TENANT TOKEN: prints the plan, confirms it.
plan_and_confirm() {
    local plan
    command_line "$1" "$3" plan "$CLUSTER_DIR/intent/$2.yaml" || return 1
    plan=$(command_line "$1" "$3" --json plan "$CLUSTER_DIR/intent/$2.yaml" | grep -oE '"plan": *"[^"]+"' | cut -d'"' -f4)
    [ -n "$plan" ] || return 1
    command_line "$1" "$3" confirm "$plan"
}

# service_owned NODE TENANT SERVICE: every range of the service is granted and its lease alive.
service_owned() {
    command_line "$1" "$ADMINISTRATOR_TOKEN" --json status | grep -q "\"$3\"" || return 1
}

# key_answered NODE TENANT SERVICE KEY: a read of one key through one node is answered.
key_answered() {
    curl -sf --max-time 2 -H "authorization: Bearer $2-caller" "http://$CLUSTER_NET.$1:7200/v1/$2/$3/$4"
}
