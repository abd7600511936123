/**
 * @file test_router_quota.c
 * @brief Tenants' limits at a whole node: which nodes may count, and messages from nodes with another version of the
 * configuration.
 */
#include <arpa/inet.h>
#include <stdio.h>
#include <string.h>

#include "base/tenant_metrics.h"
#include "loop_fixture.h"
#include "node_fixture.h"
#include "router/router_quota.h"
#include "router/router_status.h"

enum {
    MANY_NODES = 1500,
    STARTED_MS = 4000, /* a process counts from this time after its start on */
    VERSION = 5,
    TENANT = 7,
    RECORD = 11,
    UNCOUNTED = 3
};

static node_fixture_t *create(void)
{
    node_fixture_t *node = node_fixture_create();

    node->router.configuration = node_fixture_configuration(VERSION, "s");
    node_fixture_tick(node, STARTED_MS);
    return node;
}

static void receive_many_nodes(node_fixture_t *node)
{
    char address[32];
    int  index;

    for (index = 0; index < MANY_NODES; index++) {
        snprintf(address, sizeof(address), "10.1.%d.%d", index / 200, index % 200 + 1);
        node_fixture_receive_report(node, address, "z2", 1);
    }
}

START_TEST(all_nodes_are_candidates_however_many)
{
    node_fixture_t *node = create();

    receive_many_nodes(node);
    node_fixture_tick(node, 100);
    cw_router_quota_tick(&node->router, cw_router_now(&node->router));
    ck_assert_uint_eq(node->router.quota->candidate_count, MANY_NODES + 1);
    node_fixture_free(node);
}
END_TEST

/* Under AddressSanitizer this also checks that no memory is accessed out of bounds. */
START_TEST(status_names_the_counting_node_among_many)
{
    node_fixture_t     *node = create();
    cw_configuration_t *configuration = cw_configuration_create(VERSION + 1);
    cw_tenant_t        *tenant = cw_configuration_add_tenant(configuration);
    json_t             *rows;
    const char         *counter;

    tenant->name = strdup("red");
    tenant->rate_per_s = 5;
    cw_configuration_seal(configuration);
    cw_configuration_release(node->router.configuration);
    node->router.configuration = configuration;
    receive_many_nodes(node);
    node_fixture_tick(node, 100);
    cw_router_quota_tick(&node->router, cw_router_now(&node->router));
    cw_tenant_metrics_reset();
    cw_tenant_metric_add(CW_TENANT_REQUESTS, "red", 1);
    rows = cw_router_status_tenants(&node->router);
    counter = json_string_value(json_object_get(json_array_get(rows, 0), "counted_by"));
    ck_assert_ptr_nonnull(counter);
    ck_assert_uint_gt(strlen(counter), 0);
    json_decref(rows);
    cw_tenant_metrics_reset();
    node_fixture_free(node);
}
END_TEST

/* The node asks itself. Returns the reply, which waits for the next iteration of the loop. */
static const cw_quota_message_t *reply_to_ask(node_fixture_t *node, uint64_t version)
{
    cw_router_quota_t *quota = node->router.quota;
    cw_quota_message_t message = {.kind = CW_QUOTA_ASK,
                                  .ask = {.version = version, .sequence = 1, .wanted = 3, .usage = {.tenant = TENANT}}};

    cw_router_quota_deliver(quota, cw_peer_link_own_address(node->router.link), &message);
    ck_assert_uint_ge(quota->self_message_count, 1);
    return &quota->self_messages[quota->self_message_count - 1];
}

START_TEST(ask_with_later_configuration_version_is_not_granted)
{
    node_fixture_t           *node = create();
    const cw_quota_message_t *reply = reply_to_ask(node, VERSION + 1);

    ck_assert_int_eq(reply->kind, CW_QUOTA_GRANT);
    ck_assert(reply->grant.is_unknown);
    ck_assert_uint_eq(reply->grant.tokens, 0);
    reply = reply_to_ask(node, VERSION);
    ck_assert(!reply->grant.is_unknown);
    ck_assert_uint_eq(reply->grant.tokens, 3);
    node_fixture_free(node);
}
END_TEST

START_TEST(reply_to_report_with_later_configuration_version_names_unknown_tenants)
{
    node_fixture_t           *node = create();
    cw_router_quota_t        *quota = node->router.quota;
    cw_quota_message_t        message = {.kind = CW_QUOTA_REPORT,
                                         .version = VERSION + 1,
                                         .sequence = 9,
                                         .count = 2,
                                         .usages = {{.tenant = TENANT}, {.tenant = TENANT + 1}}};
    const cw_quota_message_t *reply;

    cw_router_quota_deliver(quota, cw_peer_link_own_address(node->router.link), &message);
    reply = &quota->self_messages[quota->self_message_count - 1];
    ck_assert_int_eq(reply->kind, CW_QUOTA_STATUS);
    ck_assert_uint_eq(reply->unknown_count, 2);
    ck_assert_uint_eq(reply->unknown[1], TENANT + 1);
    node_fixture_free(node);
}
END_TEST

/* Guards against two nodes that count one tenant because a node that does not reach the first asks the second. */
START_TEST(node_that_would_ask_another_one_redirects_and_grants_nothing)
{
    node_fixture_t           *node = create();
    cw_router_quota_t        *quota = node->router.quota;
    cw_quota_message_t        message = {.kind = CW_QUOTA_ASK, .ask = {.version = VERSION, .sequence = 1, .wanted = 3}};
    const cw_quota_message_t *reply;

    node_fixture_receive_report(node, "10.1.0.1", "z1", 1);
    cw_peer_link_find(node->router.link, inet_addr("10.1.0.1"))->capability = UINT32_MAX;
    node_fixture_tick(node, 100);
    cw_router_quota_tick(&node->router, cw_router_now(&node->router));
    message.ask.usage.tenant = TENANT;
    cw_router_quota_deliver(quota, cw_peer_link_own_address(node->router.link), &message);
    ck_assert_uint_eq(quota->self_message_count, 1);
    reply = &quota->self_messages[0];
    ck_assert_int_eq(reply->kind, CW_QUOTA_STATUS);
    ck_assert_uint_eq(reply->redirected_count, 1);
    ck_assert_uint_eq(reply->redirected[0], message.ask.usage.tenant);
    ck_assert_uint_eq(reply->counters[0], inet_addr("10.1.0.1"));
    node_fixture_free(node);
}
END_TEST

static uint32_t tenant_counted_here(node_fixture_t *node)
{
    uint32_t own = cw_peer_link_own_address(node->router.link);
    uint32_t tenant;

    for (tenant = 1; tenant < 1000; tenant++) {
        if (cw_router_quota_counting_node(node->router.quota, tenant) == own) {
            return tenant;
        }
    }
    ck_abort_msg("this node counts no tenant");
    return 0;
}

/* Guards against refusals after a start: a node stopped counting for others, because two nodes that had just started
 * had replied to it a moment ago that they do not count. */
START_TEST(counting_node_goes_on_while_others_decline)
{
    node_fixture_t    *node = create();
    cw_router_quota_t *quota = node->router.quota;
    cw_quota_message_t message = {.kind = CW_QUOTA_ASK, .ask = {.version = VERSION, .sequence = 1, .wanted = 3}};
    cw_time_us_t       now;

    node_fixture_receive_report(node, "10.1.0.1", "z1", 1);
    node_fixture_receive_report(node, "10.1.0.2", "z1", 1);
    now = cw_router_now(&node->router);
    cw_router_quota_tick(&node->router, now);
    message.ask.usage.tenant = tenant_counted_here(node);
    cw_quota_share_declined(quota->share, inet_addr("10.1.0.1"), now);
    cw_quota_share_declined(quota->share, inet_addr("10.1.0.2"), now);
    ck_assert_uint_eq(cw_router_quota_counting_node(quota, message.ask.usage.tenant), 0);
    cw_router_quota_deliver(quota, cw_peer_link_own_address(node->router.link), &message);
    ck_assert_int_eq(quota->self_messages[quota->self_message_count - 1].kind, CW_QUOTA_GRANT);
    node_fixture_free(node);
}
END_TEST

/* Guards against a process that divides limits by an assumed number of nodes after it received the true one (finding
 * 1b02). */
START_TEST(announced_number_of_nodes_is_applied_at_once)
{
    node_fixture_t *node = node_fixture_create();

    node->router.settings.seed_count = 1;
    cw_fleet_size_init(&node->router.fleet_size, CW_SECONDS(10), cw_router_now(&node->router));
    cw_router_quota_tick(&node->router, cw_router_now(&node->router));
    ck_assert_uint_ge(node->router.quota->nodes, MANY_NODES);
    cw_router_record_nodes(&node->router, 81);
    ck_assert_uint_eq(node->router.quota->nodes, 81);
    cw_router_record_nodes(&node->router, 0);
    ck_assert_uint_eq(node->router.quota->nodes, 81);
    node_fixture_free(node);
}
END_TEST

#define LEADER "10.0.0.9"

/* A node that has just started, and has received a report of another node. */
static node_fixture_t *create_new_node(void)
{
    node_fixture_t *node = create();

    cw_fleet_size_init(&node->router.fleet_size, CW_SECONDS(10), cw_router_now(&node->router));
    node_fixture_receive_report(node, LEADER, "z1", 1);
    cw_router_quota_update_nodes(node->router.quota, cw_router_now(&node->router));
    return node;
}

static void receive_heartbeat(node_fixture_t *node, uint64_t term, bool has_authority, uint32_t nodes)
{
    Cwp__LeaderHeartbeat heartbeat = CWP__LEADER_HEARTBEAT__INIT;
    Cwp__NodeReport      report = CWP__NODE_REPORT__INIT;
    Cwp__Datagram        datagram = CWP__DATAGRAM__INIT;
    static uint32_t      sequence = 1;

    heartbeat.term = term;
    heartbeat.able = has_authority;
    heartbeat.nodes = nodes;
    report.node = LEADER;
    report.zone = "z1";
    report.incarnation = 5;
    report.sequence = ++sequence;
    report.leader = &heartbeat;
    datagram.content_case = CWP__DATAGRAM__CONTENT_REPORT;
    datagram.report = &report;
    node_fixture_receive(node, LEADER, &datagram);
}

/* Guards against tenants that get next to nothing in the first 3 s of a deployment (intents.sh). */
START_TEST(new_node_asks_the_first_leader_until_a_number_of_nodes_is_announced)
{
    node_fixture_t    *node = create_new_node();
    cw_router_quota_t *quota = node->router.quota;
    cw_time_us_t       now = cw_router_now(&node->router);

    cw_quota_share_declined(quota->share, inet_addr("10.1.0.1"), now);
    cw_quota_share_declined(quota->share, inet_addr("10.1.0.2"), now);
    ck_assert_uint_eq(cw_router_quota_counting_node(quota, TENANT), 0);
    receive_heartbeat(node, 1, true, 0);
    ck_assert_uint_eq(cw_router_quota_counting_node(quota, TENANT), inet_addr(LEADER));
    ck_assert_uint_eq(cw_router_quota_cached_counter(quota, TENANT), inet_addr(LEADER));
    ck_assert(cw_router_quota_declines(quota));
    receive_heartbeat(node, 1, true, 3);
    ck_assert_uint_eq(cw_router_quota_counting_node(quota, TENANT), 0); /* two nodes have declined a moment ago */
    node_fixture_free(node);
}
END_TEST

START_TEST(leader_that_may_not_count_is_not_asked)
{
    node_fixture_t    *node = create_new_node();
    cw_router_quota_t *quota = node->router.quota;

    receive_heartbeat(node, 1, true, 0);
    ck_assert_uint_eq(quota->interim_address, inet_addr(LEADER));
    receive_heartbeat(node, 1, false, 0);
    ck_assert_uint_eq(quota->interim_address, 0);
    receive_heartbeat(node, 1, true, 0);
    ck_assert_uint_eq(quota->interim_address, inet_addr(LEADER));
    receive_heartbeat(node, 2, true, 0);
    ck_assert_uint_eq(quota->interim_address, 0);
    node_fixture_free(node);
}
END_TEST

/* The node asks itself. Returns the number of grants that it gets. */
static uint32_t grants_to_ask(node_fixture_t *node)
{
    cw_router_quota_t *quota = node->router.quota;
    cw_quota_message_t message = {.kind = CW_QUOTA_ASK,
                                  .ask = {.version = VERSION, .sequence = 1, .wanted = 3, .usage = {.tenant = TENANT}}};
    size_t             before = quota->self_message_count;
    size_t             index;
    uint32_t           grants = 0;

    cw_router_quota_deliver(quota, cw_peer_link_own_address(node->router.link), &message);
    for (index = before; index < quota->self_message_count; index++) {
        grants += quota->self_messages[index].kind == CW_QUOTA_GRANT ? 1 : 0;
    }
    return grants;
}

START_TEST(first_leader_counts_although_it_is_new_and_only_with_authority)
{
    node_fixture_t    *node = node_fixture_create();
    cw_router_quota_t *quota = node->router.quota;

    node->router.configuration = node_fixture_configuration(VERSION, "s");
    node_fixture_lead_unanswered(node);
    ck_assert_uint_eq(node->router.leadership.lock.term, 1);
    cw_fleet_size_init(&node->router.fleet_size, CW_SECONDS(10), cw_router_now(&node->router));
    node_fixture_receive_report(node, LEADER, "z1", 1);
    cw_router_quota_update_nodes(quota, cw_router_now(&node->router));
    cw_router_quota_update_nodes(quota, cw_router_now(&node->router));
    ck_assert(cw_router_quota_is_new(quota));
    ck_assert_uint_eq(grants_to_ask(node), 1);
    node->router.leadership.authority_end = cw_router_now(&node->router);
    ck_assert_uint_eq(grants_to_ask(node), 0);
    node_fixture_free(node);
}
END_TEST

static Cwp__Datagram *packed(const Cwp__Datagram *datagram)
{
    uint8_t        bytes[1024];
    size_t         length = cwp__datagram__pack(datagram, bytes);
    Cwp__Datagram *read = cwp__datagram__unpack(NULL, length, bytes);

    ck_assert_ptr_nonnull(read);
    return read;
}

START_TEST(messages_carry_versions_and_unknown_tenants)
{
    uint32_t         unknown[] = {TENANT};
    Cwp__QuotaAsk    ask = CWP__QUOTA_ASK__INIT;
    Cwp__QuotaUsage  usage = CWP__QUOTA_USAGE__INIT;
    Cwp__QuotaReport report = CWP__QUOTA_REPORT__INIT;
    Cwp__QuotaGrant  grant = CWP__QUOTA_GRANT__INIT;
    Cwp__QuotaReturn returned = CWP__QUOTA_RETURN__INIT;
    Cwp__QuotaStatus status = CWP__QUOTA_STATUS__INIT;
    Cwp__Datagram    datagram = CWP__DATAGRAM__INIT;
    Cwp__Datagram   *read;

    ask.version = VERSION;
    ask.usage = &usage;
    usage.metered = true;
    usage.uncounted = UNCOUNTED;
    datagram.content_case = CWP__DATAGRAM__CONTENT_QUOTA_ASK;
    datagram.quota_ask = &ask;
    read = packed(&datagram);
    ck_assert_uint_eq(read->quota_ask->version, VERSION);
    ck_assert(read->quota_ask->usage->metered);
    ck_assert_uint_eq(read->quota_ask->usage->uncounted, UNCOUNTED);
    cwp__datagram__free_unpacked(read, NULL);

    report.version = VERSION;
    datagram.content_case = CWP__DATAGRAM__CONTENT_QUOTA_REPORT;
    datagram.quota_report = &report;
    read = packed(&datagram);
    ck_assert_uint_eq(read->quota_report->version, VERSION);
    cwp__datagram__free_unpacked(read, NULL);

    grant.unknown = true;
    grant.record = RECORD;
    datagram.content_case = CWP__DATAGRAM__CONTENT_QUOTA_GRANT;
    datagram.quota_grant = &grant;
    read = packed(&datagram);
    ck_assert(read->quota_grant->unknown);
    ck_assert_uint_eq(read->quota_grant->record, RECORD);
    cwp__datagram__free_unpacked(read, NULL);

    returned.record = RECORD;
    returned.number = 2;
    datagram.content_case = CWP__DATAGRAM__CONTENT_QUOTA_RETURN;
    datagram.quota_return = &returned;
    read = packed(&datagram);
    ck_assert_uint_eq(read->quota_return->record, RECORD);
    ck_assert_uint_eq(read->quota_return->number, 2);
    cwp__datagram__free_unpacked(read, NULL);

    status.n_unknown = 1;
    status.unknown = unknown;
    datagram.content_case = CWP__DATAGRAM__CONTENT_QUOTA_STATUS;
    datagram.quota_status = &status;
    read = packed(&datagram);
    ck_assert_uint_eq(read->quota_status->n_unknown, 1);
    ck_assert_uint_eq(read->quota_status->unknown[0], TENANT);
    cwp__datagram__free_unpacked(read, NULL);
}
END_TEST

int main(void)
{
    Suite *suite = suite_create("router quota");
    TCase *cases = tcase_create("node");

    tcase_add_test(cases, all_nodes_are_candidates_however_many);
    tcase_add_test(cases, status_names_the_counting_node_among_many);
    tcase_add_test(cases, ask_with_later_configuration_version_is_not_granted);
    tcase_add_test(cases, reply_to_report_with_later_configuration_version_names_unknown_tenants);
    tcase_add_test(cases, node_that_would_ask_another_one_redirects_and_grants_nothing);
    tcase_add_test(cases, counting_node_goes_on_while_others_decline);
    tcase_add_test(cases, announced_number_of_nodes_is_applied_at_once);
    tcase_add_test(cases, new_node_asks_the_first_leader_until_a_number_of_nodes_is_announced);
    tcase_add_test(cases, leader_that_may_not_count_is_not_asked);
    tcase_add_test(cases, first_leader_counts_although_it_is_new_and_only_with_authority);
    tcase_add_test(cases, messages_carry_versions_and_unknown_tenants);
    suite_add_tcase(suite, cases);
    return cw_test_main(suite);
}
