/**
 * @file fleet_size.c
 * @brief The number stated, and when this process's own count replaces it.
 */
#include "router/fleet_size.h"

#include <string.h>

void cw_fleet_size_init(cw_fleet_size_t *fleet, cw_time_us_t counting, cw_time_us_t now)
{
    memset(fleet, 0, sizeof(*fleet));
    fleet->started_at = now;
    fleet->counted_at = now + counting;
}

void cw_fleet_size_note(cw_fleet_size_t *fleet, uint32_t nodes)
{
    if (nodes > 0) {
        fleet->stated = nodes;
    }
}

uint32_t cw_fleet_size_nodes(const cw_fleet_size_t *fleet, uint32_t counted, cw_time_us_t now)
{
    uint32_t stated = now < fleet->counted_at ? fleet->stated : 0;

    return stated > counted ? stated : counted;
}

/* Rises at once, falls by half at a time. */
static void follow(cw_fleet_size_t *fleet, uint32_t nodes, cw_time_us_t now)
{
    if (nodes < fleet->states) {
        if (now < fleet->falls_at) {
            return;
        }
        nodes = nodes > fleet->states / 2 ? nodes : fleet->states / 2;
    }
    fleet->states = nodes;
    fleet->falls_at = now + CW_MS(CW_FLEET_FALL_MS);
}

uint32_t cw_fleet_size_to_state(cw_fleet_size_t *fleet, uint32_t counted, cw_time_us_t now)
{
    if (fleet->stated == 0 && now < fleet->counted_at) {
        return 0;
    }
    follow(fleet, cw_fleet_size_nodes(fleet, counted, now), now);
    return fleet->states;
}

bool cw_fleet_size_is_reached(const cw_fleet_size_t *fleet, uint32_t in_reach, cw_time_us_t now)
{
    if (now - fleet->started_at >= CW_MS(CW_FLEET_DISCOVERY_MS)) {
        return true;
    }
    return fleet->stated > 0 && (uint64_t)in_reach * 100 >= (uint64_t)fleet->stated * CW_FLEET_REACHED_PERCENT;
}
