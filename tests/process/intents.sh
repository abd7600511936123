#!/usr/bin/env bash
# Operators' intents are the way in: check, plan, confirm; races, stale plans, lost answers; tenants stay apart.
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

check "a good intent has no findings" cw check "$WORK/a.yaml"
check "a broken one has findings" refused cw check "$WORK/broken.yaml"
a=$(plan_of "$WORK/a.yaml")
b=$(plan_of "$WORK/b.yaml")
check "two operators: the first is accepted" cw confirm "$a" "$WORK/a.yaml"
check "the second's plan is stale" refused cw confirm "$b" "$WORK/b.yaml"
b=$(plan_of "$WORK/b.yaml")
check "planned anew it is accepted" cw confirm "$b" "$WORK/b.yaml"
check "an edited intent does not pass under the old plan" refused cw confirm "$b" "$WORK/a.yaml"
curl -sf -X POST "http://$STORE/control?lose=1" >/dev/null
a=$(plan_of "$WORK/a.yaml")
check "a lost answer is settled by reading" cw confirm "$a" "$WORK/a.yaml"
check "another tenant's intent keeps the first's" cw confirm "$(plan_of "$WORK/rimac.yaml")" "$WORK/rimac.yaml"
check "another tenant's host cannot be taken" refused cw plan "$WORK/thief.yaml"
check "another tenant's key cannot be taken" refused cw plan "$WORK/rimac-thief.yaml"
check "and the finding names the place and the fingerprint" grep -q "rimac-thief.yaml:2:8: .*fingerprint ${token:0:8}" <(cw plan "$WORK/rimac-thief.yaml")
cw plan "$WORK/rimac-keys.yaml" >"$WORK/keys.plan"
check "a key out of a file is shown by its fingerprint" grep -q "keys added $(printf %s opensesame | sha256sum | cut -c1-8)" "$WORK/keys.plan"
check "and by nothing else" [ "$(grep -c opensesame "$WORK/keys.plan")" = 0 ]
curl -sf -X POST "http://$STORE/control?down=1500&how=busy" >/dev/null
check "with the store down nothing is accepted, and that is said" refused cw plan "$WORK/a.yaml"
sleep 1.6
in_force() { [ "$(curl -sf "http://$NET.1:8081/metrics" | awk '/^cedarwinch_configuration_version/ {print $2}')" = 4 ]; }
until_true in_force
served() { [ "$(status sesame "http://$NET.1:8080/docks/x" -H 'Host: lp.example')" = 200 ]; }
until_true served
check "a tenant's caller is served" served
check "another caller is not" [ "$(status open "http://$NET.1:8080/docks/x" -H 'Host: lp.example')" = 401 ]
codes=$(for _ in 1 2 3 4 5 6 7 8 9 10 11 12; do status x "http://$NET.1:8080/pages/x" -H 'Host: rm.example'; echo; done | sort | uniq -c | xargs)
check "a tenant's rate is its own limit ($codes)" grep -q 429 <<<"$codes"
check "the other tenant is not touched by it" served
check "a tenant's key out of a file is accepted" cw confirm "$(plan_of "$WORK/rimac-keys.yaml")" "$WORK/rimac-keys.yaml"
known() { status opensesame "http://$NET.1:8080/pages/x" -H 'Host: rm.example' | grep -q '200\|429'; }
until_true known
check "and its caller is known" known
check "one with another key is not" [ "$(status sesame "http://$NET.1:8080/pages/x" -H 'Host: rm.example')" = 401 ]
check "the key stands in no log and not in the store" [ "$(cat "$WORK"/node*.log <(curl -sf "http://$STORE/api/objects/config/main") | grep -c opensesame)" = 0 ]
cw status "$NET.1:8081" "$NET.2:8081" >"$WORK/status"
check "status tells the tenant at its limit, and who counts" grep -Eq 'tenant rimac: .* [1-9][0-9]* refused; limit 4 a second, burst 0, .*counted by n[12]' "$WORK/status"
check "and refusals by reason" grep -q 'refused 429 the tenant.s rate: [1-9]' "$WORK/status"
check "and callers without a good key" grep -q 'refused 401 ' "$WORK/status"
told() { cw explain "$1" "$WORK"/node*.log; }
limited=$(grep -h '"the tenant.s rate"' "$WORK"/node*.log | tail -1 | grep -o '"request":"[^"]*"' | cut -d'"' -f4)
check "explain tells the cause of a 429" grep -q 'cause: 429: ' <(told "$limited")
check "report counts it" grep -q "429 the tenant's rate" <(cw report "$WORK"/node*.log)
# An accepted configuration that cannot be read: a plan beside it would be one to replace it all.
cluster_configure '{"version":900,"routes":[],"limits":{"max-body-bytes":"1000"}}'
plan_output=$(cw plan "$WORK/b.yaml" 2>&1)
check "no plan without the present configuration" [ "$?" = 1 ]
check "the reason has its place" grep -q 'limits.max-body-bytes: not a number' <<<"$plan_output"
check "a zone plan says what it lacks" grep -q 'limits.max-body-bytes: not a number' <(cw zone out z1 2>&1)
finish_test
