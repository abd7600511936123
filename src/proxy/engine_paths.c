/**
 * @file engine_paths.c
 * @brief Records what the calls to servers show about this node's paths to them (server_paths.h).
 */
#include "proxy/engine_internal.h"

void cw_engine_set_paths(cw_engine_t *engine, cw_server_paths_t *paths)
{
    engine->paths = paths;
}

void cw_engine_record_contact(cw_engine_t *engine, const cw_upstream_answer_t *answer)
{
    if (engine->paths == NULL || answer->result == CW_UPSTREAM_WITHDRAWN) {
        return;
    }
    if (answer->result == CW_UPSTREAM_ANSWERED || answer->any_byte) {
        cw_server_paths_record_reached(engine->paths, cw_engine_now(engine));
    } else {
        cw_server_paths_record_failed(engine->paths);
    }
}

void cw_engine_record_silence(cw_engine_t *engine)
{
    if (engine->paths != NULL) {
        cw_server_paths_record_failed(engine->paths);
    }
}

bool cw_engine_has_lost_paths(const cw_engine_t *engine)
{
    return engine->paths != NULL && engine->paths->are_lost;
}

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

static void release_servers(cw_engine_t *engine)
{
    cw_request_t *request;

    for (request = engine->open; request != NULL; request = request->newer) {
        cw_request_return_slot(request);
        give_up_call(request);
    }
}

void cw_engine_paths_changed(cw_engine_t *engine)
{
    cw_server_t *server;
    cw_server_t *next;

    if (cw_engine_has_lost_paths(engine)) {
        release_servers(engine);
        HASH_ITER(by_id, cw_server_pool_all(engine->pool), server, next)
        {
            cw_server_pool_clear_faults(server);
        }
    }
    engine->changed = true;
    cw_engine_wake(engine);
}
