/**
 * @file router_slots.c
 * @brief Wires slots into the node: which nodes count them, the datagrams to and from these, this node's own counting.
 *
 * Where there are few nodes, slots are asked for only of servers with a rate limit: a few tell one another of each
 * request at once.
 */
#include <stdlib.h>
#include <string.h>

#include "base/memory.h"
#include "router/router_internal.h"

enum {
    GATHER_EVERY_MS = 100 /* how often the nodes that may count are gathered; well below CW_PEER_TIMEOUT_MS */
};

static const double no_limit = -1; /* in messages */

/** A message of this node to itself: delivered from the loop, as those of others are. */
typedef struct own_message {
    cw_slot_reply_t     reply;
    cw_slot_ask_t       ask;
    cw_slot_return_t    returned;
    cw_server_signals_t signals;
    enum { OWN_ASK, OWN_REPLY, OWN_RETURN } kind;
} own_message_t;

struct cw_router_slots {
    cw_router_t      *router;
    cw_slot_broker_t *broker;
    /* Nodes: those that this one receives from first, then those that others reach for it. */
    cw_broker_candidate_t *candidates;
    size_t                 candidate_count;
    size_t                 received_count;
    size_t                 candidate_room;
    cw_time_us_t           gathered_at;
    bool                   is_on;
    uv_timer_t             deliver;
    own_message_t         *own;
    size_t                 own_count;
    size_t                 own_capacity;
};

/* ---- messages to this node itself ---- */

static uint32_t own_address(const cw_router_slots_t *slots)
{
    return cw_peer_link_own_address(slots->router->link);
}

static own_message_t *add_own(cw_router_slots_t *slots)
{
    if (slots->own_count == slots->own_capacity) {
        slots->own_capacity = slots->own_capacity == 0 ? 32 : 2 * slots->own_capacity;
        slots->own = cw_memory_resize(slots->own, slots->own_capacity * sizeof(*slots->own));
    }
    memset(&slots->own[slots->own_count], 0, sizeof(*slots->own));
    return &slots->own[slots->own_count++];
}

static cw_time_us_t usual_of(cw_router_t *router, uint32_t service)
{
    return cw_engine_mean_time_by_hash(router->engine, service);
}

/* What a server said of itself counts before its slot is given to the next one. */
static void take_return(cw_router_t *router, const cw_slot_return_t *returned, cw_time_us_t now)
{
    cw_slot_broker_t *broker = router->slots->broker;
    uint32_t          hash = cw_slot_broker_granted_server(broker, returned->node, returned->ticket);
    cw_server_t      *server = (cw_server_t *)cw_server_pool_find_hash(router->pool, hash);

    if (server != NULL && returned->signals != NULL && returned->node != own_address(router->slots)) {
        cw_engine_note_signals(router->engine, server, returned->signals, NULL);
    }
    cw_slot_broker_return(broker, returned, now);
}

static void deliver(cw_router_slots_t *slots, const own_message_t *message)
{
    cw_router_t     *router = slots->router;
    cw_slot_return_t returned = message->returned;
    cw_time_us_t     now = cw_router_now(router);

    switch (message->kind) {
    case OWN_ASK:
        cw_slot_broker_ask(slots->broker, &message->ask, usual_of(router, message->ask.service), now);
        break;
    case OWN_REPLY:
        cw_engine_slot_reply(router->engine, &message->reply);
        break;
    case OWN_RETURN:
        returned.signals = returned.signals == NULL ? NULL : &message->signals;
        take_return(router, &returned, now);
        break;
    }
}

/* What is delivered may bring further messages: they come with the next turn of the loop. */
static void on_deliver(uv_timer_t *timer)
{
    cw_router_slots_t *slots = timer->data;
    own_message_t     *messages = slots->own;
    size_t             count = slots->own_count;
    size_t             index;

    slots->own = NULL;
    slots->own_count = 0;
    slots->own_capacity = 0;
    for (index = 0; index < count; index++) {
        deliver(slots, &messages[index]);
    }
    free(messages);
}

static void deliver_soon(cw_router_slots_t *slots)
{
    if (!uv_is_active((uv_handle_t *)&slots->deliver)) {
        uv_timer_start(&slots->deliver, on_deliver, 0, 0);
    }
}

/* ---- the engine's port ---- */

static uint32_t broker_of(void *context, const char *zone, uint32_t service)
{
    const cw_router_slots_t *slots = context;

    return cw_broker_choose(slots->candidates, slots->candidate_count, zone, service);
}

static void send_to(cw_router_slots_t *slots, uint32_t address, const Cwp__Datagram *datagram)
{
    cw_router_t *router = slots->router;
    cw_peer_t   *peer = cw_peer_link_learn(router->link, address, cw_router_now(router));

    if (peer != NULL) {
        (void)cw_router_send_to(router, peer, datagram); /* one that is too long is logged where it is packed */
    }
}

static uint32_t to_ms(cw_time_us_t time)
{
    return time <= 0 ? 0 : (uint32_t)(time / 1000);
}

static void ask(void *context, uint32_t broker, const cw_slot_ask_t *asked)
{
    cw_router_slots_t *slots = context;
    Cwp__SlotAsk       message = CWP__SLOT_ASK__INIT;
    Cwp__ServerLimit   limit = CWP__SERVER_LIMIT__INIT;
    Cwp__Datagram      datagram = CWP__DATAGRAM__INIT;

    if (broker == own_address(slots)) {
        own_message_t *own = add_own(slots);

        own->kind = OWN_ASK;
        own->ask = *asked;
        own->ask.node = broker;
        deliver_soon(slots);
        return;
    }
    message.ticket = asked->ticket;
    message.service = asked->service;
    message.server = asked->server;
    message.except = asked->except;
    message.priority = asked->priority;
    message.tenant = asked->tenant;
    message.objective_ms = to_ms(asked->objective);
    message.lease_ms = to_ms(asked->lease);
    message.wait_ms = to_ms(asked->max_slot_wait);
    if (cw_router_pack_limit(slots->router, asked->server, &limit)) {
        message.limit = &limit;
    }
    datagram.content_case = CWP__DATAGRAM__CONTENT_SLOT_ASK;
    datagram.slot_ask = &message;
    send_to(slots, broker, &datagram);
}

static void pack_signals(const cw_server_signals_t *signals, Cwp__SlotReturn *message)
{
    message->answered = true;
    message->limit_per_s = signals->has_limit ? signals->limit_per_s : no_limit;
    if (signals->has_load) {
        message->running = signals->load.running;
        message->waiting = signals->load.waiting;
        message->slots = signals->load.slots;
        message->work_percent = signals->load.work_percent;
    }
}

static void give_back(void *context, uint32_t broker, const cw_slot_return_t *returned)
{
    cw_router_slots_t *slots = context;
    Cwp__SlotReturn    message = CWP__SLOT_RETURN__INIT;
    Cwp__Datagram      datagram = CWP__DATAGRAM__INIT;

    if (broker == own_address(slots)) {
        own_message_t *own = add_own(slots);

        own->kind = OWN_RETURN;
        own->returned = *returned;
        own->returned.node = broker;
        if (returned->signals != NULL) {
            own->signals = *returned->signals;
        }
        deliver_soon(slots);
        return;
    }
    message.ticket = returned->ticket;
    message.end = (uint32_t)returned->end;
    if (returned->signals != NULL) {
        pack_signals(returned->signals, &message);
    }
    datagram.content_case = CWP__DATAGRAM__CONTENT_SLOT_RETURN;
    datagram.slot_return = &message;
    send_to(slots, broker, &datagram);
}

/* ---- this node as the one that counts ---- */

static void on_replied(void *context, const cw_slot_reply_t *reply)
{
    cw_router_slots_t *slots = context;
    Cwp__SlotReply     message = CWP__SLOT_REPLY__INIT;
    Cwp__Datagram      datagram = CWP__DATAGRAM__INIT;

    if (reply->node == own_address(slots)) {
        own_message_t *own = add_own(slots);

        own->kind = OWN_REPLY;
        own->reply = *reply;
        deliver_soon(slots);
        return;
    }
    message.ticket = reply->ticket;
    message.outcome = (uint32_t)reply->outcome;
    message.server = reply->server;
    message.free_after_ms = to_ms(reply->free_after);
    datagram.content_case = CWP__DATAGRAM__CONTENT_SLOT_REPLY;
    datagram.slot_reply = &message;
    send_to(slots, reply->node, &datagram);
}

void cw_router_handle_slot_ask(cw_router_t *router, const cw_peer_t *peer, const Cwp__SlotAsk *message)
{
    cw_slot_ask_t asked = {.node = peer->address,
                           .ticket = message->ticket,
                           .service = message->service,
                           .server = message->server,
                           .except = message->except,
                           .priority = message->priority,
                           .tenant = message->tenant,
                           .objective = CW_MS(message->objective_ms),
                           .lease = CW_MS(message->lease_ms),
                           .max_slot_wait = CW_MS(message->wait_ms)};

    if (message->limit != NULL) {
        cw_router_take_limit(router, message->limit, cw_router_now(router));
    }
    cw_slot_broker_ask(router->slots->broker, &asked, usual_of(router, asked.service), cw_router_now(router));
}

void cw_router_handle_slot_reply(cw_router_t *router, const cw_peer_t *peer, const Cwp__SlotReply *message)
{
    cw_slot_reply_t reply = {.node = peer->address,
                             .ticket = message->ticket,
                             .server = message->server,
                             .free_after = CW_MS(message->free_after_ms)};

    if (message->outcome > CW_SLOT_REFUSED) {
        return; /* of a later version: the ask is repeated, then the server is chosen here */
    }
    reply.outcome = (cw_slot_outcome_t)message->outcome;
    cw_engine_slot_reply(router->engine, &reply);
}

void cw_router_handle_slot_return(cw_router_t *router, const cw_peer_t *peer, const Cwp__SlotReturn *message)
{
    cw_server_signals_t signals = {.has_run = message->end == CW_SLOT_ANSWERED,
                                   .has_load = message->slots != 0,
                                   .load = {.running = message->running,
                                            .waiting = message->waiting,
                                            .slots = message->slots,
                                            .work_percent = message->work_percent},
                                   .has_limit = message->limit_per_s >= 0,
                                   .limit_per_s = message->limit_per_s};
    cw_slot_return_t    returned = {.node = peer->address,
                                    .ticket = message->ticket,
                                    .end = message->end > CW_SLOT_UNUSED ? CW_SLOT_UNUSED : (cw_slot_end_t)message->end,
                                    .signals = message->answered ? &signals : NULL};

    take_return(router, &returned, cw_router_now(router));
}

/* ---- who counts ---- */

static void add_candidate(cw_router_slots_t *slots, const cw_broker_candidate_t *candidate)
{
    if (slots->candidate_count == slots->candidate_room) {
        slots->candidate_room = slots->candidate_room == 0 ? 32 : 2 * slots->candidate_room;
        slots->candidates = cw_memory_resize(slots->candidates, slots->candidate_room * sizeof(*slots->candidates));
    }
    slots->candidates[slots->candidate_count++] = *candidate;
}

static void add_peers(cw_router_slots_t *slots, bool by_detour, cw_time_us_t now)
{
    const cw_peer_t *peer;

    for (peer = cw_peer_link_peers(slots->router->link); peer != NULL; peer = peer->next) {
        bool                  is_received = peer->last_received_at != 0 && !peer->is_lost;
        cw_broker_candidate_t other = {.address = peer->address, .capability = peer->capability, .zone = peer->zone};

        if (peer->stopping || peer->zone[0] == '\0' || is_received == by_detour) {
            continue;
        }
        if (is_received || cw_router_is_alive(slots->router, peer, now)) {
            add_candidate(slots, &other);
        }
    }
}

static void gather(cw_router_slots_t *slots, cw_time_us_t now)
{
    cw_router_t *router = slots->router;

    slots->candidate_count = 0;
    if (router->stopping_at == 0) {
        cw_broker_candidate_t own = {
            .address = own_address(slots), .capability = cw_router_capability(router), .zone = router->settings.zone};

        add_candidate(slots, &own);
    }
    add_peers(slots, false, now);
    slots->received_count = slots->candidate_count;
    add_peers(slots, true, now);
}

const cw_broker_candidate_t *cw_router_broker_candidates(const cw_router_t *router, size_t *count)
{
    *count = router->slots->received_count;
    return router->slots->candidates;
}

bool cw_router_nodes_are_many(const cw_router_t *router)
{
    return router->slots->is_on;
}

static void set_port(cw_router_slots_t *slots)
{
    cw_slot_port_t port = {
        .context = slots, .only_limited = !slots->is_on, .broker_of = broker_of, .ask = ask, .give_back = give_back};

    cw_engine_set_slots(slots->router->engine, &port);
}

void cw_router_slots_init(cw_router_t *router)
{
    cw_router_slots_t *slots = cw_memory_zeroed(sizeof(*slots));

    slots->router = router;
    slots->broker = cw_slot_broker_create(router->pool, router->settings.zone, on_replied, slots);
    uv_timer_init(&router->loop, &slots->deliver);
    slots->deliver.data = slots;
    router->slots = slots;
    set_port(slots);
}

void cw_router_slots_tick(cw_router_t *router, cw_time_us_t now)
{
    cw_router_slots_t *slots = router->slots;
    bool               is_on;

    cw_slot_broker_set_share(slots->broker, cw_router_quota_share(router));
    cw_slot_broker_tick(slots->broker, now);
    if (now - slots->gathered_at >= CW_MS(GATHER_EVERY_MS)) {
        slots->gathered_at = now;
        gather(slots, now);
    }
    is_on = slots->received_count >= CW_FLEET_MANY_NODES;
    if (is_on != slots->is_on) {
        slots->is_on = is_on;
        set_port(slots);
        /* Where slots are handed out, cold servers get requests by slots only: both together could pass the bound. */
        cw_server_pool_set_cold_rate(router->pool, is_on ? NULL : router->cold_rate);
    }
}
