/**
 * @file router_list_exchange.c
 * @brief Whole lists of servers between the nodes of a zone: requests, their answers, and what this node answers from.
 *
 * A node answers from its own list while that is the leader's by number and hash, and goes on with a transfer under way
 * when a newer one has come into force here. Whether a list that came replaces the one in force is decided as for those
 * that the leader sends (router_view_pages.c): a lower revision of the store never replaces a later one.
 */
#include <stdlib.h>

#include "base/memory.h"
#include "router/list_exchange.h"
#include "router/router_internal.h"
#include "router/servers_pages.h"

enum {
    LINK_PART = 3, /* of the link's bandwidth for pages of lists, as for the leader's (router_push.c) */
    BITS = 8,
};

/** A list that is sent to others. */
typedef struct snapshot {
    cw_list_version_t of;
    cw_server_list_t *list; /**< NULL: none */
    uint64_t          revision;
} snapshot_t;

struct cw_router_list_exchange {
    cw_list_exchange_t *exchange;
    cw_list_version_t   leaders; /**< the list that the leader's last heartbeat named */
    uint64_t            leaders_hash;
    snapshot_t          snapshot;
};

static bool is_same(cw_list_version_t one, cw_list_version_t other)
{
    return one.term == other.term && one.number == other.number;
}

static cw_list_version_t number_in_force(const cw_router_t *router)
{
    return (cw_list_version_t){.term = router->view_term, .number = router->view_list_version};
}

/* ---- what is sent ---- */

/* Has this node this list, as the leader has it? */
static bool has_list(const cw_router_t *router, cw_list_version_t of)
{
    const cw_router_list_exchange_t *lists = router->list_exchange;

    if (of.number == 0 || router->server_view.list == NULL || !is_same(of, number_in_force(router))) {
        return false;
    }
    return router->leadership.leading ||
           (is_same(of, lists->leaders) && lists->leaders_hash == router->server_view.hash);
}

static void take_snapshot(cw_router_t *router, cw_list_version_t of)
{
    snapshot_t *snapshot = &router->list_exchange->snapshot;

    cw_server_list_release(snapshot->list);
    snapshot->of = of;
    snapshot->list = cw_server_list_hold(router->server_view.list);
    snapshot->revision = router->server_view.revision;
}

/* A transfer under way goes on with the list it began with. */
static const snapshot_t *find_snapshot(cw_router_t *router, const cw_list_window_t *window)
{
    snapshot_t *snapshot = &router->list_exchange->snapshot;
    bool        is_held = snapshot->list != NULL && is_same(snapshot->of, window->of);

    if (has_list(router, window->of)) {
        take_snapshot(router, window->of);
        return snapshot;
    }
    return is_held && window->first > 0 ? snapshot : NULL;
}

static void begin_page(Cwp__ServersPage *page, const snapshot_t *snapshot)
{
    cwp__servers_page__init(page);
    page->term = snapshot->of.term;
    page->number = snapshot->of.number;
    page->revision = snapshot->revision;
    page->zones_out = snapshot->list->zones_out.names;
    page->n_zones_out = snapshot->list->zones_out.count;
    page->pages = cw_servers_page_count(snapshot->list, 0);
}

static size_t send_page(cw_router_t *router, const cw_peer_t *peer, const snapshot_t *snapshot, uint32_t number)
{
    static cw_servers_page_room_t room;
    Cwp__ServersPage              page;
    Cwp__Datagram                 datagram = CWP__DATAGRAM__INIT;
    size_t                        length;

    begin_page(&page, snapshot);
    page.page = number;
    (void)cw_servers_page_fill(&page, &room, snapshot->list, 0, (size_t)number * CW_PAGE_SERVERS,
                               cw_router_now(router));
    datagram.content_case = CWP__DATAGRAM__CONTENT_SERVERS;
    datagram.servers = &page;
    length = cw_peer_link_pack(router->link, &datagram);
    cw_peer_link_send_packed(router->link, peer, length);
    cw_metric_add(CW_METRIC_LIST_PAGES_SERVED, 1);
    return length;
}

static size_t send_pages(void *context, uint32_t address, const cw_list_window_t *window, bool *is_last)
{
    cw_router_t      *router = context;
    const cw_peer_t  *peer = cw_peer_link_find(router->link, address);
    const snapshot_t *snapshot = find_snapshot(router, window);
    size_t            bytes = 0;
    uint32_t          pages;
    uint32_t          number;

    if (peer == NULL || snapshot == NULL) {
        return 0;
    }
    pages = cw_servers_page_count(snapshot->list, 0);
    for (number = window->first; number < pages && number - window->first < window->count; number++) {
        bytes += send_page(router, peer, snapshot, number);
    }
    *is_last = number >= pages;
    cw_send_allowance_spend(&router->push_allowance, bytes); /* what the leader or a relay sends besides waits for it */
    return bytes;
}

/* ---- what is asked ---- */

static void note_request(const cw_peer_t *peer, const cw_list_window_t *window)
{
    cw_event_t event;

    cw_metric_add(CW_METRIC_LIST_REQUESTS, 1);
    if (cw_event_begin(&event, CW_EVENT_LIST_REQUESTED)) {
        cw_event_text(&event, CW_FIELD_PEER, peer->node);
        cw_event_number(&event, CW_FIELD_TERM, (int64_t)window->of.term);
        cw_event_number(&event, CW_FIELD_VIEW, (int64_t)window->of.number);
        cw_event_number(&event, CW_FIELD_LOW, (int64_t)window->first);
        cw_event_end(&event);
    }
}

static void send_request(void *context, uint32_t address, const cw_list_window_t *window)
{
    cw_router_t     *router = context;
    const cw_peer_t *peer = cw_peer_link_learn(router->link, address, cw_router_now(router));
    Cwp__ListRequest request = CWP__LIST_REQUEST__INIT;
    Cwp__Datagram    datagram = CWP__DATAGRAM__INIT;

    if (peer == NULL) {
        return; /* no more peers fit; another one is asked after a pause */
    }
    request.term = window->of.term;
    request.number = window->of.number;
    request.first_page = window->first;
    datagram.content_case = CWP__DATAGRAM__CONTENT_LIST_REQUEST;
    datagram.list_request = &request;
    cw_peer_link_send(router->link, peer, &datagram);
    note_request(peer, window);
}

static void send_redirect(void *context, uint32_t address, cw_list_version_t of, uint32_t instead)
{
    cw_router_t     *router = context;
    const cw_peer_t *peer = cw_peer_link_find(router->link, address);
    Cwp__ServersPage page = CWP__SERVERS_PAGE__INIT;
    Cwp__Datagram    datagram = CWP__DATAGRAM__INIT;

    if (peer == NULL) {
        return; /* forgotten meanwhile */
    }
    page.term = of.term;
    page.number = of.number;
    page.ask_instead = instead;
    datagram.content_case = CWP__DATAGRAM__CONTENT_SERVERS;
    datagram.servers = &page;
    cw_peer_link_send(router->link, peer, &datagram);
    cw_metric_add(CW_METRIC_LIST_REDIRECTS, 1);
}

/* ---- the node's parts ---- */

void cw_router_list_exchange_init(cw_router_t *router)
{
    cw_list_exchange_owner_t owner = {.context = router,
                                      .request = send_request,
                                      .send_pages = send_pages,
                                      .redirect = send_redirect,
                                      .bytes_per_s = (double)router->settings.link_mbps * 1e6 / BITS / LINK_PART,
                                      .own_address = cw_peer_link_own_address(router->link)};

    router->list_exchange = cw_memory_zeroed(sizeof(*router->list_exchange));
    router->list_exchange->exchange = cw_list_exchange_create(&owner);
}

void cw_router_list_exchange_free(cw_router_t *router)
{
    cw_list_exchange_destroy(router->list_exchange->exchange);
    cw_server_list_release(router->list_exchange->snapshot.list);
    free(router->list_exchange);
    router->list_exchange = NULL;
}

void cw_router_list_exchange_tick(cw_router_t *router, cw_time_us_t now)
{
    cw_list_exchange_tick(router->list_exchange->exchange, now);
}

/* A node that has just started does not know the others yet, the leader does. */
static bool are_nodes_many(const cw_router_t *router, const Cwp__LeaderHeartbeat *heartbeat)
{
    return heartbeat->nodes >= CW_FLEET_MANY_NODES || cw_router_nodes_are_many(router);
}

void cw_router_list_exchange_heartbeat(cw_router_t *router, const Cwp__LeaderHeartbeat *heartbeat, cw_time_us_t now)
{
    cw_router_list_exchange_t *lists = router->list_exchange;
    cw_list_version_t          named = {.term = heartbeat->term, .number = heartbeat->servers};

    lists->leaders = named;
    lists->leaders_hash = heartbeat->servers_hash;
    if (named.term >= router->view_term && are_nodes_many(router, heartbeat)) {
        cw_list_exchange_want(lists->exchange, named, number_in_force(router), now);
    }
}

void cw_router_list_exchange_note_holder(cw_router_t *router, const cw_peer_t *peer, cw_time_us_t now)
{
    cw_list_version_t has = {.term = peer->term, .number = peer->servers};

    if (peer->distance == CW_DISTANCE_ZONE) {
        cw_list_exchange_note(router->list_exchange->exchange, peer->address, has, now);
    }
}

static void note_list(const cw_peer_t *peer, const Cwp__ServersPage *page)
{
    cw_event_t event;

    cw_metric_add(CW_METRIC_LIST_FROM_ZONE, 1);
    if (cw_event_begin(&event, CW_EVENT_LIST_FROM_ZONE)) {
        cw_event_text(&event, CW_FIELD_PEER, peer->node);
        cw_event_number(&event, CW_FIELD_TERM, (int64_t)page->term);
        cw_event_number(&event, CW_FIELD_VIEW, (int64_t)page->number);
        cw_event_number(&event, CW_FIELD_REVISION, (int64_t)page->revision);
        cw_event_end(&event);
    }
}

void cw_router_list_exchange_page_received(cw_router_t *router, const cw_peer_t *peer, const Cwp__ServersPage *page,
                                           uint32_t next_missing)
{
    cw_list_version_t of = {.term = page->term, .number = page->number};

    if (next_missing >= page->pages && peer->distance == CW_DISTANCE_ZONE && is_same(of, number_in_force(router))) {
        note_list(peer, page);
    }
    cw_list_exchange_page_came(router->list_exchange->exchange, of, next_missing, page->pages, cw_router_now(router));
}

void cw_router_list_exchange_redirected(cw_router_t *router, const Cwp__ServersPage *page)
{
    cw_list_version_t of = {.term = page->term, .number = page->number};

    cw_list_exchange_redirected(router->list_exchange->exchange, of, page->ask_instead, cw_router_now(router));
}

void cw_router_handle_list_request(cw_router_t *router, const cw_peer_t *peer, const Cwp__ListRequest *request)
{
    cw_list_window_t window = {.of = {.term = request->term, .number = request->number},
                               .first = request->first_page,
                               .count = CW_LIST_WINDOW_PAGES};

    if (peer->zone[0] != '\0' && peer->distance != CW_DISTANCE_ZONE) {
        return; /* nothing of it crosses the border of a zone */
    }
    cw_list_exchange_take_request(router->list_exchange->exchange, peer->address, &window, cw_router_now(router));
}

bool cw_router_gets_list_in_zone(const cw_router_t *router, const cw_peer_t *peer)
{
    if (!cw_router_nodes_are_many(router)) {
        return false;
    }
    return peer->distance == CW_DISTANCE_ZONE || (peer->zone[0] != '\0' && !cw_router_is_relay(router, peer));
}
