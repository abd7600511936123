/**
 * @file router_relay.c
 * @brief Connects relays to the node: sends summaries of this zone to other zones, and applies the summaries of the
 * other zones.
 *
 * In a large fleet, reports of each node to the nodes of other zones would be most of the traffic between zones.
 * Instead, a relay sends a summary of its zone to a relay of each other zone every CW_SUMMARY_INTERVAL_MS. The
 * receiving relay forwards the summary unchanged inside its zone. A summary carries a whole state: which nodes are
 * alive and how long ago each was last received from, and, every LOADS_INTERVAL_MS, sums over the zone of the requests
 * at owners of keys and of the waiting ones. Details that change rarely (names, incarnations) are included for
 * DETAILS_CHANGED_MS after a change, and for all nodes every DETAILS_INTERVAL_MS (router_summary.c).
 */
#include <stdlib.h>
#include <string.h>

#include "base/memory.h"
#include "base/text.h"
#include "router/relay_choice.h"
#include "router/router_internal.h"
#include "router/router_summary.h"
#include "router/view_check.h"

enum {
    /* A node that has not ticked for longer has stalled. Datagrams that arrive during a shorter interruption are read
     * no later than the summary that follows a lost one would be. */
    STALL_MS = CW_SUMMARY_INTERVAL_MS,
    /* The list may differ from the leader's for this time before the whole list is requested, since a node may have
     * observed that a server leaves when the leader has not, or the reverse. */
    SERVERS_UNEQUAL_S = 10,
    /* Interval between requests: an observed leave is forgotten within it (DEPARTURE_RETENTION_S of server_view.c). */
    SERVERS_REPEAT_S = 60,
    TABLES_UNEQUAL_MS = 1000, /* three heartbeats */
    TABLES_REPEAT_MS = 5000,
    /* Time after a stall in which datagrams of the backlog are read: the socket holds 212,992 bytes, and 32 datagrams
     * are read in a turn of the loop. */
    BACKLOG_MS = 100
};

/** Relays of one zone, computed from the nodes that this node knows. */
typedef struct zone_relays {
    char     name[64];
    uint32_t nodes;             /* nodes of the zone */
    uint32_t relays[CW_RELAYS]; /* addresses by rank; 0: none */
    size_t   count;             /* of the relays */
} zone_relays_t;

struct cw_router_relay {
    cw_zone_links_t    links;
    cw_summary_times_t times;
    cw_time_us_t       sent_at;
    uint32_t           largest_zone;
    zone_relays_t      zones[CW_ZONES_MAX]; /* this node's own zone first */
    size_t             zone_count;
    cw_view_check_t    servers_check;
    cw_view_check_t    tables_check;
    cw_time_us_t       ticked_at;     /* last tick; 0: none yet */
    cw_time_us_t       backlog_until; /* datagrams read before this time may have arrived during a stall of this node */
};

void cw_router_relay_init(cw_router_t *router)
{
    router->relay = cw_memory_zeroed(sizeof(*router->relay));
}

static bool is_in_zone(const cw_peer_t *peer)
{
    return peer->last_received_at != 0 && peer->distance == CW_DISTANCE_ZONE;
}

/* ---- parts that reports may omit ---- */

bool cw_router_is_covered(const cw_router_t *router, const cw_peer_t *peer, cw_time_us_t now)
{
    return cw_router_nodes_are_many(router) && cw_zone_links_is_covered(&router->relay->links, peer->zone, now);
}

bool cw_router_is_summarized(const cw_router_t *router, const cw_peer_t *peer, cw_time_us_t now)
{
    return peer->distance != CW_DISTANCE_ZONE && cw_zone_links_is_summarized(&router->relay->links, peer->zone, now);
}

uint32_t cw_router_largest_zone(const cw_router_t *router)
{
    return router->relay->largest_zone;
}

/* ---- choice of relays ---- */

static zone_relays_t *find_zone(cw_router_relay_t *relay, const char *zone)
{
    size_t index;

    for (index = 0; index < relay->zone_count; index++) {
        if (strcmp(relay->zones[index].name, zone) == 0) {
            return &relay->zones[index];
        }
    }
    return NULL;
}

static zone_relays_t *add_zone(cw_router_relay_t *relay, const char *zone)
{
    zone_relays_t *found = find_zone(relay, zone);

    if (found != NULL || relay->zone_count == CW_ZONES_MAX) {
        return found;
    }
    found = &relay->zones[relay->zone_count++];
    memset(found, 0, sizeof(*found));
    cw_text_copy(found->name, sizeof(found->name), zone);
    return found;
}

/* Computes the list of all zones that have nodes, this node's own zone first, and their relays. */
static void gather_zones(cw_router_t *router)
{
    cw_router_relay_t           *relay = router->relay;
    size_t                       count;
    const cw_broker_candidate_t *candidates = cw_router_broker_candidates(router, &count);
    size_t                       index;

    relay->zone_count = 0;
    relay->largest_zone = 0;
    (void)add_zone(relay, router->settings.zone);
    for (index = 0; index < count; index++) {
        zone_relays_t *zone = add_zone(relay, candidates[index].zone);

        if (zone != NULL) {
            zone->nodes++;
            relay->largest_zone = zone->nodes > relay->largest_zone ? zone->nodes : relay->largest_zone;
        }
    }
    for (index = 0; index < relay->zone_count; index++) {
        zone_relays_t *zone = &relay->zones[index];

        zone->count = cw_relay_choose(candidates, count, zone->name, zone->relays);
    }
}

/* Rank of the node among a zone's relays: 0 or 1; CW_RELAYS: it is none. */
static size_t relay_rank(const zone_relays_t *zone, uint32_t address)
{
    size_t rank;

    for (rank = 0; rank < zone->count && zone->relays[rank] != address; rank++) {
    }
    return rank < zone->count ? rank : CW_RELAYS;
}

bool cw_router_is_relay(const cw_router_t *router, const cw_peer_t *peer)
{
    const zone_relays_t *zone = find_zone(router->relay, peer->zone);

    return zone != NULL && relay_rank(zone, peer->address) != CW_RELAYS;
}

bool cw_router_acts_as_relay(const cw_router_t *router)
{
    return router->relay->zone_count > 0 && cw_router_nodes_are_many(router) &&
           relay_rank(&router->relay->zones[0], cw_peer_link_own_address(router->link)) != CW_RELAYS;
}

bool cw_router_acts_as_first_relay(const cw_router_t *router)
{
    return router->relay->zone_count > 0 &&
           relay_rank(&router->relay->zones[0], cw_peer_link_own_address(router->link)) == 0;
}

/* ---- sending ---- */

static void send_summary(cw_router_t *router, size_t rank, cw_time_us_t now)
{
    cw_router_relay_t *relay = router->relay;
    size_t             length = cw_router_pack_summary(router, &relay->times, &relay->links, now);
    size_t             index;

    for (index = 1; index < relay->zone_count; index++) {
        const zone_relays_t *zone = &relay->zones[index];
        const cw_peer_t *partner = cw_peer_link_find(router->link, cw_relay_partner(zone->relays, zone->count, rank));

        if (partner != NULL) {
            cw_peer_link_send_packed(router->link, partner, length);
        }
    }
}

static void log_unequal_view(const char *what, uint64_t term, uint64_t version)
{
    cw_event_t event;

    if (cw_event_begin(&event, CW_EVENT_VIEW_UNEQUAL)) {
        cw_event_text(&event, CW_FIELD_DETAIL, what);
        cw_event_number(&event, CW_FIELD_TERM, (int64_t)term);
        cw_event_number(&event, CW_FIELD_VIEW, (int64_t)version);
        cw_event_end(&event);
    }
}

/* Gives up this node's version of the list if its content has differed for long: a node without a version is sent the
 * whole list. */
static void check_servers(cw_router_t *router, const Cwp__LeaderHeartbeat *heartbeat, cw_time_us_t now)
{
    static const cw_view_check_delays_t delays = {CW_SECONDS(SERVERS_UNEQUAL_S), CW_SECONDS(SERVERS_REPEAT_S)};
    bool                                is_equal = heartbeat->servers_hash == router->server_view.hash;

    if (heartbeat->term == router->view_term && router->view_list_version != 0 &&
        heartbeat->servers == router->view_list_version &&
        cw_view_check_record(&router->relay->servers_check, is_equal, &delays, now)) {
        log_unequal_view("servers", heartbeat->term, heartbeat->servers);
        router->view_list_version = 0;
    }
}

static void check_tables(cw_router_t *router, const Cwp__LeaderHeartbeat *heartbeat, cw_time_us_t now)
{
    static const cw_view_check_delays_t delays = {CW_MS(TABLES_UNEQUAL_MS), CW_MS(TABLES_REPEAT_MS)};
    bool                                is_equal = heartbeat->tables_hash == router->tables_hash;

    if (heartbeat->term == router->view_term && router->view_tables_version != 0 &&
        heartbeat->tables == router->view_tables_version &&
        cw_view_check_record(&router->relay->tables_check, is_equal, &delays, now)) {
        log_unequal_view("tables", heartbeat->term, heartbeat->tables);
        router->view_tables_version = 0;
    }
}

void cw_router_check_view(cw_router_t *router, const Cwp__LeaderHeartbeat *heartbeat, cw_time_us_t now)
{
    check_servers(router, heartbeat, now);
    check_tables(router, heartbeat, now);
}

static bool has_stalled(const cw_router_relay_t *relay, cw_time_us_t now)
{
    return relay->ticked_at != 0 && now - relay->ticked_at > CW_MS(STALL_MS);
}

static void record_tick(cw_router_relay_t *relay, cw_time_us_t now)
{
    if (has_stalled(relay, now)) {
        relay->backlog_until = now + CW_MS(BACKLOG_MS);
    }
    relay->ticked_at = now;
}

void cw_router_relay_tick(cw_router_t *router, cw_time_us_t now)
{
    cw_router_relay_t *relay = router->relay;
    size_t             rank;

    record_tick(relay, now);
    if (now - relay->sent_at < CW_MS(CW_SUMMARY_INTERVAL_MS)) {
        return;
    }
    relay->sent_at = now;
    gather_zones(router);
    rank = relay_rank(&relay->zones[0], cw_peer_link_own_address(router->link));
    if (rank == CW_RELAYS || !cw_router_nodes_are_many(router)) {
        return;
    }
    send_summary(router, rank, now);
}

/* ---- receiving ---- */

/* Forwards a summary of another zone's relay to this zone. The summary is marked as forwarded, so that its receivers do
 * not forward it again. */
static void forward_summary(cw_router_t *router, const Cwp__Datagram *datagram)
{
    const cw_peer_t *peer;
    size_t           length;

    datagram->zone_summary->passed_on = true;
    length = cw_peer_link_pack(router->link, datagram);
    for (peer = cw_peer_link_peers(router->link); peer != NULL; peer = peer->next) {
        if (is_in_zone(peer) && !peer->is_lost) {
            cw_peer_link_send_packed(router->link, peer, length);
        }
    }
}

static bool acknowledges_own_zone(const cw_router_t *router, const Cwp__ZoneSummary *summary)
{
    uint32_t own = cw_name_hash(router->settings.zone);
    size_t   index;

    for (index = 0; index < summary->n_received; index++) {
        if (summary->received[index] == own) {
            return true;
        }
    }
    return false;
}

/* Applies the time at which a relay received from the node, if that is later than the time known here, and recent
 * enough for the node to count as alive. */
static void apply_node(cw_router_t *router, const Cwp__ZoneSummary *summary, size_t index, cw_time_us_t now)
{
    cw_time_us_t at = now - CW_MS(summary->ages_ms[index]);
    cw_peer_t   *peer = cw_peer_link_learn(router->link, summary->nodes[index], now);

    if (peer == NULL || at <= peer->last_received_at || now - at > router->peer_timeout) {
        return;
    }
    if (at > peer->last_direct_report_at) {
        cw_peer_link_set_peer_zone(router->link, peer, summary->zone);
        peer->capability = summary->capabilities[index];
    }
    if (peer->last_received_at == 0 || peer->is_lost) {
        cw_router_log_peer(peer, CW_EVENT_PEER_BACK, peer->last_received_at == 0 ? 0 : now - peer->last_received_at);
    }
    peer->is_lost = false;
    peer->last_received_at = at;
}

/* Applies the details of a node, unless a recent report of the node itself has newer ones. */
static void apply_detail(cw_router_t *router, const Cwp__ZoneNode *detail, cw_time_us_t now)
{
    cw_peer_t *peer = cw_peer_link_find(router->link, detail->address);

    if (peer == NULL ||
        (peer->last_direct_report_at != 0 && now - peer->last_direct_report_at < CW_MS(CW_SUMMARY_RECENT_MS)) ||
        cw_peer_is_former_incarnation(peer, detail->incarnation, now)) {
        return;
    }
    cw_peer_set_incarnation(peer, detail->incarnation, now);
    cw_text_copy(peer->node, sizeof(peer->node), detail->node);
    peer->stopping = detail->stopping;
    peer->store_lost = detail->store_lost;
    (void)cw_peer_paths_set(&peer->paths, detail->paths, detail->lost_services, detail->n_lost_services);
}

static bool is_unreachable(const Cwp__ZoneSummary *summary, uint32_t server)
{
    size_t index;

    for (index = 0; index < summary->n_unreachable; index++) {
        if (summary->unreachable[index] == server) {
            return true;
        }
    }
    return false;
}

static void apply_sums(cw_router_t *router, const Cwp__ZoneSummary *summary, cw_time_us_t now)
{
    static cw_server_report_t sums[CW_SUMMARY_SERVERS_MAX];
    uint64_t                  sender = cw_zone_sender_bit | cw_name_hash(summary->zone);
    size_t                    index;

    for (index = 0; index < summary->n_servers && index < CW_SUMMARY_SERVERS_MAX; index++) {
        sums[index] = (cw_server_report_t){.hash = summary->servers[index],
                                           .in_flight = summary->under_way[index],
                                           .waiting = summary->waiting[index],
                                           .unreachable = is_unreachable(summary, summary->servers[index])};
    }
    cw_server_pool_apply_report(router->pool, sender, sums, index, now);
    cw_router_handle_queues(router, sender, false, summary->queues, summary->n_queues, now);
}

/* The age of a datagram from the backlog is unknown, and the ages of nodes in a summary are relative to its sending. */
bool cw_router_reads_backlog(const cw_router_t *router, cw_time_us_t now)
{
    return has_stalled(router->relay, now) || now < router->relay->backlog_until;
}

static void log_late_summary(const cw_router_relay_t *relay, const Cwp__ZoneSummary *summary, cw_time_us_t now)
{
    cw_event_t event;

    if (cw_event_begin(&event, CW_EVENT_SUMMARY_LATE)) {
        cw_event_text(&event, CW_FIELD_ZONE, summary->zone);
        cw_event_ms(&event, CW_FIELD_SILENT_MS, now - relay->ticked_at);
        cw_event_end(&event);
    }
}

static bool is_well_formed(const Cwp__ZoneSummary *summary)
{
    return summary->zone[0] != '\0' && summary->n_nodes == summary->n_ages_ms &&
           summary->n_nodes == summary->n_capabilities && summary->n_servers == summary->n_under_way &&
           summary->n_servers == summary->n_waiting;
}

void cw_router_handle_zone_summary(cw_router_t *router, const Cwp__Datagram *datagram, cw_time_us_t now)
{
    const Cwp__ZoneSummary *summary = datagram->zone_summary;
    cw_summary_header_t     header = {.zone = summary->zone,
                                      .relay = summary->relay,
                                      .incarnation = summary->incarnation,
                                      .sequence = summary->sequence,
                                      .acknowledges = acknowledges_own_zone(router, summary)};
    cw_peer_t              *relay;
    size_t                  index;

    if (!is_well_formed(summary) || strcmp(summary->zone, router->settings.zone) == 0) {
        return;
    }
    if (cw_router_reads_backlog(router, now)) {
        log_late_summary(router->relay, summary, now);
        return;
    }
    if (!cw_zone_links_record(&router->relay->links, &header, now)) {
        return;
    }
    for (index = 0; index < summary->n_nodes; index++) {
        apply_node(router, summary, index, now);
    }
    for (index = 0; index < summary->n_details; index++) {
        apply_detail(router, summary->details[index], now);
    }
    if (summary->has_loads) {
        apply_sums(router, summary, now);
    }
    relay = cw_peer_link_find(router->link, summary->relay);
    if (relay != NULL) {
        cw_router_record_configuration(router, relay, summary->configuration, now);
    }
    if (!summary->passed_on) {
        forward_summary(router, datagram);
    }
    cw_engine_wake(router->engine);
}
