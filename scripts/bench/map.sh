#!/usr/bin/env bash
# Scenario: the map service of the smaller user at its size, from its first request on. Every key's first request takes
# 10 ms more; the second load meets warm keys. Not part of the default run.
set -u

MAP_NODES=6

# map_load NAME SEED
map_load() {
    local node gateways=()
    for node in $(seq 1 $MAP_NODES); do
        gateways+=(--gateway "$CLUSTER_NET.$node:7200")
    done
    "$CLUSTER_BUILD/cw-load" --duration-s 6 --seed "$2" --json "$CLUSTER_DIR/$1.json" "${gateways[@]}" \
        --record "$CLUSTER_DIR/$1.jsonl" --stream "tenant=$BENCH_TENANT,service=map,token=$BENCH_TENANT-caller,\
rate=900,keys=2000,zipf=0.9,method=GET,timeout_ms=1000" >/dev/null
}

# p99_of_first_second NAME
p99_of_first_second() {
    jq -s 'min_by(.intended_us).intended_us as $start | [.[] | select(.intended_us < $start + 1000000) |
        .answered_us - .intended_us] | sort | .[length * 0.99 | floor] / 1000' "$CLUSTER_DIR/$1.jsonl"
}

scenario_map() {
    bench_cluster $MAP_NODES "" && start_service "$BENCH_TENANT" map 14 2 4 --connections 110 --connection-ms 1 \
        --probe-ms 6 --cold-ms 10 || return 1
    intent_service "$BENCH_TENANT" map 14 2 110 0 4 1 2
    bench_configure map || return 1
    map_load cold 1
    map_load warm 2
    figure "map: answered" "$(share_answered cold)" "share of requests"
    figure "map: p99 of the first second" "$(p99_of_first_second cold)" ms
    figure "map: p99 of the first 6 s" "$(report cold .answered.p99_ms)" ms
    figure "map: p99 of the next 6 s" "$(report warm .answered.p99_ms)" ms
    quotient "map: p99 of the first / next 6 s" "map: p99 of the first 6 s" "map: p99 of the next 6 s" ratio
    bench_end
}
