/**
 * @file engine_queue.c
 * @brief The order of the requests that wait for a service, and the estimate of when each is answered.
 */
#include <string.h>
#include <utlist.h>

#include "proxy/engine_internal.h"

/* Order of the queue: rank, then turn, then deadline. An added request comes after its equals. */
static int compare_for_insertion(const cw_request_t *waiting, const cw_request_t *added)
{
    if (waiting->rank != added->rank) {
        return waiting->rank < added->rank ? -1 : 1;
    }
    if (waiting->turn != added->turn) {
        return waiting->turn < added->turn ? -1 : 1;
    }
    return waiting->deadline <= added->deadline ? -1 : 1;
}

static cw_turn_group_t turn_group(const cw_request_t *request)
{
    return cw_fair_turns_group(request->service->hash, request->rank);
}

void cw_request_enqueue(cw_request_t *request)
{
    request->turn = cw_fair_turns_next(request->engine->turns, turn_group(request), request->tenant_hash);
    cw_fair_turns_wait(request->engine->turns, turn_group(request), request->tenant_hash, request->turn);
    DL_INSERT_INORDER(request->service->queue, request, compare_for_insertion);
    request->service->queued++;
    request->engine->queued++;
    request->is_queued = true;
    request->engine->changed = true;
}

static void leave_queue(cw_request_t *request)
{
    DL_DELETE(request->service->queue, request);
    request->service->queued--;
    request->engine->queued--;
    request->is_queued = false;
}

void cw_request_unqueue(cw_request_t *request)
{
    if (request->is_queued) {
        leave_queue(request);
        cw_fair_turns_leave(request->engine->turns, turn_group(request), request->tenant_hash);
    }
}

void cw_request_take_turn(cw_request_t *request)
{
    if (request->is_queued) {
        leave_queue(request);
        cw_fair_turns_serve(request->engine->turns, turn_group(request), request->tenant_hash, request->turn);
    }
}

/* ---- estimate ---- */

cw_server_t *cw_request_owner(const cw_request_t *request)
{
    const cw_key_route_t *entry = cw_engine_owner(request->engine, request->service, request->key);
    cw_server_t          *server;

    if (entry == NULL || !entry->routable) {
        return NULL;
    }
    server = cw_server_pool_find(request->engine->pool, entry->server);
    return server == NULL || server->ended ? NULL : server;
}

/* Counts the requests before this one that wait for the same owner of keys. */
static uint32_t count_ahead_at_owner(const cw_request_t *request, const cw_server_t *server)
{
    const cw_request_t *other;
    uint32_t            ahead = 0;

    DL_FOREACH(request->service->queue, other)
    {
        if (other == request) {
            break;
        }
        if (other->is_keyed && cw_request_owner(other) == server) {
            ahead++;
        }
    }
    return ahead;
}

void cw_engine_count_waiting(cw_engine_t *engine)
{
    cw_service_state_t *service;
    cw_service_state_t *next_service;
    cw_server_t        *server;
    cw_server_t        *next_server;
    const cw_request_t *request;

    HASH_ITER(by_id, cw_server_pool_all(engine->pool), server, next_server)
    {
        server->own_waiting = 0;
    }
    HASH_ITER(hh, engine->services, service, next_service)
    {
        DL_FOREACH(service->queue, request)
        {
            server = request->is_keyed ? cw_request_owner(request) : NULL;
            if (server != NULL) {
                server->own_waiting++;
            }
        }
    }
}

uint32_t cw_request_count_ahead(const cw_request_t *request)
{
    const cw_request_t *other;
    uint32_t            ahead = 0;

    DL_FOREACH(request->service->queue, other)
    {
        if (other == request) {
            break;
        }
        ahead++;
    }
    return ahead;
}

static cw_time_us_t estimate_keyed(const cw_request_t *request, cw_time_us_t now)
{
    const cw_server_t *server = cw_request_owner(request);
    cw_time_us_t       expected;
    int64_t            before;

    if (server == NULL) {
        return CW_NEVER;
    }
    expected = (cw_time_us_t)((double)request->route_state->mean_time * server->pace);
    before = (int64_t)server->own + server->others + count_ahead_at_owner(request, server) + server->others_waiting +
             1 - server->capacity;
    return now + expected + (before > 0 ? before * expected / (server->capacity == 0 ? 1 : server->capacity) : 0);
}

/* Time until `waiting` requests have been started at that speed; CW_NEVER: the speed is 0. */
static cw_time_us_t drain_time(const cw_request_t *request, double waiting, double speed)
{
    return speed <= 0 ? CW_NEVER : (cw_time_us_t)(waiting * (double)request->route_state->mean_time / speed);
}

/* Counts the requests before this one that may go only to regions that this one may go to as well. */
static uint32_t count_ahead_within_regions(const cw_request_t *request, uint32_t mask)
{
    const cw_request_t *other;
    uint32_t            ahead = 0;

    DL_FOREACH(request->service->queue, other)
    {
        uint32_t others = cw_server_pool_region_mask(request->engine->pool, &other->regions);

        if (other == request) {
            break;
        }
        ahead += others != CW_REGIONS_ANY && (others & ~mask) == 0 ? 1 : 0;
    }
    return ahead;
}

/* A request that is restricted to regions waits for the servers there, after the requests with the same or tighter
 * restrictions. The caller takes the larger of this wait and the wait of an unrestricted request. */
static cw_time_us_t regional_wait(const cw_request_t *request, cw_time_us_t now)
{
    cw_server_pool_t *pool = request->engine->pool;
    uint32_t          mask = cw_server_pool_region_mask(pool, &request->regions);

    if (mask == CW_REGIONS_ANY) {
        return 0;
    }
    return drain_time(request, count_ahead_within_regions(request, mask) + 1,
                      cw_server_pool_speed_under(pool, request->service->name, &request->regions, now));
}

cw_time_us_t cw_request_estimate(const cw_request_t *request, cw_time_us_t now)
{
    double       speed;
    double       waiting;
    cw_time_us_t wait;
    cw_time_us_t bound;

    if (request->is_keyed) {
        return estimate_keyed(request, now);
    }
    speed = cw_server_pool_speed(request->engine->pool, request->service->name, now);
    waiting = cw_request_count_ahead(request) + 1 + request->service->queued_elsewhere;
    wait = drain_time(request, waiting, speed);
    bound = regional_wait(request, now);
    wait = wait > bound ? wait : bound;
    return wait == CW_NEVER ? CW_NEVER : now + request->route_state->mean_time + wait;
}
