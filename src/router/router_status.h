/**
 * @file router_status.h
 * @brief What a node believes now, as JSON: for operators' "cedarwinch status".
 */
#ifndef CEDARWINCH_ROUTER_STATUS_H
#define CEDARWINCH_ROUTER_STATUS_H

#include "router/router_internal.h"

/** The path it is served at, on the readiness endpoint. */
#define CW_STATUS_PATH "/status"

/** To be freed. */
char *cw_router_status(cw_router_t *router);

#endif
