/**
 * @file router_pass_on.c
 * @brief A relay's part in bringing its zone up to date: changes of the leader passed on.
 *
 * A page of changes goes on as it came, to all of the zone: those that it does not fit leave it. Nodes acknowledge to
 * the relay and to the leader. Whole lists are asked for inside the zone (router_list_exchange.c).
 *
 * Whole tables come from the leader alone. A node that has read a later record of assignments in the store has no
 * number of the tables; a relay's tables, true a moment ago, would replace what it read and live on for as long as the
 * record may, so that keys could be routed to an owner whose hold a next leader takes to be over. Lists are ordered by
 * the store's revision, tables are not.
 */
#include "router/router_internal.h"

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
            router->push_room -= (double)length; /* pushes wait for it, changes do not */
            cw_peer_link_send_packed(router->link, peer, length);
        }
    }
}
