/**
 * @file engine_split.c
 * @brief Which service of a route's split a request goes to.
 */
#include <stdlib.h>

#include "base/memory.h"
#include "proxy/engine_internal.h"

static bool is_bound(const cw_region_rule_t *regions)
{
    return regions->route->count > 0 || (regions->tenant != NULL && regions->tenant->count > 0);
}

/* The first part with servers in the regions: the weights do not bind there. NULL: none has. */
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

/* The part that is furthest behind its share. */
static const char *choose_by_weight(cw_route_state_t *state, const cw_route_t *route)
{
    double sum = 0;
    size_t best = 0;
    size_t index;

    if (route->part_count == 1) {
        return route->parts[0].service;
    }
    if (state->owed_count != route->part_count) {
        free(state->owed);
        state->owed = cw_memory_zeroed_items(route->part_count, sizeof(*state->owed));
        state->owed_count = route->part_count;
    }
    for (index = 0; index < route->part_count; index++) {
        sum += route->parts[index].weight;
        state->owed[index] += route->parts[index].weight;
        if (state->owed[index] > state->owed[best]) {
            best = index;
        }
    }
    state->owed[best] -= sum;
    return route->parts[best].service;
}

const char *cw_route_choose_part(const cw_request_t *request, const cw_route_t *route)
{
    const cw_region_rule_t *regions = &request->regions;
    cw_server_pool_t       *pool = request->engine->pool;
    const char             *part = choose_by_weight(request->route_state, route);
    const char             *open;

    if (!is_bound(regions) || cw_server_pool_has_server(pool, part, regions)) {
        return part;
    }
    open = choose_part_in_regions(pool, route, regions);
    return open == NULL ? part : open;
}
