/**
 * @file router_plan.c
 * @brief The leader's plans of the ownership of one service's keys: when a plan is made, and from which servers.
 *
 * Rules:
 *  - The first plan waits until the servers have registered, and a list that lacks most owners is doubted for a while
 *    (plan_timing.h).
 *  - A server is assigned keys only while it is not leaving (by its entry, or by its own answers), its zone is in
 *    service, and this node has no reason to avoid it. A cold server whose rate is bounded is assigned none, since an
 *    owner gets all requests for its keys.
 *  - A server that states a rate limit has no more capacity than that, however many slots it has.
 *  - A server is assigned none if it is in a region to which no route to the service, or no tenant, may send
 *    (region_owners.h).
 *  - A server that orders have not reached, that this leader has not reached yet (order_trust.h), or whose last order
 *    got no answer (server_contact.h), is assigned none while another one can be.
 */
#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "base/memory.h"
#include "placement/region_owners.h"
#include "router/router_internal.h"

enum {
    PLAN_EVERY_MS = 300,
    MEASURE_LOAD_EVERY_MS = 1000,
    /* Ranges measured per tick; with more ranges, the interval between measurements grows in proportion. */
    RANGES_PER_TICK = 512,
    INITIAL_CAPACITY = 64,
    PROBES_PER_PLAN = 64,   /* several times as many as servers that a plan gives keys */
    PROBE_TIMEOUT_MS = 350, /* for the answer; a probe may have to wait for a slot of its server */
    PARTS_PER_MILLION = 1000000
};

/** The servers of a service in the planner's form. The memory is reused for the next plan. */
typedef struct planned_servers {
    cw_planner_server_t *items;
    size_t               count;
    size_t               capacity;
} planned_servers_t;

/** Caches cw_region_may_own, which goes through all routes and tenants, for the few regions of a service's servers. */
typedef struct region_cache {
    const char *regions[CW_ZONES_MAX];
    bool        may_own[CW_ZONES_MAX];
    size_t      count;
} region_cache_t;

static bool may_own(region_cache_t *cache, const cw_configuration_t *configuration, const char *service,
                    const char *region)
{
    size_t index = 0;

    while (index < cache->count && strcmp(cache->regions[index], region) != 0) {
        index++;
    }
    if (index == CW_ZONES_MAX) { /* the cache is full: only the result is not kept */
        return cw_region_may_own(configuration, service, region);
    }
    if (index == cache->count) {
        cache->regions[index] = region;
        cache->may_own[index] = cw_region_may_own(configuration, service, region);
        cache->count++;
    }
    return cache->may_own[index];
}

static cw_planner_server_t *add_server(planned_servers_t *servers)
{
    if (servers->count == servers->capacity) {
        servers->capacity = servers->capacity == 0 ? INITIAL_CAPACITY : 2 * servers->capacity;
        servers->items = cw_memory_resize(servers->items, servers->capacity * sizeof(*servers->items));
    }
    memset(&servers->items[servers->count], 0, sizeof(*servers->items));
    return &servers->items[servers->count++];
}

/* ---- servers that this leader has reached ---- */

/** A probe in flight of a server that the leader has not reached. */
typedef struct lead_probe {
    cw_router_t *router;
    uint32_t     server; /* hash of its id */
} lead_probe_t;

static void on_probed(void *context, bool is_answered)
{
    lead_probe_t *probe = context;

    if (is_answered) {
        cw_order_trust_record_answer(probe->router->order_trust, probe->server);
    }
    free(probe);
}

static void begin_probe(cw_router_t *router, const cw_server_t *server)
{
    lead_probe_t *probe = cw_memory_zeroed(sizeof(*probe));

    *probe = (lead_probe_t){router, server->hash};
    router->adapter->probe_server(router->platform, server->address, CW_MS(PROBE_TIMEOUT_MS), on_probed, probe);
}

/* Whether the server's last order got no answer. */
static bool is_unanswering(const cw_assigner_t *assigner, const char *id)
{
    const cw_server_contact_t *contact = cw_server_contacts_find(cw_assigner_contacts(assigner), id);

    return contact != NULL && contact->unanswered_since != 0;
}

/* Whether the server gets keys only if no other one can. probes: how many more may begin. */
static bool is_doubted(cw_router_t *router, const cw_server_t *server, uint32_t *probes, cw_time_us_t now)
{
    if (cw_order_trust_is_doubted(router->order_trust, server->hash, server->served, now)) {
        return true;
    }
    if (*probes > 0 && cw_order_trust_begin_probe(router->order_trust, server->hash, now)) {
        (*probes)--;
        begin_probe(router, server);
    }
    return !cw_order_trust_has_reached(router->order_trust, server->hash);
}

/* Lists the servers of the service in the order of their ids, as in the list. */
static void list_servers(cw_router_t *router, const cw_assigner_t *assigner, planned_servers_t *servers,
                         cw_time_us_t now)
{
    const char    *service = cw_assigner_service(assigner);
    double         usual_time_s = (double)cw_engine_mean_time(router->engine, service) / 1e6;
    region_cache_t cache = {.count = 0};
    uint32_t       probes = PROBES_PER_PLAN;
    size_t         index;

    servers->count = 0;
    for (index = 0; index < router->server_view.list->count; index++) {
        const cw_server_entry_t *entry = &router->server_view.list->entries[index];
        cw_server_t             *server;
        cw_planner_server_t     *planned;

        if (strcmp(entry->service, service) != 0) {
            continue;
        }
        server = cw_server_pool_find(router->pool, entry->id);
        planned = add_server(servers);
        planned->entry = entry;
        planned->is_barred = cw_zone_service_is_out(router->zones, entry->zone) ||
                             (server != NULL && server->announced_leaving) ||
                             (server != NULL && !may_own(&cache, router->configuration, service, server->region));
        planned->usable = !entry->draining && !planned->is_barred && server != NULL && server->avoid_until <= now &&
                          !cw_server_is_rate_bounded(server, now);
        planned->is_doubted =
            planned->usable && (is_doubted(router, server, &probes, now) || is_unanswering(assigner, entry->id));
        planned->region = server == NULL ? 0 : server->region_bit;
        planned->pace = server == NULL ? 1 : server->pace;
        planned->cost_s = usual_time_s * planned->pace / (entry->capacity == 0 ? 1 : entry->capacity);
        if (server != NULL && cw_server_is_limited(server, now)) {
            planned->cost_s = fmax(planned->cost_s, 1 / cw_server_limit_rate(&server->limit));
        }
    }
}

static void plan_first(const cw_router_t *router, cw_service_assignment_t *assignment, const planned_servers_t *servers,
                       cw_time_us_t now)
{
    const cw_server_entry_t **usable = calloc(servers->count + 1, sizeof(const cw_server_entry_t *));
    size_t                    usable_count = 0;
    size_t                    index;

    if (usable == NULL) {
        abort();
    }
    for (index = 0; index < servers->count; index++) {
        if (servers->items[index].usable) {
            usable[usable_count++] = servers->items[index].entry;
        }
    }
    if (cw_plan_timing_is_first_due(&assignment->timing, usable_count, router->settings.heartbeat, now)) {
        cw_assigner_plan_first(assignment->assigner, usable, usable_count, now);
    }
    free(usable);
}

/* Whether the list may lack owners that an earlier leader has chosen by a later list: it is from before the record was
 * read. If no later list can be read for as long as servers have to register again, the missing owners move; they have
 * to release their keys in any case. */
static bool is_list_older(const cw_router_t *router, const cw_service_assignment_t *assignment, cw_time_us_t now)
{
    cw_time_us_t adopted_at = cw_assigner_adopted_at(assignment->assigner);

    return router->server_view.evidence.valid_at < adopted_at && now - adopted_at < router->server_view.absence.grace;
}

/* Lets the list be read without waiting for its usual interval, unless a reading that began late enough is in flight.
 */
static void request_later_list(cw_router_t *router, const cw_service_assignment_t *assignment)
{
    if (!router->reading_servers && router->servers_read_at < cw_assigner_adopted_at(assignment->assigner)) {
        router->servers_read_at = 0;
    }
}

/* Whether to doubt the list of servers. A leader that has just started has no list from before an outage to compare
 * with; that many owners are missing is its only sign of one. */
static bool doubts_list(cw_router_t *router, cw_service_assignment_t *assignment, cw_time_us_t now)
{
    double missing = cw_planner_missing_share(assignment->assigner, router->server_view.list);

    if (is_list_older(router, assignment, now)) {
        request_later_list(router, assignment);
        return true;
    }
    return cw_plan_timing_doubts_list(&assignment->timing, missing, router->server_view.absence.grace, now);
}

void cw_router_measure(cw_service_assignment_t *assignment, cw_time_us_t now)
{
    cw_ownership_measures_t *measures = &assignment->measures;
    const cw_range_list_t   *ranges = cw_assigner_ranges(assignment->assigner);
    double                   keys = measures->moved_keys;
    double                   cold = measures->moved_cold_keys;
    double                   load = measures->moved_load;
    double                   unavailable_s = measures->unavailable_key_s;
    double                   weighted_s = measures->imbalance_weighted_s;
    double                   measured_s = measures->imbalance_s;

    if (now - measures->observed_at < CW_MS(CW_TICK_MS) * (cw_time_us_t)(ranges->count / RANGES_PER_TICK)) {
        return;
    }
    cw_ownership_measures_observe(measures, ranges, now);
    if (now - assignment->measured_load_at >= CW_MS(MEASURE_LOAD_EVERY_MS)) {
        assignment->measured_load_at = now;
        cw_ownership_measures_observe_load(measures, ranges, &assignment->window, now);
    }
    cw_metric_add(CW_METRIC_MOVED_KEYS, (uint64_t)(measures->moved_keys - keys));
    cw_metric_add(CW_METRIC_MOVED_COLD_KEYS, (uint64_t)(measures->moved_cold_keys - cold));
    cw_metric_add(CW_METRIC_MOVED_LOAD_PPM, (uint64_t)((measures->moved_load - load) * PARTS_PER_MILLION));
    cw_metric_add(CW_METRIC_UNAVAILABLE_KEY_MS, (uint64_t)((measures->unavailable_key_s - unavailable_s) * 1000));
    cw_metric_add(CW_METRIC_IMBALANCE_WEIGHTED_MS, (uint64_t)((measures->imbalance_weighted_s - weighted_s) * 1000));
    cw_metric_add(CW_METRIC_IMBALANCE_MS, (uint64_t)((measures->imbalance_s - measured_s) * 1000));
    if (measures->unavailable_longest_s * 1000 > (double)cw_metric_value(CW_METRIC_UNAVAILABLE_LONGEST_MS)) {
        cw_metric_set(CW_METRIC_UNAVAILABLE_LONGEST_MS, (uint64_t)(measures->unavailable_longest_s * 1000));
    }
}

void cw_router_plan(cw_router_t *router, cw_service_assignment_t *assignment, cw_time_us_t now)
{
    static planned_servers_t servers; /* calls do not nest */
    size_t                   changes;
    cw_event_t               event;

    if (router->server_view.list == NULL || now < assignment->next_plan ||
        !cw_assigner_may_plan(assignment->assigner)) {
        return;
    }
    assignment->next_plan = now + CW_MS(PLAN_EVERY_MS);
    list_servers(router, assignment->assigner, &servers, now);
    if (cw_assigner_state(assignment->assigner) == CW_ASSIGNER_EMPTY) {
        plan_first(router, assignment, &servers, now);
        return;
    }
    changes = cw_planner_run(&(cw_planner_input_t){
        .assigner = assignment->assigner,
        .settings = &cw_planner_defaults,
        .servers = servers.items,
        .server_count = servers.count,
        .list = router->server_view.list,
        .window = &assignment->window,
        .crossing_cost = cw_engine_crossing_share(router->engine, cw_assigner_service(assignment->assigner)),
        .doubts_list = doubts_list(router, assignment, now),
        .now = now});
    if (changes > 0 && cw_event_begin(&event, CW_EVENT_PLAN_WRITTEN)) {
        cw_event_text(&event, CW_FIELD_SERVICE, cw_assigner_service(assignment->assigner));
        cw_event_number(&event, CW_FIELD_CHANGED, (int64_t)changes);
        cw_event_number(&event, CW_FIELD_COUNT, (int64_t)cw_assigner_ranges(assignment->assigner)->count);
        cw_event_end(&event);
    }
    cw_metric_add(CW_METRIC_MOVES, changes);
}
