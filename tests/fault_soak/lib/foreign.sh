# Sourced by soaks, after draws.sh: another writer creates, replaces and removes odd entries among those of the servers. Bytes that are
# not valid JSON go through the stand-in's raw-hex.
FOREIGN_NAMES=(a-foreign i-0foreign s-foreign z-foreign)
FOREIGN_PIECES=('","x":{"i-1":[{"metadata":{"name":"i-1"}},{"metadata":{"name":"i-1"}}],' ',{"metadata":{"name":"i-2"}},{"x":[1' '"at":[' '[' ',{' '\"')
foreign_server() { # FIELD VALUE: the spec of a server's entry but for this field
    jq -c --argjson value "$2" ".$1 = \$value" <<<'{"service":"hires","address":"127.0.0.1:9","zone":"z1","version":"v1","capacity":2,"state":"ready","cold_ms":0,"sequence":1,"born":1000}'
}
foreign_bytes() { # HEX: the spec with these bytes in the place of a text
    printf '{"note":"raw-hex(%s)"}' "$1"
}
repeated_hex() { # TEXT BYTES
    yes "$1" | tr -d '\n' | head -c "$2" | od -An -v -tx1 | tr -d ' \n'
}
draw_foreign_spec() { # the spec of an odd entry, in FOREIGN_SPEC
    local piece bytes
    draw_item empty type port port capacity number quotes backslashes no_text pieces pieces nested
    FOREIGN_KIND=$DRAWN
    case $FOREIGN_KIND in
    empty) FOREIGN_SPEC='{}' ;;
    type) FOREIGN_SPEC=$(foreign_server service 7) ;;
    port) draw_item 0 65536 99999 8080x; FOREIGN_SPEC=$(foreign_server address "\"127.0.0.1:$DRAWN\"") ;;
    capacity) FOREIGN_SPEC=$(foreign_server capacity 4294967295) ;;
    number) FOREIGN_SPEC=$(foreign_server sequence 1e30) ;;
    quotes) FOREIGN_SPEC=$(foreign_bytes 2222222222222222222222) ;;
    backslashes) FOREIGN_SPEC=$(foreign_bytes 5c5c5c5c5c5c5c5c5c5c5c) ;;
    no_text) FOREIGN_SPEC=$(foreign_bytes fffefd) ;;
    pieces)
        draw 0 ${#FOREIGN_PIECES[@]}; piece=${FOREIGN_PIECES[$DRAWN]}
        draw_item 1000 100000 1000000; bytes=$DRAWN
        FOREIGN_SPEC=$(foreign_bytes "22$(repeated_hex "$piece" "$bytes")")
        ;;
    nested) FOREIGN_SPEC=$(foreign_bytes "222c2261223a$(repeated_hex '[' 200000)") ;;
    esac
}
foreign_fault() {
    local name how
    draw 0 ${#FOREIGN_NAMES[@]}; name=${FOREIGN_NAMES[$DRAWN]}
    draw_item put put put remove; how=$DRAWN
    if [ "$how" = remove ]; then
        log "another writer removes servers/$name"
        curl -s -m 5 -X DELETE "http://$STORE/api/objects/servers/$name" >/dev/null
    else
        draw_foreign_spec
        log "another writer writes servers/$name: $FOREIGN_KIND, ${#FOREIGN_SPEC} bytes"
        printf '{"metadata":{"name":"%s"},"spec":%s}' "$name" "$FOREIGN_SPEC" >"$WORK/foreign.json"
        curl -s -m 5 -f -X POST "http://$STORE/api/objects/servers" --data-binary "@$WORK/foreign.json" >/dev/null ||
            curl -s -m 5 -X PUT "http://$STORE/api/objects/servers/$name" --data-binary "@$WORK/foreign.json" >/dev/null
    fi
    count "foreign_$how"
}
