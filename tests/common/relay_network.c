/**
 * @file relay_network.c
 * @brief Modelled network of relays for tests.
 */
#include "relay_network.h"

#include <check.h>
#include <stdlib.h>

enum { DELAY_PERCENT = 60 };

void relay_network_fill_node(Cw__NodeInfo *node, cw_node_id_t id)
{
    cw__node_info__init(node);
    node->id = id;
    node->incarnation = 1000 + id;
    node->zone = "a";
    node->region = "r";
    node->address = "127.0.0.1";
    node->peer_port = 4000 + id;
    node->state = CW__NODE_STATE__NODE_UP;
}

static void count_message(relay_network_t *network, cw_node_id_t to, const Cw__Envelope *envelope)
{
    if (envelope->body_case == CW__ENVELOPE__BODY_ROUTE_UPDATE && envelope->route_update->changes != NULL) {
        network->changes_sent++;
        network->full_updates += envelope->route_update->base_version == 0;
    }
    network->subscribed_to[to] += envelope->body_case == CW__ENVELOPE__BODY_ROUTE_SUBSCRIBE;
    network->alternatives += envelope->body_case == CW__ENVELOPE__BODY_HELLO && envelope->hello->alternative != NULL;
    network->hellos += envelope->body_case == CW__ENVELOPE__BODY_HELLO && envelope->hello->request;
}

static void network_send(void *context, cw_node_id_t to, Cw__Envelope *envelope)
{
    relay_endpoint_t *from = context;
    relay_network_t  *network = from->network;
    relay_message_t  *message = &network->queue[network->tail++ % RELAY_QUEUE_MAX];

    message->length = cw__envelope__get_packed_size(envelope);
    message->data = malloc(message->length);
    message->to = to;
    cw__envelope__pack(envelope, message->data);
    network->bytes_sent += message->length;
    count_message(network, to, envelope);
    if (from->cut || network->nodes[to].cut || cw_random_below(&network->random, 100) < network->loss_percent) {
        free(message->data);
        network->tail--;
    }
}

static void ignore_node(void *context, const Cw__NodeInfo *node)
{
    (void)context;
    (void)node;
}

void relay_network_apply_nodes(relay_network_t *network, cw_node_id_t first, cw_node_id_t last)
{
    Cw__NodeInfo  nodes[RELAY_NODES + 1];
    Cw__NodeInfo *pointers[RELAY_NODES + 1];
    Cw__Command   command = CW__COMMAND__INIT;
    cw_node_id_t  id;

    for (id = first; id <= last; id++) {
        relay_network_fill_node(&nodes[id], id);
        pointers[command.n_nodes++] = &nodes[id];
    }
    command.nodes = pointers;
    ck_assert_int_eq(cw_control_state_apply(network->state, &command, 1, ++network->index), 0);
}

void relay_network_create_relay(relay_network_t *network, cw_node_id_t id)
{
    static const cw_node_id_t seed_ids[] = {2, 3, RELAY_LEADER};
    relay_endpoint_t         *node = &network->nodes[id];
    Cw__NodeInfo              self;
    Cw__NodeInfo              seeds[3];
    const Cw__NodeInfo       *pointers[3];
    cw_ports_t                ports = {.context = node, .send = network_send, .learn_node = ignore_node};
    cw_relay_options_t        options = {.interval_us = RELAY_INTERVAL_US, .out_of_touch_us = RELAY_OUT_OF_TOUCH_US};
    size_t                    i;

    relay_network_fill_node(&self, id);
    for (i = 0; i < 3; i++) {
        relay_network_fill_node(&seeds[i], seed_ids[i]);
        seeds[i].incarnation = 0;
        pointers[i] = &seeds[i];
    }
    options.self = &self;
    options.seeds = pointers;
    options.seed_count = 3;
    node->network = network;
    node->id = id;
    ck_assert_int_eq(cw_relay_create(&node->relay, &options, &ports, network->now), 0);
}

relay_network_t *relay_network_create(void)
{
    relay_network_t *network = calloc(1, sizeof(*network));
    cw_node_id_t     id;

    network->state = cw_control_state_create();
    network->leader = RELAY_LEADER;
    network->term = 1;
    network->now.monotonic_us = 7000000;
    relay_network_apply_nodes(network, 1, RELAY_NODES);
    for (id = 1; id <= RELAY_NODES; id++) {
        relay_network_create_relay(network, id);
    }
    return network;
}

void relay_network_free(relay_network_t *network)
{
    cw_node_id_t id;

    for (; network->head < network->tail; network->head++) {
        free(network->queue[network->head % RELAY_QUEUE_MAX].data);
    }
    for (id = 1; id <= RELAY_NODES; id++) {
        cw_relay_free(network->nodes[id].relay);
    }
    cw_control_state_free(network->state);
    free(network);
}

void relay_network_set_source(relay_network_t *network)
{
    Cw__NodeInfo   member;
    Cw__NodeInfo  *members[] = {&member};
    Cw__Membership membership = CW__MEMBERSHIP__INIT;

    relay_network_fill_node(&member, network->leader);
    membership.n_voters = 1;
    membership.voters = members;
    (void)cw_relay_set_source(network->nodes[network->leader].relay, network->state, 1, network->term, network->beat,
                              &membership, network->now);
}

static void deliver(relay_network_t *network)
{
    size_t end = network->tail;

    for (; network->head < end; network->head++) {
        relay_message_t *message = &network->queue[network->head % RELAY_QUEUE_MAX];
        Cw__Envelope    *envelope;

        if (network->loss_percent > 0 && cw_random_below(&network->random, 100) < DELAY_PERCENT) {
            network->queue[network->tail++ % RELAY_QUEUE_MAX] = *message; /* later, behind others */
            continue;
        }
        envelope = cw__envelope__unpack(NULL, message->length, message->data);
        (void)cw_relay_receive(network->nodes[message->to].relay, envelope, network->now);
        cw__envelope__free_unpacked(envelope, NULL);
        free(message->data);
    }
}

void relay_network_run(relay_network_t *network, int64_t time_us)
{
    int64_t      end = network->now.monotonic_us + time_us;
    cw_node_id_t id;

    while (network->now.monotonic_us < end) {
        network->now.monotonic_us += RELAY_STEP_US;
        if (network->now.monotonic_us % (RELAY_INTERVAL_US / 10) == 0) {
            network->beat++;
            relay_network_set_source(network);
        }
        deliver(network);
        for (id = 1; id <= RELAY_NODES; id++) {
            cw_relay_tick(network->nodes[id].relay, network->now);
        }
    }
}

size_t relay_network_count_behind(const relay_network_t *network)
{
    uint64_t     version = cw_control_state_version(network->state);
    size_t       behind = 0;
    cw_node_id_t id;

    for (id = 1; id <= RELAY_NODES; id++) {
        const relay_endpoint_t *node = &network->nodes[id];
        bool                    current = cw_relay_version(node->relay) == version &&
                       cw_control_state_version(cw_relay_routes(node->relay)) == version &&
                       cw_relay_in_touch(node->relay, network->now);

        behind += !node->cut && !current;
    }
    return behind;
}

void relay_network_subscribe(relay_network_t *network, cw_node_id_t to, cw_node_id_t from, uint64_t generation,
                             uint64_t version)
{
    Cw__Envelope       envelope = CW__ENVELOPE__INIT;
    Cw__RouteSubscribe subscribe = CW__ROUTE_SUBSCRIBE__INIT;
    Cw__NodeInfo       node;

    relay_network_fill_node(&node, from);
    subscribe.node = &node;
    subscribe.generation = generation;
    subscribe.version = version;
    envelope.from = from;
    envelope.body_case = CW__ENVELOPE__BODY_ROUTE_SUBSCRIBE;
    envelope.route_subscribe = &subscribe;
    (void)cw_relay_receive(network->nodes[to].relay, &envelope, network->now);
}
