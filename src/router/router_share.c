/**
 * @file router_share.c
 * @brief Readers of the store: whether this node is one, and the notices that readers send to other nodes.
 *
 * A reader keeps a watch on the configuration. Without the leader's heartbeat it also reads the list of servers and the
 * records of assignments (router_view.c). It sends a notice to its zone every CW_READER_NOTICE_MS, and one to all nodes
 * when it has read a new configuration. A notice states which version is in force at the reader, and the age of the
 * evidence that it is the newest one. It also states the hashes of the reader's list and tables, and when these were
 * last valid: a node that has the same ones need not read them. A node that lacks the version requests it
 * (configuration_exchange.h).
 */
#include <string.h>

#include "router/router_internal.h"

enum {
    RANKING_INTERVAL_MS = 200,
    LINK_DIVISOR = 3, /* a third of the link's bandwidth is for pages of configurations; requests need the rest */
    BITS_PER_BYTE = 8,
    NEW_NODE_MS = 3500, /* bounds apply to machines in touch with others, four seconds after a start at the earliest */
    FIRST_CHECK_MS = 2500 /* a node without evidence then checks its first configuration, within that time */
};

bool cw_router_is_new(const cw_router_t *router, cw_time_us_t now)
{
    return now - router->started_at < CW_MS(NEW_NODE_MS);
}

/* ---- the exchange of configurations ---- */

static void send_to(void *context, uint32_t address, const Cwp__Datagram *datagram)
{
    cw_router_t *router = context;
    cw_peer_t   *peer = cw_peer_link_learn(router->link, address, cw_router_now(router));

    if (peer != NULL) {
        cw_peer_link_send(router->link, peer, datagram);
    }
}

static void on_received(void *context, cw_configuration_t *configuration)
{
    cw_router_t *router = context;

    if (cw_router_apply_configuration(router, configuration, "node")) {
        router->store->forget_configuration_reading(router->store->context);
        cw_router_share_configuration(router, false, cw_router_now(router));
    }
}

static void on_too_large(void *context)
{
    cw_router_t *router = context;
    cw_time_us_t now = cw_router_now(router);

    if (cw_configuration_newest_try_start_read(&router->configuration_newest, CW_MS(CW_READER_NOTICE_MS), now)) {
        router->store->read_configuration(router->store->context);
    }
}

void cw_router_share_init(cw_router_t *router)
{
    cw_configuration_exchange_owner_t owner = {.context = router,
                                               .send = send_to,
                                               .received = on_received,
                                               .too_large = on_too_large,
                                               .bytes_per_s = (double)router->settings.link_mbps * 1e6 / BITS_PER_BYTE /
                                                              LINK_DIVISOR};

    router->exchange = cw_configuration_exchange_create(&owner);
    cw_configuration_freshness_init(&router->freshness, router->settings.configuration_within);
    router->credential_evidence = (cw_credential_evidence_t){.stale_after = router->settings.credentials_stale_after,
                                                             .fails_closed = router->settings.credentials_fail_closed};
}

/* ---- role ---- */

static bool has_recent_heartbeat(const cw_router_t *router, cw_time_us_t now)
{
    return now - router->leader.heartbeat_at < CW_MS(CW_READER_TIMEOUT_MS);
}

static cw_configuration_role_t configuration_role(const cw_router_t *router, cw_time_us_t now)
{
    if (router->leadership.leading || (router->reader.is_reader && !has_recent_heartbeat(router, now))) {
        return CW_CONFIGURATION_CHECKER;
    }
    return router->reader.is_reader ? CW_CONFIGURATION_READER : CW_CONFIGURATION_FOLLOWER;
}

/* ---- notices ---- */

static bool is_in_zone(const cw_router_t *router, const cw_peer_t *peer)
{
    return peer->last_received_at != 0 && !peer->is_lost && strcmp(peer->zone, router->settings.zone) == 0;
}

static uint32_t age_ms(cw_time_us_t since, cw_time_us_t now)
{
    return (uint32_t)((now - since) / 1000);
}

static void send_notice(cw_router_t *router, bool to_all, cw_time_us_t now)
{
    Cwp__StoreNotice notice = CWP__STORE_NOTICE__INIT;
    Cwp__Datagram    datagram = CWP__DATAGRAM__INIT;
    cw_peer_t       *peer;
    size_t           length;

    notice.sent_ms = (uint64_t)(now / 1000) + 1;
    notice.incarnation = router->incarnation;
    notice.configuration = cw_router_version(router);
    notice.configuration_age_ms = cw_configuration_freshness_pack(&router->freshness, now);
    if (router->server_view.list != NULL && router->server_view.evidence.valid_at != 0) {
        notice.servers_hash = router->server_view.hash;
        notice.servers_revision = cw_store_revision_count(router->server_view.revision);
        notice.servers_revision_epoch = cw_router_sent_epoch(router->server_view.revision);
        notice.servers_age_ms = age_ms(router->server_view.evidence.valid_at, now) + 1;
    }
    if (router->tables_valid_at != 0) {
        notice.tables_hash = router->tables_hash;
        notice.tables_age_ms = age_ms(router->tables_valid_at, now);
    }
    datagram.content_case = CWP__DATAGRAM__CONTENT_STORE_NOTICE;
    datagram.store_notice = &notice;
    length = cw_peer_link_pack(router->link, &datagram);
    for (peer = cw_peer_link_peers(router->link); peer != NULL; peer = peer->next) {
        if (to_all || is_in_zone(router, peer)) {
            cw_peer_link_send_packed(router->link, peer, length);
        }
    }
    router->reader.notice_sent_at = now;
}

void cw_router_share_configuration(cw_router_t *router, bool is_from_store, cw_time_us_t now)
{
    cw_configuration_exchange_set(router->exchange, router->configuration);
    if (is_from_store && (router->reader.is_reader || router->leadership.leading)) {
        send_notice(router, true, now);
    }
}

/* When a notice was sent; its receipt if the sender's release does not state it. */
static cw_time_us_t notice_sent_at(cw_peer_t *peer, const Cwp__StoreNotice *notice, cw_time_us_t now)
{
    if (notice->sent_ms == 0) {
        return now;
    }
    return cw_clock_offset_sent_at(&peer->clock, notice->incarnation, CW_MS((cw_time_us_t)(notice->sent_ms - 1)), now);
}

void cw_router_handle_notice(cw_router_t *router, cw_peer_t *peer, const Cwp__StoreNotice *notice, cw_time_us_t now)
{
    cw_time_us_t sent_at = notice_sent_at(peer, notice, now);

    if (peer->last_received_at != 0) {
        peer->last_received_at = now;
        peer->store_lost = false;
    }
    cw_router_record_configuration(router, peer, notice->configuration, now);
    if (cw_configuration_role_takes_readers_evidence(configuration_role(router, now))) {
        cw_router_record_sent_evidence(router, notice->configuration, notice->configuration_age_ms, sent_at);
    }
    if (router->leadership.leading || cw_router_reads_backlog(router, now)) {
        return;
    }
    if (notice->servers_hash != 0 && router->server_view.list != NULL &&
        notice->servers_hash == router->server_view.hash) {
        cw_list_evidence_t evidence = {.valid_at = sent_at - CW_MS(notice->servers_age_ms),
                                       .source = CW_LIST_SOURCE_READER,
                                       .from = peer->address};

        cw_server_view_confirm(
            &router->server_view,
            cw_router_received_revision(router, notice->servers_revision_epoch, notice->servers_revision), &evidence);
    }
    if (notice->tables_hash != 0 && router->tables_valid_at != 0 && notice->tables_hash == router->tables_hash) {
        cw_router_confirm_tables(router, sent_at - CW_MS(notice->tables_age_ms));
    }
}

/* ---- choice of the readers ---- */

/* True if the peer may be a reader of this zone and was received from recently. */
static bool is_reader_candidate(const cw_router_t *router, const cw_peer_t *peer, cw_time_us_t now)
{
    return is_in_zone(router, peer) && !peer->stopping && !peer->store_lost &&
           now - peer->last_received_at < CW_MS(CW_READER_TIMEOUT_MS);
}

static bool is_ranked_as_reader(const cw_router_t *router, cw_time_us_t now)
{
    cw_store_reader_candidate_t self = {.address = cw_peer_link_own_address(router->link),
                                        .capability = cw_router_capability(router)};
    size_t                      zone_nodes = 1;
    uint32_t                    before = 0;
    const cw_peer_t            *peer;

    for (peer = cw_peer_link_peers(router->link); peer != NULL; peer = peer->next) {
        cw_store_reader_candidate_t candidate = {.address = peer->address, .capability = peer->capability};

        zone_nodes += is_in_zone(router, peer) ? 1 : 0;
        before += is_reader_candidate(router, peer, now) && cw_store_reader_precedes(&candidate, &self) ? 1 : 0;
    }
    return before < cw_store_reader_count(zone_nodes);
}

/* A process that has just started uses a copy of the configuration and the configurations that other nodes send. It
 * watches nothing unless it leads or reads. */
static void watch_configuration(cw_router_t *router, cw_time_us_t now)
{
    cw_configuration_role_t role = configuration_role(router, now);
    bool                    is_new = now - router->started_at < CW_MS(FIRST_CHECK_MS);

    router->store->watch_configuration(router->store->context,
                                       is_new && role == CW_CONFIGURATION_FOLLOWER
                                           ? 0
                                           : cw_configuration_freshness_watch(&router->freshness, role, now));
}

static void set_reader(cw_router_t *router, bool is_reader)
{
    cw_event_t event;

    if (router->reader.is_reader == is_reader) {
        return;
    }
    router->reader.is_reader = is_reader;
    cw_metric_set(CW_METRIC_READER, is_reader ? 1 : 0);
    if (cw_event_begin(&event, CW_EVENT_READER)) {
        cw_event_text(&event, CW_FIELD_DETAIL, is_reader ? "reads for its zone" : "reads no longer");
        cw_event_number(&event, CW_FIELD_CONFIGURATION, (int64_t)cw_router_version(router));
        cw_event_end(&event);
    }
}

void cw_router_share_tick(cw_router_t *router, cw_time_us_t now)
{
    bool is_new = cw_router_is_new(router, now);

    cw_configuration_exchange_tick(router->exchange, now);
    if (now - router->reader.ranked_at >= CW_MS(RANKING_INTERVAL_MS)) {
        router->reader.ranked_at = now;
        set_reader(router, router->stopping_at == 0 && !is_new &&
                               (router->leadership.leading || is_ranked_as_reader(router, now)));
    }
    watch_configuration(router, now);
    if (router->reader.is_reader && !router->store_availability.is_lost &&
        now - router->reader.notice_sent_at >= CW_MS(CW_READER_NOTICE_MS)) {
        send_notice(router, false, now);
    }
}
