/**
 * @file cold_rate.h
 * @brief Bounds how many requests a second all nodes together send to a cold server, and selects the sending nodes.
 *
 * A server is cold for a while after its start. A cold server can handle a few requests a second and fails at a rate
 * well above that, so the bound applies to the sum over all nodes, also while the nodes cannot reach one another.
 * Rules:
 *  - Only a few nodes, the sharers, send to a cold server: the highest ranked by rendezvous hashing of the server's id
 *    over the nodes known to run. Each sharer has a fixed number of sends in any second. All sharers together send as
 *    many requests as the server can handle, far below the rate at which it fails. So the bound holds even if twice as
 *    many nodes regard themselves as sharers.
 *  - A node sends nothing while it knows half or fewer of the nodes that it knew recently: the nodes on the other side
 *    of a partition may have selected other sharers.
 *  - A node sends nothing for a while after its set of running nodes has changed: within that time the earlier sharers
 *    have stopped sending.
 *
 * These rules are for nodes that choose servers by themselves. Where slots are handed out (slot_broker.h), the broker
 * node keeps the bound and all others send nothing.
 *
 * No I/O; time is a parameter, microseconds of the node's steady clock.
 */
#ifndef CEDARWINCH_BALANCE_COLD_RATE_H
#define CEDARWINCH_BALANCE_COLD_RATE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/time.h"

enum { CW_COLD_SENDS_PER_SECOND = 2 /**< requests that one node may send to one cold server in any second */ };

/** Times of this node's latest sends to one cold server. */
typedef struct cw_cold_sends {
    cw_time_us_t at[CW_COLD_SENDS_PER_SECOND]; /**< ring buffer; 0: unused entry */
    uint32_t     next;                         /**< index of the oldest entry, which is overwritten next */
} cw_cold_sends_t;

/** True if this node may send one more request now. */
bool cw_cold_sends_allowed(const cw_cold_sends_t *sends, cw_time_us_t now);
/** Records a request sent now. */
void cw_cold_sends_record(cw_cold_sends_t *sends, cw_time_us_t now);

/** The nodes known to run, from which the sharers of each cold server are selected. */
typedef struct cw_cold_rate cw_cold_rate_t;

/** Creates a selection that knows no other node. own_address: a number unique to this node, the same that other nodes
 * pass to cw_cold_rate_set_nodes. */
cw_cold_rate_t *cw_cold_rate_create(uint32_t own_address);
/** Frees the selection. */
void cw_cold_rate_free(cw_cold_rate_t *rate);
/** Sets the other nodes known to run, in any order. After a change this node is no sharer for a while. */
void cw_cold_rate_set_nodes(cw_cold_rate_t *rate, const uint32_t *addresses, size_t count, cw_time_us_t now);
/** Number of sharers of a cold server that can handle this many requests a second; at least one. */
uint32_t cw_cold_rate_sharers(double per_s);
/** True if this node is now a sharer of the server with this hash. */
bool cw_cold_rate_is_sharer(const cw_cold_rate_t *rate, uint32_t server, double per_s, cw_time_us_t now);

#endif
