#!/usr/bin/env bash
# Operators configure tenants by intents (check, plan, confirm). Tests concurrent and stale plans, lost answers of the
# store, and that tenants cannot claim each other's hosts and keys or use up each other's limits.
. "$(dirname "$0")/../../scripts/cluster.sh"
cluster_start 2
standard_servers
cluster_server lp --service liffeyspoke/maps --keyed --work-ms 10
cluster_server rm --service rimac/pages --work-ms 10
token=$(printf %s sesame | sha256sum | cut -d' ' -f1)
intent() { # TIMEOUT
    cat <<YAML
tenant: liffeyspoke
keys: ["$token"]
services: [{name: maps, keyed: true}]
routes:
  - {name: maps, host: lp.example, prefix: /docks/, service: maps, repeatable: true, timeout_ms: $1}
YAML
}
intent 1000 >"$WORK/a.yaml"
intent 1500 >"$WORK/b.yaml"
cat >"$WORK/rimac.yaml" <<YAML
tenant: rimac
requests_per_s: 4
services: [{name: pages}]
routes:
  - {name: pages, host: rm.example, prefix: /pages/, service: pages}
YAML
sed 's/lp.example/rm.example/; s#/docks/#/pages/#' "$WORK/a.yaml" >"$WORK/thief.yaml"
echo 'tenant: x' >"$WORK/broken.yaml"
printf 'opensesame\n' >"$WORK/rimac.key"
sed "s/^requests_per_s/keys: [{file: rimac.key}]\n&/" "$WORK/rimac.yaml" >"$WORK/rimac-keys.yaml"
sed "s/^requests_per_s/keys: [$token]\n&/" "$WORK/rimac.yaml" >"$WORK/rimac-thief.yaml"
export CEDARWINCH_STORE=$STORE
cw() { "$BUILD/cedarwinch" "$@"; }
plan_of() { cw plan "$1" | awk '/^plan/ {print $2}'; }
refused() { ! "$@" >/dev/null 2>&1; }
status() { local token=$1; shift; curl -s -o /dev/null -w '%{http_code}' "$@" -H "Authorization: Bearer $token" -H "X-Request-Id: i$RANDOM$RANDOM" -H 'X-Shard-Key: 7' -H 'X-Deadline-Ms: 900'; }

check "a valid intent has no findings" cw check "$WORK/a.yaml"
check "an invalid intent has findings" refused cw check "$WORK/broken.yaml"
a=$(plan_of "$WORK/a.yaml")
b=$(plan_of "$WORK/b.yaml")
check "two operators: the first plan is accepted" cw confirm "$a" "$WORK/a.yaml"
check "the second operator's plan is refused as stale" refused cw confirm "$b" "$WORK/b.yaml"
b=$(plan_of "$WORK/b.yaml")
check "a new plan of the second operator is accepted" cw confirm "$b" "$WORK/b.yaml"
check "a changed intent is refused under the id of the old plan" refused cw confirm "$b" "$WORK/a.yaml"
curl -sf -X POST "http://$STORE/control?lose=1" >/dev/null
a=$(plan_of "$WORK/a.yaml")
check "after a lost answer, reading the store shows that the plan is accepted" cw confirm "$a" "$WORK/a.yaml"
check "another tenant's intent is accepted beside the first one's" cw confirm "$(plan_of "$WORK/rimac.yaml")" "$WORK/rimac.yaml"
check "an intent that claims another tenant's host is refused" refused cw plan "$WORK/thief.yaml"
check "an intent that claims another tenant's key is refused" refused cw plan "$WORK/rimac-thief.yaml"
check "the finding about the key names line, column and fingerprint" grep -q "rimac-thief.yaml:2:8: .*fingerprint ${token:0:8}" <(cw plan "$WORK/rimac-thief.yaml")
cw plan "$WORK/rimac-keys.yaml" >"$WORK/keys.plan"
check "the plan shows a key from a file by its fingerprint" grep -q "keys added $(printf %s opensesame | sha256sum | cut -c1-8)" "$WORK/keys.plan"
check "the plan does not show the key itself" [ "$(grep -c opensesame "$WORK/keys.plan")" = 0 ]
curl -sf -X POST "http://$STORE/control?down=1500&how=busy" >/dev/null
check "without the store, plan fails" refused cw plan "$WORK/a.yaml"
sleep 1.6
in_force() { [ "$(curl -sf "http://$NET.1:8081/metrics" | awk '/^cedarwinch_configuration_version/ {print $2}')" = "$1" ]; } # VERSION
until_true in_force 4
served() { [ "$(status sesame "http://$NET.1:8080/docks/x" -H 'Host: lp.example')" = 200 ]; }
until_true served
check "a caller with the tenant's key is served" served
check "a caller with another key gets 401" [ "$(status open "http://$NET.1:8080/docks/x" -H 'Host: lp.example')" = 401 ]
codes=$(for _ in 1 2 3 4 5 6 7 8 9 10 11 12; do status x "http://$NET.1:8080/pages/x" -H 'Host: rm.example'; echo; done | sort | uniq -c | xargs)
check "requests above a tenant's rate get 429 ($codes)" grep -q 429 <<<"$codes"
check "requests of the other tenant are still served" served
check "an intent with a key from a file is accepted" cw confirm "$(plan_of "$WORK/rimac-keys.yaml")" "$WORK/rimac-keys.yaml"
until_true in_force 5 # by version 4 the tenant has no keys, and any caller is admitted
known() { status opensesame "http://$NET.1:8080/pages/x" -H 'Host: rm.example' | grep -q '200\|429'; }
until_true known
check "a caller with the key from the file is admitted" known
check "a caller with another tenant's key gets 401" [ "$(status sesame "http://$NET.1:8080/pages/x" -H 'Host: rm.example')" = 401 ]
check "neither the logs nor the store hold the key" [ "$(cat "$WORK"/node*.log <(curl -sf "http://$STORE/api/objects/config/main") | grep -c opensesame)" = 0 ]
cw status "$NET.1:8081" "$NET.2:8081" >"$WORK/status"
check "status shows the tenant at its limit and the counting node" grep -Eq 'tenant rimac: .* [1-9][0-9]* refused; limit 4 a second, burst 0, .*counted by n[12]' "$WORK/status"
check "status shows refusals by reason" grep -q 'refused 429 the tenant.s rate: [1-9]' "$WORK/status"
check "status shows refusals of callers without a valid key" grep -q 'refused 401 ' "$WORK/status"
explained() { cw explain "$1" "$WORK"/node*.log; }
limited=$(grep -h '"the tenant.s rate"' "$WORK"/node*.log | tail -1 | grep -o '"request":"[^"]*"' | cut -d'"' -f4)
check "explain shows the cause of a 429" grep -q 'cause: 429: ' <(explained "$limited")
check "report counts refusals by the tenant's rate" grep -q "429 the tenant's rate" <(cw report "$WORK"/node*.log)
# If the accepted configuration cannot be read, plan must fail: a plan made without it would remove all other entries.
cluster_configure '{"version":900,"routes":[],"limits":{"max-body-bytes":"1000"}}'
plan_output=$(cw plan "$WORK/b.yaml" 2>&1)
check "no plan is made without the present configuration" [ "$?" = 1 ]
check "plan names the invalid field of the configuration" grep -q 'limits.max-body-bytes: not a number' <<<"$plan_output"
check "a zone plan names the invalid field of the configuration" grep -q 'limits.max-body-bytes: not a number' <(cw zone out z1 2>&1)
finish_test
