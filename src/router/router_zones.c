/**
 * @file router_zones.c
 * @brief Connects zones out of service (zone_service.h) and the rate of cold servers (cold_rate.h) with the node.
 */
#include <stdlib.h>

#include "router/router_internal.h"

enum {
    /* Interval of updating the nodes that share cold servers; well below the timeout of a peer. */
    NODES_REFRESH_MS = 100
};

void cw_router_zones_init(cw_router_t *router)
{
    router->zones = cw_zone_service_create(router->settings.zone_out_within);
    router->cold_rate = cw_cold_rate_create(cw_peer_link_own_address(router->link));
    cw_server_pool_set_cold_rate(router->pool, router->cold_rate);
}

static void log_zone_change(void *context, const char *zone, cw_zone_change_t change)
{
    const cw_router_t *router = context;
    cw_event_t         event;

    if (cw_event_begin(&event, change == CW_ZONE_TAKEN_OUT ? CW_EVENT_ZONE_OUT : CW_EVENT_ZONE_BACK)) {
        cw_event_text(&event, CW_FIELD_ZONE, zone);
        cw_event_number(&event, CW_FIELD_REVISION, (int64_t)cw_store_revision_count(router->server_view.revision));
        cw_event_ms(&event, CW_FIELD_LEFT_MS,
                    change == CW_ZONE_TAKEN_OUT
                        ? cw_zone_service_owners_until(router->zones, zone) - cw_router_now(router)
                        : 0);
        cw_event_end(&event);
    }
}

void cw_router_apply_zones(cw_router_t *router, cw_time_us_t before_valid_at, cw_time_us_t now)
{
    const cw_name_set_t *out = &router->server_view.list->zones_out;

    cw_zone_service_apply(router->zones, out, before_valid_at, now, log_zone_change, router);
    cw_server_pool_set_zones(router->pool, router->zones);
    cw_metric_set(CW_METRIC_ZONES_OUT, out->count);
}

void cw_router_apply_warm_ups(cw_router_t *router)
{
    size_t index;

    for (index = 0; index < router->configuration->service_count; index++) {
        const cw_service_t *service = &router->configuration->services[index];
        cw_warm_up_t        warm_up = {.duration = service->cold_time, .per_s = service->cold_per_s};

        cw_server_pool_set_warm_up(router->pool, service->name, &warm_up);
    }
}

/* Addresses of the nodes that this one receives from, in memory that the caller frees. */
static size_t list_live_nodes(const cw_router_t *router, uint32_t **addresses)
{
    size_t           count = 0;
    const cw_peer_t *peer;

    for (peer = cw_peer_link_peers(router->link); peer != NULL; peer = peer->next) {
        count += peer->last_received_at != 0 && !peer->is_lost ? 1 : 0;
    }
    *addresses = calloc(count + 1, sizeof(**addresses));
    if (*addresses == NULL) {
        abort();
    }
    count = 0;
    for (peer = cw_peer_link_peers(router->link); peer != NULL; peer = peer->next) {
        if (peer->last_received_at != 0 && !peer->is_lost) {
            (*addresses)[count++] = peer->address;
        }
    }
    return count;
}

void cw_router_zones_tick(cw_router_t *router, cw_time_us_t now)
{
    uint32_t *addresses = NULL;
    size_t    count;

    if (now - router->cold_rate_nodes_updated_at < CW_MS(NODES_REFRESH_MS)) {
        return;
    }
    router->cold_rate_nodes_updated_at = now;
    count = list_live_nodes(router, &addresses);
    cw_cold_rate_set_nodes(router->cold_rate, addresses, count, now);
    free(addresses);
}
