/**
 * @file engine_slots.c
 * @brief What becomes of a request by the replies of the nodes that count slots, or by none.
 *
 * A node that does not reply is asked once more, and then not for a while: meanwhile the engine chooses servers of its
 * zone by itself, where the others have none free.
 */
#include <string.h>

#include "base/text.h"
#include "proxy/engine_internal.h"

enum {
    ASKS_MOST = 2,         /* a datagram may be lost */
    UNKNOWN_WAIT_MS = 300, /* a refusal that tells no time: its broker knows the server by another list */
    QUEUED_SLACK_MS = 60   /* after the objective: the broker has refused by then */
};

void cw_engine_set_slots(cw_engine_t *engine, const cw_slot_port_t *port)
{
    engine->has_slots = port != NULL;
    if (port != NULL) {
        engine->slots = *port;
    }
}

/* The only one that would have done for its last ask; NULL: any, or it is gone. */
static cw_server_t *only_server(const cw_request_t *request)
{
    return request->claim.server == 0
               ? NULL
               : (cw_server_t *)cw_server_pool_find_hash(request->engine->pool, request->claim.server);
}

/* ---- replies ---- */

static void place_directly(cw_request_t *request, cw_time_us_t now)
{
    request->claim.is_direct = true;
    cw_request_place(request, now);
}

/* All that could be asked have refused. False: no server is free in zones where nobody could be asked. */
static bool place_unasked(cw_request_t *request, cw_time_us_t now)
{
    cw_zone_filter_t zones = {request, cw_claim_has_no_broker};
    bool             full;
    cw_server_t     *server = cw_request_choose_unasked(request, &zones, now, &full);

    if (server == NULL) {
        return false;
    }
    cw_request_send(request, server);
    return true;
}

/* Is it the rate limit of its server, or of all that it may go to, that leaves no slot? */
static bool is_limited(const cw_request_t *request, cw_time_us_t now)
{
    const cw_server_t *only = only_server(request);

    return only != NULL ? cw_server_is_limited(only, now) : cw_request_is_held_off(request, now);
}

static void refuse(cw_request_t *request, cw_time_us_t free_after, cw_time_us_t now)
{
    if (request->may_have_run) { /* it was taken from a server that was at work on it: no refusal would be true */
        place_directly(request, now);
        return;
    }
    cw_request_refuse(request, is_limited(request, now) ? CW_REFUSED_SERVER_LIMIT
                               : free_after > 0         ? CW_REFUSED_LOAD
                                                        : CW_REFUSED_SERVERS);
}

/* At the next stage, or where nobody could be asked; else its end. */
static void ask_next_or_refuse(cw_request_t *request, cw_time_us_t free_after, cw_time_us_t now)
{
    request->claim.stage++;
    if (cw_claim_ask_next(request, now)) {
        cw_request_arm(request);
        return;
    }
    if (place_unasked(request, now)) {
        return;
    }
    refuse(request, free_after, now);
}

void cw_request_slot_overdue(cw_request_t *request, cw_time_us_t now)
{
    cw_server_t *only = request->is_keyed ? cw_request_owner(request) : only_server(request);

    if (request->is_keyed && (only == NULL || only->hash != request->claim.server)) {
        cw_request_return_slot(request); /* its key has moved meanwhile: that says nothing of the broker */
        cw_request_place(request, now);
        return;
    }
    if (request->claim.state == CW_CLAIM_QUEUED && request->attempts > 0) {
        request->claim.state = CW_CLAIM_ASKED; /* the broker may let it wait until its deadline: does it still reply? */
        request->claim.asks = 0;
    }
    if (request->claim.state == CW_CLAIM_ASKED && request->claim.asks < ASKS_MOST) {
        cw_claim_ask_again(request, only, now);
        return;
    }
    cw_claim_note_unresponsive(request, now);
    cw_request_return_slot(request);
    if (!request->is_keyed && request->claim.stage > 0) { /* another has refused: its servers have no slot for this */
        ask_next_or_refuse(request, request->claim.free_after, now);
        return;
    }
    place_directly(request, now);
}

/* Of the server that was asked for, which has a rate limit: another one may do, or the next that has room. */
static void place_elsewhere(cw_request_t *request, cw_time_us_t free_after, cw_time_us_t now)
{
    cw_server_t *server = only_server(request);

    if (server != NULL) {
        cw_server_note_limit_refused(server, free_after > 0 ? free_after : CW_MS(UNKNOWN_WAIT_MS), now);
    }
    cw_request_place(request, now);
}

static void take_refusal(cw_request_t *request, const cw_slot_reply_t *reply, cw_time_us_t now)
{
    cw_claim_forget(request);
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

static bool is_still_wanted(const cw_request_t *request, const cw_server_t *server, cw_time_us_t now)
{
    if (server == NULL || !cw_server_accepts(server, request->is_keyed, now) || server->ended ||
        strcmp(server->service, request->service->name) != 0 || !cw_server_region_allows(server, &request->regions) ||
        !cw_server_zone_allows(server, request->is_keyed, now)) {
        return false;
    }
    return !request->is_keyed || cw_request_owner(request) == server;
}

/* The broker does not know whom the server has turned away: it is asked once more, for another one. */
static void decline_resting(cw_request_t *request, const cw_server_t *server, cw_time_us_t now)
{
    request->claim.is_declined = true;
    cw_text_copy(request->avoid, sizeof(request->avoid), server->id);
    cw_request_place(request, now);
}

static void take_grant(cw_request_t *request, const cw_slot_reply_t *reply, cw_time_us_t now)
{
    cw_server_t *server = (cw_server_t *)cw_server_pool_find_hash(request->engine->pool, reply->server);

    request->claim.state = CW_CLAIM_HELD;
    if (is_still_wanted(request, server, now) && !cw_server_rests(server, now)) {
        cw_request_send(request, server);
        return;
    }
    cw_request_return_slot(request);
    if (is_still_wanted(request, server, now) && !request->claim.is_declined) {
        decline_resting(request, server, now);
        return;
    }
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
    cw_server_t  *only;

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
    only = only_server(request);
    if (only != NULL) {
        cw_server_clear_limit_part(only);
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
