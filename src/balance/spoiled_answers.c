/**
 * @file spoiled_answers.c
 * @brief Avoids servers that spoil each of their answers.
 */
#include "balance/spoiled_answers.h"

#include "balance/server_pool_internal.h"

bool cw_server_spoils_answers(const cw_server_t *server)
{
    return server->spoiled >= CW_SPOILED_MAX;
}

static bool is_sound(const cw_server_t *server)
{
    return server->listed && !server->draining && !server->ended && !server->zone_is_out &&
           !cw_server_spoils_answers(server) && !cw_server_is_suspect(server);
}

static bool has_sound_server(const cw_server_pool_t *pool, uint32_t service_hash)
{
    const cw_server_t *server = cw_server_pool_of_service(pool, service_hash);

    while (server != NULL && !is_sound(server)) {
        server = server->next;
    }
    return server != NULL;
}

/* Ends the avoidance of all servers of a service that spoil their answers. */
static void resume_all(cw_server_pool_t *pool, uint32_t service_hash)
{
    cw_server_t *server;

    for (server = cw_server_pool_of_service(pool, service_hash); server != NULL; server = server->next) {
        if (cw_server_spoils_answers(server)) {
            server->faults = 0;
            server->avoid_until = 0;
        }
    }
}

bool cw_server_pool_record_spoiled(cw_server_pool_t *pool, cw_server_t *server, cw_time_us_t now)
{
    bool was_suspect = cw_server_is_suspect(server);

    server->spoiled++;
    if (!cw_server_spoils_answers(server)) {
        return false;
    }
    if (!has_sound_server(pool, server->service_hash)) {
        resume_all(pool, server->service_hash);
        return false;
    }
    if (!was_suspect) {
        server->faults = CW_SUSPECT_FAULTS - 1; /* the fault below makes it suspect */
    }
    cw_server_pool_record_fault(server, now);
    return !was_suspect;
}
