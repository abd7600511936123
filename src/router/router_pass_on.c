/**
 * @file router_pass_on.c
 * @brief A relay's part in bringing its zone up to date: changes of the leader passed on, and whole lists.
 *
 * A page of changes goes on as it came, to all of the zone: those that it does not fit leave it. A whole list is sent
 * from this node's own, to nodes of the zone that have none of the leader's term, and only while the leader's heartbeat
 * has the same number and hash: so what is passed on is the leader's. Nodes acknowledge to the relay and to the leader.
 *
 * Whole tables come from the leader alone. A node that has read a later record of assignments in the store has no
 * number of the tables; a relay's tables, true a moment ago, would replace what it read and live on for as long as the
 * record may, so that keys could be routed to an owner whose hold a next leader takes to be over. Lists are ordered by
 * the store's revision, tables are not.
 */
#include "router/router_internal.h"

enum {
    FIRST_WAIT_MS = 100,       /* a node that has the same already says so within a turn of its loop */
    SECOND_RELAY_WAIT_MS = 700 /* the other relay of the zone has sent it by then */
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
            router->push_room -= (double)length; /* whole lists wait for it, changes do not */
            cw_peer_link_send_packed(router->link, peer, length);
        }
    }
}

/* Does the node lack it, and is it time to send it? */
static bool is_due(const cw_router_t *router, bool lacks, cw_push_state_t *push, size_t place, cw_time_us_t now)
{
    if (!lacks) {
        push->tries = 0;
        push->due_at = 0;
        return false;
    }
    if (push->due_at == 0) {
        push->due_at = now + CW_MS(FIRST_WAIT_MS + (place == 0 ? 0 : SECOND_RELAY_WAIT_MS));
    }
    return now >= push->due_at && router->push_room > 0;
}

void cw_router_pass_on_whole(cw_router_t *router, const cw_sure_view_t *sure, size_t place, cw_time_us_t now)
{
    bool has_servers = sure->term == router->view_term && sure->servers != 0 && sure->servers == router->view_servers;
    static cw_packed_pages_t packed; /* its memory is kept */
    const cw_push_scope_t    whole = {0};
    cw_peer_t               *peer;

    packed.is_packed = false;
    cw_router_refill_push(router, now);
    for (peer = cw_peer_link_peers(router->link); peer != NULL; peer = peer->next) {
        bool is_new = peer->term != router->view_term;

        if (!is_of_zone(peer) || router->leadership.leading) {
            continue;
        }
        if (has_servers && is_due(router, is_new || peer->servers == 0, &peer->servers_push, place, now)) {
            peer->servers_push.due_at = cw_router_next_push(&peer->servers_push, now);
            cw_router_send_servers(router, peer, &whole, &packed);
        }
    }
}
