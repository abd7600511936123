/**
 * @file order_trust.h
 * @brief Records which servers the leader has reached, and which its recent orders did not reach. The latter are
 * doubted: they get keys only if no other server can.
 *
 * A server that has ended may stay in the list for as long as the store is down, and a server without load has the
 * lowest cost. Without this record, two such servers would get the same keys alternately, each after the other has
 * failed. Rules:
 *  - A server is doubted after CW_ORDER_FAILURES failed orders in a row: no connection, no answer, or an answer of
 *    another incarnation at its address.
 *  - It is trusted again after it has answered an order, or a request of this node: both take the same network path.
 *  - The doubt ends after CW_ORDER_DOUBT_INITIAL_S, so that orders are sent to the server again. If they fail, the next
 *    period of doubt is twice as long, up to CW_ORDER_DOUBT_MAX_S. Keys that the server got in between are moved
 *    elsewhere as those of any lost owner.
 *  - A new leader does not know which servers the one before it doubted. So a server that has answered it neither an
 *    order nor a probe since it took the lock is unreached, and gets keys only if no other server can. Owners of keys
 *    get orders at once; after CW_ORDER_PROBE_AFTER_MS the other servers are probed.
 *  - Doubt proves nothing about a server's state: keys are never treated as free because of it, and a planner without
 *    any other server assigns keys to doubted ones.
 *
 * No I/O; time is a parameter, in microseconds of the node's steady clock. Servers are identified by name hashes.
 */
#ifndef CEDARWINCH_PLACEMENT_ORDER_TRUST_H
#define CEDARWINCH_PLACEMENT_ORDER_TRUST_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/time.h"

enum {
    CW_ORDER_FAILURES = 2, /**< a single one may be an idle connection that the server closed, or a lost answer */
    CW_ORDER_DOUBT_INITIAL_S = 4,   /**< longer than the 1.2 s until an owner counts as lost plus the plan after it */
    CW_ORDER_DOUBT_MAX_S = 64,      /**< longest time that a recovered server without load waits for keys */
    CW_ORDER_PROBE_AFTER_MS = 1000, /**< owners have answered orders by then */
    CW_ORDER_PROBE_INTERVAL_MS = 1000
};

/** Record of failed orders, by server. */
typedef struct cw_order_trust cw_order_trust_t;

/** Creates a record without failures. */
cw_order_trust_t *cw_order_trust_create(void);
/** Frees the record. */
void cw_order_trust_free(cw_order_trust_t *trust);
/** Records that an order to the server failed. served: requests of this node that the server has answered so far. */
void cw_order_trust_record_failure(cw_order_trust_t *trust, uint32_t server, uint32_t served, cw_time_us_t now);
/** Records that the server answered an order or a probe. */
void cw_order_trust_record_answer(cw_order_trust_t *trust, uint32_t server);
/** This node has taken the lock: no server has been reached yet. */
void cw_order_trust_begin_term(cw_order_trust_t *trust, cw_time_us_t now);
/** Whether the server has answered an order or a probe since this node took the lock. */
bool cw_order_trust_has_reached(const cw_order_trust_t *trust, uint32_t server);
/** Whether to probe the server now, since it is unreached; records the probe. */
bool cw_order_trust_begin_probe(cw_order_trust_t *trust, uint32_t server, cw_time_us_t now);
/** Discards whether the server was reached, since it is no longer known. */
void cw_order_trust_forget_contact(cw_order_trust_t *trust, uint32_t server);
/** Whether the server may get keys only if no other server can. served: requests of this node that the
 * server has answered so far; if they are more than at its last failed order, the doubt ends. */
bool cw_order_trust_is_doubted(cw_order_trust_t *trust, uint32_t server, uint32_t served, cw_time_us_t now);
/** Number of servers with recorded failures. */
size_t cw_order_trust_servers(const cw_order_trust_t *trust);
/** Discards the records of servers without a failed order for twice CW_ORDER_DOUBT_MAX_S: they are no longer listed. */
void cw_order_trust_expire(cw_order_trust_t *trust, cw_time_us_t now);

#endif
