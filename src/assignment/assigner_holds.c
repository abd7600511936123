/**
 * @file assigner_holds.c
 * @brief Until when an owner may hold a range: each change of that end. docs/design/ends-of-holds.md lists what proves
 * that a hold has ended.
 */
#include "assignment/assigner_internal.h"

#include <string.h>

static cw_time_us_t later_of(cw_time_us_t left, cw_time_us_t right)
{
    return left > right ? left : right;
}

static uint64_t later_of_orders(uint64_t left, uint64_t right)
{
    return left > right ? left : right;
}

cw_time_us_t cw_assigner_earlier_holds_end(const cw_assigner_t *assigner)
{
    return cw_order_hold_end(assigner->led_since + assigner->settings.order_timeout, assigner->settings.hold_long);
}

cw_time_us_t cw_assigner_earlier_late_orders_end(const cw_assigner_t *assigner)
{
    return cw_order_hold_end(assigner->led_since + assigner->settings.late_order_time, assigner->settings.hold_long);
}

void cw_assigner_extend_hold(cw_range_t *range, uint64_t order, cw_time_us_t until)
{
    range->hold_until = later_of(range->hold_until, until);
    range->hold_order = order;
}

/* A later grant has its own end, which was set in addition. */
void cw_assigner_confirm_hold(cw_range_t *range, const cw_order_t *order, cw_time_us_t now)
{
    cw_time_us_t until = cw_order_hold_end(now, order->hold);

    if (range->hold_order == order->id) {
        range->hold_until = later_of(order->hold_until_before, until);
    } else {
        range->hold_until = later_of(range->hold_until, until);
    }
}

void cw_assigner_take_back_hold(cw_range_t *range, const cw_order_t *order)
{
    if (range->hold_order == order->id) {
        range->hold_until = order->hold_until_before;
    }
}

void cw_assigner_extend_former_hold(cw_range_t *range, const cw_order_t *order, cw_time_us_t now)
{
    if (strcmp(range->former.id, order->server) == 0 && order->fence <= range->former.fence) {
        range->former_until = later_of(range->former_until, cw_order_hold_end(now, order->hold));
    }
}

/* The same as cw_assigner_late_order_possible for orders of the leader before, of which this one knows nothing. */
static bool earlier_late_order_possible(const cw_assigner_t *assigner, cw_time_us_t now)
{
    return assigner->adopted_at != 0 && now < cw_assigner_earlier_late_orders_end(assigner);
}

/* The later one may hold keys by grants for the one before, which name the server only. */
static bool is_same_server(const cw_holder_t *left, const cw_holder_t *right)
{
    return cw_server_id_is_same_server(left->id, right->id);
}

/* Adds the holds that are known of one range of the record to those of the planned range that covers it. Owner and
 * former holder may be the same server: keys that are moved back before they were released. */
static void add_source(const cw_assigner_t *assigner, cw_range_t *planned, const cw_range_t *source, cw_time_us_t now)
{
    if (is_same_server(&planned->owner, &source->owner)) {
        cw_assigner_extend_hold(planned, later_of_orders(planned->hold_order, source->hold_order), source->hold_until);
        planned->unanswered_at = later_of(planned->unanswered_at, source->unanswered_at);
    }
    if (is_same_server(&planned->owner, &source->former)) {
        planned->hold_until = later_of(planned->hold_until, source->former_until);
    }
    if (planned->former.id[0] == '\0') {
        return;
    }
    if (is_same_server(&planned->former, &source->owner)) {
        planned->former_until = later_of(planned->former_until, source->hold_until);
    }
    if (is_same_server(&planned->former, &source->former)) {
        planned->former_until = later_of(planned->former_until, source->former_until);
    }
    if (cw_assigner_late_order_possible(assigner, source, now) || earlier_late_order_possible(assigner, now)) {
        planned->former_until =
            later_of(planned->former_until, cw_order_hold_end(now, assigner->settings.table_validity));
    }
}

void cw_assigner_set_planned_holds(const cw_assigner_t *assigner, cw_range_t *planned, cw_time_us_t now)
{
    const cw_range_list_t *ranges = &assigner->record.ranges;
    const cw_range_t      *source = cw_range_list_find(ranges, planned->low);

    planned->hold_until = 0;
    planned->hold_order = 0;
    planned->unanswered_at = 0;
    planned->former_until = 0;
    for (; source != NULL && source < ranges->items + ranges->count && source->low <= planned->last; source++) {
        add_source(assigner, planned, source, now);
    }
}
