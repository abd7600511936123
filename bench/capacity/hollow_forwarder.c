/**
 * @file hollow_forwarder.c
 * @brief Modelled surroundings of a forwarder and its journal replicas.
 */
#include "hollow_forwarder.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "cedarwinch/error.h"
#include "population.h"

enum {
    FORWARDER_NODE = 1,
    FIRST_CAPACITY = 1024,
    WINDOW_MS = 120000,
    SKEW_MS = 200,
    ENTRY_LIMIT = 1000000,
    BODY_LIMIT = 4096,
    JOURNAL_TIMEOUT_US = 500000,
    REQUEST_BODY = 200,
    TIMEOUT_US = 30 * CW_US_PER_S,
    OPENING_US = 10 * CW_US_PER_S,
    ANSWERS_AT_A_TIME = 1024
};

static void check_memory(const void *memory)
{
    if (memory == NULL) {
        fprintf(stderr, "capacity: no memory\n");
        exit(EXIT_FAILURE);
    }
}

/* ---- ports ---- */

static void grow_packets(cw_hollow_forwarder_t *world)
{
    size_t              capacity = world->capacity == 0 ? FIRST_CAPACITY : 2 * world->capacity;
    cw_hollow_packet_t *packets = calloc(capacity, sizeof(*packets));
    size_t              position;

    check_memory(packets);
    for (position = world->head; world->capacity != 0 && position < world->tail; position++) {
        packets[position % capacity] = world->packets[position % world->capacity];
    }
    free(world->packets);
    world->packets = packets;
    world->capacity = capacity;
}

static void take_send(void *context, cw_node_id_t to, Cw__Envelope *envelope)
{
    cw_hollow_forwarder_t *world = context;
    cw_hollow_packet_t    *packet;

    if (world->tail - world->head == world->capacity) {
        grow_packets(world);
    }
    packet = &world->packets[world->tail++ % world->capacity];
    packet->length = cw__envelope__get_packed_size(envelope);
    packet->data = malloc(packet->length);
    packet->kind = cw_capacity_kind(envelope);
    packet->to = to;
    cw__envelope__pack(envelope, packet->data);
    cw_capacity_traffic_add(&world->traffic, packet->kind, packet->length);
}

static void take_server_request(void *context, const cw_server_request_t *request)
{
    cw_hollow_forwarder_t *world = context;

    if (world->sent_count == world->sent_capacity) {
        world->sent_capacity = world->sent_capacity == 0 ? FIRST_CAPACITY : 2 * world->sent_capacity;
        world->sent = realloc(world->sent, world->sent_capacity * sizeof(*world->sent));
        check_memory(world->sent);
    }
    world->sent[world->sent_count++] = request->id;
}

static void ignore_cancel(void *context, uint64_t request_id)
{
    (void)context;
    (void)request_id;
}

static cw_range_readiness_t always_ready(void *context, cw_range_id_t range, cw_fence_t fence)
{
    (void)context;
    (void)range;
    (void)fence;
    return CW_RANGE_READY;
}

static int64_t long_lease(void *context, cw_server_id_t server, cw_instant_t now)
{
    (void)context;
    (void)server;
    (void)now;
    return INT64_C(3600) * CW_US_PER_S;
}

/* ---- life cycle ---- */

static bool collect_route(void *context, const Cw__RangeInfo *range)
{
    cw_hollow_forwarder_t *world = context;
    const Cw__ServerInfo  *server = cw_control_state_server(world->state, range->server);
    cw_fence_t             fence = cw_fence_effective(range, server);
    cw_hollow_route_t     *route = &world->routes[world->route_count];

    if (server->forwarder == FORWARDER_NODE) {
        cw__fence__init(&route->fence);
        route->range = range->id;
        route->server = range->server;
        route->low = range->low;
        route->fence.generation = fence.generation;
        route->fence.index = fence.index;
        world->service = range->service;
        world->route_count++;
    }
    return true;
}

static void create_replicas(cw_hollow_forwarder_t *world, const cw_ports_t *ports)
{
    size_t position;

    for (position = 0; position < CW_HOLLOW_REPLICAS; position++) {
        cw_journal_options_t options = {.incarnation = CW_CAPACITY_INCARNATIONS + position + 1,
                                        .window_ms = WINDOW_MS,
                                        .entry_limit = ENTRY_LIMIT,
                                        .body_limit = BODY_LIMIT};

        if (cw_journal_create(&world->journals[position], &options, ports) != CW_OK) {
            check_memory(NULL);
        }
    }
}

cw_hollow_forwarder_t *cw_hollow_forwarder_create(size_t servers, size_t ranges_per_server,
                                                  const cw_capacity_meter_t *meter)
{
    cw_capacity_population_t population = {CW_HOLLOW_REPLICAS, 1, servers, ranges_per_server};
    cw_hollow_forwarder_t   *world = calloc(1, sizeof(*world));
    cw_lease_view_t          view = {NULL, always_ready, long_lease};
    cw_ports_t               ports = {.context = world, .send = take_send};
    cw_forwarder_options_t   options = {.node = FORWARDER_NODE,
                                        .incarnation = CW_CAPACITY_INCARNATIONS + FORWARDER_NODE,
                                        .journal_window_ms = WINDOW_MS,
                                        .clock_skew_ms = SKEW_MS,
                                        .journal_timeout_us = JOURNAL_TIMEOUT_US,
                                        .unfinished_first = true};

    ports.server_request = take_server_request;
    ports.server_cancel = ignore_cancel;
    world->meter = meter;
    world->now = (cw_instant_t){OPENING_US, INT64_C(1790000100000)};
    world->state = cw_capacity_population_create(&population);
    world->routes = calloc(servers * ranges_per_server + 1, sizeof(*world->routes));
    check_memory(world->routes);
    cw_control_state_each_range(world->state, collect_route, world);
    create_replicas(world, &ports);
    if (cw_forwarder_create_with_view(&world->forwarder, &options, &ports, &view) != CW_OK) {
        check_memory(NULL);
    }
    cw_forwarder_routes_changed(world->forwarder, world->state, world->now);
    cw_hollow_forwarder_deliver(world);
    world->now.monotonic_us += OPENING_US;
    world->now.wall_ms += OPENING_US / CW_US_PER_MS;
    cw_forwarder_tick(world->forwarder, world->now);
    cw_hollow_forwarder_deliver(world);
    return world;
}

void cw_hollow_forwarder_free(cw_hollow_forwarder_t *world)
{
    size_t position;

    cw_forwarder_free(world->forwarder);
    for (position = 0; position < CW_HOLLOW_REPLICAS; position++) {
        cw_journal_free(world->journals[position]);
    }
    for (; world->head < world->tail; world->head++) {
        free(world->packets[world->head % world->capacity].data);
    }
    cw_control_state_free(world->state);
    free(world->packets);
    free(world->sent);
    free(world->routes);
    free(world);
}

/* ---- requests ---- */

/** UUIDv7 of the present time, with the number in its last bytes. */
static void fill_request_id(uint8_t id[CW_REQUEST_ID_BYTES], int64_t time_ms, uint64_t number)
{
    int position;

    memset(id, 0, CW_REQUEST_ID_BYTES);
    for (position = 0; position < 6; position++) {
        id[position] = (uint8_t)(time_ms >> (8 * (5 - position)));
    }
    id[6] = 0x70;
    id[8] = 0x80;
    memcpy(&id[9], &number, 7);
}

void cw_hollow_forwarder_request(cw_hollow_forwarder_t *world, bool repeatable)
{
    static uint8_t           body[REQUEST_BODY];
    const cw_hollow_route_t *route = &world->routes[world->last_gateway_id % world->route_count];
    Cw__Envelope             envelope = CW__ENVELOPE__INIT;
    Cw__ForwardRequest       message = CW__FORWARD_REQUEST__INIT;
    Cw__Fence                fence = route->fence;
    uint8_t                  id[CW_REQUEST_ID_BYTES];

    fill_request_id(id, world->now.wall_ms, ++world->last_gateway_id);
    message.id = world->last_gateway_id;
    message.gateway = envelope.from = CW_HOLLOW_GATEWAY;
    message.gateway_incarnation = envelope.from_incarnation = CW_HOLLOW_GATEWAY;
    message.tenant = (char *)"tenant-00000";
    message.service = world->service;
    message.server = route->server;
    message.range = route->range;
    message.fence = &fence;
    message.key = (char *)"case-00000001";
    message.key_hash = route->low;
    message.method = (char *)(repeatable ? "GET" : "POST");
    message.path = (char *)"/certify";
    message.body.data = body;
    message.body.len = sizeof(body);
    message.timeout_us = TIMEOUT_US;
    message.request_id.data = id;
    message.request_id.len = sizeof(id);
    message.request_digest = 1;
    message.repeatable = repeatable;
    envelope.to = FORWARDER_NODE;
    envelope.body_case = CW__ENVELOPE__BODY_FORWARD_REQUEST;
    envelope.forward_request = &message;
    take_send(world, FORWARDER_NODE, &envelope);
}

static void receive(cw_hollow_forwarder_t *world, const cw_hollow_packet_t *packet)
{
    bool for_journal =
        packet->kind == CW__ENVELOPE__BODY_JOURNAL_START || packet->kind == CW__ENVELOPE__BODY_JOURNAL_FINISH ||
        packet->kind == CW__ENVELOPE__BODY_JOURNAL_SEAL || packet->kind == CW__ENVELOPE__BODY_JOURNAL_COPY;
    cw_capacity_mark_t  mark;
    cw_capacity_cost_t *cost = for_journal ? &world->journal_cost : &world->forwarder_cost;
    Cw__Envelope       *envelope;

    cw_capacity_meter_start(world->meter, &mark);
    envelope = cw__envelope__unpack(NULL, packet->length, packet->data);
    if (packet->to == CW_HOLLOW_GATEWAY) {
        world->answered += envelope->forward_response->outcome == CW__OUTCOME__OUTCOME_ANSWERED;
        cw__envelope__free_unpacked(envelope, NULL);
        return; /* the gateway's cost is not counted here */
    }
    if (for_journal) {
        cw_journal_receive(world->journals[packet->to - 1], envelope, world->now);
    } else {
        cw_forwarder_receive(world->forwarder, envelope, world->now);
    }
    cw__envelope__free_unpacked(envelope, NULL);
    cw_capacity_meter_stop(world->meter, &mark, cost);
}

void cw_hollow_forwarder_deliver(cw_hollow_forwarder_t *world)
{
    while (world->head < world->tail) {
        cw_hollow_packet_t packet = world->packets[world->head++ % world->capacity];

        receive(world, &packet);
        free(packet.data);
    }
}

static void answer(cw_hollow_forwarder_t *world, uint64_t id)
{
    static const uint8_t body[CW_HOLLOW_ANSWER_BYTES];
    cw_server_response_t response = {.id = id, .result = CW_SERVER_ANSWERED, .status = 200, .body = body};
    cw_capacity_mark_t   mark;

    response.body_length = sizeof(body);
    cw_capacity_meter_start(world->meter, &mark);
    cw_forwarder_server_responded(world->forwarder, &response, world->now);
    cw_capacity_meter_stop(world->meter, &mark, &world->forwarder_cost);
}

void cw_hollow_forwarder_finish(cw_hollow_forwarder_t *world)
{
    uint64_t ids[ANSWERS_AT_A_TIME];
    size_t   count;
    size_t   position;

    while (world->sent_count > 0) {
        count = world->sent_count < ANSWERS_AT_A_TIME ? world->sent_count : ANSWERS_AT_A_TIME;
        world->sent_count -= count;
        memcpy(ids, &world->sent[world->sent_count], count * sizeof(*ids));
        for (position = 0; position < count; position++) {
            answer(world, ids[position]);
        }
        cw_hollow_forwarder_deliver(world);
    }
}

void cw_hollow_forwarder_reset(cw_hollow_forwarder_t *world)
{
    memset(&world->traffic, 0, sizeof(world->traffic));
    memset(&world->forwarder_cost, 0, sizeof(world->forwarder_cost));
    memset(&world->journal_cost, 0, sizeof(world->journal_cost));
    world->answered = 0;
}
