#!/usr/bin/env bash
# The rules PROMISE, TWICE, WHOLE and MIXED of the checker of records (cw-verdict): a checker that misses them lets a refusal of a request that
# has run pass.
. "$(dirname "$0")/../../scripts/cluster.sh"
run() { echo "{\"ns\":$1000000,\"event\":\"run\",\"server\":\"s\",\"service\":\"hires\",\"id\":\"$2\",\"low\":0,\"last\":0,\"fence\":0}"; } # MS ID
called() { echo "{\"ns\":$1000000,\"event\":\"end\",\"id\":\"$2\",\"method\":\"$3\",\"status\":$4,\"node\":\"n1:8080\",\"fault\":\"${5:-}\"}"; } # MS ID METHOD STATUS [FAULT]
verdict() { cat - >"$WORK/all"; "$BUILD/cw-verdict" "$WORK/all"; }
finds() { [ "$(verdict | grep -c "^$1 ")" = 1 ]; } # RULE
finds_nothing() { verdict | grep -q " 0 violations"; }

for status in 408 421 429 503; do
    check "a request that has run and was answered $status breaks its promise" finds PROMISE < <(run 1 a; called 2 a POST "$status")
    check "also if it runs after the answer" finds PROMISE < <(called 1 a POST "$status"; run 900 a)
    check "not if it has not run" finds_nothing < <(called 1 a POST "$status")
    check "nor if it may be repeated" finds_nothing < <(run 1 a; called 2 a GET "$status")
done
for status in 500 502 504 0; do check "$status promises nothing" finds_nothing < <(run 1 a; called 2 a POST "$status"); done
check "a request that must not be repeated runs once" finds TWICE < <(run 1 a; run 5 a; called 9 a POST 200)
check "also if it was answered before" finds TWICE < <(run 1 a; called 2 a POST 502; run 900 a)
check "one that may be repeated may run twice" finds_nothing < <(run 1 a; run 5 a; called 9 a GET 200)
check "a 2xx without a run is reported" finds WHOLE < <(called 9 a GET 200)
check "so is one that is not the whole answer" finds MIXED < <(run 1 a; called 9 a GET 200 "not the whole answer")
finish_test
