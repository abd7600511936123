#!/usr/bin/env bash
# A soak of the real programs as separate processes on one machine, under faults from outside that overlap and repeat.
#
#   SEED=n       the schedule; printed as it is carried out, the same for the same seed (default 1)
#   ROUNDS=n     rounds of faults, each followed by a calm moment in which the promises are checked (default 4)
#   NODES=n      default 4, at most 90
#   SERVERS=n    for the keyed service (default 6); the other one has half as many
#   ONLY=KIND    only that kind of fault (see `faults`), to narrow a finding down; `links`: any of the links between programs
#   LINKS=1      a proxy lies between the programs, which are in two regions; its faults are drawn with the others
#
# Faults of links are unplanned: datagrams between nodes are lost, doubled, reordered, delayed and cut, connections to the
# store and to servers are cut, stalled, reset, delayed and throttled, and a region is cut off. Their draws are the seed's.
# Rounds are planned (stops, reloads, changes, a leaving server, a store in trouble) or unplanned (also kills and freezes).
# Promises, from what callers, servers and the store see:
#   records   nothing runs twice, no refused request has run, one owner for a key, fences rise (cw-verdict)
#   answers   each success is whole and the caller's own
#   cut       in a planned round no connection ends under a request, pipelined or not
#   unread    no request behind an answer that closed its connection has run
#   ends      a node that is told to stop ends by itself, with 0
#   calm      after a round, within the bounds: a new configuration is in force everywhere, and all keys are served
#   back      no process goes back to an older configuration
#   tenants   no caller's key reaches a server, each run names the tenant of the caller's key, and none is without
#   revoked   a key that was taken away runs nothing later than the bound, and is rejected by all nodes after a round
#   limit     a tenant's runs over all servers, in each window, are no more than its limit allows
#   records   ... and servers that name a rate limit in their answers get no more than it allows, those that say that they
#             leave get nothing two seconds later, and those that ask a node for rest get it (cw-verdict)
# Beside the faults servers begin and cease to name rate limits and to turn all away, several at once, by a generator of
# their own, so that a seed's schedule of faults is what it was.
# The last lines count the faults by kind and the findings; exit code 1 when there is a finding. KEEP=1 keeps the records.
SEED=${SEED:-1} ROUNDS=${ROUNDS:-4} COUNT=${NODES:-4} SERVERS=${SERVERS:-6} ONLY=${ONLY:-}
ENDPOINTS_MAX=16 # of the stand-in store
[ "$COUNT" -ge "$ENDPOINTS_MAX" ] || STORE_ENDPOINTS=$((COUNT + 1))
NODE_SETTINGS="stop_grace_ms: 5000"
LINKED=${LINKS:-}
[ "$ONLY" != links ] || LINKED=1
[ -z "$LINKED" ] || NODE_SETTINGS="$NODE_SETTINGS
zone_regions: [z1=east, z2=west, z3=west]"
CALLER_KEY=red-key # of the callers that nothing is taken away from
. "$(dirname "$0")/../../scripts/cluster.sh"
group_of() { case $1 in z1) echo east ;; *) echo west ;; esac; } # of the ends of links
CALM_S=12 # machines are held to their bounds 3 s after a fault; then 2 s for a change, and some slack for a busy machine
STATE=$SEED
VERSION=1
HTTP_MS=800
WORK_MS=40 RATE=80 ROUND_S=12 # some three requests are at work at any moment
PIPED_RATE=60 UPLOAD_BYTES=60000
# The tenant "limited" sends four times its rate; window, overshoot and slack are the nodes' own (docs/CONFIGURATION.md).
LIMIT_RATE=10 LIMIT_WINDOW_S=5 LIMIT_SLACK=20 LIMITED_RATE=40
# What servers say of themselves, in turn: far too little room, none at all, enough; and that they turn all away.
SERVER_SIGNALS=limit=6,rest=1.5,limit=2.5,none,rest=3,limit=0,limit=12,none
SIGNALS_STATE=$((SEED * 7919 + 1))
KEY_TURN=0 # the number of the tenant "red"'s other key, which is taken away and replaced
# Alone, a key taken away is held to configuration_within_ms and a second for a busy machine; under other faults to CALM_S.
if [ "$ONLY" = revoke ]; then REVOKED_WITHIN_MS=3000; else REVOKED_WITHIN_MS=$((CALM_S * 1000)); fi

say() { echo "$(date +%T.%3N) $*"; }
# Random numbers are drawn in this shell, not in a subshell, whose state would be lost. Both leave what they draw in DRAWN.
draw() { # FIRST COUNT: one of so many numbers
    STATE=$(((STATE * 1103515245 + 12345) % 2147483648))
    DRAWN=$((STATE / 65536 % $2 + $1))
}
draw_signal() { # COUNT: one of so many numbers, from 0
    SIGNALS_STATE=$(((SIGNALS_STATE * 1103515245 + 12345) % 2147483648))
    DRAWN=$((SIGNALS_STATE / 65536 % $1))
}
pick() { # ITEM...
    draw 1 $#
    DRAWN=${!DRAWN}
}
control() { curl -s -m 2 -X POST "http://$STORE/control?$1" >/dev/null; }
seconds() { echo "$(($1 / 10)).$(($1 % 10))"; } # of tenths
finding() { say "FINDING $*"; FINDINGS=$((FINDINGS + 1)); }
version_of() { curl -s -m 1 "http://$NET.$1:8081/metrics" | awk '/^cedarwinch_configuration_version/ {print $2}'; }
is_up() { kill -0 "${NODE_PIDS[$1]}" 2>/dev/null; }
eval "untenanted_$(declare -f configuration)"
configuration() { # VERSION: the usual one, with tenants
    untenanted_configuration "$1" | jq -c --arg turn "red-turn-$KEY_TURN" --argjson rate "$LIMIT_RATE" '. + {tenants: [
        {name: "red", "api-keys": ["red-key", $turn], priority: 1},
        {name: "limited", "api-keys": ["limited-key"], priority: 0, "rate-per-s": $rate}]}'
}
# The operator's next version: asked for again until the store acknowledges it.
change() {
    local body
    VERSION=$((VERSION + 1))
    body="{\"metadata\":{\"name\":\"main\"},\"spec\":$(configuration "$VERSION")}"
    until curl -sf -m 1 -X PUT "http://$STORE/api/objects/config/main" -d "$body" >/dev/null; do sleep 0.1; done
}

declare -A COUNTS=()
FINDINGS=0 SIGNALLED=0 NEXT_SERVER=0 UNREAD=0 LATE=0 JOBS=() TURN_CALLERS=()

# A server that has begun to run takes signals; before, they would end the shell that starts it.
is_started() { grep -qs '"start"' "$WORK/server-$1.json"; } # NAME

# A server of a new incarnation in place of one that goes.
replace_server() { # NAME SIGNAL
    local service=maps args=(--keyed) index
    case $1 in h*) service=hires args=(--hangs) ;; esac
    NEXT_SERVER=$((NEXT_SERVER + 1))
    cluster_server "${1%%_*}_$NEXT_SERVER" --signals "$SERVER_SIGNALS" --service "$service" --zone "z$((NEXT_SERVER % 3 + 1))" "${args[@]}" --work-ms "$WORK_MS"
    for index in "${!SERVER_NAMES[@]}"; do
        [ "${SERVER_NAMES[$index]}" != "$1" ] || SERVER_NAMES[index]="${1%%_*}_$NEXT_SERVER"
    done
    until_true is_started "$1"
    kill -"$2" "${SERVER_PIDS[$1]}"
}

planned_faults=(stop reload change storm leave down endpoint slow lose late forget mute refuse)
unplanned_faults=("${planned_faults[@]}" kill freeze crash kill_leader kill_many)
link_faults=(cut cut_one_way lose double reorder delay stall reset throttle cut_region)
[ -z "$LINKED" ] || unplanned_faults+=(links links links links) # as many as half of the others that strike processes

stop_node() { # NODE: ends by itself, and is started again by heal
    kill -TERM "${NODE_PIDS[$1]}" && STOPPED[$1]=${NODE_PIDS[$1]}
}

# A key is taken away and another added. Each round has one beside the faults that are drawn, so that the schedule is as it was.
revoke() {
    KEY_TURN=$((KEY_TURN + 1))
    change
    REVOKED[$((KEY_TURN - 1))]=$(monotonic_ms)
}

# What a fault of links lies between: two nodes, a node and the store, or all nodes and a server.
draw_ends() { # NODE KIND...; leaves them in ENDS
    local node=$1 other
    shift
    draw 1 "$COUNT"
    other=$DRAWN
    pick "$@"
    case $DRAWN in
    nodes) ENDS="n$node n$other" ;;
    store) ENDS="n$node store" ;;
    server) pick "${SERVER_NAMES[@]}"; ENDS="all $DRAWN" ;;
    esac
}
link_fault() { # NODE
    local kind
    pick "${link_faults[@]}"
    kind=$DRAWN
    case $kind in
    stall | reset | throttle) draw_ends "$1" store server server ;; # of connections
    *) draw_ends "$1" nodes nodes store server ;;
    esac
    COUNTS[links_$kind]=$((${COUNTS[links_$kind]:-0} + 1))
    case $kind in
    cut) link cut $ENDS ;;
    cut_one_way) link cut-one-way $ENDS ;;
    lose | double | reorder) draw 5 45; link "$kind" all all "$DRAWN"; ENDS="all all $DRAWN" ;;
    delay) draw 5 200; link delay $ENDS "$DRAWN"; ENDS="$ENDS $DRAWN" ;;
    stall | reset) link "$kind" $ENDS ;;
    throttle) draw 20 200; link throttle $ENDS "${DRAWN}00"; ENDS="$ENDS ${DRAWN}00" ;;
    cut_region) pick east west; link cut "$DRAWN" "$(other_region "$DRAWN")"; link cut "$DRAWN" store; ENDS=$DRAWN ;;
    esac
    say "link fault $kind $ENDS"
}

# Carries one fault out; those that last go on in the background and end before the round does.
fault() { # KIND
    local node how
    draw 1 "$COUNT"
    node=$DRAWN
    COUNTS[$1]=$((${COUNTS[$1]:-0} + 1))
    say "fault $1 node $node"
    case $1 in
    stop | kill | freeze) note_node trouble "$node" ;;
    kill_leader | kill_many) note_nodes trouble ;;
    links) note_nodes cut ;;
    esac
    case $1 in
    stop) [ -n "${STOPPED[$node]:-}" ] || stop_node "$node" ;;
    reload) kill -HUP "${NODE_PIDS[$node]}" 2>/dev/null ;;
    change) change ;;
    revoke) revoke ;;
    storm) for _ in 1 2 3 4 5 6 7 8; do change; draw 2 8; sleep "0.0$DRAWN"; done ;;
    leave) pick "${SERVER_NAMES[@]}"; replace_server "$DRAWN" TERM ;;
    crash) pick "${SERVER_NAMES[@]}"; replace_server "$DRAWN" KILL ;;
    down) pick silent busy reset; how=$DRAWN; draw 300 4000; control "down=$DRAWN&how=$how" ;;
    endpoint) pick silent busy reset; how=$DRAWN; draw 500 6000; control "down=$DRAWN&how=$how&endpoint=$((node + 1))" ;;
    links) link_fault "$node" ;;
    slow) draw 5 300; control "slow=$DRAWN" ;;
    lose) draw 1 4; control "lose=$DRAWN" ;;
    late) draw 1 4; control "late=$DRAWN" ;;
    forget) control forget=1 ;;
    mute) control mute=1 ;;
    refuse) draw 5 60; control "refuse=$DRAWN" ;;
    kill) kill -KILL "${NODE_PIDS[$node]}" 2>/dev/null ;;
    kill_leader) node=$(leader) && kill -KILL "${NODE_PIDS[$node]}" 2>/dev/null ;;
    kill_many) for node in $(seq 1 "$COUNT"); do draw 0 10; [ "$DRAWN" -ge 6 ] || kill -KILL "${NODE_PIDS[$node]}" 2>/dev/null; done ;;
    freeze)
        kill -STOP "${NODE_PIDS[$node]}" 2>/dev/null
        draw 2 40
        (sleep "$(seconds "$DRAWN")"; kill -CONT "${NODE_PIDS[$node]}" 2>/dev/null) &
        JOBS+=("$!")
        ;;
    esac
}

# Ends what goes on, and starts again what has ended.
heal() {
    local node code
    for job in "${JOBS[@]}"; do wait "$job"; done
    JOBS=()
    control "slow=0&mute=0&refuse=0&lose=0&late=0"
    [ -z "$LINKED" ] || link heal
    for node in $(seq 1 "$COUNT"); do
        if [ -n "${STOPPED[$node]:-}" ]; then
            wait "${STOPPED[$node]}"
            code=$?
            # 137: it was killed while it stopped
            [ "$code" = 0 ] || [ "$code" = 137 ] || finding "ends: node $node ended with $code"
            unset "STOPPED[$node]"
        fi
        is_up "$node" || start_node "$node"
    done
}

# Up to two servers say the next thing.
signal_servers() {
    local count name
    draw_signal 3
    count=$DRAWN
    while [ "$count" -gt 0 ]; do
        draw_signal "${#SERVER_NAMES[@]}"
        name=${SERVER_NAMES[$DRAWN]}
        is_started "$name" && kill -USR1 "${SERVER_PIDS[$name]}" 2>/dev/null
        SIGNALLED=$((SIGNALLED + 1))
        count=$((count - 1))
    done
}
end_signals() {
    local name
    for name in "${SERVER_NAMES[@]}"; do is_started "$name" && kill -USR2 "${SERVER_PIDS[$name]}" 2>/dev/null; done
}

# Nodes in trouble do not count for what servers are told: from its first moment on, until calm returns.
note_node() { # EVENT NODE: trouble (restarted or frozen), cut (from others), calm
    echo "{\"ns\":$(monotonic_ms)000000,\"event\":\"$1\",\"node\":\"$NET.$2:8080\"}" >>"$WORK/troubles.json"
}
note_nodes() { local node; for node in $(seq 1 "$COUNT"); do note_node "$1" "$node"; done; } # EVENT

declare -A STOPPED=() REVOKED=() # REVOKED: when the store had acknowledged that the key was taken away

monotonic_ms() { awk '{printf "%d", $1 * 1000}' /proc/uptime; } # the clock of servers' and callers' records

in_force_everywhere() { local node; for node in $(seq 1 "$COUNT"); do [ "$(version_of "$node")" = "$VERSION" ] || return 1; done; }
served_everywhere() {
    local key node
    for key in 0 10000 20000 30000 40000 50000 65535; do
        node=$((key % COUNT + 1))
        curl -sf -m 2 "http://$NET.$node:8080/docks/x" -H 'Host: maps.example' -H "X-Shard-Key: $key" \
            -H "X-Request-Id: calm-$key-$VERSION-$SECONDS-$RANDOM_ID" -H "X-Deadline-Ms: $HTTP_MS" \
            -H "Authorization: Bearer red-turn-$KEY_TURN" >/dev/null || return 1
        RANDOM_ID=$((RANDOM_ID + 1))
    done
}
RANDOM_ID=0
holds_within() { # SECONDS COMMAND
    local end=$((SECONDS + $1))
    until "$2"; do
        [ "$SECONDS" -lt "$end" ] || return 1
        sleep 0.1
    done
}

# With the version in force everywhere, no node serves a key that was taken away.
check_taken_keys() { # ROUND
    local node turn status
    for turn in "${!REVOKED[@]}"; do
        for node in $(seq 1 "$COUNT"); do
            status=$(curl -s -m 2 -o /dev/null -w '%{http_code}' -X POST "http://$NET.$node:8080/hire/x" -H 'Host: maps.example' \
                -H "X-Request-Id: taken-$turn-$node-$VERSION" -H "X-Deadline-Ms: $HTTP_MS" -H "Authorization: Bearer red-turn-$turn")
            [ "$status" = 401 ] || finding "revoked: round $1: node $node answers $status to key $turn, which was taken away"
        done
    done
}

calm() { # ROUND
    local node
    change
    holds_within "$CALM_S" in_force_everywhere ||
        finding "calm: round $1: version $VERSION is not in force everywhere: $(for node in $(seq 1 "$COUNT"); do version_of "$node"; done | xargs)"
    check_taken_keys "$1"
    holds_within "$CALM_S" served_everywhere || finding "calm: round $1: some keys are not served"
}

# Those with a key that is taken away in this round go on through the next one, to be later than the bound.
turn_callers() { # ROUND
    local KINDS=(--kind "maps.example,/hire/,POST,2000,0") rounds=2
    [ "$1" -lt "$ROUNDS" ] || rounds=1
    cluster_callers "turn$KEY_TURN-round$1" --credential "red-turn-$KEY_TURN" --rate 10 --count $((10 * ROUND_S * rounds))
}
# Beside the callers whose promises are checked: those with a limit, and those without a key.
other_callers() { # ROUND
    local KINDS=(--kind "maps.example,/hire/,POST,2000,0")
    cluster_callers "limited-round$1" --credential limited-key --rate "$LIMITED_RATE" --count $((LIMITED_RATE * ROUND_S)) &
    cluster_callers "none-round$1" --rate 5 --count $((5 * ROUND_S)) &
    wait
}
check_tenants() {
    local reached other
    reached=$(cat "$WORK"/server-*.json | jq -r 'select(.event=="credential").id' | wc -l)
    other=$(cat "$WORK"/server-*.json | jq -r 'select(.event=="run" and
        .tenant != (if .id|test("^limited-") then "limited" elif .id|test("^none-") then "nobody" else "red" end)) | "\(.id) ran for \(.tenant)"')
    [ "$reached" = 0 ] || finding "tenants: $reached requests reached a server with their caller's key"
    [ -z "$other" ] || finding "tenants: $(wc -l <<<"$other") runs name another tenant or none: $(head -1 <<<"$other")"
}
# Of requests with a key that was taken away, those sent later than the bound that have run.
check_revoked() {
    local turn late
    for turn in "${!REVOKED[@]}"; do
        cat "$WORK/callers-turn$turn"-*.json 2>/dev/null |
            jq -r --argjson after $((REVOKED[$turn] + REVOKED_WITHIN_MS)) 'select(.event=="end" and .ns / 1e6 - .ms > $after).id' >"$WORK/late"
        LATE=$((LATE + $(wc -l <"$WORK/late")))
        late=$(cat "$WORK"/server-*.json | jq -r 'select(.event=="run").id' | grep -xFf "$WORK/late" | xargs)
        [ -z "$late" ] || finding "revoked: key $turn, taken away at ${REVOKED[$turn]} ms, has run: $late"
    done
}
check_limit() {
    local most allowed=$((LIMIT_RATE * LIMIT_WINDOW_S * 11 / 10 + LIMIT_SLACK))
    most=$(cat "$WORK"/server-*.json | jq -s --argjson w "${LIMIT_WINDOW_S}000000000" \
        '[.[]|select(.event=="run" and .tenant=="limited").ns]|sort as $t|[range($t|length) as $i|[$t[$i:][]|select(. < $t[$i]+$w)]|length]|max // 0')
    say "limit: at most $most runs in a window, $allowed are allowed"
    [ "$most" -le "$allowed" ] || finding "limit: $most runs in a window of $LIMIT_WINDOW_S s, $allowed are allowed"
}

cut_connections() { # ROUND
    jq -s '[.[]|select(.event=="end" and .status==0 and (.fault=="connection ended early" or .fault=="connection reset" or .fault=="not an answer"))]|length' "$WORK/callers-round$1.json"
}

# Callers that send five requests at once on a connection, each fourth one an upload.
piped_callers() { # ROUND
    local maps="maps.example,/docks/,GET,2000,1" KINDS
    KINDS=(--kind "$maps" --kind "$maps" --kind "$maps" --kind "maps.example,/hire/,POST,2000,0")
    cluster_callers "piped$1" --credential "$CALLER_KEY" --pipeline 5 --body "$UPLOAD_BYTES" --rate "$PIPED_RATE" --count $((PIPED_RATE * ROUND_S))
}
piped_ended() { jq -rs "[.[]|select(.event==\"end\" and .fault==\"$2\").id]|$3" "$WORK/callers-piped$1.json"; }
unread_and_run() { # ROUND
    piped_ended "$1" "behind a closing answer" '.[]' >"$WORK/unread"
    [ ! -s "$WORK/unread" ] && echo 0 && return
    cat "$WORK"/server-*.json | jq -r 'select(.event=="run").id' | grep -cxFf "$WORK/unread"
}
check_piped() { # ROUND KIND
    local cut run
    cut=$(piped_ended "$1" cut length)
    run=$(unread_and_run "$1")
    UNREAD=$((UNREAD + $(sum_of "piped$1" unread)))
    [ "$2" = unplanned ] || [ "$cut" = 0 ] || finding "cut: round $1 (planned): $cut pipelined requests"
    [ "$run" = 0 ] || finding "unread: round $1: $run requests behind a closing answer have run"
    [ "$(sum_of "piped$1" wrong)" = 0 ] || finding "answers: round $1: pipelined answers that are another's"
}

round() { # NUMBER
    local kinds kind cut faults number
    draw 0 2
    if [ "$DRAWN" = 0 ]; then kind=planned kinds=("${planned_faults[@]}"); else kind=unplanned kinds=("${unplanned_faults[@]}"); fi
    if [ -n "$ONLY" ]; then
        kinds=("$ONLY")
        case " ${planned_faults[*]} revoke " in *" $ONLY "*) kind=planned ;; *) kind=unplanned ;; esac
    fi
    draw 4 8
    faults=$DRAWN
    say "round $1: $kind, $faults faults"
    (cluster_callers "round$1" --credential "$CALLER_KEY" --rate "$RATE" --count $((RATE * ROUND_S))) &
    local callers=$! piped others
    piped_callers "$1" &
    piped=$!
    (turn_callers "$1") &
    TURN_CALLERS+=("$!")
    (other_callers "$1") &
    others=$!
    for number in $(seq 1 "$faults"); do
        pick "${kinds[@]}"
        fault "$DRAWN"
        if [ "$number" = 2 ] && [ -z "$ONLY" ]; then
            say "a key is taken away"
            revoke
        fi
        signal_servers
        draw 1 12
        sleep "$(seconds "$DRAWN")"
    done
    end_signals
    heal
    note_nodes calm
    calm "$1"
    wait "$callers" "$piped" "$others"
    check_piped "$1" "$kind"
    cut=$(cut_connections "$1")
    [ "$kind" = unplanned ] || [ "$cut" = 0 ] || finding "cut: round $1 (planned): $cut connections ended under a request"
    [ "$(sum_of "round$1" wrong)" = 0 ] || finding "answers: round $1: answers that are not whole, or another's"
}

# A process's versions, in its log, never fall.
goes_back() {
    jq -rs '[.[]|select(.event=="start" or .event=="configuration accepted")]|reduce .[] as $e ({last:0,bad:0}; if $e.event=="start" then .last=0 elif $e.version<=.last then .bad+=1 else .last=$e.version end)|.bad' "$1" 2>/dev/null
}

say "seed $SEED, $ROUNDS rounds, $COUNT nodes"
cluster_start "$COUNT"
SERVER_NAMES=()
for i in $(seq 1 "$SERVERS"); do
    cluster_server "m$i" --signals "$SERVER_SIGNALS" --service maps --zone "z$(((i - 1) % 3 + 1))" --keyed --work-ms "$WORK_MS"
    SERVER_NAMES+=("m$i")
done
for i in $(seq 1 $(((SERVERS + 1) / 2))); do
    cluster_server "h$i" --signals "$SERVER_SIGNALS" --service hires --zone "z$(((i - 1) % 3 + 1))" --work-ms "$WORK_MS" --hangs
    SERVER_NAMES+=("h$i")
done
cluster_configure "$(configuration 1)"
cluster_wait_ready
cluster_wait_served
sleep 4 # processes that have just started are held to no bound
for number in $(seq 1 "$ROUNDS"); do round "$number"; done
for node in $(seq 1 "$COUNT"); do
    back=$(goes_back "$WORK/node$node.log")
    [ "${back:-0}" = 0 ] || finding "back: node $node went back $back times"
done
cluster_check >"$WORK/verdict.txt" || { cat "$WORK/verdict.txt"; finding "records: $(tail -1 "$WORK/verdict.txt")"; }
say "signals: $SIGNALLED, $(grep -h 'at servers with a limit' "$WORK/verdict.txt" || echo none counted)"
wait "${TURN_CALLERS[@]}"
check_tenants
check_revoked
check_limit
say "revoked: ${#REVOKED[@]} keys, $LATE requests later than the bound"
say "pipelined: $UNREAD requests lay behind a closing answer"
say "verdict: $(tail -1 "$WORK/verdict.txt")"
say "faults: $(for kind in "${!COUNTS[@]}"; do echo "$kind ${COUNTS[$kind]}"; done | sort | xargs)"
[ "$FINDINGS" = 0 ] || { KEEP=1; say "records are kept in $WORK"; }
echo "seed $SEED: $FINDINGS findings"
[ "$FINDINGS" = 0 ]
