#!/usr/bin/env bash
# Runs the soak with COUNT seeds from FIRST on, one after the other: many.sh FIRST COUNT. Prints one line for each seed and the
# number of faults by kind. SOAK: another soak of this folder than soak.sh. The exit code is 1 if there is a finding; the output of such a seed is kept, and its path printed.
set -u
first=$1 count=$2 failed=0
output=$(mktemp -d)
for seed in $(seq "$first" $((first + count - 1))); do
    if SEED=$seed bash "$(dirname "$0")/${SOAK:-soak.sh}" >"$output/$seed.txt" 2>&1; then
        tail -1 "$output/$seed.txt"
    else
        failed=$((failed + 1))
        grep FINDING "$output/$seed.txt"
        echo "seed $seed: failed, output in $output/$seed.txt"
    fi
done
echo "faults: $(sed -n 's/^[0-9:.]* faults: //p' "$output"/*.txt | tr ' ' '\n' | paste - - | awk '{sum[$1] += $2} END {for (kind in sum) print kind, sum[kind]}' | sort | xargs)"
echo "$count seeds, $failed with findings"
[ "$failed" = 0 ]
