#!/usr/bin/env bash
# Benchmarks on separate processes with regression bounds: see docs/MEASUREMENTS.md. Prints a table, writes every
# figure to bench.json in the build folder, exits 1 when a bound is broken and 2 when a scenario could not run.
# Usage: scripts/bench.sh [SCENARIO...]; BENCH_SECONDS: length of each load.
set -u
cd "$(dirname "$0")/.." || exit 2
. scripts/cluster.sh
. scripts/bench/figures.sh
. scripts/bench/measure.sh
. scripts/bench/latency.sh
. scripts/bench/cost.sh
. scripts/bench/journal.sh
. scripts/bench/recovery.sh
. scripts/bench/map.sh
. scripts/bench/bounds.sh

SCENARIOS="latency cost journal recovery"

# shellcheck disable=SC2086
[ $# -gt 0 ] || set -- $SCENARIOS
for scenario in "$@"; do
    "scenario_$scenario" || {
        echo "bench: scenario $scenario could not run (logs in ${CLUSTER_DIR:-none})" >&2
        exit 2
    }
    "bounds_$scenario"
done
print_figures
write_figures "$CLUSTER_BUILD/bench.json"
[ "$BOUNDS_BROKEN" = 0 ] || {
    echo "bench: $BOUNDS_BROKEN bounds broken"
    exit 1
}
