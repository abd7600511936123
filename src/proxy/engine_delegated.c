/**
 * @file engine_delegated.c
 * @brief Requests of other nodes, which reach no server themselves (engine_delegation.c).
 *
 * The other node has identified the caller, taken the tenant's token and chosen the service. This node finds a server
 * as for its own requests, in the same queue and order. It never passes such a request on.
 */
#include <stdlib.h>
#include <string.h>

#include "base/event_log.h"
#include "base/metrics.h"
#include "proxy/engine_internal.h"

enum {
    STATUS_UNAVAILABLE = 503,
    OUTCOME_BYTES = 32,
    /* Requests of other nodes that this node has at a time; one holds about as much memory as a caller's. */
    DELEGATED_MAX = 512,
    /* The answer is sent so much earlier than the other node's deadline: the way back, and a turn of its loop. */
    WAY_BACK_MS = 10,
    OWNER_WAIT_DIVISOR = 5 /* as for callers' requests (engine_admission.c) */
};

size_t cw_engine_delegated_requests(const cw_engine_t *engine)
{
    return engine->delegated;
}

void cw_delegation_decline(cw_http_exchange_t *exchange, const char *request, const char *reason)
{
    char               value[OUTCOME_BYTES];
    cw_http_outbound_t outbound = {.status = STATUS_UNAVAILABLE,
                                   .retry_after_s = -1,
                                   .added_name = cw_delegation_outcome_field,
                                   .added_value = value};
    cw_event_t         event;

    cw_delegation_outcome_write(CW_DELEGATION_DECLINED, NULL, value, sizeof(value));
    if (cw_event_begin(&event, CW_EVENT_DELEGATION_DECLINED)) {
        cw_event_text(&event, CW_FIELD_REQUEST, request);
        cw_event_text(&event, CW_FIELD_REASON, reason);
        cw_event_end(&event);
    }
    cw_http_exchange_answer(exchange, &outbound);
}

/* The route with this name, if the configuration in force here still has it for this host and path. */
static const cw_route_t *find_route(const cw_engine_t *engine, const cw_http_inbound_t *inbound, const char *name)
{
    const char       *host = cw_http_fields_find(inbound->fields, "host");
    const cw_route_t *route;

    if (engine->configuration == NULL || host == NULL || inbound->target[0] != '/') {
        return NULL;
    }
    route = cw_configuration_match(engine->configuration, host, inbound->target);
    return route != NULL && strcmp(route->name, name) == 0 ? route : NULL;
}

/* Finds the caller's tenant. False: it is not known here. */
static bool find_caller(const cw_engine_t *engine, const char *tenant, cw_caller_t *caller)
{
    *caller = (cw_caller_t){.verdict = CW_CALLER_ANONYMOUS};
    if (tenant == NULL) {
        return true;
    }
    caller->verdict = CW_CALLER_KNOWN;
    caller->tenant = cw_configuration_tenant_named(engine->configuration, tenant);
    return caller->tenant != NULL;
}

/* Why a request is not taken; NULL: it is. */
static const char *reason_to_decline(cw_engine_t *engine, const cw_delegated_request_t *delegated)
{
    if (cw_engine_has_lost_paths(engine, cw_engine_service(engine, delegated->service)->hash)) {
        return "this node reaches no server of the service either";
    }
    if (engine->end_by != 0) {
        return "this node stops";
    }
    return engine->delegated >= DELEGATED_MAX ? "too many requests of other nodes" : NULL;
}

static void set_times(cw_request_t *request, const cw_delegated_request_t *delegated)
{
    cw_time_us_t margin = CW_MS(WAY_BACK_MS) < delegated->left / 2 ? CW_MS(WAY_BACK_MS) : delegated->left / 2;

    request->deadline = request->arrived + delegated->left - margin;
    request->objective_at = request->arrived + delegated->objective_left;
    request->was_read_late = request->objective_at <= cw_engine_now(request->engine);
    request->is_admitted = request->was_read_late;
    request->owner_wait_until = request->arrived + delegated->objective_left / OWNER_WAIT_DIVISOR;
}

void cw_engine_request_delegated(cw_engine_t *engine, cw_http_exchange_t *exchange, const cw_http_inbound_t *inbound,
                                 cw_delegated_request_t *delegated)
{
    const cw_route_t *route = find_route(engine, inbound, delegated->route);
    const char       *reason = reason_to_decline(engine, delegated);
    cw_caller_t       caller;
    cw_request_t     *request;

    if (reason == NULL && (route == NULL || !find_caller(engine, delegated->tenant, &caller))) {
        reason = "its route or tenant is not known here";
    }
    if (reason != NULL) {
        cw_delegation_decline(exchange, cw_http_fields_find(inbound->fields, engine->settings.names.request_id),
                              reason);
        cw_delegated_request_clear(delegated);
        return;
    }
    cw_metric_add(CW_METRIC_DELEGATED, 1);
    request = cw_request_create(engine, exchange, inbound, route, &caller, delegated->service);
    request->attempts = delegated->attempts;
    request->delegation.origin = delegated->origin;
    delegated->origin = NULL;
    engine->delegated++;
    set_times(request, delegated);
    cw_delegated_request_clear(delegated);
    cw_shared_budget_record_request(&request->service->budget, &engine->settings.budget, cw_engine_now(engine));
    cw_request_enqueue(request);
    cw_service_dispatch(engine, request->service);
}

/* ---- the end ---- */

void cw_request_state_outcome(const cw_request_t *request, cw_delegation_outcome_t outcome,
                              cw_http_outbound_t *outbound, char *value, size_t size)
{
    if (request->delegation.origin == NULL) {
        return;
    }
    cw_delegation_outcome_write(outcome, request->server == NULL ? NULL : request->server->id, value, size);
    outbound->added_name = cw_delegation_outcome_field;
    outbound->added_value = value;
}

void cw_request_end_delegated(cw_request_t *request)
{
    if (request->delegation.origin == NULL) {
        return;
    }
    free(request->delegation.origin);
    request->delegation.origin = NULL;
    request->engine->delegated--;
}
