/**
 * @file test_agent.c
 * @brief Tests of the agent: readings and renewals, grants and revocations, routes, heartbeats.
 */
#include <check.h>
#include <stdlib.h>
#include <string.h>

#include "cedarwinch/agent.h"
#include "cedarwinch/error.h"

enum { NODE = 5, OTHER_NODE = 6, LEADER = 1, HEARTBEAT_US = 300000, LEASE_US = 3000000, RECORDS_MAX = 512 };
enum { INCARNATION = 77, SERVER_INCARNATION = 900, NEXT_SERVER_INCARNATION = 901 };

typedef struct recorded_call {
    uint64_t              id;
    cw_server_call_kind_t kind;
    cw_incarnation_t      incarnation;
    int64_t               lease_end_us;
    size_t                grant_count;
    int64_t               timeout_us;
} recorded_call_t;

static cw_agent_t         *agent;
static cw_control_state_t *routes;
static cw_instant_t        now;
static recorded_call_t     calls[RECORDS_MAX];
static size_t              call_count;
static Cw__Envelope       *sent[RECORDS_MAX];
static size_t              sent_count;
static size_t              sent_bytes;
static uint64_t            log_index;
static int64_t             server_clock_offset;
static int64_t             drain_ms; /* of the orders to revoke */
static cw_server_id_t      server_id;
static cw_service_id_t     service_id;

static void record_call(void *context, const cw_server_call_t *call)
{
    (void)context;
    ck_assert_uint_lt(call_count, RECORDS_MAX);
    calls[call_count++] = (recorded_call_t){call->id,           call->kind,        call->incarnation,
                                            call->lease_end_us, call->grant_count, call->timeout_us};
}

static void record_send(void *context, cw_node_id_t to, Cw__Envelope *envelope)
{
    uint8_t buffer[65536];
    size_t  length = cw__envelope__pack(envelope, buffer);

    (void)context;
    ck_assert_uint_eq(envelope->to, to);
    ck_assert_uint_lt(sent_count, RECORDS_MAX);
    sent[sent_count++] = cw__envelope__unpack(NULL, length, buffer);
    sent_bytes += length;
}

static void ignore_node(void *context, const Cw__NodeInfo *node)
{
    (void)context;
    (void)node;
}

static void set_up(void)
{
    Cw__NodeInfo       self = CW__NODE_INFO__INIT;
    cw_ports_t         ports = {.send = record_send, .server_call = record_call, .learn_node = ignore_node};
    cw_agent_options_t options = {.self = &self, .heartbeat_us = HEARTBEAT_US};

    self.id = NODE;
    self.incarnation = INCARNATION;
    self.zone = "a";
    self.region = "r";
    self.address = "127.0.0.1";
    now.monotonic_us = 50000000;
    server_clock_offset = -20000000;
    call_count = sent_count = sent_bytes = 0;
    log_index = 0;
    server_id = cw_hash_server("t", "s", "one");
    service_id = cw_hash_service("t", "s");
    routes = cw_control_state_create();
    ck_assert_int_eq(cw_agent_create(&agent, &options, &ports, now), 0);
    cw_agent_set_leader(agent, LEADER);
}

static void tear_down(void)
{
    while (sent_count > 0) {
        cw__envelope__free_unpacked(sent[--sent_count], NULL);
    }
    cw_agent_free(agent);
    cw_control_state_free(routes);
}

static void apply(Cw__Command *command)
{
    ck_assert_int_eq(cw_control_state_apply(routes, command, 1, ++log_index), 0);
    cw_agent_routes_changed(agent, routes, now);
}

static void apply_configuration(void)
{
    Cw__ServerConfiguration   server = CW__SERVER_CONFIGURATION__INIT;
    Cw__ServerConfiguration  *servers[] = {&server};
    Cw__ServiceConfiguration  service = CW__SERVICE_CONFIGURATION__INIT;
    Cw__ServiceConfiguration *services[] = {&service};
    Cw__TenantConfiguration   tenant = CW__TENANT_CONFIGURATION__INIT;
    Cw__TenantConfiguration  *tenants[] = {&tenant};
    Cw__Command               command = CW__COMMAND__INIT;

    server.id = server_id;
    server.name = "one";
    server.address = "127.0.0.1";
    server.port = 9000;
    service.id = service_id;
    service.name = "s";
    service.n_servers = 1;
    service.servers = servers;
    tenant.name = "t";
    tenant.version = 1;
    tenant.n_services = 1;
    tenant.services = services;
    command.n_tenants = 1;
    command.tenants = tenants;
    apply(&command);
}

static void apply_forwarder(cw_node_id_t node, cw_incarnation_t incarnation)
{
    Cw__ServerInfo  server = CW__SERVER_INFO__INIT;
    Cw__ServerInfo *servers[] = {&server};
    Cw__Command     command = CW__COMMAND__INIT;

    server.server = server_id;
    server.service = service_id;
    server.forwarder = node;
    server.forwarder_incarnation = incarnation;
    command.n_servers = 1;
    command.servers = servers;
    apply(&command);
}

/* Answers the call made last of a kind; the server's clock runs beside this node's. */
static void answer(cw_server_call_kind_t kind, int error, cw_incarnation_t incarnation, int64_t lease_end_us,
                   const cw_range_id_t *accepted, size_t accepted_count)
{
    cw_server_completion_t completion = {.error = error, .incarnation = incarnation, .lease_end_us = lease_end_us};
    size_t                 position = call_count;

    while (position > 0 && calls[position - 1].kind != kind) {
        position--;
    }
    ck_assert_uint_gt(position, 0);
    completion.id = calls[position - 1].id;
    completion.clock_us = now.monotonic_us + server_clock_offset;
    completion.accepted = accepted;
    completion.accepted_count = accepted_count;
    cw_agent_server_completed(agent, &completion, now);
}

static int64_t server_clock(void)
{
    return now.monotonic_us + server_clock_offset;
}

static void tick_after(int64_t time_us)
{
    now.monotonic_us += time_us;
    cw_agent_tick(agent, now);
}

static const Cw__Envelope *last_sent(Cw__Envelope__BodyCase kind)
{
    size_t position = sent_count;

    while (position > 0 && sent[position - 1]->body_case != kind) {
        position--;
    }
    ck_assert_uint_gt(position, 0);
    return sent[position - 1];
}

static size_t count_sent(Cw__Envelope__BodyCase kind)
{
    size_t count = 0;
    size_t i;

    for (i = 0; i < sent_count; i++) {
        count += sent[i]->body_case == kind;
    }
    return count;
}

static void reply(bool accepted, cw_node_id_t leader, int64_t lease_end_us)
{
    Cw__Envelope       envelope = CW__ENVELOPE__INIT;
    Cw__HeartbeatReply message = CW__HEARTBEAT_REPLY__INIT;
    Cw__NodeInfo       node = CW__NODE_INFO__INIT;
    Cw__LeaseRenewal   renewal = CW__LEASE_RENEWAL__INIT;
    Cw__LeaseRenewal  *renewals[] = {&renewal};

    node.id = leader;
    renewal.server = server_id;
    renewal.incarnation = SERVER_INCARNATION;
    renewal.lease_end_us = lease_end_us;
    message.sequence = last_sent(CW__ENVELOPE__BODY_HEARTBEAT)->heartbeat->sequence;
    message.accepted = accepted;
    message.leader = &node;
    message.n_renewals = accepted;
    message.renewals = renewals;
    envelope.from = last_sent(CW__ENVELOPE__BODY_HEARTBEAT)->to;
    envelope.body_case = CW__ENVELOPE__BODY_HEARTBEAT_REPLY;
    envelope.heartbeat_reply = &message;
    cw_agent_receive(agent, &envelope, now);
}

static void order(bool grant, cw_range_id_t range, uint64_t fence_index)
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
    grant_order.server = revoke_order.server = server_id;
    grant_order.incarnation = revoke_order.incarnation = SERVER_INCARNATION;
    grant_order.lease_end_us = server_clock() + LEASE_US;
    grant_order.n_grants = revoke_order.n_grants = 1;
    grant_order.grants = revoke_order.grants = grants;
    revoke_order.drain_ms = drain_ms;
    envelope.from = LEADER;
    envelope.body_case = grant ? CW__ENVELOPE__BODY_GRANT_ORDER : CW__ENVELOPE__BODY_REVOKE_ORDER;
    if (grant) {
        envelope.grant_order = &grant_order;
    } else {
        envelope.revoke_order = &revoke_order;
    }
    cw_agent_receive(agent, &envelope, now);
}

static cw_range_readiness_t readiness(cw_range_id_t range, uint64_t fence_index)
{
    return cw_agent_readiness(agent, range, (cw_fence_t){1, fence_index});
}

/* This node forwards to the server, which was read once. */
static void begin_forwarding(void)
{
    apply_configuration();
    apply_forwarder(NODE, INCARNATION);
    answer(CW_SERVER_READ_STATE, 0, SERVER_INCARNATION, 0, NULL, 0);
}

/* Grants a range and lets the server accept it. */
static void grant_accepted(cw_range_id_t range, uint64_t fence_index)
{
    order(true, range, fence_index);
    answer(CW_SERVER_GRANT, 0, SERVER_INCARNATION, server_clock() + LEASE_US, &range, 1);
}

START_TEST(reads_then_renews_once_an_interval)
{
    apply_configuration();
    apply_forwarder(NODE, INCARNATION);
    ck_assert_uint_eq(call_count, 1);
    ck_assert_int_eq(calls[0].kind, CW_SERVER_READ_STATE);
    answer(CW_SERVER_READ_STATE, 0, SERVER_INCARNATION, 0, NULL, 0);
    tick_after(0);
    ck_assert_uint_eq(last_sent(CW__ENVELOPE__BODY_HEARTBEAT)->heartbeat->n_servers, 1);
    ck_assert_int_eq(last_sent(CW__ENVELOPE__BODY_HEARTBEAT)->heartbeat->servers[0]->clock_us, server_clock());
    reply(true, LEADER, server_clock() + LEASE_US);
    reply(true, LEADER, server_clock() + LEASE_US);
    ck_assert_uint_eq(call_count, 2);
    ck_assert_int_eq(calls[1].kind, CW_SERVER_RENEW_LEASE);
    ck_assert_int_eq(calls[1].lease_end_us, server_clock() + LEASE_US);
    tick_after(HEARTBEAT_US);
    reply(true, LEADER, server_clock() + LEASE_US);
    ck_assert_uint_eq(call_count, 2); /* one renewal call at a time; the later one waits for it */
    answer(CW_SERVER_RENEW_LEASE, 0, SERVER_INCARNATION, server_clock() + LEASE_US - HEARTBEAT_US, NULL, 0);
    ck_assert_uint_eq(call_count, 3);
    answer(CW_SERVER_RENEW_LEASE, 0, SERVER_INCARNATION, server_clock() + LEASE_US, NULL, 0);
    tick_after(HEARTBEAT_US);
    ck_assert_uint_eq(call_count, 3);
}
END_TEST

START_TEST(lost_reply_costs_one_interval)
{
    size_t before;

    begin_forwarding();
    tick_after(0);
    reply(true, LEADER, server_clock() + LEASE_US);
    now.monotonic_us += 1000;
    answer(CW_SERVER_RENEW_LEASE, 0, SERVER_INCARNATION, server_clock() + LEASE_US, NULL, 0);
    tick_after(HEARTBEAT_US); /* no reply to this one */
    ck_assert_uint_eq(call_count, 2);
    tick_after(HEARTBEAT_US);
    ck_assert_uint_eq(call_count, 3);
    ck_assert_int_eq(calls[2].kind, CW_SERVER_READ_STATE);
    now.monotonic_us += 1000;
    answer(CW_SERVER_READ_STATE, 0, SERVER_INCARNATION, server_clock() + LEASE_US - HEARTBEAT_US, NULL, 0);
    tick_after(0);
    ck_assert_int_eq(last_sent(CW__ENVELOPE__BODY_HEARTBEAT)->heartbeat->servers[0]->clock_us, server_clock());
    before = sent_count;
    cw_agent_set_state(agent, CW__NODE_STATE__NODE_LEAVING);
    tick_after(HEARTBEAT_US / 2); /* an early heartbeat, but the server was read lately */
    ck_assert_uint_eq(sent_count, before + 1);
    ck_assert_uint_eq(call_count, 3);
}
END_TEST

START_TEST(lease_counts_from_before_the_reading)
{
    int64_t lease_end_us;

    begin_forwarding();
    order(true, 40, 7);
    lease_end_us = server_clock() + LEASE_US;
    now.monotonic_us += 200000;
    answer(CW_SERVER_GRANT, 0, SERVER_INCARNATION, lease_end_us, (cw_range_id_t[]){40}, 1);
    ck_assert_int_le(cw_agent_lease_left_us(agent, server_id, now), lease_end_us - server_clock() - 200000);
    ck_assert_int_gt(cw_agent_lease_left_us(agent, server_id, now), lease_end_us - server_clock() - 210000);
    ck_assert_int_eq(cw_agent_lease_left_us(agent, server_id + 1, now), 0);
}
END_TEST

START_TEST(ready_under_exactly_the_accepted_fence_while_lease_lives)
{
    const Cw__GrantReport *report;

    begin_forwarding();
    order(true, 40, 7);
    ck_assert_int_eq(readiness(40, 7), CW_RANGE_PENDING);
    order(true, 40, 7);
    ck_assert_uint_eq(call_count, 2);
    answer(CW_SERVER_GRANT, 0, SERVER_INCARNATION, server_clock() + LEASE_US, (cw_range_id_t[]){40}, 1);
    ck_assert_int_eq(readiness(40, 7), CW_RANGE_READY);
    ck_assert_int_eq(readiness(40, 6), CW_RANGE_NOT_MINE);
    ck_assert_int_eq(readiness(40, 8), CW_RANGE_NOT_MINE);
    order(true, 40, 7); /* the report was lost: told again without a call */
    ck_assert_uint_eq(call_count, 2);
    ck_assert_uint_eq(count_sent(CW__ENVELOPE__BODY_GRANT_REPORT), 2);
    report = last_sent(CW__ENVELOPE__BODY_GRANT_REPORT)->grant_report;
    ck_assert_uint_eq(report->accepted[0], 40);
    ck_assert_uint_eq(report->accepted_fences[0]->index, 7);
    tick_after(LEASE_US);
    ck_assert_int_eq(readiness(40, 7), CW_RANGE_PENDING);
}
END_TEST

START_TEST(revoke_stops_at_once_and_delayed_grant_does_not_revive)
{
    begin_forwarding();
    grant_accepted(40, 7);
    order(false, 40, 6); /* of an older fence */
    ck_assert_int_eq(readiness(40, 7), CW_RANGE_READY);
    order(false, 40, 7);
    ck_assert_int_eq(readiness(40, 7), CW_RANGE_REVOKED);
    order(true, 40, 7);
    ck_assert_int_eq(readiness(40, 7), CW_RANGE_REVOKED);
    ck_assert_uint_eq(count_sent(CW__ENVELOPE__BODY_REVOKE_REPORT), 0);
    answer(CW_SERVER_REVOKE, 0, SERVER_INCARNATION, server_clock() + LEASE_US, (cw_range_id_t[]){40}, 1);
    ck_assert_uint_eq(last_sent(CW__ENVELOPE__BODY_REVOKE_REPORT)->revoke_report->fences[0]->index, 7);
    order(false, 40, 7);
    ck_assert_uint_eq(count_sent(CW__ENVELOPE__BODY_REVOKE_REPORT), 2);
    ck_assert_int_eq(calls[call_count - 1].kind, CW_SERVER_REVOKE);
    grant_accepted(40, 9);
    ck_assert_int_eq(readiness(40, 9), CW_RANGE_READY);
}
END_TEST

/* Any number may stand in a message. */
START_TEST(drain_time_of_an_order_is_bounded)
{
    static const int64_t wild_ms[] = {INT64_MAX, INT64_MAX / CW_US_PER_MS, INT64_MIN};

    begin_forwarding();
    grant_accepted(40, 7);
    drain_ms = wild_ms[_i];
    order(false, 40, 7);
    drain_ms = 0;
    ck_assert_int_eq(calls[call_count - 1].kind, CW_SERVER_REVOKE);
    ck_assert_int_gt(calls[call_count - 1].timeout_us, 0);
    ck_assert_int_le(calls[call_count - 1].timeout_us, INT64_C(3600) * CW_US_PER_S);
}
END_TEST

START_TEST(revoke_call_waits_for_grant_call)
{
    begin_forwarding();
    order(true, 40, 7);
    order(false, 40, 7);
    ck_assert_int_eq(calls[call_count - 1].kind, CW_SERVER_GRANT);
    answer(CW_SERVER_GRANT, 0, SERVER_INCARNATION, server_clock() + LEASE_US, (cw_range_id_t[]){40}, 1);
    ck_assert_int_eq(readiness(40, 7), CW_RANGE_REVOKED);
    order(false, 40, 7);
    ck_assert_int_eq(calls[call_count - 1].kind, CW_SERVER_REVOKE);
}
END_TEST

START_TEST(restarted_server_holds_nothing)
{
    begin_forwarding();
    grant_accepted(40, 7);
    tick_after(HEARTBEAT_US);
    tick_after(HEARTBEAT_US);
    server_clock_offset = -now.monotonic_us + 5000;
    answer(CW_SERVER_READ_STATE, 0, NEXT_SERVER_INCARNATION, 0, NULL, 0);
    ck_assert_int_eq(readiness(40, 7), CW_RANGE_PENDING);
    ck_assert_int_le(cw_agent_lease_left_us(agent, server_id, now), 0);
    order(true, 40, 8); /* meant for the former life */
    ck_assert_int_ne(calls[call_count - 1].kind, CW_SERVER_GRANT);
    answer(CW_SERVER_READ_STATE, 0, NEXT_SERVER_INCARNATION, server_clock() + LEASE_US, NULL, 0);
    ck_assert_int_gt(cw_agent_lease_left_us(agent, server_id, now), 0);
    ck_assert_int_eq(readiness(40, 7), CW_RANGE_PENDING);
    tick_after(HEARTBEAT_US / 2);
    ck_assert_uint_eq(last_sent(CW__ENVELOPE__BODY_HEARTBEAT)->heartbeat->servers[0]->incarnation,
                      NEXT_SERVER_INCARNATION);
}
END_TEST

START_TEST(grant_taken_by_another_incarnation_does_not_count)
{
    begin_forwarding();
    order(true, 40, 7);
    now.monotonic_us += 1000;
    answer(CW_SERVER_GRANT, 0, NEXT_SERVER_INCARNATION, server_clock() + LEASE_US, (cw_range_id_t[]){40}, 1);
    ck_assert_int_eq(readiness(40, 7), CW_RANGE_PENDING);
    ck_assert_uint_eq(count_sent(CW__ENVELOPE__BODY_GRANT_REPORT), 0);
}
END_TEST

START_TEST(lapsed_lease_drops_ranges_for_good)
{
    begin_forwarding();
    grant_accepted(40, 7);
    tick_after(HEARTBEAT_US);
    tick_after(HEARTBEAT_US);
    answer(CW_SERVER_READ_STATE, 0, SERVER_INCARNATION, server_clock(), NULL, 0);
    ck_assert_int_eq(readiness(40, 7), CW_RANGE_PENDING);
    tick_after(HEARTBEAT_US);
    tick_after(HEARTBEAT_US);
    answer(CW_SERVER_READ_STATE, 0, SERVER_INCARNATION, server_clock() + LEASE_US, NULL, 0);
    ck_assert_int_gt(cw_agent_lease_left_us(agent, server_id, now), 0);
    ck_assert_int_eq(readiness(40, 7), CW_RANGE_PENDING); /* a new lease does not bring the old grant back */
    grant_accepted(41, 9);
    ck_assert_int_eq(readiness(41, 9), CW_RANGE_READY);
    ck_assert_int_eq(readiness(40, 7), CW_RANGE_PENDING);
}
END_TEST

START_TEST(grant_behind_an_unseen_lapse_drops_earlier_ranges)
{
    const Cw__GrantReport *report;

    begin_forwarding();
    grant_accepted(40, 7);
    now.monotonic_us += LEASE_US;
    grant_accepted(41, 9);
    ck_assert_int_eq(readiness(41, 9), CW_RANGE_READY);
    ck_assert_int_eq(readiness(40, 7), CW_RANGE_PENDING);
    report = last_sent(CW__ENVELOPE__BODY_GRANT_REPORT)->grant_report;
    ck_assert_uint_eq(report->n_refused, 1);
    ck_assert_uint_eq(report->refused[0], 40);
}
END_TEST

START_TEST(server_that_moves_away_is_forgotten)
{
    begin_forwarding();
    order(true, 40, 7);
    apply_forwarder(OTHER_NODE, INCARNATION);
    ck_assert_int_eq(readiness(40, 7), CW_RANGE_NOT_MINE);
    answer(CW_SERVER_GRANT, 0, SERVER_INCARNATION, server_clock() + LEASE_US, (cw_range_id_t[]){40}, 1);
    ck_assert_int_eq(readiness(40, 7), CW_RANGE_NOT_MINE);
    ck_assert_uint_eq(count_sent(CW__ENVELOPE__BODY_GRANT_REPORT), 0);
    apply_forwarder(NODE, INCARNATION + 1); /* this node's former life */
    ck_assert_int_eq(cw_agent_lease_left_us(agent, server_id, now), 0);
    ck_assert_uint_eq(call_count, 2);
}
END_TEST

START_TEST(late_completion_of_a_given_up_call_is_ignored)
{
    begin_forwarding();
    order(true, 40, 7);
    tick_after(10 * HEARTBEAT_US);
    answer(CW_SERVER_GRANT, 0, SERVER_INCARNATION, server_clock() + LEASE_US, (cw_range_id_t[]){40}, 1);
    ck_assert_int_eq(readiness(40, 7), CW_RANGE_PENDING);
    tick_after(HEARTBEAT_US);
    ck_assert(!last_sent(CW__ENVELOPE__BODY_HEARTBEAT)->heartbeat->servers[0]->reachable);
}
END_TEST

START_TEST(order_ahead_of_the_routes_is_obeyed_later)
{
    cw_range_id_t range;

    apply_configuration();
    for (range = 1; range <= 200; range++) { /* bounded: only the last ones are kept */
        order(true, range, 7);
        order(true, range, 7);
    }
    ck_assert_uint_eq(call_count, 0);
    apply_forwarder(NODE, INCARNATION);
    ck_assert_uint_eq(call_count, 1 + 64);
    answer(CW_SERVER_GRANT, 0, SERVER_INCARNATION, server_clock() + LEASE_US, (cw_range_id_t[]){200}, 1);
    ck_assert_int_eq(readiness(200, 7), CW_RANGE_READY);
    ck_assert_int_eq(readiness(1, 7), CW_RANGE_NOT_MINE);
}
END_TEST

START_TEST(routed_range_without_order_is_pending)
{
    Cw__RangeInfo  range = CW__RANGE_INFO__INIT;
    Cw__RangeInfo *ranges[] = {&range};
    Cw__Command    command = CW__COMMAND__INIT;

    begin_forwarding();
    range.service = service_id;
    range.server = server_id;
    range.last = UINT64_MAX;
    range.tenant = "t";
    range.state = CW__RANGE_STATE__RANGE_GRANTED;
    command.n_ranges = 1;
    command.ranges = ranges;
    apply(&command);
    ck_assert_int_eq(readiness(log_index << 16, log_index), CW_RANGE_PENDING);
    ck_assert_int_eq(readiness(log_index << 16, log_index + 1), CW_RANGE_NOT_MINE);
}
END_TEST

START_TEST(unreachable_server_is_told_soon)
{
    size_t before;

    begin_forwarding();
    tick_after(HEARTBEAT_US);
    reply(true, LEADER, server_clock() + LEASE_US);
    before = sent_count;
    answer(CW_SERVER_RENEW_LEASE, CW_ERROR_TIMEOUT, 0, 0, NULL, 0);
    ck_assert_int_le(cw_agent_next_tick(agent), now.monotonic_us);
    tick_after(0);
    ck_assert_uint_eq(sent_count, before + 1);
    ck_assert(!last_sent(CW__ENVELOPE__BODY_HEARTBEAT)->heartbeat->servers[0]->reachable);
    answer(CW_SERVER_RENEW_LEASE, 0, SERVER_INCARNATION, server_clock() + LEASE_US, NULL, 0); /* late */
    tick_after(HEARTBEAT_US);
    ck_assert(!last_sent(CW__ENVELOPE__BODY_HEARTBEAT)->heartbeat->servers[0]->reachable);
}
END_TEST

START_TEST(heartbeat_goes_to_a_new_leader_at_once)
{
    size_t i;

    tick_after(0);
    tick_after(HEARTBEAT_US / 3);
    ck_assert_uint_eq(sent_count, 1);
    cw_agent_set_leader(agent, 2);
    tick_after(0);
    ck_assert_uint_eq(sent_count, 2);
    ck_assert_uint_eq(sent[1]->to, 2);
    tick_after(HEARTBEAT_US);
    reply(false, 3, 0);
    tick_after(0);
    ck_assert_uint_eq(last_sent(CW__ENVELOPE__BODY_HEARTBEAT)->to, 3);
    cw_agent_set_leader(agent, 2); /* told before, not news */
    tick_after(HEARTBEAT_US);
    ck_assert_uint_eq(last_sent(CW__ENVELOPE__BODY_HEARTBEAT)->to, 3);
    cw_agent_set_leader(agent, 0); /* the teller lost it, but a reply had named a newer one */
    tick_after(HEARTBEAT_US);
    ck_assert_uint_eq(last_sent(CW__ENVELOPE__BODY_HEARTBEAT)->to, 3);
    for (i = 0; i < 900; i++) { /* two nodes that name each other for 0.9 s: at most twice an interval */
        reply(false, last_sent(CW__ENVELOPE__BODY_HEARTBEAT)->to == 2 ? 3 : 2, 0);
        tick_after(1000);
    }
    ck_assert_uint_le(sent_count, 6 + 7);
    ck_assert_uint_ge(sent_count, 6 + 6);
}
END_TEST

START_TEST(load_is_told_sparsely)
{
    Cw__RangeLoad load = CW__RANGE_LOAD__INIT;
    size_t        told = 0;
    int           beat;

    load.range = 40;
    for (beat = 0; beat < 32; beat++) { /* 9.6 s */
        load.requests_per_second = beat < 4 ? 100 + beat : 150;
        cw_agent_report_load(agent, &load);
        tick_after(HEARTBEAT_US);
        told += last_sent(CW__ENVELOPE__BODY_HEARTBEAT)->heartbeat->n_loads;
    }
    ck_assert_uint_eq(told, 3); /* the first, the change, once more after 5 s */
}
END_TEST

START_TEST(heartbeats_stay_in_the_budget)
{
    Cw__KeyLoad   key = CW__KEY_LOAD__INIT;
    Cw__KeyLoad  *keys[] = {&key, &key, &key, &key, &key};
    Cw__RangeLoad load = CW__RANGE_LOAD__INIT;
    int           beat;

    begin_forwarding();
    key.key_hash = UINT64_MAX;
    key.requests_per_second = 1.5;
    load.n_hot_keys = 5;
    load.hot_keys = keys;
    tick_after(HEARTBEAT_US);
    sent_bytes = 0;
    for (beat = 0; beat < 10; beat++) { /* 3 s */
        for (load.range = 1; load.range <= 100; load.range++) {
            load.requests_per_second = 10 + beat * 10;
            cw_agent_report_load(agent, &load);
        }
        tick_after(HEARTBEAT_US);
    }
    ck_assert_uint_lt(sent_bytes / 3, 2000);
}
END_TEST

int main(void)
{
    Suite   *suite = suite_create("agent");
    TCase   *tests = tcase_create("agent");
    SRunner *runner = srunner_create(suite);
    int      failed;

    tcase_add_checked_fixture(tests, set_up, tear_down);
    tcase_add_test(tests, reads_then_renews_once_an_interval);
    tcase_add_test(tests, lost_reply_costs_one_interval);
    tcase_add_test(tests, lease_counts_from_before_the_reading);
    tcase_add_test(tests, ready_under_exactly_the_accepted_fence_while_lease_lives);
    tcase_add_test(tests, revoke_stops_at_once_and_delayed_grant_does_not_revive);
    tcase_add_loop_test(tests, drain_time_of_an_order_is_bounded, 0, 3);
    tcase_add_test(tests, revoke_call_waits_for_grant_call);
    tcase_add_test(tests, restarted_server_holds_nothing);
    tcase_add_test(tests, grant_taken_by_another_incarnation_does_not_count);
    tcase_add_test(tests, lapsed_lease_drops_ranges_for_good);
    tcase_add_test(tests, grant_behind_an_unseen_lapse_drops_earlier_ranges);
    tcase_add_test(tests, server_that_moves_away_is_forgotten);
    tcase_add_test(tests, late_completion_of_a_given_up_call_is_ignored);
    tcase_add_test(tests, order_ahead_of_the_routes_is_obeyed_later);
    tcase_add_test(tests, routed_range_without_order_is_pending);
    tcase_add_test(tests, unreachable_server_is_told_soon);
    tcase_add_test(tests, heartbeat_goes_to_a_new_leader_at_once);
    tcase_add_test(tests, load_is_told_sparsely);
    tcase_add_test(tests, heartbeats_stay_in_the_budget);
    suite_add_tcase(suite, tests);
    srunner_run_all(runner, CK_NORMAL);
    failed = srunner_ntests_failed(runner);
    srunner_free(runner);
    return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
