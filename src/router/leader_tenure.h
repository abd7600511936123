/**
 * @file leader_tenure.h
 * @brief A node's time as the leader: since when, whether a more capable node should lead, and its step-down notice.
 *
 * Rules:
 *  - While a node that is far more capable (a rival) is in reach, this one takes the lock CW_LEADER_DEFERENCE_MS later.
 *  - A leader hands over once a rival has been in reach, and itself has led, for CW_LEADER_HAND_OVER_S.
 *  - A leader that released its lock says so in its reports for CW_RELEASE_ANNOUNCED_S: others need not wait until they
 *    miss its heartbeat.
 *
 * No I/O, no clock.
 */
#ifndef CEDARWINCH_ROUTER_LEADER_TENURE_H
#define CEDARWINCH_ROUTER_LEADER_TENURE_H

#include <stdbool.h>

#include "base/time.h"

enum {
    CW_LEADER_RIVAL_TIMES = 2,    /**< a rival has at least so many times this node's capability */
    CW_LEADER_DEFERENCE_MS = 500, /**< chosen, not measured */
    CW_LEADER_HAND_OVER_S = 4,    /**< chosen, not measured */
    CW_RELEASE_ANNOUNCED_S = 2    /**< chosen: several reports to all nodes, since some may be lost */
};

/** All zeros: has not led. */
typedef struct cw_leader_tenure {
    bool         had_authority; /**< when last asked */
    cw_time_us_t led_since;     /**< last taking of the lock; 0: never */
    cw_time_us_t rival_since;   /**< a rival has been in reach since then; 0: none is */
    uint64_t     released_term; /**< of the lock that this node released last; 0: none */
    cw_time_us_t released_at;
} cw_leader_tenure_t;

/** The lock was taken. */
void cw_leader_tenure_begin(cw_leader_tenure_t *tenure, cw_time_us_t now);
/** The lock of this term was released. */
void cw_leader_tenure_release(cw_leader_tenure_t *tenure, uint64_t term, cw_time_us_t now);
/** Term of a lock released so lately that others are to be informed; 0: none. */
uint64_t cw_leader_tenure_announced_term(const cw_leader_tenure_t *tenure, cw_time_us_t now);
/** Is `capability` of another node that of a rival to a node with `own`? */
bool cw_leader_is_rival(uint32_t own, uint32_t capability);
/** A rival is in reach now, or none is. */
void cw_leader_tenure_note_rival(cw_leader_tenure_t *tenure, bool in_reach, cw_time_us_t now);
/** How much later than it might this node takes the lock. */
cw_time_us_t cw_leader_tenure_take_delay(const cw_leader_tenure_t *tenure);
/** Should this node, if it leads, hand over to the rival? */
bool cw_leader_tenure_should_hand_over(const cw_leader_tenure_t *tenure, cw_time_us_t now);
/** Has the node's authority changed since the last call? */
bool cw_leader_tenure_authority_changed(cw_leader_tenure_t *tenure, bool has_authority);

#endif
