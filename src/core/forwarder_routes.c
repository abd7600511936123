/**
 * @file forwarder_routes.c
 * @brief Follows the route table: which ranges this node forwards for, and under which fence.
 */
#include <stdlib.h>
#include <string.h>

#include "core/forwarder_internal.h"

enum { SLOW_START_US = CW_US_PER_S };

typedef struct routes_visit {
    cw_forwarder_t        *forwarder;
    const Cw__ServerInfo  *info;
    cw_forwarder_server_t *server;
    cw_instant_t           now;
} routes_visit_t;

void cw_forwarder_remove_range(cw_forwarder_t *forwarder, cw_forwarder_range_t *range)
{
    cw_forwarder_opening_stop(forwarder, range);
    HASH_DEL(forwarder->ranges, range);
    free(range);
}

static cw_forwarder_range_t *get_range(cw_forwarder_t *forwarder, cw_range_id_t id)
{
    cw_forwarder_range_t *found = NULL;

    HASH_FIND(hh, forwarder->ranges, &id, sizeof(id), found);
    if (found != NULL) {
        return found;
    }
    found = calloc(1, sizeof(*found));
    if (found != NULL) {
        found->id = id;
        HASH_ADD(hh, forwarder->ranges, id, sizeof(found->id), found);
    }
    return found;
}

/* The journal sets are those of the fence: a change of them always comes with a new fence. */
static void take_new_fence(cw_forwarder_t *forwarder, cw_forwarder_range_t *range, const Cw__RangeInfo *info,
                           cw_fence_t fence, cw_instant_t now)
{
    range->service = info->service;
    range->low = info->low;
    range->last = info->last;
    range->server = info->server;
    range->fence = fence;
    range->deposed = false;
    range->valid_from_ms = info->journal_valid_from_ms;
    cw_replica_set_read(&range->own, info->journal, info->n_journal);
    cw_replica_set_read(&range->former, info->former_journal, info->n_former_journal);
    if (info->state == CW__RANGE_STATE__RANGE_GRANTED) {
        cw_forwarder_opening_start(forwarder, range, now);
    } else {
        cw_forwarder_opening_stop(forwarder, range);
    }
}

/* A server's first ranges, granted later than its forwarder was named: it is cold. */
static void check_slow_start(const routes_visit_t *visit, const Cw__RangeInfo *info)
{
    cw_forwarder_t        *forwarder = visit->forwarder;
    cw_forwarder_server_t *server = visit->server;
    cw_fence_t             range_fence = cw_fence_from_message(info->fence);
    cw_fence_t             server_fence = cw_fence_from_message(visit->info->fence);

    server->range_count++;
    if (server->had_ranges || server->range_count > 1 || cw_fence_compare(range_fence, server_fence) <= 0) {
        return;
    }
    server->warm_at_us = visit->now.monotonic_us + SLOW_START_US;
    (void)cw_timer_heap_set(&forwarder->warm_timers, &server->warm_timer, server->warm_at_us);
}

static bool visit_range(void *context, const Cw__RangeInfo *info)
{
    routes_visit_t       *visit = context;
    cw_forwarder_t       *forwarder = visit->forwarder;
    cw_fence_t            fence = cw_fence_effective(info, visit->info);
    cw_forwarder_range_t *range;

    if (info->state == CW__RANGE_STATE__RANGE_UNASSIGNED) {
        return true;
    }
    range = get_range(forwarder, info->id);
    if (range == NULL) {
        return true;
    }
    check_slow_start(visit, info);
    range->routes_pass = forwarder->routes_pass;
    range->revoking = info->state == CW__RANGE_STATE__RANGE_REVOKING;
    if (cw_fence_compare(fence, range->fence) != 0) {
        take_new_fence(forwarder, range, info, fence, visit->now);
    }
    return true;
}

static bool visit_server(void *context, const Cw__ServerInfo *info)
{
    routes_visit_t       *visit = context;
    const cw_forwarder_t *forwarder = visit->forwarder;

    if (info->forwarder != forwarder->options.node || info->forwarder_incarnation != forwarder->options.incarnation) {
        return true;
    }
    visit->server = cw_forwarder_server_get(visit->forwarder, info->server);
    if (visit->server == NULL) {
        return true;
    }
    visit->info = info;
    visit->server->routes_pass = forwarder->routes_pass;
    visit->server->had_ranges = visit->server->range_count > 0;
    visit->server->range_count = 0;
    cw_control_state_each_server_range(forwarder->routes, info->server, visit_range, visit);
    return true;
}

static void remove_lost_ranges(cw_forwarder_t *forwarder)
{
    cw_forwarder_range_t *range;
    cw_forwarder_range_t *next;

    HASH_ITER(hh, forwarder->ranges, range, next)
    {
        if (range->routes_pass != forwarder->routes_pass) {
            cw_forwarder_remove_range(forwarder, range);
        }
    }
}

/* Requests that were not sent yet and whose route is gone. Those in flight end by the server's answer. */
static void refuse_lost_requests(cw_forwarder_t *forwarder, cw_instant_t now)
{
    cw_forwarder_request_t *request;
    cw_forwarder_request_t *next;
    cw_forwarder_range_t   *range;
    cw_reason_t             reason;

    HASH_ITER(hh, forwarder->requests, request, next)
    {
        if (request->phase == CW_REQUEST_SENT) {
            continue;
        }
        reason = cw_forwarder_check_route(forwarder, request->message, &range);
        if (reason != CW_REASON_NONE) {
            cw_forwarder_refuse_unsent(forwarder, request, reason, now);
        }
    }
}

static void remove_lost_servers(cw_forwarder_t *forwarder)
{
    cw_forwarder_server_t *server;
    cw_forwarder_server_t *next;

    HASH_ITER(hh, forwarder->servers, server, next)
    {
        if (server->routes_pass != forwarder->routes_pass && server->in_flight == 0 &&
            cw_forwarder_queue_length(server) == 0) {
            cw_forwarder_server_remove(forwarder, server);
        }
    }
}

/* The number of slots may have grown. */
static void pump_servers(cw_forwarder_t *forwarder, cw_instant_t now)
{
    cw_forwarder_server_t *server;

    for (server = forwarder->servers; server != NULL; server = server->hh.next) {
        cw_forwarder_pump(forwarder, server, now);
    }
}

void cw_forwarder_routes_changed(cw_forwarder_t *forwarder, const cw_control_state_t *routes, cw_instant_t now)
{
    routes_visit_t visit = {forwarder, NULL, NULL, now};

    forwarder->routes = routes;
    forwarder->routes_pass++;
    cw_control_state_each_server(routes, visit_server, &visit);
    remove_lost_ranges(forwarder);
    refuse_lost_requests(forwarder, now);
    remove_lost_servers(forwarder);
    pump_servers(forwarder, now);
}
