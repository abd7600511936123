/**
 * @file router_slots.c
 * @brief Connects the slots of servers to the node: which nodes count them, the datagrams to and from those nodes, and
 * the slots that this node counts.
 *
 * In a small fleet, slots are requested only at servers with a rate limit: a few nodes report each request to one
 * another at once, so they need no common count.
 */
#include <stdlib.h>
#include <string.h>

#include "base/memory.h"
#include "router/router_internal.h"

enum {
    CANDIDATES_UPDATE_MS = 100 /* between updates of the nodes that may count slots; well below CW_PEER_TIMEOUT_MS */
};

static const double no_limit = -1; /* in messages: the server has no rate limit */

/** A message of this node to itself. It is delivered by the event loop, as messages of other nodes are. */
typedef struct self_message {
    cw_slot_reply_t     reply;
    cw_slot_ask_t       ask;
    cw_slot_return_t    returned;
    cw_server_signals_t signals;
    enum { SELF_ASK, SELF_REPLY, SELF_RETURN } kind;
} self_message_t;

struct cw_router_slots {
    cw_router_t      *router;
    cw_slot_broker_t *broker;
    /* Nodes that may count slots: first those that this node receives from directly, then those that it reaches by
     * detours. */
    cw_broker_candidate_t *candidates;
    size_t                 candidate_count;
    size_t                 direct_count; /* number of candidates that this node receives from directly */
    size_t                 candidate_capacity;
    cw_time_us_t           candidates_updated_at;
    bool                   are_nodes_many;
    uv_timer_t             deliver;
    self_message_t        *self_messages;
    size_t                 self_message_count;
    size_t                 self_message_capacity;
};

/* ---- messages to this node itself ---- */

static uint32_t own_address(const cw_router_slots_t *slots)
{
    return cw_peer_link_own_address(slots->router->link);
}

static self_message_t *add_self_message(cw_router_slots_t *slots)
{
    if (slots->self_message_count == slots->self_message_capacity) {
        slots->self_message_capacity = slots->self_message_capacity == 0 ? 32 : 2 * slots->self_message_capacity;
        slots->self_messages =
            cw_memory_resize(slots->self_messages, slots->self_message_capacity * sizeof(*slots->self_messages));
    }
    memset(&slots->self_messages[slots->self_message_count], 0, sizeof(*slots->self_messages));
    return &slots->self_messages[slots->self_message_count++];
}

static cw_time_us_t usual_time_of(cw_router_t *router, uint32_t service)
{
    return cw_engine_mean_time_by_hash(router->engine, service);
}

/* Applies the state that the server reported in its answer before its slot is granted to the next request. */
static void handle_return(cw_router_t *router, const cw_slot_return_t *returned, cw_time_us_t now)
{
    cw_slot_broker_t *broker = router->slots->broker;
    uint32_t          hash = cw_slot_broker_granted_server(broker, returned->node, returned->ticket);
    cw_server_t      *server = (cw_server_t *)cw_server_pool_find_hash(router->pool, hash);

    if (server != NULL && returned->signals != NULL && returned->node != own_address(router->slots)) {
        cw_engine_apply_signals(router->engine, server, returned->signals, NULL);
    }
    cw_slot_broker_return(broker, returned, now);
}

static void deliver(cw_router_slots_t *slots, const self_message_t *message)
{
    cw_router_t     *router = slots->router;
    cw_slot_return_t returned = message->returned;
    cw_time_us_t     now = cw_router_now(router);

    switch (message->kind) {
    case SELF_ASK:
        cw_slot_broker_ask(slots->broker, &message->ask, usual_time_of(router, message->ask.service), now);
        break;
    case SELF_REPLY:
        cw_engine_slot_reply(router->engine, &message->reply);
        break;
    case SELF_RETURN:
        returned.signals = returned.signals == NULL ? NULL : &message->signals;
        handle_return(router, &returned, now);
        break;
    }
}

/* Messages that are added during the delivery are delivered in the next iteration of the loop. */
static void on_deliver(uv_timer_t *timer)
{
    cw_router_slots_t *slots = timer->data;
    self_message_t    *messages = slots->self_messages;
    size_t             count = slots->self_message_count;
    size_t             index;

    slots->self_messages = NULL;
    slots->self_message_count = 0;
    slots->self_message_capacity = 0;
    for (index = 0; index < count; index++) {
        deliver(slots, &messages[index]);
    }
    free(messages);
}

static void schedule_delivery(cw_router_slots_t *slots)
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
        (void)cw_router_send_to(router, peer, datagram); /* a datagram that is too long is logged where it is packed */
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
        self_message_t *own = add_self_message(slots);

        own->kind = SELF_ASK;
        own->ask = *asked;
        own->ask.node = broker;
        schedule_delivery(slots);
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
        self_message_t *own = add_self_message(slots);

        own->kind = SELF_RETURN;
        own->returned = *returned;
        own->returned.node = broker;
        if (returned->signals != NULL) {
            own->signals = *returned->signals;
        }
        schedule_delivery(slots);
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

/* ---- this node as a broker ---- */

static void send_reply(void *context, const cw_slot_reply_t *reply)
{
    cw_router_slots_t *slots = context;
    Cwp__SlotReply     message = CWP__SLOT_REPLY__INIT;
    Cwp__Datagram      datagram = CWP__DATAGRAM__INIT;

    if (reply->node == own_address(slots)) {
        self_message_t *own = add_self_message(slots);

        own->kind = SELF_REPLY;
        own->reply = *reply;
        schedule_delivery(slots);
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
        cw_router_apply_limit(router, message->limit, cw_router_now(router));
    }
    cw_slot_broker_ask(router->slots->broker, &asked, usual_time_of(router, asked.service), cw_router_now(router));
}

void cw_router_handle_slot_reply(cw_router_t *router, const cw_peer_t *peer, const Cwp__SlotReply *message)
{
    cw_slot_reply_t reply = {.node = peer->address,
                             .ticket = message->ticket,
                             .server = message->server,
                             .free_after = CW_MS(message->free_after_ms)};

    if (message->outcome > CW_SLOT_REFUSED) {
        return; /* of a later version: the request for a slot is repeated, then this node chooses the server */
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
                                    .end = message->end > CW_SLOT_SPOILED ? CW_SLOT_UNUSED : (cw_slot_end_t)message->end,
                                    .signals = message->answered ? &signals : NULL};

    handle_return(router, &returned, cw_router_now(router));
}

/* ---- which nodes count slots ---- */

static void add_candidate(cw_router_slots_t *slots, const cw_broker_candidate_t *candidate)
{
    if (slots->candidate_count == slots->candidate_capacity) {
        slots->candidate_capacity = slots->candidate_capacity == 0 ? 32 : 2 * slots->candidate_capacity;
        slots->candidates = cw_memory_resize(slots->candidates, slots->candidate_capacity * sizeof(*slots->candidates));
    }
    slots->candidates[slots->candidate_count++] = *candidate;
}

static void add_peers(cw_router_slots_t *slots, bool is_detoured, cw_time_us_t now)
{
    const cw_peer_t *peer;

    for (peer = cw_peer_link_peers(slots->router->link); peer != NULL; peer = peer->next) {
        bool                  is_received = peer->last_received_at != 0 && !peer->is_lost;
        cw_broker_candidate_t other = {.address = peer->address, .capability = peer->capability, .zone = peer->zone};

        if (peer->stopping || peer->zone[0] == '\0' || is_received == is_detoured) {
            continue;
        }
        if (is_received || cw_router_is_alive(slots->router, peer, now)) {
            add_candidate(slots, &other);
        }
    }
}

static void update_candidates(cw_router_slots_t *slots, cw_time_us_t now)
{
    cw_router_t *router = slots->router;

    slots->candidate_count = 0;
    if (router->stopping_at == 0) {
        cw_broker_candidate_t own = {
            .address = own_address(slots), .capability = cw_router_capability(router), .zone = router->settings.zone};

        add_candidate(slots, &own);
    }
    add_peers(slots, false, now);
    slots->direct_count = slots->candidate_count;
    add_peers(slots, true, now);
}

const cw_broker_candidate_t *cw_router_broker_candidates(const cw_router_t *router, size_t *count)
{
    *count = router->slots->direct_count;
    return router->slots->candidates;
}

size_t cw_router_slots_granted(const cw_router_t *router)
{
    return cw_slot_broker_granted(router->slots->broker);
}

bool cw_router_nodes_are_many(const cw_router_t *router)
{
    return router->slots->are_nodes_many;
}

static void set_port(cw_router_slots_t *slots)
{
    cw_slot_port_t port = {.context = slots,
                           .only_limited = !slots->are_nodes_many,
                           .broker_of = broker_of,
                           .ask = ask,
                           .give_back = give_back};

    cw_engine_set_slots(slots->router->engine, &port);
}

void cw_router_slots_init(cw_router_t *router)
{
    cw_router_slots_t *slots = cw_memory_zeroed(sizeof(*slots));

    slots->router = router;
    slots->broker = cw_slot_broker_create(router->pool, router->settings.zone, send_reply, slots);
    uv_timer_init(&router->loop, &slots->deliver);
    slots->deliver.data = slots;
    router->slots = slots;
    set_port(slots);
}

void cw_router_slots_tick(cw_router_t *router, cw_time_us_t now)
{
    cw_router_slots_t *slots = router->slots;
    bool               are_nodes_many;

    cw_slot_broker_set_share(slots->broker, cw_router_quota_share(router));
    cw_slot_broker_tick(slots->broker, now);
    if (now - slots->candidates_updated_at >= CW_MS(CANDIDATES_UPDATE_MS)) {
        slots->candidates_updated_at = now;
        update_candidates(slots, now);
    }
    are_nodes_many = slots->direct_count >= CW_FLEET_MANY_NODES;
    if (are_nodes_many != slots->are_nodes_many) {
        slots->are_nodes_many = are_nodes_many;
        set_port(slots);
        /* With brokers, cold servers get requests by slots only: the two rates together could exceed the bound. */
        cw_server_pool_set_cold_rate(router->pool, are_nodes_many ? NULL : router->cold_rate);
    }
}
