/**
 * @file engine_holdoff.c
 * @brief Requests for servers that this node may not send to now, because the server's rate limit is reached
 * (server_limit.h) or because the server has rejected a request of this node and asked it for rest.
 *
 * A request is sent to a server with a rate limit only with a slot from the broker that counts for the server
 * (slot_broker.h), even where there are few nodes. While the broker does not reply, each node may use an equal part of
 * the limit without asking. A request beyond that part is refused at once with a time to retry, or is sent to another
 * server if one will do.
 */
#include "proxy/engine_internal.h"

enum { BROKER_RETRY_MS = 300 /* a broker that did not reply is asked again after this time */ };

bool cw_request_may_send_without_slot(const cw_request_t *request, cw_server_t *server, cw_time_us_t now)
{
    return !cw_server_is_limited(server, now) || cw_server_take_limit_part(server, request->engine->nodes, now);
}

cw_server_t *cw_request_choose_without_slot(const cw_request_t *request, const cw_zone_filter_t *zones,
                                            cw_time_us_t now, bool *full)
{
    cw_server_t *server = cw_request_choose(request, zones, now, full);

    while (server != NULL && !cw_request_may_send_without_slot(request, server, now)) {
        cw_server_record_limit_refused(server, CW_MS(BROKER_RETRY_MS), now);
        server = cw_request_choose(request, zones, now, full);
    }
    return server;
}

cw_server_t *cw_request_choose_or_ask(cw_request_t *request, cw_time_us_t now, bool *full, bool *asked)
{
    cw_server_t *server = cw_request_choose(request, NULL, now, full);

    *asked = server != NULL && cw_server_is_limited(server, now) && cw_request_ask_slot(request, server, now);
    if (*asked || server == NULL || cw_request_may_send_without_slot(request, server, now)) {
        return server;
    }
    cw_server_record_limit_refused(server, CW_MS(BROKER_RETRY_MS), now);
    return cw_request_choose_without_slot(request, NULL, now, full);
}

static cw_time_us_t held_off_until(const cw_request_t *request, cw_time_us_t now)
{
    return cw_server_pool_held_off_until(request->engine->pool, request->service->name, &request->regions, now);
}

bool cw_request_is_held_off(const cw_request_t *request, cw_time_us_t now)
{
    return held_off_until(request, now) != CW_NEVER;
}

bool cw_request_owner_rests(const cw_request_t *request, cw_time_us_t now)
{
    const cw_server_t *owner = request->is_keyed ? cw_request_owner(request) : NULL;

    return owner != NULL && cw_server_rests(owner, now);
}

bool cw_request_all_servers_rest(const cw_request_t *request, cw_time_us_t now)
{
    return cw_server_pool_all_rest(request->engine->pool, request->service->name, &request->regions, now);
}

bool cw_request_waits_for_resting_owner(const cw_request_t *request, cw_time_us_t now)
{
    return cw_request_waits_for_slot(request) && cw_request_owner_rests(request, now);
}

cw_time_us_t cw_request_holdoff(const cw_request_t *request, cw_time_us_t now)
{
    cw_time_us_t until = request->is_keyed ? CW_NEVER : held_off_until(request, now);

    if (cw_request_owner_rests(request, now)) {
        return cw_request_owner(request)->rest_until - now;
    }
    if (until != CW_NEVER && until > now) {
        return until - now;
    }
    return request->claim.free_after > 0 ? request->claim.free_after : CW_MS(BROKER_RETRY_MS);
}
