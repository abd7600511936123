/**
 * @file engine_holdoff.c
 * @brief Requests for servers that this node may not send to now: beyond their rate limits (server_limit.h), or at
 * rest.
 *
 * Such a server is sent to by leave of the node that counts its slots, where nodes are few too. While that node does
 * not reply, each node has an equal part of the limit for itself. What is beyond is refused at once, with the time to
 * come back; a request that need not go there goes to another server.
 */
#include "proxy/engine_internal.h"

enum { UNASKED_MS = 300 /* a counting node that does not reply is asked again after so long */ };

bool cw_request_may_send_unasked(const cw_request_t *request, cw_server_t *server, cw_time_us_t now)
{
    return !cw_server_is_limited(server, now) || cw_server_take_limit_part(server, request->engine->nodes, now);
}

cw_server_t *cw_request_choose_unasked(const cw_request_t *request, const cw_zone_filter_t *zones, cw_time_us_t now,
                                       bool *full)
{
    cw_server_t *server = cw_request_choose(request, zones, now, full);

    while (server != NULL && !cw_request_may_send_unasked(request, server, now)) {
        cw_server_note_limit_refused(server, CW_MS(UNASKED_MS), now);
        server = cw_request_choose(request, zones, now, full);
    }
    return server;
}

cw_server_t *cw_request_choose_or_ask(cw_request_t *request, cw_time_us_t now, bool *full, bool *asked)
{
    cw_server_t *server = cw_request_choose(request, NULL, now, full);

    *asked = server != NULL && cw_server_is_limited(server, now) && cw_request_ask_slot(request, server, now);
    if (*asked || server == NULL || cw_request_may_send_unasked(request, server, now)) {
        return server;
    }
    cw_server_note_limit_refused(server, CW_MS(UNASKED_MS), now);
    return cw_request_choose_unasked(request, NULL, now, full);
}

static cw_time_us_t allowed_at(const cw_request_t *request, cw_time_us_t now)
{
    return cw_server_pool_held_off_until(request->engine->pool, request->service->name, &request->regions, now);
}

bool cw_request_is_held_off(const cw_request_t *request, cw_time_us_t now)
{
    return allowed_at(request, now) != CW_NEVER;
}

bool cw_request_rests(const cw_request_t *request, cw_time_us_t now)
{
    const cw_server_t *owner = request->is_keyed ? cw_request_owner(request) : NULL;

    return owner != NULL && cw_server_rests(owner, now);
}

bool cw_request_all_rest(const cw_request_t *request, cw_time_us_t now)
{
    return cw_server_pool_all_rest(request->engine->pool, request->service->name, &request->regions, now);
}

bool cw_request_waits_in_vain(const cw_request_t *request, cw_time_us_t now)
{
    return cw_request_waits_for_slot(request) && cw_request_rests(request, now);
}

cw_time_us_t cw_request_holdoff(const cw_request_t *request, cw_time_us_t now)
{
    cw_time_us_t until = request->is_keyed ? CW_NEVER : allowed_at(request, now);

    if (cw_request_rests(request, now)) {
        return cw_request_owner(request)->rest_until - now;
    }
    if (until != CW_NEVER && until > now) {
        return until - now;
    }
    return request->claim.free_after > 0 ? request->claim.free_after : CW_MS(UNASKED_MS);
}
