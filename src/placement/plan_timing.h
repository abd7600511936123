/**
 * @file plan_timing.h
 * @brief When a service's keys are first assigned, and when a server list that lacks owners is trusted.
 *
 * Rules:
 *  - The first plan is made when the number of servers has not changed for a heartbeat plus CW_FIRST_PLAN_STABLE_MS,
 *    and at the latest CW_FIRST_PLAN_WAIT_S after the first server was listed.
 *  - A list that lacks more than CW_MISSING_PERCENT of the owners is not trusted for a grace time, since an outage of
 *    the store may have removed their entries.
 *
 * No I/O, no clock.
 */
#ifndef CEDARWINCH_PLACEMENT_PLAN_TIMING_H
#define CEDARWINCH_PLACEMENT_PLAN_TIMING_H

#include <stdbool.h>
#include <stddef.h>

#include "base/time.h"

enum {
    CW_FIRST_PLAN_STABLE_MS = 500, /**< in addition to a heartbeat */
    CW_FIRST_PLAN_WAIT_S = 4,      /**< counted from the first listed server */
    CW_MISSING_PERCENT = 40        /**< a larger share of the owners is unlikely to have ended at the same time */
};

/** Timing state of one service; initially all zeros. */
typedef struct cw_plan_timing {
    cw_time_us_t first_server_at;      /**< since when there are servers; 0: there have been none */
    size_t       servers;              /**< number of servers at the last call */
    cw_time_us_t servers_since;        /**< since when there are that many */
    cw_time_us_t owners_missing_since; /**< since when the list lacks too many owners; 0: it does not */
} cw_plan_timing_t;

/** Whether the first plan is due. servers: number of those that can get keys; heartbeat: interval at which servers
 * write their entries. */
bool cw_plan_timing_is_first_due(cw_plan_timing_t *timing, size_t servers, cw_time_us_t heartbeat, cw_time_us_t now);
/** Whether a list that lacks this share of the owners is still not trusted. grace: for how long it is not. */
bool cw_plan_timing_doubts_list(cw_plan_timing_t *timing, double missing_share, cw_time_us_t grace, cw_time_us_t now);

#endif
