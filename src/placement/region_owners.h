/**
 * @file region_owners.h
 * @brief Regions in which a keyed service may have owners if its routes or tenants are restricted to regions.
 *
 * An owner gets all requests for its keys, from all routes and tenants. A request that the owner's region may not serve
 * is refused immediately with the reason; it is not sent. A region may therefore own keys if some request for the
 * service may be sent there. The planner places each key where most of its requests may be sent (planner_regions.c).
 *
 * No I/O, no clock.
 */
#ifndef CEDARWINCH_PLACEMENT_REGION_OWNERS_H
#define CEDARWINCH_PLACEMENT_REGION_OWNERS_H

#include <stdbool.h>

#include "model/configuration.h"

/** Whether some request for the service may be sent to this region ("": not known). True for a service without routes.
 */
bool cw_region_may_own(const cw_configuration_t *configuration, const char *service, const char *region);

#endif
