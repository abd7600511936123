#!/usr/bin/env bash
# Starts a node under different limits of open file descriptors. With fewer descriptors than it needs to start, it exits
# with 1 and reports the reason. With enough, it starts and exits with 0 when it is asked to stop. It never ends by a
# signal. The node inherits the three standard descriptors and no others, whatever this script was started with, so that
# each limit leaves the same number of free descriptors on every machine.
. "$(dirname "$0")/../../scripts/cluster.sh"
LOWEST_LIMIT=4   # one descriptor for the settings file, besides the three standard ones
SAYS_WHY_FROM=6  # with a lower limit the dynamic loader or the settings file may fail first, with a message of its own
NEEDED=14        # three standard descriptors, seven of the event loop, sockets for callers, readiness, datagrams and requests of other nodes
HIGHEST_LIMIT=32 # enough also for the connections to the store and to seeds that the node opens next

cat >"$WORK/node.yaml" <<YAML
node: n1
zone: z1
address: $NET.1
callers: $NET.1:8080
readiness: $NET.1:8081
peer_port: 7000
first_look_within_ms: 20
seeds: ["$NET.1:7000"]
store: $NET.250:7001
YAML

start_limited() { # LIMIT
    (
        for descriptor in "/proc/$BASHPID/fd"/*; do
            descriptor=${descriptor##*/}
            [ "$descriptor" -le 2 ] || eval "exec $descriptor>&-"
        done
        ulimit -n "$1"
        exec "$BUILD/cedarwinchd" --settings "$WORK/node.yaml"
    ) </dev/null >"$WORK/node$1.log" 2>"$WORK/node$1.err" &
    NODE=$!
    PIDS+=("$NODE")
}

has_started() { grep -q '"event":"start"' "$WORK/node$1.log"; }
has_ended() { [ ! -e "/proc/$NODE" ] || grep -q '^State:.*Z' "/proc/$NODE/status"; }
started_or_ended() { has_started "$1" || has_ended; }

for limit in $(seq "$LOWEST_LIMIT" "$HIGHEST_LIMIT"); do
    start_limited "$limit"
    until_true started_or_ended "$limit"
    expected=1
    if [ "$limit" -ge "$NEEDED" ]; then
        expected=0
        kill -TERM "$NODE"
    fi
    wait "$NODE"
    check "$limit descriptors: the node exits with $expected" [ $? = "$expected" ]
    [ "$expected" = 0 ] || [ "$limit" -lt "$SAYS_WHY_FROM" ] ||
        check "$limit descriptors: the node reports the reason" grep -q 'cannot start: too many open files' "$WORK/node$limit.err"
done
finish_test
