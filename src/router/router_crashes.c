/**
 * @file router_crashes.c
 * @brief Wires suspects of crashes (crash_suspects.h) into the node: how a server's end is proved, and how nodes tell
 * one another.
 *
 * After a loss the server's port is tried once: what refuses connections has ended. The list shows the rest. Reports
 * are broadcast (router_broadcast.c).
 */
#include <stdlib.h>

#include "net/connect_probe.h"
#include "router/router_internal.h"

enum {
    PROBE_MS = 300,
    PROBES_A_SECOND = 10, /* many connections may be reset at once: the list proves the ends of the others */
    REPORTED_MOST = 64,   /* crashes and clearances that are being reported */
    REPORTS = 3,          /* of each */
    REPORT_AGAIN_MS = 400
};

/** What is reported: a crash, or that a server has answered the request. */
typedef struct reported {
    cw_crash_t crash;
    bool       is_clearance; /* crash.lost_at: when it answered */
    uint32_t   reports;
} reported_t;

struct cw_router_crashes {
    cw_router_t         *router;
    cw_crash_suspects_t *suspects;
    reported_t           reported[REPORTED_MOST];
    size_t               count;
    cw_time_us_t         reported_at;
    cw_time_us_t         probes_counted_at;
    uint32_t             probes;
};

/* ---- proofs ---- */

/** A probe under way. */
typedef struct server_probe {
    cw_router_crashes_t *crashes;
    uint32_t             server;
} server_probe_t;

static void on_probed(void *context, cw_probe_result_t result)
{
    server_probe_t *probe = context;
    cw_router_t    *router = probe->crashes->router;

    if (result == CW_PROBE_REFUSED) {
        cw_crash_suspects_note_end(probe->crashes->suspects, probe->server, cw_router_now(router));
    }
    free(probe);
}

static bool may_probe(cw_router_crashes_t *crashes, cw_time_us_t now)
{
    if (now - crashes->probes_counted_at >= CW_SECONDS(1)) {
        crashes->probes_counted_at = now;
        crashes->probes = 0;
    }
    return crashes->probes++ < PROBES_A_SECOND;
}

static void on_server_lost(void *context, const cw_server_t *server)
{
    cw_router_crashes_t *crashes = context;
    server_probe_t      *probe;

    if (!may_probe(crashes, cw_router_now(crashes->router))) {
        return; /* its entry will go, or that of a later incarnation come */
    }
    probe = malloc(sizeof(*probe));
    if (probe == NULL) {
        abort();
    }
    *probe = (server_probe_t){.crashes = crashes, .server = server->hash};
    if (cw_connect_probe(&crashes->router->loop, server->address, CW_MS(PROBE_MS), on_probed, probe) != 0) {
        free(probe); /* no address: the same */
    }
}

void cw_router_crashes_note_gone(cw_router_t *router, const cw_server_entry_t *entry)
{
    uint32_t server = cw_name_hash(entry->id);

    if (!entry->draining && cw_crash_suspects_has_loss_at(router->crashes->suspects, server)) {
        cw_crash_suspects_note_end(router->crashes->suspects, server, cw_router_now(router));
    }
}

/* ---- what is reported ---- */

static void add_reported(cw_router_crashes_t *crashes, const reported_t *added)
{
    if (crashes->count == REPORTED_MOST) {
        cw_metric_add(CW_METRIC_LOSSES_DROPPED, 1);
        return;
    }
    crashes->reported[crashes->count++] = *added;
    crashes->reported_at = 0; /* at once */
}

static void note_crash(const cw_crash_t *crash, uint32_t crashes)
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

    note_crash(crash, cw_crash_suspects_crashes(crashes->suspects, crash->request));
    add_reported(crashes, &(reported_t){.crash = *crash});
}

static void on_cleared(void *context, uint64_t request)
{
    cw_router_crashes_t *crashes = context;
    cw_time_us_t         now = cw_router_now(crashes->router);

    add_reported(crashes, &(reported_t){.crash = {.request = request, .lost_at = now}, .is_clearance = true});
}

/* ---- reports ---- */

static uint32_t age_ms(cw_time_us_t since, cw_time_us_t now)
{
    return now <= since ? 0 : (uint32_t)((now - since) / 1000);
}

static size_t pack_report(cw_router_crashes_t *crashes, cw_time_us_t now)
{
    static Cwp__CrashSighting  sightings[REPORTED_MOST];
    static Cwp__CrashSighting *pointers[REPORTED_MOST];
    Cwp__CrashReport           report = CWP__CRASH_REPORT__INIT;
    Cwp__Datagram              datagram = CWP__DATAGRAM__INIT;
    size_t                     index;

    for (index = 0; index < crashes->count; index++) {
        const reported_t *reported = &crashes->reported[index];

        cwp__crash_sighting__init(&sightings[index]);
        sightings[index].request = reported->crash.request;
        sightings[index].server = reported->crash.server;
        sightings[index].sent_age_ms = age_ms(reported->crash.sent_at, now);
        sightings[index].lost_age_ms = age_ms(reported->crash.lost_at, now);
        sightings[index].is_clearance = reported->is_clearance;
        pointers[index] = &sightings[index];
    }
    report.stage = CW_BROADCAST_FROM_NODE;
    report.sightings = pointers;
    report.n_sightings = crashes->count;
    datagram.content_case = CWP__DATAGRAM__CONTENT_CRASH_REPORT;
    datagram.crash_report = &report;
    return cw_peer_link_pack(crashes->router->link, &datagram);
}

static void count_reports(cw_router_crashes_t *crashes)
{
    size_t kept = 0;
    size_t index;

    for (index = 0; index < crashes->count; index++) {
        if (++crashes->reported[index].reports < REPORTS) {
            crashes->reported[kept++] = crashes->reported[index];
        }
    }
    crashes->count = kept;
}

void cw_router_crashes_tick(cw_router_t *router, cw_time_us_t now)
{
    cw_router_crashes_t *crashes = router->crashes;

    cw_crash_suspects_tick(crashes->suspects, now);
    cw_metric_set(CW_METRIC_CRASH_SUSPECTS, cw_crash_suspects_count(crashes->suspects));
    if (crashes->count > 0 && now - crashes->reported_at >= CW_MS(REPORT_AGAIN_MS)) {
        crashes->reported_at = now;
        cw_router_broadcast(router, pack_report(crashes, now), now);
        count_reports(crashes);
    }
}

/* ---- reports of others ---- */

static void take_sighting(cw_router_crashes_t *crashes, const Cwp__CrashSighting *sighting, cw_time_us_t now)
{
    cw_crash_t crash = {.request = sighting->request,
                        .server = sighting->server,
                        .sent_at = now - CW_MS(sighting->sent_age_ms),
                        .lost_at = now - CW_MS(sighting->lost_age_ms)};

    if (sighting->is_clearance) {
        (void)cw_crash_suspects_clear(crashes->suspects, crash.request, crash.lost_at); /* others know it already */
    } else {
        cw_crash_suspects_note_reported(crashes->suspects, &crash, now);
    }
}

void cw_router_handle_crash_report(cw_router_t *router, const cw_peer_t *sender, const Cwp__Datagram *datagram,
                                   cw_time_us_t now)
{
    const Cwp__CrashReport *report = datagram->crash_report;
    size_t                  index;

    for (index = 0; index < report->n_sightings; index++) {
        take_sighting(router->crashes, report->sightings[index], now);
    }
    cw_router_pass_on_broadcast(router, sender, datagram, &datagram->crash_report->stage);
}

void cw_router_crashes_init(cw_router_t *router)
{
    cw_router_crashes_t *crashes = calloc(1, sizeof(*crashes));
    cw_crash_port_t      port = {.context = crashes, .lost = on_server_lost, .cleared = on_cleared};

    if (crashes == NULL) {
        abort();
    }
    crashes->router = router;
    crashes->suspects = cw_crash_suspects_create(on_crash_seen, crashes);
    port.suspects = crashes->suspects;
    router->crashes = crashes;
    cw_engine_set_crash_suspects(router->engine, &port);
}
