/**
 * @file measure_gateway.c
 * @brief Gateway: processor time, bytes and memory of requests in flight. The envelope to and from the forwarder is
 *        packed and unpacked; HTTP and sockets are not part of it.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "bench.h"
#include "cedarwinch/gateway.h"
#include "population.h"
#include "traffic.h"

enum {
    SELF = 1,
    TENANTS = 50,
    SERVERS = 10,
    RANGES = 8,
    NODES = 100,
    BODY_REQUEST = 200,
    BODY_ANSWER = 1000,
    KEY_ROOM = 32,
    REQUESTS_MAX = 16000
};

static const size_t sizes[] = {250, 1000, 4000, 16000};

typedef struct hop {
    uint64_t         id;
    cw_incarnation_t gateway_incarnation;
} hop_t;

typedef struct gateway_world {
    cw_control_state_t   *state;
    cw_relay_t           *relay;
    cw_gateway_t         *gateway;
    cw_ports_t            ports;
    cw_instant_t          now;
    hop_t                *hops;
    size_t                hop_count;
    size_t                answered;
    cw_capacity_traffic_t traffic;
    uint8_t               buffer[4096];
} gateway_world_t;

static void take_send(void *context, cw_node_id_t to, Cw__Envelope *envelope)
{
    gateway_world_t *world = context;
    size_t           length = cw__envelope__get_packed_size(envelope);

    (void)to;
    if (envelope->body_case != CW__ENVELOPE__BODY_FORWARD_REQUEST || length > sizeof(world->buffer)) {
        return;
    }
    cw__envelope__pack(envelope, world->buffer);
    cw_capacity_traffic_add(&world->traffic, cw_capacity_kind(envelope), length);
    world->hops[world->hop_count].id = envelope->forward_request->id;
    world->hops[world->hop_count].gateway_incarnation = envelope->forward_request->gateway_incarnation;
    world->hop_count++;
}

static void take_answer(void *context, uint64_t caller_id, const Cw__ForwardResponse *response)
{
    gateway_world_t *world = context;

    (void)caller_id;
    world->answered += response->outcome == CW__OUTCOME__OUTCOME_ANSWERED;
}

static void ignore_node(void *context, const Cw__NodeInfo *node)
{
    (void)context;
    (void)node;
}

static gateway_world_t *world_create(size_t ranges_per_server)
{
    cw_capacity_population_t population = {NODES, TENANTS, SERVERS, ranges_per_server};
    gateway_world_t         *world = calloc(1, sizeof(*world));
    cw_capacity_node_t       self;
    cw_relay_options_t       relay = {.interval_us = 300000, .out_of_touch_us = 3000000};
    cw_gateway_options_t     options = {.node = SELF, .incarnation = 900, .seed = 1, .retry_budget_percent = 10};

    cw_capacity_node_init(&self, SELF);
    relay.self = &self.info;
    options.request_limit = 2 * REQUESTS_MAX;
    world->now = (cw_instant_t){CW_US_PER_S, INT64_C(1790000000000)};
    world->ports = (cw_ports_t){.context = world, .send = take_send, .learn_node = ignore_node, .respond = take_answer};
    world->hops = calloc(REQUESTS_MAX, sizeof(hop_t));
    world->state = cw_capacity_population_create(&population);
    if (cw_relay_create(&world->relay, &relay, &world->ports, world->now) != 0 ||
        cw_gateway_create(&world->gateway, &options, &world->ports, world->relay) != 0) {
        fprintf(stderr, "capacity: no gateway\n");
        exit(EXIT_FAILURE);
    }
    (void)cw_relay_set_source(world->relay, world->state, CW_CAPACITY_GENERATION, 1, 1, NULL, world->now);
    return world;
}

static void world_free(gateway_world_t *world)
{
    cw_gateway_free(world->gateway);
    cw_relay_free(world->relay);
    cw_control_state_free(world->state);
    free(world->hops);
    free(world);
}

static void send_requests(gateway_world_t *world, size_t count)
{
    static const uint8_t body[BODY_REQUEST];
    char                 tenant[KEY_ROOM];
    char                 key[KEY_ROOM];
    Cw__Header           header = CW__HEADER__INIT;
    Cw__Header          *headers[] = {&header};
    cw_caller_request_t  request = {.service = cw_capacity_service_name(),
                                    .tenant = tenant,
                                    .key = key,
                                    .method = "GET",
                                    .path = "/pages/17",
                                    .token = cw_capacity_caller_token(),
                                    .headers = headers,
                                    .header_count = 1,
                                    .body = body,
                                    .body_length = sizeof(body)};
    size_t               number;

    header.name = (char *)"content-type";
    header.value = (char *)"application/json";
    for (number = 0; number < count; number++) {
        cw_capacity_tenant_name(tenant, sizeof(tenant), number % TENANTS);
        request.key_length = (size_t)snprintf(key, sizeof(key), "case-%08zu", number);
        request.caller_id = number + 1;
        cw_gateway_request(world->gateway, &request, world->now);
    }
}

static void answer_requests(gateway_world_t *world)
{
    static uint8_t      body[BODY_ANSWER];
    Cw__Envelope        envelope = CW__ENVELOPE__INIT;
    Cw__ForwardResponse response = CW__FORWARD_RESPONSE__INIT;
    Cw__Envelope       *received;
    size_t              length;
    size_t              number;

    response.outcome = CW__OUTCOME__OUTCOME_ANSWERED;
    response.status = 200;
    response.body.data = body;
    response.body.len = sizeof(body);
    envelope.body_case = CW__ENVELOPE__BODY_FORWARD_RESPONSE;
    envelope.forward_response = &response;
    for (number = 0; number < world->hop_count; number++) {
        response.id = world->hops[number].id;
        response.gateway_incarnation = world->hops[number].gateway_incarnation;
        length = cw__envelope__pack(&envelope, world->buffer);
        cw_capacity_traffic_add(&world->traffic, cw_capacity_kind(&envelope), length);
        received = cw__envelope__unpack(NULL, length, world->buffer);
        cw_gateway_receive(world->gateway, received, world->now);
        cw__envelope__free_unpacked(received, NULL);
    }
}

static void measure_in_flight(cw_capacity_bench_t *bench, size_t count)
{
    gateway_world_t   *world = world_create(RANGES);
    cw_capacity_cost_t cost = {0};
    cw_capacity_mark_t mark;
    size_t             before;
    size_t             after;
    double             size = (double)count;

    send_requests(world, TENANTS); /* makes the records of all tenants */
    answer_requests(world);
    world->hop_count = world->answered = 0;
    memset(&world->traffic, 0, sizeof(world->traffic));
    before = cw_capacity_memory();
    cw_capacity_meter_start(&bench->meter, &mark);
    send_requests(world, count);
    cw_capacity_meter_stop(&bench->meter, &mark, &cost);
    after = cw_capacity_memory();
    cw_capacity_meter_start(&bench->meter, &mark);
    answer_requests(world);
    cw_capacity_meter_stop(&bench->meter, &mark, &cost);
    if (world->answered != count) {
        fprintf(stderr, "capacity: gateway answered %zu of %zu\n", world->answered, count);
        exit(EXIT_FAILURE);
    }
    cw_capacity_results_add(&bench->results, "gateway.memory", "requests in flight", "B", size,
                            (double)(after - before));
    cw_capacity_results_add(&bench->results, "gateway.time", "requests", "µs", size, cost.us);
    cw_capacity_results_add(&bench->results, "gateway.instructions", "requests", "instructions", size,
                            cost.instructions);
    cw_capacity_results_add(&bench->results, "gateway.bytes", "requests", "B between gateway and forwarder", size,
                            cw_capacity_traffic_wire_bytes(&world->traffic));
    world_free(world);
}

/** Does the number of ranges in the route table matter for a request? */
static void measure_ranges(cw_capacity_bench_t *bench, size_t ranges_per_server)
{
    gateway_world_t   *world = world_create(ranges_per_server);
    cw_capacity_cost_t cost = {0};
    cw_capacity_mark_t mark;

    cw_capacity_meter_start(&bench->meter, &mark);
    send_requests(world, REQUESTS_MAX);
    answer_requests(world);
    cw_capacity_meter_stop(&bench->meter, &mark, &cost);
    cw_capacity_results_add(&bench->results, "gateway.time.ranges", "ranges in the table", "µs per request",
                            (double)(TENANTS * SERVERS * ranges_per_server), cost.us / REQUESTS_MAX);
    world_free(world);
}

void cw_capacity_measure_gateway(cw_capacity_bench_t *bench)
{
    static const size_t ranges[] = {2, 10, 50, 250};
    size_t              position;

    for (position = 0; position < sizeof(sizes) / sizeof(sizes[0]); position++) {
        measure_in_flight(bench, sizes[position]);
    }
    for (position = 0; position < sizeof(ranges) / sizeof(ranges[0]); position++) {
        measure_ranges(bench, ranges[position]);
    }
}
