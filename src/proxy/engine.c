/**
 * @file engine.c
 * @brief State by name, a request's timer, and what the engine is told from outside.
 */
#include <stdlib.h>
#include <string.h>
#include <utlist.h>
#include <xxhash.h>

#include "base/event_log.h"
#include "base/metrics.h"
#include "proxy/engine_internal.h"

enum { PROMPT_NODES = 10 /* so many nodes tell one another of each request at once */ };

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
    engine->turns = cw_fair_turns_create();
    cw_engine_init_callers(engine);
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

/* ---- a request's timer and end ---- */

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
    cw_engine_check_callers(engine);
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
