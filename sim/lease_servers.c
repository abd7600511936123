/**
 * @file lease_servers.c
 * @brief Servers that hold cells for a time, run requests only while they do, crash and come back as another life.
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
    ENTRY_LASTS_MS = 4500,
    SLOW_CLOCK_PERCENT = 102 /* a server's clock for holds */
};

typedef struct sim_delivery {
    sim_node_t       *node;
    uint64_t          life;
    uint64_t          assigner_term;
    cw_order_t        order;
    cw_order_result_t result;
    bool              late;
    char              handover[CW_HANDOVER_MAX];
} sim_delivery_t;

static sim_server_t *at_address(sim_world_t *world, const char *address)
{
    uint32_t index;

    for (index = 0; index < CW_SIM_ADDRESSES; index++) {
        if (strcmp(world->servers[index].address, address) == 0) {
            return &world->servers[index];
        }
    }
    return NULL;
}

static void new_life(sim_world_t *world, sim_server_t *server)
{
    memset(server->cells, 0, sizeof(server->cells));
    snprintf(server->id, sizeof(server->id), "i-%llu", (unsigned long long)++world->lives);
    server->up = true;
    server->listed = true;
}

void sim_servers_start(sim_world_t *world)
{
    uint32_t index;

    for (index = 0; index < CW_SIM_ADDRESSES; index++) {
        snprintf(world->servers[index].address, CW_SERVER_ADDRESS_MAX, "10.0.0.%u:80", index + 1);
        new_life(world, &world->servers[index]);
    }
    sim_list_servers(world);
}

static void come_back(sim_world_t *world, void *data)
{
    new_life(world, data);
    sim_list_servers(world);
}

static void lose_entry(sim_world_t *world, void *data)
{
    sim_server_t *server = data;

    if (!server->up && server->listed_until <= world->now) {
        server->listed = false;
        sim_list_servers(world);
    }
}

void sim_server_crash(sim_world_t *world, uint32_t index)
{
    sim_server_t *server = &world->servers[index];

    if (!server->up) {
        return;
    }
    server->up = false;
    server->listed_until = world->now + CW_MS(ENTRY_LASTS_MS);
    sim_at(world, server->listed_until, lose_entry, server);
    sim_at(world, world->now + CW_MS(1000 + sim_below(world, 8000)), come_back, server);
}

void sim_list_servers(sim_world_t *world)
{
    cw_server_list_t *list = cw_server_list_create();
    uint32_t          index;

    for (index = 0; index < CW_SIM_ADDRESSES; index++) {
        cw_server_entry_t *entry;

        if (!world->servers[index].listed) {
            continue;
        }
        entry = cw_server_list_add(list);
        entry->id = strdup(world->servers[index].id);
        entry->address = strdup(world->servers[index].address);
        entry->service = strdup("service");
        entry->zone = strdup("z");
        entry->capacity = 2;
    }
    cw_server_list_seal(list);
    cw_server_list_release(world->list);
    world->list = list;
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

static cw_order_result_t take_grant(sim_world_t *world, sim_server_t *server, const cw_order_t *order, bool late)
{
    uint32_t first = order->low / CW_CELL_KEYS;
    uint32_t last = order->last / CW_CELL_KEYS;
    uint32_t cell;

    for (cell = first; cell <= last; cell++) {
        if (server->cells[cell].seen > order->fence) {
            return CW_ORDER_FENCED;
        }
    }
    for (cell = first; cell <= last; cell++) {
        sim_cell_t *held = &server->cells[cell];

        check_fence(world, server, cell, order->fence, late);
        if (held->until <= world->now) {
            held->since = world->now;
        }
        held->seen = order->fence;
        held->held = order->fence;
        held->until = world->now + order->hold * SLOW_CLOCK_PERCENT / 100;
    }
    world->result->grants++;
    return CW_ORDER_DONE;
}

static void take_release(sim_world_t *world, sim_server_t *server, const cw_order_t *order)
{
    uint32_t cell;

    for (cell = order->low / CW_CELL_KEYS; cell <= order->last / CW_CELL_KEYS; cell++) {
        server->cells[cell].until = 0;
        if (order->fence > server->cells[cell].seen) {
            server->cells[cell].seen = order->fence;
        }
    }
    (void)world;
}

static cw_order_result_t take_order(sim_world_t *world, const cw_order_t *order, bool late)
{
    sim_server_t *server = at_address(world, order->address);

    if (server == NULL || !server->up) {
        return CW_ORDER_UNANSWERED;
    }
    if (strcmp(server->id, order->server) != 0) {
        return CW_ORDER_OTHER_INCARNATION;
    }
    if (order->kind == CW_ORDER_GRANT) {
        return take_grant(world, server, order, late);
    }
    take_release(world, server, order);
    return CW_ORDER_DONE;
}

static void tell_node(sim_world_t *world, void *data)
{
    sim_delivery_t *delivery = data;
    sim_node_t     *node = delivery->node;

    if (node->up && node->life == delivery->life && node->frozen_until > world->now) {
        sim_at(world, node->frozen_until, tell_node, delivery);
        return;
    }
    if (node->up && node->life == delivery->life && node->assigner != NULL &&
        node->assigner_term == delivery->assigner_term) {
        cw_assigner_order_done(node->assigner, delivery->order.id, delivery->result, delivery->handover, world->now);
    }
    free(delivery);
}

static void arrive_late(sim_world_t *world, void *data)
{
    sim_delivery_t *delivery = data;

    (void)take_order(world, &delivery->order, true);
    free(delivery);
}

static void arrive(sim_world_t *world, void *data)
{
    sim_delivery_t *delivery = data;
    cw_time_us_t    back = (cw_time_us_t)(LINK_US + sim_below(world, LINK_SPREAD_US));
    bool            rough = sim_is_rough(world);

    delivery->result = CW_ORDER_UNANSWERED;
    if (rough && sim_is(world, world->settings.order_late)) {
        sim_delivery_t *late = malloc(sizeof(*late));

        if (late == NULL) {
            abort();
        }
        *late = *delivery;
        sim_at(world, world->now + CW_MS(LATE_FIRST_MS + sim_below(world, LATE_SPREAD_MS)), arrive_late, late);
    } else {
        cw_order_result_t result = take_order(world, &delivery->order, false);

        if (!rough || !sim_is(world, world->settings.order_lost)) {
            delivery->result = result;
        }
        if (delivery->order.kind == CW_ORDER_RELEASE) {
            snprintf(delivery->handover, sizeof(delivery->handover), "h%llu", (unsigned long long)delivery->order.id);
            back += CW_MS(sim_below(world, WORK_MS)); /* what ran on the keys comes to its end */
        }
    }
    sim_at(world,
           delivery->result == CW_ORDER_UNANSWERED ? delivery->order.sent_at + delivery->order.timeout
                                                   : world->now + back,
           tell_node, delivery);
}

void sim_order(sim_node_t *node, const cw_order_t *order)
{
    sim_world_t    *world = node->world;
    sim_delivery_t *delivery = calloc(1, sizeof(*delivery));
    sim_server_t   *server = at_address(world, order->address);
    bool            reachable = (node->cut_servers & (1u << (uint32_t)(server - world->servers))) == 0;

    if (delivery == NULL) {
        abort();
    }
    delivery->node = node;
    delivery->life = node->life;
    delivery->assigner_term = node->assigner_term;
    delivery->order = *order;
    if (!reachable || !server->up) {
        /* On a kept connection the bytes may be on their way; a new one does not come up. */
        delivery->result = order->fresh ? CW_ORDER_NOT_SENT : CW_ORDER_UNANSWERED;
        sim_at(world, world->now + order->timeout, tell_node, delivery);
        return;
    }
    sim_at(world, world->now + (cw_time_us_t)(LINK_US + sim_below(world, LINK_SPREAD_US)), arrive, delivery);
}

/* ---- requests ---- */

typedef struct sim_sending {
    char     id[CW_SERVER_ID_MAX];
    uint32_t cell;
} sim_sending_t;

static void begin_request(sim_world_t *world, sim_server_t *server, uint32_t cell)
{
    sim_cell_t *own = &server->cells[cell];
    uint32_t    index;

    own->begun = world->now;
    world->served_at[cell] = world->now;
    world->result->requests++;
    for (index = 0; index < CW_SIM_ADDRESSES; index++) {
        sim_server_t *other = &world->servers[index];
        sim_cell_t   *cells = &other->cells[cell];
        cw_time_us_t  both_since = cells->since > own->since ? cells->since : own->since;

        if (other != server && other->up && cells->until > world->now && cells->begun >= both_since) {
            sim_violation(world, "at %.3f s cell %u has two owners at work: %s (fence %llu) and %s (fence %llu)",
                          (double)world->now / 1e6, cell, server->id, (unsigned long long)own->held, other->id,
                          (unsigned long long)cells->held);
        }
    }
}

static void request_arrives(sim_world_t *world, void *data)
{
    sim_sending_t *sending = data;
    uint32_t       index;

    for (index = 0; index < CW_SIM_ADDRESSES; index++) {
        sim_server_t *server = &world->servers[index];

        if (!server->up || strcmp(server->id, sending->id) != 0) {
            continue;
        }
        if (server->cells[sending->cell].until > world->now) {
            begin_request(world, server, sending->cell);
        } else {
            world->result->turned_away++;
        }
    }
    free(sending);
}

void sim_request(sim_world_t *world, sim_node_t *node, uint32_t cell)
{
    sim_sending_t *sending;

    if (node->table.valid_until <= world->now || !node->table.routable[cell]) {
        world->result->unrouted++;
        return;
    }
    sending = calloc(1, sizeof(*sending));
    if (sending == NULL) {
        abort();
    }
    snprintf(sending->id, sizeof(sending->id), "%s", node->table.owner[cell]);
    sending->cell = cell;
    sim_at(world, world->now + (cw_time_us_t)(LINK_US + sim_below(world, LINK_SPREAD_US)), request_arrives, sending);
}
