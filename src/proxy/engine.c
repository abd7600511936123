/**
 * @file engine.c
 * @brief Creation of the engine, its timers, and the settings that the node changes at run time.
 */
#include <stdlib.h>

#include "base/loop_stall.h"
#include "base/memory.h"
#include "proxy/engine_internal.h"

enum { DIRECT_REPORT_NODES = 10 /* up to this many nodes report each request to one another at once */ };

/* With more nodes the loads at the others are known later, so this node's own order of servers weighs more. */
static const double affinity_per_node = 0.036;
static const double affinity_max = 2.2;

/* ---- timers, and the end of a request ---- */

static void on_due(uv_timer_t *timer)
{
    cw_request_t *request = timer->data;
    cw_time_us_t  now = cw_engine_now(request->engine);

    if (request->is_ended || cw_loop_stall_postpone(timer, on_due, &request->is_postponed)) {
        return;
    }
    if (now >= request->deadline) {
        cw_request_end_at_deadline(request);
        return;
    }
    if (request->call != NULL && now >= request->repeat_at) {
        cw_request_repeat_unanswered(request);
        return;
    }
    if (request->call != NULL && now >= request->silent_at) {
        request->silent_at = CW_NEVER;
        cw_request_record_silence(request);
        cw_request_arm(request);
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

void cw_engine_caller_disconnected(cw_engine_t *engine, cw_http_exchange_t *exchange)
{
    cw_request_t *request = cw_http_exchange_data(exchange);

    (void)engine;
    if (request != NULL) {
        cw_request_end_caller_gone(request);
    }
}

cw_engine_t *cw_engine_create(uv_loop_t *loop, const cw_engine_settings_t *settings, cw_server_pool_t *pool,
                              cw_upstream_t *upstream)
{
    cw_engine_t *engine = cw_memory_zeroed(sizeof(*engine));

    engine->loop = loop;
    engine->settings = *settings;
    engine->pool = pool;
    engine->upstream = upstream;
    engine->nodes = 1;
    /* Brokers still hold slots of the previous process of this node: its ticket numbers are not reused. */
    engine->last_ticket = (uint32_t)(uv_hrtime() / 1000);
    engine->gate = cw_tenant_gate_create();
    engine->turns = cw_fair_turns_create();
    cw_engine_init_callers(engine);
    uv_timer_init(loop, &engine->wake_timer);
    engine->wake_timer.data = engine;
    engine->on_wake = on_wake;
    engine->on_due = on_due;
    engine->on_answer = cw_request_answered;
    engine->on_delegated = cw_request_delegated;
    return engine;
}

/* ---- settings that change at run time ---- */

void cw_engine_set_configuration(cw_engine_t *engine, cw_configuration_t *configuration)
{
    cw_configuration_release(engine->configuration);
    engine->configuration = cw_configuration_retain(configuration);
    cw_engine_check_callers(engine);
}

void cw_engine_set_nodes(cw_engine_t *engine, uint32_t nodes, uint32_t reachable)
{
    double affinity = reachable <= DIRECT_REPORT_NODES ? 0 : affinity_per_node * (reachable - DIRECT_REPORT_NODES);

    engine->nodes = nodes;
    engine->settings.choice.affinity = affinity > affinity_max ? affinity_max : affinity;
}
