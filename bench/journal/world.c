/**
 * @file world.c
 * @brief Network, clock and ports of the journal's measurements.
 *
 * Replicas 1 to 4 stand in zones a, b, c, a; the forwarders in zones a and b. A message leaves when its sender's link
 * is free, occupies it for its bytes, and then takes the way's time.
 */
#include "world.h"

#include <stdlib.h>
#include <string.h>
#include <utlist.h>

#include "cedarwinch/error.h"
#include "cedarwinch/intent.h"

enum {
    WALL_START_MS = 1000000000,
    JOURNAL_WINDOW_MS = 120000,
    CLOCK_SKEW_MS = 5000,
    JOURNAL_TIMEOUT_US = 200 * CW_US_PER_MS,
    ENTRY_LIMIT = 1000000,
    LOCAL_US = 50,      /**< one way within a zone */
    BYTES_PER_US = 125, /**< a link of 1 Gbit/s */
    LEASE_LEFT_US = 1500 * CW_US_PER_MS,
    FIRST_INCARNATION = 100,
    ZONES = 3
};

cw_instant_t cw_world_instant(const cw_world_t *world)
{
    return (cw_instant_t){world->now_us, WALL_START_MS + world->now_us / CW_US_PER_MS};
}

static unsigned zone_of(cw_node_id_t node)
{
    return node >= CW_WORLD_FIRST_FORWARDER ? (node - CW_WORLD_FIRST_FORWARDER) % ZONES : (node - 1) % ZONES;
}

static bool is_lost(const cw_world_t *world, cw_node_id_t node)
{
    if (node == CW_WORLD_GATEWAY) {
        return false;
    }
    return node >= CW_WORLD_FIRST_FORWARDER ? world->forwarder_lost[node - CW_WORLD_FIRST_FORWARDER]
                                            : world->replica_lost[node - 1];
}

static int by_arrival(const cw_world_message_t *left, const cw_world_message_t *right)
{
    return left->due_us < right->due_us ? -1 : left->due_us > right->due_us;
}

static void port_send(void *context, cw_node_id_t to, Cw__Envelope *envelope)
{
    cw_world_t         *world = context;
    cw_world_message_t *message;
    cw_node_id_t        from = envelope->from < CW_WORLD_NODES ? envelope->from : 0;
    size_t              bytes = cw__envelope__get_packed_size(envelope);

    if (to == CW_WORLD_GATEWAY || is_lost(world, to)) {
        return; /* answers to callers are not the journal's cost */
    }
    message = calloc(1, sizeof(*message));
    if (message == NULL) {
        abort();
    }
    message->envelope = (Cw__Envelope *)cw_message_copy(&envelope->base);
    message->envelope->to = to;
    if (world->link_free_us[from] < world->now_us) {
        world->link_free_us[from] = world->now_us;
    }
    world->link_free_us[from] += (cw_time_us_t)(bytes / BYTES_PER_US);
    message->due_us =
        world->link_free_us[from] + (zone_of(from) == zone_of(to) ? LOCAL_US : world->options.distance_us);
    world->message_count++;
    world->byte_count += bytes;
    LL_INSERT_INORDER(world->messages, message, by_arrival);
}

static void port_server_request(void *context, const cw_server_request_t *request)
{
    cw_world_t *world = context;

    world->sent_count++;
    world->last_sent_us = world->now_us;
    world->last_sent_id = request->id;
}

static void port_server_cancel(void *context, uint64_t request_id)
{
    (void)context;
    (void)request_id;
}

static cw_range_readiness_t view_readiness(void *context, cw_range_id_t range, cw_fence_t fence)
{
    (void)context;
    (void)range;
    (void)fence;
    return CW_RANGE_READY;
}

static int64_t view_lease_left(void *context, cw_server_id_t server, cw_instant_t now)
{
    (void)context;
    (void)server;
    (void)now;
    return LEASE_LEFT_US;
}

/* A replica's replies name no sender; its port knows it. */
typedef struct replica_port {
    cw_world_t  *world;
    cw_node_id_t node;
} replica_port_t;

static replica_port_t replica_ports[CW_WORLD_REPLICAS];

static void replica_send(void *context, cw_node_id_t to, Cw__Envelope *envelope)
{
    const replica_port_t *port = context;

    envelope->from = port->node;
    port_send(port->world, to, envelope);
}

static int create_replica(cw_world_t *world, int index)
{
    cw_journal_options_t options = {FIRST_INCARNATION + (cw_incarnation_t)index, JOURNAL_WINDOW_MS, ENTRY_LIMIT,
                                    CW_JOURNAL_ANSWER_MAX};
    cw_ports_t           ports = {.context = &replica_ports[index], .send = replica_send};

    replica_ports[index] = (replica_port_t){world, (cw_node_id_t)index + 1};
    return cw_journal_create(&world->journals[index], &options, &ports);
}

static int create_forwarder(cw_world_t *world, int index)
{
    cw_forwarder_options_t options = {.node = (cw_node_id_t)(CW_WORLD_FIRST_FORWARDER + index),
                                      .incarnation = 2 * FIRST_INCARNATION + (cw_incarnation_t)index,
                                      .journal_window_ms = JOURNAL_WINDOW_MS,
                                      .clock_skew_ms = CLOCK_SKEW_MS,
                                      .journal_timeout_us = JOURNAL_TIMEOUT_US,
                                      .unfinished_first = world->options.unfinished_first};
    cw_lease_view_t        view = {NULL, view_readiness, view_lease_left};
    cw_ports_t             ports = {.context = world,
                                    .send = port_send,
                                    .server_request = port_server_request,
                                    .server_cancel = port_server_cancel};

    world->routes[index] = cw_control_state_create();
    return world->routes[index] == NULL
               ? CW_ERROR_NO_MEMORY
               : cw_forwarder_create_with_view(&world->forwarders[index], &options, &ports, &view);
}

int cw_world_init(cw_world_t *world, const cw_world_options_t *options)
{
    int error = CW_OK;
    int index;

    *world = (cw_world_t){.options = *options, .now_us = CW_US_PER_S};
    for (index = 0; index < CW_WORLD_REPLICAS && error == CW_OK; index++) {
        error = create_replica(world, index);
    }
    for (index = 0; index < CW_WORLD_FORWARDERS && error == CW_OK; index++) {
        error = create_forwarder(world, index);
    }
    return error;
}

void cw_world_clear(cw_world_t *world)
{
    cw_world_message_t *message;
    cw_world_message_t *next;
    int                 index;

    for (index = 0; index < CW_WORLD_FORWARDERS; index++) {
        cw_forwarder_free(world->forwarders[index]);
        cw_control_state_free(world->routes[index]);
    }
    for (index = 0; index < CW_WORLD_REPLICAS; index++) {
        cw_journal_free(world->journals[index]);
    }
    LL_FOREACH_SAFE(world->messages, message, next)
    {
        cw__envelope__free_unpacked(message->envelope, NULL);
        free(message);
    }
}

static void deliver_first(cw_world_t *world)
{
    cw_world_message_t *message = world->messages;
    cw_node_id_t        to = message->envelope->to;

    LL_DELETE(world->messages, message);
    world->now_us = message->due_us;
    if (!is_lost(world, to) && to >= CW_WORLD_FIRST_FORWARDER) {
        cw_forwarder_receive(world->forwarders[to - CW_WORLD_FIRST_FORWARDER], message->envelope,
                             cw_world_instant(world));
    } else if (!is_lost(world, to)) {
        cw_journal_receive(world->journals[to - 1], message->envelope, cw_world_instant(world));
    }
    cw__envelope__free_unpacked(message->envelope, NULL);
    free(message);
}

static cw_time_us_t next_tick(const cw_world_t *world)
{
    cw_time_us_t next = INT64_MAX;
    cw_time_us_t tick_us;
    int          index;

    for (index = 0; index < CW_WORLD_FORWARDERS; index++) {
        tick_us = cw_forwarder_next_tick(world->forwarders[index]);
        if (!world->forwarder_lost[index] && tick_us < next) {
            next = tick_us;
        }
    }
    return next;
}

static void tick(cw_world_t *world, cw_time_us_t tick_us)
{
    int index;

    world->now_us = tick_us > world->now_us ? tick_us : world->now_us;
    for (index = 0; index < CW_WORLD_FORWARDERS; index++) {
        if (!world->forwarder_lost[index]) {
            cw_forwarder_tick(world->forwarders[index], cw_world_instant(world));
        }
    }
}

void cw_world_run(cw_world_t *world, cw_time_us_t until_us)
{
    cw_time_us_t tick_us = next_tick(world);

    while (tick_us <= until_us || (world->messages != NULL && world->messages->due_us <= until_us)) {
        if (world->messages != NULL && world->messages->due_us <= tick_us) {
            deliver_first(world);
        } else {
            tick(world, tick_us);
        }
        tick_us = next_tick(world);
    }
    world->now_us = until_us;
}
