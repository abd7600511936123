/**
 * @file router_paths.c
 * @brief This node's paths to servers: contacts of the engine and of orders, probes, and the log (server_paths.h).
 */
#include <stdlib.h>

#include "base/memory.h"
#include "router/router_internal.h"

struct cw_router_paths {
    cw_router_t      *router;
    cw_server_paths_t evidence;
    bool              were_lost;   /* when last logged */
    cw_time_us_t      silent_from; /* last success before the loss that was logged */
};

void cw_router_paths_init(cw_router_t *router)
{
    cw_router_paths_t *paths = cw_memory_zeroed(sizeof(*paths));

    paths->router = router;
    router->paths = paths;
    cw_engine_set_paths(router->engine, &paths->evidence);
}

void cw_router_paths_free(cw_router_t *router)
{
    free(router->paths);
}

void cw_router_paths_record_order(cw_router_t *router, bool is_answered)
{
    if (is_answered) {
        cw_server_paths_record_reached(&router->paths->evidence, cw_router_now(router));
    } else {
        cw_server_paths_record_failed(&router->paths->evidence);
    }
}

/* ---- probes ---- */

static void on_probed(void *context, bool is_answered)
{
    cw_router_paths_t *paths = context;

    cw_server_paths_record_probe(&paths->evidence, is_answered, cw_router_now(paths->router));
}

static void probe(cw_router_paths_t *paths, const cw_server_t *server)
{
    const cw_router_t *router = paths->router;

    cw_metric_add(CW_METRIC_PATH_PROBES, 1);
    router->adapter->probe_server(router->platform, server->address, CW_MS(CW_PATHS_PROBE_TIMEOUT_MS), on_probed,
                                  paths);
}

/* Probes `count` of the servers, in evenly spaced positions of the list after a random one. */
static void probe_servers(cw_router_paths_t *paths, uint32_t count)
{
    cw_server_pool_t *pool = paths->router->pool;
    uint32_t          servers = HASH_CNT(by_id, cw_server_pool_all(pool));
    uint32_t          spacing = servers > count ? servers / count : 1;
    uint32_t          position = (uint32_t)random() % spacing;
    uint32_t          index = 0;
    cw_server_t      *server;
    cw_server_t      *next;

    HASH_ITER(by_id, cw_server_pool_all(pool), server, next)
    {
        if (count > 0 && index++ == position) {
            probe(paths, server);
            position += spacing;
            count--;
        }
    }
}

bool cw_router_has_lost_paths(const cw_router_t *router)
{
    return router->paths->evidence.are_lost;
}

Cwp__ServerPaths cw_router_own_paths(const cw_router_t *router, cw_time_us_t now)
{
    const cw_server_paths_t *evidence = &router->paths->evidence;

    if (evidence->are_lost) {
        return CWP__SERVER_PATHS__PATHS_LOST;
    }
    return cw_server_paths_are_known_open(evidence, now) ? CWP__SERVER_PATHS__PATHS_OPEN
                                                         : CWP__SERVER_PATHS__PATHS_UNKNOWN;
}

bool cw_router_knows_peer_with_paths(const cw_router_t *router, cw_time_us_t now)
{
    const cw_peer_t *peer;

    for (peer = cw_peer_link_peers(router->link); peer != NULL; peer = peer->next) {
        if (cw_router_is_alive(router, peer, now) && !peer->stopping && peer->paths != CWP__SERVER_PATHS__PATHS_LOST) {
            return true;
        }
    }
    return false;
}

/* ---- ticks ---- */

static void log_change(cw_router_paths_t *paths, cw_time_us_t now)
{
    const cw_server_paths_t *evidence = &paths->evidence;
    cw_event_t               event;

    if (evidence->are_lost) {
        paths->silent_from = evidence->reached_at == 0 ? paths->router->started_at : evidence->reached_at;
    }
    cw_metric_set(CW_METRIC_PATHS_LOST, evidence->are_lost ? 1 : 0);
    if (cw_event_begin(&event, evidence->are_lost ? CW_EVENT_PATHS_LOST : CW_EVENT_PATHS_BACK)) {
        cw_event_number(&event, CW_FIELD_COUNT, evidence->failures);
        cw_event_ms(&event, CW_FIELD_SILENT_MS, now - paths->silent_from);
        cw_event_end(&event);
    }
}

void cw_router_paths_tick(cw_router_t *router, cw_time_us_t now)
{
    cw_router_paths_t *paths = router->paths;
    uint32_t           servers = HASH_CNT(by_id, cw_server_pool_all(router->pool));
    uint32_t           count = cw_server_paths_begin_probes(&paths->evidence, servers, now);

    if (count > 0) {
        probe_servers(paths, count);
    }
    if (paths->evidence.are_lost != paths->were_lost) {
        paths->were_lost = paths->evidence.are_lost;
        log_change(paths, now);
        cw_engine_paths_changed(router->engine);
        router->all_report_due = true;
        router->zone_report_due = true;
    }
}

void cw_router_paths_set_metrics(cw_router_t *router)
{
    const cw_server_paths_t *evidence = &router->paths->evidence;
    cw_time_us_t             now = cw_router_now(router);
    cw_time_us_t             since = evidence->reached_at == 0 ? router->started_at : evidence->reached_at;
    uint64_t                 avoided = 0;
    uint64_t                 own = 0;
    uint64_t                 others = 0;
    cw_server_t             *server;
    cw_server_t             *next;

    HASH_ITER(by_id, cw_server_pool_all(router->pool), server, next)
    {
        avoided += server->avoid_until > now ? 1 : 0;
        own += server->own;
        others += server->others;
    }
    cw_metric_set(CW_METRIC_REACHED_AGE_MS, (uint64_t)((now - since) / 1000));
    cw_metric_set(CW_METRIC_SERVERS_AVOIDED, avoided);
    cw_metric_set(CW_METRIC_OWN_IN_FLIGHT, own);
    cw_metric_set(CW_METRIC_OTHERS_IN_FLIGHT, others);
    cw_metric_set(CW_METRIC_SLOTS_GRANTED, cw_router_slots_granted(router));
}
