/**
 * @file leader_tenure.h
 * @brief A node's term as the leader: when it began, whether a more capable node should lead instead, and the notice of
 * its end.
 *
 * Rules:
 *  - A rival is a node with at least CW_LEADER_RIVAL_FACTOR times this node's capability. While one is reachable, this
 *    node takes the lock CW_LEADER_TAKE_DELAY_MS later than it could, so that the rival takes it first.
 *  - A leader hands over once a rival has been reachable, and the leader itself has led, for CW_LEADER_HAND_OVER_S.
 *  - A leader that has released its lock announces the release in its reports for CW_RELEASE_ANNOUNCED_S, so that the
 *    others need not wait until they miss its heartbeat.
 *
 * No I/O, no clock.
 */
#ifndef CEDARWINCH_ROUTER_LEADER_TENURE_H
#define CEDARWINCH_ROUTER_LEADER_TENURE_H

#include <stdbool.h>

#include "base/time.h"

enum {
    CW_LEADER_RIVAL_FACTOR = 2,
    CW_LEADER_TAKE_DELAY_MS = 500,
    CW_LEADER_HAND_OVER_S = 4,
    CW_RELEASE_ANNOUNCED_S = 2 /**< long enough for several reports to all nodes, since some may be lost */
};

/** All zeros: the node has not led yet. */
typedef struct cw_leader_tenure {
    bool         had_authority; /**< at the last call of cw_leader_tenure_authority_changed */
    cw_time_us_t led_since;     /**< when the lock was last taken; 0: never */
    cw_time_us_t rival_since;   /**< a rival has been reachable since this time; 0: none is reachable now */
    uint64_t     released_term; /**< term of the lock that this node released last; 0: none */
    cw_time_us_t released_at;
} cw_leader_tenure_t;

/** Records that this node took the lock. */
void cw_leader_tenure_begin(cw_leader_tenure_t *tenure, cw_time_us_t now);
/** Records that this node released the lock of this term. */
void cw_leader_tenure_release(cw_leader_tenure_t *tenure, uint64_t term, cw_time_us_t now);
/** Term of the lock whose release is to be announced in reports now; 0: none. */
uint64_t cw_leader_tenure_announced_term(const cw_leader_tenure_t *tenure, cw_time_us_t now);
/** Whether another node with this capability is a rival of a node with the capability `own`. */
bool cw_leader_is_rival(uint32_t own, uint32_t capability);
/** Records whether a rival is reachable now. Called with each tick. */
void cw_leader_tenure_record_rival(cw_leader_tenure_t *tenure, bool is_reachable, cw_time_us_t now);
/** Time by which this node takes the lock later than it could; 0 while no rival is reachable. */
cw_time_us_t cw_leader_tenure_take_delay(const cw_leader_tenure_t *tenure);
/** Whether this node, if it leads, is to hand over to the rival. */
bool cw_leader_tenure_should_hand_over(const cw_leader_tenure_t *tenure, cw_time_us_t now);
/** Whether the node's authority has changed since the last call. */
bool cw_leader_tenure_authority_changed(cw_leader_tenure_t *tenure, bool has_authority);

#endif
