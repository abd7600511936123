/**
 * @file agent_world.c
 * @brief One agent for tests, with what it sends and calls recorded.
 */
#include "agent_world.h"

#include <check.h>
#include <string.h>

agent_world_t agent_world;

static void record_call(void *context, const cw_server_call_t *call)
{
    (void)context;
    ck_assert_uint_lt(agent_world.call_count, AGENT_RECORDS_MAX);
    agent_world.calls[agent_world.call_count++] = (agent_call_record_t){
        call->id, call->kind, call->incarnation, call->lease_end_us, call->grant_count, call->timeout_us};
}

static void record_send(void *context, cw_node_id_t to, Cw__Envelope *envelope)
{
    uint8_t buffer[65536];
    size_t  length = cw__envelope__pack(envelope, buffer);

    (void)context;
    ck_assert_uint_eq(envelope->to, to);
    ck_assert_uint_lt(agent_world.sent_count, AGENT_RECORDS_MAX);
    agent_world.sent[agent_world.sent_count++] = cw__envelope__unpack(NULL, length, buffer);
    agent_world.sent_bytes += length;
}

static void ignore_node(void *context, const Cw__NodeInfo *node)
{
    (void)context;
    (void)node;
}

void agent_world_set_up(void)
{
    Cw__NodeInfo       self = CW__NODE_INFO__INIT;
    cw_ports_t         ports = {.send = record_send, .server_call = record_call, .learn_node = ignore_node};
    cw_agent_options_t options = {.self = &self, .heartbeat_us = HEARTBEAT_US};

    self.id = NODE;
    self.incarnation = INCARNATION;
    self.zone = "a";
    self.region = "r";
    self.address = "127.0.0.1";
    agent_world.now.monotonic_us = 50000000;
    agent_world.server_clock_offset = -20000000;
    agent_world.call_count = agent_world.sent_count = agent_world.sent_bytes = 0;
    agent_world.log_index = 0;
    agent_world.server_id = cw_hash_server("t", "s", "one");
    agent_world.service_id = cw_hash_service("t", "s");
    agent_world.routes = cw_control_state_create();
    ck_assert_int_eq(cw_agent_create(&agent_world.agent, &options, &ports, agent_world.now), 0);
    cw_agent_set_leader(agent_world.agent, LEADER);
}

void agent_world_tear_down(void)
{
    while (agent_world.sent_count > 0) {
        cw__envelope__free_unpacked(agent_world.sent[--agent_world.sent_count], NULL);
    }
    cw_agent_free(agent_world.agent);
    cw_control_state_free(agent_world.routes);
}

void agent_world_apply(Cw__Command *command)
{
    ck_assert_int_eq(cw_control_state_apply(agent_world.routes, command, 1, ++agent_world.log_index), 0);
    cw_agent_routes_changed(agent_world.agent, agent_world.routes, agent_world.now);
}

void agent_world_apply_configuration(void)
{
    Cw__ServerConfiguration   server = CW__SERVER_CONFIGURATION__INIT;
    Cw__ServerConfiguration  *servers[] = {&server};
    Cw__ServiceConfiguration  service = CW__SERVICE_CONFIGURATION__INIT;
    Cw__ServiceConfiguration *services[] = {&service};
    Cw__TenantConfiguration   tenant = CW__TENANT_CONFIGURATION__INIT;
    Cw__TenantConfiguration  *tenants[] = {&tenant};
    Cw__Command               command = CW__COMMAND__INIT;

    server.id = agent_world.server_id;
    server.name = "one";
    server.address = "127.0.0.1";
    server.port = 9000;
    service.id = agent_world.service_id;
    service.name = "s";
    service.n_servers = 1;
    service.servers = servers;
    tenant.name = "t";
    tenant.version = 1;
    tenant.n_services = 1;
    tenant.services = services;
    command.n_tenants = 1;
    command.tenants = tenants;
    agent_world_apply(&command);
}

void agent_world_apply_forwarder(cw_node_id_t node, cw_incarnation_t incarnation)
{
    Cw__ServerInfo  server = CW__SERVER_INFO__INIT;
    Cw__ServerInfo *servers[] = {&server};
    Cw__Command     command = CW__COMMAND__INIT;

    server.server = agent_world.server_id;
    server.service = agent_world.service_id;
    server.forwarder = node;
    server.forwarder_incarnation = incarnation;
    command.n_servers = 1;
    command.servers = servers;
    agent_world_apply(&command);
}

/* Answers the call made last of a kind; the server's clock runs beside this node's. */
void agent_world_answer(cw_server_call_kind_t kind, int error, cw_incarnation_t incarnation, int64_t lease_end_us,
                        const cw_range_id_t *accepted, size_t accepted_count)
{
    cw_server_completion_t completion = {.error = error, .incarnation = incarnation, .lease_end_us = lease_end_us};
    size_t                 position = agent_world.call_count;

    while (position > 0 && agent_world.calls[position - 1].kind != kind) {
        position--;
    }
    ck_assert_uint_gt(position, 0);
    completion.id = agent_world.calls[position - 1].id;
    completion.clock_us = agent_world.now.monotonic_us + agent_world.server_clock_offset;
    completion.accepted = accepted;
    completion.accepted_count = accepted_count;
    cw_agent_server_completed(agent_world.agent, &completion, agent_world.now);
}

int64_t agent_world_server_clock(void)
{
    return agent_world.now.monotonic_us + agent_world.server_clock_offset;
}

void agent_world_tick_after(int64_t time_us)
{
    agent_world.now.monotonic_us += time_us;
    cw_agent_tick(agent_world.agent, agent_world.now);
}

const Cw__Envelope *agent_world_last_sent(Cw__Envelope__BodyCase kind)
{
    size_t position = agent_world.sent_count;

    while (position > 0 && agent_world.sent[position - 1]->body_case != kind) {
        position--;
    }
    ck_assert_uint_gt(position, 0);
    return agent_world.sent[position - 1];
}

size_t agent_world_count_sent(Cw__Envelope__BodyCase kind)
{
    size_t count = 0;
    size_t i;

    for (i = 0; i < agent_world.sent_count; i++) {
        count += agent_world.sent[i]->body_case == kind;
    }
    return count;
}

void agent_world_reply(bool accepted, cw_node_id_t leader, int64_t lease_end_us)
{
    Cw__Envelope       envelope = CW__ENVELOPE__INIT;
    Cw__HeartbeatReply message = CW__HEARTBEAT_REPLY__INIT;
    Cw__NodeInfo       node = CW__NODE_INFO__INIT;
    Cw__LeaseRenewal   renewal = CW__LEASE_RENEWAL__INIT;
    Cw__LeaseRenewal  *renewals[] = {&renewal};

    node.id = leader;
    renewal.server = agent_world.server_id;
    renewal.incarnation = SERVER_INCARNATION;
    renewal.lease_end_us = lease_end_us;
    message.sequence = agent_world_last_sent(CW__ENVELOPE__BODY_HEARTBEAT)->heartbeat->sequence;
    message.accepted = accepted;
    message.leader = &node;
    message.n_renewals = accepted;
    message.renewals = renewals;
    envelope.from = agent_world_last_sent(CW__ENVELOPE__BODY_HEARTBEAT)->to;
    envelope.body_case = CW__ENVELOPE__BODY_HEARTBEAT_REPLY;
    envelope.heartbeat_reply = &message;
    cw_agent_receive(agent_world.agent, &envelope, agent_world.now);
}

void agent_world_order(bool grant, cw_range_id_t range, uint64_t fence_index)
{
    Cw__Envelope    envelope = CW__ENVELOPE__INIT;
    Cw__GrantOrder  grant_order = CW__GRANT_ORDER__INIT;
    Cw__RevokeOrder revoke_order = CW__REVOKE_ORDER__INIT;
    Cw__Fence       fence = CW__FENCE__INIT;
    Cw__Grant       message = CW__GRANT__INIT;
    Cw__Grant      *grants[] = {&message};

    fence.generation = 1;
    fence.index = fence_index;
    message.range = range;
    message.fence = &fence;
    grant_order.server = revoke_order.server = agent_world.server_id;
    grant_order.incarnation = revoke_order.incarnation = SERVER_INCARNATION;
    grant_order.lease_end_us = agent_world_server_clock() + LEASE_US;
    grant_order.n_grants = revoke_order.n_grants = 1;
    grant_order.grants = revoke_order.grants = grants;
    revoke_order.drain_ms = agent_world.drain_ms;
    envelope.from = LEADER;
    envelope.body_case = grant ? CW__ENVELOPE__BODY_GRANT_ORDER : CW__ENVELOPE__BODY_REVOKE_ORDER;
    if (grant) {
        envelope.grant_order = &grant_order;
    } else {
        envelope.revoke_order = &revoke_order;
    }
    cw_agent_receive(agent_world.agent, &envelope, agent_world.now);
}

cw_range_readiness_t agent_world_readiness(cw_range_id_t range, uint64_t fence_index)
{
    return cw_agent_readiness(agent_world.agent, range, (cw_fence_t){1, fence_index});
}

/* This node forwards to the server, which was read once. */
void agent_world_begin_forwarding(void)
{
    agent_world_apply_configuration();
    agent_world_apply_forwarder(NODE, INCARNATION);
    agent_world_answer(CW_SERVER_READ_STATE, 0, SERVER_INCARNATION, 0, NULL, 0);
}

/* Grants a range and lets the server accept it. */
void agent_world_grant_accepted(cw_range_id_t range, uint64_t fence_index)
{
    agent_world_order(true, range, fence_index);
    agent_world_answer(CW_SERVER_GRANT, 0, SERVER_INCARNATION, agent_world_server_clock() + LEASE_US, &range, 1);
}
