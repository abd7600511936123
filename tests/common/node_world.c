/**
 * @file node_world.c
 * @brief Whole nodes for tests in one process, under one simulated clock.
 */
#include "node_world.h"

#include <openssl/sha.h>
#include <stdlib.h>
#include <string.h>

#include "cedarwinch/error.h"

enum { LATENCY_US = 1000, CONTROL_SIZE = 3, LEADER_PATIENCE_US = 20 * CW_US_PER_S };

static const char *const   zones[] = {"a", "b", "c"};
static uint8_t             administrator[1][CW_TOKEN_DIGEST_BYTES];
static const Cw__NodeInfo *seeds[NODE_WORLD_NODES];
static Cw__NodeInfo        seed_info[NODE_WORLD_NODES];

struct node_world_event {
    struct node_world_event *next;
    cw_time_us_t             at;
    cw_node_id_t             to;
    cw_incarnation_t         incarnation; /**< for whom a completion is */
    uint8_t                 *bytes;       /**< envelope */
    size_t                   length;
    uint64_t                 store_id; /**< completion */
    cw_store_operation_t     operation;
    char                     name[64];
    int                      error;
};

static node_world_event_t *schedule(node_world_t *world, cw_node_id_t to)
{
    node_world_event_t **place = &world->events;
    node_world_event_t  *event = calloc(1, sizeof(*event));

    event->at = world->now.monotonic_us + LATENCY_US;
    event->to = to;
    while (*place != NULL) {
        place = &(*place)->next;
    }
    *place = event;
    return event;
}

static void port_send(void *context, cw_node_id_t to, Cw__Envelope *envelope)
{
    node_world_node_t  *from = context;
    node_world_event_t *event;
    bool                of_group =
        envelope->body_case == CW__ENVELOPE__BODY_RAFT || envelope->body_case == CW__ENVELOPE__BODY_ROUTE_UPDATE;

    if (to == 0 || to > NODE_WORLD_NODES || from->cut || (from->world->silent_group && of_group) ||
        (to == from->world->deaf && envelope->body_case == CW__ENVELOPE__BODY_ROUTE_UPDATE)) {
        return;
    }
    event = schedule(from->world, to);
    event->length = cw__envelope__get_packed_size(envelope);
    event->bytes = malloc(event->length + 1);
    cw__envelope__pack(envelope, event->bytes);
}

static void port_learn(void *context, const Cw__NodeInfo *info)
{
    (void)context;
    (void)info;
}

node_world_object_t *node_world_object(node_world_t *world, const char *name)
{
    size_t position;

    for (position = 0; position < NODE_WORLD_OBJECTS; position++) {
        if (world->objects[position].name[0] == '\0' || strcmp(world->objects[position].name, name) == 0) {
            return &world->objects[position];
        }
    }
    abort();
}

static int write_object(node_world_t *world, const cw_store_request_t *request)
{
    node_world_object_t *object = node_world_object(world, request->name);

    if (object->version != request->expected_version) {
        return CW_ERROR_CONFLICT;
    }
    strncpy(object->name, request->name, sizeof(object->name) - 1);
    free(object->value);
    object->value = malloc(request->value_length + 1);
    memcpy(object->value, request->value, request->value_length);
    object->length = request->value_length;
    object->version++;
    return CW_OK;
}

static void port_store(void *context, const cw_store_request_t *request)
{
    node_world_node_t  *from = context;
    node_world_t       *world = from->world;
    node_world_event_t *event;

    event = schedule(world, from->info.id);
    event->incarnation = from->info.incarnation;
    event->store_id = request->id;
    event->operation = request->operation;
    strncpy(event->name, request->name, sizeof(event->name) - 1);
    if (world->store_mode == NODE_WORLD_STORE_REFUSES) {
        event->error = CW_ERROR_UNAVAILABLE;
    } else if (request->operation == CW_STORE_WRITE) {
        event->error = world->store_mode == NODE_WORLD_STORE_LOSES_WRITE ? CW_OK : write_object(world, request);
        event->error = world->store_mode == NODE_WORLD_STORE_OK ? event->error : CW_ERROR_UNKNOWN;
    }
}

static void complete_store(node_world_t *world, node_world_node_t *node, const node_world_event_t *event)
{
    cw_store_object_t          objects[NODE_WORLD_OBJECTS];
    cw_store_completion_t      completion = {.id = event->store_id, .error = event->error, .objects = objects};
    const node_world_object_t *object;
    size_t                     position;

    for (position = 0; position < NODE_WORLD_OBJECTS && event->error == CW_OK; position++) {
        object = &world->objects[position];
        if (object->name[0] == '\0' || strncmp(object->name, event->name, strlen(event->name)) != 0) {
            continue;
        }
        completion.version = object->version;
        objects[completion.object_count++] =
            (cw_store_object_t){object->name, object->version, object->value, object->length};
    }
    if (event->operation == CW_STORE_READ && completion.object_count == 0 && event->error == CW_OK) {
        completion.error = CW_ERROR_NOT_FOUND;
    }
    cw_node_store_completed(node->node, &completion, world->now);
}

static void port_server_call(void *context, const cw_server_call_t *call)
{
    (void)context;
    (void)call;
}

static void port_server_request(void *context, const cw_server_request_t *request)
{
    (void)context;
    (void)request;
}

static void port_cancel(void *context, uint64_t request_id)
{
    (void)context;
    (void)request_id;
}

static void port_respond(void *context, uint64_t caller_id, const Cw__ForwardResponse *response)
{
    (void)context;
    (void)caller_id;
    (void)response;
}

static void port_operator_respond(void *context, uint64_t caller_id, const Cw__OperatorResponse *response)
{
    node_world_node_t *node = context;
    cw_node_id_t       id = node->info.id;

    (void)caller_id;
    node->world->status[id] = response->status;
    free(node->world->answer[id]);
    node->world->answer[id] = strdup(response->json);
}

void node_world_begin(node_world_t *world)
{
    cw_node_id_t id;

    memset(world, 0, sizeof(*world));
    world->now.monotonic_us = 1000 * CW_US_PER_S;
    world->now.wall_ms = 1700000000000;
    world->next_incarnation = 100;
    SHA256((const unsigned char *)"administrator", strlen("administrator"), administrator[0]);
    for (id = 1; id <= NODE_WORLD_NODES; id++) {
        cw__node_info__init(&seed_info[id - 1]);
        seed_info[id - 1].id = id;
        seed_info[id - 1].zone = (char *)zones[(id - 1) % 3];
        seed_info[id - 1].address = "127.0.0.1";
        seed_info[id - 1].region = "local";
        seeds[id - 1] = &seed_info[id - 1];
    }
    for (id = 1; id <= NODE_WORLD_NODES; id++) {
        node_world_start(world, id);
    }
}

void node_world_start(node_world_t *world, cw_node_id_t id)
{
    node_world_node_t *node = &world->nodes[id];
    cw_node_options_t  options;
    cw_ports_t         ports = {.context = node,
                                .send = port_send,
                                .learn_node = port_learn,
                                .store = port_store,
                                .server_call = port_server_call,
                                .server_request = port_server_request,
                                .server_cancel = port_cancel,
                                .respond = port_respond,
                                .operator_respond = port_operator_respond};

    node->world = world;
    node->info = seed_info[id - 1];
    node->info.incarnation = ++world->next_incarnation;
    node->info.state = CW__NODE_STATE__NODE_UP;
    cw_node_options_default(&options);
    options.self = &node->info;
    options.seeds = seeds;
    options.seed_count = NODE_WORLD_NODES;
    options.bootstrap = id <= CONTROL_SIZE;
    options.seed = node->info.incarnation;
    options.administrator_token_sha256 = (const uint8_t(*)[CW_TOKEN_DIGEST_BYTES])administrator;
    options.administrator_token_count = 1;
    if (cw_node_create(&node->node, &options, &ports, world->now) != CW_OK) {
        abort();
    }
}

void node_world_stop(node_world_t *world, cw_node_id_t id)
{
    cw_node_free(world->nodes[id].node);
    world->nodes[id].node = NULL;
}

void node_world_end(node_world_t *world)
{
    node_world_event_t *event;
    size_t              position;
    cw_node_id_t        id;

    for (id = 1; id <= NODE_WORLD_NODES; id++) {
        node_world_stop(world, id);
        free(world->answer[id]);
    }
    while (world->events != NULL) {
        event = world->events;
        world->events = event->next;
        free(event->bytes);
        free(event);
    }
    for (position = 0; position < NODE_WORLD_OBJECTS; position++) {
        free(world->objects[position].value);
    }
}

static void deliver(node_world_t *world, const node_world_event_t *event)
{
    node_world_node_t *node = &world->nodes[event->to];
    Cw__Envelope      *envelope;

    if (node->node == NULL || node->cut) {
        return;
    }
    if (event->bytes == NULL) {
        if (event->incarnation == node->info.incarnation) {
            complete_store(world, node, event);
        }
        return;
    }
    envelope = cw__envelope__unpack(NULL, event->length, event->bytes);
    cw_node_receive(node->node, envelope, world->now);
    cw__envelope__free_unpacked(envelope, NULL);
}

static void deliver_due(node_world_t *world)
{
    node_world_event_t **place = &world->events;
    node_world_event_t  *event;

    while (*place != NULL) {
        event = *place;
        if (event->at > world->now.monotonic_us || world->nodes[event->to].frozen) {
            place = &event->next;
            continue;
        }
        *place = event->next;
        deliver(world, event);
        free(event->bytes);
        free(event);
    }
}

void node_world_run(node_world_t *world, cw_time_us_t duration_us)
{
    cw_time_us_t end = world->now.monotonic_us + duration_us;
    cw_node_id_t id;

    while (world->now.monotonic_us < end) {
        world->now.monotonic_us += NODE_WORLD_STEP_US;
        world->now.wall_ms += NODE_WORLD_STEP_US / CW_US_PER_MS;
        deliver_due(world);
        for (id = 1; id <= NODE_WORLD_NODES; id++) {
            if (world->nodes[id].node != NULL && !world->nodes[id].frozen) {
                cw_node_tick(world->nodes[id].node, world->now);
            }
        }
    }
}

static uint64_t led_generation(const node_world_node_t *node)
{
    const cw_control_t *control = node->node == NULL || node->frozen ? NULL : cw_node_control(node->node);

    return control != NULL && cw_control_is_leader(control)
               ? cw_raft_generation(cw_control_raft((cw_control_t *)control))
               : 0;
}

cw_node_id_t node_world_leader(const node_world_t *world)
{
    uint64_t     highest = 0;
    cw_node_id_t leader = 0;
    cw_node_id_t id;

    for (id = 1; id <= NODE_WORLD_NODES; id++) {
        if (led_generation(&world->nodes[id]) > highest) {
            highest = led_generation(&world->nodes[id]);
            leader = id;
        }
    }
    return leader;
}

bool node_world_run_to_leader(node_world_t *world, uint64_t generation)
{
    cw_time_us_t end = world->now.monotonic_us + LEADER_PATIENCE_US;

    while (world->now.monotonic_us < end) {
        if (node_world_leader(world) != 0 && led_generation(&world->nodes[node_world_leader(world)]) == generation) {
            return true;
        }
        node_world_run(world, NODE_WORLD_STEP_US);
    }
    return false;
}

void node_world_request(node_world_t *world, cw_node_id_t id, const char *operation, const char *token,
                        const char *argument)
{
    world->status[id] = 0;
    cw_node_operator_request(world->nodes[id].node, 1, operation, token, "intent.yaml", argument, world->now);
}

uint32_t node_world_ask(node_world_t *world, cw_node_id_t id, const char *operation, const char *token,
                        const char *argument)
{
    cw_time_us_t end = world->now.monotonic_us + LEADER_PATIENCE_US;

    node_world_request(world, id, operation, token, argument);
    while (world->status[id] == 0 && world->now.monotonic_us < end) {
        node_world_run(world, NODE_WORLD_STEP_US);
    }
    return world->status[id];
}

void node_world_configure(node_world_t *world, uint32_t lease_ms)
{
    Cw__TenantConfiguration   tenant = CW__TENANT_CONFIGURATION__INIT;
    Cw__ServiceConfiguration  service = CW__SERVICE_CONFIGURATION__INIT;
    Cw__ServiceConfiguration *services[] = {&service};
    cw_store_request_t        request = {.operation = CW_STORE_WRITE, .name = "config/t"};
    uint8_t                   bytes[256];

    tenant.name = "t";
    tenant.n_services = 1;
    tenant.services = services;
    service.id = cw_hash_service("t", "s");
    service.name = "s";
    service.lease_ms = lease_ms;
    request.value = bytes;
    request.value_length = cw__tenant_configuration__pack(&tenant, bytes);
    request.expected_version = node_world_object(world, "config/t")->version;
    if (write_object(world, &request) != CW_OK) {
        abort();
    }
}
