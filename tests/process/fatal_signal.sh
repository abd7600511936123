#!/usr/bin/env bash
# A node that is ended by a fatal signal writes one last log line, from which the place in the code can be found, and then
# ends as it would without a handler.
. "$(dirname "$0")/../../scripts/cluster.sh"
standard_cluster 1

last_line() { tail -1 "$WORK/node1.log"; }
field() { last_line | jq -r ".$1 // \"\""; }
functions() { # names of the functions of the program in the trace
    field trace | tr ' ' '\n' | grep -v '@' | xargs addr2line -f -e "$BUILD/cedarwinchd"
}
build_id() { readelf -n "$BUILD/cedarwinchd" | awk '/Build ID/ {print $3}'; }

for name in SEGV BUS ILL FPE ABRT; do
    number=$(kill -l "$name")
    kill -s "$name" "${NODE_PIDS[1]}"
    wait "${NODE_PIDS[1]}"
    check "$name ends the process as it would without a handler" [ $? = $((128 + number)) ]
    check "$name: the last line names it" [ "$(field event)/$(field signal)/$(field node)" = "fatal signal/SIG$name/n1" ]
    check "$name: and who sent it" [ "$(field sender)" = $$ ]
    check "$name: and the build" [ "$(field build)" = "$(build_id)" ]
    check "$name: its addresses lead to main" at_least "$(functions | grep -cx main)" 1
    check "$name: each line of the log is whole" at_least "$(jq -s length "$WORK/node1.log" 2>/dev/null || echo 0)" 2
    start_node 1
    until_true curl -sf "http://$NET.1:8081/readyz"
done
finish_test
