/**
 * @file agent_pending.c
 * @brief Orders that came before the route update which gives their server to this node.
 */
#include <string.h>

#include "cedarwinch/intent.h"
#include "core/agent_internal.h"

enum { KEEP_HEARTBEATS = 20 };

static cw_server_id_t order_server(const cw_agent_order_t *order)
{
    return order->grant != NULL ? order->grant->server : order->revoke->server;
}

static uint64_t first_range(const Cw__GrantOrder *grant, const Cw__RevokeOrder *revoke)
{
    if (grant != NULL) {
        return grant->n_grants > 0 ? grant->grants[0]->range : 0;
    }
    return revoke->n_grants > 0 ? revoke->grants[0]->range : 0;
}

static void remove_order(cw_agent_t *agent, size_t position)
{
    cw_agent_order_t *order = &agent->orders[position];

    if (order->grant != NULL) {
        cw__grant_order__free_unpacked(order->grant, NULL);
    }
    if (order->revoke != NULL) {
        cw__revoke_order__free_unpacked(order->revoke, NULL);
    }
    agent->order_count--;
    memmove(order, order + 1, (agent->order_count - position) * sizeof(*order));
}

/** A repeated order replaces its earlier copy. */
static void remove_earlier_copy(cw_agent_t *agent, const Cw__GrantOrder *grant, const Cw__RevokeOrder *revoke)
{
    cw_server_id_t server = grant != NULL ? grant->server : revoke->server;
    size_t         i;

    for (i = 0; i < agent->order_count; i++) {
        const cw_agent_order_t *kept = &agent->orders[i];
        bool                    same_kind = (kept->grant != NULL) == (grant != NULL);

        if (same_kind && order_server(kept) == server &&
            first_range(kept->grant, kept->revoke) == first_range(grant, revoke)) {
            remove_order(agent, i);
            return;
        }
    }
}

void cw_agent_keep_order(cw_agent_t *agent, const Cw__GrantOrder *grant, const Cw__RevokeOrder *revoke)
{
    cw_agent_order_t order = {0};

    remove_earlier_copy(agent, grant, revoke);
    if (agent->order_count == CW_AGENT_PENDING_ORDERS_MAX) {
        remove_order(agent, 0);
    }
    if (grant != NULL) {
        order.grant = (Cw__GrantOrder *)cw_message_copy(&grant->base);
    } else {
        order.revoke = (Cw__RevokeOrder *)cw_message_copy(&revoke->base);
    }
    if (order.grant == NULL && order.revoke == NULL) {
        return;
    }
    order.expires_us = agent->now_us + KEEP_HEARTBEATS * agent->heartbeat_us;
    agent->orders[agent->order_count++] = order;
}

void cw_agent_replay_orders(cw_agent_t *agent)
{
    size_t i = 0;

    while (i < agent->order_count) {
        const cw_agent_order_t *order = &agent->orders[i];

        if (cw_agent_find_server(agent, order_server(order)) == NULL) {
            i++;
            continue;
        }
        if (order->grant != NULL) {
            cw_agent_take_grant_order(agent, order->grant);
        } else {
            cw_agent_take_revoke_order(agent, order->revoke);
        }
        remove_order(agent, i);
    }
}

void cw_agent_expire_orders(cw_agent_t *agent)
{
    size_t i = 0;

    while (i < agent->order_count) {
        if (agent->now_us >= agent->orders[i].expires_us) {
            remove_order(agent, i);
        } else {
            i++;
        }
    }
}

void cw_agent_free_orders(cw_agent_t *agent)
{
    while (agent->order_count > 0) {
        remove_order(agent, agent->order_count - 1);
    }
}
