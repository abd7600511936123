/**
 * @file router_status.h
 * @brief What a node believes now, as JSON: for operators' "cedarwinch status".
 */
#ifndef CEDARWINCH_ROUTER_STATUS_H
#define CEDARWINCH_ROUTER_STATUS_H

#include <jansson.h>

#include "router/router_internal.h"

/** The path it is served at, on the readiness endpoint. */
#define CW_STATUS_PATH "/status"

/** To be freed. */
char *cw_router_status(cw_router_t *router);

/* ---- router_status_callers.c: parts of it, each a new reference ---- */
/** Requests refused by this process, by status and reason as in the log; those that never came are left out. */
json_t *cw_router_status_refused(void);
/** The largest tenants of those with a limit, the rest as one row "(others)": what came, and the limit as it stands on
 * this node. */
json_t *cw_router_status_tenants(const cw_router_t *router);
/** Bytes of datagrams sent to other nodes, by distance. */
json_t *cw_router_status_sent(const cw_router_t *router);
/** Pipelined requests, and answers that waited for their turn. */
json_t *cw_router_status_pipelines(void);

#endif
