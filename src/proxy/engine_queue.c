/**
 * @file engine_queue.c
 * @brief The order of what waits for a service, and when its turn would come.
 */
#include <string.h>
#include <utlist.h>

#include "proxy/engine_internal.h"

/* Where a newcomer belongs: by rank, then turn, then deadline, behind those that are its equals. */
static int compare_with_newcomer(const cw_request_t *waiting, const cw_request_t *newcomer)
{
    if (waiting->rank != newcomer->rank) {
        return waiting->rank < newcomer->rank ? -1 : 1;
    }
    if (waiting->turn != newcomer->turn) {
        return waiting->turn < newcomer->turn ? -1 : 1;
    }
    return waiting->deadline <= newcomer->deadline ? -1 : 1;
}

static cw_turn_group_t group_of(const cw_request_t *request)
{
    return cw_fair_turns_group(request->service->hash, request->rank);
}

void cw_request_enqueue(cw_request_t *request)
{
    request->turn = cw_fair_turns_next(request->engine->turns, group_of(request), request->tenant_hash);
    cw_fair_turns_wait(request->engine->turns, group_of(request), request->tenant_hash, request->turn);
    DL_INSERT_INORDER(request->service->queue, request, compare_with_newcomer);
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
        cw_fair_turns_leave(request->engine->turns, group_of(request), request->tenant_hash);
    }
}

void cw_request_take_turn(cw_request_t *request)
{
    if (request->is_queued) {
        leave_queue(request);
        cw_fair_turns_serve(request->engine->turns, group_of(request), request->tenant_hash, request->turn);
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

/* Requests before this one that wait for the same owner of keys. */
static uint32_t ahead_at(const cw_request_t *request, const cw_server_t *server)
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

uint32_t cw_request_ahead(const cw_request_t *request)
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
    cw_time_us_t       usual;
    int64_t            before;

    if (server == NULL) {
        return CW_NEVER;
    }
    usual = (cw_time_us_t)((double)request->route_state->usual * server->pace);
    before = (int64_t)server->own + server->others + ahead_at(request, server) + server->others_waiting + 1 -
             server->capacity;
    return now + usual + (before > 0 ? before * usual / (server->capacity == 0 ? 1 : server->capacity) : 0);
}

/* Time until `waiting` requests have been taken up at that speed; CW_NEVER: at none. */
static cw_time_us_t drain_time(const cw_request_t *request, double waiting, double speed)
{
    return speed <= 0 ? CW_NEVER : (cw_time_us_t)(waiting * (double)request->route_state->usual / speed);
}

/* Requests before this one that may go nowhere but where it may go itself. */
static uint32_t ahead_within(const cw_request_t *request, uint32_t mask)
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

/* What is bound to regions waits for their servers, behind what is bound as closely; never less than all wait. */
static cw_time_us_t wait_under_regions(const cw_request_t *request, cw_time_us_t now)
{
    cw_server_pool_t *pool = request->engine->pool;
    uint32_t          mask = cw_server_pool_region_mask(pool, &request->regions);

    if (mask == CW_REGIONS_ANY) {
        return 0;
    }
    return drain_time(request, ahead_within(request, mask) + 1,
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
    waiting = cw_request_ahead(request) + 1 + request->service->queued_elsewhere;
    wait = drain_time(request, waiting, speed);
    bound = wait_under_regions(request, now);
    wait = wait > bound ? wait : bound;
    return wait == CW_NEVER ? CW_NEVER : now + request->route_state->usual + wait;
}
