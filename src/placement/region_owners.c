/**
 * @file region_owners.c
 * @brief Checks the regions of the routes to a service and of the tenants that may use them.
 */
#include "placement/region_owners.h"

#include <string.h>

static bool uses_service(const cw_route_t *route, const char *service)
{
    size_t index;

    for (index = 0; index < route->part_count; index++) {
        if (strcmp(route->parts[index].service, service) == 0) {
            return true;
        }
    }
    return false;
}

static bool allows(const cw_name_set_t *regions, const char *region)
{
    return regions->count == 0 || cw_name_set_has(regions, region);
}

/* Whether some caller's requests on this route may be sent to the region. */
static bool some_caller_may(const cw_configuration_t *configuration, const cw_route_t *route, const char *region)
{
    const cw_tenant_t *owner = cw_configuration_tenant_of(configuration, route->name);
    size_t             index;

    if (owner != NULL) {
        return allows(&owner->regions, region);
    }
    if (!configuration->needs_keys || route->allows_anonymous) {
        return true;
    }
    for (index = 0; index < configuration->tenant_count; index++) {
        if (allows(&configuration->tenants[index].regions, region)) {
            return true;
        }
    }
    return false;
}

bool cw_region_may_own(const cw_configuration_t *configuration, const char *service, const char *region)
{
    bool   any = false;
    size_t index;

    for (index = 0; index < configuration->route_count; index++) {
        const cw_route_t *route = &configuration->routes[index];

        if (!uses_service(route, service)) {
            continue;
        }
        any = true;
        if (allows(&route->regions, region) && some_caller_may(configuration, route, region)) {
            return true;
        }
    }
    return !any;
}
