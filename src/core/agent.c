/**
 * @file agent.c
 * @brief Agent of a node: life cycle, timing and dispatch. See agent.h for its interface.
 *
 * Rules:
 *  - A server belongs to this node while the route table names this node and this incarnation as its forwarder. When
 *    it does not, the server, its ranges and its calls are forgotten at once; answers to forgotten calls find no call
 *    and are ignored.
 *  - One reading call (read or renewal) is under way for a server at a time. Its answer is the next reading. A
 *    renewal that arrives meanwhile waits for the end of that call.
 *  - A reading that no renewal followed is not reported twice: the server is read again and the answer reported at
 * once, since the leader renews for new readings only.
 *  - A reading counts from the local time at which its call was sent, so the lease left by this node's clock is never
 *    more than what the server has. Answers are ordered by the server's own clock.
 *  - A range is ready only after the server accepted it under exactly that fence, and while the lease is alive. Another
 *    incarnation or a lapsed lease means that the server holds nothing: its ranges are dropped until granted anew.
 *  - A revoke order takes effect here before the server is asked. A lower or equal fence never revives the range.
 *  - A revoke call is not sent while a grant call for the same range is under way: the server could run them in either
 *    order, and a grant after the release would have an owner nobody knows of.
 *  - Heartbeats go out once an interval; news goes out at once, but at most twice an interval.
 */
#include <stdlib.h>

#include "cedarwinch/error.h"
#include "cedarwinch/intent.h"
#include "core/agent_internal.h"

enum { URGENT_HEARTBEATS_PER_INTERVAL = 2 };

int cw_agent_create(cw_agent_t **agent, const cw_agent_options_t *options, const cw_ports_t *ports, cw_instant_t now)
{
    cw_agent_t *created;

    if (options->self == NULL || options->heartbeat_us <= 0) {
        return CW_ERROR_INVALID;
    }
    created = calloc(1, sizeof(*created));
    if (created == NULL) {
        return CW_ERROR_NO_MEMORY;
    }
    created->self = (Cw__NodeInfo *)cw_message_copy(&options->self->base);
    if (created->self == NULL) {
        free(created);
        return CW_ERROR_NO_MEMORY;
    }
    created->ports = *ports;
    created->heartbeat_us = options->heartbeat_us;
    created->now_us = now.monotonic_us;
    created->next_us = now.monotonic_us;
    created->last_urgent_us = now.monotonic_us - options->heartbeat_us;
    *agent = created;
    return CW_OK;
}

void cw_agent_free(cw_agent_t *agent)
{
    cw_agent_server_t *server;
    cw_agent_server_t *next;

    if (agent == NULL) {
        return;
    }
    HASH_ITER(hh, agent->servers, server, next)
    {
        cw_agent_forget_server(agent, server);
    }
    cw_agent_free_orders(agent);
    cw_agent_free_loads(agent);
    cw__node_info__free_unpacked(agent->self, NULL);
    free(agent);
}

/** Time of the next heartbeat: the regular one, or sooner when there is news. */
static cw_time_us_t heartbeat_due(const cw_agent_t *agent)
{
    cw_time_us_t allowed = agent->last_urgent_us + agent->heartbeat_us / URGENT_HEARTBEATS_PER_INTERVAL;

    if (agent->urgent && allowed < agent->next_us) {
        return allowed;
    }
    return agent->next_us;
}

/** Has this server nothing new to report, so that it must be read for the next heartbeat? */
static bool is_stale(const cw_agent_t *agent, const cw_agent_server_t *server)
{
    cw_time_us_t pause = agent->heartbeat_us - agent->heartbeat_us / 4;

    return agent->now_us - server->call_us >= pause && server->reported_clock_us == server->clock_us;
}

static void beat(cw_agent_t *agent)
{
    cw_agent_server_t *server;

    if (agent->now_us < agent->next_us) {
        agent->last_urgent_us = agent->now_us;
    }
    agent->urgent = false;
    agent->next_us = agent->now_us + agent->heartbeat_us;
    for (server = agent->servers; server != NULL; server = server->hh.next) {
        if (is_stale(agent, server)) {
            cw_agent_read_state(agent, server);
        }
        server->reported_clock_us = server->clock_us;
    }
    cw_agent_send_heartbeat(agent);
}

void cw_agent_tick(cw_agent_t *agent, cw_instant_t now)
{
    agent->now_us = now.monotonic_us;
    cw_agent_give_up_calls(agent);
    cw_agent_expire_orders(agent);
    if (agent->now_us >= heartbeat_due(agent)) {
        beat(agent);
    }
}

cw_time_us_t cw_agent_next_tick(const cw_agent_t *agent)
{
    cw_time_us_t due = heartbeat_due(agent);

    return due > 0 ? due : 1; /* 0 would mean: none */
}

void cw_agent_send(cw_agent_t *agent, Cw__Envelope *envelope)
{
    if (agent->leader == 0) {
        return;
    }
    envelope->from = agent->self->id;
    envelope->from_incarnation = agent->self->incarnation;
    envelope->to = agent->leader;
    agent->ports.send(agent->ports.context, agent->leader, envelope);
}

static void use_leader(cw_agent_t *agent, cw_node_id_t leader)
{
    if (leader == agent->leader) {
        return;
    }
    agent->leader = leader;
    agent->urgent = leader != 0;
}

static void take_reply(cw_agent_t *agent, const Cw__Envelope *envelope)
{
    const Cw__HeartbeatReply *reply = envelope->heartbeat_reply;
    size_t                    i;

    if (envelope->from != agent->leader || reply->sequence > agent->sequence ||
        reply->sequence <= agent->replied_sequence) {
        return;
    }
    agent->replied_sequence = reply->sequence;
    if (!reply->accepted) {
        if (reply->leader != NULL) {
            agent->ports.learn_node(agent->ports.context, reply->leader);
            use_leader(agent, reply->leader->id);
        }
        return;
    }
    for (i = 0; i < reply->n_renewals; i++) {
        cw_agent_renew(agent, reply->renewals[i]);
    }
}

void cw_agent_receive(cw_agent_t *agent, const Cw__Envelope *envelope, cw_instant_t now)
{
    agent->now_us = now.monotonic_us;
    switch (envelope->body_case) {
    case CW__ENVELOPE__BODY_HEARTBEAT_REPLY:
        take_reply(agent, envelope);
        break;
    case CW__ENVELOPE__BODY_GRANT_ORDER:
        cw_agent_take_grant_order(agent, envelope->grant_order);
        break;
    case CW__ENVELOPE__BODY_REVOKE_ORDER:
        cw_agent_take_revoke_order(agent, envelope->revoke_order);
        break;
    default:
        break;
    }
}

/** Deals with an answer that carries the server's state. */
static void call_answered(cw_agent_t *agent, cw_agent_server_t *server, const cw_agent_call_t *call,
                          const cw_server_completion_t *completion)
{
    bool lapsed_before = completion->clock_us >= server->lease_end_us;

    if (!cw_agent_take_reading(agent, server, call, completion)) {
        return;
    }
    if (call->kind == CW_SERVER_GRANT) {
        cw_agent_grant_completed(agent, server, call, completion, lapsed_before);
    }
    if (call->kind == CW_SERVER_REVOKE) {
        cw_agent_revoke_completed(agent, call, completion);
    }
}

void cw_agent_server_completed(cw_agent_t *agent, const cw_server_completion_t *completion, cw_instant_t now)
{
    cw_agent_call_t   *call;
    cw_agent_server_t *server;

    agent->now_us = now.monotonic_us;
    HASH_FIND(hh, agent->calls, &completion->id, sizeof(completion->id), call);
    if (call == NULL) {
        return;
    }
    HASH_DEL(agent->calls, call);
    server = cw_agent_find_server(agent, call->server);
    cw_agent_reading_call_ended(agent, server, call);
    if (completion->error == CW_OK) {
        call_answered(agent, server, call, completion);
    } else {
        cw_agent_call_failed(agent, server, call, completion->error);
    }
    cw_agent_end_call(agent, call);
}

void cw_agent_routes_changed(cw_agent_t *agent, const cw_control_state_t *routes, cw_instant_t now)
{
    agent->now_us = now.monotonic_us;
    cw_agent_take_routes(agent, routes);
    cw_agent_replay_orders(agent);
}

void cw_agent_set_leader(cw_agent_t *agent, cw_node_id_t leader)
{
    bool told_here = agent->leader == agent->told_leader;

    if (leader == agent->told_leader) {
        return;
    }
    agent->told_leader = leader;
    if (leader == 0 && !told_here) {
        return; /* a reply named a newer one */
    }
    use_leader(agent, leader);
}

void cw_agent_set_state(cw_agent_t *agent, Cw__NodeState state)
{
    if (agent->self->state == state) {
        return;
    }
    agent->self->state = state;
    agent->urgent = true;
}

cw_range_readiness_t cw_agent_readiness(const cw_agent_t *agent, cw_range_id_t range, cw_fence_t fence)
{
    const cw_agent_range_t  *found = cw_agent_find_range(agent, range);
    const cw_agent_server_t *server;

    if (found == NULL) {
        return CW_RANGE_NOT_MINE;
    }
    if (found->state == CW_RANGE_NOT_MINE || cw_fence_compare(found->fence, fence) != 0) {
        return cw_fence_compare(found->routed, fence) == 0 ? CW_RANGE_PENDING : CW_RANGE_NOT_MINE;
    }
    if (found->state != CW_RANGE_READY) {
        return found->state;
    }
    server = cw_agent_find_server(agent, found->server);
    return server->local_lease_end_us > agent->now_us ? CW_RANGE_READY : CW_RANGE_PENDING;
}

int64_t cw_agent_lease_left_us(const cw_agent_t *agent, cw_server_id_t id, cw_instant_t now)
{
    const cw_agent_server_t *server = cw_agent_find_server(agent, id);

    if (server == NULL || server->incarnation == 0) {
        return 0;
    }
    return server->local_lease_end_us - now.monotonic_us;
}
