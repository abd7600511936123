/**
 * @file router_peers.c
 * @brief Reports between nodes: what each has under way at each server, keys seen, the leader's heartbeat.
 *
 * Nodes of one zone tell one another soon after each change; nodes of other zones at a slower pace, since bytes between
 * zones cost. A report tells a whole state, so a lost one is mended by the next. The pace falls with the number of
 * peers, so that a node's datagrams stay within a budget.
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
        100,                          /* and among many, whose datagrams are most of what all nodes do: in the zone, */
    MANY_ALL_DATAGRAMS_A_SECOND = 60, /* and to all: so late, they help no choice, but tell who lives */
    LEADERS_DATAGRAMS_A_SECOND = 1000,
    REPORT_SLACK_MS = 700, /* by which a report may come later than planned: a busy node's turn, two ticks */
    SILENCE_IN_PAUSES = 3, /* reports that may be lost before a node counts as lost */
    LOADS_MAX = 512,
    QUEUES_MAX = 32,
    SAMPLES_MAX = 16,
    VACATED_TOLD_S = 2,
    FEW_NODES = 96, /* up to so many, loads of other zones still come in time to be of use */
    FORGET_S = 15
};

/** A report while it is being made. */
typedef struct report_builder {
    Cwp__NodeReport      report;
    Cwp__LeaderHeartbeat leader;
    Cwp__ServerLoad      loads[LOADS_MAX];
    Cwp__ServerLoad     *load_pointers[LOADS_MAX];
    Cwp__ServerPace      paces[LOADS_MAX];
    Cwp__ServerPace     *pace_pointers[LOADS_MAX];
    Cwp__QueueLength     queues[QUEUES_MAX];
    Cwp__QueueLength    *queue_pointers[QUEUES_MAX];
    Cwp__KeySamples      samples[SAMPLES_MAX];
    Cwp__KeySamples     *sample_pointers[SAMPLES_MAX];
    cw_key_samples_t     keys[SAMPLES_MAX];
    size_t               queue_count;
    size_t               sample_count;
} report_builder_t;

static report_builder_t builder; /* large, and used by one call at a time */

/* ---- making a report ---- */

static void add_loads(cw_router_t *router, cw_time_us_t now)
{
    cw_server_t *server;
    cw_server_t *next;
    size_t       count = 0;

    cw_engine_count_waiting(router->engine);
    HASH_ITER(by_id, cw_server_pool_all(router->pool), server, next)
    {
        Cwp__ServerLoad *load = &builder.loads[count];

        if (count == LOADS_MAX || (server->own == 0 && server->own_waiting == 0 && server->avoid_until <= now)) {
            continue;
        }
        cwp__server_load__init(load);
        load->server = server->hash;
        load->under_way = server->own;
        load->waiting = server->own_waiting;
        load->unreachable = server->faults > 0 && server->avoid_until > now;
        builder.load_pointers[count++] = load;
    }
    builder.report.n_loads = count;
    builder.report.loads = builder.load_pointers;
}

/* What has changed since it was last sent, to the leader or to all. */
static void add_paces(cw_router_t *router, bool to_leader)
{
    cw_server_t *server;
    cw_server_t *next;
    size_t       count = 0;

    HASH_ITER(by_id, cw_server_pool_all(router->pool), server, next)
    {
        Cwp__ServerPace *pace = &builder.paces[count];
        uint32_t        *sent = to_leader ? &server->served_sent_leader : &server->served_sent;

        if (count == LOADS_MAX || server->served == *sent) {
            continue;
        }
        cwp__server_pace__init(pace);
        pace->server = server->hash;
        pace->served = server->served;
        pace->time = server->served_time;
        *sent = server->served;
        builder.pace_pointers[count++] = pace;
    }
    builder.report.n_paces = count;
    builder.report.paces = builder.pace_pointers;
}

static void add_queue(void *context, const char *service, uint32_t queued)
{
    Cwp__QueueLength *length = &builder.queues[builder.queue_count];

    (void)context;
    if (builder.queue_count == QUEUES_MAX) {
        return;
    }
    cwp__queue_length__init(length);
    length->service = cw_short_name(service);
    length->queued = queued;
    builder.queue_pointers[builder.queue_count++] = length;
}

static void add_samples(void *context, const char *service, const cw_key_samples_t *seen)
{
    Cwp__KeySamples  *samples = &builder.samples[builder.sample_count];
    cw_key_samples_t *keys = &builder.keys[builder.sample_count];

    (void)context;
    if (builder.sample_count == SAMPLES_MAX) {
        return;
    }
    *keys = *seen;
    cwp__key_samples__init(samples);
    samples->service = cw_short_name(service);
    samples->n_keys = keys->count;
    samples->keys = keys->keys;
    samples->seen = keys->seen;
    samples->n_regions = keys->any_bound ? keys->count : 0;
    samples->regions = keys->regions;
    builder.sample_pointers[builder.sample_count++] = samples;
}

static void add_leader_heartbeat(cw_router_t *router, cw_time_us_t now)
{
    cwp__leader_heartbeat__init(&builder.leader);
    builder.leader.term = router->leadership.lock.term;
    builder.leader.revision = router->leadership.revision;
    builder.leader.able = cw_router_is_able(router, now);
    builder.leader.list_age_ms = (uint32_t)((now - router->server_view.true_at) / 1000);
    builder.leader.servers = router->lead_servers;
    builder.leader.tables = router->lead_tables;
    builder.leader.servers_hash = router->server_view.list == NULL ? 0 : router->server_view.hash;
    builder.leader.list_revision = router->server_view.revision;
    builder.leader.configuration_age_ms = cw_configuration_freshness_pack(&router->freshness, now);
    builder.leader.tables_hash = router->lead_tables == 0 ? 0 : router->tables_hash;
    builder.report.leader = &builder.leader;
}

/* Names and paces are most of a report's bytes, and what they tell changes slowly: the more nodes, the rarer. */
static cw_time_us_t full_pause(const cw_router_t *router, cw_time_us_t now)
{
    return CW_MS(FULL_PAUSE_MS) * (1 + cw_peer_link_alive(router->link, router->silence, now) / FULL_NODES);
}

static void make_report(cw_router_t *router, bool to_all, cw_time_us_t now)
{
    bool full = to_all && now - router->reported_full_at >= full_pause(router, now);

    cwp__node_report__init(&builder.report);
    builder.queue_count = 0;
    builder.sample_count = 0;
    builder.report.node = "";
    builder.report.zone = "";
    if (full || now < router->named_until) {
        builder.report.node = router->settings.node;
        builder.report.zone = router->settings.zone;
        builder.report.capability = cw_router_capability(router);
    }
    if (full) {
        router->reported_full_at = now;
        add_paces(router, false);
    }
    builder.report.incarnation = router->incarnation;
    builder.report.sequence = ++router->sequence;
    builder.report.stopping = router->stopping_at != 0;
    builder.report.store_lost = router->store_lost;
    if (router->vacated_term != 0 && now - router->vacated_at < CW_SECONDS(VACATED_TOLD_S)) {
        builder.report.vacated = router->vacated_term;
    }
    builder.report.configuration = cw_router_version(router);
    builder.report.peers = cw_peer_link_alive(router->link, router->silence, now);
    builder.report.term = router->view_term;
    builder.report.servers = router->view_servers;
    builder.report.tables = router->view_tables;
    add_loads(router, now);
    cw_engine_each_queue(router->engine, add_queue, NULL);
    builder.report.n_queues = builder.queue_count;
    builder.report.queues = builder.queue_pointers;
    if (router->leadership.leading) {
        add_leader_heartbeat(router, now);
    }
}

/* ---- sending ---- */

static bool is_in_zone(const cw_router_t *router, const cw_peer_t *peer)
{
    return peer->last_received_at != 0 && strcmp(peer->zone, router->settings.zone) == 0;
}

static void take_own_sample(void *context, const char *service, const cw_key_samples_t *samples)
{
    cw_router_t *router = context;

    cw_router_samples_t taken = {samples->keys, samples->regions, samples->count, samples->seen};

    cw_router_take_samples(router, cw_short_name(service), &taken, cw_router_now(router));
}

static void send_samples(cw_router_t *router, const cw_peer_t *leader)
{
    Cwp__Datagram datagram = CWP__DATAGRAM__INIT;

    cw_engine_take_samples(router->engine, add_samples, NULL);
    builder.report.n_samples = builder.sample_count;
    builder.report.samples = builder.sample_pointers;
    datagram.content_case = CWP__DATAGRAM__CONTENT_REPORT;
    datagram.report = &builder.report;
    cw_peer_link_send(router->link, leader, &datagram);
    builder.report.n_samples = 0;
    builder.report.samples = NULL;
}

static void send_report(cw_router_t *router, bool to_all, cw_time_us_t now)
{
    Cwp__Datagram datagram = CWP__DATAGRAM__INIT;
    cw_peer_t    *peer;
    size_t        length;

    make_report(router, to_all, now);
    datagram.content_case = CWP__DATAGRAM__CONTENT_REPORT;
    datagram.report = &builder.report;
    length = cw_peer_link_pack(router->link, &datagram);
    for (peer = cw_peer_link_peers(router->link); peer != NULL; peer = peer->next) {
        if (to_all || is_in_zone(router, peer)) {
            cw_peer_link_send_packed(router->link, peer, length);
        }
    }
}

/* The leader plans by the keys of recent requests: it hears of them sooner than all others hear of loads. */
static void send_keys(cw_router_t *router, cw_time_us_t now)
{
    cw_peer_t *peer;

    router->sent_keys_at = now;
    if (router->leadership.leading) {
        cw_engine_take_samples(router->engine, take_own_sample, router);
        return;
    }
    for (peer = cw_peer_link_peers(router->link); peer != NULL; peer = peer->next) {
        if (peer->last_received_at != 0 && !peer->is_lost && strcmp(peer->node, router->leader_node) == 0) {
            make_report(router, false, now);
            add_paces(router, true); /* it must know soon which owners answer: its own orders may not reach them */
            send_samples(router, peer);
        }
    }
}

/* Pause between reports to so many peers: as short as wished, while a node's datagrams stay within their budget. */
static int64_t paced(const cw_router_t *router, int64_t pause_ms, uint32_t peers, int64_t datagrams_a_second)
{
    bool    is_new = cw_router_is_new(router, cw_router_now(router));
    int64_t budget = router->leadership.leading ? LEADERS_DATAGRAMS_A_SECOND
                     : is_new                   ? DATAGRAMS_A_SECOND /* the others have to learn of it */
                                                : datagrams_a_second;
    int64_t affordable_ms = (int64_t)peers * 1000 / budget;

    return affordable_ms > pause_ms ? affordable_ms : pause_ms;
}

static int64_t paced_to_all(const cw_router_t *router, int64_t pause_ms, uint32_t peers)
{
    return paced(router, pause_ms, peers, peers > FEW_NODES ? MANY_ALL_DATAGRAMS_A_SECOND : DATAGRAMS_A_SECOND);
}

static uint32_t peers_in_zone(const cw_router_t *router)
{
    const cw_peer_t *peer;
    uint32_t         count = 0;

    for (peer = cw_peer_link_peers(router->link); peer != NULL; peer = peer->next) {
        count += is_in_zone(router, peer) && !peer->is_lost ? 1 : 0;
    }
    return count;
}

static int64_t paced_in_zone(const cw_router_t *router, uint32_t all)
{
    return paced(router, ZONE_PAUSE_MS, peers_in_zone(router),
                 all > FEW_NODES ? MANY_ZONE_DATAGRAMS_A_SECOND : DATAGRAMS_A_SECOND);
}

static cw_time_us_t keys_pause(const cw_router_t *router, cw_time_us_t now)
{
    uint32_t nodes = cw_peer_link_alive(router->link, router->silence, now);

    return CW_MS(KEYS_PAUSE_MS) * (KEYS_NODES + nodes) / KEYS_NODES;
}

static void report(cw_router_t *router, cw_time_us_t now)
{
    cw_time_us_t since_all = now - router->reported_all_at;
    cw_time_us_t since_zone = now - router->reported_zone_at;
    uint32_t     all = cw_peer_link_alive(router->link, router->silence, now);
    cw_time_us_t idle = CW_MS(paced_to_all(router, IDLE_PAUSE_MS, all));

    router->silence =
        idle * SILENCE_IN_PAUSES > CW_MS(CW_PEER_SILENCE_MS) ? idle * SILENCE_IN_PAUSES : CW_MS(CW_PEER_SILENCE_MS);
    if (cw_engine_take_changed(router->engine)) {
        router->zone_due = true;
        router->all_due = true;
    }
    if ((router->all_due && since_all >= CW_MS(paced_to_all(router, ALL_PAUSE_MS, all))) || since_all >= idle) {
        send_report(router, true, now);
        router->reported_all_at = now;
        router->reported_zone_at = now;
        router->all_due = false;
        router->zone_due = false;
    } else if (router->zone_due && since_zone >= CW_MS(paced_in_zone(router, all))) {
        send_report(router, false, now);
        router->reported_zone_at = now;
        router->zone_due = false;
    }
}

/* ---- ticks ---- */

cw_time_us_t cw_router_report_life(const cw_router_t *router)
{
    cw_time_us_t life = router->silence / SILENCE_IN_PAUSES + CW_MS(REPORT_SLACK_MS); /* the next one replaces it */

    return life > CW_MS(CW_POOL_REPORT_LIFE_MS) ? life : CW_MS(CW_POOL_REPORT_LIFE_MS);
}

void cw_router_note_peer(const cw_peer_t *peer, cw_event_kind_t kind, cw_time_us_t silent)
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
            cw_router_note_peer(peer, CW_EVENT_PEER_LOST, now - peer->last_received_at);
        }
    }
}

void cw_router_peers_tick(cw_router_t *router, cw_time_us_t now)
{
    report(router, now);
    if (now - router->sent_keys_at >= keys_pause(router, now) && cw_engine_has_samples(router->engine)) {
        send_keys(router, now);
    }
    find_lost(router, now);
    cw_server_pool_expire(router->pool, cw_router_report_life(router), now);
    cw_peer_link_expire(router->link, router->silence + CW_SECONDS(FORGET_S), now);
}
