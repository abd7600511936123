#!/usr/bin/env bash
# Checks the directions of includes. Folders under src/ form no cycle of includes, private headers (*_internal.h) are
# included in their own folder only, no other folder than cli includes the router, and only platform/ includes platform/.
# Inside src/router the files router*.c and router*.h are the parts of a node, which share its state. All others except main.c
# are modules: they include no file of the parts, only adapter.h and loop_start.* include uv.h, and headers form no cycle.
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
tsort "$graph" >/dev/null 2>"$graph.loops" || { fail "cycles among the folders of src:"; cat "$graph.loops" >&2; }
while IFS=: read -r file include; do
    case "$(basename "$file")" in router*.[ch] | main.c) continue ;; esac
    case "$include" in
    router/router*) fail "$file is a module and includes $include, a part of the node" ;;
    uv.h) case "$file" in */adapter.h | */loop_start.[ch]) ;; *) fail "$file is a module and includes $include" ;; esac ;;
    esac
done < <(git ls-files 'src/router/*.c' 'src/router/*.h' | xargs grep -HoE '^#include ["<][^">]+[">]' | sed -E 's/:#include ["<]([^">]+)[">]/:\1/')
git ls-files 'src/router/*.h' | xargs grep -HoE '^#include "router/[^"]+"' | sed -E 's,^src/([^:]+):#include "([^"]+)",\1 \2,' |
    tsort >/dev/null 2>"$graph.loops" || { fail "cycles among headers of src/router:"; cat "$graph.loops" >&2; }
rm -f "$graph.loops"
exit $bad
