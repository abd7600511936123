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
    LATE_FIRST_MS = 2000,
    LATE_SPREAD_MS = 10000,
    WORK_MS = 120,
    SLOW_CLOCK_PERCENT = 102 /* duration of a hold by the slow clock of a server */
};

/** An order on its way to a server, and its result on the way back. */
typedef struct sim_delivery {
    sim_node_t       *node;
    uint64_t          incarnation;
    uint64_t          first_term; /**< of the assigner that sent it, which may continue under a later term */
    cw_order_t        order;
    cw_order_result_t result;
    bool              late;
    char              handover[CW_HANDOVER_MAX];
} sim_delivery_t;

static sim_server_t *server_at(sim_world_t *world, const char *address)
{
    uint32_t index;

    for (index = 0; index < CW_SIM_ADDRESSES; index++) {
        if (strcmp(world->servers[index].address, address) == 0) {
            return &world->servers[index];
        }
    }
    return NULL;
}

static void start_incarnation(sim_world_t *world, sim_server_t *server)
{
    memset(server->cells, 0, sizeof(server->cells));
    snprintf(server->id, sizeof(server->id), "i-%llu", (unsigned long long)++world->incarnations);
    server->up = true;
    sim_list_register(world, server);
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
    sim_list_expire(world, server);
    sim_schedule(world, world->now + CW_MS(1000 + sim_random_below(world, 8000)), restart_server, server);
}

/* ---- orders ---- */

static void check_fence(sim_world_t *world, const sim_server_t *server, uint32_t cell, uint64_t fence, bool late)
{
    if (fence <= world->fences[cell] && strcmp(world->fence_of[cell], server->id) != 0 && !late) {
        sim_violation(world, "at %.3f s cell %u went to %s with fence %llu; %s had it with %llu",
                      (double)world->now / 1e6, cell, server->id, (unsigned long long)fence, world->fence_of[cell],
                      (unsigned long long)world->fences[cell]);
    }
    if (fence > world->fences[cell]) {
        world->fences[cell] = fence;
        snprintf(world->fence_of[cell], sizeof(world->fence_of[cell]), "%s", server->id);
    }
}

static cw_order_result_t handle_grant(sim_world_t *world, sim_server_t *server, const cw_order_t *order, bool late)
{
    uint32_t first = order->low / CW_CELL_KEYS;
    uint32_t last = order->last / CW_CELL_KEYS;
    uint32_t cell;

    for (cell = first; cell <= last; cell++) {
        if (server->cells[cell].seen_fence > order->fence) {
            return CW_ORDER_FENCED;
        }
    }
    for (cell = first; cell <= last; cell++) {
        sim_cell_t *cell_state = &server->cells[cell];

        check_fence(world, server, cell, order->fence, late);
        if (cell_state->held_until <= world->now) {
            cell_state->held_since = world->now;
        }
        cell_state->seen_fence = order->fence;
        cell_state->granted_fence = order->fence;
        cell_state->held_until = world->now + order->hold * SLOW_CLOCK_PERCENT / 100;
    }
    world->result->grants++;
    return CW_ORDER_DONE;
}

static void handle_release(sim_world_t *world, sim_server_t *server, const cw_order_t *order)
{
    uint32_t cell;

    for (cell = order->low / CW_CELL_KEYS; cell <= order->last / CW_CELL_KEYS; cell++) {
        server->cells[cell].held_until = 0;
        if (order->fence > server->cells[cell].seen_fence) {
            server->cells[cell].seen_fence = order->fence;
        }
    }
    (void)world;
}

static cw_order_result_t handle_order(sim_world_t *world, const cw_order_t *order, bool late)
{
    sim_server_t *server = server_at(world, order->address);

    if (server == NULL || !server->up) {
        return CW_ORDER_UNANSWERED;
    }
    if (strcmp(server->id, order->server) != 0) {
        return CW_ORDER_OTHER_INCARNATION;
    }
    if (order->kind == CW_ORDER_GRANT) {
        return handle_grant(world, server, order, late);
    }
    handle_release(world, server, order);
    return CW_ORDER_DONE;
}

static void deliver_result(sim_world_t *world, void *data)
{
    sim_delivery_t *delivery = data;
    sim_node_t     *node = delivery->node;

    if (node->up && node->incarnation == delivery->incarnation && node->frozen_until > world->now) {
        sim_schedule(world, node->frozen_until, deliver_result, delivery);
        return;
    }
    if (node->up && node->incarnation == delivery->incarnation && node->assigner != NULL &&
        cw_assigner_first_term(node->assigner) == delivery->first_term) {
        cw_assigner_order_done(node->assigner, delivery->order.id, delivery->result, delivery->handover, world->now);
    }
    free(delivery);
}

static void on_late_order_arrived(sim_world_t *world, void *data)
{
    sim_delivery_t *delivery = data;

    (void)handle_order(world, &delivery->order, true);
    free(delivery);
}

static void on_order_arrived(sim_world_t *world, void *data)
{
    sim_delivery_t *delivery = data;
    cw_time_us_t    back = (cw_time_us_t)(LINK_US + sim_random_below(world, LINK_SPREAD_US));
    bool            has_faults = sim_has_faults(world);

    delivery->result = CW_ORDER_UNANSWERED;
    if (has_faults && sim_random_bool(world, world->settings.order_late)) {
        sim_delivery_t *late = malloc(sizeof(*late));

        if (late == NULL) {
            abort();
        }
        *late = *delivery;
        sim_schedule(world, world->now + CW_MS(LATE_FIRST_MS + sim_random_below(world, LATE_SPREAD_MS)),
                     on_late_order_arrived, late);
    } else {
        cw_order_result_t result = handle_order(world, &delivery->order, false);

        if (!has_faults || !sim_random_bool(world, world->settings.order_lost)) {
            delivery->result = result;
        }
        if (delivery->order.kind == CW_ORDER_RELEASE) {
            snprintf(delivery->handover, sizeof(delivery->handover), "h%llu", (unsigned long long)delivery->order.id);
            /* A release is answered when requests on its keys have ended. */
            back += CW_MS(sim_random_below(world, WORK_MS));
        }
    }
    sim_schedule(world,
                 delivery->result == CW_ORDER_UNANSWERED ? delivery->order.sent_at + delivery->order.timeout
                                                         : world->now + back,
                 deliver_result, delivery);
}

void sim_send_order(sim_node_t *node, const cw_order_t *order)
{
    sim_world_t    *world = node->world;
    sim_delivery_t *delivery = calloc(1, sizeof(*delivery));
    sim_server_t   *server = server_at(world, order->address);
    bool            reachable = (node->cut_servers & (1u << (uint32_t)(server - world->servers))) == 0;

    if (delivery == NULL) {
        abort();
    }
    delivery->node = node;
    delivery->incarnation = node->incarnation;
    delivery->first_term = cw_assigner_first_term(node->assigner);
    delivery->order = *order;
    if (!reachable || !server->up) {
        /* Bytes sent on an open connection may still arrive; a new connection fails before anything is sent. */
        delivery->result = order->fresh ? CW_ORDER_NOT_SENT : CW_ORDER_UNANSWERED;
        sim_schedule(world, world->now + order->timeout, deliver_result, delivery);
        return;
    }
    sim_schedule(world, world->now + (cw_time_us_t)(LINK_US + sim_random_below(world, LINK_SPREAD_US)),
                 on_order_arrived, delivery);
}

/* ---- requests ---- */

/** A request on its way to a server. */
typedef struct sim_request {
    char     id[CW_SERVER_ID_MAX];
    uint32_t cell;
} sim_request_t;

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

        if (other != server && other->up && cells->held_until > world->now && cells->request_started_at >= both_since) {
            sim_violation(world, "at %.3f s cell %u has two owners at work: %s (fence %llu) and %s (fence %llu)",
                          (double)world->now / 1e6, cell, server->id, (unsigned long long)own->granted_fence, other->id,
                          (unsigned long long)cells->granted_fence);
        }
    }
}

static void on_request_arrived(sim_world_t *world, void *data)
{
    sim_request_t *request = data;
    uint32_t       index;

    for (index = 0; index < CW_SIM_ADDRESSES; index++) {
        sim_server_t *server = &world->servers[index];

        if (!server->up || strcmp(server->id, request->id) != 0) {
            continue;
        }
        if (server->cells[request->cell].held_until > world->now) {
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
