/**
 * @file assigner_holds.c
 * @brief Until when an owner may hold a range: each change of that end. docs/design/ends-of-holds.md lists what proves
 * that a hold has ended.
 */
#include "assignment/assigner_internal.h"

void cw_assigner_extend_hold(cw_range_t *range, uint64_t order, cw_time_us_t until)
{
    range->hold_until = until > range->hold_until ? until : range->hold_until;
    range->hold_order = order;
}

void cw_assigner_take_back_hold(cw_range_t *range, const cw_order_t *order)
{
    if (range->hold_order == order->id) {
        range->hold_until = order->hold_until_before;
    }
}
