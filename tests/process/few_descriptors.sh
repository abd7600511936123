#!/usr/bin/env bash
# A node that gets fewer descriptors than it needs to start ends with 1 and says why; one that gets enough starts, and ends
# with 0 when it is asked to stop. None ever ends by a signal. The node inherits its three standard descriptors and no
# others, whatever this script was started with, so that each limit leaves the same number free on every machine.
. "$(dirname "$0")/../../scripts/cluster.sh"
LOWEST_LIMIT=4   # one descriptor beside the three standard ones, for the settings file
SAYS_WHY_FROM=6  # below it the dynamic loader or the settings file may fail first, with a line of its own
NEEDED=13        # three standard ones, seven of the loop, sockets for callers, readiness and other nodes
HIGHEST_LIMIT=32 # with the connections to the store and to seeds that it opens next

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
    check "$limit descriptors: it ends with $expected" [ $? = "$expected" ]
    [ "$expected" = 0 ] || [ "$limit" -lt "$SAYS_WHY_FROM" ] ||
        check "$limit descriptors: and says why" grep -q 'cannot start: too many open files' "$WORK/node$limit.err"
done
finish_test
