/**
 * @file router_push.c
 * @brief The leader's list of servers and tables of keys, in pages to the nodes that have older ones.
 */
#include <string.h>

#include "router/router_internal.h"

enum { RESEND_MS = 150, PAGE_SERVERS = 64, NODES_MAX = 1024 };

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

static void send_table_page(cw_router_t *router, const cw_peer_t *peer, const cw_keeper_t *keeper, uint32_t part,
                            uint32_t page, uint32_t pages)
{
    static cw_table_page_room_t room;
    Cwp__TablePage              content = CWP__TABLE_PAGE__INIT;
    Cwp__Datagram               datagram = CWP__DATAGRAM__INIT;

    content.term = router->leadership.lock.term;
    content.number = router->lead_tables;
    content.page = page;
    content.pages = pages;
    content.service = (char *)cw_keeper_service(keeper);
    cw_table_page_fill(&content, &room, cw_keeper_ranges(keeper), part);
    datagram.content_case = CWP__DATAGRAM__CONTENT_TABLE;
    datagram.table = &content;
    cw_peer_link_send(router->link, peer, &datagram);
}

static uint32_t pages_of(const cw_keeper_t *keeper)
{
    return cw_table_pages_of(cw_keeper_ranges(keeper)->count);
}

static void send_tables(cw_router_t *router, const cw_peer_t *peer)
{
    uint32_t pages = 0;
    uint32_t page = 0;
    uint32_t part;
    size_t   index;

    for (index = 0; index < router->keyed_count; index++) {
        pages += pages_of(router->keyed[index].keeper);
    }
    for (index = 0; index < router->keyed_count; index++) {
        const cw_keeper_t *keeper = router->keyed[index].keeper;

        for (part = 0; part < pages_of(keeper); part++) {
            send_table_page(router, peer, keeper, part, page++, pages);
        }
    }
}

void cw_router_push_tables(cw_router_t *router, cw_time_us_t now)
{
    cw_peer_t *peer;

    if (!router->leadership.leading || router->lead_tables == 0) {
        return;
    }
    for (peer = cw_peer_link_peers(router->link); peer != NULL; peer = peer->next) {
        if (!is_behind(router, peer, peer->tables, router->lead_tables) ||
            now - peer->tables_sent_at < CW_MS(RESEND_MS)) {
            continue;
        }
        peer->tables_sent_at = now;
        send_tables(router, peer);
    }
}
