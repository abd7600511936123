#!/usr/bin/env bash
# Accepted configuration on separate processes: racing operators, a write whose answer is lost, an outage of the store,
# loss of the leader right after acceptance.
set -u
cd "$(dirname "$0")/../.." || exit 2
. scripts/process_test.sh

# make_plan NODE FILE: prints the plan's id.
make_plan() {
    command_line "$1" liffeyspoke-operator --json plan "$2" | grep -oE '"plan": *"[^"]+"' | cut -d'"' -f4
}

confirm() {
    command_line "$1" liffeyspoke-operator confirm "$2" >>"$CLUSTER_DIR/confirm.out" 2>&1
}

# intent_variant NAME TIMEOUT: the accepted intent with another timeout.
intent_variant() {
    sed "s/timeout_ms: 1000/timeout_ms: $2/" "$CLUSTER_DIR/intent/liffeyspoke.yaml" >"$CLUSTER_DIR/intent/$1.yaml"
}

version_at_store() {
    curl -sf -o /dev/null -D - "http://$STORE_ADDRESS:$STORE_PORT/objects/config/liffeyspoke" |
        tr -d '\r' | awk 'tolower($1) == "x-version:" { print $2 }'
}

accepted_version() {
    command_line "$1" "$ADMINISTRATOR_TOKEN" status | awk '/^tenant liffeyspoke:/ { print $4 + 0 }'
}

versions_agree() {
    [ "$(accepted_version 6)" = "$(version_at_store)" ]
}

# exactly_one CODE CODE: one operator won, the other was refused.
exactly_one() {
    { [ "$1" = 0 ] && [ "$2" = 1 ]; } || { [ "$1" = 1 ] && [ "$2" = 0 ]; }
}

start_test
configure_test
before=$(version_at_store)

# Two operators confirm conflicting plans at the same time, through different nodes.
intent_variant first 1100
intent_variant second 1200
first=$(make_plan 2 "$CLUSTER_DIR/intent/first.yaml")
second=$(make_plan 3 "$CLUSTER_DIR/intent/second.yaml")
confirm 2 "$first" &
first_pid=$!
confirm 3 "$second" &
second_pid=$!
wait "$first_pid"; first_code=$?
wait "$second_pid"; second_code=$?
check "of two racing operators exactly one is accepted" exactly_one "$first_code" "$second_code"
check "the store holds one new version" test "$(version_at_store)" = "$((before + 1))"
check "a used or stale plan is refused" test "$(confirm 4 "$first"; echo $?)$(confirm 4 "$second"; echo $?)" != 00

# The write takes effect but its answer is lost.
intent_variant lost 1300
plan=$(make_plan 2 "$CLUSTER_DIR/intent/lost.yaml")
platform_faults '{"mode":"lose_answer","count":1}'
check "a write whose answer was lost is settled as accepted" confirm 2 "$plan"
check "it was written once" test "$(version_at_store)" = "$((before + 2))"

# With the store down nothing is accepted, and that is said.
intent_variant down 1400
plan=$(make_plan 2 "$CLUSTER_DIR/intent/down.yaml")
platform_faults '{"mode":"refuse"}'
check "with the store down the plan is refused as unavailable" test "$(confirm 2 "$plan"; echo $?)" = 3
platform_faults '{"mode":"ok"}'
check "and nothing was written" test "$(version_at_store)" = "$((before + 2))"

# The leader is lost right after acceptance: the accepted version stays.
plan=$(make_plan 2 "$CLUSTER_DIR/intent/down.yaml")
leader=$(leader_node 6)
check "the same intent is accepted when the store is back" confirm 6 "$plan"
end_process "node$leader" KILL
check "the accepted version is in force under the next leader" wait_for "version" 20 versions_agree
check "it is the newest" test "$(version_at_store)" = "$((before + 3))"
check "every node has it in force" wait_for "version in force" 20 in_force_everywhere 6
finish_test
