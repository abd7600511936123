/**
 * @file cold_rate.h
 * @brief How many requests a second a cold server may get, from all nodes together, and which nodes may send them.
 *
 * A server is cold for a while after its start. It then bears a few requests a second and fails well above that, so the
 * bound holds for the sum over all nodes, also while these cannot talk to one another. Rules:
 *  - A few nodes send to a cold server: the first by rendezvous hashing of its id over the nodes known to run. Each has
 *    a fixed number of sends in any second; what all of them may send is what the server bears, far below the bound:
 *    so the bound holds even if twice as many nodes take themselves to be among the first.
 *  - A node sends none while it knows half or less of the nodes it has known lately: those on the other side of a
 *    partition may have chosen others.
 *  - A node sends none for a while after the nodes that it knows to run have changed: a node that was among the first
 *    before has stopped by then.
 *
 * This is for nodes that choose servers by themselves. Where slots are handed out (slot_broker.h), the one node that
 * does so keeps the bound, and others send none.
 *
 * No I/O; time is a parameter, microseconds of the node's steady clock.
 */
#ifndef CEDARWINCH_BALANCE_COLD_RATE_H
#define CEDARWINCH_BALANCE_COLD_RATE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/time.h"

enum { CW_COLD_SENDS_PER_SECOND = 2 /**< that one node makes to one cold server in any second */ };

/** This node's latest sends to one cold server. */
typedef struct cw_cold_sends {
    cw_time_us_t at[CW_COLD_SENDS_PER_SECOND]; /**< a ring; 0: none */
    uint32_t     next;
} cw_cold_sends_t;

bool cw_cold_sends_allowed(const cw_cold_sends_t *sends, cw_time_us_t now);
void cw_cold_sends_note(cw_cold_sends_t *sends, cw_time_us_t now);

typedef struct cw_cold_rate cw_cold_rate_t;

/** own_address: any number that no other node has, and that all nodes know this one by. */
cw_cold_rate_t *cw_cold_rate_create(uint32_t own_address);
void            cw_cold_rate_free(cw_cold_rate_t *rate);
/** The other nodes known to run; in any order. Others than before: nothing is sent to cold servers for a while. */
void cw_cold_rate_set_nodes(cw_cold_rate_t *rate, const uint32_t *addresses, size_t count, cw_time_us_t now);
/** Nodes that share a cold server that bears this many requests a second; at least one. */
uint32_t cw_cold_rate_sharers(double per_s);
/** Is this node one of them now, for the server of this hash? */
bool cw_cold_rate_is_sharer(const cw_cold_rate_t *rate, uint32_t server, double per_s, cw_time_us_t now);

#endif
