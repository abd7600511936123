#!/usr/bin/env bash
# Tenants' keys come and go while the store turns two of three nodes away, in each way of turning away: those learn it from the
# node that still reads. Keys count on open connections as on new ones, stand in no log, and are used no longer than the
# evidence that none was taken away, where nodes fail closed.
STORE_ENDPOINTS=4
NODE_SETTINGS=$'credential_scheme: Token\ncredentials_stale_after_ms: 4000\ncredentials_fail_closed: true'
. "$(dirname "$0")/../../scripts/cluster.sh"
usual_cluster 3

keyed() { # VERSION KEYS: the usual configuration, with tenants; KEYS are those of the tenant "red"
    configuration "$1" | jq -c --argjson keys "$2" \
        '. + {tenants: [{name: "red", "api-keys": $keys, priority: 1}, {name: "blue", "api-keys": ["blue-key"], priority: 0}]}'
}
status() { # NODE KEY
    curl -s -o /dev/null -w '%{http_code}' -X POST "http://$NET.$1:8080/hire/x" -H 'Host: maps.example' -H "X-Request-Id: k$RANDOM$RANDOM" \
        -H 'X-Deadline-Ms: 900' ${2:+-H "Authorization: Token $2"}
}
statuses() { local n; for n in 1 2 3; do status "$n" "$1"; echo; done | sort -u | xargs; }
all_answer() { [ "$(statuses "$1")" = "$2" ]; }
metric() { curl -sf "http://$NET.$1:8081/metrics" | awk -v name="$2" '$1 == name {print $2}'; }
all_have() { local n; for n in 1 2 3; do [ "$(metric "$n" cedarwinch_configuration_version)" = "$1" ] || return 1; done; }

# One request on a connection that stays open; its status.
ask_on_open_connection() {
    local line length=0 code=""
    printf 'POST /hire/x HTTP/1.1\r\nHost: maps.example\r\nX-Request-Id: o%s\r\nX-Deadline-Ms: 900\r\nAuthorization: Token red-1\r\nContent-Length: 0\r\n\r\n' \
        "$RANDOM$RANDOM" >&"$connection"
    while IFS= read -r -t 5 line <&"$connection"; do
        line=${line%$'\r'}
        [ -n "$code" ] || code=${line:9:3}
        case ${line,,} in content-length:*) length=${line##*: } ;; esac
        [ -n "$line" ] || break
    done
    [ "$length" = 0 ] || head -c "$length" <&"$connection" >/dev/null
    echo "$code"
}

check "without tenants no key is asked for" all_answer "" 200
cluster_configure "$(keyed 2 '["red-1"]')"
until_true all_have 2
check "with tenants a request without a key is rejected" all_answer "" 401
check "an unknown key too" all_answer "red-2" 401
check "a known one is served" all_answer "red-1" 200
exec {connection}<>"/dev/tcp/$NET.2/8080"
check "on a connection that stays open too" [ "$(ask_on_open_connection)" = 200 ]

version=2
for how in reset busy silent; do
    for n in 2 3; do curl -sf -X POST "http://$STORE/control?endpoint=$((n + 1))&down=60000&how=$how" >/dev/null; done
    cluster_configure "$(keyed $((version + 1)) '["red-2"]')"
    until_true all_have $((version + 1))
    check "$how: a key taken away is rejected by the nodes that are turned away" all_answer "red-1" 401
    check "$how: on the open connection too" [ "$(ask_on_open_connection)" = 401 ]
    check "$how: a new one is served there" all_answer "red-2" 200
    check "$how: another tenant's key goes on" all_answer "blue-key" 200
    cluster_configure "$(keyed $((version + 2)) '[]')"
    until_true all_have $((version + 2))
    check "$how: a tenant without keys is served nothing" all_answer "red-2" 401
    cluster_configure "$(keyed $((version + 3)) '["red-1"]')"
    version=$((version + 3))
    until_true all_have "$version"
    check "$how: a key that is given back counts again" all_answer "red-1" 200
    for n in 2 3; do curl -sf -X POST "http://$STORE/control?endpoint=$((n + 1))&down=1&how=$how" >/dev/null; done
done

# The same key at two tenants, a rate that is no number: refused, and the version in force stays.
cluster_configure "$(keyed $((version + 1)) '["red-1", "blue-key"]')"
until_true grep -q "have the same key" "$WORK"/node*.log
cluster_configure "$(keyed $((version + 2)) '["red-1"]' | jq -c '.tenants[1]["rate-per-s"] = "9"')"
until_true grep -q 'tenants\[1\].rate-per-s: not a number' "$WORK"/node*.log
check "a version that is refused leaves the one before in force" all_have "$version"
check "and its keys" all_answer "red-1" 200

# Evidence older than the bound: the nodes fail closed, and open again.
curl -sf -X POST "http://$STORE/control?down=8000&how=busy" >/dev/null
until_true all_answer "red-1" 503
check "without evidence requests with a key are told to come back" all_answer "red-1" 503
until_true all_answer "red-1" 200
check "with evidence they are served again" all_answer "red-1" 200
check "both stand in the log" [ "$(grep -c -h 'keys stale\|keys confirmed' "$WORK/node1.log")" -ge 2 ]

digest=$(printf %s red-1 | sha256sum | cut -c1-16)
check "no log holds a key or a digest" [ -z "$(grep -l -e 'red-1' -e 'red-2' -e 'blue-key' -e "$digest" "$WORK"/node*.log "$WORK"/node*.err)" ]
check "each 401 says why" [ "$(grep -h '"status":401' "$WORK"/node*.log | grep -vc '"reason"')" = 0 ]
finish_test
