#!/usr/bin/env bash
# Nodes are killed and started again while other nodes still know them, while the store does not answer or begins to answer
# again, and with SIGHUP before the first answer of the store. No node ends, and all are ready at the end.
. "$(dirname "$0")/../../scripts/cluster.sh"
standard_cluster 6
(cluster_callers strained --rate 60 --count 400) &
callers=$!
control() { curl -s -m 2 -X POST "http://$STORE/control?$1" >/dev/null; }
ended_by_itself=0
starts() { grep -c '"event":"start"' "$WORK/node$1.log"; }
has_started() { [ "$(starts "$1")" -gt "$2" ]; } # signals are handled from then on; no answer has come yet
for round in 1 2 3 4 5 6; do
    case $((round % 3)) in 1) control "down=900&how=silent" ;; 2) control "down=900&how=reset" ;; esac
    for n in 2 3 4 5; do kill -KILL "${NODE_PIDS[$n]}"; done
    for n in 2 3 4 5; do
        wait "${NODE_PIDS[$n]}"
        before=$(starts "$n")
        start_node "$n"
        until_true has_started "$n" "$before"
        kill -HUP "${NODE_PIDS[$n]}"
    done 2>/dev/null
    for hang_up in 1 2 3 4 5 6; do
        sleep 0.02
        for n in 2 3 4 5; do kill -HUP "${NODE_PIDS[$n]}" 2>/dev/null; done
    done
    sleep 0.3
    for n in 2 3 4 5; do
        kill -0 "${NODE_PIDS[$n]}" 2>/dev/null && continue
        wait "${NODE_PIDS[$n]}"
        echo "node $n ended with $?"
        ended_by_itself=$((ended_by_itself + 1))
    done
done
check "no node ended by itself" at_most "$ended_by_itself" 0
cluster_wait_ready
wait "$callers"
check "no line tells of a fatal signal" at_most "$(cat "$WORK"/node*.log | grep -c '"fatal signal"')" 0
check "settings were read again" at_least "$(cat "$WORK"/node*.log | grep -c '"reload"')" 10
check "records agree" cluster_check
finish_test
