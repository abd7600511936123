/**
 * @file gateway_fixture.c
 * @brief Gateway on recording ports.
 */
#include "gateway_fixture.h"

#include <check.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "cedarwinch/intent.h"
#include "cedarwinch/token_digest.h"

enum { GENERATION = 1, TERM = 1, OUT_OF_TOUCH_US = 2 * CW_US_PER_S, KEY_ROOM = 24, TENANTS = 2 };

static const char *const tenant_names[TENANTS] = {"alpha", "beta"};
static const char *const tenant_tokens[TENANTS] = {FIXTURE_TOKEN_ALPHA, FIXTURE_TOKEN_BETA};

static void keep_last(cw_gateway_fixture_t *fixture, const Cw__ForwardRequest *request)
{
    if (fixture->last_request != NULL) {
        cw__forward_request__free_unpacked(fixture->last_request, NULL);
    }
    fixture->last_request = request == NULL ? NULL : (Cw__ForwardRequest *)cw_message_copy(&request->base);
}

static void record_send(void *context, cw_node_id_t to, Cw__Envelope *envelope)
{
    cw_gateway_fixture_t *fixture = context;
    cw_fixture_hop_t     *hop = &fixture->hops[fixture->hop_count];

    fixture->subscribe_count += envelope->body_case == CW__ENVELOPE__BODY_ROUTE_SUBSCRIBE;
    if (envelope->body_case == CW__ENVELOPE__BODY_FORWARD_CANCEL) {
        fixture->cancel_count++;
        fixture->last_cancel = envelope->forward_cancel->id;
    }
    if (envelope->body_case == CW__ENVELOPE__BODY_FORWARD_REQUEST) {
        ck_assert_uint_lt(fixture->hop_count, FIXTURE_RECORDS);
        fixture->hop_count++;
        hop->id = envelope->forward_request->id;
        hop->caller_id = strtoull(envelope->forward_request->key, NULL, 10);
        hop->to = to;
        hop->fence = cw_fence_from_message(envelope->forward_request->fence);
        hop->timeout_us = envelope->forward_request->timeout_us;
        hop->repeatable = envelope->forward_request->repeatable;
        hop->gateway_incarnation = envelope->forward_request->gateway_incarnation;
        keep_last(fixture, envelope->forward_request);
        memcpy(hop->request_id, envelope->forward_request->request_id.data, CW_REQUEST_ID_BYTES);
    }
}

static void record_respond(void *context, uint64_t caller_id, const Cw__ForwardResponse *response)
{
    cw_gateway_fixture_t *fixture = context;
    cw_fixture_answer_t  *answer = &fixture->answers[caller_id];

    answer->count++;
    answer->outcome = response->outcome;
    answer->status = response->status;
    answer->reason = cw_reason_from_text(response->reason);
    answer->retry_after_ms = response->retry_after_ms;
    answer->has_id = response->request_id.len == CW_REQUEST_ID_BYTES;
    if (answer->has_id) {
        memcpy(answer->request_id, response->request_id.data, CW_REQUEST_ID_BYTES);
    }
    if (response->body.len == sizeof(answer->body)) {
        memcpy(&answer->body, response->body.data, sizeof(answer->body));
    }
}

static void ignore_node(void *context, const Cw__NodeInfo *node)
{
    (void)context;
    (void)node;
}

static void publish(cw_gateway_fixture_t *fixture)
{
    cw_relay_set_source(fixture->relay, fixture->state, GENERATION, TERM, ++fixture->beat, NULL, fixture->now);
}

/* Adds a tenant with its service and one range that covers all keys. */
static void add_tenant(cw_gateway_fixture_t *fixture, size_t position)
{
    Cw__Command               command = CW__COMMAND__INIT;
    Cw__TenantConfiguration   tenant = CW__TENANT_CONFIGURATION__INIT;
    Cw__ServiceConfiguration  service = CW__SERVICE_CONFIGURATION__INIT;
    Cw__ServerConfiguration   server = CW__SERVER_CONFIGURATION__INIT;
    Cw__NonRepeatableRule     rule = CW__NON_REPEATABLE_RULE__INIT;
    Cw__RangeInfo             range = CW__RANGE_INFO__INIT;
    Cw__TenantConfiguration  *tenants[] = {&tenant};
    Cw__ServiceConfiguration *services[] = {&service};
    Cw__ServerConfiguration  *servers[] = {&server};
    Cw__NonRepeatableRule    *rules[] = {&rule};
    Cw__RangeInfo            *ranges[] = {&range};
    uint8_t                   digest[CW_TOKEN_DIGEST_BYTES];
    ProtobufCBinaryData       token = {sizeof(digest), digest};

    cw_token_digest(tenant_tokens[position], digest);
    server.id = cw_hash_server(tenant_names[position], "svc", "s");
    server.name = (char *)"s";
    rule.method = (char *)"POST";
    rule.path_prefix = (char *)"/unlock";
    service.id = cw_hash_service(tenant_names[position], "svc");
    service.name = (char *)"svc";
    service.n_servers = service.n_non_repeatable = 1;
    service.servers = servers;
    service.non_repeatable = rules;
    service.default_timeout_ms = FIXTURE_TIMEOUT_US / CW_US_PER_MS;
    tenant.name = (char *)tenant_names[position];
    tenant.version = fixture->index + 1;
    tenant.limits = position == 0 ? &fixture->limits : NULL;
    tenant.n_caller_token_sha256 = tenant.n_services = 1;
    tenant.caller_token_sha256 = &token;
    tenant.services = services;
    range.service = service.id;
    range.last = UINT64_MAX;
    range.server = server.id;
    range.state = CW__RANGE_STATE__RANGE_GRANTED;
    range.tenant = tenant.name;
    command.n_tenants = command.n_ranges = 1;
    command.tenants = tenants;
    command.ranges = ranges;
    ck_assert_int_eq(cw_control_state_apply(fixture->state, &command, GENERATION, ++fixture->index), 0);
}

static void route_tenant(cw_gateway_fixture_t *fixture, const char *tenant, Cw__RangeState state,
                         cw_node_id_t forwarder, cw_incarnation_t incarnation)
{
    Cw__Command     command = CW__COMMAND__INIT;
    cw_service_id_t service = cw_hash_service(tenant, "svc");
    Cw__RangeInfo   range = *cw_control_state_find_range(fixture->state, service, 0);
    Cw__ServerInfo  server = CW__SERVER_INFO__INIT;
    Cw__RangeInfo  *ranges[] = {&range};
    Cw__ServerInfo *servers[] = {&server};

    range.state = state;
    server.server = range.server;
    server.service = service;
    server.forwarder = forwarder;
    server.forwarder_incarnation = incarnation;
    command.n_ranges = command.n_servers = 1;
    command.ranges = ranges;
    command.servers = servers;
    ck_assert_int_eq(cw_control_state_apply(fixture->state, &command, GENERATION, ++fixture->index), 0);
}

void cw_fixture_route(cw_gateway_fixture_t *fixture, Cw__RangeState state, cw_node_id_t forwarder,
                      cw_incarnation_t incarnation)
{
    size_t position;

    for (position = 0; position < TENANTS; position++) {
        route_tenant(fixture, tenant_names[position], state, forwarder, incarnation);
    }
    publish(fixture);
}

void cw_fixture_limit(cw_gateway_fixture_t *fixture)
{
    Cw__Command                    command = CW__COMMAND__INIT;
    const Cw__TenantConfiguration *present = cw_control_state_tenant(fixture->state, tenant_names[0]);
    Cw__TenantConfiguration        tenant = *present;
    Cw__TenantConfiguration       *tenants[] = {&tenant};

    tenant.version++;
    tenant.limits = &fixture->limits;
    command.n_tenants = 1;
    command.tenants = tenants;
    ck_assert_int_eq(cw_control_state_apply(fixture->state, &command, GENERATION, ++fixture->index), 0);
    publish(fixture);
}

void cw_fixture_follow(cw_gateway_fixture_t *fixture, cw_node_id_t leader)
{
    Cw__Envelope    envelope = CW__ENVELOPE__INIT;
    Cw__RouteUpdate update = CW__ROUTE_UPDATE__INIT;
    Cw__NodeInfo    node = CW__NODE_INFO__INIT;

    node.id = envelope.from = leader;
    node.incarnation = envelope.from_incarnation = leader;
    node.state = CW__NODE_STATE__NODE_UP;
    update.generation = GENERATION;
    update.term = TERM + 1;
    update.beat = ++fixture->beat;
    update.base_version = update.version = fixture->index;
    update.leader = &node;
    envelope.body_case = CW__ENVELOPE__BODY_ROUTE_UPDATE;
    envelope.route_update = &update;
    cw_relay_set_source(fixture->relay, NULL, GENERATION, TERM, fixture->beat, NULL, fixture->now);
    cw_relay_receive(fixture->relay, &envelope, fixture->now);
}

cw_gateway_fixture_t *cw_fixture_create(uint32_t request_limit, uint32_t retry_budget_percent)
{
    cw_gateway_fixture_t *fixture = calloc(1, sizeof(*fixture));
    Cw__NodeInfo          self = CW__NODE_INFO__INIT;
    cw_relay_options_t    relay = {.self = &self, .interval_us = 100000, .out_of_touch_us = OUT_OF_TOUCH_US};
    cw_gateway_options_t  options = {.node = 1,
                                     .incarnation = FIXTURE_GATEWAY_INCARNATION,
                                     .seed = 3,
                                     .retry_budget_percent = retry_budget_percent,
                                     .request_limit = request_limit};

    self.id = 1;
    self.incarnation = FIXTURE_GATEWAY_INCARNATION;
    self.state = CW__NODE_STATE__NODE_UP;
    cw__tenant_limits__init(&fixture->limits);
    fixture->ports.context = fixture;
    fixture->ports.send = record_send;
    fixture->ports.respond = record_respond;
    fixture->ports.learn_node = ignore_node;
    fixture->now = (cw_instant_t){CW_US_PER_S, INT64_C(1790000000000)};
    fixture->state = cw_control_state_create();
    ck_assert_int_eq(cw_relay_create(&fixture->relay, &relay, &fixture->ports, fixture->now), 0);
    ck_assert_int_eq(cw_gateway_create(&fixture->gateway, &options, &fixture->ports, fixture->relay), 0);
    add_tenant(fixture, 0);
    add_tenant(fixture, 1);
    cw_fixture_route(fixture, CW__RANGE_STATE__RANGE_GRANTED, FIXTURE_NODE, FIXTURE_NODE_INCARNATION);
    return fixture;
}

void cw_fixture_free(cw_gateway_fixture_t *fixture)
{
    keep_last(fixture, NULL);
    cw_gateway_free(fixture->gateway);
    cw_relay_free(fixture->relay);
    cw_control_state_free(fixture->state);
    free(fixture);
}

void cw_fixture_advance(cw_gateway_fixture_t *fixture, int64_t microseconds)
{
    fixture->now.monotonic_us += microseconds;
    fixture->now.wall_ms += microseconds / CW_US_PER_MS;
    publish(fixture);
    cw_gateway_tick(fixture->gateway, fixture->now);
}

cw_caller_request_t cw_fixture_request(uint64_t caller_id, const char *method, const char *path)
{
    cw_caller_request_t request = {.caller_id = caller_id,
                                   .tenant = "alpha",
                                   .service = "svc",
                                   .method = method,
                                   .path = path,
                                   .token = FIXTURE_TOKEN_ALPHA};

    return request;
}

void cw_fixture_send(cw_gateway_fixture_t *fixture, const cw_caller_request_t *request)
{
    cw_caller_request_t copy = *request;
    char                key[KEY_ROOM];

    if (copy.key == NULL) {
        copy.key_length = (size_t)snprintf(key, sizeof(key), "%lu", request->caller_id);
        copy.key = key;
    }
    cw_gateway_request(fixture->gateway, &copy, fixture->now);
}

void cw_fixture_respond_as(cw_gateway_fixture_t *fixture, const cw_fixture_hop_t *hop, Cw__Outcome outcome,
                           cw_reason_t reason, cw_incarnation_t gateway_incarnation)
{
    Cw__Envelope        envelope = CW__ENVELOPE__INIT;
    Cw__ForwardResponse response = CW__FORWARD_RESPONSE__INIT;
    uint64_t            body = hop->caller_id;

    response.id = hop->id;
    response.gateway_incarnation = gateway_incarnation;
    response.outcome = outcome;
    response.status = cw_reason_status(reason);
    response.reason = (char *)cw_reason_text(reason);
    if (outcome == CW__OUTCOME__OUTCOME_ANSWERED) {
        response.body.data = (uint8_t *)&body;
        response.body.len = sizeof(body);
    }
    envelope.body_case = CW__ENVELOPE__BODY_FORWARD_RESPONSE;
    envelope.forward_response = &response;
    cw_gateway_receive(fixture->gateway, &envelope, fixture->now);
}

void cw_fixture_respond(cw_gateway_fixture_t *fixture, const cw_fixture_hop_t *hop, Cw__Outcome outcome,
                        cw_reason_t reason)
{
    cw_fixture_respond_as(fixture, hop, outcome, reason, hop->gateway_incarnation);
}

const cw_fixture_hop_t *cw_fixture_last_hop(const cw_gateway_fixture_t *fixture)
{
    ck_assert_uint_gt(fixture->hop_count, 0);
    return &fixture->hops[fixture->hop_count - 1];
}
