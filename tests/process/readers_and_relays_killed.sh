#!/usr/bin/env bash
# All store readers and relays of a region are killed at once; the leader is in another region. A change of the
# configuration and a new server become known to the other nodes of the region within bounded times, and all keys are
# served there.
LINKED=1
. "$(dirname "$0")/../../scripts/cluster.sh"
NODES_STARTED=21 # relays work from 16 nodes on, so that there are enough also after three or four were killed
NODE_SETTINGS="zone_regions: [z1=east, z2=west, z3=south]"
group_of() { case $1 in z1) echo east ;; z2) echo west ;; *) echo south ;; esac; }
region_of_node() { group_of "z$((($1 - 1) % 3 + 1))"; }
metric_of() { curl -sf -m 1 "http://$NET.$1:8081/metrics" | awk -v m="$2" 'index($0, m) == 1 {sum += $2} END {print sum + 0}'; }
all_know_each_other() {
    local n
    for n in "${!NODE_PIDS[@]}"; do [ "$(metric_of "$n" "cedarwinch_peers ")" -eq "$1" ] || return 1; done
}
is_relay() { curl -sf "http://$NET.$1:8081/metrics" | grep -q 'peer_datagrams_total{kind="zone_summary",distance="remote"}'; }
is_reader() { [ "$(metric_of "$1" cedarwinch_store_reader)" = 1 ]; }
readers_and_relays() { # REGION: its store readers and relays; the leader is in another region
    local n
    for n in $(nodes_of_region "$1"); do
        if is_relay "$n" || is_reader "$n"; then echo "$n"; fi
    done
}
has_readers_and_relays() {
    local n relays=0 readers=0
    for n in $(nodes_of_region "$1"); do
        ! is_relay "$n" || relays=$((relays + 1))
        ! is_reader "$n" || readers=$((readers + 1))
    done
    [ "$relays" -ge 2 ] && [ "$readers" -ge 1 ] # a zone of fewer than 16 nodes has one store reader
}
region_has() { # REGION METRIC VALUE
    local n
    for n in $(nodes_of_region "$1"); do [ "$(metric_of "$n" "$2 ")" = "$3" ] || return 1; done
}
within() { # SECONDS COMMAND...
    local end=$((SECONDS + $1))
    shift
    until "$@"; do
        [ "$SECONDS" -lt "$end" ] || return 1
        sleep 0.1
    done
}

standard_cluster "$NODES_STARTED"
until_true all_know_each_other $((NODES_STARTED - 1))
leading=$(leader)
lost=west
[ "$(region_of_node "$leading")" != west ] || lost=south
until_true has_readers_and_relays "$lost"
killed=$(readers_and_relays "$lost")
check "there are nodes to kill" at_least "$(wc -w <<<"$killed")" 2
for n in $killed; do kill -KILL "${NODE_PIDS[$n]}"; done
for n in $killed; do
    wait "${NODE_PIDS[$n]}" 2>/dev/null
    unset "NODE_PIDS[$n]"
done
check "others are left there" at_least "$(nodes_of_region "$lost" | wc -l)" 1
cluster_configure "$(configuration 2)"
cluster_server m7 --service maps --zone z1 --keyed --work-ms 15
check "a change of the configuration is in force there" within 8 region_has "$lost" cedarwinch_configuration_version 2
check "a server that comes is known there" within 8 region_has "$lost" cedarwinch_servers 10
until_true region_serves_all_keys "$lost"
check "the leader is the same" [ "$(leader)" = "$leading" ]
until_true has_readers_and_relays "$lost"
check "others there read and relay" has_readers_and_relays "$lost"
region_callers "$lost" after --rate 60 --count 200
check "all answered after it" at_least "$(sum_of after s200)" 195
check "records agree" cluster_check
finish_test
