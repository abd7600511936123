/**
 * @file leadership.h
 * @brief Leadership by a lock object in the store: a lease in the holder's own monotonic clock.
 *
 * Rules:
 *  - The holder's authority ends `hold` after it SENT the last write of the lock that the store acknowledged. It is
 *    looked at again right before each order (cw_leadership_has_authority).
 *  - A follower times the unchanged revision of the lock on its own clock and takes the lock, by a write under that
 *    revision, once `hold` plus the clocks' drift has run out. Any write in between makes it fail.
 *  - A lock held by an earlier life of this very node may be taken at once: that life has ended. So may a vacant one.
 *  - A lock that cannot be read is somebody's: it is taken after the same time, under the last term that is known.
 *  - A write without an answer proves nothing: the lock is read, and the next write is made under what was read.
 *  - A node that knows of a more capable one in reach lets that one try first: it takes the lock `deference` later than
 *    it might. Its own earlier life's lock it takes at once all the same. This delays takes and permits none.
 *  - Calls that bring nothing are repeated after pauses that double: a leader's up to a fraction of its hold, a
 *    follower's up to the pause between its looks, which is longer the more nodes look.
 *  - Wall clocks are never used.
 *
 * Model: spec/lease.pml. Operators: docs/OPERATIONS.md.
 */
#ifndef CEDARWINCH_LEASE_LEADERSHIP_H
#define CEDARWINCH_LEASE_LEADERSHIP_H

#include <stdbool.h>
#include <stdint.h>

#include "base/time.h"
#include "store/store.h"

enum { CW_NODE_NAME_MAX = 64, CW_ADDRESS_MAX = 32 };

/** Contents of the lock object. */
typedef struct cw_lock {
    char     node[CW_NODE_NAME_MAX];
    char     address[CW_ADDRESS_MAX]; /**< IPv4 number of the holder */
    uint64_t incarnation;
    uint64_t term; /**< rises with each change of holder */
    uint64_t beat; /**< rises with each write of a holder */
    bool     vacant;
    uint32_t nodes; /**< that there are, as the holder counts them, itself among them; 0: not known */
} cw_lock_t;

typedef struct cw_leadership_settings {
    char         node[CW_NODE_NAME_MAX];
    char         address[CW_ADDRESS_MAX];
    uint64_t     incarnation;
    cw_time_us_t hold;
    cw_time_us_t renew_every;
    cw_time_us_t heartbeat_timeout; /**< without a heartbeat for so long, the lock is looked up in the store */
    cw_time_us_t read_every;        /**< pause between looks */
    cw_time_us_t first_read_after;  /**< the first look comes so much after the start, and */
    cw_time_us_t first_read_within; /**< within this after that, each node's at a moment of its own */
} cw_leadership_settings_t;

typedef enum cw_leadership_action {
    CW_LEADERSHIP_WAIT,
    CW_LEADERSHIP_READ,
    CW_LEADERSHIP_CREATE, /**< with `write` as the value */
    CW_LEADERSHIP_REPLACE /**< with `write` under `revision` */
} cw_leadership_action_t;

typedef struct cw_leadership {
    cw_leadership_settings_t settings;
    bool                     leading;
    bool                     resigning;
    bool                     resigned;
    bool                     stepping_down; /**< resigning, to follow again */
    cw_time_us_t             follow_until;
    cw_time_us_t             authority_end;
    cw_lock_t                lock;             /**< as last seen */
    uint64_t                 revision;         /**< of the lock as last seen; 0: none seen */
    cw_time_us_t             seen_at;          /**< since when this revision is known */
    uint64_t                 received_term;    /**< highest term of a heartbeat */
    bool                     absent;           /**< a read found no lock */
    bool                     is_unreadable;    /**< what the last read found is no lock of this program */
    cw_time_us_t             last_received_at; /**< last heartbeat of a leader with authority */
    cw_time_us_t             looked_at;        /**< when the store last showed the lock */
    bool                     must_read;
    cw_leadership_action_t   pending;
    cw_lock_t                write;
    cw_time_us_t             sent_at;
    cw_time_us_t             next_at;
    uint32_t                 nodes;     /**< written into the lock */
    uint32_t                 followers; /**< nodes that look at the lock besides this one, as far as known */
    cw_time_us_t             deference; /**< how much later than it might it takes the lock; 0: at once */
    uint64_t                 last_beat;
    uint64_t                 failures; /**< store calls in a row that brought nothing */
} cw_leadership_t;

void cw_leadership_init(cw_leadership_t *leadership, const cw_leadership_settings_t *settings, cw_time_us_t now);
/** What is to be asked of the store now. Not WAIT: cw_leadership_replied must follow, once. */
cw_leadership_action_t cw_leadership_tick(cw_leadership_t *leadership, cw_time_us_t now);
void cw_leadership_replied(cw_leadership_t *leadership, const cw_store_reply_t *reply, cw_time_us_t now);
/** A leader's heartbeat has come: its term, its lock's revision, and whether it has authority. */
void cw_leadership_receive_heartbeat(cw_leadership_t *leadership, uint64_t term, uint64_t revision, bool has_authority,
                                     cw_time_us_t now);
/** How many other nodes look at the lock: all of them together ask the store at a bounded rate. */
void cw_leadership_set_followers(cw_leadership_t *leadership, uint32_t followers);
/** How many nodes there are, this one among them: its lock says so to those that start later. */
void cw_leadership_set_nodes(cw_leadership_t *leadership, uint32_t nodes);
/** Set with each tick: so much later than it might this node takes the lock, since a more capable one is in reach. */
void cw_leadership_set_take_delay(cw_leadership_t *leadership, cw_time_us_t deference);
/** A leader's step-down notice has come: the lock is looked at soon. */
void cw_leadership_receive_step_down(cw_leadership_t *leadership, cw_time_us_t now);
bool cw_leadership_has_authority(const cw_leadership_t *leadership, cw_time_us_t now);
/** Gives the lock back: no authority from now on, and the lock is written as vacant. */
void cw_leadership_resign(cw_leadership_t *leadership, cw_time_us_t now);

/** Gives the lock back, and does not take it again before the pause is over. */
void cw_leadership_step_down(cw_leadership_t *leadership, cw_time_us_t now, cw_time_us_t pause);

json_t *cw_lock_to_json(const cw_lock_t *lock);
bool    cw_lock_from_json(cw_lock_t *lock, const json_t *value);

#endif
