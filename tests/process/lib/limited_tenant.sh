# Sourced after scripts/cluster.sh. Configures a tenant with a limit, sends its requests, and finds how many of them ran in a window.
RATE=${RATE:-10} BURST=${BURST:-0} # of the limit: requests a second, and requests beyond that
WINDOW_S=5 SLACK=20              # defaults of the nodes, as is the overshoot of a tenth (docs/CONFIGURATION.md)
ALLOWED=$(((RATE * WINDOW_S + BURST) * 11 / 10 + SLACK))
CALLER_KEY=limited-key
eval "untenanted_$(declare -f configuration)"
configuration() {
    untenanted_configuration "$1" | jq -c --argjson rate "$RATE" --argjson burst "$BURST" \
        '. + {tenants: [{name: "limited", "api-keys": ["limited-key"], priority: 0, "rate-per-s": $rate, burst: $burst}]}'
}
metric() { # NODE NAME
    curl -sf -m 1 "http://$NET.$1:8081/metrics" | awk -v m="$2" '$1 == m {print $2}'
}
all_reachable() {
    local n
    for n in "${!NODE_PIDS[@]}"; do [ "$(metric "$n" cedarwinch_peers)" = $((${#NODE_PIDS[@]} - 1)) ] || return 1; done
}
counting() { # prints the nodes that count for a tenant
    local n
    for n in "${!NODE_PIDS[@]}"; do
        [ "$(metric "$n" cedarwinch_limit_buckets)" != 1 ] || echo "$n"
    done
}
one_counts() { [ "$(counting | wc -l)" = 1 ]; }
limited_callers() { # NAME SECONDS [ARGS...]: sends four times the limit
    local name=$1 count=$(($2 * 4 * RATE)) KINDS=(--kind "maps.example,/hire/,POST,2000,0")
    shift 2
    cluster_callers "$name" --credential limited-key --rate $((4 * RATE)) --count "$count" "$@"
}
limited_run_times() { # prints when its requests ran, in ns, one a line
    cat "$WORK"/server-*.json | jq 'select(.event=="run" and .tenant=="limited").ns' | sort -n
}
max_runs_in_window() { # prints the largest number of its requests that ran in any window
    limited_run_times | awk -v w="$WINDOW_S" '{t[NR] = $1 / 1e9; while (t[NR] - t[first + 1] >= w) first++; if (NR - first > most) most = NR - first} END {print most + 0}'
}
