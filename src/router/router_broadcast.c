/**
 * @file router_broadcast.c
 * @brief Sends datagrams to all nodes, by way of the relays of zones.
 *
 * A node sends the datagram to the nodes of its own zone, and to nodes of zones that no relay covers. The relays of its
 * zone send it to the relays of the other zones, which send it to the nodes of theirs. Datagrams may be lost, so the
 * node that broadcasts repeats each one; nodes that have received it already ignore the repetition.
 */
#include "router/router_internal.h"

void cw_router_broadcast(cw_router_t *router, size_t length, cw_time_us_t now)
{
    const cw_peer_t *peer;

    for (peer = cw_peer_link_peers(router->link); peer != NULL; peer = peer->next) {
        bool is_near = peer->distance == CW_DISTANCE_ZONE || !cw_router_is_covered(router, peer, now);

        if (!peer->is_lost && (is_near || (cw_router_acts_as_relay(router) && cw_router_is_relay(router, peer)))) {
            cw_peer_link_send_packed(router->link, peer, length);
        }
    }
}

/* Whether a relay sends a datagram that is now at this stage (CW_BROADCAST_) to the peer. */
static bool is_receiver_at(const cw_router_t *router, const cw_peer_t *peer, uint32_t stage)
{
    if (peer->is_lost) {
        return false;
    }
    return stage == CW_BROADCAST_BETWEEN_ZONES ? peer->distance != CW_DISTANCE_ZONE && cw_router_is_relay(router, peer)
                                               : peer->distance == CW_DISTANCE_ZONE;
}

void cw_router_forward_broadcast(cw_router_t *router, const cw_peer_t *sender, const Cwp__Datagram *datagram,
                                 uint32_t *stage)
{
    bool             is_from_zone = sender->distance == CW_DISTANCE_ZONE;
    const cw_peer_t *peer;
    size_t           length;

    if (!cw_router_acts_as_relay(router) || *stage >= CW_BROADCAST_INSIDE_ZONE ||
        (*stage == CW_BROADCAST_FROM_NODE) != is_from_zone) {
        return;
    }
    *stage += 1;
    length = cw_peer_link_pack(router->link, datagram);
    for (peer = cw_peer_link_peers(router->link); peer != NULL; peer = peer->next) {
        if (is_receiver_at(router, peer, *stage)) {
            cw_peer_link_send_packed(router->link, peer, length);
        }
    }
}
