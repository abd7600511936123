#!/usr/bin/env bash
# Checks counts and ratios of one run with the stand-ins (three nodes, nine servers, 1,500 requests) against upper bounds, to
# detect regressions. Absolute speeds are not measured here, but on the users' bench (docs/MEASUREMENTS.md).
cd "$(dirname "$0")/.." || exit 1
. scripts/cluster.sh
failed=0
bound() { # NAME VALUE MAX: checks and prints one value
    local verdict=held
    awk -v v="$2" -v m="$3" 'BEGIN {exit !(v <= m)}' || { verdict=BROKEN; failed=1; }
    printf '%-52s %10s   at most %-8s %s\n' "$1" "$2" "$3" "$verdict"
}
metric() { curl -sf "http://$NET.$1:8081/metrics" | awk -v m="$2" '$1 == m {print $2}'; }
sum_metric() { local n sum=0; for n in 1 2 3; do sum=$((sum + $(metric "$n" "$1"))); done; echo "$sum"; }
peak_kb() { awk '/^VmHWM/ {print $2}' "/proc/$1/status"; }
private_kb() { awk '/^(Private_Dirty|Private_Clean):/ {s += $2} END {print s}' "/proc/$1/smaps_rollup"; }
ticks() { awk '{print $14 + $15}' "/proc/$1/stat"; }

standard_cluster 3
reads=$(sum_metric cedarwinch_store_reads_total)
writes=$(sum_metric cedarwinch_store_writes_total)
opened=$(sum_metric cedarwinch_server_connections_total)
before=$(($(ticks "${NODE_PIDS[1]}") + $(ticks "${NODE_PIDS[2]}") + $(ticks "${NODE_PIDS[3]}")))
start=$(date +%s%N)
cluster_callers bench --rate 100 --count 1500 &
callers=$!
callers_ticks=0
while kill -0 "$callers" 2>/dev/null; do
    child=$(pgrep -P "$callers" -x cw-callers)
    [ -n "$child" ] && callers_ticks=$(ticks "$child" 2>/dev/null || echo "$callers_ticks")
    sleep 0.2
done
wait "$callers"
seconds=$((($(date +%s%N) - start) / 1000000000))
after=$(($(ticks "${NODE_PIDS[1]}") + $(ticks "${NODE_PIDS[2]}") + $(ticks "${NODE_PIDS[3]}")))
reads=$(($(sum_metric cedarwinch_store_reads_total) - reads))
writes=$(($(sum_metric cedarwinch_store_writes_total) - writes))
opened=$(($(sum_metric cedarwinch_server_connections_total) - opened))
peak=0 private=0
for n in 1 2 3; do
    kb=$(peak_kb "${NODE_PIDS[$n]}"); [ "$kb" -gt "$peak" ] && peak=$kb
    kb=$(private_kb "${NODE_PIDS[$n]}"); [ "$kb" -gt "$private" ] && private=$kb
done
per() { awk -v a="$1" -v b="$2" 'BEGIN {printf "%.3f", a / b}'; }

bound "requests not answered with 200, of 1,500" "$((1500 - $(sum_of bench s200)))" 3
bound "peak resident memory of a node, MB" "$(per "$peak" 1024)" 6
bound "of it private to the process, MB" "$(per "$private" 1024)" 2
bound "reading calls to the store, a node and second" "$(per "$reads" "$((3 * seconds))")" 1.3
bound "writing calls to the store, all nodes, a second" "$(per "$writes" "$seconds")" 3
bound "connections opened to servers, for each request" "$(per "$opened" 1500)" 0.05
bound "processor time of the nodes over the callers own" "$(per "$((after - before))" "$((callers_ticks == 0 ? 1 : callers_ticks))")" 4
exit $failed
