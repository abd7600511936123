/**
 * @file router_peers.c
 * @brief When this node reports to which others (router_report.c makes the reports).
 *
 * Nodes of one zone tell one another soon after each change. Few nodes tell those of other zones the same, at a slower
 * pace, since bytes between zones cost; among many, relays do it for the zone (router_relay.c), and a node reports by
 * itself only to zones that it has no such link with, to nodes that it knows nothing of, and, without its requests, to
 * the leader. A leader reports to all. A report tells a whole state, so
 * a lost one is mended by the next. The pace falls with the number of peers reported to, so that a node's datagrams
 * stay within a budget.
 */
#include <stdlib.h>
#include <string.h>

#include "base/text.h"
#include "router/router_internal.h"

enum {
    ZONE_PAUSE_MS = 20,
    ALL_PAUSE_MS = 150,
    IDLE_PAUSE_MS = 300,
    FULL_PAUSE_MS = 1000, /* between reports with names and paces, among few nodes; */
    FULL_NODES = 16,      /* so much longer again for each so many nodes */
    KEYS_PAUSE_MS = 100,
    KEYS_NODES = 64,          /* with so many nodes the pause has doubled: the leader gets them from all */
    DATAGRAMS_A_SECOND = 150, /* of reports to all, and within the zone, among few nodes; */
    MANY_ZONE_DATAGRAMS_A_SECOND =
        100,                /* and among many, whose datagrams are most of what all nodes do: in the zone, */
    RELAY_WAY_MS = 300,     /* a relay's pause, and the way by two relays */
    REPORT_SLACK_MS = 700,  /* by which a report may come later than planned: a busy node's turn, two ticks */
    SILENCE_IN_PAUSES = 3,  /* reports that may be lost before a node counts as lost */
    LEADER_PAUSE_MS = 1000, /* between reports to a leader that sees this node by its relays; what has come from it
                             * is acknowledged at once */
    FEW_NODES = 96,         /* up to so many, loads of other zones still come in time to be of use */
    FORGET_S = 15
};

/* ---- whom ---- */

static bool is_in_zone(const cw_peer_t *peer)
{
    return peer->last_received_at != 0 && peer->distance == CW_DISTANCE_ZONE;
}

static bool is_leader(const cw_router_t *router, const cw_peer_t *peer)
{
    return peer->last_received_at != 0 && !peer->is_lost && router->leader_node[0] != '\0' &&
           strcmp(peer->node, router->leader_node) == 0;
}

/* A leader's heartbeat, and that it has given up the lock, are waited for. That a node starts or stops is told by its
 * zone's relays. */
static bool has_news_for_all(const cw_router_t *router, cw_time_us_t now)
{
    return router->leadership.leading || cw_leader_tenure_announced_term(&router->tenure, now) != 0;
}

/** Nodes that this one reports to, and why. */
typedef struct report_targets {
    uint32_t near;      /**< of this zone */
    uint32_t uncovered; /**< of other zones that no relay informs, or not known yet */
    uint32_t covered;   /**< of other zones that relays inform: they are sent to where there is news for all */
    uint32_t relays;    /**< of the covered ones: they pass a leader's heartbeat on */
} report_targets_t;

static report_targets_t count_targets(const cw_router_t *router, cw_time_us_t now)
{
    report_targets_t targets = {0};
    const cw_peer_t *peer;

    for (peer = cw_peer_link_peers(router->link); peer != NULL; peer = peer->next) {
        if (peer->is_lost) {
            continue;
        }
        targets.near += is_in_zone(peer) ? 1 : 0;
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

static void take_own_sample(void *context, const char *service, const cw_key_samples_t *samples)
{
    cw_router_t        *router = context;
    cw_router_samples_t taken = {samples->keys, samples->regions, samples->count, samples->seen, router->settings.zone};

    cw_router_add_samples(router, cw_name_hash(service), &taken, cw_router_now(router));
}

/* Names and paces are most of a report's bytes, and what they tell changes slowly: the more nodes, the rarer. */
static uint32_t parts_of_full(cw_router_t *router, uint32_t peers, cw_time_us_t now)
{
    if (now - router->reported_full_at < CW_MS(FULL_PAUSE_MS) * (1 + peers / FULL_NODES)) {
        return 0;
    }
    router->reported_full_at = now;
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

/* To other zones: where relays inform them, only what is news for all, without this node's requests; of it a heartbeat
 * to the relays alone. */
static void send_beyond_zone(cw_router_t *router, bool to_covered, cw_time_us_t now)
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

/* The leader plans by the keys of recent requests: it hears of them sooner than all others hear of loads. */
static void send_keys(cw_router_t *router, cw_time_us_t now)
{
    cw_peer_t *peer;

    router->key_samples_sent_at = now;
    if (router->leadership.leading) {
        cw_engine_take_samples(router->engine, take_own_sample, router);
        return;
    }
    for (peer = cw_peer_link_peers(router->link); peer != NULL; peer = peer->next) {
        if (is_leader(router, peer)) {
            uint32_t loads = cw_router_is_covered(router, peer, now) ? 0 : CW_REPORT_LOADS;
            /* it must know soon which owners answer: its own orders may not reach them */
            size_t length = cw_router_pack_report(router, CW_REPORT_KEYS | CW_REPORT_PACES_TO_LEADER | loads, now);

            cw_peer_link_send_packed(router->link, peer, length);
            router->reported_leader_at = now;
        }
    }
}

static void report_to_leader(cw_router_t *router, cw_time_us_t now)
{
    const cw_peer_t *peer;

    router->reported_leader_at = now;
    for (peer = cw_peer_link_peers(router->link); peer != NULL; peer = peer->next) {
        if (is_leader(router, peer) && !is_in_zone(peer) && cw_router_is_covered(router, peer, now)) {
            cw_peer_link_send_packed(router->link, peer, cw_router_pack_report(router, 0, now));
        }
    }
}

/* ---- how often ---- */

/* Pause between reports to so many peers: as short as wished, while a node's datagrams stay within their budget. */
static int64_t paced(const cw_router_t *router, int64_t pause_ms, uint32_t peers, int64_t datagrams_a_second)
{
    bool    is_new = cw_router_is_new(router, cw_router_now(router));
    int64_t budget = router->leadership.leading ? CW_LEADER_DATAGRAMS_PER_SECOND
                     : is_new                   ? DATAGRAMS_A_SECOND /* the others have to learn of it */
                                                : datagrams_a_second;
    int64_t affordable_ms = (int64_t)peers * 1000 / budget;

    return affordable_ms > pause_ms ? affordable_ms : pause_ms;
}

static int64_t budget_to_all(uint32_t peers)
{
    return peers > FEW_NODES ? CW_LARGE_FLEET_DATAGRAMS_PER_SECOND : DATAGRAMS_A_SECOND;
}

static int64_t paced_to_all(const cw_router_t *router, int64_t pause_ms, uint32_t peers)
{
    return paced(router, pause_ms, peers, budget_to_all(peers));
}

static int64_t paced_in_zone(const cw_router_t *router, uint32_t near, uint32_t all)
{
    return paced(router, ZONE_PAUSE_MS, near, all > FEW_NODES ? MANY_ZONE_DATAGRAMS_A_SECOND : DATAGRAMS_A_SECOND);
}

static cw_time_us_t keys_pause(const cw_router_t *router, cw_time_us_t now)
{
    uint32_t nodes = cw_peer_link_count_alive(router->link, router->silence, now);

    return CW_MS(KEYS_PAUSE_MS) * (KEYS_NODES + nodes) / KEYS_NODES;
}

static void set_silence(cw_router_t *router, cw_time_us_t idle, cw_time_us_t way)
{
    cw_time_us_t silence = idle * SILENCE_IN_PAUSES;

    router->silence = (silence > CW_MS(CW_PEER_TIMEOUT_MS) ? silence : CW_MS(CW_PEER_TIMEOUT_MS)) + way;
}

static void report_among_few(cw_router_t *router, cw_time_us_t now)
{
    cw_time_us_t since_all = now - router->reported_all_at;
    cw_time_us_t since_zone = now - router->reported_zone_at;
    uint32_t     all = cw_peer_link_count_alive(router->link, router->silence, now);
    uint32_t     near = count_targets(router, now).near;
    cw_time_us_t idle = CW_MS(paced_to_all(router, IDLE_PAUSE_MS, all));

    set_silence(router, idle, 0);
    if ((router->all_report_due && since_all >= CW_MS(paced_to_all(router, ALL_PAUSE_MS, all))) || since_all >= idle) {
        send_to_all(router, CW_REPORT_LOADS | parts_of_full(router, all, now), now);
        router->reported_all_at = now;
        router->reported_zone_at = now;
        router->all_report_due = false;
        router->zone_report_due = false;
    } else if (router->zone_report_due && since_zone >= CW_MS(paced_in_zone(router, near, all))) {
        send_to_zone(router, CW_REPORT_LOADS, now);
        router->reported_zone_at = now;
        router->zone_report_due = false;
    }
}

/* How long the least frequent reporter among the others may take, whatever this node's own pace is. */
static void judge_silence(cw_router_t *router, const report_targets_t *targets)
{
    uint32_t all = targets->near + targets->covered + targets->uncovered;
    uint32_t most = targets->uncovered > 0 ? all : cw_router_largest_zone(router);
    int64_t  idle_ms = (int64_t)most * 1000 / budget_to_all(all);

    set_silence(router, CW_MS(idle_ms > IDLE_PAUSE_MS ? idle_ms : IDLE_PAUSE_MS), CW_MS(RELAY_WAY_MS));
}

static void report_beyond_zone(cw_router_t *router, const report_targets_t *targets, cw_time_us_t now)
{
    cw_time_us_t since = now - router->reported_all_at;
    bool         has_news = has_news_for_all(router, now);
    uint32_t     informed = router->leadership.leading ? targets->relays : targets->covered;
    uint32_t     count = targets->uncovered + (has_news ? informed : 0);
    bool         is_due = router->all_report_due && since >= CW_MS(paced_to_all(router, ALL_PAUSE_MS, count));

    if (!is_due && since < CW_MS(paced_to_all(router, IDLE_PAUSE_MS, count))) {
        return;
    }
    router->reported_all_at = now;
    router->all_report_due = false;
    send_beyond_zone(router, false, now);
    if (has_news) {
        send_beyond_zone(router, true, now);
    }
}

static void report_among_many(cw_router_t *router, cw_time_us_t now)
{
    report_targets_t targets = count_targets(router, now);
    uint32_t         all = targets.near + targets.covered + targets.uncovered;
    cw_time_us_t     since_zone = now - router->reported_zone_at;
    cw_time_us_t     idle = CW_MS(paced(router, IDLE_PAUSE_MS, targets.near, budget_to_all(all)));

    judge_silence(router, &targets);
    router->all_report_due = router->all_report_due || (router->zone_report_due && targets.uncovered > 0);
    if ((router->zone_report_due && since_zone >= CW_MS(paced_in_zone(router, targets.near, all))) ||
        since_zone >= idle) {
        send_to_zone(router, CW_REPORT_LOADS | parts_of_full(router, targets.near, now), now);
        router->reported_zone_at = now;
        router->zone_report_due = false;
    }
    report_beyond_zone(router, &targets, now);
    if (now - router->reported_leader_at >= CW_MS(LEADER_PAUSE_MS) && !router->leadership.leading) {
        report_to_leader(router, now);
    }
}

static void report(cw_router_t *router, cw_time_us_t now)
{
    bool is_among_many = cw_router_nodes_are_many(router);

    if (cw_engine_take_changed(router->engine)) {
        router->zone_report_due = true;
        router->all_report_due = router->all_report_due || !is_among_many;
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
    cw_time_us_t life = router->silence / SILENCE_IN_PAUSES + CW_MS(REPORT_SLACK_MS); /* the next one replaces it */

    return life > CW_MS(CW_POOL_REPORT_EXPIRY_MS) ? life : CW_MS(CW_POOL_REPORT_EXPIRY_MS);
}

void cw_router_log_peer(const cw_peer_t *peer, cw_event_kind_t kind, cw_time_us_t silent)
{
    cw_event_t event;

    if (cw_event_begin(&event, kind)) {
        cw_event_text(&event, CW_FIELD_PEER, peer->node);
        cw_event_text(&event, CW_FIELD_DETAIL, peer->text);
        cw_event_ms(&event, CW_FIELD_SILENT_MS, silent);
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

static void find_lost(cw_router_t *router, cw_time_us_t now)
{
    cw_peer_t *peer;

    for (peer = cw_peer_link_peers(router->link); peer != NULL; peer = peer->next) {
        if (peer->last_received_at != 0 && !peer->is_lost && now - peer->last_received_at > router->silence) {
            peer->is_lost = true;
            cw_router_log_peer(peer, CW_EVENT_PEER_LOST, now - peer->last_received_at);
        }
    }
}

void cw_router_peers_tick(cw_router_t *router, cw_time_us_t now)
{
    report(router, now);
    if (now - router->key_samples_sent_at >= keys_pause(router, now) && cw_engine_has_samples(router->engine)) {
        send_keys(router, now);
    }
    find_lost(router, now);
    cw_server_pool_expire(router->pool, cw_router_report_lifetime(router), now);
    cw_peer_link_expire(router->link, router->silence + CW_SECONDS(FORGET_S), now);
}
