/**
 * @file slot_stages.h
 * @brief The order in which a request asks zones for a slot, and how long it may wait in each zone.
 *
 * The request asks its own zone first, with a short wait; then the other zones of the region, for a slot that is free
 * now. Where other regions have servers too, the zones of the own region are asked again, with a wait as long as
 * crossing the region's border costs (crossing_cost.h); only then the other regions are asked, for a slot that is free
 * now. At last the first zone is asked again, with a wait as long as an answer could still be in time. Where all
 * servers are in one region, the steps for other regions are left out.
 *
 * No I/O, no clock.
 */
#ifndef CEDARWINCH_PROXY_SLOT_STAGES_H
#define CEDARWINCH_PROXY_SLOT_STAGES_H

#include <stddef.h>

#include "base/time.h"
#include "model/zone_region.h"

/** Most zones that are asked, and most stages made of them: each zone twice at most, and the first one again. */
enum { CW_SLOT_ZONES_MAX = 10, CW_SLOT_STAGES_MAX = 2 * CW_SLOT_ZONES_MAX + 1 };

/** A zone that has usable servers. */
typedef struct cw_slot_zone {
    const char   *name; /**< borrowed string */
    cw_distance_t distance;
} cw_slot_zone_t;

/** One step of asking: a zone, and the longest wait accepted there. */
typedef struct cw_slot_stage {
    const char *zone;
    /** The zone refuses if it expects a slot later than this; 0: only a slot that is free now is accepted. */
    cw_time_us_t wait;
} cw_slot_stage_t;

/** Longest waits from which the stages are made. */
typedef struct cw_slot_waits {
    cw_time_us_t near;     /**< in the first zone, before other zones are asked */
    cw_time_us_t crossing; /**< cost of sending the request to another region, as time */
    cw_time_us_t longest;  /**< in the last stage: the remaining time of the request */
} cw_slot_waits_t;

/** Inserts a zone that is not in the array yet, after the zones at the same distance. If the array is full, the
 * farthest zone is dropped. Returns the new count. */
size_t cw_slot_zones_add(cw_slot_zone_t *zones, size_t count, const cw_slot_zone_t *zone);
/** Sorts the zones by distance, keeping the order of zones at the same distance, and writes the stages. Returns the
 * number of stages. */
size_t cw_slot_stages_make(cw_slot_zone_t *zones, size_t count, const cw_slot_waits_t *waits, cw_slot_stage_t *stages);

#endif
