/**
 * @file router_push.c
 * @brief The leader's list of servers and tables of keys, in pages, to the nodes that have older ones.
 *
 * A node that has an earlier number of this term is sent just what changed since; others are sent everything, but only
 * after they have had time to see that what they have is the same (the leader's heartbeat carries hashes). Each node
 * says at once what has come. What is sent again waits longer each time, and all of it stays within a part of the link.
 */
#include <string.h>

#include "router/router_internal.h"

enum {
    RESEND_MS = 250,
    RESEND_DOUBLINGS = 1, /* a node that has read a later list itself takes the leader's next one */
    ADOPT_MS = 250,       /* time to see that what a node has is the leader's */
    PAGE_SERVERS = 64,
    NODES_MAX = 1024,
    NODES_AGAIN_MS = 500, /* until it has heard them: they report at their pace */
    REMOVED_ROOM = CW_REMOVED_MAX,
    LINK_PART = 3, /* of the link's bandwidth */
    BURST_MS = 200,
    BITS = 8
};

/* ---- the link ---- */

static void refill(cw_router_t *router, cw_time_us_t now)
{
    double per_s = (double)router->settings.link_mbps * 1e6 / BITS / LINK_PART;
    double most = per_s * BURST_MS / 1000;

    router->push_room += per_s * (double)(now - router->push_filled_at) / 1e6;
    router->push_room = router->push_room > most ? most : router->push_room;
    router->push_filled_at = now;
}

static void send_datagram(cw_router_t *router, const cw_peer_t *peer, const Cwp__Datagram *datagram)
{
    size_t length = cw_peer_link_pack(router->link, datagram);

    router->push_room -= (double)length;
    cw_peer_link_send_packed(router->link, peer, length);
}

/* ---- when ---- */

static cw_time_us_t next_try(cw_push_state_t *push, cw_time_us_t now)
{
    int doublings = push->tries < RESEND_DOUBLINGS ? (int)push->tries : RESEND_DOUBLINGS;

    push->tries++;
    return now + CW_MS((int64_t)RESEND_MS << doublings);
}

/* Is it this node's turn to be sent what it lacks? */
static bool is_due(const cw_router_t *router, const cw_peer_t *peer, cw_push_state_t *push, uint64_t has,
                   uint64_t newest, cw_time_us_t now)
{
    if (peer->last_received_at == 0 || peer->is_lost) {
        return false;
    }
    if (peer->term == router->leadership.lock.term && has >= newest) {
        push->tries = 0;
        push->due_at = 0;
        return false;
    }
    return now >= push->due_at && router->push_room > 0;
}

static uint64_t base_of(const cw_router_t *router, const cw_peer_t *peer, uint64_t has)
{
    return peer->term == router->leadership.lock.term ? has : 0;
}

void cw_router_push_begin(cw_router_t *router, cw_time_us_t now)
{
    cw_peer_t *peer;

    for (peer = cw_peer_link_peers(router->link); peer != NULL; peer = peer->next) {
        peer->servers_push = (cw_push_state_t){.due_at = now + CW_MS(ADOPT_MS)};
        peer->tables_push = peer->servers_push;
    }
}

/* ---- the list ---- */

/** A list's page while it is packed. */
typedef struct servers_room {
    Cwp__ViewServer  entries[PAGE_SERVERS];
    Cwp__ViewServer *pointers[PAGE_SERVERS];
    char            *removed[REMOVED_ROOM];
} servers_room_t;

static void add_server(Cwp__ServersPage *page, servers_room_t *room, const cw_server_entry_t *entry, cw_time_us_t now)
{
    Cwp__ViewServer *server = &room->entries[page->n_servers];

    cwp__view_server__init(server);
    server->id = entry->id;
    server->service = entry->service;
    server->address = entry->address;
    server->zone = entry->zone;
    server->capacity = entry->capacity;
    server->draining = entry->draining;
    server->cold_ms = (uint32_t)(entry->cold_time / 1000);
    server->missing_ms = entry->missing_since == 0 ? 0 : (uint32_t)((now - entry->missing_since) / 1000) + 1;
    room->pointers[page->n_servers++] = server;
}

static uint32_t count_changed(const cw_server_list_t *list, uint64_t base)
{
    uint32_t count = 0;
    size_t   index;

    for (index = 0; index < list->count; index++) {
        count += list->entries[index].changed_in > base ? 1 : 0;
    }
    return count;
}

static void begin_servers_page(const cw_router_t *router, Cwp__ServersPage *page, servers_room_t *room, uint64_t base)
{
    cwp__servers_page__init(page);
    page->term = router->leadership.lock.term;
    page->number = router->lead_servers;
    page->since = base;
    page->revision = router->server_view.revision;
    page->servers = room->pointers;
    page->zones_out = router->server_view.list->zones_out.names;
    page->n_zones_out = router->server_view.list->zones_out.count;
}

static void send_servers(cw_router_t *router, const cw_peer_t *peer, uint64_t base)
{
    static servers_room_t   room;
    const cw_server_list_t *list = router->server_view.list;
    Cwp__ServersPage        page;
    Cwp__Datagram           datagram = CWP__DATAGRAM__INIT;
    uint32_t                pages = (count_changed(list, base) + PAGE_SERVERS - 1) / PAGE_SERVERS;
    uint32_t                number = 0;
    size_t                  index = 0;

    pages = pages == 0 ? 1 : pages;
    datagram.content_case = CWP__DATAGRAM__CONTENT_SERVERS;
    datagram.servers = &page;
    for (number = 0; number < pages; number++) {
        begin_servers_page(router, &page, &room, base);
        page.page = number;
        page.pages = pages;
        if (number == 0 && base != 0) {
            page.n_removed = cw_list_history_removed(&router->list_history, base, room.removed, REMOVED_ROOM);
            page.removed = room.removed;
        }
        for (; index < list->count && page.n_servers < PAGE_SERVERS; index++) {
            if (list->entries[index].changed_in > base) {
                add_server(&page, &room, &list->entries[index], cw_router_now(router));
            }
        }
        send_datagram(router, peer, &datagram);
    }
}

void cw_router_push_servers(cw_router_t *router, cw_time_us_t now)
{
    cw_peer_t *peer;

    refill(router, now);
    if (!router->leadership.leading || router->server_view.list == NULL || router->lead_servers == 0) {
        return;
    }
    for (peer = cw_peer_link_peers(router->link); peer != NULL; peer = peer->next) {
        uint64_t base = base_of(router, peer, peer->servers);

        if (is_due(router, peer, &peer->servers_push, peer->servers, router->lead_servers, now)) {
            peer->servers_push.due_at = next_try(&peer->servers_push, now);
            send_servers(router, peer, cw_list_history_covers(&router->list_history, base) ? base : 0);
        }
    }
}

void cw_router_servers_changed(cw_router_t *router, cw_time_us_t now)
{
    cw_peer_t *peer;

    for (peer = cw_peer_link_peers(router->link); peer != NULL; peer = peer->next) {
        if (peer->term == router->leadership.lock.term && peer->servers + 1 >= router->lead_servers) {
            peer->servers_push.due_at = 0; /* it had the newest: one change is on its way at once */
        }
    }
    cw_router_push_servers(router, now);
}

/* ---- nodes ----
 *
 * A node knows its seeds and, from the lock, the leader; so the leader hears every node. It tells the others to those
 * that have heard fewer. That is apart from the list: a node that has read the list itself is sent no page of it.
 */

static void send_nodes(cw_router_t *router, const cw_peer_t *peer)
{
    static uint32_t  nodes[NODES_MAX];
    Cwp__NodesPage   page = CWP__NODES_PAGE__INIT;
    Cwp__Datagram    datagram = CWP__DATAGRAM__INIT;
    const cw_peer_t *known;

    page.nodes = nodes;
    for (known = cw_peer_link_peers(router->link); known != NULL; known = known->next) {
        if (known->last_received_at != 0 && !known->is_lost && page.n_nodes < NODES_MAX) {
            nodes[page.n_nodes++] = known->address;
        }
    }
    datagram.content_case = CWP__DATAGRAM__CONTENT_NODES;
    datagram.nodes = &page;
    send_datagram(router, peer, &datagram);
}

void cw_router_push_nodes(cw_router_t *router, cw_time_us_t now)
{
    uint32_t   alive = cw_peer_link_alive(router->link, router->silence, now);
    cw_peer_t *peer;

    for (peer = cw_peer_link_peers(router->link); peer != NULL; peer = peer->next) {
        if (peer->last_received_at != 0 && !peer->is_lost && peer->peers < alive && now >= peer->nodes_due_at &&
            router->push_room > 0) {
            peer->nodes_due_at = now + CW_MS(NODES_AGAIN_MS);
            send_nodes(router, peer);
        }
    }
}

/* ---- tables ---- */

static void send_table(cw_router_t *router, const cw_peer_t *peer, Cwp__TablePage *page,
                       const cw_table_entry_t *entries, size_t count)
{
    static cw_table_page_room_t room;
    Cwp__Datagram               datagram = CWP__DATAGRAM__INIT;
    uint32_t                    part;

    datagram.content_case = CWP__DATAGRAM__CONTENT_TABLE;
    datagram.table = page;
    for (part = 0; part < cw_table_pages_of(count); part++) {
        cw_table_page_fill(page, &room, entries, count, part);
        send_datagram(router, peer, &datagram);
        page->page++;
    }
}

static void send_tables(cw_router_t *router, const cw_peer_t *peer, uint64_t base)
{
    static cw_table_entry_t changes[CW_KEY_LAST + 1];
    Cwp__TablePage          page = CWP__TABLE_PAGE__INIT;
    size_t                  index;

    page.term = router->leadership.lock.term;
    page.number = router->lead_tables;
    page.since = base;
    for (index = 0; index < router->tables.count; index++) {
        page.pages += cw_table_pages_of(cw_table_changes(&router->tables.items[index], base, changes, CW_KEY_LAST + 1));
    }
    for (index = 0; index < router->tables.count; index++) {
        size_t count = cw_table_changes(&router->tables.items[index], base, changes, CW_KEY_LAST + 1);

        page.service = router->tables.items[index].service;
        send_table(router, peer, &page, changes, count);
    }
}

void cw_router_push_tables(cw_router_t *router, cw_time_us_t now)
{
    cw_peer_t *peer;

    if (!router->leadership.leading || router->lead_tables == 0) {
        return;
    }
    for (peer = cw_peer_link_peers(router->link); peer != NULL; peer = peer->next) {
        if (is_due(router, peer, &peer->tables_push, peer->tables, router->lead_tables, now)) {
            peer->tables_push.due_at = next_try(&peer->tables_push, now);
            send_tables(router, peer, base_of(router, peer, peer->tables));
        }
    }
}

void cw_router_tables_changed(cw_router_t *router)
{
    cw_peer_t *peer;

    for (peer = cw_peer_link_peers(router->link); peer != NULL; peer = peer->next) {
        if (peer->term == router->leadership.lock.term && peer->tables != 0) {
            peer->tables_push.due_at = 0;
            peer->tables_push.tries = 0;
        }
    }
}
