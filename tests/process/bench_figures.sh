#!/usr/bin/env bash
# A benchmark's bounds: one that is broken, or whose figure is missing, is counted and named in table and JSON.
set -u
cd "$(dirname "$0")/../.." || exit 2
. scripts/process_test.sh
. scripts/bench/figures.sh

verdict_is() {
    [ "$(verdict "$1")" = "$2" ]
}

json_verdicts() {
    [ "$(jq -c '[.figures[].verdict]' "$CLUSTER_DIR/bench.json")" = '["-","-","held","BROKEN","BROKEN"]' ]
}

cluster_begin "$(mktemp -d)"
{
    figure four 4 ms
    figure zero 0 ms
    quotient one four four ratio
    quotient another four four ratio
    quotient none four zero ratio
    bound one at-least 1
    bound another at-most 0.99
    bound none at-most 100
} 2>/dev/null
check "a bound at its limit holds" verdict_is one held
check "a bound beyond its limit is broken" verdict_is another BROKEN
check "a quotient that could not be taken breaks its bound" verdict_is none BROKEN
check "broken bounds are counted" [ "$BOUNDS_BROKEN" = 2 ]
write_figures "$CLUSTER_DIR/bench.json"
check "JSON tells every verdict" json_verdicts
finish_test
