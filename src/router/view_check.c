/**
 * @file view_check.c
 * @brief For how long the content has differed.
 */
#include "router/view_check.h"

bool cw_view_check_note(cw_view_check_t *check, bool is_equal, const cw_view_check_delays_t *patience, cw_time_us_t now)
{
    if (is_equal) {
        check->unequal_since = 0;
        return false;
    }
    if (check->unequal_since == 0) {
        check->unequal_since = now;
    }
    if (now - check->unequal_since < patience->first ||
        (check->asked_at != 0 && now - check->asked_at < patience->again)) {
        return false;
    }
    check->asked_at = now;
    return true;
}
