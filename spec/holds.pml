/*
 * Model of what a leader may take for the end of a hold (src/assignment/assigner_holds.c): one range, three servers, a
 * leader that is replaced by another node, and TICKS ticks of time.
 *
 * Servers 0 and 1 have the same address: 1 may start there when 0 has ended, and both may then be listed for a while,
 * since an entry expires later than its server ends. Each node goes by its own list, which is as old as its last reading.
 * A grant that was decided leaves later, when its connection is open, or is not sent; up to two wait at a time, also those
 * of a leader that has been replaced. A grant that leaves is carried out at once, with an answer or without. The write of
 * a plan takes time. Late writes of the record and late grants are in lease.pml.
 *
 * Property: no two servers hold the range at the same time.
 *
 * Each safeguard can be left out with -DNO_...; spin must then find a violation (spec/check.sh):
 *   NO_ANSWER         another id at a holder's address in the leader's list ends the holder
 *   NO_LEAVE_CHECK    a grant leaves whenever its connection is open, with or without authority
 *   NO_ARRIVAL_COUNT  a hold counts from the decision to grant it, not from the latest arrival
 *   NO_OWN_ORDER      a grant that was not sent takes back the hold that a later one has given
 *   NO_MOVE_LIMIT     a range is moved again while both its owner and the holder before it may hold it
 *   NO_MOVE_BACK      a move back to the former holder forgets until when that one may hold the range
 *   NO_PLAN_GUARD     an owner without a confirmed grant gets one while a plan is written that moves the range
 * LIST_REVISION lets a list that is not older than the record end a holder: it must hold as well, as long as entries
 * expire in the order in which they were renewed last.
 */
#ifndef TICKS
#define TICKS 4
#endif
#define LEASE 2 /* duration of leadership, in ticks */
#define HOLD 2  /* duration of a grant */
#define WAIT 1  /* time within which a grant leaves */
#define NONE 3
#define OLD 0 /* the server that has the address first */
#define NEW 1 /* the one that has it afterwards */

/* bounds of a search */
#ifndef MOVES_LEFT
#define MOVES_LEFT 2
#endif
#ifndef LEADERS_LEFT
#define LEADERS_LEFT 1
#endif
#ifndef LOSSES_LEFT
#define LOSSES_LEFT 0
#endif
#ifndef READS_LEFT
#define READS_LEFT 2
#endif

/* START_NEW: the search begins when the second server has the address and the range, and only the first leader's list
 * shows it. */
#define RELEASING 0
#define GRANTING 1
#define HELD 2

byte now = 0;
byte moves_left = MOVES_LEFT;
byte leaders_left = LEADERS_LEFT;
byte losses_left = LOSSES_LEFT; /* losses of the entry of a server that runs */
byte reads_left = READS_LEFT;   /* readings of the list */

/* servers */
bool runs[3];
bool has_started;
byte held_until[3]; /* holds while now < held_until */
byte seen_fence[3];

/* the store */
bool listed[3];
byte record_owner = 2;
byte record_former = NONE;

/* nodes: the list that each has read */
bool in_list[6];
bool list_is_later[2]; /* it was read after the last write of the record */
#define IN_LIST(n, s) in_list[(n) * 3 + (s)]

/* the leader */
byte node = 0;
byte tenure = 0;
byte authority_end = LEASE;
byte owner = 2;
byte former = NONE;
byte phase = GRANTING;
byte fence = 1;
byte owner_until = 0; /* from this tick on the owner holds nothing; 0: it was granted nothing */
byte former_until = 0;
byte hold_order = NONE; /* the grant that set owner_until last */
bool owner_ended = false;
bool writing = false; /* a plan is being written */
byte planned_owner;
byte planned_former;

/* grants that wait for a connection */
bool waiting[2];
byte grant_to[2];
byte grant_fence[2];
byte grant_tenure[2];
byte decided_at[2];
byte until_before[2];

#define IS_READ(n) (IN_LIST(n, 0) == listed[0] && IN_LIST(n, 1) == listed[1] && list_is_later[n])
#define HAS_AUTHORITY (now < authority_end)
#define LATER(left, right) ((left) > (right) -> (left) : (right))
#define HOLDS(s) (now < held_until[s])
#define CURRENT(k) (grant_tenure[k] == tenure && grant_fence[k] == fence && phase != RELEASING)
#define OTHER(s) (1 - (s)) /* the other server of the address of 0 and 1 */
#define OTHER_ANSWERS(s) ((s) < 2 && !runs[s] && runs[OTHER(s)])
#define LIST_NAMES_OTHER(s) ((s) < 2 && !IN_LIST(node, s) && IN_LIST(node, OTHER(s)))
#ifdef NO_ANSWER
#define ENDED_BY_LIST(s) LIST_NAMES_OTHER(s)
#else
#ifdef LIST_REVISION
#define ENDED_BY_LIST(s) (LIST_NAMES_OTHER(s) && list_is_later[node])
#else
#define ENDED_BY_LIST(s) false
#endif
#endif
#ifdef NO_LEAVE_CHECK
#define MAY_LEAVE(k) true
#else
#define MAY_LEAVE(k) (HAS_AUTHORITY && grant_tenure[k] == tenure && now <= decided_at[k] + WAIT)
#endif
#ifdef NO_ARRIVAL_COUNT
#define LATEST_ARRIVAL now
#else
#define LATEST_ARRIVAL (now + WAIT)
#endif
#ifdef NO_OWN_ORDER
#define TAKES_BACK(k) true
#else
#define TAKES_BACK(k) (hold_order == (k))
#endif
#ifdef NO_MOVE_LIMIT
#define MAY_MOVE true
#else
#define MAY_MOVE (former == NONE || owner_ended || owner_until <= now)
#endif
#ifdef NO_PLAN_GUARD
#define MOVED_BY_PLAN false
#else
#define MOVED_BY_PLAN (writing && phase != HELD && planned_owner != owner)
#endif

inline check() {
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

inline read_list(n) {
    IN_LIST(n, 0) = listed[0];
    IN_LIST(n, 1) = listed[1];
    IN_LIST(n, 2) = listed[2];
    list_is_later[n] = true
}

inline record_written() {
    list_is_later[0] = false;
    list_is_later[1] = false
}

inline plan_move(to) {
    moves_left--;
    planned_owner = to;
    if
    :: former != NONE -> planned_former = former
    :: former == NONE && (owner_ended || owner_until == 0 || ENDED_BY_LIST(owner)) -> planned_former = NONE
    :: else -> planned_former = owner
    fi;
    writing = true
}

/* The ends of the holds of the planned owner and of the planned former holder, as far as they are known. */
inline set_planned_holds() {
    d_step {
        new_owner_until = 0;
        new_former_until = 0;
        if
        :: planned_owner == owner -> new_owner_until = owner_until
        :: else
        fi;
        if
        :: planned_former != NONE && planned_former == owner -> new_former_until = owner_until
        :: else
        fi;
#ifdef NO_MOVE_BACK
        if
        :: planned_former != NONE && planned_former != owner && planned_former == former ->
            new_former_until = former_until
        :: else
        fi
#else
        if
        :: former != NONE && planned_owner == former -> new_owner_until = LATER(new_owner_until, former_until)
        :: else
        fi;
        if
        :: former != NONE && planned_former == former -> new_former_until = LATER(new_former_until, former_until)
        :: else
        fi
#endif
    }
}

inline commit_move() {
    set_planned_holds();
    writing = false;
    record_written();
    owner = planned_owner;
    former = planned_former;
    record_owner = owner;
    record_former = former;
    owner_until = new_owner_until;
    former_until = new_former_until;
    hold_order = NONE;
    owner_ended = false;
    fence++;
    new_owner_until = 0;
    new_former_until = 0;
    phase = (former == NONE -> GRANTING : RELEASING)
}

inline take_over() {
    leaders_left--;
    tenure++;
    node = 1 - node;
    authority_end = now + LEASE;
    owner = record_owner;
    former = record_former;
    owner_until = now + HOLD;
    former_until = now + HOLD;
    hold_order = NONE;
    owner_ended = false;
    writing = false;
    record_written();
    phase = (former == NONE -> GRANTING : RELEASING)
}

inline decide_grant(k) {
    waiting[k] = true;
    grant_to[k] = owner;
    grant_fence[k] = fence;
    grant_tenure[k] = tenure;
    decided_at[k] = now;
    until_before[k] = owner_until;
    owner_until = LATER(owner_until, LATEST_ARRIVAL + HOLD);
    hold_order = k
}

inline end_grant(k) {
    waiting[k] = false;
    grant_to[k] = 0;
    grant_fence[k] = 0;
    grant_tenure[k] = 0;
    decided_at[k] = 0;
    until_before[k] = 0
}

inline carry_out(k) {
    if
    :: runs[grant_to[k]] && grant_fence[k] >= seen_fence[grant_to[k]] ->
        held_until[grant_to[k]] = now + HOLD;
        seen_fence[grant_to[k]] = grant_fence[k];
        check();
        if
        :: CURRENT(k) -> phase = HELD
        :: true /* no answer */
        fi
    :: OTHER_ANSWERS(grant_to[k]) && CURRENT(k) -> owner_ended = true
    :: else
    fi;
    end_grant(k)
}

inline not_sent(k) {
    if
    :: CURRENT(k) && TAKES_BACK(k) -> owner_until = until_before[k]
    :: else
    fi;
    end_grant(k)
}

inline end_release() {
    former = NONE;
    former_until = 0;
    phase = GRANTING
}

inline start_new() {
    has_started = true;
    runs[OLD] = false;
    runs[NEW] = true;
    listed[NEW] = true
}

proctype clock() {
end:
    do
    :: atomic { now < TICKS -> now++; forget_ends() }
    od
}

proctype servers() {
end:
    do
    :: atomic { runs[OLD] -> runs[OLD] = false; held_until[OLD] = 0 }
    :: atomic { !runs[OLD] && !has_started -> has_started = true; runs[NEW] = true; listed[NEW] = true }
    :: atomic { !runs[OLD] && listed[OLD] -> listed[OLD] = false }
    :: atomic { runs[NEW] && listed[NEW] && !listed[OLD] && losses_left > 0 -> losses_left--; listed[NEW] = false }
    :: atomic { runs[NEW] && !listed[NEW] -> listed[NEW] = true }
    od
}

proctype lists() {
end:
    do
    :: atomic { reads_left > 0 && !IS_READ(0) -> reads_left--; read_list(0) }
    :: atomic { reads_left > 0 && !IS_READ(1) -> reads_left--; read_list(1) }
    od
}

proctype leader() {
    byte new_owner_until = 0;
    byte new_former_until = 0;
end:
    do
    :: atomic { HAS_AUTHORITY && authority_end != now + LEASE -> authority_end = now + LEASE }
    :: atomic { !HAS_AUTHORITY && leaders_left > 0 -> take_over() }

    /* plans */
    :: atomic { HAS_AUTHORITY && !writing && MAY_MOVE && moves_left > 0 && IN_LIST(node, 0) && owner != 0 -> plan_move(0) }
    :: atomic { HAS_AUTHORITY && !writing && MAY_MOVE && moves_left > 0 && IN_LIST(node, 1) && owner != 1 -> plan_move(1) }
    :: atomic { HAS_AUTHORITY && !writing && MAY_MOVE && moves_left > 0 && IN_LIST(node, 2) && owner != 2 -> plan_move(2) }
    :: atomic { writing -> commit_move() }
    :: atomic { /* the finished move is removed from the record */
        HAS_AUTHORITY && !writing && phase == HELD && record_former != NONE -> record_former = NONE; record_written()
    }

    /* orders */
    :: atomic { HAS_AUTHORITY && phase != RELEASING && !owner_ended && !MOVED_BY_PLAN && !waiting[0] -> decide_grant(0) }
    :: atomic { HAS_AUTHORITY && phase != RELEASING && !owner_ended && !MOVED_BY_PLAN && !waiting[1] -> decide_grant(1) }
    :: atomic { /* the release is carried out and answered */
        HAS_AUTHORITY && phase == RELEASING && runs[former] ->
        held_until[former] = 0;
        seen_fence[former] = fence;
        end_release()
    }
    :: atomic { HAS_AUTHORITY && phase == RELEASING && OTHER_ANSWERS(former) -> end_release() }
    :: atomic { HAS_AUTHORITY && phase == RELEASING && ENDED_BY_LIST(former) -> end_release() }
    :: atomic { HAS_AUTHORITY && phase == RELEASING && now >= former_until -> end_release() }
    od
}

/* Connections open, or fail. */
proctype connections() {
end:
    do
    :: atomic { waiting[0] && MAY_LEAVE(0) -> carry_out(0) }
    :: atomic { waiting[1] && MAY_LEAVE(1) -> carry_out(1) }
    :: atomic { waiting[0] -> not_sent(0) }
    :: atomic { waiting[1] -> not_sent(1) }
    od
}

init {
    atomic {
        runs[OLD] = true;
        runs[2] = true;
        listed[OLD] = true;
        listed[2] = true;
        read_list(0);
        read_list(1);
#ifdef START_NEW
        start_new();
        read_list(0);
        owner = NEW;
        record_owner = NEW;
        list_is_later[1] = false;
#endif
        run clock();
        run servers();
        run lists();
        run leader();
        run connections()
    }
}
