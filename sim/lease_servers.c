/**
 * @file lease_servers.c
 * @brief Model of servers: they hold cells for a time, run requests only on cells that they hold, crash, and restart as
 *        another incarnation.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "lease_internal.h"

enum {
    LINK_US = 300,
    LINK_SPREAD_US = 1500,
    REUSE_FIRST_MS = 50,
    REUSE_SPREAD_MS = 1500,
    RESTART_FIRST_MS = 1000,
    RESTART_SPREAD_MS = 8000,
    SLOW_CLOCK_PERCENT = 102 /* duration of a hold by the slow clock of a server */
};

sim_server_t *sim_server_at(sim_world_t *world, const char *address)
{
    uint32_t index;

    for (index = 0; index < CW_SIM_ADDRESSES; index++) {
        if (strcmp(world->servers[index].address, address) == 0) {
            return &world->servers[index];
        }
    }
    return NULL;
}

/* A name that is kept is that of the address; the id then states the start. */
static void set_id(sim_world_t *world, sim_server_t *server)
{
    server->number = ++world->incarnations;
    if (world->settings.kept_names > 0 && sim_random_bool(world, world->settings.kept_names)) {
        snprintf(server->id, sizeof(server->id), "s-%u%c%llu", (uint32_t)(server - world->servers) + 1,
                 CW_SERVER_ID_MARK, (unsigned long long)world->now / 1000);
    } else {
        snprintf(server->id, sizeof(server->id), "i-%llu", (unsigned long long)server->number);
    }
}

bool sim_server_is_addressed(const sim_server_t *server, const char *id)
{
    size_t length = cw_server_id_name_length(server->id);

    return length == cw_server_id_name_length(id) && memcmp(server->id, id, length) == 0;
}

static void start_incarnation(sim_world_t *world, sim_server_t *server)
{
    memset(server->cells, 0, sizeof(server->cells));
    memset(server->probe_answered_at, 0, sizeof(server->probe_answered_at));
    set_id(world, server);
    server->up = true;
    sim_list_register(world, server);
    sim_trace(world, "%s starts at %s", server->id, server->address);
}

void sim_servers_start(sim_world_t *world)
{
    uint32_t index;

    for (index = 0; index < CW_SIM_ADDRESSES; index++) {
        snprintf(world->servers[index].address, CW_SERVER_ADDRESS_MAX, "10.0.0.%u:80", index + 1);
        start_incarnation(world, &world->servers[index]);
    }
}

static void restart_server(sim_world_t *world, void *data)
{
    start_incarnation(world, data);
}

void sim_server_crash(sim_world_t *world, uint32_t index)
{
    sim_server_t *server = &world->servers[index];

    if (!server->up) {
        return;
    }
    server->up = false;
    server->stopped_until = 0;
    sim_socket_clear(server);
    sim_trace(world, "%s crashes", server->id);
    sim_list_expire(world, server);
    if (world->settings.reuses > 0 && sim_random_bool(world, world->settings.reuses)) {
        sim_schedule(world, world->now + CW_MS(REUSE_FIRST_MS + sim_random_below(world, REUSE_SPREAD_MS)),
                     restart_server, server);
        return;
    }
    sim_schedule(world, world->now + CW_MS(RESTART_FIRST_MS + sim_random_below(world, RESTART_SPREAD_MS)),
                 restart_server, server);
}

/* ---- orders ---- */

static cw_order_result_t handle_grant(sim_world_t *world, sim_server_t *server, const sim_delivery_t *delivery)
{
    const cw_order_t *order = &delivery->order;
    bool              counts = delivery->counts && !sim_is_late(world, delivery);
    uint32_t          first = order->low / CW_CELL_KEYS;
    uint32_t          last = order->last / CW_CELL_KEYS;
    uint32_t          cell;

    for (cell = first; cell <= last; cell++) {
        if (server->cells[cell].seen_fence > order->fence) {
            return CW_ORDER_FENCED;
        }
    }
    for (cell = first; cell <= last; cell++) {
        sim_cell_t *cell_state = &server->cells[cell];

        sim_check_fence(world, server, cell, delivery);
        if (cell_state->held_until <= world->now) {
            cell_state->held_since = world->now;
        }
        cell_state->seen_fence = order->fence;
        cell_state->granted_fence = order->fence;
        cell_state->late_grant_at = sim_is_late(world, delivery) ? world->now : 0;
        cell_state->held_until = world->now + order->hold * SLOW_CLOCK_PERCENT / 100;
        if (counts) {
            sim_hold_extend(world, cell_state, cell_state->held_until);
        }
    }
    world->result->grants++;
    return CW_ORDER_DONE;
}

static void handle_release(sim_server_t *server, const cw_order_t *order)
{
    uint32_t cell;

    for (cell = order->low / CW_CELL_KEYS; cell <= order->last / CW_CELL_KEYS; cell++) {
        server->cells[cell].held_until = 0;
        server->cells[cell].counted_until = 0;
        if (order->fence > server->cells[cell].seen_fence) {
            server->cells[cell].seen_fence = order->fence;
        }
    }
}

cw_order_result_t sim_handle_order(sim_world_t *world, const sim_delivery_t *delivery)
{
    const cw_order_t *order = &delivery->order;
    sim_server_t     *server = sim_server_at(world, order->address);

    if (server == NULL || !server->up) {
        return CW_ORDER_UNANSWERED;
    }
    if (!sim_server_is_addressed(server, order->server)) {
        return CW_ORDER_OTHER_INCARNATION;
    }
    if (order->kind == CW_ORDER_GRANT) {
        return handle_grant(world, server, delivery);
    }
    if (!sim_order_is_probe(order)) {
        handle_release(server, order);
    }
    return CW_ORDER_DONE;
}

/* ---- requests ---- */

/** A request on its way to a server. */
typedef struct sim_request {
    char     id[CW_SERVER_ID_MAX];
    uint32_t cell;
} sim_request_t;

/* Whether a late grant that was taken just now gives the hold: nothing that the leader sends can prevent a request that
 * lies in the same socket. */
static bool is_held_by_late_grant(const sim_world_t *world, const sim_cell_t *cell)
{
    return cell->late_grant_at != 0 && world->now - cell->late_grant_at <= CW_MS(CW_SIM_LATE_WORK_MAX_MS);
}

static void begin_request(sim_world_t *world, sim_server_t *server, uint32_t cell)
{
    sim_cell_t *own = &server->cells[cell];
    uint32_t    index;

    own->request_started_at = world->now;
    world->served_at[cell] = world->now;
    world->result->requests++;
    for (index = 0; index < CW_SIM_ADDRESSES; index++) {
        sim_server_t *other = &world->servers[index];
        sim_cell_t   *cells = &other->cells[cell];
        cw_time_us_t  both_since = cells->held_since > own->held_since ? cells->held_since : own->held_since;

        if (other == server || !other->up || cells->held_until <= world->now ||
            cells->request_started_at < both_since) {
            continue;
        }
        if (is_held_by_late_grant(world, own) || is_held_by_late_grant(world, cells)) {
            world->result->late.at_work++;
        } else {
            sim_violation(world, "at %.3f s cell %u has two owners at work: %s (fence %llu) and %s (fence %llu)",
                          (double)world->now / 1e6, cell, server->id, (unsigned long long)own->granted_fence, other->id,
                          (unsigned long long)cells->granted_fence);
        }
    }
}

static void on_request_arrived(sim_world_t *world, void *data);

static void wait_in_socket(sim_world_t *world, sim_server_t *server, const sim_request_t *request)
{
    sim_request_t *copy = malloc(sizeof(*copy));

    if (copy == NULL) {
        abort();
    }
    *copy = *request;
    sim_socket_add(world, server, on_request_arrived, free, copy);
}

static void on_request_arrived(sim_world_t *world, void *data)
{
    sim_request_t *request = data;
    uint32_t       index;

    for (index = 0; index < CW_SIM_ADDRESSES; index++) {
        sim_server_t *server = &world->servers[index];

        if (!server->up || !sim_server_is_addressed(server, request->id)) {
            continue;
        }
        if (sim_server_is_stopped(server)) {
            wait_in_socket(world, server, request);
        } else if (server->cells[request->cell].held_until > world->now) {
            begin_request(world, server, request->cell);
        } else {
            world->result->turned_away++;
        }
    }
    free(request);
}

void sim_send_request(sim_world_t *world, sim_node_t *node, uint32_t cell)
{
    sim_request_t *request;

    if (node->table.valid_until <= world->now || !node->table.routable[cell]) {
        world->result->unrouted++;
        return;
    }
    request = calloc(1, sizeof(*request));
    if (request == NULL) {
        abort();
    }
    snprintf(request->id, sizeof(request->id), "%s", node->table.owner[cell]);
    request->cell = cell;
    sim_schedule(world, world->now + (cw_time_us_t)(LINK_US + sim_random_below(world, LINK_SPREAD_US)),
                 on_request_arrived, request);
}
