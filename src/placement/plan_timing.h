/**
 * @file plan_timing.h
 * @brief When a service's keys are first assigned, and when a list that lacks owners is believed.
 *
 * Rules:
 *  - The first plan waits until no server has come or gone for a heartbeat and CW_FIRST_PLAN_CALM_MS, and not for
 * longer than CW_FIRST_PLAN_WAIT_S from the first server.
 *  - A list that lacks more than CW_MISSING_PERCENT of the owners is doubted for a time: an outage may have emptied it.
 *
 * No I/O, no clock.
 */
#ifndef CEDARWINCH_PLACEMENT_PLAN_TIMING_H
#define CEDARWINCH_PLACEMENT_PLAN_TIMING_H

#include <stdbool.h>
#include <stddef.h>

#include "base/time.h"

enum {
    CW_FIRST_PLAN_CALM_MS = 500, /**< beyond a heartbeat; chosen, not measured */
    CW_FIRST_PLAN_WAIT_S = 4,    /**< chosen, not measured */
    CW_MISSING_PERCENT = 40      /**< more owners than these are not all gone at once; chosen, not measured */
};

/** All zeros: nothing is known of the service yet. */
typedef struct cw_plan_timing {
    cw_time_us_t first_server_at;      /**< since when there are servers; 0: there have been none */
    size_t       servers;              /**< when last asked */
    cw_time_us_t servers_since;        /**< when there first were that many */
    cw_time_us_t owners_missing_since; /**< most of the owners are not in the list; 0: no */
} cw_plan_timing_t;

/** Is the first plan due, with so many servers that can be given keys? heartbeat: of servers' entries. */
bool cw_plan_timing_is_first_due(cw_plan_timing_t *timing, size_t servers, cw_time_us_t heartbeat, cw_time_us_t now);
/** Is a list that lacks this share of the owners doubted still? grace: for how long it is. */
bool cw_plan_timing_doubts_list(cw_plan_timing_t *timing, double missing_share, cw_time_us_t grace, cw_time_us_t now);

#endif
