/**
 * @file router_configuration.c
 * @brief The configuration in force at this node, and when it is read from the store in addition to the watch.
 *
 * Rules:
 *  - A version comes into force only if it is higher than the one in force, whoever sent it. A node never goes back.
 *  - A few nodes watch the configuration in the store (store_reader.h); the others receive it from them
 *    (configuration_exchange.h). A node that has known of a higher version for a while without receiving it reads the
 *    store itself.
 *  - Each node keeps the evidence that its version is the newest one, and checks that at the store when the evidence
 *    grows old (configuration_freshness.h).
 */
#include <string.h>

#include "base/dropped_entries.h"
#include "base/loop_stall.h"
#include "model/configuration_timing.h"
#include "router/router_paths.h"

uint64_t cw_router_version(const cw_router_t *router)
{
    return router->configuration == NULL ? 0 : router->configuration->version;
}

/* Time since another node was first known to have a higher version than this one; 0: none is. */
static cw_time_us_t known_for(const cw_router_t *router, cw_time_us_t now)
{
    bool is_known = router->configuration_newest.version > cw_router_version(router);

    return is_known ? now - router->configuration_newest.since : 0;
}

static void log_accepted(const cw_router_t *router, const cw_configuration_t *configuration, const char *source)
{
    cw_route_walk_t walk = {.base = router->configuration, .configuration = configuration};
    cw_time_us_t    now = cw_router_now(router);
    int64_t         added = 0;
    int64_t         removed = 0;
    cw_event_t      event;

    while (cw_route_walk_next(&walk)) {
        added += walk.before == NULL ? 1 : 0;
        removed += walk.after == NULL ? 1 : 0;
    }
    if (cw_event_begin(&event, CW_EVENT_CONFIGURATION_ACCEPTED)) {
        cw_event_number(&event, CW_FIELD_VERSION, (int64_t)configuration->version);
        cw_event_number(&event, CW_FIELD_COUNT, (int64_t)configuration->route_count);
        cw_event_number(&event, CW_FIELD_ADDED, added);
        cw_event_number(&event, CW_FIELD_REMOVED, removed);
        cw_event_text(&event, CW_FIELD_DETAIL, source);
        cw_event_ms(&event, CW_FIELD_WAITED_MS, known_for(router, now));
        cw_event_ms(&event, CW_FIELD_EVIDENCE_MS, cw_configuration_freshness_age(&router->freshness, now));
        cw_event_end(&event);
    }
}

/* Services divided by key get no owners if the tables have no room for them. */
static void log_dropped_keyed_services(const cw_configuration_t *configuration)
{
    size_t keyed = 0;
    size_t index;

    for (index = 0; index < configuration->service_count; index++) {
        keyed += configuration->services[index].keyed ? 1 : 0;
    }
    cw_dropped_entries_report("services divided by key: the others get no owners", CW_KEYED_SERVICES_MAX,
                              keyed > CW_KEYED_SERVICES_MAX ? keyed - CW_KEYED_SERVICES_MAX : 0);
}

bool cw_router_apply_configuration(cw_router_t *router, cw_configuration_t *configuration, const char *source)
{
    if (router->configuration != NULL && configuration->version <= router->configuration->version) {
        cw_configuration_release(configuration); /* a node never goes back to a lower version */
        return false;
    }
    log_accepted(router, configuration, source);
    log_dropped_keyed_services(configuration);
    cw_configuration_release(router->configuration);
    router->configuration = configuration;
    router->reports.is_all_due = true;
    cw_configuration_freshness_set(&router->freshness, configuration->version);
    cw_engine_set_configuration(router->engine, configuration);
    cw_router_apply_warm_ups(router);
    cw_http_listener_set_limits(router->callers, &configuration->limits);
    cw_router_delegation_set_limits(router, &configuration->limits);
    cw_metric_set(CW_METRIC_CONFIGURATION, configuration->version);
    return true;
}

void cw_router_on_configuration(void *context, cw_configuration_t *configuration, const char *problem)
{
    cw_router_t *router = context;
    cw_event_t   event;

    if (configuration == NULL) {
        if (cw_event_begin(&event, CW_EVENT_CONFIGURATION_REFUSED)) {
            cw_event_text(&event, CW_FIELD_REASON, problem);
            cw_event_end(&event);
        }
        return;
    }
    if (cw_router_apply_configuration(router, configuration, "store")) {
        cw_router_share_configuration(router, true, cw_router_now(router));
    }
}

void cw_router_on_configuration_evidence(void *context, uint64_t version, cw_time_us_t at)
{
    cw_router_t *router = context;

    cw_configuration_freshness_confirm(&router->freshness, version, at);
}

void cw_router_record_sent_evidence(cw_router_t *router, uint64_t version, uint32_t packed_age, cw_time_us_t sent_at)
{
    /* After a stall the datagram may have waited since the sockets were last looked at. */
    cw_time_us_t looked_at = cw_loop_stall_is_behind(&router->loop) ? cw_loop_stall_last_look(&router->loop) : sent_at;

    if (!router->leadership.leading) {
        cw_configuration_freshness_unpack(&router->freshness, version, packed_age,
                                          looked_at < sent_at ? looked_at : sent_at);
    }
}

void cw_router_record_configuration(cw_router_t *router, const cw_peer_t *peer, uint64_t version, cw_time_us_t now)
{
    bool is_same_zone = strcmp(peer->zone, router->settings.zone) == 0;

    if (version <= cw_router_version(router)) {
        return;
    }
    cw_configuration_exchange_record_holder(router->exchange, peer->address, version, is_same_zone, now);
    cw_configuration_newest_record(&router->configuration_newest, version, cw_router_version(router), now);
}

static void check_credential_evidence(cw_router_t *router, cw_time_us_t now)
{
    cw_credential_evidence_t *evidence = &router->credential_evidence;
    cw_time_us_t              complete_at = router->freshness.complete_at;
    cw_evidence_change_t      change = cw_credential_evidence_check(evidence, complete_at, now);
    cw_event_t                event;

    cw_engine_trust_keys(router->engine, cw_credential_evidence_trusted_until(evidence, complete_at));
    if (change != CW_EVIDENCE_UNCHANGED &&
        cw_event_begin(&event, change == CW_EVIDENCE_STALE ? CW_EVENT_KEYS_STALE : CW_EVENT_KEYS_CONFIRMED)) {
        cw_event_number(&event, CW_FIELD_CONFIGURATION, (int64_t)cw_router_version(router));
        cw_event_text(&event, CW_FIELD_DETAIL, evidence->fails_closed ? "fails closed" : "goes on");
        cw_event_end(&event);
    }
}

static void log_overdue(const cw_router_t *router, cw_time_us_t now)
{
    cw_event_t event;

    if (cw_event_begin(&event, CW_EVENT_CONFIGURATION_OVERDUE)) {
        cw_event_number(&event, CW_FIELD_VERSION, (int64_t)router->configuration_newest.version);
        cw_event_number(&event, CW_FIELD_IN_FORCE, (int64_t)cw_router_version(router));
        cw_event_ms(&event, CW_FIELD_WAITED_MS, known_for(router, now));
        cw_event_end(&event);
    }
}

void cw_router_configuration_tick(cw_router_t *router, cw_time_us_t now)
{
    cw_time_us_t max_wait =
        cw_configuration_part(router->settings.configuration_within, CW_CONFIGURATION_EXCHANGE_PERCENT);
    uint64_t version = cw_router_version(router);
    bool     is_overdue = cw_configuration_newest_is_overdue(&router->configuration_newest, version, max_wait, now);

    check_credential_evidence(router, now);
    if (is_overdue && !cw_configuration_exchange_is_receiving(router->exchange, now)) {
        log_overdue(router, now);
        cw_configuration_newest_start_read(&router->configuration_newest, now);
        router->store->read_configuration(router->store->context);
    }
}
