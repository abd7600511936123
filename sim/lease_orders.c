/**
 * @file lease_orders.c
 * @brief Orders on their way to servers, and their results on the way back. An order may have to wait for its
 * connection, as in platform/platform_orders.c and src/net/http_upstream.c: it is sent when the connection is open,
 * also if the node stood still meanwhile or leads no more, or is reported as not sent. Orders do not wait for each
 * other.
 */
#include <stdio.h>
#include <stdlib.h>

#include "lease_internal.h"

enum {
    LINK_US = 300,
    LINK_SPREAD_US = 1500,
    LATE_FIRST_MS = 2000,
    LATE_SPREAD_MS = 10000,
    WORK_MS = 120,
    CONNECT_MS = 300, /* timeout of a connection */
    AFTER_FREEZE_MS = 300
};

static sim_connection_t *connection_of(const sim_delivery_t *delivery)
{
    sim_world_t *world = delivery->node->world;

    return &delivery->node->connections[sim_server_at(world, delivery->order.address) - world->servers];
}

bool sim_order_is_probe(const cw_order_t *order)
{
    return order->kind == CW_ORDER_PROBE;
}

static const char *kind_name(const cw_order_t *order)
{
    if (sim_order_is_probe(order)) {
        return "probe";
    }
    return order->kind == CW_ORDER_GRANT ? "grant" : "release";
}

void sim_trace_order(const sim_delivery_t *delivery, const char *what)
{
    const cw_order_t *order = &delivery->order;

    sim_trace(delivery->node->world, "n%u order %llu, %s of cells %u-%u to %s with fence %llu for %.3f s: %s",
              delivery->node->index, (unsigned long long)order->id, kind_name(order), order->low / CW_CELL_KEYS,
              order->last / CW_CELL_KEYS, order->server, (unsigned long long)order->fence, (double)order->hold / 1e6,
              what);
}

static const char *result_name(cw_order_result_t result)
{
    static const char *const names[] = {[CW_ORDER_DONE] = "done",
                                        [CW_ORDER_FENCED] = "fenced",
                                        [CW_ORDER_OTHER_INCARNATION] = "another incarnation answers",
                                        [CW_ORDER_REFUSED] = "refused",
                                        [CW_ORDER_NOT_SENT] = "not sent",
                                        [CW_ORDER_WITHDRAWN] = "withdrawn",
                                        [CW_ORDER_OTHER_CONNECTION] = "no connection from before",
                                        [CW_ORDER_UNANSWERED] = "no answer"};

    return names[result];
}

void sim_deliver_result(sim_world_t *world, void *data)
{
    sim_delivery_t *delivery = data;
    sim_node_t     *node = delivery->node;

    if (node->up && node->incarnation == delivery->incarnation && node->frozen_until > world->now) {
        sim_schedule(world, node->frozen_until, sim_deliver_result, delivery);
        return;
    }
    if (node->up && node->incarnation == delivery->incarnation && node->assigner != NULL &&
        cw_assigner_first_term(node->assigner) == delivery->first_term) {
        sim_trace_order(delivery, result_name(delivery->result));
        if (delivery->result == CW_ORDER_UNANSWERED) {
            *connection_of(delivery) = (sim_connection_t){0};
        }
        cw_assigner_order_done(node->assigner, delivery->order.id, delivery->result, delivery->handover, world->now);
    }
    free(delivery);
}

cw_time_us_t sim_draw_link(sim_world_t *world)
{
    return (cw_time_us_t)(LINK_US + sim_random_below(world, LINK_SPREAD_US));
}

static void on_late_order_arrived(sim_world_t *world, void *data)
{
    sim_delivery_t *delivery = data;
    sim_server_t   *server = sim_server_at(world, delivery->order.address);

    if (world->settings.late_orders_end && server->number != delivery->server) {
        free(delivery);
    } else if (server->up && sim_server_is_stopped(server)) {
        sim_order_wait_in_socket(delivery, server);
    } else {
        sim_trace_order(delivery, "carried out late");
        (void)sim_handle_order(world, delivery);
        free(delivery);
    }
}

static void carry_out_late(const sim_delivery_t *delivery)
{
    sim_world_t    *world = delivery->node->world;
    sim_delivery_t *late = malloc(sizeof(*late));

    if (late == NULL) {
        abort();
    }
    *late = *delivery;
    late->delay = SIM_DELAY_DRAWN;
    late->is_answered = true;
    late->references = 1;
    sim_schedule(world, world->now + CW_MS(LATE_FIRST_MS + sim_random_below(world, LATE_SPREAD_MS)),
                 on_late_order_arrived, late);
}

/* Whether the node that sent the order has just stood still: it cannot know how much time has passed since its last
 * check. */
static bool is_after_freeze(const sim_delivery_t *delivery)
{
    const sim_node_t *node = delivery->node;
    cw_time_us_t      now = node->world->now;

    return node->up && node->incarnation == delivery->incarnation && node->frozen_until != 0 &&
           node->frozen_until <= now && now - node->frozen_until < CW_MS(AFTER_FREEZE_MS);
}

cw_time_us_t sim_carry_out(sim_delivery_t *delivery, cw_time_us_t link)
{
    sim_world_t      *world = delivery->node->world;
    cw_time_us_t      back = link;
    cw_order_result_t result;

    delivery->counts = !is_after_freeze(delivery);
    delivery->result = CW_ORDER_UNANSWERED;
    result = sim_handle_order(world, delivery);
    sim_trace_order(delivery, "arrives");
    if (!sim_has_faults(world) || !sim_random_bool(world, world->settings.order_lost)) {
        delivery->result = result;
    }
    if (delivery->order.kind == CW_ORDER_RELEASE) {
        snprintf(delivery->handover, sizeof(delivery->handover), "h%llu", (unsigned long long)delivery->order.id);
        /* A release is answered when requests on its keys have ended. */
        back += CW_MS(sim_random_below(world, WORK_MS));
    }
    if (delivery->result == CW_ORDER_DONE && sim_order_is_probe(&delivery->order)) {
        sim_server_at(world, delivery->order.address)->probe_answered_at[delivery->node->index] = world->now;
    }
    return back;
}

static void on_order_arrived(sim_world_t *world, void *data)
{
    sim_delivery_t *delivery = data;
    sim_server_t   *server = sim_server_at(world, delivery->order.address);
    cw_time_us_t    back = sim_draw_link(world);

    delivery->result = CW_ORDER_UNANSWERED;
    if (sim_has_faults(world) && sim_random_bool(world, world->settings.order_late)) {
        carry_out_late(delivery);
    } else if (server->up && sim_server_is_stopped(server)) {
        sim_order_wait_in_socket(delivery, server);
        return;
    } else {
        back = sim_carry_out(delivery, back);
    }
    sim_schedule(world,
                 delivery->result == CW_ORDER_UNANSWERED ? delivery->order.sent_at + delivery->order.timeout
                                                         : world->now + back,
                 sim_deliver_result, delivery);
}

static bool is_reachable(const sim_delivery_t *delivery)
{
    sim_world_t        *world = delivery->node->world;
    const sim_server_t *server = sim_server_at(world, delivery->order.address);

    return server->up && (delivery->node->cut_servers & (1u << (uint32_t)(server - world->servers))) == 0;
}

/* Whether a connection is open that was opened by this time; a restart of the server ends all connections. */
static bool is_connected_since(const sim_delivery_t *delivery, cw_time_us_t opened_by)
{
    const sim_connection_t *connection = connection_of(delivery);
    const sim_server_t     *server = sim_server_at(delivery->node->world, delivery->order.address);

    return server->up && connection->server == server->number && connection->opened_at <= opened_by;
}

static void note_connection(const sim_delivery_t *delivery)
{
    cw_time_us_t now = delivery->node->world->now;

    if (!is_connected_since(delivery, now)) {
        *connection_of(delivery) = (sim_connection_t){
            .server = sim_server_at(delivery->node->world, delivery->order.address)->number, .opened_at = now};
    }
}

/* Whether bytes on an open connection leave the node's kernel late, since its link is cut. */
static bool leaves_after_cut(const sim_delivery_t *delivery)
{
    sim_world_t *world = delivery->node->world;

    return world->settings.late_departures > 0 && !delivery->order.fresh &&
           is_connected_since(delivery, delivery->order.sent_at) && sim_random_bool(world, 0.5);
}

static void send_bytes(sim_world_t *world, sim_delivery_t *delivery)
{
    sim_late_grants_note_written(delivery, sim_server_at(world, delivery->order.address));
    if (is_reachable(delivery)) {
        note_connection(delivery);
        if (sim_node_writes_late(delivery->node)) {
            sim_order_leave_late(delivery);
            return;
        }
    } else if (leaves_after_cut(delivery)) {
        sim_order_leave_late(delivery);
        return;
    } else {
        /* Bytes sent on an open connection may still arrive; a new connection fails before anything is sent. */
        delivery->result = delivery->order.fresh ? CW_ORDER_NOT_SENT : CW_ORDER_UNANSWERED;
        sim_schedule(world, world->now + delivery->order.timeout, sim_deliver_result, delivery);
        return;
    }
    sim_schedule(world, world->now + sim_draw_link(world), on_order_arrived, delivery);
}

bool sim_order_may_be_sent(const sim_node_t *node, const cw_order_t *order, uint64_t first_term)
{
    cw_time_us_t now = node->world->now;

    return node->world->settings.leaves_unchecked ||
           (now <= order->leave_by && node->assigner != NULL && cw_assigner_first_term(node->assigner) == first_term &&
            cw_leadership_has_authority(&node->leadership, now));
}

static void on_connected(sim_world_t *world, void *data)
{
    sim_delivery_t *delivery = data;
    sim_node_t     *node = delivery->node;
    bool            has_failed;

    if (!node->up || node->incarnation != delivery->incarnation) {
        free(delivery);
        return;
    }
    if (node->frozen_until > world->now) {
        sim_schedule(world, node->frozen_until, on_connected, delivery);
        return;
    }
    has_failed = sim_has_faults(world) && sim_random_bool(world, world->settings.connect_failures);
    if (has_failed || !is_reachable(delivery)) {
        delivery->result = CW_ORDER_NOT_SENT;
    } else if (!sim_order_may_be_sent(node, &delivery->order, delivery->first_term)) {
        delivery->result = CW_ORDER_WITHDRAWN;
    } else {
        cw_assigner_order_leaves(node->assigner, delivery->order.id, world->now);
        send_bytes(world, delivery);
        return;
    }
    sim_deliver_result(world, delivery);
}

void sim_send_order(sim_node_t *node, const cw_order_t *order)
{
    sim_world_t    *world = node->world;
    sim_delivery_t *delivery = calloc(1, sizeof(*delivery));

    if (delivery == NULL) {
        abort();
    }
    delivery->node = node;
    delivery->incarnation = node->incarnation;
    delivery->first_term = cw_assigner_first_term(node->assigner);
    delivery->order = *order;
    sim_trace_order(delivery, "decided");
    if (order->connected_by != 0) {
        if (order->fresh || !is_connected_since(delivery, order->connected_by)) {
            delivery->result = CW_ORDER_OTHER_CONNECTION;
            sim_deliver_result(world, delivery);
        } else {
            send_bytes(world, delivery);
        }
        return;
    }
    if (world->settings.connects > 0 && (order->fresh || sim_random_bool(world, world->settings.connects))) {
        sim_schedule(world, world->now + (cw_time_us_t)sim_random_below(world, CW_MS(CONNECT_MS)), on_connected,
                     delivery);
        return;
    }
    send_bytes(world, delivery);
}
