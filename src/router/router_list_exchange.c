/**
 * @file router_list_exchange.c
 * @brief Whole lists of servers between the nodes of a zone: sends and handles requests, pages and redirects.
 *
 * A node sends its own list while the version and hash of that list are the leader's. It continues a transfer that has
 * started when a newer list has come into force here. Whether a received list replaces the one in force is decided as
 * for lists that the leader sends (router_view_pages.c): a lower revision of the store never replaces a higher one.
 */
#include <stdlib.h>

#include "base/memory.h"
#include "router/list_exchange.h"
#include "router/router_internal.h"
#include "router/servers_pages.h"

enum {
    LINK_DIVISOR = 3, /* a third of the link's bandwidth is for pages of lists, as at the leader (router_push.c) */
    BITS_PER_BYTE = 8,
};

/** The list that is being sent to other nodes. */
typedef struct snapshot {
    cw_list_id_t      of;
    cw_server_list_t *list; /**< NULL: none */
    uint64_t          revision;
} snapshot_t;

struct cw_router_list_exchange {
    cw_list_exchange_t *exchange;
    cw_list_id_t        named; /**< the list that the leader's last heartbeat named */
    uint64_t            named_hash;
    snapshot_t          snapshot;
};

static bool is_same(cw_list_id_t one, cw_list_id_t other)
{
    return one.term == other.term && one.version == other.version;
}

static cw_list_id_t list_in_force(const cw_router_t *router)
{
    return (cw_list_id_t){.term = router->view_term, .version = router->view_list_version};
}

/* ---- pages ---- */

/* True if this node has that list with the leader's content. */
static bool has_list(const cw_router_t *router, cw_list_id_t of)
{
    const cw_router_list_exchange_t *state = router->list_exchange;

    if (of.version == 0 || router->server_view.list == NULL || !is_same(of, list_in_force(router))) {
        return false;
    }
    return router->leadership.leading || (is_same(of, state->named) && state->named_hash == router->server_view.hash);
}

static void take_snapshot(cw_router_t *router, cw_list_id_t of)
{
    snapshot_t *snapshot = &router->list_exchange->snapshot;

    cw_server_list_release(snapshot->list);
    snapshot->of = of;
    snapshot->list = cw_server_list_retain(router->server_view.list);
    snapshot->revision = router->server_view.revision;
}

/* A transfer that has started continues with the list of its start. */
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
    page->number = snapshot->of.version;
    page->revision = cw_store_revision_count(snapshot->revision);
    page->revision_epoch = cw_router_sent_epoch(snapshot->revision);
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
    cw_send_allowance_spend(&router->push_allowance, bytes); /* shared with the pages of a leader or relay */
    return bytes;
}

/* ---- requests and redirects ---- */

static void log_request(const cw_peer_t *peer, const cw_list_window_t *window)
{
    cw_event_t event;

    cw_metric_add(CW_METRIC_LIST_REQUESTS, 1);
    if (cw_event_begin(&event, CW_EVENT_LIST_REQUESTED)) {
        cw_event_text(&event, CW_FIELD_PEER, peer->node);
        cw_event_number(&event, CW_FIELD_TERM, (int64_t)window->of.term);
        cw_event_number(&event, CW_FIELD_VIEW, (int64_t)window->of.version);
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
        return; /* there is no room for another peer; a different node is asked after the retry interval */
    }
    request.term = window->of.term;
    request.number = window->of.version;
    request.first_page = window->first;
    datagram.content_case = CWP__DATAGRAM__CONTENT_LIST_REQUEST;
    datagram.list_request = &request;
    cw_peer_link_send(router->link, peer, &datagram);
    log_request(peer, window);
}

static void send_redirect(void *context, uint32_t address, cw_list_id_t of, uint32_t other_holder)
{
    cw_router_t     *router = context;
    const cw_peer_t *peer = cw_peer_link_find(router->link, address);
    Cwp__ServersPage page = CWP__SERVERS_PAGE__INIT;
    Cwp__Datagram    datagram = CWP__DATAGRAM__INIT;

    if (peer == NULL) {
        return; /* the peer has been removed meanwhile */
    }
    page.term = of.term;
    page.number = of.version;
    page.ask_instead = other_holder;
    datagram.content_case = CWP__DATAGRAM__CONTENT_SERVERS;
    datagram.servers = &page;
    cw_peer_link_send(router->link, peer, &datagram);
    cw_metric_add(CW_METRIC_LIST_REDIRECTS, 1);
}

/* ---- calls of the node's other parts ---- */

void cw_router_list_exchange_init(cw_router_t *router)
{
    cw_list_exchange_owner_t owner = {.context = router,
                                      .request = send_request,
                                      .send_pages = send_pages,
                                      .redirect = send_redirect,
                                      .bytes_per_s =
                                          (double)router->settings.link_mbps * 1e6 / BITS_PER_BYTE / LINK_DIVISOR,
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

/* A node that has just started does not know the other nodes yet, but the leader's heartbeat announces their number. */
static bool is_fleet_large(const cw_router_t *router, const Cwp__LeaderHeartbeat *heartbeat)
{
    return heartbeat->nodes >= CW_FLEET_MANY_NODES || cw_router_nodes_are_many(router);
}

void cw_router_list_exchange_heartbeat(cw_router_t *router, const Cwp__LeaderHeartbeat *heartbeat, cw_time_us_t now)
{
    cw_router_list_exchange_t *state = router->list_exchange;
    cw_list_id_t               newest = {.term = heartbeat->term, .version = heartbeat->servers};

    state->named = newest;
    state->named_hash = heartbeat->servers_hash;
    if (newest.term >= router->view_term && is_fleet_large(router, heartbeat)) {
        cw_list_exchange_set_wanted(state->exchange, newest, list_in_force(router), now);
    }
}

void cw_router_list_exchange_record_holder(cw_router_t *router, const cw_peer_t *peer, cw_time_us_t now)
{
    cw_list_id_t has = {.term = peer->term, .version = peer->servers};

    if (peer->distance == CW_DISTANCE_ZONE) {
        cw_list_exchange_record_holder(router->list_exchange->exchange, peer->address, has, now);
    }
}

static void log_list_received(const cw_peer_t *peer, const Cwp__ServersPage *page)
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
    cw_list_id_t of = {.term = page->term, .version = page->number};

    if (next_missing >= page->pages && peer->distance == CW_DISTANCE_ZONE && is_same(of, list_in_force(router))) {
        log_list_received(peer, page);
    }
    cw_list_exchange_page_received(router->list_exchange->exchange, of, next_missing, page->pages,
                                   cw_router_now(router));
}

void cw_router_list_exchange_redirected(cw_router_t *router, const Cwp__ServersPage *page)
{
    cw_list_id_t of = {.term = page->term, .version = page->number};

    cw_list_exchange_redirected(router->list_exchange->exchange, of, page->ask_instead, cw_router_now(router));
}

void cw_router_handle_list_request(cw_router_t *router, const cw_peer_t *peer, const Cwp__ListRequest *request)
{
    cw_list_window_t window = {.of = {.term = request->term, .version = request->number},
                               .first = request->first_page,
                               .count = CW_LIST_WINDOW_PAGES};

    if (peer->zone[0] != '\0' && peer->distance != CW_DISTANCE_ZONE) {
        return; /* whole lists are not exchanged between zones */
    }
    cw_list_exchange_handle_request(router->list_exchange->exchange, peer->address, &window, cw_router_now(router));
}

bool cw_router_gets_list_in_zone(const cw_router_t *router, const cw_peer_t *peer)
{
    if (!cw_router_nodes_are_many(router)) {
        return false;
    }
    return peer->distance == CW_DISTANCE_ZONE || (peer->zone[0] != '\0' && !cw_router_is_relay(router, peer));
}
