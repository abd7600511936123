/**
 * @file engine_slots.c
 * @brief A request's claim to a slot of a server: asked for at the nodes that count them, held, given back.
 *
 * For a key the node of its owner's zone is asked. For any server, zones are asked in the order of slot_stages.h. A
 * node that does not reply is asked once more, and then not for a while: meanwhile the engine chooses servers of its
 * zone by itself, where the others have none free.
 */
#include <string.h>

#include "base/metrics.h"
#include "proxy/engine_internal.h"

enum {
    REPLY_MS = 20,       /* two ways between zones, and a busy node's turn */
    ASKS_MOST = 2,       /* a datagram may be lost */
    SILENT_MS = 300,     /* a node that stopped is missed by all within a second (CW_PEER_SILENCE_MS) */
    QUEUED_SLACK_MS = 60 /* after the objective: the broker has refused by then */
};

/* Part of a usual request's time that is waited for a slot in this zone before others are asked: a server there costs
 * the way between zones. */
static const double wait_near = 0.3;

void cw_engine_set_slots(cw_engine_t *engine, const cw_slot_port_t *port)
{
    engine->has_slots = port != NULL;
    if (port != NULL) {
        engine->slots = *port;
    }
}

bool cw_request_waits_for_slot(const cw_request_t *request)
{
    return request->claim.state == CW_CLAIM_ASKED || request->claim.state == CW_CLAIM_QUEUED;
}

/* ---- whom to ask ---- */

static bool is_silent(const cw_engine_t *engine, uint32_t address, cw_time_us_t now)
{
    size_t index;

    for (index = 0; index < CW_SILENT_BROKERS; index++) {
        if (engine->silent_brokers[index].address == address && engine->silent_brokers[index].until > now) {
            return true;
        }
    }
    return false;
}

static void note_silent(cw_engine_t *engine, uint32_t address, cw_time_us_t now)
{
    engine->silent_brokers[engine->next_silent] =
        (cw_silent_broker_t){.address = address, .until = now + CW_MS(SILENT_MS)};
    engine->next_silent = (engine->next_silent + 1) % CW_SILENT_BROKERS;
    cw_metric_add(CW_METRIC_SLOT_BROKERS_SILENT, 1);
}

static uint32_t broker_of(const cw_request_t *request, const char *zone, cw_time_us_t now)
{
    cw_engine_t *engine = request->engine;
    uint32_t     address = engine->slots.broker_of(engine->slots.context, zone, request->service->hash);

    return address != 0 && !is_silent(engine, address, now) ? address : 0;
}

static bool has_zone(const cw_slot_zone_t *zones, size_t count, const char *zone)
{
    size_t index;

    for (index = 0; index < count; index++) {
        if (strcmp(zones[index].name, zone) == 0) {
            return true;
        }
    }
    return false;
}

/* Zones in which the service has servers that will do and a broker that replies, the nearest first. */
static size_t zones_of(const cw_request_t *request, cw_slot_zone_t *zones, cw_time_us_t now)
{
    size_t       count = 0;
    cw_server_t *server;
    cw_server_t *next;

    HASH_ITER(by_id, cw_server_pool_all(request->engine->pool), server, next)
    {
        cw_slot_zone_t zone = {server->zone, server->distance};

        if (server->listed && !server->zone_is_out && strcmp(server->service, request->service->name) == 0 &&
            cw_server_region_allows(server, &request->regions) && !has_zone(zones, count, zone.name) &&
            broker_of(request, zone.name, now) != 0) {
            count = cw_slot_zones_add(zones, count, &zone);
        }
    }
    return count;
}

/* ---- asking ---- */

static void send_ask(cw_request_t *request, const cw_server_t *owner, cw_time_us_t wait, cw_time_us_t now)
{
    cw_engine_t       *engine = request->engine;
    const cw_server_t *failed =
        request->avoid[0] == '\0' || owner != NULL ? NULL : cw_server_pool_find(engine->pool, request->avoid);
    cw_time_us_t  left = request->aim_at - now;
    cw_slot_ask_t ask = {.ticket = request->claim.ticket,
                         .service = request->service->hash,
                         .server = owner == NULL ? 0 : owner->hash,
                         .except = failed == NULL ? 0 : failed->hash,
                         .priority = request->rank,
                         .tenant = request->tenant_hash,
                         .objective = left > 0 ? left : 0,
                         .lease = request->deadline - now,
                         .wait_most = wait};

    if (request->attempts > 0) { /* it has been at a server: late is better than nothing */
        ask.objective = request->deadline - now;
    }
    request->claim.asks++;
    request->claim.server = ask.server;
    request->claim.wait = wait;
    request->claim.due = now + CW_MS(REPLY_MS);
    engine->slots.ask(engine->slots.context, request->claim.broker, &ask);
}

static void begin_claim(cw_request_t *request, uint32_t broker)
{
    cw_engine_t *engine = request->engine;

    request->claim.state = CW_CLAIM_ASKED;
    request->claim.ticket = ++engine->last_ticket;
    request->claim.broker = broker;
    request->claim.asks = 0;
    request->claim.end = CW_SLOT_UNUSED;
    request->claim.has_load = false;
    HASH_ADD(by_ticket, engine->by_ticket, claim.ticket, sizeof(request->claim.ticket), request);
}

static void forget_claim(cw_request_t *request)
{
    HASH_DELETE(by_ticket, request->engine->by_ticket, request);
    request->claim.state = CW_CLAIM_NONE;
}

static void make_stages(cw_request_t *request, cw_time_us_t now)
{
    cw_slot_claim_t *claim = &request->claim;
    cw_slot_zone_t   zones[CW_SLOT_ZONES_MAX];
    cw_slot_stage_t  stages[CW_SLOT_STAGES_MAX];
    cw_slot_waits_t  waits = {.near = (cw_time_us_t)((double)request->route_state->usual * wait_near),
                              .crossing = cw_request_crossing_cost(request),
                              .longest = request->deadline}; /* its objective is the bound */
    size_t           count = cw_slot_stages_make(zones, zones_of(request, zones, now), &waits, stages);
    size_t           index;

    claim->stage = 0;
    claim->stage_count = count;
    for (index = 0; index < count; index++) {
        claim->stages[index] = (cw_claim_stage_t){broker_of(request, stages[index].zone, now), stages[index].wait};
    }
}

/* Asks at the present stage, or at the next whose broker replies; false: there is none. */
static bool ask_any(cw_request_t *request, cw_time_us_t now)
{
    cw_slot_claim_t *claim = &request->claim;

    while (claim->stage < claim->stage_count && is_silent(request->engine, claim->stages[claim->stage].broker, now)) {
        claim->stage++;
    }
    if (claim->stage == claim->stage_count) {
        return false;
    }
    begin_claim(request, claim->stages[claim->stage].broker);
    send_ask(request, NULL, claim->stages[claim->stage].wait, now);
    return true;
}

bool cw_request_ask_slot(cw_request_t *request, const cw_server_t *owner, cw_time_us_t now)
{
    uint32_t broker;

    if (!request->engine->has_slots || request->claim.is_direct) {
        return false;
    }
    if (owner == NULL) {
        make_stages(request, now);
        return ask_any(request, now);
    }
    broker = broker_of(request, owner->zone, now);
    if (broker == 0) {
        return false;
    }
    begin_claim(request, broker);
    send_ask(request, owner, request->deadline - now, now);
    return true;
}

/* ---- replies ---- */

static void place_directly(cw_request_t *request, cw_time_us_t now)
{
    request->claim.is_direct = true;
    cw_request_place(request, now);
}

void cw_request_slot_overdue(cw_request_t *request, cw_time_us_t now)
{
    cw_server_t *owner = request->is_keyed ? cw_request_owner(request) : NULL;

    if (request->is_keyed && (owner == NULL || owner->hash != request->claim.server)) {
        cw_request_return_slot(request); /* its key has moved meanwhile: that says nothing of the broker */
        cw_request_place(request, now);
        return;
    }
    if (request->claim.state == CW_CLAIM_ASKED && request->claim.asks < ASKS_MOST) {
        send_ask(request, owner, request->claim.wait, now);
        cw_request_arm(request);
        return;
    }
    note_silent(request->engine, request->claim.broker, now);
    cw_request_return_slot(request);
    place_directly(request, now);
}

/* Is nobody there to be asked for the zone's slots now? */
static bool has_no_broker(void *context, const char *zone)
{
    const cw_request_t *request = context;

    return broker_of(request, zone, cw_engine_now(request->engine)) == 0;
}

/* All that could be asked have refused. False: no server is free in zones where nobody could be asked. */
static bool place_unasked(cw_request_t *request, cw_time_us_t now)
{
    cw_zone_filter_t zones = {request, has_no_broker};
    bool             full;
    cw_server_t     *server = cw_request_choose(request, &zones, now, &full);

    if (server == NULL) {
        return false;
    }
    cw_request_send(request, server);
    return true;
}

static void take_refusal(cw_request_t *request, const cw_slot_reply_t *reply, cw_time_us_t now)
{
    forget_claim(request);
    if (reply->free_after > 0) {
        request->claim.free_after = reply->free_after;
    }
    if (!request->is_keyed) {
        request->claim.stage++;
        if (ask_any(request, now)) {
            cw_request_arm(request);
            return;
        }
        if (place_unasked(request, now)) {
            return;
        }
    }
    if (request->may_have_run) { /* it was taken from a server that was at work on it: no refusal would be true */
        place_directly(request, now);
        return;
    }
    cw_request_refuse(request, reply->free_after > 0 ? CW_REFUSED_LOAD : CW_REFUSED_SERVERS);
}

static bool is_still_wanted(const cw_request_t *request, const cw_server_t *server, cw_time_us_t now)
{
    if (server == NULL || server->draining || server->ended || !cw_server_region_allows(server, &request->regions) ||
        !cw_server_zone_allows(server, request->is_keyed, now)) {
        return false;
    }
    return !request->is_keyed || cw_request_owner(request) == server;
}

static void take_grant(cw_request_t *request, const cw_slot_reply_t *reply, cw_time_us_t now)
{
    cw_server_t *server = (cw_server_t *)cw_server_pool_find_hash(request->engine->pool, reply->server);

    request->claim.state = CW_CLAIM_HELD;
    if (is_still_wanted(request, server, now)) {
        cw_request_send(request, server);
        return;
    }
    cw_request_return_slot(request);
    place_directly(request, now); /* the broker goes by another list than this node */
}

/* A slot for a request that is no longer there, or has been asked for twice. */
static void decline(cw_engine_t *engine, const cw_slot_reply_t *reply)
{
    cw_slot_return_t returned = {.ticket = reply->ticket, .end = CW_SLOT_UNUSED};

    engine->slots.give_back(engine->slots.context, reply->node, &returned);
}

void cw_engine_slot_reply(cw_engine_t *engine, const cw_slot_reply_t *reply)
{
    cw_time_us_t  now = cw_engine_now(engine);
    cw_request_t *request;

    HASH_FIND(by_ticket, engine->by_ticket, &reply->ticket, sizeof(reply->ticket), request);
    if (request == NULL || request->claim.broker != reply->node) {
        if (reply->outcome != CW_SLOT_REFUSED) {
            decline(engine, reply);
        }
        return;
    }
    if (!cw_request_waits_for_slot(request)) {
        return; /* the reply to an ask that was sent twice */
    }
    switch (reply->outcome) {
    case CW_SLOT_GRANTED:
        take_grant(request, reply, now);
        break;
    case CW_SLOT_QUEUED:
        request->claim.state = CW_CLAIM_QUEUED;
        request->claim.due = (request->aim_at > now ? request->aim_at : now) + CW_MS(QUEUED_SLACK_MS);
        cw_request_arm(request);
        break;
    case CW_SLOT_REFUSED:
        take_refusal(request, reply, now);
        break;
    }
}

/* ---- giving back ---- */

void cw_request_return_slot(cw_request_t *request)
{
    cw_engine_t     *engine = request->engine;
    cw_slot_return_t returned = {.ticket = request->claim.ticket,
                                 .end = request->claim.end,
                                 .load = request->claim.has_load ? &request->claim.load : NULL};

    if (request->claim.state == CW_CLAIM_NONE) {
        return;
    }
    forget_claim(request);
    engine->slots.give_back(engine->slots.context, request->claim.broker, &returned);
}
