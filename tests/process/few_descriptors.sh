#!/usr/bin/env bash
# A node that gets fewer descriptors than it needs to start ends with 1 and says why; it never ends by a signal.
. "$(dirname "$0")/../../scripts/cluster.sh"
cat >"$WORK/node.yaml" <<YAML
node: n1
zone: z1
address: $NET.1
callers: $NET.1:8080
readiness: $NET.1:8081
peer_port: 7000
seeds: ["$NET.1:7000"]
store: $NET.250:7001
YAML
for limit in 4 5 6 7 8 9 10 11 12 13; do
    (
        ulimit -n "$limit"
        exec "$BUILD/cedarwinchd" --settings "$WORK/node.yaml"
    ) >"$WORK/node$limit.log" 2>"$WORK/node$limit.err" &
    pid=$!
    PIDS+=("$pid")
    wait "$pid"
    check "$limit descriptors: it ends with 1" [ $? = 1 ]
    [ "$limit" -le 5 ] || check "$limit descriptors: and says why" grep -q 'cannot start: too many open files' "$WORK/node$limit.err"
done
finish_test
