/**
 * @file router_status.c
 * @brief A node's status as JSON.
 */
#include "router/router_status.h"

#include <stdlib.h>
#include <string.h>

static json_t *leadership_json(const cw_router_t *router, cw_time_us_t now)
{
    const cw_leadership_t *leadership = &router->leadership;

    return json_pack("{s:s, s:I, s:I, s:I, s:b, s:I}", "leader", router->leader.node, "term",
                     (json_int_t)(leadership->leading ? leadership->lock.term : router->leader.term), "revision",
                     (json_int_t)cw_store_revision_count(leadership->revision), "store_epoch",
                     (json_int_t)leadership->epochs.current, "leading", cw_router_has_authority(router, now),
                     "authority_left_ms",
                     (json_int_t)(cw_router_has_authority(router, now) ? (leadership->authority_end - now) / 1000 : 0));
}

static const char *phase_text(const cw_range_t *range)
{
    switch (range->phase) {
    case CW_RANGE_RELEASING:
        return "releasing";
    case CW_RANGE_GRANTING:
        return "granting";
    case CW_RANGE_HELD:
        return range->failing_since == 0 ? "held" : "not confirmed";
    }
    return "";
}

static json_t *range_json(const cw_range_t *range, cw_time_us_t now)
{
    return json_pack("{s:I, s:I, s:s, s:I, s:s, s:I, s:s}", "low", (json_int_t)range->low, "last",
                     (json_int_t)range->last, "server", range->owner.id, "fence", (json_int_t)range->owner.fence,
                     "phase", phase_text(range), "hold_left_ms", (json_int_t)((range->hold_until - now) / 1000),
                     "former", range->former.id);
}

static json_t *assignments_json(const cw_router_t *router, cw_time_us_t now)
{
    json_t *services = json_object();
    size_t  index;
    size_t  position;

    for (index = 0; index < router->assignment_count; index++) {
        const cw_range_list_t *ranges = cw_assigner_ranges(router->assignments[index].assigner);
        json_t                *list = json_array();

        for (position = 0; position < ranges->count; position++) {
            json_array_append_new(list, range_json(&ranges->items[position], now));
        }
        json_object_set_new(services, cw_assigner_service(router->assignments[index].assigner), list);
    }
    return services;
}

static json_t *peers_json(const cw_router_t *router, cw_time_us_t now)
{
    json_t          *peers = json_array();
    const cw_peer_t *peer;

    for (peer = cw_peer_link_peers(router->link); peer != NULL; peer = peer->next) {
        if (peer->last_received_at != 0) {
            json_array_append_new(peers, json_pack("{s:s, s:s, s:I}", "node", peer->node, "address", peer->text,
                                                   "silent_ms", (json_int_t)((now - peer->last_received_at) / 1000)));
        }
    }
    return peers;
}

static json_t *servers_json(cw_router_t *router, cw_time_us_t now)
{
    json_t      *servers = json_array();
    cw_server_t *server;
    cw_server_t *next;

    HASH_ITER(by_id, cw_server_pool_all(router->pool), server, next)
    {
        json_array_append_new(servers, json_pack("{s:s, s:s, s:b, s:I, s:I, s:f, s:b, s:b}", "id", server->id,
                                                 "service", server->service, "draining", server->draining, "own",
                                                 (json_int_t)server->own, "others", (json_int_t)server->others, "pace",
                                                 server->pace, "avoided", server->avoid_until > now || server->ended,
                                                 "cold", cw_server_is_cold(server, now)));
    }
    return servers;
}

static json_t *measures_json(const cw_router_t *router)
{
    json_t *services = json_object();
    size_t  index;

    for (index = 0; index < router->assignment_count; index++) {
        const cw_ownership_measures_t *measures = &router->assignments[index].measures;

        json_object_set_new(services, cw_assigner_service(router->assignments[index].assigner),
                            json_pack("{s:f, s:f, s:f, s:f, s:f, s:f, s:f}", "imbalance", measures->imbalance,
                                      "imbalance_mean", cw_ownership_measures_imbalance(measures), "keys_moved",
                                      measures->moved_keys / (CW_KEY_LAST + 1), "keys_moved_cold",
                                      measures->moved_cold_keys / (CW_KEY_LAST + 1), "load_moved", measures->moved_load,
                                      "unavailable_key_s", measures->unavailable_key_s, "unavailable_longest_s",
                                      measures->unavailable_longest_s));
    }
    return services;
}

static json_t *zones_out_json(const cw_router_t *router)
{
    const cw_server_list_t *list = router->server_view.list;
    json_t                 *zones = json_array();
    size_t                  index;

    for (index = 0; list != NULL && index < list->zones_out.count; index++) {
        json_array_append_new(zones, json_string(list->zones_out.names[index]));
    }
    return zones;
}

char *cw_router_status(cw_router_t *router)
{
    cw_time_us_t now = cw_router_now(router);
    json_t      *status =
        json_pack("{s:s, s:s, s:b, s:I, s:o, s:I, s:I, s:b, s:I, s:o, s:o, s:o, s:o, s:o}", "node",
                  router->settings.node, "zone", router->settings.zone, "stopping", router->stopping_at != 0,
                  "configuration", (json_int_t)(router->configuration == NULL ? 0 : router->configuration->version),
                  "leadership", leadership_json(router, now), "servers_age_ms",
                  (json_int_t)((now - router->server_view.evidence.valid_at) / 1000), "tables_age_ms",
                  (json_int_t)((now - router->tables_valid_at) / 1000), "store_lost",
                  router->store_availability.is_lost, "queued", (json_int_t)cw_engine_queued(router->engine),
                  "assignments", assignments_json(router, now), "peers", peers_json(router, now), "measures",
                  measures_json(router), "servers", servers_json(router, now), "zones_out", zones_out_json(router));
    char *text;

    if (status != NULL) {
        json_object_set_new(status, "orders", cw_router_status_orders(router, now));
        json_object_set_new(status, "refused", cw_router_status_refused());
        json_object_set_new(status, "tenants", cw_router_status_tenants(router));
        json_object_set_new(status, "sent", cw_router_status_sent(router));
        json_object_set_new(status, "pipelines", cw_router_status_pipelines());
    }
    text = status == NULL ? strdup("{}")
                          : json_dumps(status, JSON_COMPACT); /* json_pack returns NULL if a name is not UTF-8 */

    json_decref(status);
    if (text == NULL) {
        abort();
    }
    return text;
}
