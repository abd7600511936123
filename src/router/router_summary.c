/**
 * @file router_summary.c
 * @brief Builds a summary of this zone (router_relay.c sends it).
 */
#include <stdlib.h>
#include <string.h>

#include "base/dropped_entries.h"
#include "base/memory.h"
#include "router/router_paths.h"
#include "router/router_summary.h"

enum {
    LOADS_INTERVAL_MS = 500,    /* usual time of a keyed request, and less than the time for which reports count */
    DETAILS_INTERVAL_MS = 5000, /* names identify nodes to people and in logs; nothing waits for them */
    DETAILS_CHANGED_MS = 1000,  /* four summaries of each relay, of which at least one arrives */
    DETAILS_MAX = 256, /* in one summary, at most 90 bytes each: 23 KB beside 12 bytes a node and 6 KB of sums */
    QUEUES_MAX = 32
};

/** A summary that is being built. */
typedef struct summary_builder {
    Cwp__ZoneSummary   summary;
    uint32_t          *nodes;
    uint32_t          *ages_ms;
    uint32_t          *capabilities;
    size_t             node_room; /* allocated entries of these three arrays */
    Cwp__ZoneNode      details[DETAILS_MAX];
    Cwp__ZoneNode     *detail_pointers[DETAILS_MAX];
    uint32_t           received[CW_ZONES_MAX];
    cw_peer_paths_t    own_paths;
    cw_server_report_t sums[CW_SUMMARY_SERVERS_MAX];
    uint32_t           servers[CW_SUMMARY_SERVERS_MAX];
    uint32_t           under_way[CW_SUMMARY_SERVERS_MAX];
    uint32_t           waiting[CW_SUMMARY_SERVERS_MAX];
    uint32_t           unreachable[CW_SUMMARY_SERVERS_MAX];
    Cwp__QueueLength   queues[QUEUES_MAX];
    Cwp__QueueLength  *queue_pointers[QUEUES_MAX];
} summary_builder_t;

static summary_builder_t builder; /* large, and used by one call at a time */

static bool is_in_zone(const cw_peer_t *peer)
{
    return peer->last_received_at != 0 && peer->distance == CW_DISTANCE_ZONE;
}

static void add_detail(const cw_peer_t *peer)
{
    Cwp__ZoneNode *detail = &builder.details[builder.summary.n_details];

    cwp__zone_node__init(detail);
    detail->address = peer->address;
    detail->incarnation = peer->incarnation;
    detail->node = (char *)peer->node;
    detail->stopping = peer->stopping;
    detail->store_lost = peer->store_lost;
    detail->paths = peer->paths.state;
    detail->lost_services = (uint32_t *)peer->paths.lost;
    detail->n_lost_services = peer->paths.lost_count;
    builder.detail_pointers[builder.summary.n_details++] = detail;
}

static void *resize_array(uint32_t *numbers, size_t count)
{
    uint32_t *grown = cw_memory_resize(numbers, count * sizeof(*numbers));

    return grown;
}

static void make_room_for_node(void)
{
    if (builder.summary.n_nodes < builder.node_room) {
        return;
    }
    builder.node_room = builder.node_room == 0 ? 64 : 2 * builder.node_room;
    builder.nodes = resize_array(builder.nodes, builder.node_room);
    builder.ages_ms = resize_array(builder.ages_ms, builder.node_room);
    builder.capabilities = resize_array(builder.capabilities, builder.node_room);
    builder.summary.nodes = builder.nodes;
    builder.summary.ages_ms = builder.ages_ms;
    builder.summary.capabilities = builder.capabilities;
}

static void add_node(uint32_t address, uint32_t age_ms, uint32_t capability)
{
    size_t index = builder.summary.n_nodes;

    make_room_for_node();
    builder.nodes[index] = address;
    builder.ages_ms[index] = age_ms;
    builder.capabilities[index] = capability;
    builder.summary.n_nodes = index + 1;
    builder.summary.n_ages_ms = index + 1;
    builder.summary.n_capabilities = index + 1;
}

static void add_own_detail(const cw_router_t *router)
{
    Cwp__ZoneNode *detail = &builder.details[builder.summary.n_details];

    cwp__zone_node__init(detail);
    detail->address = cw_peer_link_own_address(router->link);
    detail->incarnation = router->incarnation;
    detail->node = (char *)router->settings.node;
    detail->stopping = router->stopping_at != 0;
    detail->store_lost = router->store_availability.is_lost;
    builder.own_paths = cw_router_own_paths(router, cw_router_now(router));
    detail->paths = builder.own_paths.state;
    detail->lost_services = builder.own_paths.lost;
    detail->n_lost_services = builder.own_paths.lost_count;
    builder.detail_pointers[builder.summary.n_details++] = detail;
}

static void add_nodes(cw_router_t *router, cw_time_us_t now)
{
    const cw_peer_t *peer;

    add_node(cw_peer_link_own_address(router->link), 0, cw_router_capability(router));
    for (peer = cw_peer_link_peers(router->link); peer != NULL; peer = peer->next) {
        if (!is_in_zone(peer) || peer->is_lost) {
            continue;
        }
        add_node(peer->address, (uint32_t)((now - peer->last_received_at) / 1000), peer->capability);
    }
}

static bool has_changed_lately(const cw_peer_t *peer, cw_time_us_t now)
{
    return now - peer->details_at < CW_MS(DETAILS_CHANGED_MS);
}

/* Adds nodes whose details have changed lately, then nodes of the current round. Those that do not fit go into the next
 * summary. */
static void add_details(cw_router_t *router, cw_summary_times_t *times, cw_time_us_t now)
{
    const cw_peer_t *peer;
    size_t           peer_index = 0;

    if (now - times->details_at >= CW_MS(DETAILS_INTERVAL_MS)) {
        times->details_at = now;
        times->details_index = 0;
        add_own_detail(router);
    } else if (router->stopping_at != 0) {
        add_own_detail(router);
    }
    for (peer = cw_peer_link_peers(router->link); peer != NULL; peer = peer->next) {
        if (has_changed_lately(peer, now) && is_in_zone(peer) && !peer->is_lost &&
            builder.summary.n_details < DETAILS_MAX) {
            add_detail(peer);
        }
    }
    for (peer = cw_peer_link_peers(router->link); peer != NULL; peer = peer->next, peer_index++) {
        if (peer_index < times->details_index) {
            continue;
        }
        if (builder.summary.n_details == DETAILS_MAX) {
            break;
        }
        times->details_index = peer_index + 1;
        if (!has_changed_lately(peer, now) && is_in_zone(peer) && !peer->is_lost) {
            add_detail(peer);
        }
    }
}

static void add_received(const cw_zone_links_t *links, cw_time_us_t now)
{

    size_t index;

    for (index = 0; index < links->count; index++) {
        if (cw_zone_links_is_summarized(links, links->items[index].zone, now)) {
            builder.received[builder.summary.n_received++] = cw_name_hash(links->items[index].zone);
        }
    }
}

static bool includes_node(void *context, uint64_t node)
{
    cw_router_t     *router = context;
    const cw_peer_t *peer = node >= cw_zone_sender_bit ? NULL : cw_peer_link_find(router->link, (uint32_t)node);

    return peer != NULL && is_in_zone(peer);
}

/* Only servers of keyed services are summed. Slots of other services are counted in the servers' own zones
 * (slot_broker.h). */
/* Requests to servers that this node does not reach have not arrived there. */
static bool includes_own(void *context, const cw_server_t *server)
{
    return !cw_router_has_lost_paths(context, server->service_hash);
}

static bool includes_server(void *context, const cw_server_t *server)
{
    const cw_router_t *router = context;
    size_t             index;

    for (index = 0; router->configuration != NULL && index < router->configuration->service_count; index++) {
        const cw_service_t *service = &router->configuration->services[index];

        if (service->keyed && strcmp(service->name, server->service) == 0) {
            return true;
        }
    }
    return false;
}

static void add_loads(cw_router_t *router, cw_time_us_t now)
{
    cw_sum_filter_t filter = {.context = router,
                              .includes_node = includes_node,
                              .includes_server = includes_server,
                              .includes_own = includes_own};
    size_t          left_out;
    size_t          count;
    size_t          index;

    cw_engine_count_waiting(router->engine);
    count = cw_server_pool_sum(router->pool, &filter, builder.sums, CW_SUMMARY_SERVERS_MAX, now, &left_out);
    cw_dropped_entries_report("owners of keys in the summary of a zone: other zones do not learn its requests there",
                              CW_SUMMARY_SERVERS_MAX, left_out);
    for (index = 0; index < count; index++) {
        builder.servers[index] = builder.sums[index].hash;
        builder.under_way[index] = builder.sums[index].in_flight;
        builder.waiting[index] = builder.sums[index].waiting;
        if (builder.sums[index].unreachable) {
            builder.unreachable[builder.summary.n_unreachable++] = builder.sums[index].hash;
        }
    }
    builder.summary.has_loads = true;
    builder.summary.n_servers = count;
    builder.summary.n_under_way = count;
    builder.summary.n_waiting = count;
}

static void add_queued(uint32_t service, uint32_t queued)
{
    Cwp__QueueLength *length;
    size_t            index;

    for (index = 0; index < builder.summary.n_queues; index++) {
        if (builder.queues[index].service == service) {
            builder.queues[index].queued += queued;
            return;
        }
    }
    if (index == QUEUES_MAX) {
        return;
    }
    length = &builder.queues[index];
    cwp__queue_length__init(length);
    length->service = service;
    length->queued = queued;
    builder.queue_pointers[index] = length;
    builder.summary.n_queues = index + 1;
}

static void add_own_queue(void *context, const char *service, uint32_t queued)
{
    (void)context;
    add_queued(cw_name_hash(service), queued);
}

static void add_other_queue(void *context, const cw_queue_length_t *length)
{
    (void)context;
    add_queued(length->service, length->queued);
}

static void add_queues(cw_router_t *router, cw_time_us_t now)
{
    cw_engine_each_queue(router->engine, add_own_queue, NULL);
    cw_queue_lengths_each_near(&router->queue_lengths, cw_router_report_lifetime(router), now, add_other_queue, NULL);
}

static void begin_summary(const cw_router_t *router, cw_summary_times_t *times)
{
    Cwp__ZoneSummary *summary = &builder.summary;

    cwp__zone_summary__init(summary);
    summary->zone = (char *)router->settings.zone;
    summary->relay = cw_peer_link_own_address(router->link);
    summary->incarnation = router->incarnation;
    summary->sequence = ++times->sequence;
    summary->configuration = cw_router_version(router);
    summary->nodes = builder.nodes;
    summary->ages_ms = builder.ages_ms;
    summary->capabilities = builder.capabilities;
    summary->details = builder.detail_pointers;
    summary->received = builder.received;
    summary->servers = builder.servers;
    summary->under_way = builder.under_way;
    summary->waiting = builder.waiting;
    summary->unreachable = builder.unreachable;
    summary->queues = builder.queue_pointers;
}

/* Interval between lists of nodes. Nodes of a zone report to one another no more often than this, so that more frequent
 * lists would contain nothing new. */
static cw_time_us_t nodes_interval(const cw_router_t *router)
{
    cw_time_us_t interval = CW_MS((int64_t)cw_router_largest_zone(router) * 1000 / CW_LARGE_FLEET_DATAGRAMS_PER_SECOND);

    return interval > CW_MS(CW_SUMMARY_INTERVAL_MS) ? interval : CW_MS(CW_SUMMARY_INTERVAL_MS);
}

size_t cw_router_pack_summary(cw_router_t *router, cw_summary_times_t *times, const cw_zone_links_t *links,
                              cw_time_us_t now)
{
    Cwp__Datagram datagram = CWP__DATAGRAM__INIT;

    begin_summary(router, times);
    if (now - times->nodes_at >= nodes_interval(router)) {
        times->nodes_at = now;
        add_nodes(router, now);
    }
    add_details(router, times, now);
    add_received(links, now);
    if (now - times->loads_at >= CW_MS(LOADS_INTERVAL_MS)) {
        times->loads_at = now;
        add_loads(router, now);
        add_queues(router, now);
    }
    datagram.content_case = CWP__DATAGRAM__CONTENT_ZONE_SUMMARY;
    datagram.zone_summary = &builder.summary;
    return cw_peer_link_pack(router->link, &datagram);
}
