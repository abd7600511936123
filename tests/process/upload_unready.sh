#!/usr/bin/env bash
# A node without a configuration refuses an upload with 503 and a time to retry, and not as too long.
. "$(dirname "$0")/../../scripts/cluster.sh"
cluster_start 1
until_true curl -s -o /dev/null "http://$NET.1:8081/readyz"
head -c 100000 /dev/zero >"$WORK/body"
status() {
    curl -s -o /dev/null -w '%{http_code}' -X POST "http://$NET.1:8080/hire/1" -H 'Host: maps.example' -H 'X-Request-Id: upload' \
        -H 'X-Deadline-Ms: 2000' --data-binary "@$WORK/body"
}
check "503 without a configuration" [ "$(status)" = 503 ]
finish_test
