/**
 * @file leadership.h
 * @brief Leader election by a lock object in the store. The lease is measured by the holder's own monotonic clock.
 *
 * Rules:
 *  - The holder's authority ends `hold` after it SENT the last write of the lock that the store acknowledged. The
 *    authority is checked again directly before each order (cw_leadership_has_authority).
 *  - A follower measures on its own clock for how long the lock's revision has not changed. After `hold` plus the clock
 *    drift it takes the lock by a write that is conditional on that revision. Any write in between makes it fail.
 *  - A lock that an earlier incarnation of the same node holds may be taken immediately, since that incarnation has
 *    ended. A vacant lock may be taken immediately, too.
 *  - A lock whose value cannot be decoded is treated as held by another node: it is taken after the same time, with a
 *    term above the last one that is known.
 *  - A write without an answer may have been done or not: the lock is read, and the next write is conditional on the
 *    revision that was read.
 *  - A node that knows a reachable, more capable node lets that node try first: it takes the lock `take_delay` later
 *    than it could. It still takes the lock of its own earlier incarnation immediately. The delay only postpones an
 *    attempt to take the lock; it never permits one.
 *  - The store may come back from a copy (store_epoch.h). A lock that was written in an earlier epoch, and a lock that
 * is gone, prove nothing: another node may have taken the lock since, and may have authority. So nobody takes it within
 *    `hold` plus the clock drift after first seeing it in the present epoch, whoever it names, vacant or not; and an
 *    unanswered write of an earlier epoch that is done late makes nobody the leader.
 *    The same holds for a lock that is gone when a node asks that started later than the fleet.
 *  - A leader that still has authority when it reads such a lock, or none, was the only one until the store was lost,
 * and nobody can have taken the lock in the present epoch yet. It remains the leader and takes the lock again without
 * the wait, in a write that is sent while it has authority, conditional on the revision that it has read.
 *  - A leader that finds a later term than its own in the store, while the lock still names it, takes a term above that
 * one: a late write of an earlier epoch had replaced the lock of the later term.
 *  - The first write of a lock in an epoch has a term above all that may have been used in the states that were lost.
 *  - Failed calls are repeated at intervals that double. A leader's interval is limited to a fraction of its hold, a
 *    follower's to the interval between its reads of the lock, which increases with the number of followers.
 *  - Wall clocks are never used.
 *
 * Model: spec/lease.pml. For operators: docs/OPERATIONS.md.
 */
#ifndef CEDARWINCH_LEASE_LEADERSHIP_H
#define CEDARWINCH_LEASE_LEADERSHIP_H

#include <stdbool.h>
#include <stdint.h>

#include "base/time.h"
#include "model/store_epoch.h"
#include "store/store.h"

enum { CW_NODE_NAME_MAX = 64, CW_ADDRESS_MAX = 32 };

/** Contents of the lock object. */
typedef struct cw_lock {
    char     node[CW_NODE_NAME_MAX];
    char     address[CW_ADDRESS_MAX]; /**< IPv4 address of the holder, as text */
    uint64_t incarnation;
    uint64_t term; /**< increases with each change of holder */
    uint64_t beat; /**< increases with each write of a holder */
    bool     vacant;
    uint32_t nodes;       /**< number of nodes that the holder knows, itself included; 0: not known */
    uint64_t epoch_stamp; /**< of the store's epoch, as known to the holder (store_epoch.h); 0: none */
} cw_lock_t;

/** This node's identity, and the times of the lock. */
typedef struct cw_leadership_settings {
    char         node[CW_NODE_NAME_MAX];
    char         address[CW_ADDRESS_MAX];
    uint64_t     incarnation;
    cw_time_us_t hold;              /**< how long a write of the lock gives authority */
    cw_time_us_t renew_every;       /**< interval between a leader's writes of the lock */
    cw_time_us_t heartbeat_timeout; /**< a follower without a heartbeat for so long reads the lock */
    cw_time_us_t read_every;        /**< interval between a follower's reads of the lock, with few followers */
    cw_time_us_t first_read_after;  /**< delay of the first read after the start of the node */
    cw_time_us_t first_read_within; /**< range of the additional delay, which depends on the node's incarnation */
    bool         is_first_start; /**< the whole fleet starts for the first time, so that no lock can have been lost */
} cw_leadership_settings_t;

/** The store call to make now. */
typedef enum cw_leadership_action {
    CW_LEADERSHIP_WAIT,
    CW_LEADERSHIP_READ,
    CW_LEADERSHIP_CREATE, /**< with `write` as the value */
    CW_LEADERSHIP_REPLACE /**< with `write` under `revision` */
} cw_leadership_action_t;

/** State of a node in the election. */
typedef struct cw_leadership {
    cw_leadership_settings_t settings;
    bool                     leading;
    bool                     resigning;
    bool                     resigned;
    bool                     stepping_down;    /**< resigning, to be a follower afterwards */
    cw_time_us_t             follow_until;     /**< after a step-down: the lock is not taken before this time */
    cw_time_us_t             authority_end;    /**< when this node's authority ends, while it leads */
    cw_lock_t                lock;             /**< last known value */
    uint64_t                 stored_term;      /**< term of the lock in the store, which `lock` may exceed */
    uint64_t                 revision;         /**< last known revision of the lock; 0: none */
    cw_time_us_t             seen_at;          /**< since when this revision is known */
    uint64_t                 received_term;    /**< highest term of a heartbeat, or of an object in the store */
    bool                     absent;           /**< a read found no lock */
    bool                     is_unreadable;    /**< the object that the last read returned is not a valid lock */
    cw_time_us_t             last_received_at; /**< last heartbeat of a leader with authority */
    cw_time_us_t             last_read_at;     /**< when the store last returned the lock */
    bool                     must_read;        /**< the lock has to be read before the next write */
    cw_leadership_action_t   pending;          /**< store call in flight; WAIT: none */
    uint64_t                 call;             /**< number of the latest store call */
    cw_lock_t                write;            /**< value of the last write */
    cw_time_us_t             sent_at;          /**< when the last store call was sent */
    cw_time_us_t             next_at;          /**< no store call is made before this time */
    uint32_t                 nodes;            /**< written into the lock */
    uint32_t                 followers;        /**< known number of other nodes that read the lock */
    cw_time_us_t             take_delay;       /**< how much later than it could this node takes the lock */
    uint64_t                 last_beat;
    uint64_t                 failures; /**< consecutive failed store calls */
    cw_store_epochs_t        epochs;   /**< seen in replies and heartbeats */
} cw_leadership_t;

/** Initialises the state of a node that starts at `now` as a follower. */
void cw_leadership_init(cw_leadership_t *leadership, const cw_leadership_settings_t *settings, cw_time_us_t now);
/** Returns the store call to make now. Unless it is WAIT, cw_leadership_replied must follow once, with the number that
 * `call` has now. */
cw_leadership_action_t cw_leadership_tick(cw_leadership_t *leadership, cw_time_us_t now);
/** Handles the store's reply to the call with this number. Ignored if that call has been given up. */
void cw_leadership_replied(cw_leadership_t *leadership, uint64_t call, const cw_store_reply_t *reply, cw_time_us_t now);
/** Handles the epoch of the store that any of its answers states. If it is later than all before, the call in flight is
 * given up, since it may never be answered, and the lock is read at once. Returns true in this case. */
bool cw_leadership_observe_epoch(cw_leadership_t *leadership, uint64_t epoch, cw_time_us_t now);
/** Time at which this node first saw a state of the store that may lack what was acknowledged before: its last return
 * from a copy, or this node's first answer if it started later than the fleet. 0: there is none. */
cw_time_us_t cw_leadership_lost_at(const cw_leadership_t *leadership);
/** Handles a leader's heartbeat: its term, the revision of its lock and whether it has authority. */
void cw_leadership_receive_heartbeat(cw_leadership_t *leadership, uint64_t term, uint64_t revision, bool has_authority,
                                     cw_time_us_t now);
/** Sets how many other nodes read the lock. Their reads together stay below a bounded rate. */
void cw_leadership_set_followers(cw_leadership_t *leadership, uint32_t followers);
/** Sets the number of nodes, this one included. It is written into the lock for nodes that start later. */
void cw_leadership_set_nodes(cw_leadership_t *leadership, uint32_t nodes);
/** Sets, with each tick, how much later than it could this node takes the lock because a more capable one is
 * reachable. 0: no such node is reachable. */
void cw_leadership_set_take_delay(cw_leadership_t *leadership, cw_time_us_t take_delay);
/** Whether this node, which follows, would read or take the lock now, since it hears of no leader. */
bool cw_leadership_is_turn_to_take(const cw_leadership_t *leadership, cw_time_us_t now);
/** Handles an object of this term in the store. A leader of an earlier term reads the lock: either it leads no more, or
 * it takes a later term. */
void cw_leadership_receive_term(cw_leadership_t *leadership, uint64_t term, cw_time_us_t now);
/** Handles a leader's step-down notice: the lock is read soon. */
void cw_leadership_receive_step_down(cw_leadership_t *leadership, cw_time_us_t now);
/** Whether this node leads and its lease has not expired. */
bool cw_leadership_has_authority(const cw_leadership_t *leadership, cw_time_us_t now);
/** Gives up the leadership: authority ends immediately, and the lock is written as vacant. */
void cw_leadership_resign(cw_leadership_t *leadership, cw_time_us_t now);

/** Gives up the leadership and does not take the lock again for `follow_time`. */
void cw_leadership_step_down(cw_leadership_t *leadership, cw_time_us_t now, cw_time_us_t follow_time);

/** Encodes a lock in its stored form. */
json_t *cw_lock_to_json(const cw_lock_t *lock);
/** Decodes a lock. False: the value is not a valid lock. */
bool cw_lock_from_json(cw_lock_t *lock, const json_t *value);

#endif
