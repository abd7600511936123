/**
 * @file order.c
 * @brief Ends of the holds that orders give.
 */
#include "assignment/order.h"

enum { CLOCK_DRIFT_PERCENT = 2, SLACK_MS = 100 };

cw_time_us_t cw_order_hold_end(cw_time_us_t arrived_by, cw_time_us_t hold)
{
    return arrived_by + hold * (100 + CLOCK_DRIFT_PERCENT) / 100 + CW_MS(SLACK_MS);
}
