/**
 * @file request_rank.c
 * @brief Combines the priorities of tenant and route into one rank; the tenant's takes precedence.
 */
#include "tenancy/request_rank.h"

enum { PRIORITY_BITS = 16, MAX_PRIORITY = 0xffff /* larger priorities rank like this one */ };

static uint32_t clamp_priority(uint32_t priority)
{
    return priority > MAX_PRIORITY ? MAX_PRIORITY : priority;
}

uint32_t cw_request_rank(const cw_tenant_t *tenant, const cw_route_t *route)
{
    return (tenant == NULL ? 0 : clamp_priority(tenant->priority) << PRIORITY_BITS) | clamp_priority(route->priority);
}
