#!/usr/bin/env bash
# Soak test: nodes lose their paths to all servers, while nodes restart, servers leave and the configuration changes. The store,
# the callers and the other nodes still reach the cut nodes. Real processes, faults drawn by a seed.
#
#   SEED=n       seed of the schedule of faults, which is printed as it is carried out (default 1)
#   ROUNDS=n     number of cuts, one after the other (default 4), NODES=n number of nodes (default 6)
#
# In each round some nodes are cut: one, half of them, all but one, those of a zone, or the leader alone; silently, in one
# direction, with a reset of the open connections, by refusing new ones, or by stalling the open ones. Beside it a node is
# killed or stopped and starts again, a server leaves, or versions of the configuration follow one another.
#
# Promises that are checked:
#   recover   from 3 s after the cut began, first attempts at the cut nodes are served two thirds as often as those at the
#             others, or no more than 10 and one in 50 of them fail
#   others    at the other nodes, no more than 10 and one in 50 of the first attempts fail
#   heal      3 s after the cut, no more than 10 and one in 50 of the first attempts fail at all nodes
#   records   nothing runs twice, no refused request has run, each key has one owner, fences rise (cw-verdict)
# Nodes that were restarted in a round are left out of its counts. KEEP=1 keeps the records. The exit code is 1 if there is a
# finding.
SEED=${SEED:-1} ROUNDS=${ROUNDS:-4} COUNT=${NODES:-6}
LINKED=1
. "$(dirname "$0")/../../scripts/cluster.sh"
. "$(dirname "$0")/lib/draws.sh"
. "$(dirname "$0")/../process/lib/server_paths.sh"
VERSION=1 NEXT_SERVER=0 RESTARTED=0 TROUBLE=0
IN_TOUCH_S=3 # the promises hold from then on after a cut began or ended
RATE=15      # requests a second and node
CALLS_S=5

draw_cut() { # leaves the nodes in CUT
    local zone first
    draw_item one half most zone leader
    COUNTS[$DRAWN]=$((${COUNTS[$DRAWN]:-0} + 1))
    WHO=$DRAWN
    draw 0 "$COUNT"
    first=$DRAWN
    case $WHO in
    one) CUT=($((first + 1))) ;;
    half) mapfile -t CUT < <(for i in $(seq 0 $((COUNT / 2 - 1))); do echo $(((first + i) % COUNT + 1)); done) ;;
    most) mapfile -t CUT < <(for i in $(seq 0 $((COUNT - 2))); do echo $(((first + i) % COUNT + 1)); done) ;;
    zone)
        zone=$((first % 3))
        mapfile -t CUT < <(for i in $(seq 1 "$COUNT"); do [ $(((i - 1) % 3)) != "$zone" ] || echo "$i"; done)
        ;;
    leader) CUT=("$(leader)") ;;
    esac
}
cut_by() { # HOW NODE...
    local how=$1
    shift
    COUNTS[$how]=$((${COUNTS[$how]:-0} + 1))
    case $how in
    silent) cut_from_servers cut "$@" ;;
    one_way) cut_from_servers cut-one-way "$@" ;;
    reset) cut_from_servers reset "$@"; cut_from_servers cut "$@" ;;
    refuse) cut_from_servers refuse "$@" ;;
    stall) cut_from_servers stall "$@" ;;
    esac
}
is_started() { grep -qs '"start"' "$WORK/server-$1.json"; }
replace_server() { # INDEX SIGNAL: a new server starts, and then the old one gets the signal
    local old=${SERVER_NAMES[$1]} service=maps args=(--keyed)
    case $old in h*) service=hires args=(--hangs) ;; esac
    NEXT_SERVER=$((NEXT_SERVER + 1))
    SERVER_NAMES[$1]="${old%%_*}_$NEXT_SERVER"
    cluster_server "${SERVER_NAMES[$1]}" --service "$service" --zone "z$((NEXT_SERVER % 3 + 1))" "${args[@]}" --work-ms 15
    for node in "${CUT[@]}"; do [ "$HOW" = stall ] || link "$([ "$HOW" = refuse ] && echo refuse || echo cut)" "n$node" "${SERVER_NAMES[$1]}"; done
    until_true is_started "$old"
    kill -"$2" "${SERVER_PIDS[$old]}"
}
restart_node() { # NODE SIGNAL
    kill -"$2" "${NODE_PIDS[$1]}" 2>/dev/null
    wait "${NODE_PIDS[$1]}" 2>/dev/null
    start_node "$1"
    RESTARTED=$1
}
event() { # what happens beside the cut
    RESTARTED=0
    draw_item none none leave crash kill stop versions
    COUNTS[$DRAWN]=$((${COUNTS[$DRAWN]:-0} + 1))
    log "beside it: $DRAWN"
    case $DRAWN in
    leave) draw 0 "${#SERVER_NAMES[@]}"; replace_server "$DRAWN" TERM ;;
    crash) draw 0 "${#SERVER_NAMES[@]}"; replace_server "$DRAWN" KILL; TROUBLE=1 ;;
    kill) draw 1 "$COUNT"; restart_node "$DRAWN" KILL; TROUBLE=1 ;;
    stop) draw 1 "$COUNT"; restart_node "$DRAWN" TERM ;;
    versions) for _ in 1 2 3 4 5; do VERSION=$((VERSION + 1)); cluster_configure "$(configuration "$VERSION")"; sleep 0.05; done ;;
    esac
}
# Counts the first attempts at some nodes: leaves their number in SENT, and those that were not served in UNSERVED.
count_first() { # NAME
    SENT=$(jq -r 'select(.event=="end" and (.id|endswith("-0"))).id' "$WORK/callers-$1.json" | wc -l)
    UNSERVED=$((SENT - $(first_served "$1")))
}
too_many() { [ "$UNSERVED" -gt $((10 + SENT / 50)) ]; }
others_of_round() { others_than "${CUT[@]}" "$RESTARTED"; }
cut_of_round() { printf '%s\n' "${CUT[@]}" | grep -vx "$RESTARTED"; }

call_all_nodes() { # ROUND PHASE: sends requests to the cut nodes and to the others, each by callers of their own
    local there others
    mapfile -t there < <(cut_of_round)
    mapfile -t others < <(others_of_round)
    [ ${#there[@]} = 0 ] || callers_at "$2-cut$1" $((RATE * ${#there[@]})) $((RATE * CALLS_S * ${#there[@]})) "${there[@]}" &
    [ ${#others[@]} = 0 ] || callers_at "$2-others$1" $((RATE * ${#others[@]})) $((RATE * CALLS_S * ${#others[@]})) "${others[@]}" &
    wait $(jobs -p | grep -v -F "$(printf '%s\n' "${PIDS[@]}")")
}
check_calls() { # ROUND: the calls during the cut
    local sent_there served_there
    if [ -e "$WORK/callers-during-cut$1.json" ]; then
        count_first "during-cut$1"
        sent_there=$SENT served_there=$((SENT - UNSERVED))
        log "round $1: at the cut nodes $(answers "during-cut$1")"
        if too_many; then
            if [ -e "$WORK/callers-during-others$1.json" ]; then count_first "during-others$1"; else SENT=1 UNSERVED=0; fi
            [ $((served_there * SENT * 3)) -ge $(((SENT - UNSERVED) * sent_there * 2)) ] ||
                report_finding "recover: round $1 ($WHO, $HOW): $served_there of $sent_there at the cut nodes, $((SENT - UNSERVED)) of $SENT at the others"
        fi
    fi
    if [ -e "$WORK/callers-during-others$1.json" ]; then
        count_first "during-others$1"
        log "round $1: at the others $(answers "during-others$1")"
        ! too_many || [ "$TROUBLE" = 1 ] || report_finding "others: round $1 ($WHO, $HOW): $UNSERVED of $SENT not served"
    fi
}
check_healed() { # ROUND
    local part
    for part in cut others; do
        [ -e "$WORK/callers-after-$part$1.json" ] || continue
        count_first "after-$part$1"
        ! too_many || report_finding "heal: round $1 ($WHO, $HOW): $UNSERVED of $SENT not served at the $part nodes: $(answers "after-$part$1")"
    done
}
round() { # NUMBER
    TROUBLE=0
    draw_cut
    draw_item silent one_way reset refuse stall
    HOW=$DRAWN
    log "round $1: cut $HOW, $WHO: nodes ${CUT[*]}"
    cut_by "$HOW" "${CUT[@]}"
    callers_at "begin$1" $((RATE * COUNT)) $((RATE * COUNT * IN_TOUCH_S)) $(others_than 0) & # so that the nodes find the loss
    event
    sleep "$IN_TOUCH_S"
    call_all_nodes "$1" during
    check_calls "$1"
    link heal
    sleep "$IN_TOUCH_S"
    RESTARTED=0
    call_all_nodes "$1" after
    check_healed "$1"
}

log "seed $SEED, $COUNT nodes"
standard_cluster "$COUNT"
for number in $(seq 1 "$ROUNDS"); do round "$number"; done
cluster_check >"$WORK/verdict" || report_finding "records: $(cat "$WORK/verdict")"
log "$(tail -1 "$WORK/verdict")"
[ ! -s "$WORK/link.err" ] || log "proxy: $(sort "$WORK/link.err" | uniq -c | xargs)"
log "faults: $(for kind in "${!COUNTS[@]}"; do echo -n "$kind ${COUNTS[$kind]} "; done)"
log "seed $SEED: $ROUNDS rounds, $FINDINGS findings"
[ "$FINDINGS" = 0 ]
