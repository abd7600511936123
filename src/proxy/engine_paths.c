/**
 * @file engine_paths.c
 * @brief This node's paths to servers, as the engine's calls show them (server_paths.h), and what the engine does when
 * those to a service's servers are lost.
 */
#include "proxy/engine_internal.h"

/* Another node has answered for the server so recently that it is alive. */
enum { ANSWERED_OTHERS_FRESH_MS = 3000 };

void cw_engine_set_paths(cw_engine_t *engine, cw_service_paths_t *paths)
{
    engine->paths = paths;
}

/* ---- contacts ---- */

void cw_request_record_contact(const cw_request_t *request, const cw_upstream_answer_t *answer)
{
    cw_engine_t       *engine = request->engine;
    cw_server_paths_t *paths;

    if (engine->paths == NULL || answer->result == CW_UPSTREAM_WITHDRAWN) {
        return;
    }
    paths = cw_service_paths_of(engine->paths, request->service->hash);
    if (answer->result == CW_UPSTREAM_ANSWERED || answer->any_byte) {
        cw_server_paths_record_reached(paths, cw_engine_now(engine));
    } else {
        cw_server_paths_record_failed(paths);
    }
}

void cw_request_record_silence(const cw_request_t *request)
{
    const cw_engine_t *engine = request->engine;

    if (engine->paths != NULL) {
        cw_server_paths_record_failed(cw_service_paths_of(engine->paths, request->service->hash));
    }
}

/* ---- what is lost ---- */

bool cw_engine_has_lost_paths(const cw_engine_t *engine, uint32_t service)
{
    return engine->paths != NULL && cw_service_paths_are_lost(engine->paths, service);
}

bool cw_engine_is_cut_off_from(const cw_engine_t *engine, const cw_server_t *server, cw_time_us_t now)
{
    return engine->paths != NULL && cw_server_is_suspect(server) && server->answered_others_at != 0 &&
           now - server->answered_others_at <= CW_MS(ANSWERED_OTHERS_FRESH_MS);
}

bool cw_request_waits_for_paths(const cw_request_t *request, cw_time_us_t now)
{
    const cw_engine_t *engine = request->engine;
    uint32_t           service = request->service->hash;
    cw_server_paths_t *paths;

    if (request->delegation.origin == NULL || engine->paths == NULL ||
        cw_server_pool_of_service(engine->pool, service) == NULL) {
        return false;
    }
    paths = cw_service_paths_of(engine->paths, service);
    if (cw_server_paths_are_known_open(paths, now)) {
        return false;
    }
    cw_server_paths_want_check(paths);
    return true;
}

/* ---- a change ---- */

/* A request of which no byte was sent waits again. One that was sent keeps its call, since it may have reached its
 * server before the loss; if it is repeatable, it need not wait longer for its repeat. */
static void give_up_call(cw_request_t *request)
{
    if (request->call == NULL || request->delegation.delegate != NULL) {
        return;
    }
    if (cw_upstream_call_sent(request->call)) {
        request->repeat_at = request->route->repeatable ? cw_engine_now(request->engine) : CW_NEVER;
        cw_request_arm(request);
        return;
    }
    cw_request_abandon(request);
    request->attempts--;
    request->avoided_server[0] = '\0'; /* the server has not failed */
    cw_request_enqueue(request);
}

static void release_servers(cw_engine_t *engine, uint32_t service)
{
    cw_request_t *request;
    cw_server_t  *server;

    for (request = engine->open; request != NULL; request = request->newer) {
        if (request->service->hash == service) {
            cw_request_return_slot(request);
            give_up_call(request);
        }
    }
    for (server = cw_server_pool_of_service(engine->pool, service); server != NULL; server = server->next) {
        cw_server_pool_clear_faults(server);
    }
}

void cw_engine_paths_changed(cw_engine_t *engine, uint32_t service)
{
    if (cw_engine_has_lost_paths(engine, service)) {
        release_servers(engine, service);
    }
    engine->changed = true;
    cw_engine_wake(engine);
}
