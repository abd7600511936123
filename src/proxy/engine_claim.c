/**
 * @file engine_claim.c
 * @brief A request's claim to a slot of a server: requested from the nodes that count slots (brokers), and returned.
 *
 * For a key, the broker of the owner's zone is asked; for a server with a rate limit, the broker of that server's
 * zone. If any server will do, the zones are asked in the order of slot_stages.h. A broker that does not reply is
 * asked once more and then not for a while. In that time the engine chooses servers of its zone by itself, but only
 * where the other zones have no free slot.
 */
#include <string.h>
#include <utlist.h>

#include "base/metrics.h"
#include "proxy/engine_internal.h"

enum {
    REPLY_TIMEOUT_MS = 20, /* a round trip between zones, and the delay of a busy node */
    BROKER_SKIP_MS = 300   /* an unresponsive broker is not asked for this time; all nodes notice within a second that a
                              node has stopped (CW_PEER_TIMEOUT_MS) */
};

/* Part of the route's mean time that a request may wait for a slot in this zone before other zones are asked: a server
 * in another zone costs the round trip between zones. */
static const double near_wait_ratio = 0.3;

/* ---- choice of the broker ---- */

static bool is_unresponsive(const cw_engine_t *engine, uint32_t address, cw_time_us_t now)
{
    size_t index;

    for (index = 0; index < CW_UNRESPONSIVE_BROKERS_MAX; index++) {
        if (engine->unresponsive_brokers[index].address == address && engine->unresponsive_brokers[index].until > now) {
            return true;
        }
    }
    return false;
}

static uint32_t broker_of(const cw_request_t *request, const char *zone, cw_time_us_t now)
{
    cw_engine_t *engine = request->engine;
    uint32_t     address = engine->slots.broker_of(engine->slots.context, zone, request->service->hash);

    return address != 0 && !is_unresponsive(engine, address, now) ? address : 0;
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

/* Collects the zones that have usable servers of the service and a broker that replies, the nearest first. */
static size_t collect_zones(const cw_request_t *request, cw_slot_zone_t *zones, cw_time_us_t now)
{
    size_t       count = 0;
    cw_server_t *server;

    DL_FOREACH(cw_server_pool_of_service(request->engine->pool, request->service->hash), server)
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

/* ---- requests for a slot ---- */

/* required: the only acceptable server; NULL: any. */
static void send_ask(cw_request_t *request, const cw_server_t *required, cw_time_us_t wait, cw_time_us_t now)
{
    cw_engine_t       *engine = request->engine;
    const cw_server_t *failed = request->avoided_server[0] == '\0' || required != NULL
                                    ? NULL
                                    : cw_server_pool_find(engine->pool, request->avoided_server);
    cw_time_us_t       left = request->objective_at - now;
    cw_slot_ask_t      ask = {.ticket = request->claim.ticket,
                              .service = request->service->hash,
                              .server = required == NULL ? 0 : required->hash,
                              .except = failed == NULL ? 0 : failed->hash,
                              .priority = request->rank,
                              .tenant = request->tenant_hash,
                              .objective = left > 0 ? left : 0,
                              .lease = request->deadline - now,
                              .max_slot_wait = wait};

    if (request->attempts > 0 || request->was_read_late) { /* a late answer is better than none */
        ask.objective = request->deadline - now;
    }
    request->claim.asks++;
    request->claim.server = ask.server;
    request->claim.wait = wait;
    request->claim.due = now + CW_MS(REPLY_TIMEOUT_MS);
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
    request->claim.has_signals = false;
    HASH_ADD(by_ticket, engine->by_ticket, claim.ticket, sizeof(request->claim.ticket), request);
}

void cw_claim_clear(cw_request_t *request)
{
    HASH_DELETE(by_ticket, request->engine->by_ticket, request);
    request->claim.state = CW_CLAIM_NONE;
}

static void make_stages(cw_request_t *request, cw_time_us_t now)
{
    cw_slot_claim_t *claim = &request->claim;
    cw_slot_zone_t   zones[CW_SLOT_ZONES_MAX];
    cw_slot_stage_t  stages[CW_SLOT_STAGES_MAX];
    cw_slot_waits_t  waits = {.near = (cw_time_us_t)((double)request->route_state->mean_time * near_wait_ratio),
                              .crossing = cw_request_crossing_cost(request),
                              .longest = request->deadline - now}; /* its objective is the tighter bound */
    size_t           count = cw_slot_stages_make(zones, collect_zones(request, zones, now), &waits, stages);
    size_t           index;

    claim->stage = 0;
    claim->stage_count = count;
    for (index = 0; index < count; index++) {
        claim->stages[index] = (cw_claim_stage_t){broker_of(request, stages[index].zone, now), stages[index].wait};
    }
}

bool cw_claim_ask_next(cw_request_t *request, cw_time_us_t now)
{
    cw_slot_claim_t *claim = &request->claim;

    while (claim->stage < claim->stage_count &&
           is_unresponsive(request->engine, claim->stages[claim->stage].broker, now)) {
        claim->stage++;
    }
    if (claim->stage == claim->stage_count) {
        return false;
    }
    begin_claim(request, claim->stages[claim->stage].broker);
    send_ask(request, NULL, claim->stages[claim->stage].wait, now);
    return true;
}

/* Returns whether slots of this server, or (NULL) of any server, are requested from brokers. */
static bool uses_slots(const cw_request_t *request, const cw_server_t *required, cw_time_us_t now)
{
    const cw_engine_t *engine = request->engine;

    if (!engine->has_slots || request->claim.is_chosen_locally) {
        return false;
    }
    return !engine->slots.only_limited || (required != NULL && cw_server_is_limited(required, now));
}

/* A server with a rate limit has a broker even if its zone has none. */
static uint32_t broker_of_server(const cw_request_t *request, const cw_server_t *server, cw_time_us_t now)
{
    uint32_t broker = broker_of(request, server->zone, now);

    return broker == 0 && cw_server_is_limited(server, now) ? broker_of(request, NULL, now) : broker;
}

/* A request that other servers can run does not wait for this server. */
static cw_time_us_t longest_wait(const cw_request_t *request, cw_time_us_t now)
{
    return request->is_keyed || cw_request_is_held_off(request, now) ? request->deadline - now : 0;
}

bool cw_request_ask_slot(cw_request_t *request, const cw_server_t *required, cw_time_us_t now)
{
    uint32_t broker;

    if (!uses_slots(request, required, now)) {
        return false;
    }
    if (required == NULL) {
        make_stages(request, now);
        return cw_claim_ask_next(request, now);
    }
    broker = broker_of_server(request, required, now);
    if (broker == 0) {
        return false;
    }
    begin_claim(request, broker);
    send_ask(request, required, longest_wait(request, now), now);
    return true;
}

void cw_claim_ask_again(cw_request_t *request, const cw_server_t *required, cw_time_us_t now)
{
    send_ask(request, required, request->claim.wait, now);
    cw_request_arm(request);
}

void cw_claim_mark_broker_unresponsive(cw_request_t *request, cw_time_us_t now)
{
    cw_engine_t *engine = request->engine;

    engine->unresponsive_brokers[engine->next_unresponsive] =
        (cw_unresponsive_broker_t){.address = request->claim.broker, .until = now + CW_MS(BROKER_SKIP_MS)};
    engine->next_unresponsive = (engine->next_unresponsive + 1) % CW_UNRESPONSIVE_BROKERS_MAX;
    cw_metric_add(CW_METRIC_SLOT_BROKERS_SILENT, 1);
}

bool cw_claim_has_no_broker(void *context, const char *zone)
{
    const cw_request_t *request = context;

    return broker_of(request, zone, cw_engine_now(request->engine)) == 0;
}

/* ---- return ---- */

void cw_request_return_slot(cw_request_t *request)
{
    cw_engine_t     *engine = request->engine;
    cw_slot_return_t returned = {.ticket = request->claim.ticket,
                                 .end = request->claim.end,
                                 .signals = request->claim.has_signals ? &request->claim.signals : NULL};

    if (request->claim.state == CW_CLAIM_NONE) {
        return;
    }
    cw_claim_clear(request);
    engine->slots.give_back(engine->slots.context, request->claim.broker, &returned);
}
