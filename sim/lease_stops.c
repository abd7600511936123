/**
 * @file lease_stops.c
 * @brief Servers that stand still: their kernel goes on. It opens connections and keeps what is sent to it, also after
 * the sender has reset the connection. A server that goes on takes all of it within some milliseconds, in any order,
 * with requests between orders.
 */
#include <stdlib.h>

#include "lease_internal.h"

enum {
    STOP_FIRST_MS = 300,
    STOP_SPREAD_MS = 13700,
    STOP_SHORT_SPREAD_MS = 3700, /* of half of the stops */
    SERVERS_AT_ONCE_MAX = 3,
    TAKE_SPREAD_US = 2000
};

struct sim_socket_item {
    sim_server_t *server;
    uint64_t      number; /* of the server's incarnation */
    void (*take)(sim_world_t *world, void *data);
    void (*drop)(void *data);
    void              *data;
    sim_socket_item_t *next;
};

bool sim_server_is_stopped(const sim_server_t *server)
{
    return server->stopped_until != 0;
}

static void add_item(sim_socket_item_t *item)
{
    item->next = item->server->socket;
    item->server->socket = item;
}

void sim_socket_add(sim_world_t *world, sim_server_t *server, void (*take)(sim_world_t *world, void *data),
                    void (*drop)(void *data), void   *data)
{
    sim_socket_item_t *item = malloc(sizeof(*item));

    (void)world;
    if (item == NULL) {
        abort();
    }
    *item = (sim_socket_item_t){.server = server, .number = server->number, .take = take, .drop = drop, .data = data};
    add_item(item);
}

void sim_socket_clear(sim_server_t *server)
{
    while (server->socket != NULL) {
        sim_socket_item_t *item = server->socket;

        server->socket = item->next;
        item->drop(item->data);
        free(item);
    }
}

static void on_item_taken(sim_world_t *world, void *data)
{
    sim_socket_item_t *item = data;

    if (!item->server->up || item->server->number != item->number) {
        item->drop(item->data);
    } else if (sim_server_is_stopped(item->server)) { /* again, before it took this one */
        add_item(item);
        return;
    } else {
        item->take(world, item->data);
    }
    free(item);
}

static void on_go_on(sim_world_t *world, void *data)
{
    sim_server_t *server = data;

    if (!sim_server_is_stopped(server) || server->stopped_until > world->now) {
        return; /* it has ended meanwhile, or is to stand still for longer */
    }
    server->stopped_until = 0;
    sim_trace(world, "%s goes on", server->id);
    while (server->socket != NULL) {
        sim_socket_item_t *item = server->socket;

        server->socket = item->next;
        sim_schedule(world, world->now + (cw_time_us_t)sim_random_below(world, TAKE_SPREAD_US), on_item_taken, item);
    }
    sim_list_go_on(world, server);
}

static void stop_server(sim_world_t *world, sim_server_t *server)
{
    uint64_t     spread = sim_random_bool(world, 0.5) ? STOP_SHORT_SPREAD_MS : STOP_SPREAD_MS;
    cw_time_us_t until = world->now + CW_MS(STOP_FIRST_MS + sim_random_below(world, spread));

    if (!server->up || sim_server_is_stopped(server)) {
        return;
    }
    server->stopped_until = until;
    world->result->stops++;
    sim_trace(world, "%s stands still until %.3f", server->id, (double)until / 1e6);
    sim_schedule(world, until, on_go_on, server);
    sim_list_stop(world, server);
}

void sim_stop_servers(sim_world_t *world)
{
    uint64_t count = 1 + sim_random_below(world, SERVERS_AT_ONCE_MAX);

    while (count-- > 0) {
        stop_server(world, &world->servers[sim_random_below(world, CW_SIM_ADDRESSES)]);
    }
}
