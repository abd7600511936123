/**
 * @file control_grant.c
 * @brief Orders to forwarders: grants and revocations, repeated until they are reported, and what the reports mean.
 *
 * Rules:
 * - Orders are made from the applied state, so what they say is committed.
 * - An order repeats the whole of what the server has not confirmed yet. Reports confirm by range and exact fence, so
 *   a late report of an earlier order confirms nothing else.
 * - A grant that was refused for its fence gets a new one through the log.
 */
#include <stdlib.h>

#include "cedarwinch/error.h"
#include "core/control_internal.h"

enum { ORDER_GRANTS_MAX = 256 };

/** Grants of one order. */
typedef struct grant_list {
    Cw__Grant  grants[ORDER_GRANTS_MAX];
    Cw__Fence  fences[ORDER_GRANTS_MAX];
    Cw__Grant *list[ORDER_GRANTS_MAX];
    size_t     count;
} grant_list_t;

typedef struct order {
    const cw_control_t *control;
    Cw__RangeState      state; /**< of the ranges to collect */
    grant_list_t        unconfirmed;
} order_t;

static cw_fence_t effective_fence(const cw_control_t *control, const Cw__RangeInfo *range)
{
    return cw_fence_effective(range, cw_control_state_server(control->state, range->server));
}

bool cw_control_range_acked(const cw_control_t *control, const Cw__RangeInfo *range)
{
    const cw_range_track_t  *track = cw_control_range_track(control, range->id);
    const cw_server_track_t *server = cw_control_server_track(control, range->server);

    return track != NULL && server != NULL && server->holds && track->acked_by == server->incarnation &&
           cw_fence_compare(track->acked, effective_fence(control, range)) == 0;
}

static bool released_by_report(const cw_control_t *control, const Cw__RangeInfo *range)
{
    const cw_range_track_t *track = cw_control_range_track(control, range->id);

    return track != NULL && cw_fence_compare(track->released, effective_fence(control, range)) >= 0;
}

bool cw_control_range_released(const cw_control_t *control, const Cw__RangeInfo *range)
{
    const cw_server_track_t *server = cw_control_server_track(control, range->server);

    if (released_by_report(control, range)) {
        return true;
    }
    if (server == NULL) {
        return control->now.monotonic_us >= control->leading.predecessors_until_us;
    }
    return cw_control_leases_over(control, server);
}

/* ---- orders ---- */

static bool collect_unconfirmed(void *context, const Cw__RangeInfo *range)
{
    order_t      *order = context;
    grant_list_t *grants = &order->unconfirmed;
    Cw__Grant    *grant = &grants->grants[grants->count];
    Cw__Fence    *message = &grants->fences[grants->count];
    cw_fence_t    fence;
    bool          confirmed;

    if (range->state != order->state) {
        return true;
    }
    confirmed = range->state == CW__RANGE_STATE__RANGE_GRANTED ? cw_control_range_acked(order->control, range)
                                                               : released_by_report(order->control, range);
    if (confirmed) {
        return true;
    }
    fence = effective_fence(order->control, range);
    cw__fence__init(message);
    message->generation = fence.generation;
    message->index = fence.index;
    cw__grant__init(grant);
    grant->range = range->id;
    grant->service = range->service;
    grant->low = range->low;
    grant->last = range->last;
    grant->fence = message;
    grants->list[grants->count++] = grant;
    return grants->count < ORDER_GRANTS_MAX;
}

static order_t *collect_order(const cw_control_t *control, cw_server_id_t server, Cw__RangeState state)
{
    order_t *order = malloc(sizeof(*order));

    if (order == NULL) {
        return NULL;
    }
    order->control = control;
    order->state = state;
    order->unconfirmed.count = 0;
    cw_control_state_each_server_range(control->state, server, collect_unconfirmed, order);
    return order;
}

static void send_grants(cw_control_t *control, cw_server_track_t *track, order_t *order)
{
    Cw__Envelope   envelope = CW__ENVELOPE__INIT;
    Cw__GrantOrder message = CW__GRANT_ORDER__INIT;

    message.server = track->id;
    message.incarnation = track->incarnation;
    message.lease_end_us = track->confirmed_clock_us + cw_control_lease_us(control, track->service);
    message.n_grants = order->unconfirmed.count;
    message.grants = order->unconfirmed.list;
    track->orders_withheld = message.lease_end_us <= track->clock_us || message.lease_end_us > track->issued_end_us;
    if (track->orders_withheld) {
        return;
    }
    if (track->ordered_end_us == 0) {
        track->ordered_end_us = message.lease_end_us;
    }
    envelope.body_case = CW__ENVELOPE__BODY_GRANT_ORDER;
    envelope.grant_order = &message;
    cw_control_send(control, track->forwarder, &envelope);
}

static void send_revocations(cw_control_t *control, const cw_server_track_t *track, order_t *order)
{
    const Cw__ServiceConfiguration *service = cw_control_state_service(control->state, track->service);
    Cw__Envelope                    envelope = CW__ENVELOPE__INIT;
    Cw__RevokeOrder                 message = CW__REVOKE_ORDER__INIT;

    message.server = track->id;
    message.incarnation = track->incarnation;
    message.drain_ms = service == NULL ? 0 : service->drain_ms;
    message.n_grants = order->unconfirmed.count;
    message.grants = order->unconfirmed.list;
    envelope.body_case = CW__ENVELOPE__BODY_REVOKE_ORDER;
    envelope.revoke_order = &message;
    cw_control_send(control, track->forwarder, &envelope);
}

/* Sends what the server has not confirmed. Returns the number of ranges it was about. */
static size_t send_unconfirmed(cw_control_t *control, cw_server_track_t *track, Cw__RangeState state)
{
    order_t *order = collect_order(control, track->id, state);
    size_t   count;

    if (order == NULL) {
        return 1;
    }
    count = order->unconfirmed.count;
    if (count > 0 && state == CW__RANGE_STATE__RANGE_GRANTED) {
        send_grants(control, track, order);
    } else if (count > 0) {
        send_revocations(control, track, order);
    }
    free(order);
    return count;
}

/* Returns true when everything is confirmed. */
static bool order_server(cw_control_t *control, cw_server_track_t *track)
{
    size_t unconfirmed;

    if (track->incarnation == 0 || track->forwarder == 0 || track->sealed || track->fence_wanted ||
        track->confirmed_clock_us == 0) {
        return false;
    }
    unconfirmed = send_unconfirmed(control, track, CW__RANGE_STATE__RANGE_REVOKING);
    unconfirmed += send_unconfirmed(control, track, CW__RANGE_STATE__RANGE_GRANTED);
    track->orders_us = control->now.monotonic_us + CW_ORDER_RESEND_US;
    return unconfirmed == 0;
}

void cw_control_send_orders(cw_control_t *control)
{
    cw_ordered_table_t *dirty = &control->leading.dirty_servers;
    cw_server_track_t  *track;
    size_t              position = dirty->count;

    while (position > 0) {
        position--;
        track = cw_control_server_track(control, dirty->slots[position].key);
        if (track == NULL) {
            cw_ordered_table_remove(dirty, dirty->slots[position].key);
        } else if (control->now.monotonic_us >= track->orders_us && order_server(control, track)) {
            cw_ordered_table_remove(dirty, track->id);
        }
    }
}

/* ---- reports ---- */

static void note_accepted(cw_control_t *control, cw_server_track_t *server, cw_range_id_t range, const Cw__Fence *fence)
{
    cw_range_track_t *track;

    if (cw_control_state_range(control->state, range) == NULL || server->ordered_end_us == 0) {
        return; /* gone, or the answer to an order from before its grants were lost */
    }
    track = cw_control_make_range_track(control, range);
    if (track == NULL) {
        return;
    }
    track->acked = cw_fence_from_message(fence);
    track->acked_by = server->incarnation;
    if (!server->holds) {
        server->holds = true;
        server->unbroken_until_us = server->ordered_end_us;
    }
}

/* A refusal counts only against the fence in force; one of an earlier order is answered by the next order. */
static void note_refused(cw_control_t *control, const cw_server_track_t *server, cw_range_id_t id,
                         const Cw__Fence *highest)
{
    const Cw__RangeInfo *range = cw_control_state_range(control->state, id);
    cw_range_track_t    *track;

    if (range == NULL || range->server != server->id || range->state != CW__RANGE_STATE__RANGE_GRANTED) {
        return;
    }
    track = cw_control_make_range_track(control, id);
    if (track == NULL) {
        return;
    }
    track->acked = (cw_fence_t){0, 0};
    if (cw_fence_compare(cw_fence_from_message(highest), effective_fence(control, range)) >= 0) {
        track->refence = true;
        cw_control_mark(control, &control->leading.dirty_services, range->service);
    }
}

void cw_control_receive_grant_report(cw_control_t *control, const Cw__GrantReport *report)
{
    cw_server_track_t *server = cw_control_server_track(control, report->server);
    size_t             position;

    if (!control->leading.active || server == NULL || report->incarnation != server->incarnation ||
        report->n_accepted_fences != report->n_accepted) {
        return;
    }
    for (position = 0; position < report->n_accepted; position++) {
        note_accepted(control, server, report->accepted[position], report->accepted_fences[position]);
    }
    for (position = 0; position < report->n_refused; position++) {
        note_refused(control, server, report->refused[position], report->highest);
    }
    cw_control_mark(control, &control->leading.dirty_servers, server->id);
}

void cw_control_receive_revoke_report(cw_control_t *control, const Cw__RevokeReport *report)
{
    cw_server_track_t   *server = cw_control_server_track(control, report->server);
    const Cw__RangeInfo *range;
    cw_range_track_t    *track;
    cw_fence_t           fence;
    size_t               position;

    if (!control->leading.active || server == NULL || report->n_fences != report->n_released) {
        return;
    }
    for (position = 0; position < report->n_released; position++) {
        range = cw_control_state_range(control->state, report->released[position]);
        fence = cw_fence_from_message(report->fences[position]);
        if (range == NULL || range->server != server->id) {
            continue;
        }
        track = cw_control_make_range_track(control, range->id);
        if (track != NULL && cw_fence_compare(fence, track->released) > 0) {
            track->released = fence;
            cw_control_mark(control, &control->leading.dirty_services, range->service);
            cw_control_mark(control, &control->leading.changed_servers, server->id);
        }
    }
}
