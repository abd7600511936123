/**
 * @file slot_stages.h
 * @brief In which order zones are asked for a slot, and how long the request may wait in each.
 *
 * The own zone first, for a short wait; then the other zones of the region, for a slot that is free now. Where there
 * are servers in other regions too, the zones of the own region are asked once more for as long as crossing costs
 * (crossing_cost.h); only then the other regions, for a slot that is free now. At last the first zone once more, for as
 * long as an answer could still be in time. Within one region: as before, without the middle.
 *
 * No I/O, no clock.
 */
#ifndef CEDARWINCH_PROXY_SLOT_STAGES_H
#define CEDARWINCH_PROXY_SLOT_STAGES_H

#include <stddef.h>

#include "base/time.h"
#include "model/zone_region.h"

enum { CW_SLOT_ZONES_MAX = 10, CW_SLOT_STAGES_MAX = 2 * CW_SLOT_ZONES_MAX + 1 };

/** A zone with servers that will do. */
typedef struct cw_slot_zone {
    const char   *name; /**< borrowed */
    cw_distance_t distance;
} cw_slot_zone_t;

typedef struct cw_slot_stage {
    const char  *zone;
    cw_time_us_t wait; /**< refused if a slot is expected later; 0: unless one is free now */
} cw_slot_stage_t;

typedef struct cw_slot_waits {
    cw_time_us_t near;     /**< in the first zone, before others are asked */
    cw_time_us_t crossing; /**< what another region costs */
    cw_time_us_t longest;  /**< at last */
} cw_slot_waits_t;

/** Adds a zone that is not among them, behind those as far away; the farthest one is dropped where there are too many.
 * Returns how many there are now. */
size_t cw_slot_zones_add(cw_slot_zone_t *zones, size_t count, const cw_slot_zone_t *zone);
/** Sorts the zones by distance, the order among equals kept, and makes the stages; returns how many. */
size_t cw_slot_stages_make(cw_slot_zone_t *zones, size_t count, const cw_slot_waits_t *waits, cw_slot_stage_t *stages);

#endif
