#!/usr/bin/env bash
# Figures of a benchmark run: collected by name, compared with bounds, printed as a table and written as JSON.
# A bound holds between figures of one run only: a ratio, a count or a share, never an absolute time.
set -u

FIGURE_NAMES=()
declare -A FIGURE_VALUE=() FIGURE_UNIT=() BOUND_KIND=() BOUND_LIMIT=()
BOUNDS_BROKEN=0

# calculate EXPRESSION: arithmetic with fractions.
calculate() {
    awk "BEGIN { printf \"%.6g\", $1 }"
}

# figure NAME VALUE UNIT
figure() {
    FIGURE_NAMES+=("$1")
    FIGURE_VALUE[$1]=$2
    FIGURE_UNIT[$1]=$3
    echo "measured: $1 = $2 $3" >&2
}

# quotient NAME DIVIDEND DIVISOR UNIT: names are those of figures. A figure that is missing or 0 gives no quotient,
# and a bound on it is broken.
quotient() {
    figure "$1" "$(awk -v a="${FIGURE_VALUE[$2]:-}" -v b="${FIGURE_VALUE[$3]:-}" \
        'BEGIN { if (a == "" || b + 0 == 0) print "none"; else printf "%.4g", a / b }')" "$4"
}

# bound NAME at-most|at-least LIMIT
bound() {
    BOUND_KIND[$1]=$2
    BOUND_LIMIT[$1]=$3
    bound_held "$1" || BOUNDS_BROKEN=$((BOUNDS_BROKEN + 1))
}

bound_held() {
    local value=${FIGURE_VALUE[$1]:-none}
    [ "$value" != none ] && [ "$value" != null ] || return 1
    if [ "${BOUND_KIND[$1]}" = at-most ]; then
        awk "BEGIN { exit !($value <= ${BOUND_LIMIT[$1]}) }"
    else
        awk "BEGIN { exit !($value >= ${BOUND_LIMIT[$1]}) }"
    fi
}

verdict() {
    if [ -z "${BOUND_KIND[$1]:-}" ]; then
        echo "-"
    elif bound_held "$1"; then
        echo "held"
    else
        echo "BROKEN"
    fi
}

print_figures() {
    local name
    printf '%-58s %12s %-24s %-16s %s\n' figure value unit bound verdict
    for name in "${FIGURE_NAMES[@]}"; do
        printf '%-58s %12s %-24s %-16s %s\n' "$name" "${FIGURE_VALUE[$name]}" "${FIGURE_UNIT[$name]}" \
            "${BOUND_KIND[$name]:-} ${BOUND_LIMIT[$name]:-}" "$(verdict "$name")"
    done
}

# write_figures FILE
write_figures() {
    local name
    for name in "${FIGURE_NAMES[@]}"; do
        printf '%s\t%s\t%s\t%s\t%s\t%s\n' "$name" "${FIGURE_VALUE[$name]}" "${FIGURE_UNIT[$name]}" \
            "${BOUND_KIND[$name]:-}" "${BOUND_LIMIT[$name]:-}" "$(verdict "$name")"
    done | jq -R -n --arg commit "$(git describe --always --dirty 2>/dev/null)" '{commit: $commit, figures: [inputs |
        split("\t") | {name: .[0], value: (.[1] | tonumber? // null), unit: .[2],
        bound: (if .[3] == "" then null else {kind: .[3], limit: (.[4] | tonumber)} end), verdict: .[5]}]}' >"$1"
}
