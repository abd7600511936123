#!/usr/bin/env bash
# Demonstration: six nodes over three zones, both tenants' services at today's sizes on stand-ins, an intent of each
# planned and confirmed, some ten seconds of load, then the report. Exits 0 only when every step and every check held.
set -u
cd "$(dirname "$0")/.." || exit 2
. scripts/cluster.sh

NODES=6
SECONDS_OF_LOAD=${DEMO_SECONDS:-10}
OUTPUT=${DEMO_OUTPUT:-$(mktemp -d)}

begin_services() {
    start_service liffeyspoke map 14 2 4 --connections 110 --connection-ms 1 --probe-ms 6 --cold-ms 10 &&
        start_service liffeyspoke refunds 7 2 15 --connections 110 --connection-ms 1 --probe-ms 6 --cold-ms 10 &&
        start_service liffeyspoke unlocks 6 2 10 --connections 110 --connection-ms 1 --probe-ms 6 --cold-ms 10 &&
        start_service actas-rimac transcripts 20 4 6 --connections 130 --connection-ms 1 --cold-ms 40 &&
        start_service actas-rimac certifications 10 4 12 --connections 130 --connection-ms 1 --cold-ms 40 &&
        start_service actas-rimac invoices 6 4 10 --connections 130 --connection-ms 1 --cold-ms 40
}

write_intents() {
    intent_head liffeyspoke
    intent_service liffeyspoke map 14 2 110 0 4 1 2
    intent_service liffeyspoke refunds 7 2 110 1 4 1 2
    intent_service liffeyspoke unlocks 6 2 110 1 4 1 2
    intent_head actas-rimac
    intent_service actas-rimac transcripts 20 4 130 0 1 4 4
    intent_service actas-rimac certifications 10 4 130 1 1 4 4
    intent_service actas-rimac invoices 6 4 130 1 1 4 4
}

confirm_intents() {
    local tenant
    for tenant in liffeyspoke actas-rimac; do
        plan_and_confirm 1 "$tenant" "$ADMINISTRATOR_TOKEN" || return 1
    done
}

services_answer() {
    local pair
    for pair in liffeyspoke/map liffeyspoke/refunds liffeyspoke/unlocks actas-rimac/transcripts \
        actas-rimac/certifications actas-rimac/invoices; do
        key_answered 6 "${pair%/*}" "${pair#*/}" first-key || return 1
    done
}

gateways() {
    local node list=""
    for node in $(seq 1 "$NODES"); do
        list="$list --gateway $CLUSTER_NET.$node:7200"
    done
    echo "$list"
}

stream() {
    echo "--stream tenant=$1,service=$2,token=$1-caller,rate=$3,keys=$4,zipf=$5,method=$6,path=/,timeout_ms=1000,non_repeatable=$7"
}

drive_load() {
    # shellcheck disable=SC2046
    "$CLUSTER_BUILD/cw-load" --duration-s "$SECONDS_OF_LOAD" --seed 1 $(gateways) \
        $(stream liffeyspoke map 900 2000 0.9 GET 0) $(stream liffeyspoke unlocks 80 500 0.6 POST 1) \
        $(stream liffeyspoke refunds 20 500 0.2 POST 1) $(stream actas-rimac transcripts 900 2000 0.9 GET 0) \
        $(stream actas-rimac certifications 60 500 0.4 POST 1) $(stream actas-rimac invoices 20 500 0.2 POST 1) \
        --record "$OUTPUT/load.jsonl" --json "$OUTPUT/load.json"
}

step() {
    local what=$1
    shift
    echo "== $what"
    "$@" || {
        echo "demo: failed at: $what (logs in $OUTPUT/log)" >&2
        exit 1
    }
}

main() {
    cluster_begin "$OUTPUT"
    step "platform stand-in" start_platform
    step "63 back-end servers" begin_services
    write_intents
    step "$NODES nodes over three zones" start_nodes "$NODES"
    step "control group formed" wait_nodes_ready "$NODES"
    step "intents: plan and confirm" confirm_intents
    step "every service answers" wait_for "an answer of every service" 20 services_answer
    step "status" command_line 3 "$ADMINISTRATOR_TOKEN" status
    step "load of both tenants for $SECONDS_OF_LOAD s" drive_load
    step "report and checks over all records" "$CLUSTER_BUILD/cw-evidence" --load "$OUTPUT/load.jsonl" \
        "$CLUSTER_DIR"/record/*.jsonl
    echo "demo: all steps and checks held"
}

main
