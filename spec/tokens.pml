/*
 * Tokens of one tenant's limit: a counting node and its successor, two nodes that ask, messages that are lost, late,
 * doubled or overtake one another.
 *
 * The model of src/tenancy/quota_counter, quota_bucket, quota_tokens. A message that was sent may be delivered at any
 * later time, any number of times, or never. Time is left out: what ends by itself may end at any moment. A counting
 * node that starts anew has forgotten its records, and begins with START tokens; so does a successor, before it knows
 * what the former one granted: what that adds is what the limit's overshoot is for (docs/design/tenant-limits.md).
 *
 * Property: no more requests run than tokens were ever put into buckets.
 *
 * Each safeguard can be left out with -DNO_...; spin must then find the violation (spec/check.sh):
 *   NO_GRANT_ONCE     a node takes each copy of a grant
 *   NO_SETTLED        a node gives back each grant that it does not wait for, also the copy of one that it took
 *   NO_RETURN_NUMBER  a counting node takes each copy of a return
 *   NO_RECORD         a counting node takes returns of tokens that it granted before it forgot
 *   NO_GRANT_BOUND    a counting node grants what was asked for, whatever its bucket holds
 */
#ifndef DEPTH
#define DEPTH 2 /* of a bucket */
#endif
#define START 1 /* tokens with which a counting node begins */
#define WANTED 2
#define ASKS 2 /* of each node */
#define RETURNS 2

/* how often each may come, in all */
#ifndef REFILLS_LEFT
#define REFILLS_LEFT 1
#endif
#ifndef RESTARTS_LEFT
#define RESTARTS_LEFT 1
#endif
#ifndef SWITCHES_LEFT
#define SWITCHES_LEFT 2
#endif

byte refills_left = REFILLS_LEFT;
byte restarts_left = RESTARTS_LEFT;
byte switches_left = SWITCHES_LEFT;
byte poured = 0; /* into buckets */
byte ran = 0;

/* a node */
byte counter[2];      /* on which it counts */
byte last[2];         /* sequence of its last ask */
byte open_ask[2];     /* sequence of the one it waits for; 0: none */
byte settled[2];      /* of the last one whose grant was taken or given back */
byte tokens[2];
byte last_return[2];
byte record_of[2];    /* that the last grant named */

/* messages sent, by node and sequence or number, both from 1 on */
#define AT(node, number) ((node) * ASKS + (number) - 1)
bool asked[4];
byte asked_of[4];    /* the counting node */
byte grants[4];      /* bit t: a grant of t tokens has been sent; bit 3 + t: by the counting node's second record */
byte returned[4];    /* tokens; 0: not sent */
byte returned_to[4];
byte returned_of[4]; /* the counting node's record that its grant named */

/* a counting node, and what it knows of a node */
#define OF(counting, node) ((counting) * 2 + (node))
bool in_use[2];
byte record[2]; /* rises when it has forgotten everything */
byte level[2];
byte known[4];        /* sequence of the node's last ask */
byte granted[4];      /* for that */
byte may_return[4];   /* tokens granted lately */
byte known_return[4]; /* number of the node's last return */

inline begin(c) {
    if
    :: !in_use[c] -> in_use[c] = true; level[c] = START; poured = poured + START
    :: else
    fi
}

inline send_return(n, count, to, by) {
    if
    :: count > 0 && last_return[n] < RETURNS ->
        last_return[n]++;
        returned[AT(n, last_return[n])] = count;
        returned_to[AT(n, last_return[n])] = to;
        returned_of[AT(n, last_return[n])] = by
    :: else /* lost */
    fi
}

#ifdef NO_GRANT_BOUND
#define GRANTED(c) WANTED
#else
#define GRANTED(c) (level[c] < WANTED -> level[c] : WANTED)
#endif

/* A repeated ask gets the same grant, one that was overtaken gets nothing. */
inline take_ask(c, n, s) {
    begin(c);
    if
    :: s > known[OF(c, n)] ->
        known[OF(c, n)] = s;
        granted[OF(c, n)] = GRANTED(c);
        level[c] = level[c] - (level[c] < granted[OF(c, n)] -> level[c] : granted[OF(c, n)]);
        may_return[OF(c, n)] = may_return[OF(c, n)] + granted[OF(c, n)]
    :: else
    fi;
    if
    :: s == known[OF(c, n)] -> grants[AT(n, s)] = grants[AT(n, s)] | (1 << (3 * record[c] + granted[OF(c, n)]))
    :: else
    fi
}

inline decline_grant(n, s, t, by) {
#ifdef NO_SETTLED
    send_return(n, t, asked_of[AT(n, s)], by)
#else
    if
    :: s > settled[n] -> settled[n] = s; send_return(n, t, asked_of[AT(n, s)], by)
    :: else
    fi
#endif
}

inline take_grant(n, s, t, by) {
    if
#ifdef NO_GRANT_ONCE
    :: s == last[n] && counter[n] == asked_of[AT(n, s)] -> tokens[n] = tokens[n] + t; open_ask[n] = 0; settled[n] = s; record_of[n] = by
#else
    :: s == open_ask[n] -> tokens[n] = tokens[n] + t; open_ask[n] = 0; settled[n] = s; record_of[n] = by
#endif
    :: else -> decline_grant(n, s, t, by)
    fi
}

#ifdef NO_RETURN_NUMBER
#define IS_NEWER(c, n, r) true
#else
#define IS_NEWER(c, n, r) (r > known_return[OF(c, n)])
#endif
#ifdef NO_RECORD
#define IS_OF_RECORD(c, n, r) true
#else
#define IS_OF_RECORD(c, n, r) (returned_of[AT(n, r)] == record[c])
#endif

/* No more comes back than the node got lately. */
inline take_return(c, n, r) {
    if
    :: in_use[c] && IS_NEWER(c, n, r) && IS_OF_RECORD(c, n, r) ->
        known_return[OF(c, n)] = r;
        if
        :: returned[AT(n, r)] <= may_return[OF(c, n)] ->
            may_return[OF(c, n)] = may_return[OF(c, n)] - returned[AT(n, r)];
            level[c] = level[c] + returned[AT(n, r)]
        :: else ->
            level[c] = level[c] + may_return[OF(c, n)];
            may_return[OF(c, n)] = 0
        fi;
        if
        :: level[c] > DEPTH -> level[c] = DEPTH
        :: else
        fi
    :: else
    fi
}

proctype node(byte n) {
end:
    do
    :: atomic {
        open_ask[n] == 0 && last[n] < ASKS ->
        last[n]++;
        open_ask[n] = last[n];
        asked[AT(n, last[n])] = true;
        asked_of[AT(n, last[n])] = counter[n]
    }
    :: atomic { tokens[n] > 0 -> tokens[n]--; ran++; assert(ran <= poured) }
    :: atomic { tokens[n] > 0 -> send_return(n, tokens[n], counter[n], record_of[n]); tokens[n] = 0 } /* they expire */
    :: atomic { /* no reply: it counts on the other one */
        switches_left > 0 ->
        switches_left--;
        send_return(n, tokens[n], counter[n], record_of[n]);
        tokens[n] = 0;
        open_ask[n] = 0;
        counter[n] = 1 - counter[n]
    }
    :: atomic { grants[AT(n, 1)] & 1 -> take_grant(n, 1, 0, 0) }
    :: atomic { grants[AT(n, 1)] & 2 -> take_grant(n, 1, 1, 0) }
    :: atomic { grants[AT(n, 1)] & 4 -> take_grant(n, 1, 2, 0) }
    :: atomic { grants[AT(n, 1)] & 8 -> take_grant(n, 1, 0, 1) }
    :: atomic { grants[AT(n, 1)] & 16 -> take_grant(n, 1, 1, 1) }
    :: atomic { grants[AT(n, 1)] & 32 -> take_grant(n, 1, 2, 1) }
    :: atomic { grants[AT(n, 2)] & 1 -> take_grant(n, 2, 0, 0) }
    :: atomic { grants[AT(n, 2)] & 2 -> take_grant(n, 2, 1, 0) }
    :: atomic { grants[AT(n, 2)] & 4 -> take_grant(n, 2, 2, 0) }
    :: atomic { grants[AT(n, 2)] & 8 -> take_grant(n, 2, 0, 1) }
    :: atomic { grants[AT(n, 2)] & 16 -> take_grant(n, 2, 1, 1) }
    :: atomic { grants[AT(n, 2)] & 32 -> take_grant(n, 2, 2, 1) }
    od
}

/* Asks and returns of node n that are delivered to counting node c. */
proctype delivery(byte c; byte n) {
end:
    do
    :: atomic { asked[AT(n, 1)] && asked_of[AT(n, 1)] == c -> take_ask(c, n, 1) }
    :: atomic { asked[AT(n, 2)] && asked_of[AT(n, 2)] == c -> take_ask(c, n, 2) }
    :: atomic { returned[AT(n, 1)] > 0 && returned_to[AT(n, 1)] == c -> take_return(c, n, 1) }
    :: atomic { returned[AT(n, 2)] > 0 && returned_to[AT(n, 2)] == c -> take_return(c, n, 2) }
    :: atomic { may_return[OF(c, n)] > 0 -> may_return[OF(c, n)] = 0 } /* it has expired */
    od
}

proctype counting(byte c) {
end:
    do
    :: atomic { in_use[c] && level[c] < DEPTH && refills_left > 0 -> refills_left--; level[c]++; poured++ }
    :: atomic { /* killed, or frozen: it has forgotten everything */
        in_use[c] && restarts_left > 0 ->
        restarts_left--;
        in_use[c] = false;
        record[c]++;
        level[c] = 0;
        known[OF(c, 0)] = 0;
        known[OF(c, 1)] = 0;
        granted[OF(c, 0)] = 0;
        granted[OF(c, 1)] = 0;
        may_return[OF(c, 0)] = 0;
        may_return[OF(c, 1)] = 0;
        known_return[OF(c, 0)] = 0;
        known_return[OF(c, 1)] = 0
    }
    od
}

init {
    atomic {
        run node(0);
        run node(1);
        run delivery(0, 0);
        run delivery(0, 1);
        run delivery(1, 0);
        run delivery(1, 1);
        run counting(0);
        run counting(1)
    }
}
