/**
 * @file router_receive.c
 * @brief Handles datagrams of other nodes: applies reports, and passes other kinds to the part of the node that handles
 * them.
 */
#include <string.h>

#include "base/dropped_entries.h"
#include "base/text.h"
#include "router/router_internal.h"

enum {
    LOADS_MAX = 512,
    /* Reports contain this node's name for so long after a node is received from for the first time or again. */
    SEND_NAMES_MS = 700,
};

static void apply_loads(cw_router_t *router, const cw_peer_t *peer, const Cwp__NodeReport *received, cw_time_us_t now)
{
    static cw_server_report_t reports[LOADS_MAX];
    size_t                    index;

    for (index = 0; index < received->n_loads && index < LOADS_MAX; index++) {
        const Cwp__ServerLoad *load = received->loads[index];

        reports[index] = (cw_server_report_t){.hash = load->server,
                                              .in_flight = load->under_way,
                                              .waiting = load->waiting,
                                              .unreachable = load->unreachable};
    }
    cw_server_pool_apply_report(router->pool, peer->address, reports, index, now);
}

static void apply_paces(cw_router_t *router, const cw_peer_t *peer, const Cwp__NodeReport *received, cw_time_us_t now)
{
    static cw_server_pace_t paces[LOADS_MAX];
    size_t                  index;

    for (index = 0; index < received->n_paces && index < LOADS_MAX; index++) {
        const Cwp__ServerPace *pace = received->paces[index];

        paces[index] = (cw_server_pace_t){.hash = pace->server, .served = pace->served, .time = pace->time};
    }
    if (index > 0) {
        cw_server_pool_apply_paces(router->pool, peer->address, paces, index, now);
    }
}

static bool is_missed_by(const cw_router_t *router, const Cwp__NodeReport *received)
{
    uint32_t own = cw_peer_link_own_address(router->link);
    size_t   index;

    for (index = 0; index < received->n_missed; index++) {
        if (received->missed[index] == own) {
            return true;
        }
    }
    return false;
}

/* Applies the fields in which the peer reports about itself. False: the report is delayed or repeated, and is
 * ignored. */
static bool apply_identity(cw_router_t *router, cw_peer_t *peer, const Cwp__NodeReport *received, cw_time_us_t now)
{
    if (peer->incarnation == received->incarnation && received->sequence <= peer->sequence &&
        peer->last_received_at != 0) {
        return false; /* delayed or repeated */
    }
    if (cw_peer_is_former_incarnation(peer, received->incarnation, now)) {
        return false; /* delayed: the node has restarted since */
    }
    if (peer->last_received_at == 0 || peer->is_lost || peer->incarnation != received->incarnation) {
        router->reports.names_until = now + CW_MS(SEND_NAMES_MS);
        if (received->node[0] != '\0') {
            cw_text_copy(peer->node, sizeof(peer->node), received->node);
        }
        cw_router_log_peer(peer, CW_EVENT_PEER_BACK, peer->last_received_at == 0 ? 0 : now - peer->last_received_at);
    }
    if (peer->is_lost || peer->incarnation != received->incarnation || peer->stopping != received->stopping ||
        peer->store_lost != received->store_lost || received->stopping) {
        peer->details_at = now;
    }
    peer->is_lost = false;
    cw_peer_set_incarnation(peer, received->incarnation, now);
    peer->sequence = received->sequence;
    peer->last_received_at = now;
    peer->last_direct_report_at = now;
    peer->stopping = received->stopping;
    peer->store_lost = received->store_lost;
    if (cw_peer_paths_set(&peer->paths, received->paths, received->lost_services, received->n_lost_services)) {
        peer->details_at = now;
    }
    peer->peers = received->peers;
    peer->receives_nothing_from_us = is_missed_by(router, received);
    peer->term = received->term;
    peer->servers = received->servers;
    peer->tables = received->tables;
    if (received->node[0] != '\0') {
        peer->details_at = strcmp(peer->node, received->node) == 0 ? peer->details_at : now;
        cw_text_copy(peer->node, sizeof(peer->node), received->node);
        cw_peer_link_set_peer_zone(router->link, peer, received->zone);
        peer->capability = received->capability;
    }
    return true;
}

static void update_queued_elsewhere(void *context, const char *service, uint32_t queued)
{
    cw_router_t *router = context;
    uint32_t     sum = cw_queue_lengths_sum(&router->queue_lengths, cw_name_hash(service));

    (void)queued;
    cw_engine_set_queued_elsewhere(router->engine, service, sum);
}

void cw_router_handle_queues(cw_router_t *router, uint64_t sender, bool is_near, Cwp__QueueLength *const *queues,
                             size_t count, cw_time_us_t now)
{
    bool   had_any = cw_queue_lengths_begin(&router->queue_lengths, sender, cw_router_report_lifetime(router), now);
    bool   fits = true;
    size_t index;

    for (index = 0; index < count && fits; index++) {
        cw_queue_length_t length = {.sender = {.id = sender, .is_near = is_near},
                                    .service = queues[index]->service,
                                    .queued = queues[index]->queued,
                                    .at = now};

        fits = cw_queue_lengths_add(&router->queue_lengths, &length);
    }
    cw_dropped_entries_report("queue lengths of other nodes: services seem less busy there", CW_QUEUE_LENGTHS_MAX,
                              fits ? 0 : count - index + 1);
    if (had_any || router->queue_lengths.count > 0) {
        cw_engine_each_service(router->engine, update_queued_elsewhere, router);
    }
}

static void handle_report(cw_router_t *router, cw_peer_t *peer, const Cwp__NodeReport *received, cw_time_us_t now)
{
    size_t index;

    if (!apply_identity(router, peer, received, now)) {
        return;
    }
    if (cw_router_is_summarized(router, peer, now)) { /* its requests are included in its zone's sums */
        cw_server_pool_apply_report(router->pool, peer->address, NULL, 0, now);
        cw_router_handle_queues(router, peer->address, false, NULL, 0, now);
    } else {
        apply_loads(router, peer, received, now);
        cw_router_handle_queues(router, peer->address, peer->distance == CW_DISTANCE_ZONE, received->queues,
                                received->n_queues, now);
    }
    apply_paces(router, peer, received, now);
    cw_router_list_exchange_record_holder(router, peer, now);
    for (index = 0; router->leadership.leading && index < received->n_samples; index++) {
        const Cwp__KeySamples *samples = received->samples[index];
        cw_router_samples_t    taken = {.keys = samples->keys,
                                        .regions = samples->n_regions == samples->n_keys ? samples->regions : NULL,
                                        .count = samples->n_keys,
                                        .seen = samples->seen,
                                        .zone = peer->zone};

        cw_router_add_samples(router, samples->service, &taken, now);
    }
    if (received->vacated != 0 && received->vacated == router->leader.term) {
        cw_leadership_receive_step_down(&router->leadership, now);
    }
    if (received->leader != NULL) {
        cw_router_forward_heartbeat(router, peer, received);
        cw_router_handle_leader_heartbeat(router, peer, peer, received->leader, now);
    }
    cw_router_record_configuration(router, peer, received->configuration, now);
    if (received->leader != NULL) {
        cw_router_record_sent_evidence(router, received->configuration, received->leader->configuration_age_ms,
                                       cw_router_heartbeat_sent_at(peer, received->leader, now));
    }
    cw_engine_wake(router->engine);
}

static void apply_nodes_page(cw_router_t *router, const Cwp__NodesPage *page, cw_time_us_t now)
{
    size_t index;

    for (index = 0; index < page->n_nodes; index++) {
        (void)cw_peer_link_learn(router->link, page->nodes[index], now);
    }
}

void cw_router_on_datagram(void *context, cw_peer_t *peer, const Cwp__Datagram *datagram)
{
    cw_router_t *router = context;
    cw_time_us_t now = cw_router_now(router);

    switch (datagram->content_case) {
    case CWP__DATAGRAM__CONTENT_REPORT:
        handle_report(router, peer, datagram->report, now);
        break;
    case CWP__DATAGRAM__CONTENT_SERVERS:
        if (datagram->servers->pass_on) {
            cw_router_forward_page(router, datagram);
        }
        cw_router_handle_servers_page(router, peer, datagram->servers);
        break;
    case CWP__DATAGRAM__CONTENT_TABLE:
        if (datagram->table->pass_on) {
            cw_router_forward_page(router, datagram);
        }
        cw_router_handle_table_page(router, peer, datagram->table);
        break;
    case CWP__DATAGRAM__CONTENT_NODES:
        apply_nodes_page(router, datagram->nodes, now);
        break;
    case CWP__DATAGRAM__CONTENT_ACK:
        cw_router_handle_ack(router, peer, datagram->ack);
        break;
    case CWP__DATAGRAM__CONTENT_CONFIGURATION:
        cw_configuration_exchange_handle_page(router->exchange, peer->address, datagram->configuration, now);
        break;
    case CWP__DATAGRAM__CONTENT_CONFIGURATION_REQUEST:
        cw_configuration_exchange_handle_request(router->exchange, peer->address, datagram->configuration_request, now);
        break;
    case CWP__DATAGRAM__CONTENT_STORE_NOTICE:
        cw_router_handle_notice(router, peer, datagram->store_notice, now);
        break;
    case CWP__DATAGRAM__CONTENT_SLOT_ASK:
        cw_router_handle_slot_ask(router, peer, datagram->slot_ask);
        break;
    case CWP__DATAGRAM__CONTENT_SLOT_REPLY:
        cw_router_handle_slot_reply(router, peer, datagram->slot_reply);
        break;
    case CWP__DATAGRAM__CONTENT_SLOT_RETURN:
        cw_router_handle_slot_return(router, peer, datagram->slot_return);
        break;
    case CWP__DATAGRAM__CONTENT_LIST_REQUEST:
        cw_router_handle_list_request(router, peer, datagram->list_request);
        break;
    case CWP__DATAGRAM__CONTENT_PASSED_HEARTBEAT:
        cw_router_handle_forwarded_heartbeat(router, peer, datagram->passed_heartbeat, now);
        break;
    case CWP__DATAGRAM__CONTENT_CRASH_REPORT:
        cw_router_handle_crash_report(router, peer, datagram, now);
        break;
    case CWP__DATAGRAM__CONTENT_SIGNAL_NOTICE:
        cw_router_handle_signal_notice(router, peer, datagram, now);
        break;
    case CWP__DATAGRAM__CONTENT_ZONE_SUMMARY:
        cw_router_handle_zone_summary(router, datagram, now);
        break;
    case CWP__DATAGRAM__CONTENT_QUOTA_REPORT:
        cw_router_handle_quota_report(router, peer, datagram->quota_report);
        break;
    case CWP__DATAGRAM__CONTENT_QUOTA_STATUS:
        cw_router_handle_quota_status(router, peer, datagram->quota_status);
        break;
    case CWP__DATAGRAM__CONTENT_QUOTA_ASK:
        cw_router_handle_quota_ask(router, peer, datagram->quota_ask);
        break;
    case CWP__DATAGRAM__CONTENT_QUOTA_GRANT:
        cw_router_handle_quota_grant(router, peer, datagram->quota_grant);
        break;
    case CWP__DATAGRAM__CONTENT_QUOTA_RETURN:
        cw_router_handle_quota_return(router, peer, datagram->quota_return);
        break;
    case CWP__DATAGRAM__CONTENT_DETOUR:
        cw_router_handle_detour(router, peer, datagram->detour);
        break;
    default:
        break;
    }
}
