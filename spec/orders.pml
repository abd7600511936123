/*
 * Model of orders that are taken late (src/assignment/server_contact.h): one range, three servers that may stand still, a
 * leader that is replaced by another one, and TICKS ticks of time.
 *
 * A server that stands still opens connections and keeps what is sent to it. Its sender gets no answer. When the server
 * goes on, it takes the grants and releases that it has kept in any order, each any number of times or not at all, also
 * between orders that are sent to it then; all within the same tick. An order that reaches a server which runs is
 * carried out at once, with an answer or without, or is lost. Each change of the owner, and each new fence of the same
 * one, is a new grant. Probes change nothing: the model has only their answer, which a server gives if and only if it
 * runs.
 *
 * The rule: a first grant (one with a fence that the server has not confirmed to this leader) leaves only on the
 * answer to a probe, and a server with an unanswered order gets nothing but probes and releases until it has answered a
 * probe. The steps "the server answers, the grant that leaves on the answer arrives" are one. In truth a server may
 * stand still between the two; no leader can prevent that, and the simulator counts it (sim/lease_late_grants.c).
 * When a hold ends, and lists, records and connections are in holds.pml; servers' ends are in lease.pml.
 *
 * Properties:
 *   1. No server takes a grant that is new to it with a fence below one that another server has taken.
 *   2. No two servers hold the range at the same time. A grant that a server takes late and has taken before is not
 *      counted as a hold: nothing takes it back but a release.
 *   3. At most one grant lies at a server that stands still: the renewal that was on its way as it stopped.
 *
 * Each safeguard can be left out with -DNO_...; spin must then find a violation (spec/check.sh):
 *   NO_PROBE         a first grant leaves whether or not the server answers
 *   NO_NEW_FENCE     the same, only for a new fence of the same owner
 *   NO_FRESH_ANSWER  a first grant leaves some time after the answer to the probe
 *   NO_ADOPTION      a new leader takes the owner for one that has confirmed its grant
 *   NO_REST          a server with an unanswered order gets the next renewal without an answer to a probe
 *   NO_SENT_COUNT    an owner whose first grant got no answer counts as one that was granted nothing
 *   NO_HOLD_WAIT     the new owner gets its grant before the former holder has released the range, or its hold has ended
 */
#ifndef TICKS
#define TICKS 4
#endif
#define HOLD 2 /* duration of a grant, in ticks */
#define NONE 3

/* bounds of a search */
#ifndef MOVES_LEFT
#define MOVES_LEFT 3 /* changes of the owner or of its fence */
#endif
#ifndef STOPS_LEFT
#define STOPS_LEFT 2
#endif
#ifndef LEADERS_LEFT
#define LEADERS_LEFT 1
#endif

#define RELEASING 0
#define GRANTING 1 /* the owner has not confirmed the grant to this leader */
#define HELD 2

byte now = 0;
byte moves_left = MOVES_LEFT;
byte stops_left = STOPS_LEFT;
byte leaders_left = LEADERS_LEFT;

/* servers; sets of orders have one bit for each fence */
bool stands_still[3];
byte seen_fence[3];
byte held_until[3]; /* holds while now < held_until, late repeats aside */
byte taken[3];      /* grants that it has taken */
byte grants[3];     /* grants that lie in its socket */
byte releases[3];   /* releases that lie there */
byte grants_sent[3]; /* number of grants sent to it since it stands still */

/* the leader, and its record */
byte owner = 0;
byte former = NONE;
byte phase = GRANTING;
byte fence = 1;
byte owner_until = 0; /* from this tick on the owner holds nothing; 0: it was granted nothing */
byte former_until = 0;
bool is_unanswered[3]; /* an order to the server got no answer, and it has answered no probe since */
bool has_answered = false; /* the owner has answered a probe, some time ago */

#define BIT(f) (1 << (f))
#define HOLDS(s) (now < held_until[s])
#define LATER(left, right) ((left) > (right) -> (left) : (right))
#define ANSWERS(s) (!stands_still[s])
#define HAS_KEPT(s) (grants[s] != 0 || releases[s] != 0)
#define IS_TAKING (ANSWERS(0) && HAS_KEPT(0) || ANSWERS(1) && HAS_KEPT(1) || ANSWERS(2) && HAS_KEPT(2))
/* The other servers have taken no grant with this fence or a higher one. */
#define IS_ABOVE_OTHERS(s, f) (((taken[((s) + 1) % 3] | taken[((s) + 2) % 3]) >> (f)) == 0)

#ifdef NO_HOLD_WAIT
#define FORMER_HAS_ENDED true
#else
#define FORMER_HAS_ENDED (now >= former_until)
#endif
#ifdef NO_PROBE
#define MAY_GRANT_FIRST true
#else
#ifdef NO_FRESH_ANSWER
#define MAY_GRANT_FIRST has_answered
#else
#ifdef NO_NEW_FENCE
#define MAY_GRANT_FIRST (ANSWERS(owner) || owner_until > 0)
#else
#define MAY_GRANT_FIRST ANSWERS(owner)
#endif
#endif
#endif
#ifdef NO_REST
#define MAY_RENEW true
#else
#define MAY_RENEW (!is_unanswered[owner] || ANSWERS(owner))
#endif

#if defined(NO_PROBE) || defined(NO_NEW_FENCE) || defined(NO_FRESH_ANSWER) || defined(NO_ADOPTION)
#define IS_RENEWAL_ONLY(s) true /* property 3 would be the first to be violated: these searches are for property 1 */
#else
#define IS_RENEWAL_ONLY(s) (grants_sent[s] <= 1)
#endif

inline check_holds() {
    assert(!(HOLDS(0) && HOLDS(1)) && !(HOLDS(0) && HOLDS(2)) && !(HOLDS(1) && HOLDS(2)))
}

/* Ends that have passed are all the same. An owner that was granted the range once differs from one that never was. */
inline forget_ends() {
    held_until[0] = (HOLDS(0) -> held_until[0] : 0);
    held_until[1] = (HOLDS(1) -> held_until[1] : 0);
    held_until[2] = (HOLDS(2) -> held_until[2] : 0);
    former_until = (now < former_until -> former_until : 0);
    owner_until = (now < owner_until || owner_until == 0 -> owner_until : 1)
}

/* ---- servers ---- */

inline take_grant(s, f, is_late) {
    if
    :: f < seen_fence[s] /* refused */
    :: f >= seen_fence[s] ->
        assert((taken[s] & BIT(f)) != 0 || IS_ABOVE_OTHERS(s, f));
        seen_fence[s] = f;
        if
        :: is_late && (taken[s] & BIT(f)) != 0 /* not counted */
        :: else -> held_until[s] = now + HOLD; check_holds()
        fi;
        taken[s] = taken[s] | BIT(f)
    fi
}

inline take_release(s, f) {
    held_until[s] = 0;
    seen_fence[s] = LATER(seen_fence[s], f)
}

proctype server(byte s) {
    byte f;
end:
    do
    :: atomic {
        stops_left > 0 && ANSWERS(s) && !HAS_KEPT(s) ->
        stops_left--;
        stands_still[s] = true;
        grants_sent[s] = 0
    }
    :: atomic { stands_still[s] -> stands_still[s] = false }
    :: atomic {
        ANSWERS(s) && HAS_KEPT(s) ->
        f = 1;
        do
        :: f < fence -> f++
        :: break
        od;
        if
        :: (grants[s] & BIT(f)) != 0 -> take_grant(s, f, true)
        :: (grants[s] & BIT(f)) != 0 -> grants[s] = grants[s] & ~BIT(f)
        :: (releases[s] & BIT(f)) != 0 -> take_release(s, f)
        :: (releases[s] & BIT(f)) != 0 -> releases[s] = releases[s] & ~BIT(f)
        :: else
        fi;
        f = 0
    }
    od
}

/* ---- the leader ---- */

/* Sends the owner's grant: to a server that stands still, or one that takes it, or neither it nor its answer arrives. */
inline send_grant() {
    if
    :: stands_still[owner] ->
        grants[owner] = grants[owner] | BIT(fence);
        grants_sent[owner]++;
        assert(IS_RENEWAL_ONLY(owner));
        is_unanswered[owner] = true
    :: ANSWERS(owner) -> /* taken and answered */
        take_grant(owner, fence, false);
        is_unanswered[owner] = false;
        phase = (seen_fence[owner] == fence -> HELD : phase)
    :: ANSWERS(owner) -> take_grant(owner, fence, false); is_unanswered[owner] = true
    :: ANSWERS(owner) -> is_unanswered[owner] = true
    fi;
#ifdef NO_SENT_COUNT
    if
    :: phase == GRANTING && owner_until == 0 /* no answer to its first grant */
    :: else -> owner_until = now + HOLD
    fi
#else
    owner_until = now + HOLD
#endif
}

inline send_release() {
    if
    :: stands_still[former] ->
        releases[former] = releases[former] | BIT(fence);
        is_unanswered[former] = true
    :: ANSWERS(former) -> take_release(former, fence); end_release() /* answered */
    :: ANSWERS(former) -> take_release(former, fence); is_unanswered[former] = true
    fi
}

inline end_release() {
    former = NONE;
    former_until = 0;
    phase = GRANTING
}

/* The record is written with a new fence. Until when the former holder and the new owner may hold the range is kept. */
inline move(to) {
    d_step {
        moves_left--;
        fence++;
        has_answered = false;
        if
        :: to == owner
        :: to != owner && former == NONE && owner_until == 0 -> owner = to
        :: to != owner && former == NONE && owner_until != 0 ->
            former = owner;
            former_until = owner_until;
            owner = to;
            owner_until = 0
        :: to != owner && former != NONE ->
            owner = to;
            owner_until = (to == former -> former_until : 0)
        fi;
        phase = (former == NONE -> GRANTING : RELEASING)
    }
}

/* Another leader adopts the record: it knows of no order of the one before, whose holds it counts as the latest. */
inline take_over() {
    d_step {
        leaders_left--;
        owner_until = now + HOLD;
        former_until = (former == NONE -> 0 : now + HOLD);
        is_unanswered[0] = false;
        is_unanswered[1] = false;
        is_unanswered[2] = false;
        has_answered = false;
        phase = (former == NONE -> GRANTING : RELEASING);
#ifdef NO_ADOPTION
        phase = (former == NONE -> HELD : phase)
#endif
    }
}

proctype leader() {
end:
    do
    :: atomic { leaders_left > 0 -> take_over() }
    :: atomic { moves_left > 0 && (former == NONE || owner_until <= now) -> move(0) }
    :: atomic { moves_left > 0 && (former == NONE || owner_until <= now) -> move(1) }
    :: atomic { moves_left > 0 && (former == NONE || owner_until <= now) -> move(2) }
    :: atomic { phase == RELEASING -> send_release() }
    :: atomic { phase == RELEASING && FORMER_HAS_ENDED -> end_release() }
#ifdef NO_FRESH_ANSWER
    :: atomic { phase == GRANTING && !has_answered && ANSWERS(owner) -> has_answered = true }
#endif
    :: atomic { phase == GRANTING && MAY_GRANT_FIRST -> send_grant() }
    :: atomic { phase == HELD && MAY_RENEW -> send_grant() }
    od
}

proctype clock() {
end:
    do
    :: atomic { now < TICKS && !IS_TAKING -> now++; forget_ends() }
    od
}

init {
    atomic {
        run server(0);
        run server(1);
        run server(2);
        run leader();
        run clock()
    }
}
