/**
 * @file router_pass_on.c
 * @brief How a zone is brought up to date from inside: changes that a relay passes on, and whole lists and tables.
 *
 * A page of changes goes on as it came, to all of the zone: those that it does not fit leave it. A whole is sent to a
 * node that has none of the leader's term, by the nodes of its zone that have it: they share those that lack it by
 * rendezvous hashing, so that the senders double with each round; the next one sends if it has not come after a while.
 * A node sends only what the leader's heartbeat had the same number and hash of. Nodes acknowledge to the sender and
 * to the leader.
 */
#include <xxhash.h>

#include "router/router_internal.h"

enum {
    FIRST_WAIT_MS = 100, /* a node that has the same already says so within a turn of its loop */
    RANK_WAIT_MS = 1500, /* for the node before to send it: 240 KB (3,000 servers) take 0.6 s of a third of 10 Mbit/s */
    AGAIN_MS = 2000      /* pause before the same node sends it again, for the same reason */
};

static bool is_of_zone(const cw_peer_t *peer)
{
    return peer->last_received_at != 0 && !peer->is_lost && peer->distance == CW_DISTANCE_ZONE;
}

static void set_pass_on(const Cwp__Datagram *datagram, bool pass_on)
{
    if (datagram->content_case == CWP__DATAGRAM__CONTENT_SERVERS) {
        datagram->servers->pass_on = pass_on;
    } else {
        datagram->table->pass_on = pass_on;
    }
}

void cw_router_pass_on_page(cw_router_t *router, const Cwp__Datagram *datagram)
{
    const cw_peer_t *peer;
    size_t           length;

    set_pass_on(datagram, false);
    length = cw_peer_link_pack(router->link, datagram);
    for (peer = cw_peer_link_peers(router->link); peer != NULL; peer = peer->next) {
        if (is_of_zone(peer)) {
            cw_peer_link_send_packed(router->link, peer, length);
        }
    }
}

/** What of the leader's a node may lack. */
typedef enum whole_kind { WHOLE_SERVERS, WHOLE_TABLES } whole_kind_t;

static bool lacks(const cw_router_t *router, const cw_peer_t *peer, whole_kind_t kind)
{
    return peer->term != router->view_term || (kind == WHOLE_SERVERS ? peer->servers : peer->tables) == 0;
}

static uint64_t weight(uint32_t sender, uint32_t receiver)
{
    return XXH3_64bits_withSeed(&sender, sizeof(sender), receiver);
}

/* Nodes of the zone that have it too, and come before this one in sending it to the receiver. */
static uint32_t rank_for(const cw_router_t *router, const cw_peer_t *receiver, whole_kind_t kind)
{
    uint64_t         own = weight(cw_peer_link_own_address(router->link), receiver->address);
    uint32_t         rank = 0;
    const cw_peer_t *peer;

    for (peer = cw_peer_link_peers(router->link); peer != NULL; peer = peer->next) {
        if (is_of_zone(peer) && !peer->stopping && !lacks(router, peer, kind) &&
            weight(peer->address, receiver->address) > own) {
            rank++;
        }
    }
    return rank;
}

/* Does the node lack it, and is it this node's turn to send it? */
static bool is_due(const cw_router_t *router, const cw_peer_t *peer, cw_push_state_t *push, whole_kind_t kind,
                   cw_time_us_t now)
{
    if (!lacks(router, peer, kind)) {
        push->tries = 0;
        push->due_at = 0;
        return false;
    }
    if (push->due_at == 0) {
        push->due_at = now + CW_MS(FIRST_WAIT_MS + RANK_WAIT_MS * (int64_t)rank_for(router, peer, kind));
    }
    if (now < push->due_at || router->push_room <= 0) {
        return false;
    }
    push->due_at = now + CW_MS(AGAIN_MS);
    return true;
}

void cw_router_pass_on_whole(cw_router_t *router, const cw_sure_view_t *sure, cw_time_us_t now)
{
    bool is_term = sure->term == router->view_term;
    bool has_servers = is_term && sure->servers != 0 && sure->servers == router->view_servers;
    bool has_tables = is_term && sure->tables != 0 && sure->tables == router->view_tables;

    cw_peer_t *peer;

    if (router->leadership.leading || router->stopping_at != 0) {
        return;
    }
    cw_router_refill_push(router, now);
    for (peer = cw_peer_link_peers(router->link); peer != NULL; peer = peer->next) {
        if (!is_of_zone(peer) || peer->stopping) {
            continue;
        }
        if (has_servers && is_due(router, peer, &peer->servers_push, WHOLE_SERVERS, now)) {
            cw_router_send_servers(router, peer, 0, false);
        }
        if (has_tables && is_due(router, peer, &peer->tables_push, WHOLE_TABLES, now)) {
            cw_router_send_tables(router, peer, 0, false);
        }
    }
}
