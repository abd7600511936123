/**
 * @file lease_late_grants.c
 * @brief Check of the fences of grants, and the count of those late grants that no sender can prevent.
 *
 * A late grant that is the same as one that this incarnation has taken before gives it nothing that it had not been
 * given then. Any other one is a new grant. No sender can prevent that such a grant is taken late if the server had
 * shown right before that it takes orders, and stood still right after; nor that a server which restarted under its
 * name takes a repeat that was sent to its earlier life.
 */
#include <stdio.h>
#include <string.h>

#include "lease_internal.h"

/* Whether the server has taken a grant with this fence for the cell. It refuses lower ones, so that this one can only
 * be the latest. */
static bool has_taken(const sim_server_t *server, uint32_t cell, uint64_t fence)
{
    return server->cells[cell].granted_fence == fence;
}

void sim_late_grants_note_written(sim_delivery_t *delivery, const sim_server_t *server)
{
    const cw_order_t *order = &delivery->order;
    cw_time_us_t      answered_at = server->probe_answered_at[delivery->node->index];
    uint32_t          cell;

    delivery->server = server->number;
    delivery->answer_age = answered_at == 0 ? -1 : delivery->node->world->now - answered_at;
    delivery->is_repeat = order->kind == CW_ORDER_GRANT;
    for (cell = order->low / CW_CELL_KEYS; delivery->is_repeat && cell <= order->last / CW_CELL_KEYS; cell++) {
        delivery->is_repeat = has_taken(server, cell, order->fence);
    }
}

bool sim_is_late(const sim_world_t *world, const sim_delivery_t *delivery)
{
    return delivery->delay != SIM_NO_DELAY && world->now > delivery->order.sent_at + delivery->order.timeout;
}

/* Counts a late grant that no sender can prevent. False: it is none. */
static bool count_late_grant(sim_world_t *world, const sim_server_t *server, const sim_delivery_t *delivery)
{
    cw_sim_late_grants_t *late = &world->result->late;

    if (delivery->delay == SIM_DELAY_DRAWN && delivery->is_repeat && delivery->server != server->number) {
        late->later_life++;
        return true;
    }
    if (delivery->answer_age < 0 || delivery->answer_age > CW_MS(CW_SIM_ANSWER_AGE_MAX_MS)) {
        return false;
    }
    late->drawn += delivery->delay == SIM_DELAY_DRAWN ? 1 : 0;
    late->in_socket += delivery->delay == SIM_DELAY_IN_SOCKET ? 1 : 0;
    late->in_sender += delivery->delay == SIM_DELAY_IN_SENDER ? 1 : 0;
    late->waited += delivery->answer_age > CW_MS(CW_SIM_ANSWER_AGE_MS) ? 1 : 0;
    late->longest = delivery->answer_age > late->longest ? delivery->answer_age : late->longest;
    return true;
}

static const char *delay_name(sim_delay_t delay)
{
    static const char *const names[] = {[SIM_NO_DELAY] = "",
                                        [SIM_DELAY_DRAWN] = ", carried out late",
                                        [SIM_DELAY_IN_SOCKET] = ", from its socket",
                                        [SIM_DELAY_IN_SENDER] = ", which left its sender late"};

    return names[delay];
}

static void check_below(sim_world_t *world, const sim_server_t *server, uint32_t cell, const sim_delivery_t *delivery)
{
    bool is_late = sim_is_late(world, delivery);

    if (is_late && has_taken(server, cell, delivery->order.fence)) {
        return;
    }
    if (is_late && count_late_grant(world, server, delivery)) {
        sim_trace(world, "cell %u went to %s by a late grant that no sender can prevent", cell, server->id);
        return;
    }
    sim_trace(world, "order %llu was written %.3f ms after the server's answer to a probe%s",
              (unsigned long long)delivery->order.id, (double)delivery->answer_age / 1e3,
              delivery->is_repeat ? ", a repeat" : "");
    sim_violation(world, "at %.3f s cell %u went to %s with fence %llu%s; %s had it with %llu",
                  (double)world->now / 1e6, cell, server->id, (unsigned long long)delivery->order.fence,
                  delay_name(delivery->delay), world->fence_of[cell], (unsigned long long)world->fences[cell]);
}

void sim_check_fence(sim_world_t *world, const sim_server_t *server, uint32_t cell, const sim_delivery_t *delivery)
{
    uint64_t fence = delivery->order.fence;

    if (fence <= world->fences[cell] && strcmp(world->fence_of[cell], server->id) != 0) {
        check_below(world, server, cell, delivery);
    }
    if (fence > world->fences[cell]) {
        world->fences[cell] = fence;
        snprintf(world->fence_of[cell], sizeof(world->fence_of[cell]), "%s", server->id);
    }
}
