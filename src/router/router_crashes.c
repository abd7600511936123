/**
 * @file router_crashes.c
 * @brief Connects the register of requests that crash servers (crash_suspects.h) to the node: how it is proved that a
 * server has ended, and how nodes report crashes to one another.
 *
 * After the connection to a server was lost, one connection to its port is tried: if it is refused, and other servers
 * of the service are reached (refused_probes.h), the server has ended. Other ends are found from the list of servers.
 * Reports are broadcast (router_broadcast.c).
 */
#include <stdlib.h>

#include "base/memory.h"
#include "base/text.h"
#include "net/connect_probe.h"
#include "retry/refused_probes.h"
#include "router/router_paths.h"

enum {
    PROBE_TIMEOUT_MS = 300, /* connect timeout */
    /* A process that ends closes the connection before its listener, or after: while the port still accepts, or resets
     * what it has accepted, the probe is tried again. */
    PROBE_TRIES = 4,
    PROBE_AGAIN_MS = 100,
    PROBES_PER_SECOND = 10, /* many connections may be reset at once; the list proves the ends of servers not probed */
    PENDING_REPORTS_MAX = 64,   /* crashes and clearances that are being reported at a time */
    BROADCASTS_PER_REPORT = 3,  /* times that each is broadcast, since datagrams may be lost */
    BROADCAST_INTERVAL_MS = 400 /* between broadcasts */
};

/** A crash to be reported, or a clearance: a server has answered the request. */
typedef struct pending_report {
    cw_crash_t crash;
    bool       is_clearance; /* crash.lost_at is the time of the answer then */
    uint32_t   broadcasts;   /* so far */
} pending_report_t;

struct cw_router_crashes {
    cw_router_t         *router;
    cw_crash_suspects_t *suspects;
    pending_report_t     pending[PENDING_REPORTS_MAX];
    size_t               count;
    cw_time_us_t         broadcast_at;
    cw_time_us_t         probes_counted_at;
    uint32_t             probes;
    cw_refused_probes_t  refused;
};

/* ---- proofs that a server has ended ---- */

/** A connection being tried. */
typedef struct server_probe {
    cw_router_crashes_t *crashes;
    uint32_t             server;
    uint32_t             service;
    char                 address[CW_SERVER_ADDRESS_MAX];
    uint32_t             tries;
    uv_timer_t           timer; /* until the next try */
} server_probe_t;

static void on_probe_freed(uv_handle_t *timer)
{
    free(timer->data);
}

static void end_probe(server_probe_t *probe)
{
    uv_close((uv_handle_t *)&probe->timer, on_probe_freed);
}

static void begin_probe(server_probe_t *probe);

static void on_next_try(uv_timer_t *timer)
{
    begin_probe(timer->data);
}

static void on_probed(void *context, cw_probe_result_t result)
{
    server_probe_t    *probe = context;
    cw_router_t       *router = probe->crashes->router;
    cw_refused_probe_t refused = {probe->server, probe->service, cw_router_now(router),
                                  cw_router_paths_successes(router, probe->service)};

    if (result == CW_PROBE_REFUSED) {
        cw_router_paths_probe(router, probe->service);
        if (!cw_refused_probes_add(&probe->crashes->refused, &refused)) {
            cw_metric_add(CW_METRIC_LOSSES_DROPPED, 1);
        }
    } else if (result != CW_PROBE_UNKNOWN && ++probe->tries < PROBE_TRIES) {
        uv_timer_start(&probe->timer, on_next_try, PROBE_AGAIN_MS, 0);
        return;
    }
    end_probe(probe);
}

static void begin_probe(server_probe_t *probe)
{
    if (cw_connect_probe(probe->timer.loop, probe->address, CW_MS(PROBE_TIMEOUT_MS), on_probed, probe) != 0) {
        end_probe(probe); /* its address is invalid: the list proves its end */
    }
}

static uint32_t successes_at(void *context, uint32_t service)
{
    return cw_router_paths_successes(context, service);
}

static void record_proved_ends(cw_router_crashes_t *crashes, cw_time_us_t now)
{
    uint32_t server;

    while (cw_refused_probes_take(&crashes->refused, successes_at, crashes->router, now, &server)) {
        cw_crash_suspects_record_end(crashes->suspects, server, now);
    }
}

static bool may_probe(cw_router_crashes_t *crashes, cw_time_us_t now)
{
    if (now - crashes->probes_counted_at >= CW_SECONDS(1)) {
        crashes->probes_counted_at = now;
        crashes->probes = 0;
    }
    return crashes->probes++ < PROBES_PER_SECOND;
}

static void on_server_lost(void *context, const cw_server_t *server)
{
    cw_router_crashes_t *crashes = context;
    server_probe_t      *probe;

    if (!may_probe(crashes, cw_router_now(crashes->router))) {
        return; /* the list proves its end: its entry vanishes, or a later incarnation's appears */
    }
    probe = cw_memory_zeroed(sizeof(*probe));
    probe->crashes = crashes;
    probe->server = server->hash;
    probe->service = server->service_hash;
    cw_text_copy(probe->address, sizeof(probe->address), server->address);
    uv_timer_init(&crashes->router->loop, &probe->timer);
    probe->timer.data = probe;
    begin_probe(probe);
}

void cw_router_crashes_record_gone(cw_router_t *router, const cw_server_entry_t *entry)
{
    uint32_t server = cw_name_hash(entry->id);

    if (!entry->draining && cw_crash_suspects_has_loss_at(router->crashes->suspects, server)) {
        cw_crash_suspects_record_end(router->crashes->suspects, server, cw_router_now(router));
    }
}

/* ---- crashes and clearances to report ---- */

static void add_report(cw_router_crashes_t *crashes, const pending_report_t *added)
{
    if (crashes->count == PENDING_REPORTS_MAX) {
        cw_metric_add(CW_METRIC_LOSSES_DROPPED, 1);
        return;
    }
    crashes->pending[crashes->count++] = *added;
    crashes->broadcast_at = 0; /* the next tick broadcasts it */
}

static void log_crash(const cw_crash_t *crash, uint32_t crashes)
{
    cw_event_t event;

    cw_metric_add(CW_METRIC_SERVERS_CRASHED, 1);
    if (cw_event_begin(&event, CW_EVENT_SERVER_CRASHED)) {
        cw_event_number(&event, CW_FIELD_DIGEST, (int64_t)(crash->request >> 1));
        cw_event_number(&event, CW_FIELD_COUNT, crashes);
        cw_event_ms(&event, CW_FIELD_TOTAL_MS, crash->lost_at - crash->sent_at);
        cw_event_end(&event);
    }
}

static void on_crash_seen(void *context, const cw_crash_t *crash)
{
    cw_router_crashes_t *crashes = context;

    log_crash(crash, cw_crash_suspects_crashes(crashes->suspects, crash->request));
    add_report(crashes, &(pending_report_t){.crash = *crash});
}

static void on_request_cleared(void *context, uint64_t request)
{
    cw_router_crashes_t *crashes = context;
    cw_time_us_t         now = cw_router_now(crashes->router);

    add_report(crashes, &(pending_report_t){.crash = {.request = request, .lost_at = now}, .is_clearance = true});
}

/* ---- reports to other nodes ---- */

static uint32_t age_ms(cw_time_us_t since, cw_time_us_t now)
{
    return now <= since ? 0 : (uint32_t)((now - since) / 1000);
}

static size_t pack_report(cw_router_crashes_t *crashes, cw_time_us_t now)
{
    static Cwp__CrashSighting  sightings[PENDING_REPORTS_MAX];
    static Cwp__CrashSighting *pointers[PENDING_REPORTS_MAX];
    Cwp__CrashReport           report = CWP__CRASH_REPORT__INIT;
    Cwp__Datagram              datagram = CWP__DATAGRAM__INIT;
    size_t                     index;

    for (index = 0; index < crashes->count; index++) {
        const pending_report_t *item = &crashes->pending[index];

        cwp__crash_sighting__init(&sightings[index]);
        sightings[index].request = item->crash.request;
        sightings[index].server = item->crash.server;
        sightings[index].sent_age_ms = age_ms(item->crash.sent_at, now);
        sightings[index].lost_age_ms = age_ms(item->crash.lost_at, now);
        sightings[index].is_clearance = item->is_clearance;
        pointers[index] = &sightings[index];
    }
    report.stage = CW_BROADCAST_FROM_NODE;
    report.sightings = pointers;
    report.n_sightings = crashes->count;
    datagram.content_case = CWP__DATAGRAM__CONTENT_CRASH_REPORT;
    datagram.crash_report = &report;
    return cw_peer_link_pack(crashes->router->link, &datagram);
}

/* Counts a broadcast of each report, and drops those that have been broadcast often enough. */
static void count_broadcasts(cw_router_crashes_t *crashes)
{
    size_t kept = 0;
    size_t index;

    for (index = 0; index < crashes->count; index++) {
        if (++crashes->pending[index].broadcasts < BROADCASTS_PER_REPORT) {
            crashes->pending[kept++] = crashes->pending[index];
        }
    }
    crashes->count = kept;
}

void cw_router_crashes_tick(cw_router_t *router, cw_time_us_t now)
{
    cw_router_crashes_t *crashes = router->crashes;

    record_proved_ends(crashes, now);
    cw_crash_suspects_tick(crashes->suspects, now);
    cw_metric_set(CW_METRIC_CRASH_SUSPECTS, cw_crash_suspects_count(crashes->suspects));
    if (crashes->count > 0 && now - crashes->broadcast_at >= CW_MS(BROADCAST_INTERVAL_MS)) {
        crashes->broadcast_at = now;
        cw_router_broadcast(router, pack_report(crashes, now), now);
        count_broadcasts(crashes);
    }
}

/* ---- reports of other nodes ---- */

static void handle_sighting(cw_router_crashes_t *crashes, const Cwp__CrashSighting *sighting, cw_time_us_t now)
{
    cw_crash_t crash = {.request = sighting->request,
                        .server = sighting->server,
                        .sent_at = now - CW_MS(sighting->sent_age_ms),
                        .lost_at = now - CW_MS(sighting->lost_age_ms)};

    if (sighting->is_clearance) {
        /* The clearance is not reported again, since the sender has sent it to the other nodes. */
        (void)cw_crash_suspects_clear(crashes->suspects, crash.request, crash.lost_at);
    } else {
        cw_crash_suspects_record_reported(crashes->suspects, &crash, now);
    }
}

void cw_router_handle_crash_report(cw_router_t *router, const cw_peer_t *sender, const Cwp__Datagram *datagram,
                                   cw_time_us_t now)
{
    const Cwp__CrashReport *report = datagram->crash_report;
    size_t                  index;

    for (index = 0; index < report->n_sightings; index++) {
        handle_sighting(router->crashes, report->sightings[index], now);
    }
    cw_router_forward_broadcast(router, sender, datagram, &datagram->crash_report->stage);
}

void cw_router_crashes_init(cw_router_t *router)
{
    cw_router_crashes_t *crashes = calloc(1, sizeof(*crashes));
    cw_crash_port_t      port = {
             .context = crashes, .on_server_lost = on_server_lost, .on_request_cleared = on_request_cleared};

    if (crashes == NULL) {
        abort();
    }
    crashes->router = router;
    crashes->suspects = cw_crash_suspects_create(on_crash_seen, crashes);
    port.suspects = crashes->suspects;
    router->crashes = crashes;
    cw_engine_set_crash_suspects(router->engine, &port);
}
