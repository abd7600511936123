/**
 * @file hollow.c
 * @brief Modelled network of relays.
 */
#include "hollow.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "cedarwinch/error.h"
#include "population.h"

enum { SEEDS = 3, FIRST_CAPACITY = 1024, TERM = 1, START_US = 7000000 };

static void grow_queue(cw_hollow_t *network)
{
    size_t               capacity = network->capacity == 0 ? FIRST_CAPACITY : 2 * network->capacity;
    cw_hollow_message_t *queue = calloc(capacity, sizeof(*queue));
    size_t               position;

    if (queue == NULL) {
        fprintf(stderr, "capacity: no memory\n");
        exit(EXIT_FAILURE);
    }
    for (position = network->head; network->capacity != 0 && position < network->tail; position++) {
        queue[position % capacity] = network->queue[position % network->capacity];
    }
    free(network->queue);
    network->queue = queue;
    network->capacity = capacity;
}

static void enqueue(cw_hollow_t *network, const cw_hollow_message_t *message)
{
    if (network->tail - network->head == network->capacity) {
        grow_queue(network);
    }
    network->queue[network->tail++ % network->capacity] = *message;
}

static void hollow_send(void *context, cw_node_id_t to, Cw__Envelope *envelope)
{
    cw_hollow_node_t   *from = context;
    cw_hollow_message_t message;

    message.length = cw__envelope__get_packed_size(envelope);
    message.data = malloc(message.length);
    message.kind = cw_capacity_kind(envelope);
    message.to = to;
    cw__envelope__pack(envelope, message.data);
    cw_capacity_traffic_add(&from->sent, message.kind, message.length);
    enqueue(from->network, &message);
}

static void ignore_node(void *context, const Cw__NodeInfo *node)
{
    (void)context;
    (void)node;
}

static cw_node_id_t tree_parent(cw_node_id_t id)
{
    size_t rank = id - CW_HOLLOW_LEADER - 1;

    return rank < CW_RELAY_FANOUT ? CW_HOLLOW_LEADER
                                  : (cw_node_id_t)(rank / CW_RELAY_FANOUT - 1) + CW_HOLLOW_LEADER + 1;
}

bool cw_hollow_is_inner(const cw_hollow_t *network, cw_node_id_t id)
{
    size_t rank = id - CW_HOLLOW_LEADER - 1;

    return id != CW_HOLLOW_LEADER && CW_RELAY_FANOUT * (rank + 1) < network->count - 1;
}

static void create_relay(cw_hollow_node_t *node)
{
    cw_capacity_node_t  self;
    cw_capacity_node_t  seeds[SEEDS];
    const Cw__NodeInfo *seed_pointers[SEEDS];
    cw_ports_t          ports = {.context = node, .send = hollow_send, .learn_node = ignore_node};
    cw_relay_options_t  options = {.interval_us = CW_HOLLOW_INTERVAL_US, .out_of_touch_us = CW_HOLLOW_OUT_OF_TOUCH_US};
    size_t              position;

    cw_capacity_node_init(&self, node->id);
    for (position = 0; position < SEEDS; position++) {
        cw_capacity_node_init(&seeds[position], (cw_node_id_t)position + 1);
        seeds[position].info.incarnation = 0;
        seed_pointers[position] = &seeds[position].info;
    }
    options.self = &self.info;
    options.seeds = seed_pointers;
    options.seed_count = SEEDS;
    if (cw_relay_create(&node->relay, &options, &ports, node->network->now) != CW_OK) {
        fprintf(stderr, "capacity: a relay was not made\n");
        exit(EXIT_FAILURE);
    }
    node->network->real_count++;
}

static void create_node(cw_hollow_t *network, cw_node_id_t id, size_t leaf_stride)
{
    cw_hollow_node_t *node = &network->nodes[id];

    node->network = network;
    node->id = id;
    if (id == CW_HOLLOW_LEADER || cw_hollow_is_inner(network, id) || id % leaf_stride == 0) {
        create_relay(node);
        return;
    }
    node->version = cw_control_state_version(network->state);
    node->next_us = network->now.monotonic_us + (cw_time_us_t)(id * 7919U % CW_HOLLOW_INTERVAL_US);
}

cw_hollow_t *cw_hollow_create(cw_control_state_t *state, size_t count, size_t leaf_stride,
                              const cw_capacity_meter_t *meter)
{
    cw_hollow_t *network = calloc(1, sizeof(*network));
    cw_node_id_t id;

    network->meter = meter;
    network->state = state;
    network->count = count;
    network->nodes = calloc(count + 1, sizeof(*network->nodes));
    network->now.monotonic_us = START_US;
    for (id = 1; id <= count; id++) {
        create_node(network, id, leaf_stride);
    }
    return network;
}

void cw_hollow_free(cw_hollow_t *network)
{
    cw_node_id_t id;

    for (; network->head < network->tail; network->head++) {
        free(network->queue[network->head % network->capacity].data);
    }
    for (id = 1; id <= network->count; id++) {
        cw_relay_free(network->nodes[id].relay);
    }
    free(network->queue);
    free(network->nodes);
    free(network);
}

void cw_hollow_publish(cw_hollow_t *network)
{
    cw_hollow_node_t  *leader = &network->nodes[CW_HOLLOW_LEADER];
    cw_capacity_node_t member;
    Cw__NodeInfo      *members[] = {&member.info};
    Cw__Membership     membership = CW__MEMBERSHIP__INIT;
    cw_capacity_mark_t mark;

    cw_capacity_node_init(&member, CW_HOLLOW_LEADER);
    membership.n_voters = 1;
    membership.voters = members;
    cw_capacity_meter_start(network->meter, &mark);
    (void)cw_relay_set_source(leader->relay, network->state, CW_CAPACITY_GENERATION, TERM, network->beat, &membership,
                              network->now);
    cw_capacity_meter_stop(network->meter, &mark, &leader->cost);
}

/** A modelled leaf takes what it is sent as a relay does, but for the table. */
static void take_as_leaf(cw_hollow_node_t *node, const Cw__Envelope *envelope)
{
    if (envelope->body_case == CW__ENVELOPE__BODY_ROUTE_UPDATE) {
        node->version = envelope->route_update->version;
    }
}

static void receive(cw_hollow_t *network, cw_hollow_node_t *node, const cw_hollow_message_t *message)
{
    cw_capacity_mark_t mark;
    Cw__Envelope      *envelope;

    cw_capacity_traffic_add(&node->received, message->kind, message->length);
    cw_capacity_meter_start(network->meter, &mark);
    envelope = cw__envelope__unpack(NULL, message->length, message->data);
    if (node->relay != NULL) {
        (void)cw_relay_receive(node->relay, envelope, network->now);
    } else {
        take_as_leaf(node, envelope);
    }
    cw__envelope__free_unpacked(envelope, NULL);
    cw_capacity_meter_stop(network->meter, &mark, &node->cost);
}

static void deliver(cw_hollow_t *network)
{
    size_t end = network->tail;

    while (network->head < end) {
        cw_hollow_message_t message = network->queue[network->head++ % network->capacity];

        receive(network, &network->nodes[message.to], &message);
        free(message.data);
    }
}

static void subscribe_as_leaf(cw_hollow_node_t *node)
{
    Cw__Envelope       envelope = CW__ENVELOPE__INIT;
    Cw__RouteSubscribe subscribe = CW__ROUTE_SUBSCRIBE__INIT;
    Cw__NodeInfo       brief = CW__NODE_INFO__INIT;

    brief.id = envelope.from = node->id;
    brief.incarnation = envelope.from_incarnation = CW_CAPACITY_INCARNATIONS + node->id;
    subscribe.node = &brief;
    subscribe.version = node->version;
    subscribe.generation = CW_CAPACITY_GENERATION;
    envelope.to = tree_parent(node->id);
    envelope.body_case = CW__ENVELOPE__BODY_ROUTE_SUBSCRIBE;
    envelope.route_subscribe = &subscribe;
    hollow_send(node, envelope.to, &envelope);
}

static void tick_node(cw_hollow_t *network, cw_hollow_node_t *node)
{
    cw_capacity_mark_t mark;

    if (node->relay == NULL) {
        if (network->now.monotonic_us >= node->next_us) {
            node->next_us += CW_HOLLOW_INTERVAL_US;
            subscribe_as_leaf(node);
        }
        return;
    }
    if (network->now.monotonic_us < cw_relay_next_tick(node->relay)) {
        return;
    }
    cw_capacity_meter_start(network->meter, &mark);
    cw_relay_tick(node->relay, network->now);
    cw_capacity_meter_stop(network->meter, &mark, &node->cost);
}

void cw_hollow_step(cw_hollow_t *network)
{
    cw_node_id_t id;

    network->now.monotonic_us += CW_HOLLOW_STEP_US;
    if (network->now.monotonic_us % (CW_HOLLOW_INTERVAL_US / 2) == 0) {
        network->beat++;
        cw_hollow_publish(network);
    }
    deliver(network);
    for (id = 1; id <= network->count; id++) {
        tick_node(network, &network->nodes[id]);
    }
}

void cw_hollow_run(cw_hollow_t *network, cw_time_us_t time_us)
{
    cw_time_us_t end = network->now.monotonic_us + time_us;

    while (network->now.monotonic_us < end) {
        cw_hollow_step(network);
    }
}

size_t cw_hollow_count_behind(const cw_hollow_t *network)
{
    uint64_t     version = cw_control_state_version(network->state);
    size_t       behind = 0;
    cw_node_id_t id;

    for (id = 1; id <= network->count; id++) {
        const cw_hollow_node_t *node = &network->nodes[id];

        if (node->relay == NULL) {
            behind += node->version != version;
        } else {
            behind += cw_relay_version(node->relay) != version || !cw_relay_in_touch(node->relay, network->now);
        }
    }
    return behind;
}

void cw_hollow_reset_counts(cw_hollow_t *network)
{
    cw_node_id_t id;

    for (id = 1; id <= network->count; id++) {
        cw_hollow_node_t *node = &network->nodes[id];

        memset(&node->sent, 0, sizeof(node->sent));
        memset(&node->received, 0, sizeof(node->received));
        memset(&node->cost, 0, sizeof(node->cost));
    }
}
