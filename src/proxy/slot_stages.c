/**
 * @file slot_stages.c
 * @brief Stages of asking zones for a slot.
 */
#include "proxy/slot_stages.h"

/* Insertion sort: there are few zones, and it keeps the order of zones at the same distance. */
static void sort_by_distance(cw_slot_zone_t *zones, size_t count)
{
    size_t index;

    for (index = 1; index < count; index++) {
        cw_slot_zone_t zone = zones[index];
        size_t         place = index;

        while (place > 0 && zones[place - 1].distance > zone.distance) {
            zones[place] = zones[place - 1];
            place--;
        }
        zones[place] = zone;
    }
}

size_t cw_slot_zones_add(cw_slot_zone_t *zones, size_t count, const cw_slot_zone_t *zone)
{
    size_t place = count;

    if (count == CW_SLOT_ZONES_MAX) {
        if (zones[count - 1].distance <= zone->distance) {
            return count;
        }
        place = count - 1;
    }
    while (place > 0 && zones[place - 1].distance > zone->distance) {
        zones[place] = zones[place - 1];
        place--;
    }
    zones[place] = *zone;
    return count < CW_SLOT_ZONES_MAX ? count + 1 : count;
}

static size_t count_within(const cw_slot_zone_t *zones, size_t count, cw_distance_t farthest)
{
    size_t within = 0;

    while (within < count && zones[within].distance <= farthest) {
        within++;
    }
    return within;
}

size_t cw_slot_stages_make(cw_slot_zone_t *zones, size_t count, const cw_slot_waits_t *waits, cw_slot_stage_t *stages)
{
    size_t       stage_count = 0;
    size_t       near;
    size_t       index;
    cw_time_us_t crossing = waits->crossing < waits->longest ? waits->crossing : waits->longest;

    if (count == 0) {
        return 0;
    }
    sort_by_distance(zones, count);
    near = count_within(zones, count, CW_DISTANCE_REGION);
    stages[stage_count++] = (cw_slot_stage_t){zones[0].name, count == 1 ? waits->longest : waits->near};
    for (index = 1; index < near; index++) {
        stages[stage_count++] = (cw_slot_stage_t){zones[index].name, 0};
    }
    for (index = 0; near < count && crossing > waits->near && index < near; index++) {
        stages[stage_count++] = (cw_slot_stage_t){zones[index].name, crossing};
    }
    for (index = near > 0 ? near : 1; index < count; index++) {
        stages[stage_count++] = (cw_slot_stage_t){zones[index].name, 0};
    }
    stages[stage_count++] = (cw_slot_stage_t){zones[0].name, waits->longest};
    return stage_count;
}
