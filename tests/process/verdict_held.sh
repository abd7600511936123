#!/usr/bin/env bash
# The rule HELD of the checker of records (cw-verdict) misses two holds of the same keys, or reports holds that follow one another.
# Its rule FENCE misses a grant that is new to its server below another server's fence, or counts a repeat of a server's own grant.
. "$(dirname "$0")/../../scripts/cluster.sh"
start() { echo "{\"ns\":$1000000,\"event\":\"start\",\"server\":\"$2\",\"service\":\"maps\",\"address\":\"$3\"}"; }      # MS SERVER ADDRESS
grant() { echo "{\"ns\":$1000000,\"event\":\"grant\",\"server\":\"$2\",\"service\":\"${6:-maps}\",\"low\":$3,\"last\":$4,\"fence\":$((++FENCE)),\"hold_ms\":$5}"; }
release() { echo "{\"ns\":$1000000,\"event\":\"release\",\"server\":\"$2\",\"service\":\"maps\",\"low\":$3,\"last\":$4}"; }   # MS SERVER LOW LAST
event() { echo "{\"ns\":$1000000,\"event\":\"$2\",\"server\":\"$3\",\"service\":\"maps\"}"; }                                  # MS EVENT SERVER
FENCE=0
verdict() { "$BUILD/cw-verdict" <(cat) | grep ^HELD; } # of the records on standard input
reports() { [ "$(verdict | wc -l)" = "$1" ]; }
reports_ms() { verdict | grep -q "keys $1 .* for $2 ms"; } # RANGE MS
both() { grant 1000 a 0 99 5000; grant 3000 b 50 149 5000; event 20000 tick a; } # together from 3000 to 6000

check "two holds at once are reported, with keys and time" reports_ms 50-99 3000 < <(both)
check "each pair of servers is reported once" reports 1 < <(both)
check "a hold that ends after half a second is allowed" reports 0 < <(grant 1000 a 0 99 2500; grant 3000 b 0 99 5000; event 20000 tick a)
check "a hold that ends a little later is not" reports_ms 0-99 501 < <(grant 1000 a 0 99 2501; grant 3000 b 0 99 5000; event 20000 tick a)
check "a renewal lengthens a hold" reports_ms 0-99 1500 < <(grant 1000 a 0 99 2000; grant 2000 a 0 99 2500; grant 3000 b 0 99 5000; event 20000 tick a)
check "a release ends it" reports 0 < <(grant 1000 a 0 99 5000; release 2900 a 0 99; grant 3000 b 0 99 5000; event 20000 tick a)
check "a release of a part ends that part" reports_ms 40-99 3000 < <(grant 1000 a 0 99 5000; release 2900 a 0 39; grant 3000 b 0 99 5000; event 20000 tick a)
check "a release that comes late is reported" reports_ms 0-99 1000 < <(grant 1000 a 0 99 5000; grant 3000 b 0 99 5000; release 4000 a 0 99)
check "a stop, a kill and a crash end it" reports 0 < <(low=0; for end in stop gone crash; do
    grant 1000 "$end" $low $((low + 9)) 5000; event 2900 "$end" "$end"; low=$((low + 10)); done; grant 3000 b 0 99 5000; event 20000 tick a)
check "so does the start of another server at its address" reports 0 < <(start 10 a x; grant 1000 a 0 99 5000; start 2900 b x; grant 3000 b 0 99 5000; event 20000 tick a)
check "but not at another one" reports 1 < <(start 10 a x; grant 1000 a 0 99 5000; start 2900 b y; grant 3000 b 0 99 5000; event 20000 tick a)
check "a hold after an earlier one that had ended is a new one" reports_ms 0-99 700 < <(grant 1000 a 0 99 1000; grant 3000 b 0 99 1000; grant 3300 a 0 99 5000; event 20000 tick a)
check "a later hold does not hide the overlap of an earlier one" reports_ms 0-99 700 < <(grant 1000 a 0 99 1000; grant 1300 b 0 99 2000; grant 9000 a 0 99 1000; event 20000 tick a)
check "keys of different services are different keys" reports 0 < <(grant 1000 a 0 99 5000; grant 3000 b 0 99 5000 hires; event 20000 tick a)

fenced() { FENCE=$(($5 - 1)); grant "$1" "$2" "$3" "$4" 5000; } # MS SERVER LOW LAST FENCE
reports_fences() { [ "$("$BUILD/cw-verdict" <(cat) | grep -c ^FENCE)" = "$1" ]; } # COUNT
totals_say() { "$BUILD/cw-verdict" <(cat) | grep -q ", $1"; }                      # TEXT
taken() { fenced 1000 a 0 99 10; event 6500 tick a; fenced 7000 b 0 99 19; } # a has had the keys with 10, b has them with 19

check "a late grant with a fence that is new to its server is reported" reports_fences 1 < <(taken; fenced 8000 a 0 99 15)
check "and is no late repeat" totals_say "0 late repeats" < <(taken; fenced 8000 a 0 99 15)
check "a late repeat of the server's own grant is not reported" reports_fences 0 < <(taken; fenced 8000 a 0 99 10)
check "but is printed" totals_say "1 late repeats" < <(taken; fenced 8000 a 0 99 10)
check "so is one of a part of the grant" totals_say "1 late repeats" < <(taken; fenced 8000 a 20 39 10)
check "a renewal in time is no late repeat" totals_say "0 late repeats" < <(fenced 1000 a 0 99 10; fenced 2000 a 0 99 10; fenced 7500 b 0 99 19)
check "each of several late fences is reported" reports_fences 3 < <(taken; for fence in 10 15 16 17; do fenced 80$fence a 0 99 $fence; done)
check "a grant that repeats some keys and is new for others is reported" reports_fences 1 < <(taken; fenced 7500 b 100 149 20; fenced 8000 a 50 149 10)
check "the same fence at another server is reported" reports_fences 1 < <(taken; fenced 13000 c 0 99 19)
check "so is it at another life of the server" reports_fences 1 < <(taken; fenced 8000 a@2 0 99 10)
check "a repeat is held to the rule HELD" reports_ms 0-99 4000 < <(taken; fenced 8000 a 0 99 10; event 20000 tick a)
check "holds at once are counted, also for a moment" totals_say "1 times two servers held" < <(taken; fenced 8000 a 0 99 10; release 8001 a 0 99)
check "a moment is not reported" reports 0 < <(taken; fenced 8000 a 0 99 10; release 8001 a 0 99)
late() { grant "$@" | sed 's/}$/,"late_ms":3000}/'; }
taken_late() { taken; FENCE=9; late 8000 a 0 99 5000; } # a repeat that its server kept for 3 s, until b has the keys
check "a hold by a grant that its server kept is not reported" reports 0 < <(taken_late; event 20000 tick a)
check "but is counted" totals_say "1 times two servers held" < <(taken_late; event 20000 tick a)
check "it is reported in full if a grant in time renews it" reports_ms 0-99 4000 < <(taken_late; fenced 9000 a 0 99 10; event 20000 tick a)
check "a hold in time that such a grant lengthens is reported up to its own end" reports_ms 0-99 3000 < <(
    fenced 1000 a 0 99 10; fenced 3000 b 0 99 19; FENCE=9; late 4000 a 0 99 5000; event 20000 tick a)
check "a fence that is new to its server is reported however late it is taken" reports_fences 1 < <(taken; FENCE=14; late 8000 a 0 99 5000)
check "holds that follow one another are not counted" totals_say "0 times two servers held" < <(taken; event 20000 tick a)
finish_test
