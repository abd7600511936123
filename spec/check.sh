#!/usr/bin/env bash
# Model checking with spin, started by `make spec`. Searches marked "hold" must complete without a violation; those marked
# "break" leave out one safeguard each and must find a violation. spec/check.sh PREFIX runs only the searches whose names
# begin with PREFIX. Each takes up to some minutes of one core and up to 4 GB of memory; three run at a time.
set -u
cd "$(dirname "$0")/.." || exit 1
spec=$(pwd)/spec
out=$(mktemp -d)
trap 'rm -rf "$out"' EXIT

search() { # NAME MODEL FLAGS...
    local name=$1 model="$spec/$2.pml" dir="$out/$1"
    shift 2
    mkdir -p "$dir"
    (cd "$dir" && spin -a "$@" "$model" >spin.log 2>&1 && cc -w -O2 -DSAFETY -DVECTORSZ=1024 -DMEMLIM=4000 -o pan pan.c &&
        ./pan -E -m300000 -n -w24 >pan.log 2>&1)
    rm -f "$dir/pan" "$dir"/pan.?
}
export -f search
export out spec

grep "^${1:-}" >"$out/list" <<'LIST'
holds-3-ticks hold lease -DTICKS=3
holds-4-ticks-no-restart hold lease -DTICKS=4 -DENDS_LEFT=0
holds-4-ticks-no-late-write hold lease -DTICKS=4 -DLATE_WRITES_LEFT=0
no-authority break lease -DTICKS=4 -DNO_AUTHORITY
no-lock-wait break lease -DTICKS=4 -DNO_LOCK_WAIT
no-hold-wait break lease -DTICKS=4 -DNO_HOLD_WAIT
no-table-age break lease -DTICKS=4 -DNO_TABLE_AGE
no-table-wait break lease -DTICKS=4 -DNO_TABLE_WAIT
no-move-guard break lease -DTICKS=4 -DNO_MOVE_GUARD -DLATE_WRITES_LEFT=0 -DENDS_LEFT=0 -DLATE_GRANTS_LEFT=2
no-life break lease -DTICKS=4 -DNO_LIFE
no-seen-fence break lease -DTICKS=4 -DNO_SEEN_FENCE
restore-holds-3-ticks hold lease -DTICKS=3 -DRESTORES_LEFT=1 -DENDS_LEFT=0 -DMOVES_LEFT=1 -DLATE_WRITES_LEFT=0
restore-holds-late-write hold lease -DTICKS=3 -DRESTORES_LEFT=1 -DENDS_LEFT=0 -DMOVES_LEFT=1 -DLATE_GRANTS_LEFT=0
restore-no-lock-epoch break lease -DTICKS=4 -DRESTORES_LEFT=1 -DENDS_LEFT=0 -DMOVES_LEFT=1 -DLATE_WRITES_LEFT=0 -DNO_LOCK_EPOCH
restore-no-record-epoch break lease -DTICKS=4 -DRESTORES_LEFT=1 -DENDS_LEFT=0 -DMOVES_LEFT=1 -DLATE_WRITES_LEFT=0 -DNO_RECORD_EPOCH
restore-no-read-epoch break lease -DTICKS=4 -DRESTORES_LEFT=1 -DENDS_LEFT=0 -DMOVES_LEFT=1 -DLATE_WRITES_LEFT=0 -DNO_READ_EPOCH
ends-hold-moves hold holds -DTICKS=3 -DMOVES_LEFT=3 -DLEADERS_LEFT=0 -DREADS_LEFT=0
ends-hold-leaders hold holds -DTICKS=4 -DMOVES_LEFT=2 -DREADS_LEFT=0
ends-hold-lists hold holds -DTICKS=4 -DMOVES_LEFT=1 -DREADS_LEFT=1
ends-hold-new hold holds -DTICKS=4 -DMOVES_LEFT=1 -DREADS_LEFT=1 -DSTART_NEW
ends-hold-list-revision hold holds -DTICKS=4 -DMOVES_LEFT=1 -DREADS_LEFT=1 -DLOSSES_LEFT=1 -DSTART_NEW -DLIST_REVISION
ends-no-answer break holds -DTICKS=5 -DMOVES_LEFT=1 -DREADS_LEFT=0 -DSTART_NEW -DNO_ANSWER
ends-no-leave-check break holds -DTICKS=5 -DMOVES_LEFT=1 -DREADS_LEFT=0 -DNO_LEAVE_CHECK
ends-no-arrival-count break holds -DTICKS=3 -DMOVES_LEFT=1 -DLEADERS_LEFT=0 -DREADS_LEFT=0 -DNO_ARRIVAL_COUNT
ends-no-own-order break holds -DTICKS=3 -DMOVES_LEFT=1 -DLEADERS_LEFT=0 -DREADS_LEFT=0 -DNO_OWN_ORDER
ends-no-move-limit break holds -DTICKS=5 -DMOVES_LEFT=2 -DREADS_LEFT=0 -DNO_MOVE_LIMIT
ends-no-move-back break holds -DTICKS=3 -DMOVES_LEFT=3 -DLEADERS_LEFT=0 -DREADS_LEFT=0 -DNO_MOVE_BACK
ends-no-plan-guard break holds -DTICKS=3 -DMOVES_LEFT=2 -DLEADERS_LEFT=0 -DREADS_LEFT=0 -DNO_PLAN_GUARD
orders-hold hold orders
orders-hold-5-ticks hold orders -DTICKS=5 -DLEADERS_LEFT=0
orders-no-probe break orders -DNO_PROBE -DLEADERS_LEFT=0
orders-no-new-fence break orders -DNO_NEW_FENCE -DLEADERS_LEFT=0
orders-no-fresh-answer break orders -DNO_FRESH_ANSWER -DLEADERS_LEFT=0
orders-no-adoption break orders -DNO_ADOPTION
orders-no-rest break orders -DNO_REST -DLEADERS_LEFT=0
orders-no-sent-count break orders -DNO_SENT_COUNT -DLEADERS_LEFT=0
orders-no-hold-wait break orders -DNO_HOLD_WAIT -DLEADERS_LEFT=0
tokens-hold hold tokens -DREFILLS_LEFT=0
tokens-hold-refilled hold tokens -DRESTARTS_LEFT=0
tokens-hold-one-change hold tokens -DSWITCHES_LEFT=1
tokens-no-grant-once break tokens -DNO_GRANT_ONCE
tokens-no-settled break tokens -DNO_SETTLED
tokens-no-return-number break tokens -DNO_RETURN_NUMBER
tokens-no-record break tokens -DNO_RECORD
tokens-no-grant-bound break tokens -DNO_GRANT_BOUND
LIST
awk '{printf "%s", $1; for (i = 3; i <= NF; i++) printf " %s", $i; print ""}' "$out/list" |
    xargs -P 3 -L 1 bash -c 'search "$@"' _
bad=0
while read -r name expected _; do
    log="$out/$name/pan.log"
    states=$(awk '/states, stored/ {print $1}' "$log" 2>/dev/null)
    errors=$(grep -oE 'errors: [0-9]+' "$log" 2>/dev/null | awk '{print $2}')
    complete=yes
    grep -q 'Search not completed' "$log" 2>/dev/null && complete=no
    verdict=ok
    if [ "$expected" = hold ]; then
        { [ "$errors" = 0 ] && [ "$complete" = yes ]; } || verdict=WRONG
    else
        [ "${errors:-0}" = 1 ] || verdict=WRONG
    fi
    [ "$verdict" = ok ] || bad=1
    printf '%-30s %12s states, %s error(s): %s\n' "$name" "${states:-?}" "${errors:-?}" "$verdict"
done <"$out/list"
exit $bad
