/**
 * @file engine_split.c
 * @brief Chooses the service of a route's split that a request goes to.
 */
#include <stdlib.h>

#include "base/memory.h"
#include "proxy/engine_internal.h"

static bool has_region_rule(const cw_region_rule_t *regions)
{
    return regions->route->count > 0 || (regions->tenant != NULL && regions->tenant->count > 0);
}

/* The first part whose service has servers in the regions; the weights do not apply here. NULL: no part has. */
static const char *choose_part_in_regions(cw_server_pool_t *pool, const cw_route_t *route,
                                          const cw_region_rule_t *regions)
{
    size_t index;

    for (index = 0; index < route->part_count; index++) {
        if (cw_server_pool_has_server(pool, route->parts[index].service, regions)) {
            return route->parts[index].service;
        }
    }
    return NULL;
}

/* Chooses the part that is furthest behind its share. */
static const char *choose_by_weight(cw_route_state_t *state, const cw_route_t *route)
{
    double sum = 0;
    size_t best = 0;
    size_t index;

    if (route->part_count == 1) {
        return route->parts[0].service;
    }
    if (state->deficit_count != route->part_count) {
        free(state->deficits);
        state->deficits = cw_memory_zeroed_items(route->part_count, sizeof(*state->deficits));
        state->deficit_count = route->part_count;
    }
    for (index = 0; index < route->part_count; index++) {
        sum += route->parts[index].weight;
        state->deficits[index] += route->parts[index].weight;
        if (state->deficits[index] > state->deficits[best]) {
            best = index;
        }
    }
    state->deficits[best] -= sum;
    return route->parts[best].service;
}

const char *cw_route_choose_part(const cw_request_t *request, const cw_route_t *route)
{
    const cw_region_rule_t *regions = &request->regions;
    cw_server_pool_t       *pool = request->engine->pool;
    const char             *part = choose_by_weight(request->route_state, route);
    const char             *alternative;

    if (!has_region_rule(regions) || cw_server_pool_has_server(pool, part, regions)) {
        return part;
    }
    alternative = choose_part_in_regions(pool, route, regions);
    return alternative == NULL ? part : alternative;
}
