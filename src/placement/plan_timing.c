/**
 * @file plan_timing.c
 * @brief Timing of the first plan and of trust in a list that lacks owners; the rules are in plan_timing.h.
 */
#include "placement/plan_timing.h"

bool cw_plan_timing_is_first_due(cw_plan_timing_t *timing, size_t servers, cw_time_us_t heartbeat, cw_time_us_t now)
{
    if (servers > 0 && timing->first_server_at == 0) {
        timing->first_server_at = now;
    }
    if (servers != timing->servers) {
        timing->servers = servers;
        timing->servers_since = now;
    }
    return servers > 0 && (now - timing->servers_since >= heartbeat + CW_MS(CW_FIRST_PLAN_STABLE_MS) ||
                           now - timing->first_server_at >= CW_SECONDS(CW_FIRST_PLAN_WAIT_S));
}

bool cw_plan_timing_doubts_list(cw_plan_timing_t *timing, double missing_share, cw_time_us_t grace, cw_time_us_t now)
{
    if (missing_share * 100 <= CW_MISSING_PERCENT) {
        timing->owners_missing_since = 0;
        return false;
    }
    if (timing->owners_missing_since == 0) {
        timing->owners_missing_since = now;
    }
    return now - timing->owners_missing_since < grace;
}
