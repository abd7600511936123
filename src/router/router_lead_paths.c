/**
 * @file router_lead_paths.c
 * @brief Which nodes may lead while some have lost their paths to the servers of a service that is divided by key.
 *
 * Rules:
 *  - A node that has lost them steps down, and takes the lock later than others, while it knows a node that has lost
 *    none.
 *  - While another node states such a loss, a node takes the lock only after a server of the service has answered it
 *    within PROOF_FRESH_MS: what has cut off one node may have cut off this one, too, and each leader without paths
 *    delays the next grants. It probes servers when its turn to take the lock has come, so only a few nodes do.
 */
#include "router/router_paths.h"

enum { PROOF_FRESH_MS = 1000 };

bool cw_router_leaves_lead_for_paths(const cw_router_t *router, cw_time_us_t now)
{
    size_t index;

    for (index = 0; router->configuration != NULL && index < router->configuration->service_count; index++) {
        const cw_service_t *service = &router->configuration->services[index];

        if (service->keyed && cw_router_has_lost_paths(router, cw_name_hash(service->name))) {
            return cw_router_knows_peer_with_paths(router, now);
        }
    }
    return false;
}

static bool is_loss_stated(const cw_router_t *router, uint32_t service, cw_time_us_t now)
{
    const cw_peer_t *peer;

    for (peer = cw_peer_link_peers(router->link); peer != NULL; peer = peer->next) {
        if (cw_router_is_alive(router, peer, now) && cw_peer_paths_lack(&peer->paths, service)) {
            return true;
        }
    }
    return false;
}

bool cw_router_awaits_proof_of_paths(cw_router_t *router, cw_time_us_t now)
{
    bool   awaits = false;
    size_t index;

    if (!cw_leadership_is_turn_to_take(&router->leadership, now) || router->configuration == NULL) {
        return false;
    }
    for (index = 0; index < router->configuration->service_count; index++) {
        const cw_service_t *service = &router->configuration->services[index];
        uint32_t            hash = cw_name_hash(service->name);

        if (service->keyed && is_loss_stated(router, hash, now)) {
            awaits = !cw_router_has_proof_of_paths(router, hash, CW_MS(PROOF_FRESH_MS), now) || awaits;
        }
    }
    return awaits;
}
