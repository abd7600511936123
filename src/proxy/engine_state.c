/**
 * @file engine_state.c
 * @brief State that the engine's source files share: services and tables by name, the clock, and the timers.
 */
#include <stdlib.h>
#include <string.h>
#include <utlist.h>
#include <xxhash.h>

#include "base/loop_clock.h"
#include "base/memory.h"
#include "proxy/engine_internal.h"

cw_time_us_t cw_engine_now(const cw_engine_t *engine)
{
    return cw_loop_now(engine->loop);
}

/* ---- states by name ---- */

cw_service_state_t *cw_engine_service(cw_engine_t *engine, const char *name)
{
    cw_service_state_t *service;

    HASH_FIND_STR(engine->services, name, service);
    if (service == NULL) {
        service = cw_memory_zeroed(sizeof(*service));
        service->name = strdup(name);
        service->hash = (uint32_t)XXH3_64bits(name, strlen(name));
        service->mean_time = CW_MS(CW_INITIAL_MEAN_TIME_MS);
        HASH_ADD_KEYPTR(hh, engine->services, service->name, strlen(service->name), service);
    }
    return service;
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

void cw_engine_set_list_evidence(cw_engine_t *engine, const cw_list_evidence_t *evidence)
{
    engine->list_evidence = evidence;
}

void cw_engine_bind_to_list_age(cw_engine_t *engine, bool is_bound)
{
    engine->is_bound_to_list = is_bound;
}

bool cw_engine_list_is_usable(const cw_engine_t *engine, cw_time_us_t now)
{
    return !engine->is_bound_to_list || engine->list_evidence == NULL ||
           now - engine->list_evidence->valid_at <= engine->settings.list_usable;
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

/* ---- timers ---- */

bool cw_request_waits_for_slot(const cw_request_t *request)
{
    return request->claim.state == CW_CLAIM_ASKED || request->claim.state == CW_CLAIM_QUEUED;
}

void cw_request_arm(cw_request_t *request)
{
    cw_time_us_t due = request->deadline;
    cw_time_us_t now = cw_engine_now(request->engine);

    if (request->call != NULL && request->repeat_at < due) {
        due = request->repeat_at;
    }
    if (request->call != NULL && request->silent_at < due) {
        due = request->silent_at;
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
    /* libuv's timers count whole milliseconds: the time is rounded up so that the timer never fires early. */
    uv_timer_start(&request->timer, request->engine->on_due, due <= now ? 0 : (uint64_t)((due - now + 999) / 1000), 0);
}

void cw_engine_wake(cw_engine_t *engine)
{
    if (engine->queued > 0 && !uv_is_active((uv_handle_t *)&engine->wake_timer)) {
        uv_timer_start(&engine->wake_timer, engine->on_wake, 0, 0);
    }
}

void cw_engine_restart_timers(cw_engine_t *engine)
{
    cw_request_t *request;

    DL_FOREACH2(engine->open, request, newer)
    {
        cw_request_arm(request);
    }
    cw_engine_wake(engine);
}
