/**
 * @file router_paths.c
 * @brief This node's paths to servers: contacts of the engine and of orders, probes, and the log (server_paths.h).
 */
#include <stdlib.h>

#include "base/memory.h"
#include "router/router_paths.h"

enum { PROOF_PROBES = 3 /* one may go to the very server that is in doubt, another to one that has just ended, too */ };

/** Paths to the servers of one service, as logged. */
typedef struct logged_paths {
    uint32_t       service;
    bool           were_lost;
    cw_time_us_t   silent_from; /* last success before the loss that was logged */
    UT_hash_handle hh;
} logged_paths_t;

struct cw_router_paths {
    cw_router_t        *router;
    cw_service_paths_t *table;
    logged_paths_t     *logged;
};

void cw_router_paths_init(cw_router_t *router)
{
    cw_router_paths_t *paths = cw_memory_zeroed(sizeof(*paths));

    paths->router = router;
    paths->table = cw_service_paths_create();
    router->paths = paths;
    cw_engine_set_paths(router->engine, paths->table);
}

void cw_router_paths_free(cw_router_t *router)
{
    logged_paths_t *logged;
    logged_paths_t *next;

    HASH_ITER(hh, router->paths->logged, logged, next)
    {
        HASH_DEL(router->paths->logged, logged); /* NOLINT(clang-analyzer-unix.Malloc): false positive in uthash */
        free(logged);
    }
    cw_service_paths_free(router->paths->table);
    free(router->paths);
}

void cw_router_paths_record_order(cw_router_t *router, const char *service, bool is_answered)
{
    cw_server_paths_t *paths = cw_service_paths_of(router->paths->table, cw_name_hash(service));

    if (is_answered) {
        cw_server_paths_record_reached(paths, cw_router_now(router));
    } else {
        cw_server_paths_record_failed(paths);
    }
}

/* ---- probes ---- */

/** A probe in flight. */
typedef struct path_probe {
    cw_router_t *router;
    uint32_t     service;
    bool         is_of_check; /* of those that server_paths.h has asked for */
} path_probe_t;

static void on_probed(void *context, bool is_answered)
{
    path_probe_t      *probe = context;
    cw_router_t       *router = probe->router;
    cw_server_paths_t *paths = cw_service_paths_of(router->paths->table, probe->service);

    if (probe->is_of_check) {
        cw_server_paths_record_probe(paths, is_answered, cw_router_now(router));
    } else if (is_answered) {
        cw_server_paths_record_reached(paths, cw_router_now(router));
    }
    if (is_answered) {
        cw_engine_wake(router->engine); /* requests of other nodes may wait for this */
    }
    free(probe);
}

static void probe_server(cw_router_t *router, const cw_server_t *server, bool is_of_check)
{
    path_probe_t *probe = cw_memory_zeroed(sizeof(*probe));

    *probe = (path_probe_t){router, server->service_hash, is_of_check};
    cw_metric_add(CW_METRIC_PATH_PROBES, 1);
    router->adapter->probe_server(router->platform, server->address, CW_MS(CW_PATHS_PROBE_TIMEOUT_MS), on_probed,
                                  probe);
}

static uint32_t count_servers(const cw_router_t *router, uint32_t service)
{
    const cw_server_t *server;
    uint32_t           count = 0;

    for (server = cw_server_pool_of_service(router->pool, service); server != NULL; server = server->next) {
        count++;
    }
    return count;
}

/* Probes `count` of the service's servers, in evenly spaced positions of the list after a random one. */
static void probe_servers(cw_router_t *router, uint32_t service, uint32_t count, bool is_of_check)
{
    uint32_t           servers = count_servers(router, service);
    uint32_t           spacing = servers > count ? servers / count : 1;
    uint32_t           position = (uint32_t)random() % spacing;
    uint32_t           index = 0;
    const cw_server_t *server;

    for (server = cw_server_pool_of_service(router->pool, service); server != NULL && count > 0;
         server = server->next) {
        if (index++ == position) {
            probe_server(router, server, is_of_check);
            position += spacing;
            count--;
        }
    }
}

void cw_router_paths_probe(cw_router_t *router, uint32_t service)
{
    probe_servers(router, service, PROOF_PROBES, false);
}

/* ---- state ---- */

uint32_t cw_router_paths_successes(const cw_router_t *router, uint32_t service)
{
    return cw_service_paths_of(router->paths->table, service)->successes;
}

bool cw_router_has_lost_paths(const cw_router_t *router, uint32_t service)
{
    return cw_service_paths_are_lost(router->paths->table, service);
}

bool cw_router_has_proof_of_paths(cw_router_t *router, uint32_t service, cw_time_us_t fresh, cw_time_us_t now)
{
    cw_server_paths_t *paths = cw_service_paths_of(router->paths->table, service);
    bool               is_reached = paths->failures == 0 && paths->reached_at != 0 && now - paths->reached_at <= fresh;

    if (paths->are_lost || is_reached || cw_server_pool_of_service(router->pool, service) == NULL) {
        return true;
    }
    cw_server_paths_want_check(paths);
    return false;
}

cw_peer_paths_t cw_router_own_paths(const cw_router_t *router, cw_time_us_t now)
{
    const cw_service_paths_t *table = router->paths->table;
    cw_peer_paths_t           own = {0};
    size_t                    lost = cw_service_paths_lost(table, own.lost, CW_PEER_LOST_SERVICES_MAX);
    Cwp__ServerPaths          state =
        cw_service_paths_any_open(table, now) ? CWP__SERVER_PATHS__PATHS_OPEN : CWP__SERVER_PATHS__PATHS_UNKNOWN;

    if (lost > 0 && (lost == cw_service_paths_count(table) || lost > CW_PEER_LOST_SERVICES_MAX)) {
        state = CWP__SERVER_PATHS__PATHS_LOST;
    }
    own.state = state;
    own.lost_count = lost < CW_PEER_LOST_SERVICES_MAX ? lost : CW_PEER_LOST_SERVICES_MAX;
    return own;
}

bool cw_router_knows_peer_with_paths(const cw_router_t *router, cw_time_us_t now)
{
    const cw_peer_t *peer;

    for (peer = cw_peer_link_peers(router->link); peer != NULL; peer = peer->next) {
        if (cw_router_is_alive(router, peer, now) && !peer->stopping && !cw_peer_paths_lack_any(&peer->paths)) {
            return true;
        }
    }
    return false;
}

static bool takes_requests(const cw_peer_t *peer)
{
    return peer->last_received_at != 0 && !peer->is_lost && !peer->stopping &&
           (peer->paths.state == CWP__SERVER_PATHS__PATHS_OPEN ||
            peer->paths.state == CWP__SERVER_PATHS__PATHS_UNKNOWN);
}

bool cw_router_has_way_to_servers(const cw_router_t *router, cw_time_us_t now)
{
    const cw_peer_t *peer;

    if (cw_router_own_paths(router, now).state != CWP__SERVER_PATHS__PATHS_LOST || router->fleet_size.announced <= 1) {
        return true;
    }
    for (peer = cw_peer_link_peers(router->link); peer != NULL; peer = peer->next) {
        if (takes_requests(peer)) {
            return true;
        }
    }
    return false;
}

/* ---- ticks ---- */

static logged_paths_t *logged_of(cw_router_paths_t *paths, uint32_t service)
{
    logged_paths_t *logged;

    HASH_FIND(hh, paths->logged, &service, sizeof(service), logged);
    if (logged == NULL) {
        logged = cw_memory_zeroed(sizeof(*logged));
        logged->service = service;
        HASH_ADD(hh, paths->logged, service, sizeof(logged->service), logged);
    }
    return logged;
}

static void log_change(const cw_router_t *router, logged_paths_t *logged, const cw_server_paths_t *paths,
                       cw_time_us_t now)
{
    const cw_server_t *server = cw_server_pool_of_service(router->pool, logged->service);
    cw_event_t         event;

    if (paths->are_lost) {
        logged->silent_from = paths->reached_at == 0 ? router->started_at : paths->reached_at;
    }
    if (cw_event_begin(&event, paths->are_lost ? CW_EVENT_PATHS_LOST : CW_EVENT_PATHS_BACK)) {
        cw_event_text(&event, CW_FIELD_SERVICE, server == NULL ? NULL : server->service);
        cw_event_number(&event, CW_FIELD_COUNT, paths->failures);
        cw_event_ms(&event, CW_FIELD_SILENT_MS, now - logged->silent_from);
        cw_event_end(&event);
    }
}

static void check_service(void *context, uint32_t service, cw_server_paths_t *paths)
{
    cw_router_t    *router = context;
    cw_time_us_t    now = cw_router_now(router);
    logged_paths_t *logged = logged_of(router->paths, service);
    uint32_t        servers = count_servers(router, service);
    uint32_t        count = cw_server_paths_begin_probes(paths, servers, now);

    if (count > 0) {
        probe_servers(router, service, count, true);
    }
    if (paths->are_lost == logged->were_lost) {
        return;
    }
    logged->were_lost = paths->are_lost;
    log_change(router, logged, paths, now);
    cw_engine_paths_changed(router->engine, service);
    router->reports.is_all_due = true;
    router->reports.is_zone_due = true;
}

void cw_router_paths_tick(cw_router_t *router, cw_time_us_t now)
{
    (void)now;
    cw_service_paths_each(router->paths->table, check_service, router);
}

/* ---- metrics ---- */

static void find_latest(void *context, uint32_t service, cw_server_paths_t *paths)
{
    cw_time_us_t *latest = context;

    (void)service;
    *latest = paths->reached_at > *latest ? paths->reached_at : *latest;
}

void cw_router_paths_set_metrics(cw_router_t *router)
{
    cw_time_us_t now = cw_router_now(router);
    cw_time_us_t latest = 0;
    uint64_t     avoided = 0;
    uint64_t     own = 0;
    uint64_t     others = 0;
    cw_server_t *server;
    cw_server_t *next;

    cw_service_paths_each(router->paths->table, find_latest, &latest);
    HASH_ITER(by_id, cw_server_pool_all(router->pool), server, next)
    {
        avoided += server->avoid_until > now ? 1 : 0;
        own += server->own;
        others += server->others;
    }
    cw_metric_set(CW_METRIC_PATHS_LOST, cw_service_paths_lost(router->paths->table, NULL, 0));
    cw_metric_set(CW_METRIC_REACHED_AGE_MS, (uint64_t)((now - (latest == 0 ? router->started_at : latest)) / 1000));
    cw_metric_set(CW_METRIC_SERVERS_AVOIDED, avoided);
    cw_metric_set(CW_METRIC_OWN_IN_FLIGHT, own);
    cw_metric_set(CW_METRIC_OTHERS_IN_FLIGHT, others);
    cw_metric_set(CW_METRIC_SLOTS_GRANTED, cw_router_slots_granted(router));
}
