#!/usr/bin/env bash
# The rule BUDGET of the checker of records (cw-verdict) takes the node that a caller asked for the one that sent a request which had
# been passed to another node, and so reports rests of the wrong node, or misses those of the right one.
. "$(dirname "$0")/../../scripts/cluster.sh"
EPOCH=$(awk -v now="$(date +%s.%N)" '{printf "%.3f", now - $1}' /proc/uptime) # wall-clock time of the records' time 0
called() { # ID NODE: the caller's record
    echo "{\"ns\":9000000000,\"event\":\"end\",\"id\":\"$1\",\"method\":\"GET\",\"status\":503,\"node\":\"$2:8080\"}"
}
name() { echo "{\"ns\":0,\"event\":\"name\",\"id\":\"$1\",\"node\":\"$1:8080\"}"; } # NODE
arrive() { echo "{\"ns\":$1000000,\"event\":\"arrive\",\"server\":\"s\",\"service\":\"maps\",\"id\":\"$2\"}"; } # MS ID
rest() { # MS ID: the server asks the sender of this request for four seconds of rest
    arrive "$1" "$2"
    echo "{\"ns\":$1000000,\"event\":\"rest\",\"server\":\"s\",\"service\":\"maps\",\"id\":\"$2\",\"rest_s\":4}"
}
log_line() { # MS NODE EVENT ID [BY]
    echo "{\"time\":$(awk -v e="$EPOCH" -v ms="$1" 'BEGIN {printf "%.3f", e + ms / 1000}'),\"node\":\"$2\",\"event\":\"$3\",\"request\":\"$4\",\"by_node\":\"${5:-}\"}"
}
passed() { log_line "$1" "$2" delegated "$3" "$4"; }              # MS FROM ID TO
declined() { log_line "$1" "$2" "delegation declined" "$3" "$4"; } # MS FROM ID BY
arrivals() { local id; for id in "${@:2}"; do arrive "$1" "$id"; done; } # MS ID...
calls() { local id; for id in "${@:2}"; do called "$id" "$1"; done; }    # NODE ID...
verdict() { cat - <(name n1; name n2) >"$WORK/all"; "$BUILD/cw-verdict" "$WORK/all" | grep ^BUDGET; }
reports() { [ "$(verdict | wc -l)" = "$1" ]; }
reports_node() { verdict | grep -q "; $1:8080 was asked for 4 s of rest, and sent $2 requests"; } # NODE NUMBER

check "three requests of a node during its rest are reported" reports_node n1 3 < <(calls n1 a b c d; rest 2000 a; arrivals 3000 b c d)
check "two are allowed" reports 0 < <(calls n1 a b c; rest 2000 a; arrivals 3000 b c)
check "so are those of another node" reports 0 < <(calls n1 a; calls n2 b c d; rest 2000 a; arrivals 3000 b c d)
check "a rest is of the node that the request had been passed to" reports 0 < <(calls n1 a b c d; passed 1800 n1 a n2; rest 2000 a
    arrivals 3000 b c d)
check "whose requests are reported" reports_node n2 3 < <(calls n1 a; calls n2 b c d; passed 1800 n1 a n2; rest 2000 a; arrivals 3000 b c d)
check "also those that were passed to it" reports_node n2 3 < <(calls n1 a b c d; for id in a b c d; do passed 1800 n1 $id n2; done
    rest 2000 a; arrivals 3000 b c d)
check "but not those that it passed on itself" reports 0 < <(calls n1 a b c d; for id in b c d; do passed 2500 n1 $id n2; done; rest 2000 a
    arrivals 3000 b c d)
check "a request that was passed on later was sent by the first node" reports_node n1 3 < <(calls n1 a b c d; rest 2000 a
    arrivals 3000 b c d; passed 3500 n1 b n2; passed 3500 n1 a n2)
check "a request that the other node declined is of the first one" reports_node n1 3 < <(calls n1 a b c d; passed 1700 n1 a n2
    declined 1800 n1 a n2; rest 2000 a; arrivals 3000 b c d)
# The checker ended with nothing judged at the 17th such line.
unnamed() { local n; for n in $(seq 1 20); do log_line "$((1700 + n))" n2 "delegation declined" "" | jq -c 'del(.request, .by_node)'; done; }
check "lines of nodes that take no requests do not end the checker" reports_node n1 3 < <(calls n1 a b c d; unnamed; rest 2000 a
    arrivals 3000 b c d)
own_line() { log_line "$1" "$2" "delegation declined" "$3" | jq -c 'del(.by_node)'; } # MS NODE ID: the other node's own line
check "the other node's own line makes it no sender" reports_node n1 3 < <(calls n1 a b c d; passed 1700 n1 a n2
    declined 1800 n1 a n2; own_line 1801 n2 a; rest 2000 a; arrivals 3000 b c d)
many() { local n; for n in $(seq 1 20); do passed "$((1000 + 2 * n))" n1 a n2; declined "$((1001 + 2 * n))" n1 a n2; done; }
check "a request may be passed on and declined many times" reports_node n1 3 < <(calls n1 a b c d; many; rest 2000 a; arrivals 3000 b c d)
finish_test
