/**
 * @file engine_admission.c
 * @brief Admission of a new request: route, caller, part of the split, time limits and queue.
 */
#include <stdlib.h>
#include <string.h>
#include <utlist.h>

#include "base/memory.h"
#include "base/metrics.h"
#include "base/tenant_metrics.h"
#include "proxy/engine_internal.h"

enum {
    STATUS_NOT_FOUND = 404,
    STATUS_BAD_REQUEST = 400,
    STATUS_TOO_MANY = 429,
    STATUS_UNAVAILABLE = 503,
    DEADLINE_DEFAULT_S = 30,
    /* A request waits at most a fifth of its objective for an unknown owner of its key: most moves of a range take less
     * time, and a retry after a refusal can still be answered within the objective. */
    OWNER_WAIT_DIVISOR = 5,
    MARGIN_DIVISOR = 4
};

static const double unready_retry_after_s = 0.5;

static cw_route_state_t *route_state(cw_engine_t *engine, const cw_route_t *route)
{
    cw_route_state_t *state;

    HASH_FIND_STR(engine->routes, route->name, state);
    if (state == NULL) {
        state = cw_memory_zeroed(sizeof(*state));
        state->name = strdup(route->name);
        state->mean_time = route->objective > 0 ? route->objective / 3 : CW_MS(CW_INITIAL_MEAN_TIME_MS);
        HASH_ADD_KEYPTR(hh, engine->routes, state->name, strlen(state->name), state);
    }
    return state;
}

/* ---- admission ---- */

static cw_time_us_t caller_deadline(const cw_engine_t *engine, const cw_http_inbound_t *inbound)
{
    const char  *text = cw_http_fields_find(inbound->fields, engine->settings.names.deadline);
    cw_time_us_t wait = text == NULL ? 0 : CW_MS(strtoll(text, NULL, 10));
    cw_time_us_t margin = engine->settings.margin;

    if (wait <= 0) {
        return inbound->arrived_us + CW_SECONDS(DEADLINE_DEFAULT_S);
    }
    if (margin > wait / MARGIN_DIVISOR) {
        margin = wait / MARGIN_DIVISOR;
    }
    return inbound->arrived_us + wait - margin;
}

static void set_times(cw_request_t *request, const cw_http_inbound_t *inbound)
{
    const cw_route_t *route = request->route;
    cw_time_us_t      now = cw_engine_now(request->engine);
    cw_time_us_t      objective;

    request->arrived = inbound->arrived_us;
    request->deadline = caller_deadline(request->engine, inbound);
    if (route->timeout > 0 && request->arrived + route->timeout < request->deadline) {
        request->deadline = request->arrived + route->timeout;
    }
    objective = route->objective > 0 ? route->objective : request->deadline - request->arrived;
    request->objective_at = request->arrived + objective;
    request->was_read_late = request->objective_at <= now;
    request->is_admitted = request->was_read_late;
    request->owner_wait_until = (request->was_read_late ? now : request->arrived) + objective / OWNER_WAIT_DIVISOR;
    request->repeat_at = CW_NEVER;
    request->silent_at = CW_NEVER;
}

static void set_key(cw_request_t *request)
{
    const cw_service_t *service = cw_configuration_service(request->configuration, request->service->name);
    const char         *text = cw_http_fields_find(request->fields, request->engine->settings.names.key);

    if (service == NULL || !service->keyed || text == NULL) {
        return;
    }
    request->is_keyed = true;
    request->key = (uint32_t)strtoul(text, NULL, 10);
}

static void record_key_sample(cw_request_t *request)
{
    cw_key_samples_t *samples = &request->service->samples;

    if (!request->is_keyed) {
        return;
    }
    samples->seen++;
    if (samples->count < sizeof(samples->keys) / sizeof(samples->keys[0])) {
        uint32_t mask = cw_server_pool_region_mask(request->engine->pool, &request->regions);

        samples->regions[samples->count] = mask;
        samples->any_region_restricted = samples->any_region_restricted || mask != CW_REGIONS_ANY;
        samples->keys[samples->count++] = request->key;
    }
}

/* Enters the request at the tenant's gate. Returns false if the gate refused the request, which is then answered. */
static bool enter_tenant_gate(cw_engine_t *engine, cw_http_exchange_t *exchange, const cw_http_inbound_t *inbound,
                              const cw_route_t *route, const cw_tenant_t *tenant, cw_tenant_count_t **count)
{
    cw_rejection_t   rejection = {.status = STATUS_TOO_MANY, .route = route->name};
    cw_time_us_t     wait;
    cw_gate_answer_t answer = cw_tenant_gate_enter(engine->gate, tenant, engine->nodes, count, &wait);

    if (answer == CW_GATE_OPEN) {
        return true;
    }
    cw_metric_add(CW_METRIC_REFUSED_TENANT, 1);
    cw_tenant_metric_add(CW_TENANT_REFUSED_CONCURRENCY, tenant->name, 1);
    rejection.reason = "the tenant's requests at once";
    rejection.tenant = tenant->name;
    rejection.retry_after_s = (double)wait / 1e6;
    cw_engine_reject(engine, exchange, inbound, &rejection);
    return false;
}

cw_request_t *cw_request_create(cw_engine_t *engine, cw_http_exchange_t *exchange, const cw_http_inbound_t *inbound,
                                const cw_route_t *route, const cw_caller_t *caller, const char *service)
{
    const cw_tenant_t *tenant = cw_caller_limiting_tenant(caller, engine->configuration, route);
    cw_request_t      *request = cw_memory_zeroed(sizeof(*request));

    request->engine = engine;
    request->exchange = exchange;
    request->configuration = cw_configuration_retain(engine->configuration);
    request->route = route;
    request->route_state = route_state(engine, route);
    request->caller = *caller;
    request->caller_checked_version = engine->configuration->version;
    request->rank = cw_request_rank(tenant, route);
    request->tenant_hash = tenant == NULL ? 0 : cw_tenant_hash(tenant->name);
    request->regions = (cw_region_rule_t){.route = &route->regions, .tenant = tenant == NULL ? NULL : &tenant->regions};
    request->service = cw_engine_service(engine, service == NULL ? cw_route_choose_part(request, route) : service);
    request->method = inbound->method;
    request->target = inbound->target;
    request->fields = inbound->fields;
    request->body = inbound->body;
    request->body_length = inbound->body_length;
    request->id = cw_http_fields_find(inbound->fields, engine->settings.names.request_id);
    set_times(request, inbound);
    set_key(request);
    uv_timer_init(engine->loop, &request->timer);
    request->timer.data = request;
    cw_http_exchange_set_data(exchange, request);
    engine->requests++;
    DL_APPEND2(engine->open, request, older, newer);
    return request;
}

/* Finds the route of a request. NULL: there is none, and the request is answered. */
static const cw_route_t *find_route(const cw_engine_t *engine, cw_http_exchange_t *exchange,
                                    const cw_http_inbound_t *inbound)
{
    const char       *host = cw_http_fields_find(inbound->fields, "host");
    const cw_route_t *route;
    cw_rejection_t    rejection = {.retry_after_s = -1};

    if (engine->configuration == NULL) {
        cw_metric_add(CW_METRIC_REFUSED_UNREADY, 1);
        rejection = (cw_rejection_t){
            .status = STATUS_UNAVAILABLE, .reason = "no configuration yet", .retry_after_s = unready_retry_after_s};
        cw_engine_reject(engine, exchange, inbound, &rejection);
        return NULL;
    }
    if (host == NULL || inbound->target[0] != '/') {
        rejection.status = STATUS_BAD_REQUEST;
        rejection.reason = "no host or path";
        cw_engine_reject(engine, exchange, inbound, &rejection);
        return NULL;
    }
    route = cw_configuration_match(engine->configuration, host, inbound->target);
    if (route == NULL) {
        cw_metric_add(CW_METRIC_NOT_FOUND, 1);
        rejection.status = STATUS_NOT_FOUND;
        rejection.reason = "no route";
        cw_engine_reject(engine, exchange, inbound, &rejection);
    }
    return route;
}

void cw_request_admit(cw_request_t *request)
{
    cw_engine_t *engine = request->engine;

    cw_shared_budget_record_request(&request->service->budget, &engine->settings.budget, cw_engine_now(engine));
    record_key_sample(request);
    cw_request_enqueue(request);
    cw_service_dispatch(engine, request->service);
}

void cw_engine_request(cw_engine_t *engine, cw_http_exchange_t *exchange, const cw_http_inbound_t *inbound)
{
    const cw_tenant_t *accountable;
    cw_tenant_count_t *tenant;
    const cw_route_t  *route;
    cw_request_t      *request;
    cw_caller_t        caller;

    cw_metric_add(CW_METRIC_REQUESTS, 1);
    route = find_route(engine, exchange, inbound);
    if (route == NULL || !cw_engine_admit_caller(engine, exchange, inbound, route, &caller)) {
        return;
    }
    accountable = cw_caller_limiting_tenant(&caller, engine->configuration, route);
    if (!enter_tenant_gate(engine, exchange, inbound, route, accountable, &tenant)) {
        return;
    }
    request = cw_request_create(engine, exchange, inbound, route, &caller, NULL);
    request->tenant = tenant;
    if (!cw_request_fits_stop(request, cw_engine_now(engine))) {
        cw_request_refuse(request, CW_REFUSED_STOPPING);
        return;
    }
    if (cw_request_take_token(request)) {
        cw_request_admit(request);
    }
}
