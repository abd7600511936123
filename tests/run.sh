#!/usr/bin/env bash
# Runs test programs (of the library check, or scripts that print the same last line), several at a time. Prints one line for
# each program, the end of its output if it failed, and a last line with totals. A program that exceeds the time limit fails.
# A program named in KNOWN-RED.txt (first word of a line) may fail: it is printed, but not counted as failed.
set -u
[ $# -gt 0 ] || { echo "run.sh: no test programs" >&2; exit 2; }
limit_s=150 # time limit of a program
out=$(mktemp -d)
trap 'rm -rf "$out"' EXIT
printf '%s\n' "$@" | xargs -P 6 -I{} sh -c 'timeout -k 10 "$3" "$1" >"$2/$(basename "$1").out" 2>&1; echo $? >"$2/$(basename "$1").rc"' _ {} "$out" "$limit_s"
passed=0 failed=0 known=0
for program in "$@"; do
    name=$(basename "$program")
    rc=$(cat "$out/$name.rc")
    summary=$(grep -E '^[0-9]+%: Checks: ' "$out/$name.out" | tail -1)
    checks=$(sed -E 's/.*Checks: ([0-9]+),.*/\1/' <<<"${summary:-Checks: 0,}")
    bad=$(sed -E 's/.*Failures: ([0-9]+), Errors: ([0-9]+).*/\1 \2/' <<<"${summary:-Failures: 0, Errors: 1}" | awk '{print $1+$2}')
    if [ "$rc" = 0 ] && [ "$checks" -gt 0 ]; then
        passed=$((passed + checks))
        echo "ok    $name: $checks"
    elif grep -qs "^$name\b" KNOWN-RED.txt; then
        known=$((known + 1))
        passed=$((passed + checks - bad))
        echo "RED   $name (known, KNOWN-RED.txt)"; tail -5 "$out/$name.out"
    else
        [ "$bad" -gt 0 ] || bad=1
        failed=$((failed + bad))
        passed=$((passed + (checks > bad ? checks - bad : 0)))
        echo "FAIL  $name (exit $rc)"; grep -v ' INFO \| DEBUG ' "$out/$name.out" | tail -40
    fi
done
[ "$known" = 0 ] || { echo "known red:"; cat KNOWN-RED.txt; }
echo "$passed passed, $failed failed"
[ "$failed" = 0 ]
