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
