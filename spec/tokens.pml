/*
 * Model of the tokens of one tenant's limit (src/tenancy/quota_counter, quota_bucket, quota_tokens): a counting node and
 * its successor, and two nodes that ask them for tokens. Messages may be lost, delayed, duplicated and reordered: a
 * message that was sent may be delivered at any later time, any number of times, or never.
 *
 * There is no time in the model: whatever ends by a timeout may end at any moment. A counting node that restarts has lost
 * its records, and begins with START tokens. So does a successor, which does not know what the former counting node
 * granted. The overshoot that the limit allows covers these additional tokens (docs/design/tenant-limits.md).
 *
 * Property: no more requests run than tokens were ever put into buckets.
 *
 * Each safeguard can be left out with -DNO_...; spin must then find a violation (spec/check.sh):
 *   NO_GRANT_ONCE     a node accepts each copy of a grant
 *   NO_SETTLED        a node returns the tokens of each grant that it does not wait for, also of a copy of an accepted one
 *   NO_RETURN_NUMBER  a counting node accepts each copy of a return
 *   NO_RECORD         a counting node accepts returns of tokens that it granted before it lost its records
 *   NO_GRANT_BOUND    a counting node grants what was asked for, even if its bucket contains less
 */
#ifndef DEPTH
#define DEPTH 2 /* tokens that a bucket can contain */
#endif
#define START 1 /* tokens with which a counting node begins */
#define WANTED 2  /* tokens that an ask requests */
#define ASKS 2    /* asks of each node */
#define RETURNS 2 /* returns of each node */

/* how often each event may occur in total */
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
byte tokens_created = 0; /* tokens put into buckets */
byte requests_run = 0;   /* requests run */

/* a node */
byte counter[2];      /* the counting node that it asks */
byte last_ask[2];     /* sequence of its latest ask */
byte open_ask[2];     /* sequence of the ask whose grant it waits for; 0: none */
byte settled[2];      /* sequence of the latest ask whose grant was accepted or returned */
byte tokens[2];
byte last_return[2];
byte record_of[2];    /* the counting node's record that the latest grant named */

/* messages sent, by node and sequence (asks, grants) or number (returns), both counted from 1 */
#define MESSAGE_INDEX(node, number) ((node) * ASKS + (number) - 1)
bool asked[4];
byte asked_of[4];    /* the counting node that was asked */
byte grants[4];      /* bit t: a grant of t tokens has been sent; bit 3 + t: by the counting node's second record */
byte returned[4];    /* number of tokens; 0: not sent */
byte returned_to[4];
byte returned_of[4]; /* the counting node's record that its grant named */

/* a counting node, and its records about a node */
#define NODE_INDEX(counting, node) ((counting) * 2 + (node))
bool in_use[2];
byte record[2]; /* number of its records, which rises whenever it has lost them */
byte level[2];
byte known_ask[4];    /* sequence of the node's latest ask */
byte granted[4];      /* tokens granted for it */
byte may_return[4];   /* tokens granted recently, which the node may return */
byte known_return[4]; /* number of the node's latest return */

inline begin_counting(c) {
    if
    :: !in_use[c] -> in_use[c] = true; level[c] = START; tokens_created = tokens_created + START
    :: else
    fi
}

inline send_return(n, count, to, by) {
    if
    :: count > 0 && last_return[n] < RETURNS ->
        last_return[n]++;
        returned[MESSAGE_INDEX(n, last_return[n])] = count;
        returned_to[MESSAGE_INDEX(n, last_return[n])] = to;
        returned_of[MESSAGE_INDEX(n, last_return[n])] = by
    :: else /* lost */
    fi
}

#ifdef NO_GRANT_BOUND
#define GRANTED(c) WANTED
#else
#define GRANTED(c) (level[c] < WANTED -> level[c] : WANTED)
#endif

/* A repeated ask gets the same grant again; an ask that a later one has overtaken gets none. */
inline handle_ask(c, n, s) {
    begin_counting(c);
    if
    :: s > known_ask[NODE_INDEX(c, n)] ->
        known_ask[NODE_INDEX(c, n)] = s;
        granted[NODE_INDEX(c, n)] = GRANTED(c);
        level[c] = level[c] - (level[c] < granted[NODE_INDEX(c, n)] -> level[c] : granted[NODE_INDEX(c, n)]);
        may_return[NODE_INDEX(c, n)] = may_return[NODE_INDEX(c, n)] + granted[NODE_INDEX(c, n)]
    :: else
    fi;
    if
    :: s == known_ask[NODE_INDEX(c, n)] -> grants[MESSAGE_INDEX(n, s)] = grants[MESSAGE_INDEX(n, s)] | (1 << (3 * record[c] + granted[NODE_INDEX(c, n)]))
    :: else
    fi
}

inline decline_grant(n, s, t, by) {
#ifdef NO_SETTLED
    send_return(n, t, asked_of[MESSAGE_INDEX(n, s)], by)
#else
    if
    :: s > settled[n] -> settled[n] = s; send_return(n, t, asked_of[MESSAGE_INDEX(n, s)], by)
    :: else
    fi
#endif
}

inline handle_grant(n, s, t, by) {
    if
#ifdef NO_GRANT_ONCE
    :: s == last_ask[n] && counter[n] == asked_of[MESSAGE_INDEX(n, s)] -> tokens[n] = tokens[n] + t; open_ask[n] = 0; settled[n] = s; record_of[n] = by
#else
    :: s == open_ask[n] -> tokens[n] = tokens[n] + t; open_ask[n] = 0; settled[n] = s; record_of[n] = by
#endif
    :: else -> decline_grant(n, s, t, by)
    fi
}

#ifdef NO_RETURN_NUMBER
#define IS_NEWER(c, n, r) true
#else
#define IS_NEWER(c, n, r) (r > known_return[NODE_INDEX(c, n)])
#endif
#ifdef NO_RECORD
#define IS_OF_RECORD(c, n, r) true
#else
#define IS_OF_RECORD(c, n, r) (returned_of[MESSAGE_INDEX(n, r)] == record[c])
#endif

/* A node cannot return more tokens than it was granted recently. */
inline handle_return(c, n, r) {
    if
    :: in_use[c] && IS_NEWER(c, n, r) && IS_OF_RECORD(c, n, r) ->
        known_return[NODE_INDEX(c, n)] = r;
        if
        :: returned[MESSAGE_INDEX(n, r)] <= may_return[NODE_INDEX(c, n)] ->
            may_return[NODE_INDEX(c, n)] = may_return[NODE_INDEX(c, n)] - returned[MESSAGE_INDEX(n, r)];
            level[c] = level[c] + returned[MESSAGE_INDEX(n, r)]
        :: else ->
            level[c] = level[c] + may_return[NODE_INDEX(c, n)];
            may_return[NODE_INDEX(c, n)] = 0
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
        open_ask[n] == 0 && last_ask[n] < ASKS ->
        last_ask[n]++;
        open_ask[n] = last_ask[n];
        asked[MESSAGE_INDEX(n, last_ask[n])] = true;
        asked_of[MESSAGE_INDEX(n, last_ask[n])] = counter[n]
    }
    :: atomic { tokens[n] > 0 -> tokens[n]--; requests_run++; assert(requests_run <= tokens_created) }
    :: atomic { tokens[n] > 0 -> send_return(n, tokens[n], counter[n], record_of[n]); tokens[n] = 0 } /* tokens expire */
    :: atomic { /* no reply: the node switches to the other counting node */
        switches_left > 0 ->
        switches_left--;
        send_return(n, tokens[n], counter[n], record_of[n]);
        tokens[n] = 0;
        open_ask[n] = 0;
        counter[n] = 1 - counter[n]
    }
    :: atomic { grants[MESSAGE_INDEX(n, 1)] & 1 -> handle_grant(n, 1, 0, 0) }
    :: atomic { grants[MESSAGE_INDEX(n, 1)] & 2 -> handle_grant(n, 1, 1, 0) }
    :: atomic { grants[MESSAGE_INDEX(n, 1)] & 4 -> handle_grant(n, 1, 2, 0) }
    :: atomic { grants[MESSAGE_INDEX(n, 1)] & 8 -> handle_grant(n, 1, 0, 1) }
    :: atomic { grants[MESSAGE_INDEX(n, 1)] & 16 -> handle_grant(n, 1, 1, 1) }
    :: atomic { grants[MESSAGE_INDEX(n, 1)] & 32 -> handle_grant(n, 1, 2, 1) }
    :: atomic { grants[MESSAGE_INDEX(n, 2)] & 1 -> handle_grant(n, 2, 0, 0) }
    :: atomic { grants[MESSAGE_INDEX(n, 2)] & 2 -> handle_grant(n, 2, 1, 0) }
    :: atomic { grants[MESSAGE_INDEX(n, 2)] & 4 -> handle_grant(n, 2, 2, 0) }
    :: atomic { grants[MESSAGE_INDEX(n, 2)] & 8 -> handle_grant(n, 2, 0, 1) }
    :: atomic { grants[MESSAGE_INDEX(n, 2)] & 16 -> handle_grant(n, 2, 1, 1) }
    :: atomic { grants[MESSAGE_INDEX(n, 2)] & 32 -> handle_grant(n, 2, 2, 1) }
    od
}

/* Delivers asks and returns of node n to counting node c. */
proctype delivery(byte c; byte n) {
end:
    do
    :: atomic { asked[MESSAGE_INDEX(n, 1)] && asked_of[MESSAGE_INDEX(n, 1)] == c -> handle_ask(c, n, 1) }
    :: atomic { asked[MESSAGE_INDEX(n, 2)] && asked_of[MESSAGE_INDEX(n, 2)] == c -> handle_ask(c, n, 2) }
    :: atomic { returned[MESSAGE_INDEX(n, 1)] > 0 && returned_to[MESSAGE_INDEX(n, 1)] == c -> handle_return(c, n, 1) }
    :: atomic { returned[MESSAGE_INDEX(n, 2)] > 0 && returned_to[MESSAGE_INDEX(n, 2)] == c -> handle_return(c, n, 2) }
    :: atomic { may_return[NODE_INDEX(c, n)] > 0 -> may_return[NODE_INDEX(c, n)] = 0 } /* the record of recent grants expires */
    od
}

proctype counting(byte c) {
end:
    do
    :: atomic { in_use[c] && level[c] < DEPTH && refills_left > 0 -> refills_left--; level[c]++; tokens_created++ }
    :: atomic { /* killed, or frozen: the counting node has lost its records */
        in_use[c] && restarts_left > 0 ->
        restarts_left--;
        in_use[c] = false;
        record[c]++;
        level[c] = 0;
        known_ask[NODE_INDEX(c, 0)] = 0;
        known_ask[NODE_INDEX(c, 1)] = 0;
        granted[NODE_INDEX(c, 0)] = 0;
        granted[NODE_INDEX(c, 1)] = 0;
        may_return[NODE_INDEX(c, 0)] = 0;
        may_return[NODE_INDEX(c, 1)] = 0;
        known_return[NODE_INDEX(c, 0)] = 0;
        known_return[NODE_INDEX(c, 1)] = 0
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
