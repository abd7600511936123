#!/usr/bin/env bash
# Servers name a rate limit, and half of the nodes lose their paths to all servers. The limits hold over all nodes, are used as far
# as without the cut, and callers at the cut nodes get their part of them.
LINKED=1
. "$(dirname "$0")/../../scripts/cluster.sh"
. "$(dirname "$0")/lib/server_paths.sh"
SERVER_NAMES=(m1 m2 m3 h1 h2 h3)
LIMITED_S=10 LIMIT=5
cluster_start 6
for i in 1 2 3; do
    cluster_server "m$i" --service maps --zone "z$i" --keyed --work-ms 15
    cluster_server "h$i" --service hires --zone "z$i" --work-ms 15 --signals limit=$LIMIT
done
cluster_configure "$(configuration 1)"
cluster_wait_ready
cluster_wait_served
KINDS=(--kind "maps.example,/hire/,POST,2000,0")
callers_at before 60 120 $(others_than 0)
kill -USR1 "${SERVER_PIDS[h1]}" "${SERVER_PIDS[h2]}" "${SERVER_PIDS[h3]}"
mapfile -t cut < <(others_than "$(leader)" | head -3)
mapfile -t others < <(others_than "${cut[@]}")
callers_at learning 60 180 $(others_than 0)
cut_from_servers cut "${cut[@]}"
callers_at detection 60 180 $(others_than 0)
callers_at during-cut 60 $((60 * LIMITED_S)) "${cut[@]}" &
cut_callers=$!
callers_at during-others 60 $((60 * LIMITED_S)) "${others[@]}" &
wait "$cut_callers" $!
served_cut=$(sum_of during-cut s200) served_others=$(sum_of during-others s200)
echo "     served at the cut nodes $served_cut, at the others $served_others, of $((3 * LIMIT * LIMITED_S)) allowed"
check "no server gets more requests than its limit allows" cluster_check
check "the limits are used" at_least $((served_cut + served_others)) $((3 * LIMIT * LIMITED_S * 7 / 10))
check "callers at the cut nodes get a part" at_least "$served_cut" $((3 * LIMIT * LIMITED_S / 10))
finish_test
