/**
 * @file router_report.c
 * @brief Builds a report of this node: requests in flight at each server, servers' service times, keys of recent
 * requests, and the leader's heartbeat.
 */
#include <string.h>

#include "router/router_paths.h"

enum {
    LOADS_MAX = 512,
    QUEUES_MAX = 32,
    SAMPLES_MAX = 16,
    /* Where more nodes are lost at once, most of them have ended, and probes find the ways to the others. */
    MISSED_MAX = 16
};

/** A report that is being built. */
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
    uint32_t             servers_replaced_ms[CW_REPLACED_VERSIONS_MAX];
    uint32_t             tables_replaced_ms[CW_REPLACED_VERSIONS_MAX];
    uint32_t             missed[MISSED_MAX];
    cw_peer_paths_t      own_paths;
    size_t               queue_count;
    size_t               sample_count;
} report_builder_t;

static report_builder_t builder; /* large, and used by one call at a time */

/* Adds this node's requests at servers, and the servers that it avoids. Servers of a service of which it reaches none
 * are left out: its requests there have not arrived, or have ended, and it cannot judge them. */
static void add_loads(cw_router_t *router, cw_time_us_t now)
{
    cw_server_t *server;
    cw_server_t *next;
    size_t       count = 0;

    cw_engine_count_waiting(router->engine);
    HASH_ITER(by_id, cw_server_pool_all(router->pool), server, next)
    {
        Cwp__ServerLoad *load = &builder.loads[count];

        if (cw_router_has_lost_paths(router, server->service_hash)) {
            continue;
        }
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

/* Adds the service times that have changed since they were last sent, to the leader or to all nodes. */
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
    length->service = cw_name_hash(service);
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
    samples->service = cw_name_hash(service);
    samples->n_keys = keys->count;
    samples->keys = keys->keys;
    samples->seen = keys->seen;
    samples->n_regions = keys->any_region_restricted ? keys->count : 0;
    samples->regions = keys->regions;
    builder.sample_pointers[builder.sample_count++] = samples;
}

/* While changes wait to be published, the heartbeat carries the next version, which no node has yet, and states that
 * the last tables were valid until the first of these changes. */
static void add_tables(const cw_router_t *router, cw_time_us_t now)
{
    const cw_table_publication_t *publication = &router->table_publication;
    cw_replaced_versions_t        replaced = router->replaced_tables;
    bool                          is_behind = publication->is_due && router->leader_tables_version != 0;

    if (is_behind) {
        cw_replaced_versions_add(&replaced, router->leader_tables_version, publication->changed_at);
    }
    builder.leader.tables = router->leader_tables_version + (is_behind ? 1 : 0);
    builder.leader.tables_hash = router->leader_tables_version == 0 || is_behind ? 0 : router->tables_hash;
    builder.leader.tables_replaced_ms = builder.tables_replaced_ms;
    builder.leader.n_tables_replaced_ms = cw_replaced_versions_ages(&replaced, now, builder.tables_replaced_ms);
}

static void add_leader_heartbeat(cw_router_t *router, cw_time_us_t now)
{
    cwp__leader_heartbeat__init(&builder.leader);
    builder.leader.term = router->leadership.lock.term;
    builder.leader.revision = cw_store_revision_count(router->leadership.revision);
    builder.leader.revision_epoch = cw_router_sent_epoch(router->leadership.revision);
    builder.leader.able = cw_router_has_authority(router, now);
    builder.leader.list_age_ms = (uint32_t)((now - router->server_view.evidence.valid_at) / 1000) + 1;
    builder.leader.sent_ms = (uint64_t)(now / 1000) + 1;
    builder.leader.servers = router->leader_list_version;
    builder.leader.servers_hash = router->server_view.list == NULL ? 0 : router->server_view.hash;
    builder.leader.list_revision = cw_store_revision_count(router->server_view.revision);
    builder.leader.list_revision_epoch = cw_router_sent_epoch(router->server_view.revision);
    builder.leader.configuration_age_ms = cw_configuration_freshness_pack(&router->freshness, now);
    builder.leader.nodes = cw_fleet_size_to_announce(&router->fleet_size, router->peak_nodes.count, now);
    builder.leader.servers_replaced_ms = builder.servers_replaced_ms;
    builder.leader.n_servers_replaced_ms =
        cw_replaced_versions_ages(&router->replaced_servers, now, builder.servers_replaced_ms);
    add_tables(router, now);
    builder.report.leader = &builder.leader;
}

/* Adds the lost nodes. A node that finds itself among them knows that its datagrams do not arrive here. */
static void add_missed(const cw_router_t *router)
{
    const cw_peer_t *peer;
    size_t           count = 0;

    for (peer = cw_peer_link_peers(router->link); peer != NULL && count < MISSED_MAX; peer = peer->next) {
        if (peer->is_lost) {
            builder.missed[count++] = peer->address;
        }
    }
    builder.report.n_missed = count;
    builder.report.missed = builder.missed;
}

static void begin_report(cw_router_t *router, cw_time_us_t now)
{
    cwp__node_report__init(&builder.report);
    builder.queue_count = 0;
    builder.sample_count = 0;
    builder.report.node = "";
    builder.report.zone = "";
    builder.report.incarnation = router->incarnation;
    builder.report.sequence = ++router->sequence;
    builder.report.stopping = router->stopping_at != 0;
    builder.report.store_lost = router->store_availability.is_lost;
    builder.own_paths = cw_router_own_paths(router, now);
    builder.report.paths = builder.own_paths.state;
    builder.report.lost_services = builder.own_paths.lost;
    builder.report.n_lost_services = builder.own_paths.lost_count;
    builder.report.vacated = cw_leader_tenure_announced_term(&router->tenure, now);
    builder.report.configuration = cw_router_version(router);
    builder.report.peers = cw_peer_link_count_alive(router->link, router->peer_timeout, now);
    builder.report.term = router->view_term;
    builder.report.servers = router->view_list_version;
    builder.report.tables = router->view_tables_version;
    add_missed(router);
}

static void add_names(const cw_router_t *router)
{
    builder.report.node = (char *)router->settings.node;
    builder.report.zone = (char *)router->settings.zone;
    builder.report.capability = cw_router_capability(router);
}

static void add_requests(cw_router_t *router, cw_time_us_t now)
{
    add_loads(router, now);
    cw_engine_each_queue(router->engine, add_queue, NULL);
    builder.report.n_queues = builder.queue_count;
    builder.report.queues = builder.queue_pointers;
}

static void add_keys(cw_router_t *router)
{
    cw_engine_take_samples(router->engine, add_samples, NULL);
    builder.report.n_samples = builder.sample_count;
    builder.report.samples = builder.sample_pointers;
}

size_t cw_router_pack_report(cw_router_t *router, uint32_t parts, cw_time_us_t now)
{
    Cwp__Datagram datagram = CWP__DATAGRAM__INIT;

    begin_report(router, now);
    if ((parts & CW_REPORT_NAMES) != 0 || now < router->reports.names_until) {
        add_names(router);
    }
    if ((parts & (CW_REPORT_PACES | CW_REPORT_PACES_TO_LEADER)) != 0) {
        add_paces(router, (parts & CW_REPORT_PACES_TO_LEADER) != 0);
    }
    if ((parts & CW_REPORT_LOADS) != 0) {
        add_requests(router, now);
    }
    if ((parts & CW_REPORT_KEYS) != 0) {
        add_keys(router);
    }
    if (router->leadership.leading) {
        add_leader_heartbeat(router, now);
    }
    datagram.content_case = CWP__DATAGRAM__CONTENT_REPORT;
    datagram.report = &builder.report;
    return cw_peer_link_pack(router->link, &datagram);
}
