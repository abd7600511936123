#!/usr/bin/env bash
# Tenants' keys are added and revoked while the store refuses two of the three nodes, in each way in which it can: by a reset,
# by an error that says that it is busy, or by not answering. These nodes learn the changes from the node that can still read the
# store. Keys apply to open connections as well as to new ones, and appear in no log. Nodes that fail closed accept keys only
# as long as there is recent evidence that none was revoked.
STORE_ENDPOINTS=4
NODE_SETTINGS=$'credential_scheme: Token\ncredentials_stale_after_ms: 4000\ncredentials_fail_closed: true'
. "$(dirname "$0")/../../scripts/cluster.sh"
standard_cluster 3

keyed() { # VERSION KEYS: the default configuration with tenants; KEYS are the keys of the tenant "red"
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

# Sends one request on a connection that stays open, and prints its status.
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

check "without tenants no key is required" all_answer "" 200
cluster_configure "$(keyed 2 '["red-1"]')"
until_true all_have 2
check "with tenants a request without a key is rejected" all_answer "" 401
check "a request with an unknown key is rejected" all_answer "red-2" 401
check "a request with a known key is served" all_answer "red-1" 200
exec {connection}<>"/dev/tcp/$NET.2/8080"
check "a request on a connection that stays open is served" [ "$(ask_on_open_connection)" = 200 ]

version=2
for how in reset busy silent; do
    for n in 2 3; do curl -sf -X POST "http://$STORE/control?endpoint=$((n + 1))&down=60000&how=$how" >/dev/null; done
    cluster_configure "$(keyed $((version + 1)) '["red-2"]')"
    until_true all_have $((version + 1))
    check "$how: a revoked key is rejected, also by the nodes that the store refuses" all_answer "red-1" 401
    check "$how: a revoked key is rejected on the open connection" [ "$(ask_on_open_connection)" = 401 ]
    check "$how: a new key is accepted by all nodes" all_answer "red-2" 200
    check "$how: another tenant's key stays valid" all_answer "blue-key" 200
    cluster_configure "$(keyed $((version + 2)) '[]')"
    until_true all_have $((version + 2))
    check "$how: requests of a tenant without keys are rejected" all_answer "red-2" 401
    cluster_configure "$(keyed $((version + 3)) '["red-1"]')"
    version=$((version + 3))
    until_true all_have "$version"
    check "$how: a key that is added again is accepted" all_answer "red-1" 200
    for n in 2 3; do curl -sf -X POST "http://$STORE/control?endpoint=$((n + 1))&down=1&how=$how" >/dev/null; done
done

# A configuration with the same key for two tenants, and one with a rate that is not a number, are refused; the version in
# force stays.
cluster_configure "$(keyed $((version + 1)) '["red-1", "blue-key"]')"
until_true grep -q "have the same key" "$WORK"/node*.log
cluster_configure "$(keyed $((version + 2)) '["red-1"]' | jq -c '.tenants[1]["rate-per-s"] = "9"')"
until_true grep -q 'tenants\[1\].rate-per-s: not a number' "$WORK"/node*.log
check "a refused version leaves the previous one in force" all_have "$version"
check "the keys of the previous version stay valid" all_answer "red-1" 200

# The evidence is older than the bound: the nodes refuse requests with keys until there is new evidence.
curl -sf -X POST "http://$STORE/control?down=8000&how=busy" >/dev/null
until_true all_answer "red-1" 503
check "without evidence requests with a key are refused with 503" all_answer "red-1" 503
until_true all_answer "red-1" 200
check "with evidence they are served again" all_answer "red-1" 200
check "both changes are logged" [ "$(grep -c -h 'keys stale\|keys confirmed' "$WORK/node1.log")" -ge 2 ]

digest=$(printf %s red-1 | sha256sum | cut -c1-16)
check "no log holds a key or a digest" [ -z "$(grep -l -e 'red-1' -e 'red-2' -e 'blue-key' -e "$digest" "$WORK"/node*.log "$WORK"/node*.err)" ]
check "each 401 is logged with its reason" [ "$(grep -h '"status":401' "$WORK"/node*.log | grep -vc '"reason"')" = 0 ]
finish_test
