#!/usr/bin/env bash
# Soak test: nodes stand still, restart and lose their connections to the store, while callers leave and versions of the
# configuration follow one another 25 times a second. Real processes, random faults that overlap.
#
#   SEED=n       seed of the schedule of faults, which is printed as it is carried out (default 1)
#   ROUNDS=n     number of rounds (default 3), NODES=n number of nodes (default 4), SERVERS=n of the service hires (default 3)
#   NEWEST_MS=n  time within which a version has to be in force (default: the bound that nodes are given, 2000)
#
# Promises that are checked:
#   gone      no server begins a request more than half a second after its caller has left or its time was over, whether its
#             node stood still or not
#   newest    a version that the store has acknowledged is in force at each node within the bound, or a later one is; nodes in
#             trouble within 3 s before the acknowledgement or until the bound are left out
#   back      no process goes back to an older configuration
#   records   nothing runs twice, no refused request has run, each key has one owner (cw-verdict)
# KEEP=1 keeps the records. The exit code is 1 if there is a finding.
SEED=${SEED:-1} ROUNDS=${ROUNDS:-3} COUNT=${NODES:-4} SERVERS=${SERVERS:-3} NEWEST_MS=${NEWEST_MS:-2000}
LINKED=1
. "$(dirname "$0")/../../scripts/cluster.sh"
. "$(dirname "$0")/lib/draws.sh"
VERSION=1 ROUND_S=8 LEAVERS=4 STAY_S=2.5
GONE_MS=500      # bound for work on a request whose caller has left
IN_TOUCH_MS=3000 # a node is bound this long after its trouble
JOBS=()
wall_ms() { echo $((${EPOCHREALTIME/./} / 1000)); }
# Time since boot, the clock of the servers' records, with a resolution of 10 ms.
boot_ms() { local up; read -r up _ </proc/uptime; echo $((10#${up/./} * 10)); }
seconds() { printf '%d.%03d' $(($1 / 1000)) $(($1 % 1000)); } # MS

# Writes versions of the configuration, one each 40 ms, and notes when the store has acknowledged each.
write_versions() { # FIRST COUNT
    local version
    for version in $(seq "$1" $(($1 + $2 - 1))); do
        cluster_configure "$(configuration "$version")" && echo "$version $(wall_ms)" >>"$WORK/acknowledged"
        sleep 0.025
    done
}

# A caller that sends requests to all nodes in turn and leaves each after a moment, or waits longer than its time. Notes when
# each request was given up: its id and that time.
leave_requests() { # NAME: the loop ends with the file $WORK/round
    local fd number=0 node wait deadline
    while [ -e "$WORK/round" ]; do
        number=$((number + 1))
        node=$((number % COUNT + 1))
        wait=$((20 + number * 37 % 300)) deadline=5000
        [ $((number % 2)) = 0 ] || deadline=$wait
        exec {fd}<>"/dev/tcp/$NET.$node/8080" || continue
        printf 'POST /hire/x HTTP/1.1\r\nHost: maps.example\r\nX-Request-Id: %s-%d\r\nX-Deadline-Ms: %d\r\nContent-Length: 0\r\n\r\n' \
            "$1" "$number" "$deadline" >&"$fd"
        sleep "$(seconds "$wait")"
        echo "$1-$number $(boot_ms)" >>"$WORK/given-up"
        [ "$deadline" = 5000 ] || sleep "$STAY_S" & # its time is over, and its connection stays open
        eval "exec $fd>&-"
    done 2>/dev/null
}

trouble() { echo "$1 $2 $(wall_ms)" >>"$WORK/trouble"; } # NODE begin|end
fault() { # carries out one fault
    local node how
    draw 1 "$COUNT"
    node=$DRAWN
    draw 0 6
    how=$DRAWN
    trouble "$node" begin
    case $how in
    0 | 1 | 2)
        COUNTS[freeze]=$((${COUNTS[freeze]:-0} + 1))
        draw 300 1700
        log "fault freeze node $node for $DRAWN ms"
        kill -STOP "${NODE_PIDS[$node]}" 2>/dev/null
        (sleep "$(seconds "$DRAWN")"; kill -CONT "${NODE_PIDS[$node]}" 2>/dev/null; trouble "$node" end) &
        JOBS+=("$!")
        ;;
    3 | 4)
        COUNTS[restart]=$((${COUNTS[restart]:-0} + 1))
        log "fault restart node $node"
        kill -CONT "${NODE_PIDS[$node]}" 2>/dev/null
        kill "-$([ "$how" = 3 ] && echo KILL || echo TERM)" "${NODE_PIDS[$node]}" 2>/dev/null
        wait "${NODE_PIDS[$node]}" 2>/dev/null
        start_node "$node"
        trouble "$node" end
        ;;
    5)
        COUNTS[stall]=$((${COUNTS[stall]:-0} + 1))
        log "fault stall the connections of node $node to the store"
        link stall "n$node" store
        trouble "$node" end
        ;;
    esac
}

round() { # NUMBER
    local first=$((VERSION + 1)) callers=() caller number faults
    : >"$WORK/round"
    for caller in $(seq 1 "$LEAVERS"); do
        leave_requests "leave$1-$caller" &
        callers+=("$!")
    done
    (cluster_callers "round$1" --rate 60 --count $((60 * ROUND_S))) &
    callers+=("$!")
    VERSION=$((VERSION + 25 * ROUND_S * 2 / 3))
    write_versions "$first" $((VERSION - first + 1)) &
    callers+=("$!")
    draw 4 4
    faults=$DRAWN
    for number in $(seq 1 "$faults"); do
        fault
        draw 200 1200
        sleep "$(seconds "$DRAWN")"
    done
    for number in "${JOBS[@]}"; do wait "$number"; done
    JOBS=()
    rm -f "$WORK/round"
    wait "${callers[@]}"
    sleep 3
}

# Prints the requests that a server began too late: id and how long after it was given up.
late_runs() {
    cat "$WORK"/server-h*.json | jq -r 'select(.event=="run" and (.id|startswith("leave")))|"\(.id) \((.ns / 1e6)|floor)"' |
        awk -v bound="$GONE_MS" 'NR == FNR {given_up[$1] = $2; next} ($1 in given_up) && $2 - given_up[$1] > bound {print $1, $2 - given_up[$1]}' "$WORK/given-up" -
}
# Prints the versions that were not in force in time: node, version, milliseconds or "never".
late_versions() { # NODE
    jq -r 'select(.event=="start" or .event=="configuration accepted")|"\((.time * 1000)|floor) \(if .event=="start" then 0 else .version end)"' "$WORK/node$1.log" 2>/dev/null |
        awk -v node="$1" -v bound="$NEWEST_MS" -v touch="$IN_TOUCH_MS" '
        FILENAME == ARGV[1] {if ($1 == node) {troubles++; at[troubles] = $3; begins[troubles] = $2 == "begin"}; next}
        FILENAME == ARGV[2] {acknowledged[$1] = $2; next}
        {times[++count] = $1; versions[count] = $2}
        function in_trouble(from, to,   i) {
            for (i = 1; i <= troubles; i++) if (begins[i] && at[i] <= to && (i == troubles || at[i + 1] >= from || begins[i + 1])) return 1
            for (i = 1; i <= troubles; i++) if (at[i] >= from && at[i] <= to) return 1
            return 0
        }
        END {
            for (v in acknowledged) {
                v += 0
                a = acknowledged[v]
                if (in_trouble(a - touch, a + bound)) continue
                checked++
                has = 0
                for (i = 1; i <= count && times[i] <= a + bound; i++) has = versions[i]
                if (has < v) print node, v, has
            }
            print checked + 0 > "/dev/stderr"
        }' "$WORK/trouble" "$WORK/acknowledged" -
}
count_version_drops() { # NODE
    jq -rs '[.[]|select(.event=="start" or .event=="configuration accepted")]|reduce .[] as $e ({last:0,bad:0}; if $e.event=="start" then .last=0 elif $e.version<=.last then .bad+=1 else .last=$e.version end)|.bad' "$WORK/node$1.log" 2>/dev/null
}

log "seed $SEED, $ROUNDS rounds, $COUNT nodes"
cluster_start "$COUNT"
for i in 1 2 3; do cluster_server "m$i" --service maps --zone "z$i" --keyed --work-ms 15; done
for i in $(seq 1 "$SERVERS"); do cluster_server "h$i" --service hires --zone "z$(((i - 1) % 3 + 1))" --work-ms 15 --hangs; done
: >"$WORK/trouble"
: >"$WORK/acknowledged"
: >"$WORK/given-up"
cluster_configure "$(configuration 1)"
cluster_wait_ready
cluster_wait_served
sleep 4 # no promise holds for processes that have just started
for number in $(seq 1 "$ROUNDS"); do round "$number"; done
late=$(late_runs)
[ -z "$late" ] || report_finding "gone: $(wc -l <<<"$late") requests began too late: $(head -3 <<<"$late" | xargs)"
CHECKED=0
for node in $(seq 1 "$COUNT"); do
    late=$(late_versions "$node" 2>"$WORK/checked")
    CHECKED=$((CHECKED + $(cat "$WORK/checked")))
    [ -z "$late" ] || report_finding "newest: node $node had not in force in time: $(wc -l <<<"$late") versions, the first (node, version, in force): $(sort -n -k2 <<<"$late" | head -1)"
    back=$(count_version_drops "$node")
    [ "${back:-0}" = 0 ] || report_finding "back: node $node went back $back times"
done
cat "$WORK"/server-*.json | grep -v '"id":"leave' >"$WORK/others.json"
: >"$WORK/troubles.json" # those of servers' signals, of which there are none here
"$BUILD/cw-verdict" "$WORK/others.json" "$WORK"/callers-*.json "$WORK/troubles.json" >"$WORK/verdict.txt" 2>&1 ||
    { cat "$WORK/verdict.txt"; report_finding "records: $(tail -1 "$WORK/verdict.txt")"; }
log "given up: $(wc -l <"$WORK/given-up"), of them run: $(cat "$WORK"/server-h*.json | grep '"event":"run"' | grep -c '"id":"leave')"
log "versions: $(wc -l <"$WORK/acknowledged"), checked at a node: $CHECKED"
log "verdict: $(tail -1 "$WORK/verdict.txt")"
log "stalls told: $(cat "$WORK"/node*.log | grep -c '"loop stalled"'), overdue: $(cat "$WORK"/node*.log | grep -c '"configuration overdue"')"
log "faults: $(for kind in "${!COUNTS[@]}"; do echo "$kind ${COUNTS[$kind]}"; done | sort | xargs)"
[ "$FINDINGS" = 0 ] || { KEEP=1; log "records are kept in $WORK"; }
echo "seed $SEED: $FINDINGS findings"
[ "$FINDINGS" = 0 ]
