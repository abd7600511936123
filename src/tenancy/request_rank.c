/**
 * @file request_rank.c
 * @brief Tenant's priority before the route's.
 */
#include "tenancy/request_rank.h"

enum { PART_BITS = 16, PART_MOST = 0xffff /* larger priorities are ranked as this one */ };

static uint32_t part(uint32_t priority)
{
    return priority > PART_MOST ? PART_MOST : priority;
}

uint32_t cw_request_rank(const cw_tenant_t *tenant, const cw_route_t *route)
{
    return (tenant == NULL ? 0 : part(tenant->priority) << PART_BITS) | part(route->priority);
}
