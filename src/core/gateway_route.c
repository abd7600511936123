/**
 * @file gateway_route.c
 * @brief Hand-over of a request to the forwarder of its key's owner, and retries.
 *
 * A try is a look at the route, followed by a hand-over where the route allows it. Retries are bounded by the caller's
 * deadline, by TRIES_MAX and by the tenant's retry budget.
 *
 * A non-repeatable request that is lost with its forwarder ends unknown, so after such a loss none goes to that
 * incarnation of the node until it answers something again. Repeatable requests still go there and show whether it is
 * back; in their absence one non-repeatable request each PROBE_INTERVAL_US does. The others are refused as not run.
 */
#include "gateway_internal.h"

enum {
    TRIES_MAX = 3,
    BACKOFF_MIN_US = 20 * CW_US_PER_MS,
    BACKOFF_SPREAD_US = 60 * CW_US_PER_MS,
    RETURN_MARGIN_MAX_US = 5 * CW_US_PER_MS,
    RETURN_MARGIN_PART = 8,
    PROBE_INTERVAL_US = 100 * CW_US_PER_MS
};

/** Where a request has to go now. */
typedef struct cw_gateway_route {
    const Cw__RangeInfo  *range;
    const Cw__ServerInfo *server;
    cw_gateway_node_t    *node;
} cw_gateway_route_t;

static cw_reason_t find_route(const cw_control_state_t *routes, const cw_gateway_request_t *request,
                              cw_gateway_route_t *route)
{
    route->range = cw_control_state_find_range(routes, request->message.service, request->message.key_hash);
    if (route->range == NULL || route->range->state == CW__RANGE_STATE__RANGE_UNASSIGNED) {
        return CW_REASON_NO_OWNER;
    }
    if (route->range->state != CW__RANGE_STATE__RANGE_GRANTED) {
        return CW_REASON_MOVING;
    }
    route->server = cw_control_state_server(routes, route->range->server);
    if (route->server == NULL || route->server->forwarder == 0) {
        return CW_REASON_NO_OWNER;
    }
    return CW_REASON_NONE;
}

void cw_gateway_distrust(cw_gateway_node_t *node, cw_incarnation_t incarnation, cw_instant_t now)
{
    node->lost = incarnation;
    node->probe_us = now.monotonic_us + PROBE_INTERVAL_US;
}

/* May a request be risked on the node that its route names? */
static cw_reason_t check_node(cw_gateway_t *gateway, const cw_gateway_request_t *request, cw_gateway_route_t *route,
                              cw_instant_t now)
{
    route->node = cw_gateway_open_node(gateway, route->server->forwarder);
    if (route->node == NULL) {
        return CW_REASON_QUEUE_FULL;
    }
    if (request->message.repeatable || route->node->lost == 0 ||
        route->node->lost != route->server->forwarder_incarnation) {
        return CW_REASON_NONE;
    }
    if (now.monotonic_us < route->node->probe_us) {
        return CW_REASON_SERVER_UNREACHABLE;
    }
    route->node->probe_us = now.monotonic_us + PROBE_INTERVAL_US;
    return CW_REASON_NONE;
}

static cw_time_us_t backoff_end(cw_gateway_t *gateway, cw_instant_t now)
{
    return now.monotonic_us + BACKOFF_MIN_US +
           (cw_time_us_t)cw_random_below(&gateway->random_state, BACKOFF_SPREAD_US + 1);
}

/* Time left for the forwarder: a little less than the caller's, so that its refusal still arrives in time. */
static int64_t forward_timeout_us(const cw_gateway_request_t *request, cw_instant_t now)
{
    int64_t left_us = request->deadline_us - now.monotonic_us;
    int64_t margin_us = left_us / RETURN_MARGIN_PART;

    return left_us - (margin_us < RETURN_MARGIN_MAX_US ? margin_us : RETURN_MARGIN_MAX_US);
}

static void send_request(cw_gateway_t *gateway, cw_gateway_request_t *request, const cw_gateway_route_t *route,
                         cw_instant_t now)
{
    Cw__Envelope envelope = CW__ENVELOPE__INIT;
    cw_fence_t   fence = cw_fence_effective(route->range, route->server);

    request->fence.generation = fence.generation;
    request->fence.index = fence.index;
    request->message.range = route->range->id;
    request->message.server = route->range->server;
    request->message.timeout_us = forward_timeout_us(request, now);
    request->forwarder = route->server->forwarder_incarnation;
    envelope.body_case = CW__ENVELOPE__BODY_FORWARD_REQUEST;
    envelope.forward_request = &request->message;
    gateway->ports->send(gateway->ports->context, route->server->forwarder, &envelope);
}

/* What stands against any further try of a request, whatever its route. */
static cw_reason_t check_try(cw_gateway_t *gateway, cw_gateway_request_t *request, cw_instant_t now)
{
    const cw_control_state_t       *routes = cw_relay_routes(gateway->relay);
    const Cw__ServiceConfiguration *service = cw_control_state_service(routes, request->message.service);

    if (now.monotonic_us >= request->deadline_us) {
        return CW_REASON_DEADLINE;
    }
    if (!cw_relay_in_touch(gateway->relay, now)) {
        return CW_REASON_OUT_OF_TOUCH;
    }
    if (service == NULL) {
        return CW_REASON_NOT_FOUND;
    }
    request->message.repeatable = cw_request_is_repeatable(service, request->message.method, request->message.path);
    if (request->uncertain != CW_REASON_NONE && !request->message.repeatable) {
        return request->uncertain; /* the rules changed since the first try */
    }
    return CW_REASON_NONE;
}

/* Waits for another forwarder without using up a try. */
static void wait_for_route(cw_gateway_t *gateway, cw_gateway_request_t *request, cw_instant_t now)
{
    cw_time_us_t next_try = backoff_end(gateway, now);

    if (next_try < request->deadline_us) {
        cw_timer_heap_set(&gateway->timers, &request->timer, next_try);
        return;
    }
    cw_gateway_end(gateway, request, request->uncertain);
}

bool cw_gateway_retry_later(cw_gateway_t *gateway, cw_gateway_request_t *request, cw_instant_t now)
{
    cw_time_us_t next_try = backoff_end(gateway, now);

    if (request->tries >= TRIES_MAX || next_try >= request->deadline_us) {
        return false;
    }
    if (!cw_retry_budget_withdraw(&request->tenant->retries, now.monotonic_us)) {
        return false;
    }
    cw_timer_heap_set(&gateway->timers, &request->timer, next_try);
    return true;
}

void cw_gateway_hand_over(cw_gateway_t *gateway, cw_gateway_request_t *request, cw_instant_t now)
{
    cw_gateway_route_t route = {NULL, NULL, NULL};
    cw_reason_t        reason = check_try(gateway, request, now);

    if (reason != CW_REASON_NONE) {
        cw_gateway_end(gateway, request, reason);
        return;
    }
    reason = find_route(cw_relay_routes(gateway->relay), request, &route);
    if (request->avoided != 0 &&
        (reason != CW_REASON_NONE || route.server->forwarder_incarnation == request->avoided)) {
        wait_for_route(gateway, request, now);
        return;
    }
    if (reason == CW_REASON_NONE) {
        reason = check_node(gateway, request, &route, now);
    }
    request->tries++;
    if (reason != CW_REASON_NONE) {
        if (!cw_gateway_retry_later(gateway, request, now)) {
            cw_gateway_end(gateway, request, reason);
        }
        return;
    }
    if (request->tries > 1) {
        gateway->counters.retries++;
    }
    cw_gateway_request_attach(gateway, request, route.node);
    cw_timer_heap_set(&gateway->timers, &request->timer, request->deadline_us);
    send_request(gateway, request, &route, now);
}

void cw_gateway_send_cancel(cw_gateway_t *gateway, const cw_gateway_request_t *request)
{
    Cw__Envelope      envelope = CW__ENVELOPE__INIT;
    Cw__ForwardCancel cancel = CW__FORWARD_CANCEL__INIT;

    cancel.id = request->message.id;
    cancel.gateway_incarnation = gateway->options.incarnation;
    envelope.body_case = CW__ENVELOPE__BODY_FORWARD_CANCEL;
    envelope.forward_cancel = &cancel;
    gateway->ports->send(gateway->ports->context, request->node->id, &envelope);
}
