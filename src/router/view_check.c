/**
 * @file view_check.c
 * @brief Measures for how long the content has differed from the leader's.
 */
#include "router/view_check.h"

bool cw_view_check_record(cw_view_check_t *check, bool is_equal, const cw_view_check_delays_t *delays, cw_time_us_t now)
{
    if (is_equal) {
        check->unequal_since = 0;
        return false;
    }
    if (check->unequal_since == 0) {
        check->unequal_since = now;
    }
    if (now - check->unequal_since < delays->first || (check->asked_at != 0 && now - check->asked_at < delays->again)) {
        return false;
    }
    check->asked_at = now;
    return true;
}
