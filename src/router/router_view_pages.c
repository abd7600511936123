/**
 * @file router_view_pages.c
 * @brief Handles the leader's pages of the list and of the tables, and its hashes, by which a node finds that its own
 * copy is equal.
 *
 * A page belongs to a term, a version and a base. All pages of the same term, version and base together are the whole
 * list (base 0), or what changed since the list of version `base`. They are applied when the last one has been
 * received, if the list or tables of this node are not older than the base. The result is acknowledged to the leader at
 * once.
 */
#include <string.h>

#include "router/router_internal.h"
#include "router/view_order.h"

enum { ANNOUNCE_NODES = 8 /* nodes to which a node announces that it has received the whole list */ };

static bool is_usable(const cw_router_t *router, const cw_page_position_t *position, uint64_t has)
{
    return !router->leadership.leading && cw_page_is_usable(position, router->view_term, has);
}

void cw_router_begin_term(cw_router_t *router, uint64_t term)
{
    if (term > router->view_term) {
        router->view_term = term;
        router->view_list_version = 0;
        router->view_tables_version = 0;
    }
}

static size_t pack_ack(cw_router_t *router)
{
    Cwp__ViewAck  ack = CWP__VIEW_ACK__INIT;
    Cwp__Datagram datagram = CWP__DATAGRAM__INIT;

    ack.incarnation = router->incarnation;
    ack.term = router->view_term;
    ack.servers = router->view_list_version;
    ack.tables = router->view_tables_version;
    datagram.content_case = CWP__DATAGRAM__CONTENT_ACK;
    datagram.ack = &ack;
    return cw_peer_link_pack(router->link, &datagram);
}

static size_t count_zone_peers(const cw_router_t *router)
{
    size_t           count = 0;
    const cw_peer_t *peer;

    for (peer = cw_peer_link_peers(router->link); peer != NULL; peer = peer->next) {
        count += peer->distance == CW_DISTANCE_ZONE && !peer->is_lost ? 1 : 0;
    }
    return count;
}

/* Announces to other nodes of the zone that they can request the list from this one. Otherwise they would learn this
 * only from the next report, and reports of a large zone are seconds apart. A relay is the first node of its zone to
 * have the list and announces it to all others; any other node announces it to a few, each node to different ones. */
static void announce_whole_list(cw_router_t *router)
{
    size_t           count = count_zone_peers(router);
    size_t           receivers = cw_router_acts_as_relay(router) || count < ANNOUNCE_NODES ? count : ANNOUNCE_NODES;
    size_t           position = 0;
    size_t           length;
    size_t           first;
    const cw_peer_t *peer;

    if (count == 0) {
        return;
    }
    length = pack_ack(router);
    first = cw_name_hash(router->settings.node) % count;
    for (peer = cw_peer_link_peers(router->link); peer != NULL; peer = peer->next) {
        if (peer->distance != CW_DISTANCE_ZONE || peer->is_lost) {
            continue;
        }
        if ((position + count - first) % count < receivers) {
            cw_peer_link_send_packed(router->link, peer, length);
        }
        position++;
    }
}

/* Acknowledges to the sender, and to the leader if that is another node, which then need not send the same itself. */
static void acknowledge(cw_router_t *router, const cw_peer_t *sender)
{
    size_t           length = pack_ack(router);
    const cw_peer_t *peer;

    cw_peer_link_send_packed(router->link, sender, length);
    if (strcmp(sender->node, router->leader.node) == 0 || router->leader.node[0] == '\0') {
        return;
    }
    for (peer = cw_peer_link_peers(router->link); peer != NULL; peer = peer->next) {
        if (strcmp(peer->node, router->leader.node) == 0) {
            cw_peer_link_send_packed(router->link, peer, length);
        }
    }
}

void cw_router_handle_ack(cw_router_t *router, cw_peer_t *peer, const Cwp__ViewAck *ack)
{
    if (peer->incarnation != ack->incarnation || ack->term < router->view_term) {
        return;
    }
    if (peer->term != ack->term) {
        peer->term = ack->term;
        peer->servers = 0;
        peer->tables = 0;
    }
    peer->servers = ack->servers > peer->servers ? ack->servers : peer->servers;
    peer->tables = ack->tables > peer->tables ? ack->tables : peer->tables;
    cw_router_list_exchange_record_holder(router, peer, cw_router_now(router));
}

/* ---- the list of servers ---- */

/* Ignores pages of changes, since these are not requested. */
static void report_whole_page(cw_router_t *router, const cw_peer_t *peer, const Cwp__ServersPage *page,
                              uint32_t next_missing)
{
    if (page->since == 0) {
        cw_router_list_exchange_page_received(router, peer, page, next_missing);
    }
}

void cw_router_handle_servers_page(cw_router_t *router, const cw_peer_t *peer, const Cwp__ServersPage *page)
{
    cw_page_position_t  position = {page->term, page->number, page->since, page->page, page->pages};
    uint64_t            revision = cw_router_received_revision(router, page->revision_epoch, page->revision);
    cw_server_reading_t reading = {.revision = revision,
                                   .is_from_leader = true,
                                   .store_failed =
                                       router->store_availability.failed_at > router->server_view.evidence.valid_at,
                                   .bound_from = cw_router_bound_from(router)};
    cw_list_update_t   *update;

    if (page->pages == 0 && page->ask_instead != 0) {
        cw_router_list_exchange_redirected(router, page);
        return;
    }
    if (!is_usable(router, &position, router->view_list_version)) {
        return;
    }
    if (revision < router->server_view.revision) { /* this node has read a later list itself */
        cw_router_log_older_servers(router, revision, "told");
        report_whole_page(router, peer, page, page->pages);
        return;
    }
    update = cw_view_updates_add_list_page(router->view_updates, page, cw_router_now(router));
    if (update == NULL) {
        return;
    }
    if (!cw_view_assembly_is_whole(&update->assembly)) {
        report_whole_page(router, peer, page, cw_view_assembly_first_missing(&update->assembly));
        return;
    }
    reading.list = cw_list_update_finish(update, router->server_view.list);
    cw_router_begin_term(router, page->term);
    router->view_list_version = page->number;
    (void)cw_router_apply_servers(router, &reading);
    report_whole_page(router, peer, page, page->pages);
    acknowledge(router, peer);
    if (page->since == 0) {
        announce_whole_list(router);
    }
}

/* ---- tables ---- */

static void log_view_taken(const cw_router_t *router, const cw_page_position_t *position, size_t entries)
{
    cw_event_t event;

    (void)router;
    if (cw_event_begin(&event, CW_EVENT_VIEW_TAKEN)) {
        cw_event_number(&event, CW_FIELD_TERM, (int64_t)position->term);
        cw_event_number(&event, CW_FIELD_VIEW, (int64_t)position->version);
        cw_event_number(&event, CW_FIELD_CHANGED, (int64_t)entries);
        cw_event_end(&event);
    }
}

static size_t count_entries(const cw_key_tables_t *tables)
{
    size_t count = 0;
    size_t index;

    for (index = 0; index < tables->count; index++) {
        count += tables->items[index].count;
    }
    return count;
}

/* Whole tables forwarded by a relay may be older than a record that this node has read (router_forward.c). They are
 * accepted only if this node has no tables yet. */
static bool is_table_page_accepted(const cw_router_t *router, const cw_peer_t *sender, const Cwp__TablePage *page)
{
    return page->since != 0 || router->tables_valid_at == 0 || strcmp(sender->node, router->leader.node) == 0;
}

void cw_router_handle_table_page(cw_router_t *router, const cw_peer_t *peer, const Cwp__TablePage *page)
{
    cw_page_position_t position = {page->term, page->number, page->since, page->page, page->pages};
    cw_table_update_t *update;

    if (!is_usable(router, &position, router->view_tables_version) || !is_table_page_accepted(router, peer, page)) {
        return;
    }
    update = cw_view_updates_add_table_page(router->view_updates, page, cw_router_now(router));
    if (update == NULL || !cw_view_assembly_is_whole(&update->assembly)) {
        return;
    }
    cw_key_tables_seal(&update->tables);
    log_view_taken(router, &position, count_entries(&update->tables));
    if (page->since == 0) {
        cw_key_tables_clear(&router->tables);
    }
    cw_key_tables_apply_changes(&router->tables, &update->tables);
    cw_table_update_clear(update);
    cw_router_begin_term(router, page->term);
    router->view_tables_version = page->number;
    cw_router_apply_tables(router);
    acknowledge(router, peer);
}

/* ---- content that this node already has ---- */

void cw_router_adopt_versions(cw_router_t *router, const cw_peer_t *leader, const Cwp__LeaderHeartbeat *heartbeat)
{
    bool is_newer_term = heartbeat->term > router->view_term;
    bool servers = heartbeat->servers_hash != 0 && (is_newer_term || heartbeat->servers > router->view_list_version) &&
                   heartbeat->servers_hash == router->server_view.hash;
    bool tables = heartbeat->tables_hash != 0 && (is_newer_term || heartbeat->tables > router->view_tables_version) &&
                  heartbeat->tables_hash == router->tables_hash;

    if (heartbeat->term < router->view_term || (!servers && !tables)) {
        return;
    }
    cw_router_begin_term(router, heartbeat->term);
    if (servers) {
        router->view_list_version = heartbeat->servers;
    }
    if (tables) {
        router->view_tables_version = heartbeat->tables;
    }
    acknowledge(router, leader);
}
