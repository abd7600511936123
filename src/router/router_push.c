/**
 * @file router_push.c
 * @brief How the leader sends its list of servers and its tables of keys, in pages, to nodes that have older ones.
 *
 * A node that has an earlier version of this term is sent only the changes since that version. Other nodes are sent
 * everything, but only after they have had time to find that their own copy is equal (the leader's heartbeat carries
 * hashes). Each node acknowledges at once what it has received. The wait before pages are sent again doubles up to a
 * bound, and all pages together stay within a part of the link's bandwidth. Pages are packed once a turn for all nodes
 * that lack the same, since packing is most of the cost of a large list.
 *
 * In a zone that relays inform, each change is sent to the relays only, which forward it. The whole list is sent at
 * once to the two relays of each zone; the other nodes request it inside their zone (router_list_exchange.c). Whole
 * tables come from the leader alone, for the reason that router_forward.c gives. To a node that still lacks a change,
 * the list or the tables after a while, the leader sends the pages directly: a relay that stops causes a delay, but no
 * node depends on it.
 */
#include <string.h>

#include "router/router_internal.h"
#include "router/servers_pages.h"

enum {
    RESEND_MS = 250,
    RESEND_DOUBLINGS = 1, /* not more: a node that has read a later list itself accepts the leader's next list */
    ADOPT_MS = 250,       /* time in which a node may find that its copy equals the leader's */
    /* Time for a relay to forward a change and for the node's acknowledgement: about ten times the usual duration of
     * both. */
    RELAY_WAIT_MS = 300,
    /* Time for a node to get the whole list in its zone: a relay receives it, learns from the next heartbeat that its
     * copy is right, and is asked for it. WHOLE_WAIT_PER_NODE_MS is added for each node: with more nodes, the number of
     * nodes that have the list must double more often before all have it. */
    WHOLE_WAIT_MS = 800,
    WHOLE_WAIT_PER_NODE_MS = 5,
    NODES_PER_PAGE = 1024, /* 5 KB a page; a lost page is sent again with the next round */
    /* Interval between rounds of nodes' addresses, until the peer has received from the nodes, which report at their
     * own rate. */
    NODES_RESEND_MS = 500,
    /* The same where relays inform the peer of nodes of other zones. It may still not know nodes of its own zone. */
    NODES_RESEND_COVERED_MS = 3000,
    LINK_DIVISOR = 3, /* pages use the link's bandwidth divided by this */
    BURST_MS = 200,
    BITS_PER_BYTE = 8,
    SERVERS_PAGE_BYTES = 5000, /* a full page, about 75 bytes a server */
    TABLE_RANGE_BYTES = 20
};

/* ---- sending within the allowance ---- */

void cw_router_push_init(cw_router_t *router)
{
    double bytes_per_s = (double)router->settings.link_mbps * 1e6 / BITS_PER_BYTE / LINK_DIVISOR;

    cw_send_allowance_init(&router->push_allowance, bytes_per_s, CW_MS(BURST_MS));
}

static void send_datagram(cw_router_t *router, const cw_peer_t *peer, const Cwp__Datagram *datagram)
{
    size_t length = cw_peer_link_pack(router->link, datagram);

    cw_send_allowance_spend(&router->push_allowance, length);
    cw_peer_link_send_packed(router->link, peer, length);
}

/* Sends a batch of few pages at once. A longer one goes into the queue, which spreads it over time (forward_queue.h).
 */
static void send_batch(cw_router_t *router, const cw_peer_t *peer, const cw_datagram_batch_t *batch,
                       const cw_forwarded_update_t *update)
{
    cw_time_us_t now = cw_router_now(router);

    if (batch->count <= CW_FORWARD_PAGES_PER_TURN) {
        cw_send_allowance_spend(&router->push_allowance, cw_peer_link_send_batch(router->link, peer, batch));
    } else if (!cw_forward_queue_add_receiver(router->forward_queue, update, batch, peer->address, now)) {
        cw_metric_add(CW_METRIC_PAGES_NOT_FORWARDED, batch->count); /* the pages are sent again later */
    }
}

static cw_forwarded_update_t update_of(const cw_router_t *router, bool is_list, const cw_push_scope_t *scope,
                                       const cw_datagram_batch_t *batch)
{
    return (cw_forwarded_update_t){.is_list = is_list,
                                   .is_relayed = scope->forward,
                                   .term = router->view_term,
                                   .base = scope->base,
                                   .version = is_list ? router->view_list_version : router->view_tables_version,
                                   .pages = (uint32_t)batch->count};
}

/* Whether these pages were packed for this scope in this turn. If not, empties the batch for packing them. */
static bool is_packed(cw_packed_pages_t *packed, const cw_push_scope_t *scope)
{
    if (packed->is_packed && packed->scope.base == scope->base && packed->scope.forward == scope->forward) {
        return true;
    }
    cw_datagram_batch_clear(&packed->batch);
    packed->scope = *scope;
    packed->is_packed = true;
    return false;
}

/* The whole list and its changes, each with and without the mark to forward them, are packed separately, since peers
 * that need different ones follow one another in any order. */
enum { SCOPES = 4 };

static cw_packed_pages_t *packed_for(cw_packed_pages_t packed[SCOPES], const cw_push_scope_t *scope)
{
    return &packed[(scope->base == 0 ? 0 : 2) + (scope->forward ? 1 : 0)];
}

static void forget_packed(cw_packed_pages_t packed[SCOPES])
{
    int index;

    for (index = 0; index < SCOPES; index++) {
        packed[index].is_packed = false;
    }
}

/* ---- timing ---- */

cw_time_us_t cw_router_next_push(cw_push_state_t *push, cw_time_us_t now)
{
    int doublings = push->tries < RESEND_DOUBLINGS ? (int)push->tries : RESEND_DOUBLINGS;

    push->tries++;
    push->is_waiting = false;
    return now + CW_MS((int64_t)RESEND_MS << doublings);
}

bool cw_router_is_updated_by_relay(const cw_router_t *router, const cw_peer_t *peer, cw_time_us_t now)
{
    return peer->distance != CW_DISTANCE_ZONE && !cw_router_is_relay(router, peer) &&
           cw_router_is_covered(router, peer, now);
}

/* Time that the relays of the largest zone need to forward `bytes`, each to half of the zone's nodes, if they are as
 * capable as this node. */
static cw_time_us_t relay_delay(const cw_router_t *router, size_t bytes)
{
    double sent = (double)bytes * cw_router_largest_zone(router) / 2;

    return (cw_time_us_t)(sent / router->push_allowance.bytes_per_s * 1e6);
}

static cw_time_us_t relay_wait(const cw_router_t *router, bool is_list, bool is_whole, cw_time_us_t now)
{
    cw_time_us_t delay = is_list ? router->relay_delays.servers : router->relay_delays.tables;

    if (!is_whole) {
        return CW_MS(RELAY_WAIT_MS) + delay;
    }
    return delay + CW_MS(WHOLE_WAIT_MS + WHOLE_WAIT_PER_NODE_MS * (int64_t)cw_peer_link_count_alive(
                                                                      router->link, router->peer_timeout, now));
}

/* Whether the peer gets the missing list, tables or changes from another node than this one. */
static bool comes_from_others(const cw_router_t *router, const cw_peer_t *peer, bool is_list, bool is_whole,
                              cw_time_us_t now)
{
    if (is_whole && is_list) {
        return cw_router_gets_list_in_zone(router, peer);
    }
    return cw_router_is_updated_by_relay(router, peer, now);
}

/* Whether the peer is to be sent what it lacks now. has, newest: versions of the peer's and of the leader's list or
 * tables. */
static bool is_due(const cw_router_t *router, const cw_peer_t *peer, cw_push_state_t *push, uint64_t has,
                   uint64_t newest, bool is_list, cw_time_us_t now)
{
    bool is_of_term = peer->term == router->leadership.lock.term;
    bool wants_whole = !is_of_term || has == 0;

    if (peer->last_received_at == 0 || peer->is_lost) {
        return false;
    }
    if (is_of_term && has >= newest) {
        push->tries = 0;
        push->is_waiting = false;
        push->due_at = 0;
        return false;
    }
    if (wants_whole && push->is_waiting && !comes_from_others(router, peer, is_list, wants_whole, now)) {
        push->due_at = now; /* the peer has become a relay of its zone */
    }
    if (now < push->due_at || !cw_send_allowance_has_any(&router->push_allowance)) {
        return false;
    }
    if (push->tries == 0 && comes_from_others(router, peer, is_list, wants_whole, now)) {
        push->tries = 1;
        push->is_waiting = true;
        push->due_at = now + relay_wait(router, is_list, wants_whole, now);
        return false;
    }
    return true;
}

static uint64_t base_of(const cw_router_t *router, const cw_peer_t *peer, uint64_t has)
{
    return peer->term == router->leadership.lock.term ? has : 0;
}

void cw_router_push_begin_term(cw_router_t *router, cw_time_us_t now)
{
    cw_peer_t *peer;

    for (peer = cw_peer_link_peers(router->link); peer != NULL; peer = peer->next) {
        peer->servers_push = (cw_push_state_t){.due_at = now + CW_MS(ADOPT_MS)};
        peer->tables_push = peer->servers_push;
    }
}

/* ---- the list ---- */

static void begin_servers_page(const cw_router_t *router, Cwp__ServersPage *page, cw_servers_page_room_t *room,
                               uint64_t base)
{
    cwp__servers_page__init(page);
    page->term = router->view_term;
    page->number = router->view_list_version;
    page->since = base;
    page->revision = cw_store_revision_count(router->server_view.revision);
    page->revision_epoch = cw_router_sent_epoch(router->server_view.revision);
    page->servers = room->pointers;
    page->zones_out = router->server_view.list->zones_out.names;
    page->n_zones_out = router->server_view.list->zones_out.count;
}

static void pack_servers(cw_router_t *router, const cw_push_scope_t *scope, cw_datagram_batch_t *batch)
{
    static cw_servers_page_room_t room;
    const cw_server_list_t       *list = router->server_view.list;
    Cwp__ServersPage              page;
    Cwp__Datagram                 datagram = CWP__DATAGRAM__INIT;
    uint32_t                      pages = cw_servers_page_count(list, scope->base);
    uint32_t                      number = 0;
    size_t                        index = 0;

    datagram.content_case = CWP__DATAGRAM__CONTENT_SERVERS;
    datagram.servers = &page;
    for (number = 0; number < pages; number++) {
        begin_servers_page(router, &page, &room, scope->base);
        page.page = number;
        page.pages = pages;
        page.pass_on = scope->forward;
        if (number == 0 && scope->base != 0) {
            page.n_removed = cw_list_history_removed(&router->list_history, scope->base, room.removed, CW_REMOVED_MAX);
            page.removed = room.removed;
        }
        index = cw_servers_page_fill(&page, &room, list, scope->base, index, cw_router_now(router));
        cw_peer_link_pack_into(router->link, batch, &datagram);
    }
}

void cw_router_send_servers(cw_router_t *router, const cw_peer_t *peer, const cw_push_scope_t *scope,
                            cw_packed_pages_t *packed)
{
    cw_forwarded_update_t update;

    if (!is_packed(packed, scope)) {
        pack_servers(router, scope, &packed->batch);
    }
    update = update_of(router, true, scope, &packed->batch);
    send_batch(router, peer, &packed->batch, &update);
}

/* Whether the peer is to forward changes to its zone. Nodes that have no list request the whole list themselves. */
static bool shall_forward(const cw_router_t *router, const cw_peer_t *peer)
{
    return peer->distance != CW_DISTANCE_ZONE && cw_router_is_relay(router, peer);
}

void cw_router_push_servers(cw_router_t *router, cw_time_us_t now)
{
    static cw_packed_pages_t packed[SCOPES]; /* its memory is reused */
    cw_peer_t               *peer;

    forget_packed(packed);
    cw_send_allowance_refill(&router->push_allowance, now);
    if (!router->leadership.leading || router->server_view.list == NULL || router->leader_list_version == 0) {
        return;
    }
    for (peer = cw_peer_link_peers(router->link); peer != NULL; peer = peer->next) {
        uint64_t        base = base_of(router, peer, peer->servers);
        cw_push_scope_t scope;

        if (is_due(router, peer, &peer->servers_push, peer->servers, router->leader_list_version, true, now)) {
            peer->servers_push.due_at = cw_router_next_push(&peer->servers_push, now);
            base = cw_list_history_covers(&router->list_history, base) ? base : 0;
            scope = (cw_push_scope_t){.base = base, .forward = base != 0 && shall_forward(router, peer)};
            cw_router_send_servers(router, peer, &scope, packed_for(packed, &scope));
        }
    }
}

void cw_router_servers_changed(cw_router_t *router, cw_time_us_t now)
{
    uint32_t   pages = cw_servers_page_count(router->server_view.list, router->leader_list_version - 1);
    cw_peer_t *peer;

    router->relay_delays.servers = relay_delay(router, (size_t)pages * SERVERS_PAGE_BYTES);

    for (peer = cw_peer_link_peers(router->link); peer != NULL; peer = peer->next) {
        if (peer->term == router->leadership.lock.term && peer->servers + 1 >= router->leader_list_version) {
            peer->servers_push.due_at = 0; /* it had the previous list: the change is sent to it at once */
        }
    }
    cw_router_push_servers(router, now);
}

/* ---- nodes ----
 *
 * A node knows its seeds and, from the lock, the leader, so the leader receives from every node. The leader sends the
 * addresses of all nodes to those that have received from fewer nodes. This is separate from the list of servers, since
 * a node that has read the list itself is sent no page of it.
 */

/* Sends one page of the known nodes, beginning at `known`. Returns the first node that did not fit; NULL: none. */
static const cw_peer_t *send_nodes_page(cw_router_t *router, const cw_peer_t *peer, const cw_peer_t *known)
{
    static uint32_t nodes[NODES_PER_PAGE];
    Cwp__NodesPage  page = CWP__NODES_PAGE__INIT;
    Cwp__Datagram   datagram = CWP__DATAGRAM__INIT;

    page.nodes = nodes;
    for (; known != NULL && page.n_nodes < NODES_PER_PAGE; known = known->next) {
        if (known->last_received_at != 0 && !known->is_lost) {
            nodes[page.n_nodes++] = known->address;
        }
    }
    datagram.content_case = CWP__DATAGRAM__CONTENT_NODES;
    datagram.nodes = &page;
    send_datagram(router, peer, &datagram);
    return known;
}

static void send_nodes(cw_router_t *router, const cw_peer_t *peer)
{
    const cw_peer_t *known = cw_peer_link_peers(router->link);

    while (known != NULL) {
        known = send_nodes_page(router, peer, known);
    }
}

void cw_router_push_nodes(cw_router_t *router, cw_time_us_t now)
{
    uint32_t   alive = cw_peer_link_count_alive(router->link, router->peer_timeout, now);
    cw_peer_t *peer;

    for (peer = cw_peer_link_peers(router->link); peer != NULL; peer = peer->next) {
        if (peer->last_received_at != 0 && !peer->is_lost && peer->peers < alive && now >= peer->nodes_due_at &&
            cw_send_allowance_has_any(&router->push_allowance)) {
            peer->nodes_due_at =
                now + CW_MS(cw_router_is_covered(router, peer, now) ? NODES_RESEND_COVERED_MS : NODES_RESEND_MS);
            send_nodes(router, peer);
        }
    }
}

/* ---- tables ---- */

static void pack_service_table(cw_router_t *router, cw_datagram_batch_t *batch, Cwp__TablePage *page,
                               const cw_table_entry_t *entries, size_t count)
{
    static cw_table_page_room_t room;
    Cwp__Datagram               datagram = CWP__DATAGRAM__INIT;
    uint32_t                    part;

    datagram.content_case = CWP__DATAGRAM__CONTENT_TABLE;
    datagram.table = page;
    for (part = 0; part < cw_table_page_count(count); part++) {
        cw_table_page_fill(page, &room, entries, count, part);
        cw_peer_link_pack_into(router->link, batch, &datagram);
        page->page++;
    }
}

static void pack_tables(cw_router_t *router, const cw_push_scope_t *scope, cw_datagram_batch_t *batch)
{
    static cw_table_entry_t changes[CW_KEY_LAST + 1];
    Cwp__TablePage          page = CWP__TABLE_PAGE__INIT;
    size_t                  index;

    page.term = router->view_term;
    page.number = router->view_tables_version;
    page.since = scope->base;
    page.pass_on = scope->forward;
    for (index = 0; index < router->tables.count; index++) {
        page.pages +=
            cw_table_page_count(cw_table_changes(&router->tables.items[index], scope->base, changes, CW_KEY_LAST + 1));
    }
    for (index = 0; index < router->tables.count; index++) {
        size_t count = cw_table_changes(&router->tables.items[index], scope->base, changes, CW_KEY_LAST + 1);

        page.service = router->tables.items[index].service;
        pack_service_table(router, batch, &page, changes, count);
    }
}

void cw_router_send_tables(cw_router_t *router, const cw_peer_t *peer, const cw_push_scope_t *scope,
                           cw_packed_pages_t *packed)
{
    cw_forwarded_update_t update;

    if (!is_packed(packed, scope)) {
        pack_tables(router, scope, &packed->batch);
    }
    update = update_of(router, false, scope, &packed->batch);
    send_batch(router, peer, &packed->batch, &update);
}

void cw_router_push_tables(cw_router_t *router, cw_time_us_t now)
{
    static cw_packed_pages_t packed[SCOPES]; /* its memory is reused */
    cw_peer_t               *peer;

    forget_packed(packed);
    if (!router->leadership.leading || router->leader_tables_version == 0) {
        return;
    }
    for (peer = cw_peer_link_peers(router->link); peer != NULL; peer = peer->next) {
        cw_push_scope_t scope;

        if (is_due(router, peer, &peer->tables_push, peer->tables, router->leader_tables_version, false, now)) {
            peer->tables_push.due_at = cw_router_next_push(&peer->tables_push, now);
            scope.base = base_of(router, peer, peer->tables);
            scope.forward = shall_forward(router, peer);
            cw_router_send_tables(router, peer, &scope, packed_for(packed, &scope));
        }
    }
}

/* Bytes of the ranges that changed in the newest tables. */
static size_t bytes_of_change(const cw_router_t *router)
{
    size_t changed = 0;
    size_t index;
    size_t place;

    for (index = 0; index < router->tables.count; index++) {
        for (place = 0; place < router->tables.items[index].count; place++) {
            changed += router->tables.items[index].entries[place].changed_in == router->leader_tables_version ? 1 : 0;
        }
    }
    return changed * TABLE_RANGE_BYTES;
}

void cw_router_tables_changed(cw_router_t *router)
{
    cw_time_us_t now = cw_router_now(router);
    cw_peer_t   *peer;

    router->relay_delays.tables = relay_delay(router, bytes_of_change(router));

    for (peer = cw_peer_link_peers(router->link); peer != NULL; peer = peer->next) {
        bool had_newest = peer->tables + 1 >= router->leader_tables_version; /* other peers continue to wait */

        if (peer->term == router->leadership.lock.term && peer->tables != 0 &&
            (had_newest || !cw_router_is_updated_by_relay(router, peer, now))) {
            peer->tables_push.due_at = 0;
            peer->tables_push.tries = 0;
        }
    }
}
