/**
 * @file request_rank.h
 * @brief Urgency of a request as one number, for queues, slots and everything else that orders requests.
 *
 * The tenant's priority takes precedence over the route's. A request without a tenant ranks, by its route, among the
 * requests of the most urgent tenants: no tenant's priority can put it last. So open routes, and all routes if the
 * configuration has no tenants, are ordered by the priorities that the operators configured for the routes.
 */
#ifndef CEDARWINCH_TENANCY_REQUEST_RANK_H
#define CEDARWINCH_TENANCY_REQUEST_RANK_H

#include "model/configuration.h"

/** Rank of a request: 0 is the most urgent. tenant: the tenant whose limits apply to the request; NULL: none. */
uint32_t cw_request_rank(const cw_tenant_t *tenant, const cw_route_t *route);

#endif
