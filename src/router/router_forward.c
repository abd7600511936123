/**
 * @file router_forward.c
 * @brief How a relay forwards the leader's changes and heartbeats to the nodes of its zone.
 *
 * Pages are forwarded unchanged to the nodes of the zone that lack them (forward_queue.h). A node to whose state the
 * changes do not apply ignores them. Nodes acknowledge both to the relay and to the leader. Nodes request whole lists
 * from other nodes of their zone (router_list_exchange.c).
 *
 * Whole tables are forwarded only to nodes that have no tables at all. A node that has read a later record of
 * assignments in the store has no version of the tables. A relay's tables, correct a moment ago, would replace those
 * that the node read and be used for as long as the record may be, so that keys could be routed to an owner whose lease
 * a later leader considers expired. Lists are ordered by the store's revision, tables are not.
 *
 * A heartbeat is forwarded in the turn of the loop in which it was received, or not at all: its receivers treat it as
 * being as recent as when this node received it.
 */
#include <stdlib.h>

#include "base/text.h"
#include "router/router_internal.h"

static bool is_alive_in_zone(const cw_peer_t *peer)
{
    return peer->last_received_at != 0 && !peer->is_lost && peer->distance == CW_DISTANCE_ZONE;
}

/* ---- pages ---- */

static int compare_addresses(const void *left, const void *right)
{
    uint32_t first = *(const uint32_t *)left;
    uint32_t second = *(const uint32_t *)right;

    return (first > second) - (first < second);
}

static void reverse_addresses(uint32_t *addresses, size_t count)
{
    size_t index;

    for (index = 0; index < count / 2; index++) {
        uint32_t address = addresses[index];

        addresses[index] = addresses[count - 1 - index];
        addresses[count - 1 - index] = address;
    }
}

static size_t list_nodes(void *context, uint32_t **addresses)
{
    cw_router_t     *router = context;
    size_t           count = 0;
    const cw_peer_t *peer;

    for (peer = cw_peer_link_peers(router->link); peer != NULL; peer = peer->next) {
        count += is_alive_in_zone(peer) ? 1 : 0;
    }
    *addresses = calloc(count + 1, sizeof(**addresses));
    if (*addresses == NULL) {
        abort();
    }
    count = 0;
    for (peer = cw_peer_link_peers(router->link); peer != NULL; peer = peer->next) {
        if (is_alive_in_zone(peer)) {
            (*addresses)[count++] = peer->address;
        }
    }
    qsort(*addresses, count, sizeof(**addresses), compare_addresses);
    if (!cw_router_acts_as_first_relay(router)) {
        reverse_addresses(*addresses, count);
    }
    return count;
}

static bool is_wanted(void *context, uint32_t address, const cw_forwarded_update_t *update)
{
    cw_router_t     *router = context;
    const cw_peer_t *peer = cw_peer_link_find(router->link, address);
    uint64_t         has;

    if (peer == NULL || peer->is_lost || update->term < router->view_term) {
        return false;
    }
    has = peer->term == update->term ? (update->is_list ? peer->servers : peer->tables) : 0;
    return has < update->version && (update->base != 0 || has == 0);
}

static size_t send_pages(void *context, uint32_t address, const cw_datagram_batch_t *pages, size_t first, size_t count)
{
    cw_router_t     *router = context;
    const cw_peer_t *peer = cw_peer_link_find(router->link, address);

    return peer == NULL ? 0 : cw_peer_link_send_range(router->link, peer, pages, first, count);
}

void cw_router_forward_init(cw_router_t *router)
{
    cw_forward_queue_owner_t owner = {
        .context = router, .list_nodes = list_nodes, .is_wanted = is_wanted, .send = send_pages};

    router->forward_queue = cw_forward_queue_create(&owner);
}

static cw_forwarded_update_t update_of(const Cwp__Datagram *datagram, uint32_t *page)
{
    const Cwp__ServersPage *servers = datagram->servers;
    const Cwp__TablePage   *table = datagram->table;

    if (datagram->content_case == CWP__DATAGRAM__CONTENT_SERVERS) {
        *page = servers->page;
        return (cw_forwarded_update_t){.is_list = true,
                                       .term = servers->term,
                                       .base = servers->since,
                                       .version = servers->number,
                                       .pages = servers->pages};
    }
    *page = table->page;
    return (cw_forwarded_update_t){
        .term = table->term, .base = table->since, .version = table->number, .pages = table->pages};
}

static void set_pass_on(const Cwp__Datagram *datagram, bool pass_on)
{
    if (datagram->content_case == CWP__DATAGRAM__CONTENT_SERVERS) {
        datagram->servers->pass_on = pass_on;
    } else {
        datagram->table->pass_on = pass_on;
    }
}

void cw_router_forward_page(cw_router_t *router, const Cwp__Datagram *datagram)
{
    static cw_datagram_batch_t packed; /* its memory is reused */
    cw_time_us_t               now = cw_router_now(router);
    uint32_t                   page;
    cw_forwarded_update_t      update = update_of(datagram, &page);

    if (update.pages > CW_PAGES_MAX) {
        return; /* no node accepts so many pages */
    }
    set_pass_on(datagram, false);
    cw_datagram_batch_clear(&packed);
    cw_peer_link_pack_into(router->link, &packed, datagram);
    if (packed.count == 1 && !cw_forward_queue_add(router->forward_queue, &update, page, &packed, now)) {
        cw_metric_add(CW_METRIC_PAGES_NOT_FORWARDED, 1); /* the leader sends the page to the nodes directly */
    }
    cw_router_forward_tick(router, now);
}

void cw_router_forward_tick(cw_router_t *router, cw_time_us_t now)
{
    cw_forward_queue_send(router->forward_queue, &router->push_allowance, now);
}

/* ---- heartbeats ---- */

void cw_router_forward_heartbeat(cw_router_t *router, const cw_peer_t *leader, const Cwp__NodeReport *report)
{
    Cwp__PassedHeartbeat passed = CWP__PASSED_HEARTBEAT__INIT;
    Cwp__Datagram        datagram = CWP__DATAGRAM__INIT;
    const cw_peer_t     *peer;
    size_t               length;

    if (leader->distance == CW_DISTANCE_ZONE || !cw_router_acts_as_relay(router) ||
        cw_router_reads_backlog(router, cw_router_now(router))) {
        return;
    }
    passed.leader = leader->address;
    passed.node = (char *)leader->node;
    passed.incarnation = report->incarnation;
    passed.sequence = report->sequence;
    passed.stopping = report->stopping;
    passed.configuration = report->configuration;
    passed.heartbeat = report->leader;
    datagram.content_case = CWP__DATAGRAM__CONTENT_PASSED_HEARTBEAT;
    datagram.passed_heartbeat = &passed;
    length = cw_peer_link_pack(router->link, &datagram);
    for (peer = cw_peer_link_peers(router->link); peer != NULL; peer = peer->next) {
        if (is_alive_in_zone(peer)) {
            cw_peer_link_send_packed(router->link, peer, length);
        }
    }
}

/* Records the incarnation and sequence number of a heartbeat. False: the heartbeat is delayed, repeated or of an
 * earlier incarnation. */
static bool accept_sequence(cw_peer_t *leader, const Cwp__PassedHeartbeat *passed, cw_time_us_t now)
{
    if (leader->incarnation == passed->incarnation && passed->sequence <= leader->sequence) {
        return false;
    }
    if (cw_peer_is_former_incarnation(leader, passed->incarnation, now)) {
        return false;
    }
    cw_peer_set_incarnation(leader, passed->incarnation, now);
    leader->sequence = passed->sequence;
    return true;
}

void cw_router_handle_forwarded_heartbeat(cw_router_t *router, const cw_peer_t *sender,
                                          const Cwp__PassedHeartbeat *passed, cw_time_us_t now)
{
    cw_peer_t *leader = cw_peer_link_learn(router->link, passed->leader, now);

    if (leader == NULL || passed->heartbeat == NULL || sender->distance != CW_DISTANCE_ZONE ||
        cw_router_reads_backlog(router, now) || !accept_sequence(leader, passed, now)) {
        return;
    }
    cw_text_copy(leader->node, sizeof(leader->node), passed->node);
    leader->stopping = passed->stopping;
    leader->last_received_at = now;
    leader->is_lost = false;
    cw_router_handle_leader_heartbeat(router, leader, sender, passed->heartbeat, now);
    cw_router_record_configuration(router, leader, passed->configuration, now);
    cw_router_record_sent_evidence(router, passed->configuration, passed->heartbeat->configuration_age_ms,
                                   cw_router_heartbeat_sent_at(leader, passed->heartbeat, now));
}
