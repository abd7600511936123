/**
 * @file request_rank.h
 * @brief How urgent a request is: one number for queues, slots and whatever else puts requests into an order.
 *
 * The tenant's priority goes before its route's. A request without a tenant is ranked by its route among the most
 * urgent tenants: nobody's priority puts it behind, so that open routes, and all routes where the configuration has no
 * tenants, are ordered by what the operators wrote for them.
 */
#ifndef CEDARWINCH_TENANCY_REQUEST_RANK_H
#define CEDARWINCH_TENANCY_REQUEST_RANK_H

#include "model/configuration.h"

/** 0 is the most urgent. tenant: whose limits bind the request; NULL: none. */
uint32_t cw_request_rank(const cw_tenant_t *tenant, const cw_route_t *route);

#endif
