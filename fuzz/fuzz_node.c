/**
 * @file fuzz_node.c
 * @brief The node for fuzzing and its world: store, one back-end server, two callers, an administrator.
 */
#include "fuzz_node.h"

#include <jansson.h>
#include <openssl/sha.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "cedarwinch/error.h"
#include "fuzz.h"

enum {
    NAME_SIZE = 128,
    VALUE_SIZE = 4096,
    OBJECTS_MAX = 8,
    PENDING_MAX = 64,
    RANGES_MAX = 64,
    STEP_US = 20 * CW_US_PER_MS,
    SET_UP_STEPS = 400,
    CALLERS = 2,
    TEXT_SIZE = 512
};

typedef enum pending_kind { PENDING_STORE, PENDING_CALL, PENDING_REQUEST } pending_kind_t;

/** An object of the store. */
typedef struct object {
    char     name[NAME_SIZE];
    uint8_t  value[VALUE_SIZE];
    size_t   length;
    uint64_t version;
} object_t;

/** A completion that the node waits for. It is given from the outside of any call of the node. */
typedef struct pending {
    pending_kind_t         kind;
    cw_store_completion_t  store;
    cw_store_object_t      found;
    cw_server_completion_t call;
    cw_range_id_t          ranges[RANGES_MAX];
    uint64_t               request;
} pending_t;

struct cw_fuzz_node {
    cw_node_t          *node;
    Cw__NodeInfo        self;
    const Cw__NodeInfo *seeds[1]; /* the node refers to them */
    cw_instant_t        now;
    pending_t           pending[PENDING_MAX];
    size_t              pending_count;
    object_t            objects[OBJECTS_MAX];
    size_t              object_count;
    uint64_t            store_version;
    int64_t             lease_end_us;
    char                plan[TEXT_SIZE];
    unsigned            operator_answers;
};

static const char administrator_token[] = "administrator";
static const char caller_token[] = "caller";

static pending_t *add_pending(cw_fuzz_node_t *world, pending_kind_t kind)
{
    pending_t *pending;

    if (world->pending_count == PENDING_MAX) {
        return NULL; /* an answer that never comes */
    }
    pending = &world->pending[world->pending_count++];
    memset(pending, 0, sizeof(*pending));
    pending->kind = kind;
    return pending;
}

/* ---- ports ---- */

static void port_send(void *context, cw_node_id_t to, Cw__Envelope *envelope)
{
    (void)context;
    (void)to;
    CW_FUZZ_CHECK(cw__envelope__get_packed_size(envelope) > 0);
}

static void port_learn_node(void *context, const Cw__NodeInfo *node)
{
    (void)context;
    CW_FUZZ_CHECK(node != NULL && node->address != NULL);
}

static object_t *find_object(cw_fuzz_node_t *world, const char *name)
{
    size_t position;

    for (position = 0; position < world->object_count; position++) {
        if (strcmp(world->objects[position].name, name) == 0) {
            return &world->objects[position];
        }
    }
    return NULL;
}

static void write_object(cw_fuzz_node_t *world, const cw_store_request_t *request, cw_store_completion_t *completion)
{
    object_t *object = find_object(world, request->name);

    if (object == NULL && world->object_count < OBJECTS_MAX) {
        object = &world->objects[world->object_count++];
        snprintf(object->name, sizeof(object->name), "%s", request->name);
    }
    if (object == NULL || request->value_length > VALUE_SIZE) {
        completion->error = CW_ERROR_UNAVAILABLE;
    } else if (object->version != request->expected_version) {
        completion->error = CW_ERROR_CONFLICT;
    } else {
        memcpy(object->value, request->value, request->value_length);
        object->length = request->value_length;
        object->version = ++world->store_version;
        completion->version = object->version;
    }
}

static void read_object(cw_fuzz_node_t *world, const char *name, pending_t *pending)
{
    const object_t *object = find_object(world, name);

    if (object == NULL) {
        pending->store.error = CW_ERROR_NOT_FOUND;
        return;
    }
    pending->found = (cw_store_object_t){object->name, object->version, object->value, object->length};
    pending->store.version = object->version;
    pending->store.object_count = 1;
}

static void port_store(void *context, const cw_store_request_t *request)
{
    cw_fuzz_node_t *world = context;
    pending_t      *pending = add_pending(world, PENDING_STORE);

    if (pending == NULL) {
        return;
    }
    pending->store.id = request->id;
    if (request->operation == CW_STORE_WRITE) {
        write_object(world, request, &pending->store);
    } else if (request->operation == CW_STORE_READ) {
        read_object(world, request->name, pending);
    }
}

static void port_server_call(void *context, const cw_server_call_t *call)
{
    cw_fuzz_node_t *world = context;
    pending_t      *pending = add_pending(world, PENDING_CALL);
    size_t          position;

    if (pending == NULL) {
        return;
    }
    if (call->kind != CW_SERVER_READ_STATE && call->lease_end_us > world->lease_end_us) {
        world->lease_end_us = call->lease_end_us;
    }
    pending->call.id = call->id;
    pending->call.incarnation = CW_FUZZ_SERVER_INCARNATION;
    pending->call.clock_us = world->now.monotonic_us;
    pending->call.lease_end_us = world->lease_end_us;
    for (position = 0; position < call->grant_count && position < RANGES_MAX; position++) {
        pending->ranges[position] = call->grants[position]->range;
    }
    pending->call.accepted_count = position;
}

static void port_server_request(void *context, const cw_server_request_t *request)
{
    pending_t *pending = add_pending(context, PENDING_REQUEST);

    if (pending != NULL) {
        pending->request = request->id;
    }
}

static void port_server_cancel(void *context, uint64_t request_id)
{
    (void)context;
    (void)request_id;
}

static void port_respond(void *context, uint64_t caller_id, const Cw__ForwardResponse *response)
{
    (void)context;
    (void)caller_id;
    CW_FUZZ_CHECK(response != NULL && response->reason != NULL);
}

static void port_operator_respond(void *context, uint64_t caller_id, const Cw__OperatorResponse *response)
{
    cw_fuzz_node_t *world = context;
    json_t         *body = json_loads(response->json, 0, NULL);
    const char     *plan = json_string_value(json_object_get(body, "plan"));

    (void)caller_id;
    world->operator_answers++;
    if (plan != NULL) {
        snprintf(world->plan, sizeof(world->plan), "%s", plan);
    }
    json_decref(body);
}

/* ---- time ---- */

static void complete(cw_fuzz_node_t *world, pending_t *pending)
{
    cw_server_response_t response = {.result = CW_SERVER_ANSWERED, .status = 200, .body = "done", .body_length = 4};

    if (pending->kind == PENDING_STORE) {
        pending->store.objects = &pending->found;
        cw_node_store_completed(world->node, &pending->store, world->now);
    } else if (pending->kind == PENDING_CALL) {
        pending->call.accepted = pending->ranges;
        cw_node_server_completed(world->node, &pending->call, world->now);
    } else {
        response.id = pending->request;
        cw_node_server_responded(world->node, &response, world->now);
    }
}

static void complete_all(cw_fuzz_node_t *world)
{
    pending_t taken[PENDING_MAX];
    size_t    count = world->pending_count;
    size_t    position;

    memcpy(taken, world->pending, count * sizeof(*taken));
    world->pending_count = 0;
    for (position = 0; position < count; position++) {
        complete(world, &taken[position]);
    }
}

static void step(cw_fuzz_node_t *world)
{
    world->now.monotonic_us += STEP_US;
    world->now.wall_ms += STEP_US / CW_US_PER_MS;
    complete_all(world);
    cw_node_tick(world->node, world->now);
}

void cw_fuzz_node_pass_time(cw_fuzz_node_t *world, cw_time_us_t duration_us)
{
    cw_time_us_t end_us = world->now.monotonic_us + duration_us;

    while (world->now.monotonic_us < end_us) {
        step(world);
    }
}

void cw_fuzz_node_deliver(cw_fuzz_node_t *world, const Cw__Envelope *envelope)
{
    cw_node_receive(world->node, envelope, world->now);
    complete_all(world);
}

/* ---- setting up ---- */

static void digest_text(const char *token, char text[2 * SHA256_DIGEST_LENGTH + 1])
{
    uint8_t  digest[SHA256_DIGEST_LENGTH];
    unsigned byte;

    SHA256((const uint8_t *)token, strlen(token), digest);
    for (byte = 0; byte < SHA256_DIGEST_LENGTH; byte++) {
        snprintf(text + 2 * (size_t)byte, 3, "%02x", digest[byte]);
    }
}

static void operate(cw_fuzz_node_t *world, const char *operation, const char *argument)
{
    unsigned before = world->operator_answers;
    unsigned steps;

    cw_node_operator_request(world->node, 1, operation, administrator_token, "intent.yaml", argument, world->now);
    for (steps = 0; steps < SET_UP_STEPS && world->operator_answers == before; steps++) {
        step(world);
    }
}

static void configure(cw_fuzz_node_t *world)
{
    char digest[2 * SHA256_DIGEST_LENGTH + 1];
    char intent[2 * TEXT_SIZE];

    digest_text(caller_token, digest);
    snprintf(intent, sizeof(intent),
             "tenant: t\noperator_tokens: [%s]\ncaller_tokens: [%s]\nservices:\n  - name: s\n    slots_per_server: 2\n"
             "    connections_per_server: 8\n    non_repeatable: [{method: POST, path_prefix: /}]\n    servers:\n"
             "      - {name: s1, address: 127.0.0.1, port: 80, zone: a}\n",
             digest, digest);
    operate(world, "plan", intent);
    operate(world, "confirm", world->plan);
}

static void call(cw_fuzz_node_t *world, uint64_t caller_id, const char *method)
{
    cw_caller_request_t request = {.caller_id = caller_id,
                                   .tenant = "t",
                                   .service = "s",
                                   .key = "k",
                                   .key_length = 1,
                                   .path = "/",
                                   .method = method,
                                   .token = caller_token,
                                   .body = (const uint8_t *)""};

    cw_node_caller_request(world->node, &request, world->now);
}

static cw_node_t *create_node(cw_fuzz_node_t *world)
{
    static uint8_t    digest[1][CW_TOKEN_DIGEST_BYTES];
    const cw_ports_t  ports = {world,
                               port_send,
                               port_learn_node,
                               port_store,
                               port_server_call,
                               port_server_request,
                               port_server_cancel,
                               port_respond,
                               port_operator_respond};
    cw_node_options_t options;
    cw_node_t        *node = NULL;

    SHA256((const uint8_t *)administrator_token, strlen(administrator_token), digest[0]);
    cw__node_info__init(&world->self);
    world->seeds[0] = &world->self;
    world->self.id = CW_FUZZ_SELF;
    world->self.incarnation = CW_FUZZ_SELF_INCARNATION;
    world->self.address = "127.0.0.1";
    world->self.zone = "a";
    world->self.state = CW__NODE_STATE__NODE_UP;
    cw_node_options_default(&options);
    options.self = &world->self;
    options.seeds = world->seeds;
    options.seed_count = 1;
    options.bootstrap = true;
    options.control_size = 1;
    options.seed = 1;
    options.administrator_token_sha256 = (const uint8_t(*)[CW_TOKEN_DIGEST_BYTES])digest;
    options.administrator_token_count = 1;
    CW_FUZZ_CHECK(cw_node_create(&node, &options, &ports, world->now) == CW_OK);
    return node;
}

bool cw_fuzz_node_serves(const cw_fuzz_node_t *world)
{
    const cw_control_t  *control = cw_node_control(world->node);
    const Cw__RangeInfo *range;

    if (control == NULL || !cw_control_is_leader(control)) {
        return false;
    }
    range = cw_control_state_find_range(cw_control_state(control), cw_hash_service("t", "s"), cw_hash_key("k", 1));
    return range != NULL && range->state == CW__RANGE_STATE__RANGE_GRANTED;
}

cw_fuzz_node_t *cw_fuzz_node_create(void)
{
    cw_fuzz_node_t *world = calloc(1, sizeof(*world));
    unsigned        steps;
    uint64_t        caller;

    CW_FUZZ_CHECK(world != NULL);
    world->now.monotonic_us = CW_US_PER_S;
    world->now.wall_ms = INT64_C(1700000000000);
    world->node = create_node(world);
    for (steps = 0; steps < SET_UP_STEPS && !cw_node_ready(world->node, world->now); steps++) {
        step(world);
    }
    configure(world);
    for (steps = 0; steps < SET_UP_STEPS && !cw_fuzz_node_serves(world); steps++) {
        step(world);
    }
    CW_FUZZ_CHECK(cw_fuzz_node_serves(world));
    for (caller = 1; caller <= CALLERS; caller++) {
        call(world, caller, caller == 1 ? "POST" : "GET");
    }
    return world;
}

void cw_fuzz_node_free(cw_fuzz_node_t *world)
{
    cw_node_free(world->node);
    free(world);
}
