/**
 * @file router_signals.c
 * @brief Exchange of servers' rate limits and leaves between nodes, in notices that are broadcast (router_broadcast.c),
 * and, for limits, in the messages about slots.
 */
#include <stdlib.h>

#include "router/router_internal.h"

static const double ended_rate = -1; /* rate in a message: the limit has ended */

/* Rate received from another node, restricted to valid values. A rate that is not a number means that the limit has
 * ended. */
static double bounded_rate(double per_s)
{
    if (!(per_s >= 0)) {
        return ended_rate;
    }
    return per_s > CW_SERVER_LIMIT_MAX ? CW_SERVER_LIMIT_MAX : per_s;
}

static uint32_t age_ms(cw_time_us_t since, cw_time_us_t now)
{
    return now <= since ? 0 : (uint32_t)((now - since) / 1000);
}

static void on_limit_named(void *context, const cw_server_t *server, cw_limit_change_t change)
{
    cw_router_t *router = context;

    cw_signal_notices_record_limit(router->signal_notices, server->hash, change, cw_router_now(router));
}

static void on_leaving_announced(void *context, const cw_server_t *server)
{
    cw_router_t *router = context;

    cw_signal_notices_record_leave(router->signal_notices, server->hash, cw_router_now(router));
}

/* ---- sending ---- */

bool cw_router_pack_limit(const cw_router_t *router, uint32_t hash, Cwp__ServerLimit *message)
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

/* Packs the limit of a server, or its end. False: the server is no longer known, or never had a limit. */
static bool pack_limit_or_end(const cw_router_t *router, uint32_t hash, Cwp__ServerLimit *message)
{
    const cw_server_t *server = cw_server_pool_find_hash(router->pool, hash);

    if (cw_router_pack_limit(router, hash, message)) {
        return true;
    }
    if (server == NULL || server->limit.ended_at == 0) {
        return false;
    }
    message->server = hash;
    message->per_s = ended_rate;
    message->age_ms = age_ms(server->limit.ended_at, cw_router_now(router));
    return true;
}

/* Whether notices still have to state that the server leaves. Ends them once the list shows the leave, or no longer
 * contains the server. */
static bool must_state_leave(cw_router_t *router, uint32_t hash)
{
    const cw_server_t       *server = cw_server_pool_find_hash(router->pool, hash);
    const cw_server_entry_t *entry = server == NULL || router->server_view.list == NULL
                                         ? NULL
                                         : cw_server_list_find(router->server_view.list, server->id);

    if (entry == NULL || entry->draining) {
        cw_signal_notices_end_leave(router->signal_notices, hash);
        return false;
    }
    return server->announced_leaving;
}

static void send_notice(cw_router_t *router, const uint32_t *servers, size_t count, cw_time_us_t now)
{
    static Cwp__ServerLimit  limits[CW_SIGNAL_NOTICES_MAX];
    static Cwp__ServerLimit *pointers[CW_SIGNAL_NOTICES_MAX];
    static uint32_t          leaving[CW_SIGNAL_NOTICES_MAX];
    Cwp__SignalNotice        notice = CWP__SIGNAL_NOTICE__INIT;
    Cwp__Datagram            datagram = CWP__DATAGRAM__INIT;
    size_t                   index;

    for (index = 0; index < count; index++) {
        cwp__server_limit__init(&limits[notice.n_limits]);
        if (pack_limit_or_end(router, servers[index], &limits[notice.n_limits])) {
            pointers[notice.n_limits] = &limits[notice.n_limits];
            notice.n_limits++;
        }
        if (must_state_leave(router, servers[index])) {
            leaving[notice.n_leaving++] = servers[index];
        }
    }
    if (notice.n_limits + notice.n_leaving == 0) {
        return;
    }
    notice.stage = CW_BROADCAST_FROM_NODE;
    notice.limits = pointers;
    notice.leaving = leaving;
    datagram.content_case = CWP__DATAGRAM__CONTENT_SIGNAL_NOTICE;
    datagram.signal_notice = &notice;
    cw_router_broadcast(router, cw_peer_link_pack(router->link, &datagram), now);
}

void cw_router_signals_tick(cw_router_t *router, cw_time_us_t now)
{
    uint32_t servers[CW_SIGNAL_NOTICES_MAX];
    size_t   count = cw_signal_notices_due(router->signal_notices, servers, now);

    if (count > 0) {
        send_notice(router, servers, count, now);
    }
}

/* ---- receiving ---- */

void cw_router_apply_limit(cw_router_t *router, const Cwp__ServerLimit *message, cw_time_us_t now)
{
    cw_server_t *server = (cw_server_t *)cw_server_pool_find_hash(router->pool, message->server);

    if (server != NULL) {
        cw_engine_apply_reported_limit(router->engine, server, bounded_rate(message->per_s),
                                       now - CW_MS(message->age_ms));
    }
}

void cw_router_handle_signal_notice(cw_router_t *router, const cw_peer_t *sender, const Cwp__Datagram *datagram,
                                    cw_time_us_t now)
{
    const Cwp__SignalNotice *notice = datagram->signal_notice;
    size_t                   index;

    for (index = 0; index < notice->n_limits; index++) {
        cw_signal_notices_record_received(router->signal_notices, notice->limits[index]->server, now);
        cw_router_apply_limit(router, notice->limits[index], now);
    }
    for (index = 0; index < notice->n_leaving; index++) {
        cw_signal_notices_record_received(router->signal_notices, notice->leaving[index], now);
        cw_engine_apply_reported_leave(router->engine, notice->leaving[index]);
    }
    cw_router_forward_broadcast(router, sender, datagram, &datagram->signal_notice->stage);
}

void cw_router_signals_init(cw_router_t *router)
{
    cw_signal_port_t port = {
        .context = router, .on_limit_named = on_limit_named, .on_leaving_announced = on_leaving_announced};

    router->signal_notices = cw_signal_notices_create();
    cw_engine_set_signal_port(router->engine, &port);
}
