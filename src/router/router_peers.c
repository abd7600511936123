/**
 * @file router_peers.c
 * @brief When this node reports to which other nodes (router_report.c builds the reports).
 *
 * Nodes of one zone report to one another soon after each change. In a small fleet, nodes report to those of other
 * zones in the same way but less often, since traffic between zones is costly. In a large fleet, relays send
 * summaries for the whole zone (router_relay.c). A node then reports directly only to zones with which its relays
 * exchange no summaries, to nodes that it knows nothing of, and, without its requests, to the leader. A leader reports
 * to all nodes. A report carries the whole state, so the next report makes up for a lost one. The interval between
 * reports grows with the number of peers reported to, so that a node's datagrams stay within a budget.
 */
#include <stdlib.h>
#include <string.h>

#include "base/text.h"
#include "router/router_internal.h"

enum {
    ZONE_INTERVAL_MS = 20,  /* shortest interval between reports to the nodes of this zone */
    ALL_INTERVAL_MS = 150,  /* shortest interval between reports to all nodes after a change */
    IDLE_INTERVAL_MS = 300, /* shortest interval between reports, with the leader's heartbeat, without a change */
    /* Interval between reports with names and service times in a small fleet. It grows by the same amount for every
     * FULL_INTERVAL_NODES nodes. */
    FULL_INTERVAL_MS = 1000,
    FULL_INTERVAL_NODES = 16,
    /* Interval between reports of keys to the leader. It has doubled at KEYS_INTERVAL_NODES nodes, since the leader
     * receives these reports from all nodes. */
    KEYS_INTERVAL_MS = 100,
    KEYS_INTERVAL_NODES = 64,
    /* Budget of reports to all nodes, and of those within the zone, up to FEW_NODES nodes. */
    REPORT_DATAGRAMS_PER_SECOND = 150,
    /* Budget of reports within the zone above FEW_NODES nodes, where datagrams are most of the work of
     * all nodes. */
    MANY_ZONE_DATAGRAMS_PER_SECOND = 100,
    RELAY_LATENCY_MS = 300, /* interval between a relay's summaries, and the transit through two relays */
    REPORT_SLACK_MS = 700, /* largest delay of a report beyond its planned time: a turn of a busy node, and two ticks */
    TIMEOUT_INTERVALS = 3, /* number of successive reports that may be lost before a node counts as lost */
    LEADER_INTERVAL_MS = 1000, /* interval between reports to a leader that relays inform of this node; pages of
                                * the leader are acknowledged at once, apart from these reports */
    FEW_NODES = 96,            /* up to this number of nodes, loads of other zones arrive early enough to be useful */
    FORGET_PEER_S = 15         /* a lost peer is forgotten after this further time */
};

/* ---- targets ---- */

static bool is_in_zone(const cw_peer_t *peer)
{
    return peer->last_received_at != 0 && peer->distance == CW_DISTANCE_ZONE;
}

static bool is_leader(const cw_router_t *router, const cw_peer_t *peer)
{
    return peer->last_received_at != 0 && !peer->is_lost && router->leader.node[0] != '\0' &&
           strcmp(peer->node, router->leader.node) == 0;
}

/* Nodes wait for a leader's heartbeat, and for the report that a leader has given up its lock, so these are sent to all
 * nodes directly. The start or stop of a node is reported by the relays of its zone. */
static bool has_news_for_all(const cw_router_t *router, cw_time_us_t now)
{
    return router->leadership.leading || cw_leader_tenure_announced_term(&router->tenure, now) != 0;
}

/** Numbers of the nodes that this one reports to, by reason. */
typedef struct report_targets {
    uint32_t in_zone;   /**< nodes of this zone */
    uint32_t uncovered; /**< nodes of other zones that relays do not inform */
    uint32_t covered;   /**< nodes of other zones that relays inform: they are sent only news for all nodes */
    uint32_t relays;    /**< those of the covered nodes that are relays: they forward a leader's heartbeat */
} report_targets_t;

static report_targets_t count_targets(const cw_router_t *router, cw_time_us_t now)
{
    report_targets_t targets = {0};
    const cw_peer_t *peer;

    for (peer = cw_peer_link_peers(router->link); peer != NULL; peer = peer->next) {
        if (peer->is_lost) {
            continue;
        }
        targets.in_zone += is_in_zone(peer) ? 1 : 0;
        if (peer->distance != CW_DISTANCE_ZONE && cw_router_is_covered(router, peer, now)) {
            targets.covered++;
            targets.relays += cw_router_is_relay(router, peer) ? 1 : 0;
        } else if (!is_in_zone(peer)) {
            targets.uncovered += peer->last_received_at != 0 ? 1 : 0;
        }
    }
    return targets;
}

/* ---- sending ---- */

static void add_own_sample(void *context, const char *service, const cw_key_samples_t *samples)
{
    cw_router_t        *router = context;
    cw_router_samples_t taken = {samples->keys, samples->regions, samples->count, samples->seen, router->settings.zone};

    cw_router_add_samples(router, cw_name_hash(service), &taken, cw_router_now(router));
}

/* Parts that are included only at intervals. Names and service times are most of a report's bytes and change
 * slowly, so the interval grows with the number of nodes. */
static uint32_t parts_due_at_intervals(cw_router_t *router, uint32_t peers, cw_time_us_t now)
{
    if (now - router->reports.full_at < CW_MS(FULL_INTERVAL_MS) * (1 + peers / FULL_INTERVAL_NODES)) {
        return 0;
    }
    router->reports.full_at = now;
    return CW_REPORT_NAMES | CW_REPORT_PACES;
}

static void send_to_all(cw_router_t *router, uint32_t parts, cw_time_us_t now)
{
    size_t           length = cw_router_pack_report(router, parts, now);
    const cw_peer_t *peer;

    for (peer = cw_peer_link_peers(router->link); peer != NULL; peer = peer->next) {
        cw_peer_link_send_packed(router->link, peer, length);
    }
}

static void send_to_zone(cw_router_t *router, uint32_t parts, cw_time_us_t now)
{
    size_t           length = cw_router_pack_report(router, parts, now);
    const cw_peer_t *peer;

    for (peer = cw_peer_link_peers(router->link); peer != NULL; peer = peer->next) {
        if (is_in_zone(peer)) {
            cw_peer_link_send_packed(router->link, peer, length);
        }
    }
}

/* Reports to the nodes of other zones. to_covered: to the zones that relays inform, without this node's requests; a
 * leader's heartbeat goes to their relays only. Otherwise: to the zones that relays do not inform. */
static void send_outside_zone(cw_router_t *router, bool to_covered, cw_time_us_t now)
{
    uint32_t         parts = to_covered ? CW_REPORT_NAMES : CW_REPORT_NAMES | CW_REPORT_LOADS;
    bool             to_relays = to_covered && router->leadership.leading;
    size_t           length = 0;
    const cw_peer_t *peer;

    for (peer = cw_peer_link_peers(router->link); peer != NULL; peer = peer->next) {
        if (!is_in_zone(peer) && cw_router_is_covered(router, peer, now) == to_covered &&
            (!to_relays || cw_router_is_relay(router, peer))) {
            length = length == 0 ? cw_router_pack_report(router, parts, now) : length;
            cw_peer_link_send_packed(router->link, peer, length);
        }
    }
}

/* The leader plans by the keys of recent requests, so it receives these more often than other nodes receive loads. */
static void send_keys(cw_router_t *router, cw_time_us_t now)
{
    cw_peer_t *peer;

    router->reports.key_samples_at = now;
    if (router->leadership.leading) {
        cw_engine_take_samples(router->engine, add_own_sample, router);
        return;
    }
    for (peer = cw_peer_link_peers(router->link); peer != NULL; peer = peer->next) {
        if (is_leader(router, peer)) {
            uint32_t loads = cw_router_is_covered(router, peer, now) ? 0 : CW_REPORT_LOADS;
            /* service times: the leader must know soon which owners answer, since its own orders may not reach them */
            size_t length = cw_router_pack_report(router, CW_REPORT_KEYS | CW_REPORT_PACES_TO_LEADER | loads, now);

            cw_peer_link_send_packed(router->link, peer, length);
            router->reports.leader_at = now;
        }
    }
}

static void report_to_leader(cw_router_t *router, cw_time_us_t now)
{
    const cw_peer_t *peer;

    router->reports.leader_at = now;
    for (peer = cw_peer_link_peers(router->link); peer != NULL; peer = peer->next) {
        if (is_leader(router, peer) && !is_in_zone(peer) && cw_router_is_covered(router, peer, now)) {
            cw_peer_link_send_packed(router->link, peer, cw_router_pack_report(router, 0, now));
        }
    }
}

/* ---- how often ---- */

/* Interval in ms between reports to `peers` peers: least_ms, or as much longer as keeps the node's datagrams within
 * their budget. */
static int64_t interval_ms(const cw_router_t *router, int64_t least_ms, uint32_t peers,
                           int64_t node_datagrams_per_second)
{
    bool    is_new = cw_router_is_new(router, cw_router_now(router));
    int64_t budget = router->leadership.leading ? CW_LEADER_DATAGRAMS_PER_SECOND
                     : is_new ? REPORT_DATAGRAMS_PER_SECOND /* other nodes have to learn of this one soon */
                              : node_datagrams_per_second;
    int64_t affordable_ms = (int64_t)peers * 1000 / budget;

    return affordable_ms > least_ms ? affordable_ms : least_ms;
}

static int64_t budget_to_all(uint32_t peers)
{
    return peers > FEW_NODES ? CW_LARGE_FLEET_DATAGRAMS_PER_SECOND : REPORT_DATAGRAMS_PER_SECOND;
}

static int64_t interval_to_all_ms(const cw_router_t *router, int64_t least_ms, uint32_t peers)
{
    return interval_ms(router, least_ms, peers, budget_to_all(peers));
}

static int64_t interval_in_zone_ms(const cw_router_t *router, uint32_t in_zone, uint32_t all)
{
    return interval_ms(router, ZONE_INTERVAL_MS, in_zone,
                       all > FEW_NODES ? MANY_ZONE_DATAGRAMS_PER_SECOND : REPORT_DATAGRAMS_PER_SECOND);
}

static cw_time_us_t keys_interval(const cw_router_t *router, cw_time_us_t now)
{
    uint32_t nodes = cw_peer_link_count_alive(router->link, router->peer_timeout, now);

    return CW_MS(KEYS_INTERVAL_MS) * (KEYS_INTERVAL_NODES + nodes) / KEYS_INTERVAL_NODES;
}

static void set_peer_timeout(cw_router_t *router, cw_time_us_t idle, cw_time_us_t relay_latency)
{
    cw_time_us_t timeout = idle * TIMEOUT_INTERVALS;

    router->peer_timeout = (timeout > CW_MS(CW_PEER_TIMEOUT_MS) ? timeout : CW_MS(CW_PEER_TIMEOUT_MS)) + relay_latency;
}

static void report_among_few(cw_router_t *router, cw_time_us_t now)
{
    cw_time_us_t since_all = now - router->reports.all_at;
    cw_time_us_t since_zone = now - router->reports.zone_at;
    uint32_t     all = cw_peer_link_count_alive(router->link, router->peer_timeout, now);
    uint32_t     in_zone = count_targets(router, now).in_zone;
    cw_time_us_t idle = CW_MS(interval_to_all_ms(router, IDLE_INTERVAL_MS, all));

    set_peer_timeout(router, idle, 0);
    if ((router->reports.is_all_due && since_all >= CW_MS(interval_to_all_ms(router, ALL_INTERVAL_MS, all))) ||
        since_all >= idle) {
        send_to_all(router, CW_REPORT_LOADS | parts_due_at_intervals(router, all, now), now);
        router->reports.all_at = now;
        router->reports.zone_at = now;
        router->reports.is_all_due = false;
        router->reports.is_zone_due = false;
    } else if (router->reports.is_zone_due && since_zone >= CW_MS(interval_in_zone_ms(router, in_zone, all))) {
        send_to_zone(router, CW_REPORT_LOADS, now);
        router->reports.zone_at = now;
        router->reports.is_zone_due = false;
    }
}

/* Sets the timeout after which a peer counts as lost, by the interval of the node that reports least often. This node's
 * own interval does not matter. */
static void update_peer_timeout(cw_router_t *router, const report_targets_t *targets)
{
    uint32_t all = targets->in_zone + targets->covered + targets->uncovered;
    uint32_t reported_to_max = targets->uncovered > 0 ? all : cw_router_largest_zone(router);
    int64_t  idle_ms = (int64_t)reported_to_max * 1000 / budget_to_all(all);

    set_peer_timeout(router, CW_MS(idle_ms > IDLE_INTERVAL_MS ? idle_ms : IDLE_INTERVAL_MS), CW_MS(RELAY_LATENCY_MS));
}

static void report_outside_zone(cw_router_t *router, const report_targets_t *targets, cw_time_us_t now)
{
    cw_time_us_t since = now - router->reports.all_at;
    bool         has_news = has_news_for_all(router, now);
    uint32_t     news_targets = router->leadership.leading ? targets->relays : targets->covered;
    uint32_t     count = targets->uncovered + (has_news ? news_targets : 0);
    bool is_due = router->reports.is_all_due && since >= CW_MS(interval_to_all_ms(router, ALL_INTERVAL_MS, count));

    if (!is_due && since < CW_MS(interval_to_all_ms(router, IDLE_INTERVAL_MS, count))) {
        return;
    }
    router->reports.all_at = now;
    router->reports.is_all_due = false;
    send_outside_zone(router, false, now);
    if (has_news) {
        send_outside_zone(router, true, now);
    }
}

static void report_among_many(cw_router_t *router, cw_time_us_t now)
{
    report_targets_t targets = count_targets(router, now);
    uint32_t         all = targets.in_zone + targets.covered + targets.uncovered;
    cw_time_us_t     since_zone = now - router->reports.zone_at;
    cw_time_us_t     idle = CW_MS(interval_ms(router, IDLE_INTERVAL_MS, targets.in_zone, budget_to_all(all)));

    update_peer_timeout(router, &targets);
    router->reports.is_all_due = router->reports.is_all_due || (router->reports.is_zone_due && targets.uncovered > 0);
    if ((router->reports.is_zone_due && since_zone >= CW_MS(interval_in_zone_ms(router, targets.in_zone, all))) ||
        since_zone >= idle) {
        send_to_zone(router, CW_REPORT_LOADS | parts_due_at_intervals(router, targets.in_zone, now), now);
        router->reports.zone_at = now;
        router->reports.is_zone_due = false;
    }
    report_outside_zone(router, &targets, now);
    if (now - router->reports.leader_at >= CW_MS(LEADER_INTERVAL_MS) && !router->leadership.leading) {
        report_to_leader(router, now);
    }
}

static void report(cw_router_t *router, cw_time_us_t now)
{
    bool is_among_many = cw_router_nodes_are_many(router);

    if (cw_engine_take_changed(router->engine)) {
        router->reports.is_zone_due = true;
        router->reports.is_all_due = router->reports.is_all_due || !is_among_many;
    }
    if (is_among_many) {
        report_among_many(router, now);
    } else {
        report_among_few(router, now);
    }
}

/* ---- ticks ---- */

cw_time_us_t cw_router_report_lifetime(const cw_router_t *router)
{
    cw_time_us_t lifetime =
        router->peer_timeout / TIMEOUT_INTERVALS + CW_MS(REPORT_SLACK_MS); /* the next report replaces it */

    return lifetime > CW_MS(CW_POOL_REPORT_EXPIRY_MS) ? lifetime : CW_MS(CW_POOL_REPORT_EXPIRY_MS);
}

void cw_router_log_peer(const cw_peer_t *peer, cw_event_kind_t kind, cw_time_us_t since_received)
{
    cw_event_t event;

    if (cw_event_begin(&event, kind)) {
        cw_event_text(&event, CW_FIELD_PEER, peer->node);
        cw_event_text(&event, CW_FIELD_DETAIL, peer->text);
        cw_event_ms(&event, CW_FIELD_SILENT_MS, since_received);
        cw_event_end(&event);
    }
}

void cw_router_peers_init(cw_router_t *router)
{
    size_t index;

    for (index = 0; index < router->settings.seed_count; index++) {
        (void)cw_peer_link_learn_text(router->link, router->settings.seeds[index].address, cw_router_now(router));
    }
}

static void mark_lost_peers(cw_router_t *router, cw_time_us_t now)
{
    cw_peer_t *peer;

    for (peer = cw_peer_link_peers(router->link); peer != NULL; peer = peer->next) {
        if (peer->last_received_at != 0 && !peer->is_lost && now - peer->last_received_at > router->peer_timeout) {
            peer->is_lost = true;
            cw_router_log_peer(peer, CW_EVENT_PEER_LOST, now - peer->last_received_at);
        }
    }
}

void cw_router_peers_tick(cw_router_t *router, cw_time_us_t now)
{
    report(router, now);
    if (now - router->reports.key_samples_at >= keys_interval(router, now) && cw_engine_has_samples(router->engine)) {
        send_keys(router, now);
    }
    mark_lost_peers(router, now);
    cw_server_pool_expire(router->pool, cw_router_report_lifetime(router), now);
    cw_peer_link_expire(router->link, router->peer_timeout + CW_SECONDS(FORGET_PEER_S), now);
}
