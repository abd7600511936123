/**
 * @file router_paths.h
 * @brief Paths to servers, as the parts of a node see them: what is known of them, who may lead without them, and the
 * requests that are passed to other nodes meanwhile.
 */
#ifndef CEDARWINCH_ROUTER_PATHS_H
#define CEDARWINCH_ROUTER_PATHS_H

#include "router/router_internal.h"

/* ---- router_paths.c ---- */
/** Begins to record this node's contacts with servers. */
void cw_router_paths_init(cw_router_t *router);
/** Frees the state of paths. Only tests call this. */
void cw_router_paths_free(cw_router_t *router);
/** Probes servers if necessary, and logs a loss of the paths or its end. */
void cw_router_paths_tick(cw_router_t *router, cw_time_us_t now);
/** Records whether an order to a server of the service was answered. */
void cw_router_paths_record_order(cw_router_t *router, const char *service, bool is_answered);
/** Number of successful contacts with servers of the service with this hash. */
uint32_t cw_router_paths_successes(const cw_router_t *router, uint32_t service);
/** Probes a few servers of the service now, so that their answers count as contacts. */
void cw_router_paths_probe(cw_router_t *router, uint32_t service);
/** Whether this node reaches no server of the service with this hash. */
bool cw_router_has_lost_paths(const cw_router_t *router, uint32_t service);
/** Whether it is known if this node reaches servers of the service: it has lost them, they answered it within `fresh`
 * and no contact has failed since, or none is listed. If it is not known, servers are probed. */
bool cw_router_has_proof_of_paths(cw_router_t *router, uint32_t service, cw_time_us_t fresh, cw_time_us_t now);
/** What this node states about its paths to servers. */
cw_peer_paths_t cw_router_own_paths(const cw_router_t *router, cw_time_us_t now);
/** Whether a node is alive, does not stop, and has not lost its paths to any service, as far as this node knows. */
bool cw_router_knows_peer_with_paths(const cw_router_t *router, cw_time_us_t now);
/** Whether this node reaches servers, or another node that takes its requests. Always true in a fleet of one node,
 * since callers have no other. */
bool cw_router_has_way_to_servers(const cw_router_t *router, cw_time_us_t now);
/** Sets the gauges of paths and of requests at servers. */
void cw_router_paths_set_metrics(cw_router_t *router);

/* ---- router_lead_paths.c ---- */
/** Whether this node leaves the lead to others: it reaches no server of a service divided by key, and knows a node that
 * may. */
bool cw_router_leaves_lead_for_paths(const cw_router_t *router, cw_time_us_t now);
/** Whether this node, whose turn it is to take the lock, must know first if it reaches servers. */
bool cw_router_awaits_proof_of_paths(cw_router_t *router, cw_time_us_t now);

/* ---- router_delegation.c ---- */
/** Listens for requests of other nodes, and connects the engine to the nodes that take this one's. Returns 0 or a libuv
 * error. */
int cw_router_delegation_start(cw_router_t *router);
/** Applies a configuration's limits of callers' requests to those that other nodes pass on. */
void cw_router_delegation_set_limits(cw_router_t *router, const cw_http_limits_t *limits);
/** Whether no request of another node is unanswered. */
bool cw_router_delegation_is_idle(const cw_router_t *router);

#endif
