/**
 * @file test_list_requests.c
 * @brief Exchange of whole lists at one node: which requests it answers, when it sends requests, and what the leader
 * leaves to the nodes of a zone.
 */
#include <arpa/inet.h>
#include <stdio.h>

#include "loop_fixture.h"
#include "node_fixture.h"

enum { TERM = 5, VERSION = 3, SERVERS = 100, NODES = 20, SETTLE_MS = 2000 };

#define ASKING "10.0.0.10"

static uint64_t sent(const node_fixture_t *node, Cwp__Datagram__ContentCase kind, cw_distance_t distance)
{
    return cw_peer_link_traffic(node->router.link)->datagrams[kind][distance];
}

static uint64_t pages_sent(const node_fixture_t *node)
{
    return sent(node, CWP__DATAGRAM__CONTENT_SERVERS, CW_DISTANCE_ZONE);
}

static uint64_t requests_sent(const node_fixture_t *node)
{
    return sent(node, CWP__DATAGRAM__CONTENT_LIST_REQUEST, CW_DISTANCE_ZONE);
}

/* A report of a node that has the leader's list of this version. */
static void receive_report(node_fixture_t *node, const char *from, const char *zone, uint64_t version)
{
    static uint32_t sequence;
    Cwp__NodeReport report = CWP__NODE_REPORT__INIT;
    Cwp__Datagram   datagram = CWP__DATAGRAM__INIT;

    report.node = (char *)from;
    report.zone = (char *)zone;
    report.incarnation = 1;
    report.sequence = ++sequence;
    report.term = TERM;
    report.servers = version;
    datagram.content_case = CWP__DATAGRAM__CONTENT_REPORT;
    datagram.report = &report;
    node_fixture_receive(node, from, &datagram);
}

static void receive_request(node_fixture_t *node, const char *from, uint64_t term, uint64_t version, uint32_t first)
{
    Cwp__ListRequest request = CWP__LIST_REQUEST__INIT;
    Cwp__Datagram    datagram = CWP__DATAGRAM__INIT;

    request.term = term;
    request.number = version;
    request.first_page = first;
    datagram.content_case = CWP__DATAGRAM__CONTENT_LIST_REQUEST;
    datagram.list_request = &request;
    node_fixture_receive(node, from, &datagram);
}

static void receive_page(node_fixture_t *node, uint64_t term, uint64_t version, uint64_t revision, uint32_t page,
                         uint32_t pages)
{
    Cwp__ServersPage content = CWP__SERVERS_PAGE__INIT;
    Cwp__Datagram    datagram = CWP__DATAGRAM__INIT;

    content.term = term;
    content.number = version;
    content.revision = revision;
    content.page = page;
    content.pages = pages;
    datagram.content_case = CWP__DATAGRAM__CONTENT_SERVERS;
    datagram.servers = &content;
    node_fixture_receive(node, ASKING, &datagram);
}

static void receive_heartbeat(node_fixture_t *node, uint64_t version, uint64_t hash)
{
    Cwp__LeaderHeartbeat heartbeat = CWP__LEADER_HEARTBEAT__INIT;

    heartbeat.term = TERM;
    heartbeat.servers = version;
    heartbeat.servers_hash = hash;
    cw_router_list_exchange_heartbeat(&node->router, &heartbeat, cw_router_now(&node->router));
}

static node_fixture_t *node_in_zone(void)
{
    node_fixture_t             *node = node_fixture_create();
    const cw_router_settings_t *settings = &node->router.settings;

    cw_peer_link_set_zone(node->router.link, settings->zone, settings->zone_regions, settings->zone_region_count);
    return node;
}

/* A node that has the leader's list. */
static node_fixture_t *node_with_list(void)
{
    node_fixture_t *node = node_in_zone();

    node_fixture_read_servers(node, "docks", SERVERS, "10.0.1.1:80");
    node->router.view_term = TERM;
    node->router.view_list_version = VERSION;
    receive_heartbeat(node, VERSION, node->router.server_view.hash);
    receive_report(node, ASKING, "z1", 0);
    return node;
}

/* One of many nodes, of which only ASKING has the list. */
static node_fixture_t *node_without_list(void)
{
    node_fixture_t *node = node_in_zone();
    char            address[INET_ADDRSTRLEN];
    int             index;
    int             elapsed_ms;

    for (index = 0; index < NODES; index++) {
        snprintf(address, sizeof(address), "10.0.3.%d", index + 1);
        receive_report(node, address, "z1", 0);
    }
    receive_report(node, ASKING, "z1", VERSION);
    for (elapsed_ms = 0; elapsed_ms < 300; elapsed_ms += CW_TICK_MS) {
        node_fixture_tick(node, CW_TICK_MS);
    }
    ck_assert(cw_router_nodes_are_many(&node->router));
    receive_heartbeat(node, VERSION, 1);
    receive_report(node, ASKING, "z1", VERSION);
    return node;
}

START_TEST(a_request_is_answered_with_the_missing_pages)
{
    node_fixture_t *node = node_with_list();

    receive_request(node, ASKING, TERM, VERSION, 0);
    ck_assert_uint_eq(pages_sent(node), 2); /* a hundred servers, CW_PAGE_SERVERS to a page */
    receive_request(node, ASKING, TERM, VERSION, 1);
    ck_assert_uint_eq(pages_sent(node), 3);
    node_fixture_free(node);
}
END_TEST

START_TEST(requests_for_lists_that_the_node_does_not_have_are_not_answered)
{
    node_fixture_t *node = node_with_list();

    receive_request(node, ASKING, TERM, VERSION - 1, 0);
    receive_request(node, ASKING, TERM, VERSION + 1, 0);
    receive_request(node, ASKING, TERM - 1, VERSION, 0);
    receive_request(node, ASKING, TERM, VERSION, 2);
    receive_request(node, ASKING, TERM, 0, 0);
    ck_assert_uint_eq(pages_sent(node), 0);
    node_fixture_free(node);
}
END_TEST

START_TEST(a_list_whose_hash_differs_from_the_leaders_is_not_sent)
{
    node_fixture_t *node = node_with_list();

    receive_heartbeat(node, VERSION, node->router.server_view.hash + 1);
    receive_request(node, ASKING, TERM, VERSION, 0);
    ck_assert_uint_eq(pages_sent(node), 0);
    node_fixture_free(node);
}
END_TEST

START_TEST(a_transfer_continues_when_a_newer_list_is_in_force)
{
    node_fixture_t *node = node_with_list();

    receive_request(node, ASKING, TERM, VERSION, 0);
    node_fixture_read_servers(node, "docks", 2 * SERVERS, "10.0.1.1:80");
    node->router.view_list_version = VERSION + 1;
    receive_request(node, ASKING, TERM, VERSION, 1);
    ck_assert_uint_eq(pages_sent(node), 3);
    receive_request(node, ASKING, TERM, VERSION, 0); /* a new transfer of the older list is not started */
    ck_assert_uint_eq(pages_sent(node), 3);
    node_fixture_free(node);
}
END_TEST

START_TEST(a_node_of_another_zone_is_not_answered)
{
    node_fixture_t *node = node_with_list();

    receive_report(node, "10.0.0.11", "z2", 0);
    receive_request(node, "10.0.0.11", TERM, VERSION, 0);
    ck_assert_uint_eq(sent(node, CWP__DATAGRAM__CONTENT_SERVERS, CW_DISTANCE_REGION), 0);
    ck_assert_uint_eq(pages_sent(node), 0);
    node_fixture_free(node);
}
END_TEST

START_TEST(a_node_without_a_list_requests_it_from_the_holder_in_its_zone)
{
    node_fixture_t *node = node_without_list();

    ck_assert_uint_eq(requests_sent(node), 0);
    node_fixture_tick(node, CW_TICK_MS);
    ck_assert_uint_eq(requests_sent(node), 1);
    receive_page(node, TERM, VERSION, 9, 0, 1);
    ck_assert_uint_eq(node->router.view_list_version, VERSION);
    node_fixture_free(node);
}
END_TEST

START_TEST(a_node_that_has_received_the_list_announces_it_to_a_few_others)
{
    node_fixture_t *node = node_without_list();
    uint64_t        before = sent(node, CWP__DATAGRAM__CONTENT_ACK, CW_DISTANCE_ZONE);
    uint64_t        acks_sent;

    receive_page(node, TERM, VERSION, 7, 0, 1);
    ck_assert_uint_eq(node->router.view_list_version, VERSION);
    acks_sent = sent(node, CWP__DATAGRAM__CONTENT_ACK, CW_DISTANCE_ZONE) - before;
    ck_assert_uint_ge(acks_sent, 8);
    ck_assert_uint_le(acks_sent, NODES + 2);
    node_fixture_free(node);
}
END_TEST

START_TEST(a_page_of_an_earlier_term_is_dropped)
{
    node_fixture_t *node = node_without_list();

    node->router.view_term = TERM;
    receive_page(node, TERM - 1, VERSION + 1, 9, 0, 1);
    ck_assert_uint_eq(node->router.view_list_version, 0);
    ck_assert_ptr_null(node->router.server_view.list);
    node_fixture_free(node);
}
END_TEST

START_TEST(a_list_of_a_lower_revision_is_rejected_and_requested_only_once)
{
    node_fixture_t *node = node_without_list();
    int             elapsed_ms;

    node_fixture_read_servers(node, "docks", SERVERS, "10.0.1.1:80");
    node->router.server_view.revision = 9;
    node_fixture_tick(node, CW_TICK_MS);
    ck_assert_uint_eq(requests_sent(node), 1);
    receive_page(node, TERM, VERSION, 8, 0, 1);
    ck_assert_uint_eq(node->router.server_view.list->count, SERVERS);
    ck_assert_uint_eq(node->router.view_list_version, 0);
    for (elapsed_ms = 0; elapsed_ms < SETTLE_MS; elapsed_ms += CW_TICK_MS) {
        receive_heartbeat(node, VERSION, 1);
        node_fixture_tick(node, CW_TICK_MS);
    }
    ck_assert_uint_eq(requests_sent(node), 1);
    node_fixture_free(node);
}
END_TEST

int main(void)
{
    Suite *suite = suite_create("list requests");
    TCase *cases = tcase_create("list requests");

    tcase_add_test(cases, a_request_is_answered_with_the_missing_pages);
    tcase_add_test(cases, requests_for_lists_that_the_node_does_not_have_are_not_answered);
    tcase_add_test(cases, a_list_whose_hash_differs_from_the_leaders_is_not_sent);
    tcase_add_test(cases, a_transfer_continues_when_a_newer_list_is_in_force);
    tcase_add_test(cases, a_node_of_another_zone_is_not_answered);
    tcase_add_test(cases, a_node_without_a_list_requests_it_from_the_holder_in_its_zone);
    tcase_add_test(cases, a_node_that_has_received_the_list_announces_it_to_a_few_others);
    tcase_add_test(cases, a_page_of_an_earlier_term_is_dropped);
    tcase_add_test(cases, a_list_of_a_lower_revision_is_rejected_and_requested_only_once);
    suite_add_tcase(suite, cases);
    return cw_test_main(suite);
}
