/**
 * @file region_owners.h
 * @brief In which regions a keyed service may have owners, where its routes or tenants are bound to regions.
 *
 * An owner gets all requests for its keys, of all routes and tenants. What its region may not serve is refused, at once
 * and with the reason; nothing is sent there. So a region may own keys if some request for the service may go there;
 * which key lies where most of its own requests may go is the planner's affair (planner_regions.c).
 *
 * No I/O, no clock.
 */
#ifndef CEDARWINCH_PLACEMENT_REGION_OWNERS_H
#define CEDARWINCH_PLACEMENT_REGION_OWNERS_H

#include <stdbool.h>

#include "model/configuration.h"

/** May some request for the service go to this region ("": it is not known)? True for a service without routes. */
bool cw_region_may_own(const cw_configuration_t *configuration, const char *service, const char *region);

#endif
