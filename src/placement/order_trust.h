/**
 * @file order_trust.h
 * @brief Which servers the leader's orders have not reached lately: they are given keys last.
 *
 * A server that is gone may stay in the list for as long as the store is down, and one without load looks the cheapest.
 * Two of them would be given the same keys by turns, each while the other has just failed. Rules:
 *  - A server that failed CW_ORDER_FAILURES orders in a row is doubted: no connection, no answer, or another life
 * there.
 *  - It is trusted again when it has answered an order, or a request of this node: both took the leader's own way.
 *  - A doubted server may be tried after CW_ORDER_DOUBT_FIRST_S; each try that fails doubles the pause, up to
 *    CW_ORDER_DOUBT_MOST_S. What it was given meanwhile goes elsewhere as with any owner that is lost.
 *  - Doubt is no proof of anything: keys are never taken for free because of it, and a planner that has no other server
 *    gives them to doubted ones.
 *
 * No I/O; time is a parameter, microseconds of the node's steady clock. Servers are named by their short hashes.
 */
#ifndef CEDARWINCH_PLACEMENT_ORDER_TRUST_H
#define CEDARWINCH_PLACEMENT_ORDER_TRUST_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/time.h"

enum {
    CW_ORDER_FAILURES = 2, /**< one may be a connection that the server closed as idle, or an answer that was lost */
    CW_ORDER_DOUBT_FIRST_S = 4, /**< beyond the 1.2 s in which an owner is found lost and the plan that follows */
    CW_ORDER_DOUBT_MOST_S = 64  /**< a server that is back without load waits so long for keys at most */
};

typedef struct cw_order_trust cw_order_trust_t;

cw_order_trust_t *cw_order_trust_create(void);
void              cw_order_trust_free(cw_order_trust_t *trust);
/** An order to the server failed. served: requests of this node that it has answered so far. */
void cw_order_trust_record_failure(cw_order_trust_t *trust, uint32_t server, uint32_t served, cw_time_us_t now);
/** It answered an order. */
void cw_order_trust_record_answer(cw_order_trust_t *trust, uint32_t server);
/** Is it to be given keys only if no other server can be? served: as above; more than at its last failure clears it. */
bool cw_order_trust_is_doubted(cw_order_trust_t *trust, uint32_t server, uint32_t served, cw_time_us_t now);
/** Servers of which something is kept. */
size_t cw_order_trust_servers(const cw_order_trust_t *trust);
/** Forgets servers that no order has failed at for CW_ORDER_DOUBT_MOST_S twice over: they are gone from the list. */
void cw_order_trust_expire(cw_order_trust_t *trust, cw_time_us_t now);

#endif
