/**
 * @file platform.c
 * @brief Model of the platform: versioned objects with conditional writes, watches and the lagging machine list.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "world.h"

enum {
    DELAY_MIN_US = 1000,
    DELAY_MAX_US = 4000,
    SLOW_MAX_US = 4000 * CW_US_PER_MS,
    TIMEOUT_US = 3 * CW_US_PER_S, /**< of the node's adapter */
    WATCH_MAX_US = 30 * CW_US_PER_MS,
    LIST_LAG_MIN_US = 2 * CW_US_PER_S,
    LIST_LAG_MAX_US = 6 * CW_US_PER_S,
    NAME_MAX_BYTES = 64
};

/** Request on its way to the store, followed by the name and the value. */
typedef struct store_message {
    uint64_t             id;
    cw_store_operation_t operation;
    uint64_t             expected_version;
    char                 name[NAME_MAX_BYTES];
    size_t               value_length;
} store_message_t;

static sim_object_t *find_object(sim_platform_t *platform, const char *name)
{
    size_t index;

    for (index = 0; index < platform->object_count; index++) {
        if (strcmp(platform->objects[index].name, name) == 0) {
            return &platform->objects[index];
        }
    }
    return NULL;
}

static sim_store_mode_t mode_now(const sim_world_t *world)
{
    return world->platform.mode_until > world->now ? world->platform.mode : SIM_STORE_OK;
}

/* ---- watches ---- */

static void tell_changed(sim_world_t *world, sim_event_t *event)
{
    sim_host_t *host = &world->hosts[event->process->endpoint];

    if (host->watching) {
        cw_node_object_changed(host->node, (const char *)event->data, event->numbers[0], sim_host_now(host));
        sim_host_settled(host);
    }
}

static void notify(sim_host_t *host, const sim_object_t *object)
{
    sim_world_t *world = host->world;
    cw_time_us_t delay = sim_between(world, DELAY_MIN_US, WATCH_MAX_US);
    sim_event_t *event;

    if (mode_now(world) != SIM_STORE_OK) {
        delay += world->platform.mode_until - world->now;
    }
    event = sim_schedule(world, "object changed", world->now + delay, tell_changed, &host->process, host->process.life);
    event->numbers[0] = object->version;
    sim_event_set_data(event, object->name, strlen(object->name) + 1);
}

static void notify_all(sim_world_t *world, const sim_object_t *object)
{
    size_t index;

    for (index = 0; index < world->host_count; index++) {
        if (world->hosts[index].process.running && world->hosts[index].watching) {
            notify(&world->hosts[index], object);
        }
    }
}

/* ---- objects ---- */

static int write_object(sim_world_t *world, const store_message_t *message, const uint8_t *value, uint64_t *version)
{
    sim_platform_t *platform = &world->platform;
    sim_object_t   *object = find_object(platform, message->name);

    *version = object == NULL ? 0 : object->version;
    if (*version != message->expected_version) {
        return CW_ERROR_CONFLICT;
    }
    if (object == NULL) {
        if (platform->object_count == SIM_OBJECTS_MAX) {
            return CW_ERROR_UNAVAILABLE;
        }
        object = &platform->objects[platform->object_count++];
        snprintf(object->name, sizeof(object->name), "%s", message->name);
    }
    free(object->value);
    object->value = malloc(message->value_length + 1);
    if (object->value == NULL) {
        abort();
    }
    memcpy(object->value, value, message->value_length);
    object->length = message->value_length;
    object->version = ++platform->revision;
    *version = object->version;
    notify_all(world, object);
    return CW_OK;
}

/* ---- requests ---- */

static void complete(sim_host_t *host, uint64_t id, int error, uint64_t version, const cw_store_object_t *objects,
                     size_t count)
{
    cw_store_completion_t completion = {id, error, version, objects, count};
    sim_exchange_t       *request;

    HASH_FIND(hh, host->store_requests, &id, sizeof(id), request);
    if (request == NULL) {
        return; /* completed before */
    }
    HASH_DEL(host->store_requests, request);
    free(request);
    cw_node_store_completed(host->node, &completion, sim_host_now(host));
    sim_host_settled(host);
}

/* Answer on its way: numbers are request id, error, version, number of objects; data holds the objects one by one. */
static void answer_arrived(sim_world_t *world, sim_event_t *event)
{
    sim_host_t       *host = &world->hosts[event->process->endpoint];
    cw_store_object_t objects[SIM_OBJECTS_MAX];
    size_t            count = (size_t)event->numbers[3];
    const uint8_t    *place = event->data;
    size_t            index;

    for (index = 0; index < count; index++) {
        size_t length;

        objects[index].name = (const char *)place;
        place += NAME_MAX_BYTES;
        memcpy(&objects[index].version, place, sizeof(uint64_t));
        place += sizeof(uint64_t);
        memcpy(&length, place, sizeof(size_t));
        place += sizeof(size_t);
        objects[index].value = place;
        objects[index].value_length = length;
        place += length;
    }
    complete(host, event->numbers[0], (int)(int64_t)event->numbers[1], event->numbers[2], objects, count);
}

static size_t pack_object(uint8_t *place, const sim_object_t *object, bool with_value)
{
    size_t length = with_value ? object->length : 0;

    memset(place, 0, NAME_MAX_BYTES);
    memcpy(place, object->name, strlen(object->name));
    memcpy(place + NAME_MAX_BYTES, &object->version, sizeof(uint64_t));
    memcpy(place + NAME_MAX_BYTES + sizeof(uint64_t), &length, sizeof(size_t));
    if (length > 0) {
        memcpy(place + NAME_MAX_BYTES + sizeof(uint64_t) + sizeof(size_t), object->value, length);
    }
    return NAME_MAX_BYTES + sizeof(uint64_t) + sizeof(size_t) + length;
}

static void set_objects(sim_event_t *event, sim_world_t *world, const store_message_t *message)
{
    bool     list = message->operation == CW_STORE_LIST;
    size_t   size = 1;
    size_t   index;
    uint8_t *place;

    for (index = 0; index < world->platform.object_count; index++) {
        size += NAME_MAX_BYTES + sizeof(uint64_t) + sizeof(size_t) + world->platform.objects[index].length;
    }
    event->data = calloc(1, size);
    if (event->data == NULL) {
        abort();
    }
    place = event->data;
    for (index = 0; index < world->platform.object_count; index++) {
        const sim_object_t *object = &world->platform.objects[index];
        bool                wanted = list ? strncmp(object->name, message->name, strlen(message->name)) == 0
                                          : strcmp(object->name, message->name) == 0;

        if (wanted) {
            place += pack_object(place, object, !list);
            event->numbers[3]++;
        }
    }
    event->length = (size_t)(place - event->data);
}

static void answer(sim_host_t *host, uint64_t life, const store_message_t *message, int error, uint64_t version)
{
    sim_world_t *world = host->world;
    cw_time_us_t delay = sim_between(world, DELAY_MIN_US, DELAY_MAX_US);
    sim_event_t *event;

    event = sim_schedule(world, "store answer", world->now + delay, answer_arrived, &host->process, life);
    event->numbers[0] = message->id;
    event->numbers[1] = (uint64_t)(int64_t)error;
    event->numbers[2] = version;
    if (error == CW_OK && message->operation != CW_STORE_WRITE) {
        set_objects(event, world, message);
    }
}

static int execute(sim_world_t *world, const store_message_t *message, uint64_t *version)
{
    const sim_object_t *object = find_object(&world->platform, message->name);

    *version = object == NULL ? 0 : object->version;
    if (message->operation == CW_STORE_WRITE) {
        return write_object(world, message, (const uint8_t *)(message + 1), version);
    }
    if (message->operation == CW_STORE_READ && object == NULL) {
        return CW_ERROR_NOT_FOUND;
    }
    return CW_OK;
}

static int lost_answer(const store_message_t *message)
{
    return message->operation == CW_STORE_WRITE ? CW_ERROR_UNKNOWN : CW_ERROR_UNAVAILABLE;
}

static void request_arrived(sim_world_t *world, sim_event_t *event)
{
    sim_host_t            *host = &world->hosts[event->numbers[0]];
    const store_message_t *message = (const store_message_t *)(void *)event->data;
    sim_store_mode_t       mode = mode_now(world);
    uint64_t               version = 0;
    int                    error;

    if (mode == SIM_STORE_REFUSE) {
        answer(host, event->numbers[1], message, CW_ERROR_UNAVAILABLE, 0);
        return;
    }
    if (mode == SIM_STORE_HANG && sim_chance(world, 500)) {
        return;
    }
    error = execute(world, message, &version);
    if (mode == SIM_STORE_HANG) {
        return;
    }
    if (mode == SIM_STORE_LOSE_ANSWER && message->operation == CW_STORE_WRITE) {
        error = CW_ERROR_UNKNOWN;
    }
    answer(host, event->numbers[1], message, error, version);
}

/* The node's adapter gives up; an answer that comes later is dropped. */
static void time_over(sim_world_t *world, sim_event_t *event)
{
    sim_host_t            *host = &world->hosts[event->process->endpoint];
    const store_message_t *message = (const store_message_t *)(void *)event->data;

    complete(host, message->id, lost_answer(message), 0, NULL, 0);
}

void sim_platform_request(sim_host_t *host, const cw_store_request_t *request)
{
    sim_world_t     *world = host->world;
    size_t           length = sizeof(store_message_t) + request->value_length;
    store_message_t *message = calloc(1, length + 1);
    sim_exchange_t  *pending = calloc(1, sizeof(*pending));
    cw_time_us_t     delay = sim_between(world, DELAY_MIN_US, DELAY_MAX_US);
    sim_event_t     *event;

    if (message == NULL || pending == NULL) {
        abort();
    }
    pending->serial = request->id;
    HASH_ADD(hh, host->store_requests, serial, sizeof(pending->serial), pending);
    message->id = request->id;
    message->operation = request->operation;
    message->expected_version = request->expected_version;
    snprintf(message->name, sizeof(message->name), "%s", request->name);
    message->value_length = request->value_length;
    if (request->value_length > 0) {
        memcpy(message + 1, request->value, request->value_length);
    }
    event =
        sim_schedule(world, "store time over", world->now + TIMEOUT_US, time_over, &host->process, host->process.life);
    sim_event_set_data(event, message, sizeof(*message));
    if (mode_now(world) == SIM_STORE_SLOW) {
        delay += sim_between(world, 0, SLOW_MAX_US);
    }
    if (!sim_link_is_cut(world, host->process.endpoint, sim_store_endpoint(world))) {
        event = sim_schedule(world, "store request", world->now + delay, request_arrived, NULL, 0);
        event->numbers[0] = host->process.endpoint;
        event->numbers[1] = host->process.life;
        sim_event_set_data(event, message, length);
    }
    free(message);
}

/* ---- machine list ---- */

static void machine_name(const sim_world_t *world, size_t position, char *name, size_t size)
{
    const sim_server_t *server;

    if (position < SIM_NODES_MAX) {
        snprintf(name, size, "node/%zu", position + 1);
        return;
    }
    server = &world->servers[position - SIM_NODES_MAX];
    snprintf(name, size, "%s/%s/%s", sim_tenants[server->tenant], sim_services[server->service].name, server->name);
}

static void tell_machine(sim_world_t *world, sim_event_t *event)
{
    sim_host_t *host = &world->hosts[event->process->endpoint];
    char        name[128];

    if (host->watching) {
        machine_name(world, (size_t)event->numbers[0], name, sizeof(name));
        cw_node_machine_listed(host->node, name, (const char *)event->data, sim_host_now(host));
        sim_host_settled(host);
    }
}

static void tell_machine_to(sim_host_t *host, size_t position, cw_time_us_t lag)
{
    sim_world_t *world = host->world;
    const char  *state = world->platform.machine_states[position];
    sim_event_t *event;

    event = sim_schedule(world, "machine listed", world->now + lag, tell_machine, &host->process, host->process.life);
    event->numbers[0] = position;
    sim_event_set_data(event, state, strlen(state) + 1);
}

void sim_platform_machine(sim_world_t *world, size_t position, const char *state)
{
    cw_time_us_t lag = sim_between(world, LIST_LAG_MIN_US, LIST_LAG_MAX_US);
    size_t       index;

    world->platform.machine_states[position] = state;
    for (index = 0; index < world->host_count; index++) {
        if (world->hosts[index].process.running && world->hosts[index].watching) {
            tell_machine_to(&world->hosts[index], position, lag);
        }
    }
}

void sim_platform_watch(sim_host_t *host)
{
    sim_world_t *world = host->world;
    size_t       index;

    if (!host->watching) {
        return;
    }
    for (index = 0; index < world->platform.object_count; index++) {
        notify(host, &world->platform.objects[index]);
    }
    for (index = 0; index < SIM_NODES_MAX + SIM_SERVERS_MAX; index++) {
        if (world->platform.machine_states[index] != NULL) {
            tell_machine_to(host, index, LIST_LAG_MIN_US);
        }
    }
}

void sim_platform_set_mode(sim_world_t *world, sim_store_mode_t mode, cw_time_us_t duration_us)
{
    world->platform.mode = mode;
    world->platform.mode_until = world->now + duration_us;
    sim_trace(world, "store mode %d for %ld us", (int)mode, (long)duration_us);
}

void sim_platform_clear(sim_world_t *world)
{
    size_t index;

    for (index = 0; index < world->platform.object_count; index++) {
        free(world->platform.objects[index].value);
    }
}
