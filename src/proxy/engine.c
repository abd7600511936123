/**
 * @file engine.c
 * @brief Requests come in here: route, part of the split, time limits. Also what the engine is told from outside.
 */
#include <stdlib.h>
#include <string.h>
#include <utlist.h>
#include <xxhash.h>

#include "base/event_log.h"
#include "base/metrics.h"
#include "proxy/engine_internal.h"

enum {
    STATUS_NOT_FOUND = 404,
    STATUS_BAD_REQUEST = 400,
    STATUS_UNAUTHORIZED = 401,
    STATUS_TOO_MANY = 429,
    STATUS_UNAVAILABLE = 503,
    DEADLINE_DEFAULT_S = 30,
    OWNER_WAIT_PART =
        5, /* of the objective: so long a request waits for an owner of its key that is not known; most moves
            * of a range take shorter, and an answer after a return still comes within the objective */
    MARGIN_PART = 4,
    PROMPT_NODES = 10 /* so many nodes tell one another of each request at once */
};

static const double retry_unready_s = 0.5;
static const double affinity_per_node = 0.036; /* the more nodes, the rarer their reports */
static const double affinity_most = 2.2;

cw_time_us_t cw_engine_now(const cw_engine_t *engine)
{
    return CW_MS(uv_now(engine->loop));
}

cw_engine_t *cw_engine_create(uv_loop_t *loop, const cw_engine_settings_t *settings, cw_server_pool_t *pool,
                              cw_upstream_t *upstream)
{
    cw_engine_t *engine = calloc(1, sizeof(*engine));

    if (engine == NULL) {
        abort();
    }
    engine->loop = loop;
    engine->settings = *settings;
    engine->pool = pool;
    engine->upstream = upstream;
    engine->nodes = 1;
    engine->gate = cw_tenant_gate_create();
    uv_timer_init(loop, &engine->wake_timer);
    engine->wake_timer.data = engine;
    return engine;
}

/* ---- states by name ---- */

cw_service_state_t *cw_engine_service(cw_engine_t *engine, const char *name)
{
    cw_service_state_t *service;

    HASH_FIND_STR(engine->services, name, service);
    if (service == NULL) {
        service = calloc(1, sizeof(*service));
        if (service == NULL) {
            abort();
        }
        service->name = strdup(name);
        service->hash = (uint32_t)XXH3_64bits(name, strlen(name));
        service->usual = CW_MS(CW_USUAL_FIRST_MS);
        HASH_ADD_KEYPTR(hh, engine->services, service->name, strlen(service->name), service);
    }
    return service;
}

static cw_route_state_t *route_state(cw_engine_t *engine, const cw_route_t *route)
{
    cw_route_state_t *state;

    HASH_FIND_STR(engine->routes, route->name, state);
    if (state == NULL) {
        state = calloc(1, sizeof(*state));
        if (state == NULL) {
            abort();
        }
        state->name = strdup(route->name);
        state->usual = route->aim > 0 ? route->aim / 3 : CW_MS(CW_USUAL_FIRST_MS);
        HASH_ADD_KEYPTR(hh, engine->routes, state->name, strlen(state->name), state);
    }
    return state;
}

/* ---- a request comes in ---- */

static void answer_plain(cw_http_exchange_t *exchange, int status, double retry_after_s)
{
    cw_http_outbound_t outbound = {.status = status, .retry_after_s = retry_after_s};

    cw_http_exchange_answer(exchange, &outbound);
}

static void note_plain(const cw_engine_t *engine, const cw_http_inbound_t *inbound, int status, const char *reason)
{
    cw_event_t event;

    if (!cw_event_begin(&event, CW_EVENT_REQUEST_REFUSED)) {
        return;
    }
    cw_event_text(&event, CW_FIELD_REQUEST, cw_http_fields_find(inbound->fields, engine->settings.names.request_id));
    cw_event_number(&event, CW_FIELD_STATUS, status);
    cw_event_text(&event, CW_FIELD_REASON, reason);
    cw_event_number(&event, CW_FIELD_CONFIGURATION,
                    engine->configuration == NULL ? 0 : (int64_t)engine->configuration->version);
    cw_event_end(&event);
}

static cw_time_us_t caller_deadline(const cw_engine_t *engine, const cw_http_inbound_t *inbound)
{
    const char  *text = cw_http_fields_find(inbound->fields, engine->settings.names.deadline);
    cw_time_us_t wait = text == NULL ? 0 : CW_MS(strtoll(text, NULL, 10));
    cw_time_us_t margin = engine->settings.margin;

    if (wait <= 0) {
        return inbound->arrived_us + CW_SECONDS(DEADLINE_DEFAULT_S);
    }
    if (margin > wait / MARGIN_PART) {
        margin = wait / MARGIN_PART;
    }
    return inbound->arrived_us + wait - margin;
}

static void set_times(cw_request_t *request, const cw_http_inbound_t *inbound)
{
    const cw_route_t *route = request->route;
    cw_time_us_t      aim;

    request->arrived = inbound->arrived_us;
    request->deadline = caller_deadline(request->engine, inbound);
    if (route->timeout > 0 && request->arrived + route->timeout < request->deadline) {
        request->deadline = request->arrived + route->timeout;
    }
    aim = route->aim > 0 ? route->aim : request->deadline - request->arrived;
    request->aim_at = request->arrived + aim;
    request->owner_wait_until = request->arrived + aim / OWNER_WAIT_PART;
    request->repeat_at = CW_NEVER;
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

static void note_sample(cw_request_t *request)
{
    cw_key_samples_t *samples = &request->service->samples;

    if (!request->is_keyed) {
        return;
    }
    samples->seen++;
    if (samples->count < sizeof(samples->keys) / sizeof(samples->keys[0])) {
        samples->keys[samples->count++] = request->key;
    }
}

static void on_timer(uv_timer_t *timer)
{
    cw_request_t *request = timer->data;
    cw_time_us_t  now = cw_engine_now(request->engine);

    if (request->is_ended) {
        return;
    }
    if (now >= request->deadline) {
        if (request->may_have_run || request->call != NULL) {
            cw_request_fail_late(request);
        } else {
            cw_request_refuse(request, CW_REFUSED_LOAD);
        }
        return;
    }
    if (request->call != NULL && now >= request->repeat_at) {
        cw_request_repeat_after_silence(request);
        return;
    }
    if (cw_request_waits_for_slot(request) && now >= request->claim.due) {
        cw_request_slot_overdue(request, now);
        return;
    }
    if (request->is_queued) {
        cw_service_dispatch(request->engine, request->service);
        return;
    }
    cw_request_arm(request);
}

/* False: the tenant's gate has refused it, and it is answered. */
static bool pass_gate(cw_engine_t *engine, cw_http_exchange_t *exchange, const cw_http_inbound_t *inbound,
                      const cw_route_t *route, cw_tenant_count_t **count)
{
    const cw_tenant_t *tenant = cw_configuration_tenant_of(engine->configuration, route->name);
    cw_time_us_t       wait;
    cw_gate_answer_t   answer =
        cw_tenant_gate_enter(engine->gate, tenant, cw_http_fields_find(inbound->fields, "authorization"), engine->nodes,
                             cw_engine_now(engine), count, &wait);

    switch (answer) {
    case CW_GATE_OPEN:
        return true;
    case CW_GATE_UNKNOWN_CALLER:
        cw_metric_add(CW_METRIC_REFUSED_TENANT, 1);
        note_plain(engine, inbound, STATUS_UNAUTHORIZED, "not a caller of this tenant");
        answer_plain(exchange, STATUS_UNAUTHORIZED, -1);
        return false;
    case CW_GATE_RATE:
    case CW_GATE_CONCURRENCY:
        cw_metric_add(CW_METRIC_REFUSED_TENANT, 1);
        note_plain(engine, inbound, STATUS_TOO_MANY,
                   answer == CW_GATE_RATE ? "the tenant's rate" : "the tenant's requests at once");
        answer_plain(exchange, STATUS_TOO_MANY, (double)wait / 1e6);
        return false;
    }
    return true;
}

static cw_region_rule_t regions_of(const cw_engine_t *engine, const cw_route_t *route)
{
    const cw_tenant_t *tenant = cw_configuration_tenant_of(engine->configuration, route->name);

    return (cw_region_rule_t){.route = &route->regions, .tenant = tenant == NULL ? NULL : &tenant->regions};
}

static cw_request_t *create_request(cw_engine_t *engine, cw_http_exchange_t *exchange, const cw_http_inbound_t *inbound,
                                    const cw_route_t *route)
{
    cw_request_t *request = calloc(1, sizeof(*request));

    if (request == NULL) {
        abort();
    }
    request->engine = engine;
    request->exchange = exchange;
    request->configuration = cw_configuration_hold(engine->configuration);
    request->route = route;
    request->route_state = route_state(engine, route);
    request->regions = regions_of(engine, route);
    request->service = cw_engine_service(engine, cw_route_choose_part(request, route));
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

void cw_engine_request(cw_engine_t *engine, cw_http_exchange_t *exchange, const cw_http_inbound_t *inbound)
{
    const char        *host = cw_http_fields_find(inbound->fields, "host");
    cw_tenant_count_t *tenant;
    const cw_route_t  *route;
    cw_request_t      *request;

    cw_metric_add(CW_METRIC_REQUESTS, 1);
    if (engine->configuration == NULL) {
        cw_metric_add(CW_METRIC_REFUSED_UNREADY, 1);
        note_plain(engine, inbound, STATUS_UNAVAILABLE, "no configuration yet");
        answer_plain(exchange, STATUS_UNAVAILABLE, retry_unready_s);
        return;
    }
    if (host == NULL || inbound->target[0] != '/') {
        note_plain(engine, inbound, STATUS_BAD_REQUEST, "no host or path");
        answer_plain(exchange, STATUS_BAD_REQUEST, -1);
        return;
    }
    route = cw_configuration_match(engine->configuration, host, inbound->target);
    if (route == NULL) {
        cw_metric_add(CW_METRIC_NOT_FOUND, 1);
        note_plain(engine, inbound, STATUS_NOT_FOUND, "no route");
        answer_plain(exchange, STATUS_NOT_FOUND, -1);
        return;
    }
    if (!pass_gate(engine, exchange, inbound, route, &tenant)) {
        return;
    }
    request = create_request(engine, exchange, inbound, route);
    request->tenant = tenant;
    cw_shared_budget_note_request(&request->service->budget, &engine->settings.budget, cw_engine_now(engine));
    if (!cw_request_fits_stop(request, cw_engine_now(engine))) {
        cw_request_refuse(request, CW_REFUSED_STOPPING);
        return;
    }
    note_sample(request);
    cw_request_enqueue(request);
    cw_service_dispatch(engine, request->service);
}

void cw_engine_gone(cw_engine_t *engine, cw_http_exchange_t *exchange)
{
    cw_request_t *request = cw_http_exchange_data(exchange);
    cw_event_t    event;

    if (request == NULL) {
        return;
    }
    cw_metric_add(CW_METRIC_CALLERS_LEFT, 1);
    if (cw_event_begin(&event, CW_EVENT_REQUEST_GONE)) {
        cw_event_text(&event, CW_FIELD_REQUEST, request->id);
        cw_event_text(&event, CW_FIELD_SERVER, request->server == NULL ? NULL : request->server->id);
        cw_event_ms(&event, CW_FIELD_TOTAL_MS, cw_engine_now(engine) - request->arrived);
        cw_event_end(&event);
    }
    cw_request_end(request);
}

/* ---- what the engine is told ---- */

static void on_wake(uv_timer_t *timer)
{
    cw_engine_t        *engine = timer->data;
    cw_service_state_t *service;
    cw_service_state_t *next;

    HASH_ITER(hh, engine->services, service, next)
    {
        if (service->queue != NULL) {
            cw_service_dispatch(engine, service);
        }
    }
}

void cw_engine_wake(cw_engine_t *engine)
{
    if (engine->queued > 0 && !uv_is_active((uv_handle_t *)&engine->wake_timer)) {
        uv_timer_start(&engine->wake_timer, on_wake, 0, 0);
    }
}

void cw_engine_set_configuration(cw_engine_t *engine, cw_configuration_t *configuration)
{
    cw_configuration_release(engine->configuration);
    engine->configuration = cw_configuration_hold(configuration);
}

void cw_engine_set_nodes(cw_engine_t *engine, uint32_t nodes, uint32_t in_reach)
{
    double affinity = in_reach <= PROMPT_NODES ? 0 : affinity_per_node * (in_reach - PROMPT_NODES);

    engine->nodes = nodes;
    engine->settings.choice.affinity = affinity > affinity_most ? affinity_most : affinity;
}

void cw_engine_set_table(cw_engine_t *engine, const char *name, const cw_key_route_t *routes, size_t count,
                         uint64_t version)
{
    cw_service_state_t *service = cw_engine_service(engine, name);

    free(service->table);
    service->table = malloc((count + 1) * sizeof(*routes));
    if (service->table == NULL) {
        abort();
    }
    memcpy(service->table, routes, count * sizeof(*routes));
    service->table_count = count;
    service->table_version = version;
    cw_engine_wake(engine);
}

void cw_engine_set_tables_valid(cw_engine_t *engine, cw_time_us_t confirmed_at, cw_time_us_t until)
{
    engine->tables_confirmed_at = confirmed_at;
    engine->tables_valid_until = until;
}

const cw_key_route_t *cw_engine_owner(const cw_engine_t *engine, const cw_service_state_t *service, uint32_t key)
{
    size_t low = 0;
    size_t high = service->table_count;

    if (cw_engine_now(engine) >= engine->tables_valid_until) {
        return NULL;
    }
    while (low < high) {
        size_t middle = low + (high - low) / 2;

        if (service->table[middle].last < key) {
            low = middle + 1;
        } else {
            high = middle;
        }
    }
    return low < service->table_count && service->table[low].low <= key ? &service->table[low] : NULL;
}

void cw_engine_forget_server(cw_engine_t *engine, cw_server_t *server)
{
    (void)engine;
    if (server->connections != NULL) {
        cw_upstream_target_release(server->connections);
        server->connections = NULL;
    }
}

/* ---- a request's timer ---- */

void cw_request_arm(cw_request_t *request)
{
    cw_time_us_t due = request->deadline;
    cw_time_us_t now = cw_engine_now(request->engine);

    if (request->call != NULL && request->repeat_at < due) {
        due = request->repeat_at;
    }
    if (cw_request_waits_for_slot(request)) {
        due = request->claim.due < due ? request->claim.due : due;
    } else if (request->is_queued) {
        if (now < request->owner_wait_until && request->owner_wait_until < due) {
            due = request->owner_wait_until;
        }
        if (request->not_before > now && request->not_before < due) {
            due = request->not_before;
        }
    }
    /* libuv's timers count whole milliseconds: not before it is due. */
    uv_timer_start(&request->timer, on_timer, due <= now ? 0 : (uint64_t)((due - now + 999) / 1000), 0);
}
