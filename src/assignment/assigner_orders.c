/**
 * @file assigner_orders.c
 * @brief Sends grants, renewals and releases when they are due, and handles their results.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "assignment/assigner_internal.h"
#include "base/memory.h"

enum {
    RESEND_MS = 150,          /* time until an order is sent again that got no answer or was refused */
    RESEND_NOT_SENT_MS = 250, /* the same for a grant that was not sent or was fenced, or whose owner has ended */
    INITIAL_ORDER_CAPACITY = 32,
    ORDERS_TO_UNANSWERING_MAX = 256, /* of ORDERS_IN_FLIGHT_MAX */
    ORDERS_IN_FLIGHT_MAX = 512, /* the results of this many orders are handled well within the timeout of an order */
    /* A server that stops in this time takes the grant late; a longer wait for a connection is followed by another
     * probe.
     */
    FIRST_GRANT_LEAVES_WITHIN_MS = 50,
    ANSWER_EXPECTED_WITHIN_MS = 50, /* a server in use answers a probe well within this time */
    FAILING_MS = 1000               /* a range counts as failing once its orders have failed for longer than this */
};

static bool may_restart_with_its_name(const cw_range_t *range)
{
    return cw_server_id_start_ms(range->owner.id) != 0;
}

/* ---- sending ---- */

bool cw_assigner_may_send_unanswered(const cw_assigner_t *assigner)
{
    return assigner->unanswering_order_count < ORDERS_TO_UNANSWERING_MAX;
}

static cw_order_t *add_order(cw_assigner_t *assigner)
{
    if (assigner->order_count == assigner->order_capacity) {
        assigner->order_capacity =
            assigner->order_capacity == 0 ? INITIAL_ORDER_CAPACITY : 2 * assigner->order_capacity;
        assigner->orders = cw_memory_resize(assigner->orders, assigner->order_capacity * sizeof(*assigner->orders));
    }
    memset(&assigner->orders[assigner->order_count], 0, sizeof(*assigner->orders));
    return &assigner->orders[assigner->order_count++];
}

static cw_order_t *begin_order(cw_assigner_t *assigner, cw_order_kind_t kind, const cw_holder_t *holder,
                               cw_time_us_t now)
{
    cw_order_t *order = add_order(assigner);

    order->id = ++assigner->last_order;
    order->kind = kind;
    order->is_to_unanswering = !cw_server_contacts_answers(assigner->contacts, holder->id);
    assigner->unanswering_order_count += order->is_to_unanswering ? 1 : 0;
    memcpy(order->server, holder->id, sizeof(order->server));
    memcpy(order->address, holder->address, sizeof(order->address));
    order->sent_at = now;
    order->left_at = now;
    order->leave_by = now + assigner->settings.order_timeout;
    order->timeout = kind == CW_ORDER_RELEASE ? assigner->settings.release_timeout : assigner->settings.order_timeout;
    return order;
}

static void pass_order(cw_assigner_t *assigner, const cw_order_t *order)
{
    cw_order_t copy = *order; /* the port may report the result before it returns, which changes the array */

    assigner->ports.send_order(assigner->ports.context, &copy);
}

void cw_assigner_order_leaves(cw_assigner_t *assigner, uint64_t id, cw_time_us_t now)
{
    size_t index = assigner->order_count;

    while (index > 0 && assigner->orders[index - 1].id != id) {
        index--;
    }
    if (index > 0) { /* otherwise its result has been handled */
        assigner->orders[index - 1].left_at = now;
    }
}

void cw_assigner_send_probe(cw_assigner_t *assigner, const cw_holder_t *server, cw_time_us_t now)
{
    cw_order_t *order = begin_order(assigner, CW_ORDER_PROBE, server, now);

    order->low = 1; /* above the last key: no keys */
    order->fresh = order->is_to_unanswering;
    pass_order(assigner, order);
}

/* Begins an order about the range's keys, which the caller completes and passes. */
static cw_order_t *begin_range_order(cw_assigner_t *assigner, cw_range_t *range, cw_order_kind_t kind,
                                     const cw_holder_t *holder, cw_time_us_t now)
{
    cw_order_t *order = begin_order(assigner, kind, holder, now);

    order->low = range->low;
    order->last = range->last;
    order->fence = range->owner.fence; /* in a release, too: it is above the fence that the former holder received */
    range->orders++;
    return order;
}

/* ---- intervals and holds ---- */

/* Interval between the renewals of a range. It increases with the number of ranges, so that all renewals together stay
 * within orders_per_s. */
static cw_time_us_t renewal_interval(const cw_assigner_t *assigner)
{
    const cw_assigner_settings_t *settings = &assigner->settings;
    cw_time_us_t                  longest = settings->max_hold - (settings->hold - settings->renew_every);
    cw_time_us_t                  rate_limited;

    if (assigner->orders_per_s <= 0) {
        return settings->renew_every;
    }
    rate_limited = (cw_time_us_t)((double)assigner->record.ranges.count / assigner->orders_per_s * 1e6);
    rate_limited = rate_limited > longest ? longest : rate_limited;
    return rate_limited > settings->renew_every ? rate_limited : settings->renew_every;
}

/* Hold of the next grant. It is lengthened with the renewal interval, so that after a failed renewal as much of the
 * hold is left as with few ranges. */
static cw_time_us_t grant_hold(const cw_assigner_t *assigner, bool long_hold)
{
    const cw_assigner_settings_t *settings = &assigner->settings;
    cw_time_us_t                  hold = settings->hold + renewal_interval(assigner) - settings->renew_every;

    return long_hold && settings->hold_long > hold ? settings->hold_long : hold;
}

void cw_assigner_set_renewal_rate(cw_assigner_t *assigner, double orders_per_s)
{
    assigner->orders_per_s = orders_per_s;
}

/* ---- grants ---- */

void cw_assigner_send_grant(cw_assigner_t *assigner, cw_range_t *range, bool is_fresh, cw_time_us_t now)
{
    cw_order_t *order = begin_range_order(assigner, range, CW_ORDER_GRANT, &range->owner, now);

    order->hold = grant_hold(assigner, assigner->long_hold);
    order->hold_until_before = range->hold_until;
    order->fresh = is_fresh;
    order->connected_by = may_restart_with_its_name(range) && range->fence_used ? range->confirmed_at : 0;
    memcpy(order->handover, range->handover, sizeof(order->handover));
    if (range->confirmed_at == 0) {
        order->leave_by = now + CW_MS(FIRST_GRANT_LEAVES_WITHIN_MS);
    }
    cw_assigner_extend_hold(range, order->id, cw_order_hold_end(now + assigner->settings.order_timeout, order->hold));
    range->next_order = now + renewal_interval(assigner);
    pass_order(assigner, order);
}

void cw_assigner_send_release(cw_assigner_t *assigner, const cw_holder_t *holder, uint32_t low, uint32_t last,
                              uint64_t fence, cw_time_us_t now)
{
    cw_order_t *order = begin_order(assigner, CW_ORDER_RELEASE, holder, now);

    order->low = low;
    order->last = last;
    order->fence = fence;
    pass_order(assigner, order);
}

static void send_awaited_release(cw_assigner_t *assigner, cw_range_t *range, cw_time_us_t now)
{
    cw_order_t *order = begin_range_order(assigner, range, CW_ORDER_RELEASE, &range->former, now);

    order->fresh = range->failing_since != 0;
    range->next_order = now + CW_MS(RESEND_MS);
    pass_order(assigner, order);
}

/* ---- the order that is due for a range ---- */

static void finish_release(cw_assigner_t *assigner, cw_range_t *range, const char *why, cw_time_us_t now)
{
    cw_assigner_log(assigner, "former holder let go", range, why);
    memset(&range->former, 0, sizeof(range->former));
    if (assigner->stale_since == 0) {
        assigner->stale_since = now;
    }
    range->phase = CW_RANGE_GRANTING;
    range->failing_since = 0;
    range->next_order = now;
    range->orders = 0; /* the results of releases in flight change nothing any more */
}

static void advance_release(cw_assigner_t *assigner, cw_range_t *range, cw_time_us_t now)
{
    if (now >= range->former_until) {
        cw_assigner_add_notice(assigner, range);
        finish_release(assigner, range, "its hold ran out", now);
    } else if (range->orders == 0 && now >= range->next_order &&
               (cw_server_contacts_answers(assigner->contacts, range->former.id) ||
                cw_assigner_may_send_unanswered(assigner))) {
        send_awaited_release(assigner, range, now);
    }
}

/* An owner whose incarnation has ended is not renewed, so that its hold can expire. */
static bool may_renew_owner(const cw_server_list_t *servers, const cw_range_t *range)
{
    return !range->owner_ended && cw_server_list_later_incarnation(servers, range->owner.id) == NULL;
}

/* Whether the plan that is being written gives keys of the range to another server and its present owner must get no
 * grant. An owner that holds the range is renewed until the write is done, which may take as long as the store is down.
 * An owner without a confirmed grant must not get one that the plan does not know of, and for an owner that cannot be
 * reached the hold is left to expire. */
static bool is_moved_by_plan(const cw_assigner_t *assigner, const cw_range_t *range)
{
    const cw_range_list_t *plan = &assigner->plan.ranges;
    const cw_range_t      *planned;

    if (!assigner->writing || assigner->adopting || (range->phase == CW_RANGE_HELD && range->failing_since == 0)) {
        return false;
    }
    planned = cw_range_list_find(plan, range->low);
    for (; planned != NULL && planned < plan->items + plan->count && planned->low <= range->last; planned++) {
        if (strcmp(planned->owner.id, range->owner.id) != 0) {
            return true;
        }
    }
    return false;
}

bool cw_assigner_may_grant(const cw_assigner_t *assigner, const cw_range_t *range)
{
    return range->phase != CW_RANGE_RELEASING && range->orders == 0 && !range->owner_ended &&
           !is_moved_by_plan(assigner, range);
}

/* Whether the owner is to be granted the range now. */
static bool is_grant_due(const cw_assigner_t *assigner, const cw_range_t *range, const cw_server_list_t *servers,
                         cw_time_us_t now)
{
    return now >= range->next_order && may_renew_owner(servers, range) && cw_assigner_may_grant(assigner, range);
}

static void send_due_order(cw_assigner_t *assigner, cw_range_t *range, const cw_server_list_t *servers,
                           cw_time_us_t now)
{
    if (range->phase == CW_RANGE_RELEASING) {
        advance_release(assigner, range, now);
    }
    if (!is_grant_due(assigner, range, servers, now)) {
        range->awaits_answer = false;
    } else if (cw_assigner_needs_probe(assigner, range)) {
        cw_assigner_await_answer(assigner, range, now);
    } else if (!range->needs_fence) {
        cw_assigner_send_grant(assigner, range, range->failing_since != 0, now);
    }
}

/* Whether a server that has just been probed for the first time has not answered yet. */
static bool is_answer_expected(const cw_server_contact_t *contact, cw_time_us_t now)
{
    return contact != NULL && contact->probes_unanswered == 1 &&
           now - contact->probed_at < CW_MS(ANSWER_EXPECTED_WITHIN_MS);
}

/* Plans new fences for ranges whose owners may have restarted under their former name (server_incarnation.h). One write
 * covers all of them, so it waits a little for answers. An owner that does not answer gets no other fence: each would
 * be one more grant that it may carry out late. */
static void plan_new_fences(cw_assigner_t *assigner, cw_time_us_t now)
{
    bool   any = false;
    bool   is_expected = false;
    size_t index;

    for (index = 0; index < assigner->record.ranges.count && !assigner->writing; index++) {
        const cw_range_t          *range = &assigner->record.ranges.items[index];
        const cw_server_contact_t *contact;

        if (!range->needs_fence || range->phase == CW_RANGE_RELEASING || range->owner_ended) {
            continue;
        }
        contact = cw_server_contacts_find(assigner->contacts, range->owner.id);
        is_expected = is_expected || is_answer_expected(contact, now);
        any = any || cw_server_contacts_answers(assigner->contacts, range->owner.id);
    }
    assigner->fences_ready_at = any && assigner->fences_ready_at == 0 ? now : assigner->fences_ready_at;
    if (!any || (is_expected && now - assigner->fences_ready_at < CW_MS(ANSWER_EXPECTED_WITHIN_MS))) {
        return;
    }
    assigner->fences_ready_at = 0;
    for (index = 0; any && index < assigner->record.ranges.count; index++) {
        const cw_range_t *range = &assigner->record.ranges.items[index];

        if (range->needs_fence && range->phase != CW_RANGE_RELEASING && !range->owner_ended &&
            cw_server_contacts_answers(assigner->contacts, range->owner.id)) {
            cw_assigner_plan_new_fence(assigner, range);
        }
    }
    if (any) {
        cw_assigner_plan_write(assigner, now);
    }
}

/* Begins at the range where the last tick reached the limit of orders in flight, so that every range gets its orders
 * even if many are due at once. */
void cw_assigner_send_orders(cw_assigner_t *assigner, const cw_server_list_t *servers, bool long_hold, cw_time_us_t now)
{
    size_t count = assigner->record.ranges.count;
    size_t first = count == 0 ? 0 : assigner->next_range % count;
    bool   is_full = false;
    bool   any_needs_fence = false;
    bool   was_long_hold = assigner->long_hold;
    size_t turn;

    assigner->long_hold = long_hold;
    for (turn = 0; turn < count; turn++) {
        size_t      index = (first + turn) % count;
        cw_range_t *range = &assigner->record.ranges.items[index];

        if (long_hold && !was_long_hold && range->phase == CW_RANGE_HELD) {
            range->next_order = now; /* grants the long hold while the leader still has authority */
        }
        any_needs_fence = any_needs_fence || range->needs_fence;
        if (!is_full && assigner->order_count >= ORDERS_IN_FLIGHT_MAX) {
            is_full = true;
            assigner->next_range = index;
        }
        if (!is_full) {
            send_due_order(assigner, range, servers, now);
        }
    }
    if (any_needs_fence) {
        plan_new_fences(assigner, now);
    }
}

/* ---- results ---- */

static bool remove_order(cw_assigner_t *assigner, uint64_t id, cw_order_t *order)
{
    size_t index;

    for (index = 0; index < assigner->order_count; index++) {
        if (assigner->orders[index].id == id) {
            *order = assigner->orders[index];
            assigner->unanswering_order_count -= order->is_to_unanswering ? 1 : 0;
            assigner->orders[index] = assigner->orders[--assigner->order_count];
            return true;
        }
    }
    return false;
}

static void handle_confirmed_grant(cw_assigner_t *assigner, cw_range_t *range, const cw_order_t *order,
                                   cw_time_us_t now)
{
    bool first = range->phase == CW_RANGE_GRANTING;

    cw_assigner_confirm_hold(range, order, now);
    range->failing_since = 0;
    range->confirmed_at = order->left_at;
    range->phase = CW_RANGE_HELD;
    range->fence_used = true;
    range->next_order = order->sent_at + renewal_interval(assigner);
    if (first) {
        cw_assigner_log(assigner, "granted", range, range->handover[0] == '\0' ? "without handover" : "with handover");
        assigner->ports.on_change(assigner->ports.context);
    }
}

static void handle_failed_grant(cw_assigner_t *assigner, cw_range_t *range, const cw_order_t *order,
                                cw_order_result_t result, cw_time_us_t now)
{
    if (result == CW_ORDER_UNANSWERED) {
        cw_assigner_extend_hold(range, range->hold_order, cw_order_hold_end(now, order->hold));
        range->unanswered_at = now;
    } else if (result == CW_ORDER_NOT_SENT) {
        cw_assigner_take_back_hold(range, order);
    }
    range->fence_used = range->fence_used || result == CW_ORDER_UNANSWERED;
    range->needs_fence = range->fence_used && may_restart_with_its_name(range);
    if (range->failing_since == 0) {
        range->failing_since = now;
        cw_assigner_log(assigner, "grant not confirmed", range,
                        result == CW_ORDER_NOT_SENT ? "no connection" : "no answer");
    }
    range->next_order = now + CW_MS(result == CW_ORDER_NOT_SENT ? RESEND_NOT_SENT_MS : RESEND_MS);
}

static void handle_grant_result(cw_assigner_t *assigner, cw_range_t *range, const cw_order_t *order,
                                cw_order_result_t result, cw_time_us_t now)
{
    if (range->phase == CW_RANGE_RELEASING) {
        return;
    }
    switch (result) {
    case CW_ORDER_DONE:
        handle_confirmed_grant(assigner, range, order, now);
        break;
    case CW_ORDER_FENCED:
        cw_assigner_log(assigner, "grant fenced", range, "a higher fence was seen");
        range->next_order = now + CW_MS(RESEND_NOT_SENT_MS);
        if (!assigner->writing) {
            cw_assigner_plan_new_fence(assigner, range);
            cw_assigner_plan_write(assigner, now);
        }
        break;
    case CW_ORDER_OTHER_INCARNATION:
        range->owner_ended = true;
        cw_assigner_log(assigner, "owner ended", range, "another incarnation answers");
        range->next_order = now + CW_MS(RESEND_NOT_SENT_MS);
        break;
    case CW_ORDER_OTHER_CONNECTION:
        cw_assigner_take_back_hold(range, order);
        range->needs_fence = true;
        range->next_order = now;
        cw_assigner_log(assigner, "new fence is due", range, "no connection from before");
        break;
    case CW_ORDER_WITHDRAWN:
        cw_assigner_take_back_hold(range, order);
        range->next_order = now;
        break;
    case CW_ORDER_REFUSED:
    case CW_ORDER_NOT_SENT:
    case CW_ORDER_UNANSWERED:
        handle_failed_grant(assigner, range, order, result, now);
        break;
    }
}

static void handle_release_result(cw_assigner_t *assigner, cw_range_t *range, cw_order_result_t result,
                                  const char *handover, cw_time_us_t now)
{
    if (range->phase != CW_RANGE_RELEASING) {
        return;
    }
    if (result == CW_ORDER_OTHER_INCARNATION) {
        finish_release(assigner, range, "another incarnation answers", now);
        return;
    }
    if (result == CW_ORDER_WITHDRAWN) {
        range->next_order = now;
        return;
    }
    if (result != CW_ORDER_DONE) {
        range->failing_since = now;
        range->next_order = now + CW_MS(RESEND_MS);
        return;
    }
    snprintf(range->handover, sizeof(range->handover), "%s", handover == NULL ? "" : handover);
    finish_release(assigner, range, "released", now);
}

/* Whether the result of the order concerns the range. */
static bool concerns(const cw_order_t *order, const cw_range_t *range)
{
    return range->low >= order->low && range->last <= order->last && range->owner.fence == order->fence;
}

/* Whether the order is one of those that the range counts as in flight. */
static bool is_awaited(const cw_range_t *range, const cw_order_t *order)
{
    return (order->kind == CW_ORDER_RELEASE) == (range->phase == CW_RANGE_RELEASING);
}

uint32_t cw_assigner_orders_in_flight(const cw_assigner_t *assigner, const cw_range_t *range)
{
    uint32_t count = 0;
    size_t   index;

    for (index = 0; index < assigner->order_count; index++) {
        const cw_order_t *order = &assigner->orders[index];

        count += concerns(order, range) && is_awaited(range, order) ? 1 : 0;
    }
    return count;
}

static void record_contact(cw_assigner_t *assigner, const cw_order_t *order, cw_order_result_t result, cw_time_us_t now)
{
    cw_server_contacts_record(assigner->contacts, order, result, now);
    if (result == CW_ORDER_UNANSWERED && assigner->ports.log_unanswered != NULL) {
        assigner->ports.log_unanswered(assigner->ports.context, order,
                                       cw_server_contacts_find(assigner->contacts, order->server), now);
    }
}

void cw_assigner_order_done(cw_assigner_t *assigner, uint64_t id, cw_order_result_t result, const char *handover,
                            cw_time_us_t now)
{
    cw_order_t        order;
    const cw_range_t *first;
    size_t            index;

    assigner->now = now;
    if (!remove_order(assigner, id, &order)) {
        return;
    }
    record_contact(assigner, &order, result, now);
    if (order.kind == CW_ORDER_PROBE) {
        cw_assigner_probe_done(assigner, &order, result, now);
        return;
    }
    if (order.kind == CW_ORDER_RELEASE && result == CW_ORDER_DONE) {
        cw_assigner_notice_answered(assigner, &order);
    }
    /* The ranges are sorted, so those before the order's first key are skipped. */
    first = cw_range_list_find(&assigner->record.ranges, order.low);
    index = first == NULL ? assigner->record.ranges.count : (size_t)(first - assigner->record.ranges.items);
    for (; index < assigner->record.ranges.count; index++) {
        cw_range_t *range = &assigner->record.ranges.items[index];

        if (range->low > order.last) {
            break;
        }
        if (order.kind == CW_ORDER_GRANT && (result == CW_ORDER_DONE || result == CW_ORDER_UNANSWERED)) {
            cw_assigner_extend_former_hold(range, &order, now);
        }
        if (!concerns(&order, range)) {
            continue;
        }
        if (range->orders > 0 && is_awaited(range, &order)) {
            range->orders--;
        }
        if (order.kind == CW_ORDER_GRANT) {
            handle_grant_result(assigner, range, &order, result, now);
        } else {
            handle_release_result(assigner, range, result, handover, now);
        }
    }
}

/* ---- queries of the planner ---- */

enum { STALE_MS = 1000 };

bool cw_assigner_is_stale(const cw_assigner_t *assigner, cw_time_us_t now)
{
    if (assigner->record.is_waiting && now >= assigner->first_grant_at) {
        return true;
    }
    return assigner->stale_since != 0 && now - assigner->stale_since > CW_MS(STALE_MS);
}

bool cw_assigner_is_settled(const cw_assigner_t *assigner, const cw_range_t *range, cw_time_us_t now)
{
    return range->phase == CW_RANGE_HELD && range->failing_since == 0 &&
           !cw_assigner_late_order_possible(assigner, range, now);
}

double cw_assigner_failing_share(const cw_assigner_t *assigner, cw_time_us_t now)
{
    size_t failing = 0;
    size_t index;

    for (index = 0; index < assigner->record.ranges.count; index++) {
        const cw_range_t *range = &assigner->record.ranges.items[index];

        if (range->failing_since != 0 && now - range->failing_since > CW_MS(FAILING_MS)) {
            failing++;
        }
    }
    return assigner->record.ranges.count == 0 ? 0 : (double)failing / (double)assigner->record.ranges.count;
}
