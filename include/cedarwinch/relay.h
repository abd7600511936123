/**
 * @file relay.h
 * @brief Route table of a node and its dissemination along a tree: each node takes versioned deltas from its parent and
 *        passes them to at most CW_RELAY_FANOUT children; the leader is the root. Full resend where a gap shows.
 *
 * Parent: nodes that are up, in ascending id order without the leader, form a heap-shaped tree of degree
 * CW_RELAY_FANOUT below the leader. A node whose parent is silent subscribes to its grandparent, in the end the leader.
 * Ports used: send, learn_node.
 */
#ifndef CEDARWINCH_RELAY_H
#define CEDARWINCH_RELAY_H

#include "cedarwinch/control_state.h"
#include "cedarwinch/ports.h"

enum { CW_RELAY_FANOUT = 16 };

typedef struct cw_relay cw_relay_t;

typedef struct cw_relay_options {
    const Cw__NodeInfo        *self;
    const Cw__NodeInfo *const *seeds; /**< nodes to ask at start; incarnation may be 0 */
    size_t                     seed_count;
    cw_time_us_t               interval_us;     /**< beat along the tree */
    cw_time_us_t               out_of_touch_us; /**< no new beat this long: refuse new work */
} cw_relay_options_t;

/** Copies self, seeds and ports, and names the seeds through learn_node. CW_ERROR_INVALID: no self or a time that is
 *  not positive; CW_ERROR_NO_MEMORY. */
int  cw_relay_create(cw_relay_t **relay, const cw_relay_options_t *options, const cw_ports_t *ports, cw_instant_t now);
void cw_relay_free(cw_relay_t *relay);
void cw_relay_tick(cw_relay_t *relay, cw_instant_t now);
cw_time_us_t cw_relay_next_tick(const cw_relay_t *relay);

/** Takes hello, route subscribe and route update messages. Returns true when the route table changed. */
bool cw_relay_receive(cw_relay_t *relay, const Cw__Envelope *envelope, cw_instant_t now);

/** On the leader: its state, term and beat are the source instead of a parent; state NULL: no longer leader.
 *  Called at every change and beat. Returns true when the route table changed. */
bool cw_relay_set_source(cw_relay_t *relay, const cw_control_state_t *state, uint64_t generation, uint64_t term,
                         uint64_t beat, const Cw__Membership *members, cw_instant_t now);

const cw_control_state_t *cw_relay_routes(const cw_relay_t *relay);
const Cw__NodeInfo       *cw_relay_leader(const cw_relay_t *relay); /**< NULL: not known */
uint64_t                  cw_relay_generation(const cw_relay_t *relay);
uint64_t                  cw_relay_version(const cw_relay_t *relay);
/** Has a new beat been heard within out_of_touch_us? Beats are counted by number, so a delayed one does not count. */
bool cw_relay_in_touch(const cw_relay_t *relay, cw_instant_t now);
/** When the newest beat was heard, by this node's clock; false: none of the present generation. */
bool cw_relay_last_beat(const cw_relay_t *relay, cw_time_us_t *heard_us);
/** Asks the parent for an update at once (a route proved stale). Bounded to one per interval. */
void cw_relay_refresh(cw_relay_t *relay, cw_instant_t now);

#endif
