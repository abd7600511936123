/**
 * @file engine_placement.c
 * @brief Sends waiting requests from a service's queue, and decides what happens to a request for which no server has
 * a free slot.
 */
#include <utlist.h>

#include "proxy/engine_internal.h"

enum {
    NO_SERVER_WAIT_MS = 200,
    UNREACHED_MAX = 2,   /* servers that this node does not reach before another node is asked */
    LIMIT_PAUSE_MS = 100 /* a request that may have run tries again after this time */
};

typedef enum placement {
    PLACED,
    ASKED,
    OUTSIDE_REGIONS,
    OVER_LIMIT,
    SERVER_RESTS,
    WAITS_FOR_SLOT,
    WAITS_FOR_OWNER,
    NO_SERVERS,
    NO_PATHS,
    WAITS_FOR_PATHS,
    WAITS_FOR_LIST,
    PAUSED
} placement_t;

static placement_t place_keyed(cw_request_t *request, cw_time_us_t now)
{
    cw_server_t *server = cw_request_owner(request);

    if (server == NULL || !cw_server_accepts(server, true, now) || !cw_server_zone_allows(server, true, now)) {
        return WAITS_FOR_OWNER;
    }
    if (!cw_server_region_allows(server, &request->regions)) {
        return OUTSIDE_REGIONS;
    }
    if (cw_engine_is_cut_off_from(request->engine, server, now) && cw_request_delegate(request, now)) {
        return PLACED;
    }
    if (cw_server_rests(server, now)) {
        return SERVER_RESTS;
    }
    if (cw_request_ask_slot(request, server, now)) {
        return ASKED;
    }
    if (!cw_server_pool_may_send(request->engine->pool, server, true, now)) {
        return WAITS_FOR_OWNER;
    }
    if (!cw_server_has_slot(server, request->engine->settings.keyed_extra_slots, now)) {
        return WAITS_FOR_SLOT;
    }
    if (!cw_request_may_send_without_slot(request, server, now)) {
        return OVER_LIMIT;
    }
    cw_request_send(request, server);
    return PLACED;
}

/* Returns whether another node is more likely to reach a server for the request: this server answers other nodes, or no
 * connection to several servers was made. */
static bool may_be_cut_off(const cw_request_t *request, const cw_server_t *server, cw_time_us_t now)
{
    return request->unreached >= UNREACHED_MAX || cw_engine_is_cut_off_from(request->engine, server, now);
}

static placement_t place(cw_request_t *request, cw_time_us_t now)
{
    cw_server_t *server;
    bool         full;
    bool         asked;

    if (request->not_before > now) {
        return PAUSED;
    }
    if (cw_engine_has_lost_paths(request->engine, request->service->hash)) {
        return cw_request_delegate(request, now) ? PLACED : NO_PATHS;
    }
    if (cw_request_waits_for_paths(request, now)) {
        return WAITS_FOR_PATHS;
    }
    if (!cw_engine_list_is_usable(request->engine, now)) {
        return WAITS_FOR_LIST;
    }
    if (request->is_keyed) {
        return place_keyed(request, now);
    }
    if (cw_request_all_servers_rest(request, now)) {
        return SERVER_RESTS;
    }
    if (cw_request_ask_slot(request, NULL, now)) {
        return ASKED;
    }
    server = cw_request_choose_or_ask(request, now, &full, &asked);
    if (asked) {
        return ASKED;
    }
    if (server == NULL && full && cw_request_is_held_off(request, now)) {
        return OVER_LIMIT;
    }
    if (server == NULL) {
        return full ? WAITS_FOR_SLOT : NO_SERVERS;
    }
    if (may_be_cut_off(request, server, now) && cw_request_delegate(request, now)) {
        return PLACED;
    }
    cw_request_send(request, server);
    return PLACED;
}

/* Returns whether the owner of the request's key has announced that it leaves and its keys have not moved in the time
 * allowed for that: it is not known when there will be another owner. */
static bool has_no_owner_soon(const cw_request_t *request, cw_time_us_t now)
{
    const cw_server_t *owner = request->is_keyed ? cw_request_owner(request) : NULL;

    return owner != NULL && owner->announced_leaving && !cw_server_accepts(owner, true, now);
}

/* The list of servers is being read: a request waits for that as long as for an unknown owner of its key. */
static void await_list(cw_request_t *request, cw_time_us_t now)
{
    if (request->attempts == 0 && now >= request->owner_wait_until) {
        cw_request_refuse(request, CW_REFUSED_LIST);
        return;
    }
    cw_request_arm(request);
}

/* A request that could not be placed waits or is refused with a time to retry. It is admitted if it is expected to be
 * answered within its latency objective. Once admitted it waits for its turn, even beyond the objective, as long as the
 * turn is expected before its deadline. */
static void keep_or_refuse(cw_request_t *request, placement_t reason, cw_time_us_t now)
{
    cw_time_us_t estimate;

    if (reason == OUTSIDE_REGIONS) { /* the owner of its key is outside its regions: waiting does not help */
        cw_request_refuse(request, CW_REFUSED_REGIONS);
        return;
    }
    if (reason == NO_PATHS) {
        cw_request_refuse(request, CW_REFUSED_PATHS);
        return;
    }
    if (reason == WAITS_FOR_LIST) {
        await_list(request, now);
        return;
    }
    if ((reason == OVER_LIMIT || reason == SERVER_RESTS) && !request->may_have_run) {
        cw_request_refuse(request, reason == SERVER_RESTS ? CW_REFUSED_REST : CW_REFUSED_SERVER_LIMIT);
        return;
    }
    if (reason == OVER_LIMIT || reason == SERVER_RESTS) {
        request->claim.is_chosen_locally = false;
        request->not_before = now + (reason == SERVER_RESTS ? cw_request_holdoff(request, now) : CW_MS(LIMIT_PAUSE_MS));
    }
    if (reason == PAUSED || reason == WAITS_FOR_PATHS ||
        request->attempts > 0) { /* a server may have run the request, which may use all of its time to get an answer */
        cw_request_arm(request);
        return;
    }
    if (reason == NO_SERVERS && now - request->arrived >= CW_MS(NO_SERVER_WAIT_MS)) {
        cw_request_refuse(request, CW_REFUSED_SERVERS);
        return;
    }
    estimate = has_no_owner_soon(request, now) ? CW_NEVER : cw_request_estimate(request, now);
    if (estimate == CW_NEVER) {
        if (now >= request->owner_wait_until) {
            cw_request_refuse(request, reason == WAITS_FOR_OWNER ? CW_REFUSED_OWNER : CW_REFUSED_SERVERS);
            return;
        }
    } else if (estimate > (request->is_admitted ? request->deadline : request->objective_at)) {
        cw_request_refuse(request, CW_REFUSED_LOAD);
        return;
    }
    request->is_admitted = true;
    cw_request_arm(request);
}

void cw_request_place(cw_request_t *request, cw_time_us_t now)
{
    cw_time_us_t refused_for;
    placement_t  result;

    if (cw_request_is_crash_suspect(request, now, &refused_for)) {
        cw_request_refuse(request, CW_REFUSED_CRASHES);
        return;
    }
    result = place(request, now);
    if (result == ASKED) {
        cw_request_arm(request);
    } else if (result != PLACED) {
        keep_or_refuse(request, result, now);
    }
}

static void dispatch(cw_engine_t *engine, cw_service_state_t *service)
{
    cw_time_us_t  now = cw_engine_now(engine);
    cw_request_t *request;
    cw_request_t *next;

    DL_FOREACH_SAFE(service->queue, request, next)
    {
        if (now >= request->deadline) {
            cw_request_arm(request);
        } else if (cw_request_waits_for_resting_owner(request, now)) {
            cw_request_return_slot(request);
            cw_request_place(request, now);
        } else if (!cw_request_waits_for_slot(request)) {
            cw_request_place(request, now);
        }
    }
}

void cw_service_dispatch(cw_engine_t *engine, cw_service_state_t *service)
{
    if (engine->dispatching) { /* nested call: the queues are dispatched again from the loop */
        cw_engine_wake(engine);
        return;
    }
    engine->dispatching = true;
    dispatch(engine, service);
    engine->dispatching = false;
}
