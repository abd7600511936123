# Sourced after scripts/cluster.sh, with LINKED=1. Cuts nodes from all servers, and counts what callers get there. The store, the
# callers and the other nodes still reach the cut nodes.
SERVER_NAMES=(m1 m2 m3 m4 m5 m6 h1 h2 h3) # of standard_servers
cut_from_servers() { # COMMAND NODE...: COMMAND is cut, cut-one-way, reset, refuse or stall
    local command=$1 node server
    shift
    for node in "$@"; do
        for server in "${SERVER_NAMES[@]}"; do link "$command" "n$node" "$server"; done
    done
}
node_metric() { curl -sf -m 1 "http://$NET.$1:8081/metrics" | awk -v m="$2" '$1 == m {print $2}'; } # NODE NAME
paths_lost() { # NODE...
    local node
    for node in "$@"; do [ "$(node_metric "$node" cedarwinch_server_paths_lost)" = 2 ] || return 1; done # both services
}
paths_open() { # NODE...
    local node
    for node in "$@"; do [ "$(node_metric "$node" cedarwinch_server_paths_lost)" = 0 ] || return 1; done
}
callers_at() { # NAME RATE COUNT NODE...: sends requests to these nodes only
    local name=$1 rate=$2 count=$3 NODES="" node
    shift 3
    for node in "$@"; do NODES="$NODES${NODES:+,}$NET.$node:8080"; done
    cluster_callers "$name" --rate "$rate" --count "$count" ${CALLER_KEY:+--credential "$CALLER_KEY"}
}
first_served() { # NAME...: prints how many first attempts were served
    local name
    for name in "$@"; do cat "$WORK/callers-$name.json"; done | jq -r 'select(.event=="end" and .status==200 and (.id|endswith("-0"))).id' | wc -l
}
answers() { # NAME: prints the numbers of first attempts by status
    jq -r 'select(.event=="end" and (.id|endswith("-0"))).status' "$WORK/callers-$1.json" | sort | uniq -c | xargs
}
others_than() { # NODE...: prints the other nodes
    local node
    for node in $(printf '%s\n' "${!NODE_PIDS[@]}" | sort -n); do
        case " $* " in *" $node "*) ;; *) echo "$node" ;; esac
    done
}
