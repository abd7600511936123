#!/usr/bin/env bash
# Tenants that do not trust one another on separate processes: a flood far beyond one tenant's limits leaves the other's
# latency within a stated ratio, tokens open their own tenant only, no tenant sees another's names, and what is refused
# reaches no server.
set -u
cd "$(dirname "$0")/../.." || exit 2
TEST_NODES=3
. scripts/process_test.sh

# p99 with the flood over p99 without it, within this run; the floor keeps noise of sub-millisecond latencies out.
P99_RATIO=4
P99_FLOOR_MS=10

HTTP_PORT=7200

# call TENANT SERVICE KEY TOKEN [CURL FLAGS...]: prints "STATUS OUTCOME REASON" and the body on a line of its own.
call() {
    local tenant=$1 service=$2 key=$3 token=$4
    shift 4
    curl -si --max-time 5 -H "authorization: Bearer $token" "$@" \
        "http://$CLUSTER_NET.1:$HTTP_PORT/v1/$tenant/$service/$key" | tr -d '\r' | awk '
        NR == 1 { status = $2 }
        !body && tolower($1) == "cw-outcome:" { outcome = $2 }
        !body && tolower($1) == "cw-reason:" { reason = $2 }
        body { text = text $0 }
        $0 == "" { body = 1 }
        END { print status, outcome, reason; print text }'
}

# raw TEXT: sends bytes to node 1, prints status and outcome of what comes back.
raw() {
    exec 7<>"/dev/tcp/$CLUSTER_NET.1/$HTTP_PORT"
    printf '%b' "$1" >&7
    timeout 5 cat <&7 | tr -d '\r' | awk 'NR == 1 { status = $2 } tolower($1) == "cw-outcome:" { outcome = $2 }
        END { print status, outcome }'
    exec 7>&-
}

# executions: of both tenants' servers.
executions() {
    cat "$CLUSTER_DIR"/record/*.jsonl | grep -c '"event":"start"'
}

# refused_count REASON: refusals counted by node 1.
refused_count() {
    curl -sf "http://$CLUSTER_NET.1:$HTTP_PORT/metrics" |
        awk -v name="cedarwinch_gateway_refusals_total{reason=\"$1\"}" '$1 == name { print $2 }'
}

# is_refused WANTED ACTUAL: "STATUS OUTCOME REASON" on the first line, and the outcome in the body.
is_refused() {
    [ "$(head -1 <<<"$2")" = "$1" ] && grep -q '"outcome":"not-run"' <<<"$2"
}

# stranger_learns_nothing: a wrong token for a known tenant, and an unknown tenant, give the very same answer.
stranger_learns_nothing() {
    local known unknown
    known=$(call rimac transcripts k stolen)
    unknown=$(call nobody transcripts k stolen)
    [ "$known" = "$unknown" ] && is_refused "401 not-run unauthorized" "$known"
}

# hides NAME COMMAND...: no output line of the command holds the name.
hides() {
    local name=$1
    shift
    ! "$@" 2>&1 | grep -i "$name"
}

# refused COMMAND...: the command fails.
refused() {
    ! "$@" >/dev/null 2>&1
}

# load_command NAME SECONDS STREAM: sets LOAD_COMMAND, which leaves NAME.json and NAME.jsonl.
load_command() {
    LOAD_COMMAND=("$CLUSTER_BUILD/cw-load" --duration-s "$2" --seed 11 --connections 60
        --gateway "$CLUSTER_NET.1:$HTTP_PORT" --gateway "$CLUSTER_NET.2:$HTTP_PORT"
        --gateway "$CLUSTER_NET.3:$HTTP_PORT" --json "$CLUSTER_DIR/$1.json" --record "$CLUSTER_DIR/$1.jsonl" --stream "$3")
}

flood_refused() {
    grep -q '"reason":"rate-limit"' "$CLUSTER_DIR/flood.jsonl"
}

# p99_of NAME: of the answered requests of the first stream, in milliseconds.
p99_of() {
    awk '/"answered": \{/ { inside = 1 } inside && /"p99_ms"/ { gsub(/[^0-9.]/, "", $2); print $2; exit }' \
        "$CLUSTER_DIR/$1.json"
}

# share_answered NAME TENANT: answered over all requests of a tenant, in percent.
share_answered() {
    grep "\"tenant\":\"$2\"" "$CLUSTER_DIR/$1.jsonl" |
        awk '{ all++ } /"outcome":"answered"/ { answered++ } END { printf "%d", 100 * answered / all }'
}

within_ratio() {
    awk -v quiet="$1" -v flooded="$2" -v ratio="$P99_RATIO" -v floor="$P99_FLOOR_MS" \
        'BEGIN { base = quiet > floor ? quiet : floor; exit !(flooded > 0 && flooded <= ratio * base) }'
}

cluster_begin "$(mktemp -d)"
start_platform || exit 1
start_service liffeyspoke map 3 2 3 || exit 1
start_service rimac transcripts 3 4 3 || exit 1
intent_head liffeyspoke
sed -i 's/^limits:.*/limits: {requests_per_second: 100, concurrent_requests: 60}/' "$CLUSTER_DIR/intent/liffeyspoke.yaml"
intent_service liffeyspoke map 3 2 110 0 4 1 2
intent_head rimac
intent_service rimac transcripts 3 4 130 0 1 4 4
start_nodes "$TEST_NODES"
wait_nodes_ready "$TEST_NODES" || exit 1
plan_and_confirm 1 liffeyspoke "$ADMINISTRATOR_TOKEN" >/dev/null || exit 1
plan_and_confirm 1 rimac "$ADMINISTRATOR_TOKEN" >/dev/null || exit 1
for node in 1 2 3; do
    wait_for "map to answer" 20 key_answered "$node" liffeyspoke map k || exit 1
    wait_for "transcripts to answer" 20 key_answered "$node" rimac transcripts k || exit 1
done

# What is refused: says so, reaches no server, is counted once.
before=$(executions)
refusals=$(refused_count unauthorized)
check "a wrong token and an unknown tenant are refused alike" stranger_learns_nothing
check "each was counted once" test "$(refused_count unauthorized)" = "$((refusals + 2))"
check "another tenant's token is refused" is_refused "401 not-run unauthorized" "$(call rimac transcripts k liffeyspoke-caller)"
check "no token is refused" is_refused "401 not-run unauthorized" "$(call rimac transcripts k '')"
check "an unknown service is refused" is_refused "404 not-run not-found" "$(call rimac nothing k rimac-caller)"
check "another tenant's service is not found" is_refused "404 not-run not-found" "$(call rimac map k rimac-caller)"
check "an oversized key is refused" \
    is_refused "400 not-run bad-request" "$(call rimac transcripts "$(printf 'k%.0s' $(seq 1 2000))" rimac-caller)"
check "a key with a control character is refused" is_refused "400 not-run bad-request" "$(call rimac transcripts 'a%00b' rimac-caller)"
check "a malformed request id is refused" \
    is_refused "400 not-run bad-request" "$(call rimac transcripts k rimac-caller -H 'request-id: 17')"
check "an id that is not of version 7 is refused" is_refused "400 not-run bad-request" \
    "$(call rimac transcripts k rimac-caller -H 'request-id: 6ba7b810-9dad-11d1-80b4-00c04fd430c8')"
check "an id of the far future is refused" is_refused "400 not-run id-in-future" \
    "$(call rimac transcripts k rimac-caller -H 'request-id: fffffff0-0000-7000-8000-000000000000')"
check "a malformed timeout is refused" \
    is_refused "400 not-run bad-request" "$(call rimac transcripts k rimac-caller -H 'request-timeout-ms: soon')"
post='POST /v1/rimac/transcripts/k HTTP/1.1\r\nhost: a\r\n'
# These two are answered by the HTTP library itself, without the router's headers.
check "malformed HTTP is refused" test "$(raw 'BREW /v1/rimac HTTP/9\r\n\r\n')" = "400 "
check "a malformed header is refused" test "$(raw "${post}no colon\r\n\r\n")" = "400 "
check "a malformed length is refused" test "$(raw "${post}content-length: 4x\r\n\r\nabcd")" = "400 not-run"
check "a malformed chunk is refused" test "$(raw "${post}transfer-encoding: chunked\r\n\r\nzz\r\n")" = "400 not-run"
check "an oversized body is refused" test "$(raw "${post}content-length: 104857600\r\n\r\nabcd")" = "413 not-run"
check "a path that climbs is refused" \
    test "$(raw 'GET /v1/rimac/../../metrics HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n')" = "400 not-run"
check "nothing of this reached a server" test "$(executions)" = "$before"

# Names stay apart for operators, too.
check "an operator's status hides the other tenant" hides rimac command_line 2 liffeyspoke-operator status
check "it shows the own" test "$(command_line 2 rimac-operator status | grep -c '^tenant rimac:')" = 1
check "a stranger's status is refused" refused command_line 2 stolen status
check "a stranger's status names nobody" hides 'rimac\|liffeyspoke' command_line 2 stolen status
check "explain of another's key is refused" refused command_line 3 liffeyspoke-operator explain rimac/transcripts k
check "and looks like one of an unknown tenant" test \
    "$(command_line 3 liffeyspoke-operator explain rimac/transcripts k 2>&1)" = \
    "$(command_line 3 liffeyspoke-operator explain nobody/transcripts k 2>&1)"
check "a plan for another tenant is refused" refused command_line 1 liffeyspoke-operator plan "$CLUSTER_DIR/intent/rimac.yaml"
check "a drain of another's server is refused" refused command_line 1 liffeyspoke-operator drain rimac/transcripts/s1
plan=$(command_line 1 rimac-operator --json plan "$CLUSTER_DIR/intent/rimac.yaml" | grep -oE '"plan": *"[^"]+"' | cut -d'"' -f4)
check "another's plan cannot be confirmed" refused command_line 1 liffeyspoke-operator confirm "$plan"
check "a caller's token is no operator's" refused command_line 1 rimac-caller status

# A flood of more than ten times the limits of one tenant, which hold at each of the three gateways.
rimac="tenant=rimac,service=transcripts,token=rimac-caller,rate=150,keys=200,zipf=0.6,method=GET,path=/,timeout_ms=1000"
flood="tenant=liffeyspoke,service=map,token=liffeyspoke-caller,rate=4000,keys=200,zipf=0.6,method=GET,path=/,timeout_ms=1000"
load_command quiet 5 "$rimac"
"${LOAD_COMMAND[@]}" >/dev/null
load_command flood 60 "$flood"
start_process flood "${LOAD_COMMAND[@]}"
wait_for "the flood to meet its limits" 20 flood_refused
load_command flooded 5 "$rimac"
"${LOAD_COMMAND[@]}" >/dev/null
check "the flood lasted as long" signal_process flood TERM
wait "${CLUSTER_PIDS[flood]}"
quiet=$(p99_of quiet)
flooded=$(p99_of flooded)
echo "p99 of rimac: $quiet ms without, $flooded ms with the flood; answered $(share_answered quiet rimac)%," \
    "$(share_answered flooded rimac)%; the flood's own: $(share_answered flood liffeyspoke)%"
check "the other tenant's p99 stays within $P99_RATIO times (at least $P99_FLOOR_MS ms) its own without the flood" \
    within_ratio "$quiet" "$flooded"
check "the other tenant is answered under the flood" test "$(share_answered flooded rimac)" -ge 99
check "the flood is held to its limits" test "$(share_answered flood liffeyspoke)" -le 20
check "and is answered up to them" test "$(share_answered flood liffeyspoke)" -ge 3
cat "$CLUSTER_DIR"/{quiet,flooded,flood}.jsonl >"$CLUSTER_DIR/load.jsonl"
check "the records show no violation" evidence
finish_test
