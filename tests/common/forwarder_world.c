/**
 * @file forwarder_world.c
 * @brief Test support: see forwarder_world.h.
 */
#include "forwarder_world.h"

#include <check.h>
#include <stdlib.h>
#include <string.h>

#include "cedarwinch/intent.h"

const int world_set_all[] = {0, 1, 2, -1};
const int world_set_other[] = {2, 3, 4, -1};
const int world_set_third[] = {0, 3, 4, -1};
const int world_set_none[] = {-1};

world_t world;

static void port_send(void *context, cw_node_id_t to, Cw__Envelope *envelope)
{
    (void)context;
    (void)to;
    ck_assert_uint_lt(world.network_count, NETWORK_MAX);
    world.network[world.network_count++] = (Cw__Envelope *)cw_message_copy(&envelope->base);
}

static void port_server_request(void *context, const cw_server_request_t *request)
{
    world_sent_t *entry = &world.sent[world.sent_count++];

    ck_assert_uint_lt(world.sent_count, SENT_MAX);
    ck_assert_int_gt(request->timeout_us, 0);
    entry->forwarder = (int)(intptr_t)context;
    entry->id = request->id;
    entry->gateway_request = request->request->id;
    entry->over = false;
    entry->may_have_run = true;
    memcpy(entry->request_id, request->request->request_id.data, CW_REQUEST_ID_BYTES);
}

static void port_server_cancel(void *context, uint64_t request_id)
{
    (void)context;
    (void)request_id;
    world.cancelled_count++;
}

static cw_range_readiness_t view_readiness(void *context, cw_range_id_t range, cw_fence_t fence)
{
    (void)context;
    (void)range;
    (void)fence;
    return world.readiness;
}

static int64_t view_lease_left(void *context, cw_server_id_t server, cw_instant_t at)
{
    (void)context;
    (void)server;
    (void)at;
    return 10 * CW_US_PER_S;
}

static void start_replica(int index, cw_incarnation_t incarnation)
{
    cw_ports_t           ports = {.send = port_send};
    cw_journal_options_t options = {incarnation, WINDOW_MS, 10000, 1024};

    ck_assert_int_eq(cw_journal_create(&world.journals[index], &options, &ports), 0);
}

void world_restart_replica(int index)
{
    cw_journal_free(world.journals[index]);
    start_replica(index, 500 + (uint64_t)index);
}

void world_create(world_options_t wanted)
{
    int index;

    world.network_count = world.sent_count = world.answer_count = world.cancelled_count = 0;
    world.last_gateway_id = 0;
    world.answer_length = 2;
    world.readiness = CW_RANGE_READY;
    world.refusal = "fence";
    world.now.monotonic_us = CW_US_PER_S;
    world.now.wall_ms = WALL_MS;
    memset(world.replica_cut, 0, sizeof(world.replica_cut));
    for (index = 0; index < REPLICAS; index++) {
        start_replica(index, 100 + (uint64_t)index);
    }
    for (index = 0; index < FORWARDERS; index++) {
        cw_ports_t             ports = {(void *)(intptr_t)index, .send = port_send};
        cw_lease_view_t        view = {NULL, view_readiness, view_lease_left};
        cw_forwarder_options_t options = {.node = (cw_node_id_t)(FIRST_FORWARDER + index),
                                          .incarnation = 200 + (uint64_t)index,
                                          .journal_window_ms = WINDOW_MS,
                                          .clock_skew_ms = SKEW_MS,
                                          .journal_timeout_us = JOURNAL_TIMEOUT_US,
                                          .journal_everything = wanted.journal_everything,
                                          .unfinished_first = wanted.unfinished_first};

        ports.server_request = port_server_request;
        ports.server_cancel = port_server_cancel;
        ck_assert_int_eq(cw_forwarder_create_with_view(&world.forwarders[index], &options, &ports, &view), 0);
        world.routes[index] = cw_control_state_create();
    }
}

void world_destroy(void)
{
    int    index;
    size_t position;

    for (index = 0; index < FORWARDERS; index++) {
        cw_forwarder_free(world.forwarders[index]);
        cw_control_state_free(world.routes[index]);
    }
    for (index = 0; index < REPLICAS; index++) {
        cw_journal_free(world.journals[index]);
    }
    for (position = 0; position < world.network_count; position++) {
        cw__envelope__free_unpacked(world.network[position], NULL);
    }
    for (position = 0; position < world.answer_count; position++) {
        cw__forward_response__free_unpacked(world.answers[position], NULL);
    }
}

static void record_answer(const Cw__ForwardResponse *response)
{
    size_t position;

    for (position = 0; position < world.answer_count; position++) {
        ck_assert_uint_ne(world.answers[position]->id, response->id); /* one answer to each request */
    }
    ck_assert_uint_lt(world.answer_count, ANSWERS_MAX);
    world.answers[world.answer_count++] = (Cw__ForwardResponse *)cw_message_copy(&response->base);
}

static void deliver(const Cw__Envelope *envelope)
{
    if (envelope->to == GATEWAY) {
        record_answer(envelope->forward_response);
    } else if (envelope->to >= FIRST_FORWARDER) {
        cw_forwarder_receive(world.forwarders[envelope->to - FIRST_FORWARDER], envelope, world.now);
    } else if (!world.replica_cut[envelope->to - 1]) {
        cw_journal_receive(world.journals[envelope->to - 1], envelope, world.now);
    }
}

void world_deliver_at(size_t position, bool keep)
{
    Cw__Envelope *envelope = world.network[position];

    if (!keep) {
        world.network[position] = world.network[--world.network_count];
    }
    deliver(envelope);
    if (!keep) {
        cw__envelope__free_unpacked(envelope, NULL);
    }
}

void world_deliver_first(void)
{
    Cw__Envelope *envelope = world.network[0];

    world.network_count--;
    memmove(&world.network[0], &world.network[1], world.network_count * sizeof(Cw__Envelope *));
    deliver(envelope);
    cw__envelope__free_unpacked(envelope, NULL);
}

void world_deliver_all(void)
{
    while (world.network_count > 0) {
        world_deliver_first();
    }
}

void world_advance(int64_t us)
{
    int index;

    world.now.monotonic_us += us;
    world.now.wall_ms += us / CW_US_PER_MS;
    for (index = 0; index < FORWARDERS; index++) {
        cw_forwarder_tick(world.forwarders[index], world.now);
    }
}

static size_t fill_references(Cw__ReplicaReference *references, Cw__ReplicaReference **pointers, const int *set)
{
    size_t count;

    for (count = 0; set[count] >= 0; count++) {
        cw__replica_reference__init(&references[count]);
        references[count].node = (uint32_t)set[count] + 1;
        references[count].incarnation = 100 + (uint64_t)set[count];
        pointers[count] = &references[count];
    }
    return count;
}

/* Forwarder `viewer` learns that `owner` forwards under an epoch with these journal sets. */
/* Replicas that are cut off count as down in the routes. */
static size_t fill_nodes(Cw__NodeInfo *nodes, Cw__NodeInfo **pointers)
{
    size_t index;

    for (index = 0; index < REPLICAS; index++) {
        cw__node_info__init(&nodes[index]);
        nodes[index].id = (uint32_t)index + 1;
        nodes[index].incarnation = 100 + index;
        nodes[index].state = world.replica_cut[index] ? CW__NODE_STATE__NODE_DOWN : CW__NODE_STATE__NODE_UP;
        pointers[index] = &nodes[index];
    }
    return REPLICAS;
}

void world_route(int viewer, int owner, uint64_t epoch, const int *own, const int *former)
{
    Cw__ControlSnapshot       snapshot = CW__CONTROL_SNAPSHOT__INIT;
    Cw__TenantConfiguration   tenant = CW__TENANT_CONFIGURATION__INIT;
    Cw__ServiceConfiguration  service = CW__SERVICE_CONFIGURATION__INIT;
    Cw__ServerConfiguration   server = CW__SERVER_CONFIGURATION__INIT;
    Cw__ServerInfo            info = CW__SERVER_INFO__INIT;
    Cw__RangeInfo             range = CW__RANGE_INFO__INIT;
    Cw__Fence                 range_fence = CW__FENCE__INIT;
    Cw__Fence                 server_fence = CW__FENCE__INIT;
    Cw__ReplicaReference      references[2 * REPLICAS];
    Cw__ReplicaReference     *pointers[2 * REPLICAS];
    Cw__NodeInfo              nodes[REPLICAS];
    Cw__NodeInfo             *node_pointers[REPLICAS];
    Cw__TenantConfiguration  *tenants[] = {&tenant};
    Cw__ServiceConfiguration *services[] = {&service};
    Cw__ServerConfiguration  *servers[] = {&server};
    Cw__ServerInfo           *infos[] = {&info};
    Cw__RangeInfo            *ranges[] = {&range};

    range_fence.generation = server_fence.generation = 1;
    range_fence.index = 1;
    server_fence.index = epoch;
    server.id = info.server = range.server = SERVER;
    server.name = server.address = server.zone = "s";
    service.id = info.service = range.service = SERVICE;
    service.name = tenant.name = range.tenant = "t";
    service.slots_per_server = SLOTS;
    service.servers = servers;
    service.n_servers = 1;
    tenant.services = services;
    tenant.n_services = 1;
    info.forwarder = (uint32_t)(FIRST_FORWARDER + owner);
    info.forwarder_incarnation = 200 + (uint64_t)owner;
    info.fence = &server_fence;
    range.id = RANGE;
    range.last = UINT64_MAX;
    range.state = CW__RANGE_STATE__RANGE_GRANTED;
    range.fence = &range_fence;
    range.journal = pointers;
    range.n_journal = fill_references(references, pointers, own);
    range.former_journal = &pointers[REPLICAS];
    range.n_former_journal = fill_references(&references[REPLICAS], range.former_journal, former);
    snapshot.version = epoch;
    snapshot.tenants = tenants;
    snapshot.servers = infos;
    snapshot.ranges = ranges;
    snapshot.nodes = node_pointers;
    snapshot.n_nodes = fill_nodes(nodes, node_pointers);
    snapshot.n_tenants = snapshot.n_servers = snapshot.n_ranges = 1;
    ck_assert_int_eq(cw_control_state_merge(world.routes[viewer], &snapshot, NULL, 0, true), 0);
    cw_forwarder_routes_changed(world.forwarders[viewer], world.routes[viewer], world.now);
}

/* Opens the range and lets the time pass before which ids are given up. */
void world_open_range(int forwarder, uint64_t epoch, const int *own, const int *former)
{
    world_route(forwarder, forwarder, epoch, own, former);
    world_deliver_all();
    world_advance(2 * CW_US_PER_S);
}

uint64_t world_request(int forwarder, uint64_t epoch, world_request_t options)
{
    Cw__Envelope       envelope = CW__ENVELOPE__INIT;
    Cw__ForwardRequest message = CW__FORWARD_REQUEST__INIT;
    Cw__Fence          fence = CW__FENCE__INIT;
    uint8_t            id[CW_REQUEST_ID_BYTES] = {0};
    int64_t            time_ms = options.time_ms == 0 ? world.now.wall_ms : options.time_ms;
    int                position;

    for (position = 0; position < 6; position++) {
        id[position] = (uint8_t)(time_ms >> (8 * (5 - position)));
    }
    id[6] = 0x70;
    id[8] = 0x80;
    memcpy(&id[12], &options.number, sizeof(options.number));
    fence.generation = 1;
    fence.index = epoch;
    message.id = ++world.last_gateway_id;
    message.gateway = GATEWAY;
    message.gateway_incarnation = 900;
    message.service = SERVICE;
    message.server = SERVER;
    message.range = RANGE;
    message.fence = &fence;
    message.key_hash = options.key_hash;
    message.timeout_us = options.timeout_us == 0 ? TIMEOUT_US : options.timeout_us;
    message.request_id.data = id;
    message.request_id.len = sizeof(id);
    message.request_digest = options.digest;
    message.repeatable = options.repeatable;
    envelope.body_case = CW__ENVELOPE__BODY_FORWARD_REQUEST;
    envelope.forward_request = &message;
    cw_forwarder_receive(world.forwarders[forwarder], &envelope, world.now);
    return message.id;
}

void world_respond(size_t index, cw_server_result_t result)
{
    static char          body[2 * CW_JOURNAL_ANSWER_MAX];
    cw_server_response_t response = {.id = world.sent[index].id, .result = result, .status = 200, .body = body};

    response.body_length = world.answer_length;
    response.reason = result == CW_SERVER_REFUSED ? world.refusal : NULL;
    world.sent[index].over = true;
    world.sent[index].may_have_run = result == CW_SERVER_ANSWERED || result == CW_SERVER_BROKEN;
    cw_forwarder_server_responded(world.forwarders[world.sent[index].forwarder], &response, world.now);
}

const Cw__ForwardResponse *world_answer_to(uint64_t gateway_request)
{
    size_t position;

    for (position = 0; position < world.answer_count; position++) {
        if (world.answers[position]->id == gateway_request) {
            return world.answers[position];
        }
    }
    return NULL;
}

void world_assert_reason(uint64_t gateway_request, cw_reason_t reason)
{
    const Cw__ForwardResponse *answer;

    world_deliver_all();
    answer = world_answer_to(gateway_request);
    ck_assert_ptr_nonnull(answer);
    ck_assert_str_eq(answer->reason, cw_reason_text(reason));
    ck_assert_int_eq(answer->outcome, cw_reason_outcome(reason));
}
