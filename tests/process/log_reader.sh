#!/usr/bin/env bash
# If the reader of a node's log does not read, the node drops lines and goes on serving requests.
. "$(dirname "$0")/../../scripts/cluster.sh"
standard_cluster 2
mkfifo "$WORK/pipe"
sleep 600 <"$WORK/pipe" & # keeps the pipe open and never reads from it
PIDS+=("$!")
NODES="$NODES,$NET.3:8080"
cat "$WORK/node1.yaml" | sed "s/n1/n3/; s/$NET\.1:80/$NET.3:80/; s/address: $NET\.1/address: $NET.3/" >"$WORK/node3.yaml"
"$BUILD/cedarwinchd" --settings "$WORK/node3.yaml" >"$WORK/pipe" 2>/dev/null &
PIDS+=("$!")
until_true curl -sf "http://$NET.3:8081/readyz"
cluster_callers unread --rate 250 --count 3000 # this node logs some 1000 lines of 170 bytes: more than the pipe (64 KiB) and the log's buffer hold
check "the callers' requests are served" at_least "$(sum_of unread s200)" 2995
dropped() { curl -sf "http://$NET.3:8081/metrics" | awk '/^cedarwinch_log_lines_dropped/ {print $2}'; }
check "lines are dropped and counted" at_least "$(dropped)" 1
finish_test
