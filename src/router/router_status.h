/**
 * @file router_status.h
 * @brief A node's current state as JSON, for operators ("cedarwinch status").
 */
#ifndef CEDARWINCH_ROUTER_STATUS_H
#define CEDARWINCH_ROUTER_STATUS_H

#include <jansson.h>

#include "router/router_internal.h"

/** The HTTP path of the status, on the readiness endpoint. */
#define CW_STATUS_PATH "/status"

/** Returns the status as JSON text, which the caller frees. */
char *cw_router_status(cw_router_t *router);

/* ---- router_status_callers.c: parts of the status; each call returns a new reference ---- */
/** Number of requests refused by this process, by status code and reason as in the log; reasons that have not occurred
 * are left out. */
json_t *cw_router_status_refused(void);
/** The largest tenants of those with a limit, and the rest as one row "(others)": their requests, and the state of
 * their limit on this node. */
json_t *cw_router_status_tenants(const cw_router_t *router);
/** Bytes of datagrams sent to other nodes, by distance (within the zone, to other zones, to other regions). */
json_t *cw_router_status_sent(const cw_router_t *router);
/** Number of pipelined requests, and of answers that waited for an earlier answer of their connection. */
json_t *cw_router_status_pipelines(void);

/* ---- router_status_orders.c ---- */
/** On the leader, for each service divided by key: the servers with orders that have no answer and may still be carried
 * out, when each server last answered an order, and these orders. */
json_t *cw_router_status_orders(const cw_router_t *router, cw_time_us_t now);

#endif
