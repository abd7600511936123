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

/* A request in flight keeps its call: it may have reached its server before the loss. */
static void return_slots(cw_engine_t *engine)
{
    cw_request_t *request;

    for (request = engine->open; request != NULL; request = request->newer) {
        cw_request_return_slot(request);
    }
}

void cw_engine_paths_changed(cw_engine_t *engine)
{
    cw_server_t *server;
    cw_server_t *next;

    if (cw_engine_has_lost_paths(engine)) {
        return_slots(engine);
        HASH_ITER(by_id, cw_server_pool_all(engine->pool), server, next)
        {
            cw_server_pool_clear_faults(server);
        }
    }
    engine->changed = true;
    cw_engine_wake(engine);
}
