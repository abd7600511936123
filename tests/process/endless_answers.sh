#!/usr/bin/env bash
# Guards against a server whose answers have no end: it was read until the requests' time was over or up to a large bound, took the
# nodes' memory, and kept its share of the requests. It says that it is well.
ANSWER_BYTES=8388608
NODE_SETTINGS=${NODE_SETTINGS-"answer_bytes_most: $ANSWER_BYTES"}
. "$(dirname "$0")/../../scripts/cluster.sh"
KINDS=(--kind "maps.example,/hire/,POST,2000,0")
RATE=${RATE:-420} SECONDS_EACH=${SECONDS_EACH:-5} ENDLESS=(${ENDLESS:-interim body chunks})
COUNT=$((RATE * SECONDS_EACH))
cluster_start 3
# None of the sound servers is in the zone of node 1, which therefore prefers the others there. Their work takes as long as nodes
# assume before any was answered, so that new servers do not count as slower.
for i in 1 2 3; do cluster_server "h$i" --service hires --zone "z$((i % 2 + 2))" --capacity 30 --work-ms 100; done
for i in 1 2 3; do cluster_server "m$i" --service maps --zone "z$i" --keyed --work-ms 15; done
cluster_configure "$(configuration 1)"
cluster_wait_ready
cluster_wait_served
statuses() { jq -r 'select(.event=="end").status' "$WORK/callers-$1.json" | sort | uniq -c | awk '{printf "%s:%s ", $2, $1}'; } # NAME
answered() { jq -r "select(.event==\"end\" and .status==$2).status" "$WORK/callers-$1.json" | wc -l; }                        # NAME STATUS
peak_kb() { # prints the largest memory that any node ever had
    local n
    for n in "${!NODE_PIDS[@]}"; do awk '$1 == "VmHWM:" {print $2}' "/proc/${NODE_PIDS[$n]}/status"; done | sort -n | tail -1
}
most_read() { jq -s '[.[]|select(.event=="endless").bytes]|max // 0' "$WORK/server-$1.json"; } # NAME
requests_at() { jq -s '[.[]|select(.event=="run")]|length' "$WORK/server-$1.json"; }           # NAME
listed() { # NAME
    local n
    for n in "${!NODE_PIDS[@]}"; do
        curl -sf -m 1 "http://$NET.$n:8081/status" | jq -e --arg id "$1" 'any(.servers[]; .id|startswith($id))' || return 1
    done
}

cluster_callers calm --rate "$RATE" --count "$RATE"
before=$(peak_kb)
for kind in "${ENDLESS[@]}"; do
    cluster_server "$kind" --id "$kind" --service hires --zone z1 --capacity 20 --endless "$kind"
    until_true listed "$kind"
    cluster_callers "$kind" --rate "$RATE" --count "$COUNT"
    echo "     $kind: $(statuses "$kind"), $(requests_at "$kind") requests at it, $(most_read "$kind") bytes on one connection, $(peak_kb) kB"
    check "$kind: the sound servers answer nearly all requests" at_least "$(answered "$kind" 200)" $((COUNT * 9 / 10))
    check "$kind: the server without an end gets few requests" at_most "$(requests_at "$kind")" $((COUNT * 5 / 100))
    check "$kind: none of them is read for long" at_most "$(most_read "$kind")" $((ANSWER_BYTES + 8388608))
    check "$kind: requests are not held until their time is over" at_most "$(answered "$kind" 504)" 4
    cluster_kill_server "$kind"
done
# What was used before, the memory for answers, and 4 MB for requests that end together.
check "the nodes' memory is bounded" at_most "$(peak_kb)" $((before + ANSWER_BYTES / 1024 + 4096))
check "each spoiled answer has a line with its reason" at_least "$(cat "$WORK"/node*.log | grep -cE '"reason":"(too many interim answers|answer too long|no memory for the answer)"')" \
    "$(cat "$WORK"/callers-*.json | jq -r 'select(.event=="end" and .status==502).status' | wc -l)"
check "no request ran twice" cluster_check
finish_test
