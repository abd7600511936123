/**
 * @file lease_late_orders.c
 * @brief Orders that are held up: in the socket of a server that stands still, or in the kernel of their sender. The
 * sender waits for the answer as long as for any other; an answer that comes later goes nowhere.
 *
 * What a node has written leaves its kernel also if the node is killed right after, or stands still, or if the link to
 * the server is cut for some time. It may then arrive seconds later, at the process to which the connection leads.
 */
#include <stdlib.h>

#include "lease_internal.h"

enum {
    DEPART_FIRST_MS = 300,
    DEPART_SPREAD_MS = 6000,
    WRITE_SPREAD_US = 5000, /* how long before its end a node writes what leaves late */
    DOWN_FIRST_MS = 100,    /* of the node */
    DOWN_SPREAD_MS = 4000,
    RETRANSMIT_MS = 700
};

static void release(void *data)
{
    sim_delivery_t *delivery = data;

    if (--delivery->references == 0) {
        free(delivery);
    }
}

/* Hands the result to the sender at this time, and ends its wait. */
static void answer(sim_delivery_t *delivery, cw_order_result_t result, cw_time_us_t at)
{
    sim_delivery_t *copy = malloc(sizeof(*copy));

    if (copy == NULL) {
        abort();
    }
    delivery->is_answered = true;
    *copy = *delivery;
    copy->result = result;
    sim_schedule(delivery->node->world, at, sim_deliver_result, copy);
}

static void on_wait_over(sim_world_t *world, void *data)
{
    sim_delivery_t *delivery = data;

    if (!delivery->is_answered) {
        answer(delivery, CW_ORDER_UNANSWERED, world->now);
    }
    release(delivery);
}

static cw_time_us_t end_of_wait(const sim_delivery_t *delivery)
{
    return delivery->order.sent_at + delivery->order.timeout;
}

/* The sender's wait and the order's way to the server go on side by side. */
static void hold_up(sim_delivery_t *delivery, sim_delay_t delay)
{
    delivery->delay = delay;
    delivery->references = 2;
    sim_schedule(delivery->node->world, end_of_wait(delivery), on_wait_over, delivery);
}

/* The server takes an order that was held up. */
static void take(sim_world_t *world, void *data)
{
    sim_delivery_t *delivery = data;
    cw_time_us_t    back = sim_carry_out(delivery, sim_draw_link(world));

    if (sim_is_late(world, delivery) && delivery->delay == SIM_DELAY_IN_SOCKET) {
        bool is_grant = delivery->order.kind == CW_ORDER_GRANT && delivery->result == CW_ORDER_DONE;

        world->result->from_socket++;
        world->result->grants_from_socket += is_grant ? 1 : 0;
    }
    if (!delivery->is_answered && delivery->result != CW_ORDER_UNANSWERED &&
        world->now + back < end_of_wait(delivery)) {
        answer(delivery, delivery->result, world->now + back);
    }
    release(delivery);
}

void sim_order_wait_in_socket(sim_delivery_t *delivery, sim_server_t *server)
{
    sim_trace_order(delivery, "lies in the server's socket");
    if (delivery->delay == SIM_NO_DELAY) {
        hold_up(delivery, SIM_DELAY_IN_SOCKET);
    }
    sim_socket_add(delivery->node->world, server, take, release, delivery);
}

/* ---- orders that leave their sender's kernel late ---- */

/* Whether the link on which the order was written is still cut. */
static bool is_cut(const sim_delivery_t *delivery, const sim_server_t *server)
{
    const sim_node_t *node = delivery->node;

    return node->incarnation == delivery->incarnation &&
           (node->cut_servers & (1u << (uint32_t)(server - node->world->servers))) != 0;
}

static void on_arrived(sim_world_t *world, void *data)
{
    sim_delivery_t *delivery = data;
    sim_server_t   *server = sim_server_at(world, delivery->order.address);

    if (is_cut(delivery, server)) {
        sim_schedule(world, world->now + CW_MS(RETRANSMIT_MS), on_arrived, delivery);
    } else if (!server->up || server->number != delivery->server) {
        release(delivery); /* the connection has ended with the server */
    } else if (sim_server_is_stopped(server)) {
        sim_order_wait_in_socket(delivery, server);
    } else {
        sim_trace_order(delivery, "left its sender late");
        take(world, delivery);
    }
}

void sim_order_leave_late(sim_delivery_t *delivery)
{
    sim_world_t *world = delivery->node->world;

    world->result->departures++;
    hold_up(delivery, SIM_DELAY_IN_SENDER);
    sim_schedule(world, world->now + CW_MS(DEPART_FIRST_MS + sim_random_below(world, DEPART_SPREAD_MS)), on_arrived,
                 delivery);
}

/* The node is killed or stands still, right after it has written. */
static void on_node_ends(sim_world_t *world, void *data)
{
    sim_node_t  *node = data;
    cw_time_us_t down = CW_MS(DOWN_FIRST_MS + sim_random_below(world, DOWN_SPREAD_MS));

    if (node->ends_writing_at != world->now) {
        return; /* it was killed before */
    }
    node->ends_writing_at = 0;
    if (sim_random_bool(world, 0.5)) {
        sim_node_kill(world, node->index, down);
    } else {
        sim_node_freeze(node, world->now + down);
    }
}

bool sim_node_writes_late(sim_node_t *node)
{
    sim_world_t *world = node->world;

    if (node->ends_writing_at == 0 && sim_has_faults(world) && world->settings.late_departures > 0 &&
        sim_random_bool(world, world->settings.late_departures)) {
        node->ends_writing_at = world->now + 1 + (cw_time_us_t)sim_random_below(world, WRITE_SPREAD_US);
        sim_schedule(world, node->ends_writing_at, on_node_ends, node);
    }
    return node->ends_writing_at != 0;
}
