/**
 * @file router_peers.c
 * @brief Reports between nodes: what each has under way at each server, keys seen, the leader's word.
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
    FULL_PAUSE_MS = 1000, /* between reports with names and paces */
    NAMED_MS = 700,       /* names go with each report after a node was first heard */
    KEYS_PAUSE_MS = 100,
    DATAGRAMS_A_SECOND = 150, /* of reports, to all and within the zone each */
    LEADERS_DATAGRAMS_A_SECOND = 1000,
    SILENCE_IN_PAUSES = 3, /* reports that may be lost before a node counts as lost */
    LOADS_MAX = 512,
    QUEUES_MAX = 32,
    SAMPLES_MAX = 16,
    RESEND_MS = 150,
    PAGE_SERVERS = 64,
    PAGE_RANGES = 400,
    NODES_MAX = 1024,
    FORGET_S = 15
};

/** A report while it is being made. */
typedef struct report_builder {
    Cwp__NodeReport   report;
    Cwp__LeaderWord   leader;
    Cwp__ServerLoad   loads[LOADS_MAX];
    Cwp__ServerLoad  *load_pointers[LOADS_MAX];
    Cwp__ServerPace   paces[LOADS_MAX];
    Cwp__ServerPace  *pace_pointers[LOADS_MAX];
    Cwp__QueueLength  queues[QUEUES_MAX];
    Cwp__QueueLength *queue_pointers[QUEUES_MAX];
    Cwp__KeySamples   samples[SAMPLES_MAX];
    Cwp__KeySamples  *sample_pointers[SAMPLES_MAX];
    cw_key_samples_t  keys[SAMPLES_MAX];
    size_t            queue_count;
    size_t            sample_count;
} report_builder_t;

static report_builder_t builder; /* large, and used by one call at a time */

/* ---- making a report ---- */

static void add_loads(cw_router_t *router, cw_time_us_t now)
{
    cw_server_t *server;
    cw_server_t *next;
    size_t       count = 0;

    HASH_ITER(by_id, cw_server_pool_all(router->pool), server, next)
    {
        Cwp__ServerLoad *load = &builder.loads[count];

        if (count == LOADS_MAX || (server->own == 0 && server->avoid_until <= now)) {
            continue;
        }
        cwp__server_load__init(load);
        load->server = server->hash;
        load->under_way = server->own;
        load->unreachable = server->faults > 0 && server->avoid_until > now;
        builder.load_pointers[count++] = load;
    }
    builder.report.n_loads = count;
    builder.report.loads = builder.load_pointers;
}

/* What has changed since it was last told. */
static void add_paces(cw_router_t *router)
{
    cw_server_t *server;
    cw_server_t *next;
    size_t       count = 0;

    HASH_ITER(by_id, cw_server_pool_all(router->pool), server, next)
    {
        Cwp__ServerPace *pace = &builder.paces[count];

        if (count == LOADS_MAX || server->served == server->served_told) {
            continue;
        }
        cwp__server_pace__init(pace);
        pace->server = server->hash;
        pace->served = server->served;
        pace->time = server->served_time;
        server->served_told = server->served;
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
    length->service = cw_router_hash(service);
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
    samples->service = cw_router_hash(service);
    samples->n_keys = keys->count;
    samples->keys = keys->keys;
    samples->seen = keys->seen;
    builder.sample_pointers[builder.sample_count++] = samples;
}

static void add_leader_word(cw_router_t *router, cw_time_us_t now)
{
    cwp__leader_word__init(&builder.leader);
    builder.leader.term = router->leadership.lock.term;
    builder.leader.revision = router->leadership.revision;
    builder.leader.able = cw_router_is_able(router, now);
    builder.leader.list_age_ms = (uint32_t)((now - router->servers_at) / 1000);
    builder.leader.servers = router->lead_servers;
    builder.leader.tables = router->lead_tables;
    builder.report.leader = &builder.leader;
}

static void make_report(cw_router_t *router, bool to_all, cw_time_us_t now)
{
    bool full = to_all && now - router->reported_full_at >= CW_MS(FULL_PAUSE_MS);

    cwp__node_report__init(&builder.report);
    builder.queue_count = 0;
    builder.sample_count = 0;
    builder.report.node = "";
    builder.report.zone = "";
    if (full || now < router->named_until) {
        builder.report.node = router->settings.node;
        builder.report.zone = router->settings.zone;
    }
    if (full) {
        router->reported_full_at = now;
        add_paces(router);
    }
    builder.report.incarnation = router->incarnation;
    builder.report.sequence = ++router->sequence;
    builder.report.stopping = router->stopping_at != 0;
    builder.report.configuration = router->configuration == NULL ? 0 : router->configuration->version;
    builder.report.term = router->view_term;
    builder.report.servers = router->view_servers;
    builder.report.tables = router->view_tables;
    add_loads(router, now);
    cw_engine_each_queue(router->engine, add_queue, NULL);
    builder.report.n_queues = builder.queue_count;
    builder.report.queues = builder.queue_pointers;
    if (router->leadership.leading) {
        add_leader_word(router, now);
    }
}

/* ---- sending ---- */

static bool is_in_zone(const cw_router_t *router, const cw_peer_t *peer)
{
    return peer->heard_at != 0 && strcmp(peer->zone, router->settings.zone) == 0;
}

static void take_own_sample(void *context, const char *service, const cw_key_samples_t *samples)
{
    cw_router_t *router = context;

    cw_router_take_samples(router, cw_router_hash(service), samples->keys, samples->count, samples->seen,
                           cw_router_now(router));
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
        if (peer->heard_at != 0 && !peer->is_lost && strcmp(peer->node, router->leader_node) == 0) {
            make_report(router, false, now);
            send_samples(router, peer);
        }
    }
}

/* Pause between reports to so many peers: as short as wished, while a node's datagrams stay within their budget. */
static int64_t paced(const cw_router_t *router, int64_t pause_ms, uint32_t peers)
{
    int64_t budget = router->leadership.leading ? LEADERS_DATAGRAMS_A_SECOND : DATAGRAMS_A_SECOND;
    int64_t affordable_ms = (int64_t)peers * 1000 / budget;

    return affordable_ms > pause_ms ? affordable_ms : pause_ms;
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

static void report(cw_router_t *router, cw_time_us_t now)
{
    cw_time_us_t since_all = now - router->reported_all_at;
    cw_time_us_t since_zone = now - router->reported_zone_at;
    uint32_t     all = cw_peer_link_alive(router->link, router->silence, now);
    cw_time_us_t idle = CW_MS(paced(router, IDLE_PAUSE_MS, all));

    router->silence =
        idle * SILENCE_IN_PAUSES > CW_MS(CW_PEER_SILENCE_MS) ? idle * SILENCE_IN_PAUSES : CW_MS(CW_PEER_SILENCE_MS);
    if (cw_engine_take_changed(router->engine)) {
        router->zone_due = true;
        router->all_due = true;
    }
    if ((router->all_due && since_all >= CW_MS(paced(router, ALL_PAUSE_MS, all))) || since_all >= idle) {
        send_report(router, true, now);
        router->reported_all_at = now;
        router->reported_zone_at = now;
        router->all_due = false;
        router->zone_due = false;
    } else if (router->zone_due && since_zone >= CW_MS(paced(router, ZONE_PAUSE_MS, peers_in_zone(router)))) {
        send_report(router, false, now);
        router->reported_zone_at = now;
        router->zone_due = false;
    }
}

/* ---- the leader's list and tables ---- */

static void send_servers_page(cw_router_t *router, const cw_peer_t *peer, uint32_t page, uint32_t pages)
{
    static Cwp__ViewServer  entries[PAGE_SERVERS];
    static Cwp__ViewServer *pointers[PAGE_SERVERS];
    static uint32_t         nodes[NODES_MAX];
    Cwp__ServersPage        content = CWP__SERVERS_PAGE__INIT;
    Cwp__Datagram           datagram = CWP__DATAGRAM__INIT;
    const cw_peer_t        *known;
    size_t                  first = (size_t)page * PAGE_SERVERS;
    size_t                  index;

    content.term = router->leadership.lock.term;
    content.number = router->lead_servers;
    content.page = page;
    content.pages = pages;
    for (index = first; index < router->servers->count && index < first + PAGE_SERVERS; index++) {
        const cw_server_entry_t *entry = &router->servers->entries[index];
        Cwp__ViewServer         *server = &entries[content.n_servers];

        cwp__view_server__init(server);
        server->id = entry->id;
        server->service = entry->service;
        server->address = entry->address;
        server->zone = entry->zone;
        server->capacity = entry->capacity;
        server->draining = entry->draining;
        server->cold_ms = (uint32_t)(entry->cold_time / 1000);
        pointers[content.n_servers++] = server;
    }
    content.servers = pointers;
    for (known = cw_peer_link_peers(router->link); page == 0 && known != NULL; known = known->next) {
        if (known->heard_at != 0 && content.n_nodes < NODES_MAX) {
            nodes[content.n_nodes++] = known->address;
        }
    }
    content.nodes = nodes;
    datagram.content_case = CWP__DATAGRAM__CONTENT_SERVERS;
    datagram.servers = &content;
    cw_peer_link_send(router->link, peer, &datagram);
}

static bool is_behind(const cw_router_t *router, const cw_peer_t *peer, uint64_t has, uint64_t newest)
{
    return peer->heard_at != 0 && (peer->term != router->leadership.lock.term || has < newest);
}

void cw_router_push_servers(cw_router_t *router, cw_time_us_t now)
{
    uint32_t   pages;
    uint32_t   page;
    cw_peer_t *peer;

    if (!router->leadership.leading || router->servers == NULL || router->lead_servers == 0) {
        return;
    }
    pages = (uint32_t)((router->servers->count + PAGE_SERVERS - 1) / PAGE_SERVERS);
    pages = pages == 0 ? 1 : pages;
    for (peer = cw_peer_link_peers(router->link); peer != NULL; peer = peer->next) {
        if (!is_behind(router, peer, peer->servers, router->lead_servers) ||
            now - peer->servers_sent_at < CW_MS(RESEND_MS)) {
            continue;
        }
        peer->servers_sent_at = now;
        for (page = 0; page < pages; page++) {
            send_servers_page(router, peer, page, pages);
        }
    }
}

static void send_table(cw_router_t *router, const cw_peer_t *peer, const cw_keeper_t *keeper, uint32_t page,
                       uint32_t pages)
{
    static Cwp__TableRange  entries[PAGE_RANGES];
    static Cwp__TableRange *pointers[PAGE_RANGES];
    const cw_range_list_t  *ranges = cw_keeper_ranges(keeper);
    Cwp__TablePage          content = CWP__TABLE_PAGE__INIT;
    Cwp__Datagram           datagram = CWP__DATAGRAM__INIT;
    size_t                  index;

    content.term = router->leadership.lock.term;
    content.number = router->lead_tables;
    content.page = page;
    content.pages = pages;
    content.service = (char *)cw_keeper_service(keeper);
    for (index = 0; index < ranges->count && index < PAGE_RANGES; index++) {
        const cw_range_t *range = &ranges->items[index];
        Cwp__TableRange  *entry = &entries[index];

        cwp__table_range__init(entry);
        entry->low = range->low;
        entry->last = range->last;
        entry->server = cw_router_hash(range->owner.id);
        entry->fence = range->owner.fence;
        entry->routable = range->phase == CW_RANGE_HELD || (range->phase == CW_RANGE_GRANTING && range->keeps_serving);
        pointers[index] = entry;
    }
    content.n_ranges = index;
    content.ranges = pointers;
    datagram.content_case = CWP__DATAGRAM__CONTENT_TABLE;
    datagram.table = &content;
    cw_peer_link_send(router->link, peer, &datagram);
}

void cw_router_push_tables(cw_router_t *router, cw_time_us_t now)
{
    cw_peer_t *peer;
    size_t     index;

    if (!router->leadership.leading || router->lead_tables == 0) {
        return;
    }
    for (peer = cw_peer_link_peers(router->link); peer != NULL; peer = peer->next) {
        if (!is_behind(router, peer, peer->tables, router->lead_tables) ||
            now - peer->tables_sent_at < CW_MS(RESEND_MS)) {
            continue;
        }
        peer->tables_sent_at = now;
        for (index = 0; index < router->keyed_count; index++) {
            send_table(router, peer, router->keyed[index].keeper, (uint32_t)index, (uint32_t)router->keyed_count);
        }
    }
}

/* ---- receiving ---- */

static void take_loads(cw_router_t *router, const cw_peer_t *peer, const Cwp__NodeReport *received, cw_time_us_t now)
{
    static cw_server_report_t reports[LOADS_MAX];
    size_t                    index;

    for (index = 0; index < received->n_loads && index < LOADS_MAX; index++) {
        const Cwp__ServerLoad *load = received->loads[index];

        reports[index] =
            (cw_server_report_t){.hash = load->server, .under_way = load->under_way, .unreachable = load->unreachable};
    }
    cw_server_pool_report(router->pool, peer->address, reports, index, now);
}

static void take_paces(cw_router_t *router, const cw_peer_t *peer, const Cwp__NodeReport *received, cw_time_us_t now)
{
    static cw_server_pace_t paces[LOADS_MAX];
    size_t                  index;

    for (index = 0; index < received->n_paces && index < LOADS_MAX; index++) {
        const Cwp__ServerPace *pace = received->paces[index];

        paces[index] = (cw_server_pace_t){.hash = pace->server, .served = pace->served, .time = pace->time};
    }
    if (index > 0) {
        cw_server_pool_learn(router->pool, peer->address, paces, index, now);
    }
}

static void note_peer(const cw_peer_t *peer, cw_event_kind_t kind, cw_time_us_t silent)
{
    cw_event_t event;

    if (cw_event_begin(&event, kind)) {
        cw_event_text(&event, CW_FIELD_PEER, peer->node);
        cw_event_text(&event, CW_FIELD_DETAIL, peer->text);
        cw_event_ms(&event, CW_FIELD_SILENT_MS, silent);
        cw_event_end(&event);
    }
}

static bool take_identity(cw_router_t *router, cw_peer_t *peer, const Cwp__NodeReport *received, cw_time_us_t now)
{
    if (peer->incarnation == received->incarnation && received->sequence <= peer->sequence && peer->heard_at != 0) {
        return false; /* late or repeated */
    }
    if (peer->heard_at == 0 || peer->is_lost || peer->incarnation != received->incarnation) {
        router->named_until = now + CW_MS(NAMED_MS);
        if (received->node[0] != '\0') {
            cw_text_copy(peer->node, sizeof(peer->node), received->node);
        }
        note_peer(peer, CW_EVENT_PEER_BACK, peer->heard_at == 0 ? 0 : now - peer->heard_at);
    }
    peer->is_lost = false;
    peer->incarnation = received->incarnation;
    peer->sequence = received->sequence;
    peer->heard_at = now;
    peer->stopping = received->stopping;
    peer->term = received->term;
    peer->servers = received->servers;
    peer->tables = received->tables;
    if (received->node[0] != '\0') {
        cw_text_copy(peer->node, sizeof(peer->node), received->node);
        cw_text_copy(peer->zone, sizeof(peer->zone), received->zone);
    }
    return true;
}

static void sum_queue(void *context, const char *service, uint32_t queued)
{
    cw_router_t *router = context;
    uint32_t     hash = cw_router_hash(service);
    uint32_t     sum = 0;
    size_t       index;

    (void)queued;
    for (index = 0; index < router->queue_count; index++) {
        if (router->queues[index].service == hash) {
            sum += router->queues[index].queued;
        }
    }
    cw_engine_set_queued_elsewhere(router->engine, service, sum);
}

/* How long what a silent node told is still counted. */
static cw_time_us_t report_life(const cw_router_t *router)
{
    return router->silence > CW_MS(CW_POOL_REPORT_LIFE_MS) ? router->silence : CW_MS(CW_POOL_REPORT_LIFE_MS);
}

/* Replaces what this peer (or a silent one) told before. */
static void take_queues(cw_router_t *router, const cw_peer_t *peer, const Cwp__NodeReport *received, cw_time_us_t now)
{
    size_t kept = 0;
    size_t index;

    for (index = 0; index < router->queue_count; index++) {
        if (router->queues[index].peer != peer->address && now - router->queues[index].at < report_life(router)) {
            router->queues[kept++] = router->queues[index];
        }
    }
    for (index = 0; index < received->n_queues && kept < CW_QUEUE_REPORTS_MAX; index++) {
        router->queues[kept++] = (cw_queue_report_t){.peer = peer->address,
                                                     .service = received->queues[index]->service,
                                                     .queued = received->queues[index]->queued,
                                                     .at = now};
    }
    if (kept > 0 || router->queue_count > 0) {
        router->queue_count = kept;
        cw_engine_each_service(router->engine, sum_queue, router);
    }
}

static void take_report(cw_router_t *router, cw_peer_t *peer, const Cwp__NodeReport *received, cw_time_us_t now)
{
    size_t index;

    if (!take_identity(router, peer, received, now)) {
        return;
    }
    take_loads(router, peer, received, now);
    take_paces(router, peer, received, now);
    take_queues(router, peer, received, now);
    for (index = 0; router->leadership.leading && index < received->n_samples; index++) {
        const Cwp__KeySamples *samples = received->samples[index];

        cw_router_take_samples(router, samples->service, samples->keys, samples->n_keys, samples->seen, now);
    }
    if (received->leader != NULL) {
        cw_router_take_leader_word(router, peer, received->leader, now);
    }
    if (received->configuration > (router->configuration == NULL ? 0 : router->configuration->version)) {
        router->store->read_configuration(router->store->context);
    }
    cw_engine_wake(router->engine);
}

void cw_router_datagram(void *context, cw_peer_t *peer, const Cwp__Datagram *datagram)
{
    cw_router_t *router = context;
    cw_time_us_t now = cw_router_now(router);

    switch (datagram->content_case) {
    case CWP__DATAGRAM__CONTENT_REPORT:
        take_report(router, peer, datagram->report, now);
        break;
    case CWP__DATAGRAM__CONTENT_SERVERS:
        cw_router_take_servers_page(router, datagram->servers);
        break;
    case CWP__DATAGRAM__CONTENT_TABLE:
        cw_router_take_table_page(router, datagram->table);
        break;
    default:
        break;
    }
}

/* ---- ticks ---- */

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
        if (peer->heard_at != 0 && !peer->is_lost && now - peer->heard_at > router->silence) {
            peer->is_lost = true;
            note_peer(peer, CW_EVENT_PEER_LOST, now - peer->heard_at);
        }
    }
}

void cw_router_peers_tick(cw_router_t *router, cw_time_us_t now)
{
    report(router, now);
    if (now - router->sent_keys_at >= CW_MS(KEYS_PAUSE_MS) && cw_engine_has_samples(router->engine)) {
        send_keys(router, now);
    }
    find_lost(router, now);
    cw_server_pool_expire(router->pool, report_life(router), now);
    cw_peer_link_expire(router->link, CW_SECONDS(FORGET_S), now);
}
