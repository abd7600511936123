/**
 * @file fleet_size.c
 * @brief The announced number of nodes, and when this process's own count replaces it.
 */
#include "router/fleet_size.h"

#include <string.h>

void cw_fleet_size_init(cw_fleet_size_t *fleet, cw_time_us_t counting, cw_time_us_t now)
{
    memset(fleet, 0, sizeof(*fleet));
    fleet->started_at = now;
    fleet->count_reliable_at = now + counting;
}

void cw_fleet_size_record(cw_fleet_size_t *fleet, uint32_t nodes)
{
    if (nodes > 0) {
        fleet->announced = nodes;
    }
}

uint32_t cw_fleet_size_nodes(const cw_fleet_size_t *fleet, uint32_t counted, cw_time_us_t now)
{
    uint32_t announced = now < fleet->count_reliable_at ? fleet->announced : 0;

    return announced > counted ? announced : counted;
}

/* Updates the number that this node announces: it rises at once and falls by at most half at a time. */
static void update_own_announced(cw_fleet_size_t *fleet, uint32_t nodes, cw_time_us_t now)
{
    if (nodes < fleet->own_announced) {
        if (now < fleet->may_fall_at) {
            return;
        }
        nodes = nodes > fleet->own_announced / 2 ? nodes : fleet->own_announced / 2;
    }
    fleet->own_announced = nodes;
    fleet->may_fall_at = now + CW_MS(CW_FLEET_HALVING_MS);
}

uint32_t cw_fleet_size_to_announce(cw_fleet_size_t *fleet, uint32_t counted, cw_time_us_t now)
{
    if (fleet->announced == 0 && now < fleet->count_reliable_at) {
        return 0;
    }
    update_own_announced(fleet, cw_fleet_size_nodes(fleet, counted, now), now);
    return fleet->own_announced;
}

bool cw_fleet_size_is_reached(const cw_fleet_size_t *fleet, uint32_t reachable, cw_time_us_t now)
{
    if (now - fleet->started_at >= CW_MS(CW_FLEET_DISCOVERY_MS)) {
        return true;
    }
    return fleet->announced > 0 && (uint64_t)reachable * 100 >= (uint64_t)fleet->announced * CW_FLEET_REACHED_PERCENT;
}
