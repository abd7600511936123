/**
 * @file engine_slots.c
 * @brief Handles the replies of the nodes that count slots (brokers), and their absence.
 *
 * A broker that does not reply is asked once more and then skipped for a while; engine_claim.c has the rules for that
 * time.
 */
#include <string.h>

#include "base/text.h"
#include "proxy/engine_internal.h"

enum {
    ASKS_MAX = 2,          /* a datagram may be lost, so the request for a slot is sent twice */
    UNKNOWN_WAIT_MS = 300, /* wait after a refusal that names no time, because the broker's list of servers differs */
    QUEUED_SLACK_MS = 60 /* time after the objective until which a reply is expected: the broker has refused by then */
};

void cw_engine_set_slots(cw_engine_t *engine, const cw_slot_port_t *port)
{
    engine->has_slots = port != NULL;
    if (port != NULL) {
        engine->slots = *port;
    }
}

/* The only server that was acceptable in the last request for a slot; NULL: any server, or it is not listed any more.
 */
static cw_server_t *required_server(const cw_request_t *request)
{
    return request->claim.server == 0
               ? NULL
               : (cw_server_t *)cw_server_pool_find_hash(request->engine->pool, request->claim.server);
}

/* ---- replies ---- */

static void place_locally(cw_request_t *request, cw_time_us_t now)
{
    request->claim.is_chosen_locally = true;
    cw_request_place(request, now);
}

/* Called when all brokers that could be asked have refused. Returns false if no server is free in the zones where no
 * broker could be asked. */
static bool place_without_slot(cw_request_t *request, cw_time_us_t now)
{
    cw_zone_filter_t zones = {request, cw_claim_has_no_broker};
    bool             full;
    cw_server_t     *server;

    if (!cw_engine_list_is_usable(request->engine, now)) {
        return false;
    }
    server = cw_request_choose_without_slot(request, &zones, now, &full);
    if (server == NULL) {
        return false;
    }
    cw_request_send(request, server);
    return true;
}

/* Returns whether there is no slot because of the rate limit of its server, or of all servers that it may go to. */
static bool is_limited(const cw_request_t *request, cw_time_us_t now)
{
    const cw_server_t *required = required_server(request);

    return required != NULL ? cw_server_is_limited(required, now) : cw_request_is_held_off(request, now);
}

static void refuse(cw_request_t *request, cw_time_us_t free_after, cw_time_us_t now)
{
    if (request->may_have_run) { /* a server was running the request, so a refusal would be false */
        place_locally(request, now);
        return;
    }
    cw_request_refuse(request, is_limited(request, now) ? CW_REFUSED_SERVER_LIMIT
                               : free_after > 0         ? CW_REFUSED_LOAD
                                                        : CW_REFUSED_SERVERS);
}

/* Asks at the next stage, or sends the request to a server in a zone without a broker; otherwise refuses it. */
static void ask_next_or_refuse(cw_request_t *request, cw_time_us_t free_after, cw_time_us_t now)
{
    request->claim.stage++;
    if (cw_claim_ask_next(request, now)) {
        cw_request_arm(request);
        return;
    }
    if (place_without_slot(request, now)) {
        return;
    }
    refuse(request, free_after, now);
}

void cw_request_slot_overdue(cw_request_t *request, cw_time_us_t now)
{
    cw_server_t *required = request->is_keyed ? cw_request_owner(request) : required_server(request);

    if (request->is_keyed && (required == NULL || required->hash != request->claim.server)) {
        cw_request_return_slot(request); /* its key has moved meanwhile, which is no sign of a failed broker */
        cw_request_place(request, now);
        return;
    }
    if (request->claim.state == CW_CLAIM_QUEUED && request->attempts > 0) {
        /* The broker may keep the request queued until its deadline: checks that the broker still replies. */
        request->claim.state = CW_CLAIM_ASKED;
        request->claim.asks = 0;
    }
    if (request->claim.state == CW_CLAIM_ASKED && request->claim.asks < ASKS_MAX) {
        cw_claim_ask_again(request, required, now);
        return;
    }
    cw_claim_mark_broker_unresponsive(request, now);
    cw_request_return_slot(request);
    if (!request->is_keyed &&
        request->claim.stage > 0) { /* another broker has refused: its servers have no free slot for this request */
        ask_next_or_refuse(request, request->claim.free_after, now);
        return;
    }
    place_locally(request, now);
}

/* The broker of a server with a rate limit has refused: places the request at another server, or at the first one that
 * will have room. */
static void place_elsewhere(cw_request_t *request, cw_time_us_t free_after, cw_time_us_t now)
{
    cw_server_t *server = required_server(request);

    if (server != NULL) {
        cw_server_record_limit_refused(server, free_after > 0 ? free_after : CW_MS(UNKNOWN_WAIT_MS), now);
    }
    cw_request_place(request, now);
}

static void handle_refusal(cw_request_t *request, const cw_slot_reply_t *reply, cw_time_us_t now)
{
    cw_claim_clear(request);
    if (reply->free_after > 0) {
        request->claim.free_after = reply->free_after;
    }
    if (!request->is_keyed && request->claim.server != 0) {
        place_elsewhere(request, reply->free_after, now);
        return;
    }
    if (!request->is_keyed) {
        ask_next_or_refuse(request, reply->free_after, now);
        return;
    }
    refuse(request, reply->free_after, now);
}

static bool is_still_usable(const cw_request_t *request, const cw_server_t *server, cw_time_us_t now)
{
    if (server == NULL || !cw_engine_list_is_usable(request->engine, now) ||
        !cw_server_accepts(server, request->is_keyed, now) || server->ended ||
        strcmp(server->service, request->service->name) != 0 || !cw_server_region_allows(server, &request->regions) ||
        !cw_server_zone_allows(server, request->is_keyed, now)) {
        return false;
    }
    return !request->is_keyed || cw_request_owner(request) == server;
}

/* The broker does not know which nodes the server has asked for rest, so it is asked once more for a slot of another
 * server. */
static void decline_resting(cw_request_t *request, const cw_server_t *server, cw_time_us_t now)
{
    request->claim.is_declined = true;
    cw_text_copy(request->avoided_server, sizeof(request->avoided_server), server->id);
    cw_request_place(request, now);
}

static void handle_grant(cw_request_t *request, const cw_slot_reply_t *reply, cw_time_us_t now)
{
    cw_server_t *server = (cw_server_t *)cw_server_pool_find_hash(request->engine->pool, reply->server);

    request->claim.state = CW_CLAIM_HELD;
    if (is_still_usable(request, server, now) && !cw_server_rests(server, now)) {
        cw_request_send(request, server);
        return;
    }
    cw_request_return_slot(request);
    if (is_still_usable(request, server, now) && !request->claim.is_declined) {
        decline_resting(request, server, now);
        return;
    }
    place_locally(request, now); /* the broker uses another list of servers than this node */
}

/* Returns a slot for a request that has ended, or that was granted a slot twice. */
static void decline(cw_engine_t *engine, const cw_slot_reply_t *reply)
{
    cw_slot_return_t returned = {.ticket = reply->ticket, .end = CW_SLOT_UNUSED};

    engine->slots.give_back(engine->slots.context, reply->node, &returned);
}

void cw_engine_slot_reply(cw_engine_t *engine, const cw_slot_reply_t *reply)
{
    cw_time_us_t  now = cw_engine_now(engine);
    cw_request_t *request;
    cw_server_t  *required;

    HASH_FIND(by_ticket, engine->by_ticket, &reply->ticket, sizeof(reply->ticket), request);
    if (request == NULL || request->claim.broker != reply->node) {
        if (reply->outcome != CW_SLOT_REFUSED) {
            decline(engine, reply);
        }
        return;
    }
    if (!cw_request_waits_for_slot(request)) {
        return; /* the second reply to a request for a slot that was sent twice */
    }
    required = required_server(request);
    if (required != NULL) {
        cw_server_clear_limit_part(required);
    }
    switch (reply->outcome) {
    case CW_SLOT_GRANTED:
        handle_grant(request, reply, now);
        break;
    case CW_SLOT_QUEUED:
        request->claim.state = CW_CLAIM_QUEUED;
        request->claim.due = (request->objective_at > now ? request->objective_at : now) + CW_MS(QUEUED_SLACK_MS);
        cw_request_arm(request);
        break;
    case CW_SLOT_REFUSED:
        handle_refusal(request, reply, now);
        break;
    }
}
