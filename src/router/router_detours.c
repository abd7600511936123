/**
 * @file router_detours.c
 * @brief Connects detours (peer/detours.h) to the node: which peers are probed by way of other nodes, which nodes
 * forward probes, and which datagrams are sent by way of another node.
 *
 * Only datagrams about tenants' limits and servers' slots are sent by detours, because all nodes have to agree on the
 * one node that counts these. Reports are not: a node that is reached only by a detour still counts as lost for all
 * other purposes.
 */
#include <stdlib.h>

#include "base/memory.h"
#include "base/text.h"
#include "router/router_internal.h"

enum {
    SUSPECT_MS = 500, /* the longest interval between reports among few nodes is 300 ms (router_peers.c) */
    /* After this time a process has received from all nodes whose datagrams reach it. */
    DISCOVERY_MS = CW_FLEET_DISCOVERY_MS
};

void cw_router_detours_init(cw_router_t *router)
{
    router->detours = cw_detours_create();
}

static uint32_t own_address(const cw_router_t *router)
{
    return cw_peer_link_own_address(router->link);
}

/* ---- suspect peers: those that may be unreachable directly ---- */

static bool is_received_lately(const cw_router_t *router, const cw_peer_t *peer, cw_time_us_t now)
{
    cw_time_us_t suspect_after =
        router->peer_timeout / 2 > CW_MS(SUSPECT_MS) ? router->peer_timeout / 2 : CW_MS(SUSPECT_MS);

    return peer->last_received_at != 0 && now - peer->last_received_at <= suspect_after;
}

static bool is_unresponsive(const cw_router_t *router, const cw_peer_t *peer, cw_time_us_t now)
{
    bool has_discovered_peers = now - router->started_at >= CW_MS(DISCOVERY_MS);

    return !is_received_lately(router, peer, now) && (peer->last_received_at != 0 || has_discovered_peers);
}

/* Whether the peer states in its own report that it misses this node. Where relays report for the peer, this is not
 * known. A process that has just started does not count as missed: all peers miss it since the process before it ended,
 * until its own reports have arrived. */
static bool misses_this_node(const cw_router_t *router, const cw_peer_t *peer, cw_time_us_t now)
{
    bool has_reported = now - router->started_at >= CW_MS(CW_PEER_TIMEOUT_MS);

    return has_reported && peer->receives_nothing_from_us && now - peer->last_direct_report_at <= router->peer_timeout;
}

static bool is_suspect(const cw_router_t *router, const cw_peer_t *peer, cw_time_us_t now)
{
    return !peer->stopping && (misses_this_node(router, peer, now) || is_unresponsive(router, peer, now));
}

bool cw_router_is_alive(const cw_router_t *router, const cw_peer_t *peer, cw_time_us_t now)
{
    bool is_known = peer->last_received_at != 0 && !peer->is_lost;

    return is_known || cw_detours_via(router->detours, peer->address, now) != 0;
}

/* Returns false before an unresponsive node counts as lost: while other nodes give out limits and slots in its place,
 * the unresponsive node may still give them out as well. */
bool cw_router_is_reachable(const cw_router_t *router, const cw_peer_t *peer, cw_time_us_t now)
{
    bool is_direct = is_received_lately(router, peer, now) && !misses_this_node(router, peer, now);

    return is_direct || cw_detours_via(router->detours, peer->address, now) != 0;
}

/* ---- sending ---- */

static Cwp__Detour detour_to(const cw_router_t *router, uint32_t destination)
{
    Cwp__Detour detour = CWP__DETOUR__INIT;

    detour.origin = own_address(router);
    detour.destination = destination;
    detour.node = (char *)router->settings.node;
    detour.zone = (char *)router->settings.zone;
    detour.capability = cw_router_capability(router);
    detour.incarnation = router->incarnation;
    return detour;
}

static void send_detour(cw_router_t *router, const cw_peer_t *intermediate, Cwp__Detour *detour)
{
    Cwp__Datagram datagram = CWP__DATAGRAM__INIT;

    datagram.content_case = CWP__DATAGRAM__CONTENT_DETOUR;
    datagram.detour = detour;
    cw_peer_link_send(router->link, intermediate, &datagram);
}

static void send_by_way_of(cw_router_t *router, const cw_peer_t *intermediate, const cw_peer_t *peer, size_t length)
{
    Cwp__Detour detour = detour_to(router, peer->address);
    uint8_t    *bytes = cw_memory_zeroed(length);

    cw_peer_link_copy_packed(router->link, bytes, length);
    detour.datagram.data = bytes;
    detour.datagram.len = length;
    cw_metric_add(CW_METRIC_DETOURS_TAKEN, 1);
    send_detour(router, intermediate, &detour);
    free(bytes);
}

bool cw_router_send_to(cw_router_t *router, const cw_peer_t *peer, const Cwp__Datagram *datagram)
{
    cw_time_us_t     now = cw_router_now(router);
    uint32_t         via = is_suspect(router, peer, now) ? cw_detours_via(router->detours, peer->address, now) : 0;
    const cw_peer_t *intermediate = via == 0 ? NULL : cw_peer_link_find(router->link, via);
    size_t           length = cw_peer_link_pack(router->link, datagram);

    if (length == 0) {
        return false;
    }
    if (intermediate == NULL) {
        cw_peer_link_send_packed(router->link, peer, length);
    } else {
        send_by_way_of(router, intermediate, peer, length);
    }
    return true;
}

/* ---- probes ---- */

static bool may_forward(const cw_router_t *router, const cw_peer_t *peer, cw_time_us_t now)
{
    return peer->last_received_at != 0 && !peer->is_lost && !is_suspect(router, peer, now);
}

/* The node at this place among those that may forward a probe; places beyond the last wrap around. NULL: there is
 * none. */
static const cw_peer_t *intermediate_at(const cw_router_t *router, uint32_t place, cw_time_us_t now)
{
    const cw_peer_t *peer;
    uint32_t         count = 0;

    for (peer = cw_peer_link_peers(router->link); peer != NULL; peer = peer->next) {
        count += may_forward(router, peer, now) ? 1 : 0;
    }
    if (count == 0) {
        return NULL;
    }
    place %= count;
    for (peer = cw_peer_link_peers(router->link); peer != NULL; peer = peer->next) {
        if (may_forward(router, peer, now) && place-- == 0) {
            break;
        }
    }
    return peer;
}

static void probe(cw_router_t *router, const cw_peer_t *suspect, uint32_t turn, cw_time_us_t now)
{
    uint32_t         via = cw_detours_via(router->detours, suspect->address, now);
    const cw_peer_t *intermediate = via == 0 ? NULL : cw_peer_link_find(router->link, via);
    Cwp__Detour      detour = detour_to(router, suspect->address);
    uint32_t         way;

    detour.is_probe = true;
    if (intermediate != NULL) {
        send_detour(router, intermediate, &detour);
    }
    for (way = 0; way < CW_DETOUR_INDIRECT_PROBES; way++) {
        intermediate = intermediate_at(router, turn * CW_DETOUR_INDIRECT_PROBES + way, now);
        if (intermediate != NULL && intermediate->address != via) {
            send_detour(router, intermediate, &detour);
        }
    }
}

void cw_router_detours_tick(cw_router_t *router, cw_time_us_t now)
{
    const cw_peer_t *peer;
    uint32_t         turn;

    for (peer = cw_peer_link_peers(router->link); peer != NULL; peer = peer->next) {
        if (is_suspect(router, peer, now) && cw_detours_begin_probe(router->detours, peer->address, now, &turn)) {
            probe(router, peer, turn, now);
        }
    }
    cw_detours_expire(router->detours, now);
    cw_metric_set(CW_METRIC_DETOURS, cw_detours_count(router->detours, now));
}

/* ---- receiving ---- */

/* Applies the name, zone and capability of an origin that this node has never received from directly. */
static void apply_identity(const cw_router_t *router, cw_peer_t *origin, const Cwp__Detour *detour)
{
    if (origin->last_received_at != 0) {
        return;
    }
    cw_text_copy(origin->node, sizeof(origin->node), detour->node);
    cw_peer_link_set_peer_zone(router->link, origin, detour->zone);
    origin->capability = detour->capability;
}

static bool may_go_by_detour(const Cwp__Datagram *datagram)
{
    switch (datagram->content_case) {
    case CWP__DATAGRAM__CONTENT_QUOTA_REPORT:
    case CWP__DATAGRAM__CONTENT_QUOTA_STATUS:
    case CWP__DATAGRAM__CONTENT_QUOTA_ASK:
    case CWP__DATAGRAM__CONTENT_QUOTA_GRANT:
    case CWP__DATAGRAM__CONTENT_QUOTA_RETURN:
    case CWP__DATAGRAM__CONTENT_SLOT_ASK:
    case CWP__DATAGRAM__CONTENT_SLOT_REPLY:
    case CWP__DATAGRAM__CONTENT_SLOT_RETURN:
        return true;
    default:
        return false;
    }
}

static void deliver(cw_router_t *router, cw_peer_t *origin, const Cwp__Detour *detour)
{
    Cwp__Datagram *datagram = cwp__datagram__unpack(NULL, detour->datagram.len, detour->datagram.data);

    if (datagram == NULL) {
        return; /* of a later version; like every datagram that cannot be decoded, it is ignored */
    }
    if (may_go_by_detour(datagram)) {
        cw_router_on_datagram(router, origin, datagram);
    }
    cwp__datagram__free_unpacked(datagram, NULL);
}

/* Handles a detour whose destination is this node. A probe proves only that the origin's datagrams arrive here. The
 * reply to it, and all later datagrams, prove that both directions work. */
static void handle_addressed_here(cw_router_t *router, const cw_peer_t *sender, const Cwp__Detour *detour)
{
    cw_time_us_t now = cw_router_now(router);
    cw_peer_t   *origin = cw_peer_link_learn(router->link, detour->origin, now);
    Cwp__Detour  reply;

    if (origin == NULL) {
        return; /* the origin is this node itself, or not an address */
    }
    apply_identity(router, origin, detour);
    if (detour->is_probe) {
        reply = detour_to(router, detour->origin);
        send_detour(router, sender, &reply);
        return;
    }
    cw_detours_received(router->detours, detour->origin, sender->address, now);
    if (detour->datagram.len > 0) {
        deliver(router, origin, detour);
    }
}

static void forward_detour(cw_router_t *router, const Cwp__Detour *detour)
{
    const cw_peer_t *destination = cw_peer_link_find(router->link, detour->destination);
    Cwp__Detour      passed = *detour;

    if (destination != NULL && destination->last_received_at != 0 && !destination->is_lost) {
        send_detour(router, destination, &passed);
    }
}

void cw_router_handle_detour(cw_router_t *router, const cw_peer_t *sender, const Cwp__Detour *detour)
{
    if (detour->destination == own_address(router)) {
        handle_addressed_here(router, sender, detour);
    } else if (detour->origin == sender->address) { /* only one intermediate node, so that no datagram circulates */
        forward_detour(router, detour);
    }
}
