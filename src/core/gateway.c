/**
 * @file gateway.c
 * @brief Gateway: from a caller's request to its one final answer.
 *
 * States of a request and what leads on:
 *
 *   taken in      -> refused                    a check fails: final answer, nothing is kept
 *                 -> handed over | waiting
 *   waiting       -> handed over                the backoff is over and the route allows it
 *                 -> ended                      no route after the last try, deadline over, out of touch
 *   handed over   -> ended                      answer, refusal that is not retried, deadline, forwarder lost
 *                 -> waiting                    a retry is safe and allowed
 *   any but ended -> cancelled                  the caller hung up: no answer
 *
 * Rules:
 * - Each hand-over has a hop id of its own, never used again in this incarnation. A response counts only while its hop
 *   id is handed over and its gateway incarnation is this one; every other is dropped and counted.
 * - "Not run" refusals that pass soon are retried for every request. An unknown outcome is retried only for repeatable
 *   requests.
 * - Once a try ended unknown, the request may have run: no later refusal makes the final answer "not run".
 * - A request in flight holds exactly one place of its tenant and has exactly one timer set; both end with it.
 */
#include <string.h>

#include "cedarwinch/error.h"
#include "gateway_internal.h"

int cw_gateway_create(cw_gateway_t **gateway, const cw_gateway_options_t *options, const cw_ports_t *ports,
                      cw_relay_t *relay)
{
    cw_gateway_t *created = calloc(1, sizeof(*created));

    if (created == NULL) {
        return CW_ERROR_NO_MEMORY;
    }
    created->options = *options;
    if (created->options.clock_skew_ms == 0) {
        created->options.clock_skew_ms = CW_CLOCK_SKEW_DEFAULT_MS;
    }
    created->ports = ports;
    created->relay = relay;
    created->admission.limit = options->request_limit;
    created->random_state = options->seed ^ options->incarnation;
    *gateway = created;
    return CW_OK;
}

void cw_gateway_free(cw_gateway_t *gateway)
{
    cw_gateway_request_t *request;
    cw_gateway_request_t *next_request;
    cw_gateway_tenant_t  *tenant;
    cw_gateway_tenant_t  *next_tenant;
    cw_gateway_node_t    *node;
    cw_gateway_node_t    *next_node;

    if (gateway == NULL) {
        return;
    }
    for (request = gateway->by_caller; request != NULL; request = next_request) {
        next_request = request->by_caller.next;
        cw_gateway_request_remove(gateway, request);
    }
    tenant = gateway->tenants;
    HASH_CLEAR(hh, gateway->tenants);
    for (; tenant != NULL; tenant = next_tenant) {
        next_tenant = tenant->hh.next;
        free(tenant);
    }
    node = gateway->nodes;
    HASH_CLEAR(hh, gateway->nodes);
    for (; node != NULL; node = next_node) {
        next_node = node->hh.next;
        free(node);
    }
    cw_timer_heap_clear(&gateway->timers);
    free(gateway);
}

void cw_gateway_request(cw_gateway_t *gateway, const cw_caller_request_t *request, cw_instant_t now)
{
    cw_gateway_checked_t  checked = {0};
    cw_gateway_refusal_t  refusal;
    cw_gateway_request_t *entered;

    gateway->counters.requests++;
    refusal = cw_gateway_check(gateway, request, &checked, now);
    if (refusal.reason != CW_REASON_NONE) {
        cw_gateway_refuse(gateway, request->caller_id, checked.has_id ? checked.request_id : NULL, refusal);
        return;
    }
    if (!checked.has_id) {
        cw_request_id_make(checked.request_id, now.wall_ms, &gateway->random_state);
    }
    entered = cw_gateway_request_create(gateway, request, &checked, now);
    if (entered == NULL) {
        cw_admission_leave(&gateway->admission, &checked.tenant->share);
        refusal.reason = CW_REASON_QUEUE_FULL;
        cw_gateway_refuse(gateway, request->caller_id, checked.request_id, refusal);
        return;
    }
    cw_retry_budget_deposit(&checked.tenant->retries);
    cw_gateway_hand_over(gateway, entered, now);
}

void cw_gateway_cancel(cw_gateway_t *gateway, uint64_t caller_id, cw_instant_t now)
{
    cw_gateway_request_t *request;

    (void)now;
    HASH_FIND(by_caller, gateway->by_caller, &caller_id, sizeof(caller_id), request);
    if (request == NULL) {
        return;
    }
    if (request->node != NULL) {
        cw_gateway_send_cancel(gateway, request);
    }
    gateway->counters.by_reason[CW_REASON_CANCELLED]++;
    cw_gateway_request_remove(gateway, request);
}

/* Refusals before anything about the request was noted anywhere: the same id may be tried again. */
static bool refusal_is_retried(const Cw__ForwardResponse *response)
{
    cw_reason_t reason = cw_reason_from_text(response->reason);

    return reason == CW_REASON_STALE_ROUTE || reason == CW_REASON_MOVING || reason == CW_REASON_STOPPING ||
           response->stale_route;
}

/* Losses that another try may not meet. What the journal answers stays as it is. */
static bool loss_is_retried(cw_reason_t reason)
{
    return reason == CW_REASON_CONNECTION_LOST || reason == CW_REASON_FORWARDER_LOST || reason == CW_REASON_TIMEOUT;
}

static bool response_is_retried(cw_gateway_t *gateway, cw_gateway_request_t *request,
                                const Cw__ForwardResponse *response, cw_instant_t now)
{
    cw_reason_t reason = cw_reason_from_text(response->reason);

    if (response->outcome == CW__OUTCOME__OUTCOME_NOT_RUN) {
        return refusal_is_retried(response) && cw_gateway_retry_later(gateway, request, now);
    }
    if (response->outcome == CW__OUTCOME__OUTCOME_UNKNOWN && request->message.repeatable && loss_is_retried(reason)) {
        request->uncertain = reason;
        return cw_gateway_retry_later(gateway, request, now);
    }
    return false;
}

void cw_gateway_receive(cw_gateway_t *gateway, const Cw__Envelope *envelope, cw_instant_t now)
{
    const Cw__ForwardResponse *response = envelope->forward_response;
    cw_gateway_request_t      *request = NULL;

    if (envelope->body_case != CW__ENVELOPE__BODY_FORWARD_RESPONSE) {
        return;
    }
    if (response->gateway_incarnation == gateway->options.incarnation) {
        HASH_FIND(by_hop, gateway->by_hop, &response->id, sizeof(response->id), request);
    }
    if (request == NULL) {
        gateway->counters.late_responses++;
        return;
    }
    request->node->lost = 0;
    if (response->stale_route || strcmp(response->reason, cw_reason_text(CW_REASON_STALE_ROUTE)) == 0) {
        cw_relay_refresh(gateway->relay, now);
    }
    cw_gateway_request_detach(gateway, request);
    if (!response_is_retried(gateway, request, response, now)) {
        cw_gateway_answer(gateway, request, response);
    }
}

/* The forwarder took the request and will not answer any more. */
static void lose_forwarder(cw_gateway_t *gateway, cw_gateway_request_t *request, cw_instant_t now)
{
    cw_gateway_request_detach(gateway, request);
    if (!request->message.repeatable) {
        cw_gateway_end(gateway, request, CW_REASON_FORWARDER_LOST);
        return;
    }
    request->uncertain = CW_REASON_FORWARDER_LOST;
    if (request->lost_forwarder == request->forwarder) {
        request->avoided = request->forwarder;
    }
    request->lost_forwarder = request->forwarder;
    if (!cw_gateway_retry_later(gateway, request, now)) {
        cw_gateway_end(gateway, request, CW_REASON_FORWARDER_LOST);
    }
}

void cw_gateway_node_lost(cw_gateway_t *gateway, cw_node_id_t node, cw_instant_t now)
{
    cw_gateway_node_t *lost;

    HASH_FIND(hh, gateway->nodes, &node, sizeof(node), lost);
    if (lost == NULL) {
        return;
    }
    if (lost->waiting != NULL) {
        cw_gateway_distrust(lost, lost->waiting->forwarder, now);
    }
    while (lost->waiting != NULL) {
        lose_forwarder(gateway, lost->waiting, now);
    }
}

void cw_gateway_tick(cw_gateway_t *gateway, cw_instant_t now)
{
    cw_timer_t           *timer;
    cw_gateway_request_t *request;

    while ((timer = cw_timer_heap_take_due(&gateway->timers, now.monotonic_us)) != NULL) {
        request = CW_TIMER_OWNER(timer, cw_gateway_request_t, timer);
        if (request->node == NULL) {
            cw_gateway_hand_over(gateway, request, now);
            continue;
        }
        cw_gateway_send_cancel(gateway, request);
        cw_gateway_end(gateway, request, CW_REASON_TIMEOUT);
    }
}

cw_time_us_t cw_gateway_next_tick(const cw_gateway_t *gateway)
{
    return cw_timer_heap_next(&gateway->timers);
}

bool cw_gateway_stop(cw_gateway_t *gateway)
{
    gateway->stopping = true;
    return gateway->admission.in_use == 0;
}

void cw_gateway_read_counters(const cw_gateway_t *gateway, cw_gateway_counters_t *counters)
{
    *counters = gateway->counters;
    counters->in_flight = gateway->admission.in_use;
}
