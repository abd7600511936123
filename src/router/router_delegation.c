/**
 * @file router_delegation.c
 * @brief Connects the passing of requests between nodes to the node: which nodes take them, the connections there, and
 * the listener for requests of other nodes.
 *
 * The listener is bound to the address and port number of the datagrams between nodes, over TCP, apart from that for
 * callers. A request is taken only if it names the incarnation of this process, a random number that nodes tell one
 * another and nobody else: so it comes from a node, and was meant for this process and not for one before it.
 */
#include <stdlib.h>
#include <string.h>

#include "base/memory.h"
#include "base/text.h"
#include "router/delegate_choice.h"
#include "router/router_paths.h"

enum {
    REFRESH_MS = 100,      /* between choices of the nodes; well below CW_PEER_TIMEOUT_MS */
    FAILED_PAUSE_MS = 300, /* a node that did not take a request is not chosen for so long, unless there is no other */
    IDLE_CONNECTION_MS = 5000,
    UNACKNOWLEDGED_TIMEOUT_MS = 900,
    ADDED_HEADER_BYTES = 8 * 1024, /* heads are longer than those of callers: by the field of the other node */
    INITIAL_HEADER_BYTES = 64 * 1024,
    INITIAL_BODY_BYTES = 16 * 1024 * 1024,
    IDLE_TIMEOUT_S = 60,
    BODY_MEMORY_DIVISOR = 4 /* part of the memory for callers' bodies that those of other nodes may use in addition */
};

/** A node that requests may be passed to. */
typedef struct delegate_node {
    cw_delegate_t  delegate;
    cw_time_us_t   avoid_until;
    cw_time_us_t   chosen_at; /* last choice of it, for any service */
    UT_hash_handle hh;
} delegate_node_t;

/** The nodes chosen for the requests of one service. */
typedef struct service_delegates {
    uint32_t       service; /* hash of its name */
    uint32_t       chosen[CW_DELEGATES_MAX];
    size_t         count;
    cw_time_us_t   chosen_at;
    uint32_t       turn; /* position from which the next choice starts */
    UT_hash_handle hh;
} service_delegates_t;

struct cw_router_delegation {
    cw_router_t         *router;
    cw_upstream_t       *connections;
    cw_http_listener_t  *listener;
    delegate_node_t     *nodes;    /* hash table by address */
    service_delegates_t *services; /* hash table by service */
};

/* ---- the nodes ---- */

static cw_delegate_paths_t paths_of(const cw_peer_t *peer, uint32_t service)
{
    if (peer->stopping || peer->is_lost || peer->last_received_at == 0 || peer->incarnation == 0 ||
        cw_peer_paths_lack(&peer->paths, service)) {
        return CW_DELEGATE_UNUSABLE;
    }
    switch (peer->paths.state) {
    case CWP__SERVER_PATHS__PATHS_OPEN:
        return CW_DELEGATE_OPEN;
    case CWP__SERVER_PATHS__PATHS_UNKNOWN:
        return CW_DELEGATE_UNKNOWN;
    default:
        return CW_DELEGATE_UNUSABLE;
    }
}

static size_t collect_candidates(const cw_router_t *router, uint32_t service, cw_delegate_candidate_t **candidates)
{
    const cw_peer_t *peer;
    size_t           count = 0;

    for (peer = cw_peer_link_peers(router->link); peer != NULL; peer = peer->next) {
        count++;
    }
    *candidates = cw_memory_zeroed_items(count + 1, sizeof(**candidates));
    count = 0;
    for (peer = cw_peer_link_peers(router->link); peer != NULL; peer = peer->next) {
        if (peer->last_received_at != 0 && !peer->is_lost) {
            (*candidates)[count++] = (cw_delegate_candidate_t){peer->address, peer->distance, paths_of(peer, service)};
        }
    }
    return count;
}

static delegate_node_t *find_node(const cw_router_delegation_t *delegation, uint32_t address)
{
    delegate_node_t *node;

    HASH_FIND(hh, delegation->nodes, &address, sizeof(address), node);
    return node;
}

static delegate_node_t *find_or_add_node(cw_router_delegation_t *delegation, const cw_peer_t *peer)
{
    delegate_node_t *node = find_node(delegation, peer->address);
    char             address[32];

    if (node == NULL) {
        node = cw_memory_zeroed(sizeof(*node));
        node->delegate.address = peer->address;
        snprintf(address, sizeof(address), "%s:%u", peer->text, delegation->router->settings.peer_port);
        node->delegate.connections = cw_upstream_target_create(delegation->connections, address);
        HASH_ADD(hh, delegation->nodes, delegate.address, sizeof(node->delegate.address), node);
    }
    node->delegate.incarnation = peer->incarnation;
    cw_text_copy(node->delegate.node, sizeof(node->delegate.node), peer->node);
    return node;
}

static void drop_unused_nodes(cw_router_delegation_t *delegation, cw_time_us_t now)
{
    delegate_node_t *node;
    delegate_node_t *next;

    HASH_ITER(hh, delegation->nodes, node, next)
    {
        if (now - node->chosen_at > CW_MS(IDLE_CONNECTION_MS) && node->delegate.in_flight == 0) {
            HASH_DEL(delegation->nodes, node); /* NOLINT(clang-analyzer-unix.Malloc): false positive in uthash */
            cw_upstream_target_release(node->delegate.connections);
            free(node);
        }
    }
}

static service_delegates_t *delegates_of(cw_router_delegation_t *delegation, uint32_t service)
{
    service_delegates_t *known;

    HASH_FIND(hh, delegation->services, &service, sizeof(service), known);
    if (known == NULL) {
        known = cw_memory_zeroed(sizeof(*known));
        known->service = service;
        HASH_ADD(hh, delegation->services, service, sizeof(known->service), known);
    }
    return known;
}

static void refresh(cw_router_delegation_t *delegation, service_delegates_t *delegates, cw_time_us_t now)
{
    cw_router_t             *router = delegation->router;
    cw_delegate_candidate_t *candidates;
    size_t                   count = collect_candidates(router, delegates->service, &candidates);
    size_t                   index;

    delegates->chosen_at = now;
    delegates->count =
        cw_delegates_choose(candidates, count, cw_peer_link_own_address(router->link), delegates->chosen);
    for (index = 0; index < delegates->count; index++) {
        const cw_peer_t *peer = cw_peer_link_find(router->link, delegates->chosen[index]);

        find_or_add_node(delegation, peer)->chosen_at = now;
    }
    drop_unused_nodes(delegation, now);
    free(candidates);
}

/* ---- the engine's port ---- */

/* True if the first node is to be preferred: it does not pause, or has fewer requests of this node. */
static bool is_better(const delegate_node_t *node, const delegate_node_t *than, cw_time_us_t now)
{
    bool pauses = node->avoid_until > now;
    bool other_pauses = than->avoid_until > now;

    return pauses != other_pauses ? other_pauses : node->delegate.in_flight < than->delegate.in_flight;
}

static cw_delegate_t *choose(void *context, uint32_t service, uint32_t except)
{
    cw_router_delegation_t *delegation = context;
    service_delegates_t    *delegates = delegates_of(delegation, service);
    cw_time_us_t            now = cw_router_now(delegation->router);
    delegate_node_t        *best = NULL;
    size_t                  index;

    if (delegates->chosen_at == 0 || now - delegates->chosen_at >= CW_MS(REFRESH_MS)) {
        refresh(delegation, delegates, now);
    }
    delegates->turn++;
    for (index = 0; index < delegates->count; index++) {
        uint32_t         address = delegates->chosen[(delegates->turn + index) % delegates->count];
        delegate_node_t *node = find_node(delegation, address);

        if (node != NULL && address != except && (best == NULL || is_better(node, best, now))) {
            best = node;
        }
    }
    return best == NULL || best->delegate.connections == NULL ? NULL : &best->delegate;
}

static void record_failure(void *context, cw_delegate_t *delegate)
{
    cw_router_delegation_t *delegation = context;
    delegate_node_t        *node = find_node(delegation, delegate->address);

    node->avoid_until = cw_router_now(delegation->router) + CW_MS(FAILED_PAUSE_MS);
}

/* ---- requests of other nodes ---- */

static void on_request(void *context, cw_http_exchange_t *exchange, const cw_http_inbound_t *inbound)
{
    cw_router_delegation_t *delegation = context;
    cw_router_t            *router = delegation->router;
    const char             *field = cw_http_fields_find(inbound->fields, cw_delegation_field);
    const char             *request = cw_http_fields_find(inbound->fields, router->adapter->header_names->request_id);
    cw_delegated_request_t  delegated;

    if (field == NULL || cw_delegated_request_read(&delegated, field) != 0) {
        cw_delegation_decline(exchange, request, "it states nothing that can be read");
        return;
    }
    if (delegated.receiver != router->incarnation) {
        cw_delegation_decline(exchange, request, "it is not meant for this process");
        cw_delegated_request_clear(&delegated);
        return;
    }
    cw_engine_request_delegated(router->engine, exchange, inbound, &delegated);
}

static void on_gone(void *context, cw_http_exchange_t *exchange)
{
    cw_router_delegation_t *delegation = context;

    cw_engine_caller_disconnected(delegation->router->engine, exchange);
}

static int listen_for_nodes(cw_router_delegation_t *delegation)
{
    const cw_router_settings_t *settings = &delegation->router->settings;
    cw_http_limits_t            limits = {.header_bytes = INITIAL_HEADER_BYTES,
                                          .body_bytes = INITIAL_BODY_BYTES,
                                          .header_timeout = CW_SECONDS(IDLE_TIMEOUT_S),
                                          .idle_timeout = CW_SECONDS(IDLE_TIMEOUT_S)};
    cw_http_listener_options_t  options = {.body_bytes_max = settings->body_bytes_most / BODY_MEMORY_DIVISOR,
                                           .body_wait = settings->body_wait,
                                           .request_id_name = delegation->router->adapter->header_names->request_id};
    cw_http_listener_handler_t  handler = {delegation, on_request, on_gone};
    int error = cw_http_listener_create(&delegation->listener, &delegation->router->loop, settings->peer_bind,
                                        settings->peer_port, &limits, &handler);

    cw_http_listener_set_options(delegation->listener, &options);
    return error;
}

/* ---- the node ---- */

int cw_router_delegation_start(cw_router_t *router)
{
    cw_router_delegation_t *delegation = cw_memory_zeroed(sizeof(*delegation));
    cw_upstream_options_t   options = {.idle_max = CW_MS(IDLE_CONNECTION_MS),
                                       .unacknowledged = CW_MS(UNACKNOWLEDGED_TIMEOUT_MS),
                                       .memory = &router->answer_memory};
    cw_delegation_port_t    port = {
           .context = delegation, .node = router->settings.node, .choose = choose, .failed = record_failure};

    delegation->router = router;
    delegation->connections = cw_upstream_create(&router->loop, &options);
    router->delegation = delegation;
    cw_engine_set_delegation(router->engine, &port);
    return listen_for_nodes(delegation);
}

void cw_router_delegation_set_limits(cw_router_t *router, const cw_http_limits_t *limits)
{
    cw_http_limits_t own = *limits;

    if (router->delegation == NULL) {
        return;
    }
    own.header_bytes += ADDED_HEADER_BYTES;
    own.header_timeout = CW_SECONDS(IDLE_TIMEOUT_S);
    own.idle_timeout = CW_SECONDS(IDLE_TIMEOUT_S);
    cw_http_listener_set_limits(router->delegation->listener, &own);
}

bool cw_router_delegation_is_idle(const cw_router_t *router)
{
    return router->delegation == NULL || cw_engine_delegated_requests(router->engine) == 0;
}
