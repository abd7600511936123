# Sourced by the soaks, after scripts/cluster.sh: draws from a seed, findings, counts of faults. The same seed gives the same schedule.
STATE=$SEED FINDINGS=0
declare -A COUNTS=()
log() { echo "$(date +%T.%3N) $*"; }
report_finding() { log "FINDING $*"; FINDINGS=$((FINDINGS + 1)); }
draw() { # FIRST COUNT: one of COUNT numbers from FIRST on, in DRAWN
    STATE=$(((STATE * 1103515245 + 12345) % 2147483648))
    DRAWN=$((STATE / 65536 % $2 + $1))
}
draw_item() { draw 1 $#; DRAWN=${!DRAWN}; } # ITEM...: one of the items, in DRAWN
draw_pause() { draw "$1" "$2"; sleep "$(printf '%d.%03d' $((DRAWN / 1000)) $((DRAWN % 1000)))"; } # FIRST COUNT in ms
count() { COUNTS[$1]=$((${COUNTS[$1]:-0} + 1)); }
control() { curl -s -m 2 -X POST "http://$STORE/control?$1" >/dev/null; } # of the store
wait_within() { # SECONDS COMMAND
    local end=$((SECONDS + $1))
    until "$2"; do
        [ "$SECONDS" -lt "$end" ] || return 1
        sleep 0.1
    done
}
