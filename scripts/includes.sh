#!/usr/bin/env bash
# Holds the directions of includes: subjects under src/ form no circle, private headers (*_internal.h) stay in their
# folder, the router is included by no subject, and nothing but platform/ includes platform/.
set -u
bad=0
fail() { echo "includes: $*" >&2; bad=1; }
graph=$(mktemp)
trap 'rm -f "$graph"' EXIT
while IFS=: read -r file include; do
    from=$(echo "$file" | cut -d/ -f2)
    to=$(echo "$include" | cut -d/ -f1)
    case "$include" in
    */*_internal.h) [ "$from" = "$to" ] || fail "$file includes $include, which is private to src/$to" ;;
    platform*) fail "$file includes $include" ;;
    esac
    [ "$from" != "$to" ] && [ -d "src/$to" ] && echo "$from $to"
done < <(git ls-files 'src/*.c' 'src/*.h' | xargs grep -HoE '^#include "[^"]+"' | sed -E 's/:#include "([^"]+)"/:\1/') | sort -u >"$graph"
cut -d' ' -f2 "$graph" | grep -qx router && grep ' router$' "$graph" | grep -v '^cli ' | while read -r line; do fail "includes the router: $line"; done
tsort "$graph" >/dev/null 2>"$graph.loops" || { fail "circles among subjects:"; cat "$graph.loops" >&2; }
rm -f "$graph.loops"
exit $bad
