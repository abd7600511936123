/**
 * @file router_limits.c
 * @brief Rate limits of servers between nodes: notices of them, broadcast (router_broadcast.c), and with asks for
 * slots.
 */
#include <stdlib.h>

#include "router/router_internal.h"

static const double ended = -1; /* in messages */

/* What another node sent, in bounds: what is no number has ended. */
static double bounded(double per_s)
{
    if (!(per_s >= 0)) {
        return ended;
    }
    return per_s > CW_SERVER_LIMIT_MOST ? CW_SERVER_LIMIT_MOST : per_s;
}

static uint32_t age_ms(cw_time_us_t since, cw_time_us_t now)
{
    return now <= since ? 0 : (uint32_t)((now - since) / 1000);
}

static void limit_stated(void *context, const cw_server_t *server, cw_limit_change_t change)
{
    cw_router_t *router = context;

    cw_limit_notices_note(router->limit_notices, server->hash, change, cw_router_now(router));
}

/* ---- out ---- */

bool cw_router_limits_pack(const cw_router_t *router, uint32_t hash, Cwp__ServerLimit *message)
{
    const cw_server_t *server = hash == 0 ? NULL : cw_server_pool_find_hash(router->pool, hash);
    cw_time_us_t       now = cw_router_now(router);

    if (server == NULL || !cw_server_is_limited(server, now)) {
        return false;
    }
    message->server = hash;
    message->per_s = server->limit.per_s;
    message->age_ms = age_ms(server->limit.named_at, now);
    return true;
}

/* False: it is not known any more, or never had one. */
static bool pack_limit_or_end(const cw_router_t *router, uint32_t hash, Cwp__ServerLimit *message)
{
    const cw_server_t *server = cw_server_pool_find_hash(router->pool, hash);

    if (cw_router_limits_pack(router, hash, message)) {
        return true;
    }
    if (server == NULL || server->limit.ended_at == 0) {
        return false;
    }
    message->server = hash;
    message->per_s = ended;
    message->age_ms = age_ms(server->limit.ended_at, cw_router_now(router));
    return true;
}

static void send_notice(cw_router_t *router, const uint32_t *servers, size_t count, cw_time_us_t now)
{
    static Cwp__ServerLimit  limits[CW_LIMIT_NOTICES_MOST];
    static Cwp__ServerLimit *pointers[CW_LIMIT_NOTICES_MOST];
    Cwp__LimitNotice         notice = CWP__LIMIT_NOTICE__INIT;
    Cwp__Datagram            datagram = CWP__DATAGRAM__INIT;
    size_t                   index;

    for (index = 0; index < count; index++) {
        cwp__server_limit__init(&limits[notice.n_limits]);
        if (pack_limit_or_end(router, servers[index], &limits[notice.n_limits])) {
            pointers[notice.n_limits] = &limits[notice.n_limits];
            notice.n_limits++;
        }
    }
    if (notice.n_limits == 0) {
        return;
    }
    notice.stage = CW_BROADCAST_FROM_NODE;
    notice.limits = pointers;
    datagram.content_case = CWP__DATAGRAM__CONTENT_LIMIT_NOTICE;
    datagram.limit_notice = &notice;
    cw_router_broadcast(router, cw_peer_link_pack(router->link, &datagram), now);
}

void cw_router_limits_tick(cw_router_t *router, cw_time_us_t now)
{
    uint32_t servers[CW_LIMIT_NOTICES_MOST];
    size_t   count = cw_limit_notices_due(router->limit_notices, servers, now);

    if (count > 0) {
        send_notice(router, servers, count, now);
    }
}

/* ---- in ---- */

void cw_router_limits_take(cw_router_t *router, const Cwp__ServerLimit *message, cw_time_us_t now)
{
    cw_server_t *server = (cw_server_t *)cw_server_pool_find_hash(router->pool, message->server);

    if (server != NULL) {
        cw_engine_take_limit(router->engine, server, bounded(message->per_s), now - CW_MS(message->age_ms));
    }
}

void cw_router_take_limit_notice(cw_router_t *router, const cw_peer_t *sender, const Cwp__Datagram *datagram,
                                 cw_time_us_t now)
{
    const Cwp__LimitNotice *notice = datagram->limit_notice;
    size_t                  index;

    for (index = 0; index < notice->n_limits; index++) {
        cw_limit_notices_note_received(router->limit_notices, notice->limits[index]->server, now);
        cw_router_limits_take(router, notice->limits[index], now);
    }
    cw_router_pass_on_broadcast(router, sender, datagram, &datagram->limit_notice->stage);
}

void cw_router_limits_init(cw_router_t *router)
{
    cw_signal_port_t port = {.context = router, .limit_stated = limit_stated};

    router->limit_notices = cw_limit_notices_create();
    cw_engine_set_signal_port(router->engine, &port);
}
