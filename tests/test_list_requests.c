/**
 * @file test_list_requests.c
 * @brief A node's part in the exchange of whole lists: which requests it answers, when it asks, what the leader leaves
 * to the zone.
 */
#include <arpa/inet.h>
#include <stdio.h>

#include "loop_fixture.h"
#include "node_fixture.h"

enum { TERM = 5, NUMBER = 3, SERVERS = 100, NODES = 20, SETTLE_MS = 2000 };

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

/* It has this list of the leader's. */
static void receive_report(node_fixture_t *node, const char *from, const char *zone, uint64_t number)
{
    static uint32_t sequence;
    Cwp__NodeReport report = CWP__NODE_REPORT__INIT;
    Cwp__Datagram   datagram = CWP__DATAGRAM__INIT;

    report.node = (char *)from;
    report.zone = (char *)zone;
    report.incarnation = 1;
    report.sequence = ++sequence;
    report.term = TERM;
    report.servers = number;
    datagram.content_case = CWP__DATAGRAM__CONTENT_REPORT;
    datagram.report = &report;
    node_fixture_receive(node, from, &datagram);
}

static void receive_request(node_fixture_t *node, const char *from, uint64_t term, uint64_t number, uint32_t first)
{
    Cwp__ListRequest request = CWP__LIST_REQUEST__INIT;
    Cwp__Datagram    datagram = CWP__DATAGRAM__INIT;

    request.term = term;
    request.number = number;
    request.first_page = first;
    datagram.content_case = CWP__DATAGRAM__CONTENT_LIST_REQUEST;
    datagram.list_request = &request;
    node_fixture_receive(node, from, &datagram);
}

static void receive_page(node_fixture_t *node, uint64_t term, uint64_t number, uint64_t revision, uint32_t page,
                         uint32_t pages)
{
    Cwp__ServersPage content = CWP__SERVERS_PAGE__INIT;
    Cwp__Datagram    datagram = CWP__DATAGRAM__INIT;

    content.term = term;
    content.number = number;
    content.revision = revision;
    content.page = page;
    content.pages = pages;
    datagram.content_case = CWP__DATAGRAM__CONTENT_SERVERS;
    datagram.servers = &content;
    node_fixture_receive(node, ASKING, &datagram);
}

static void receive_heartbeat(node_fixture_t *node, uint64_t number, uint64_t hash)
{
    Cwp__LeaderHeartbeat heartbeat = CWP__LEADER_HEARTBEAT__INIT;

    heartbeat.term = TERM;
    heartbeat.servers = number;
    heartbeat.servers_hash = hash;
    cw_router_list_exchange_heartbeat(&node->router, &heartbeat, cw_router_now(&node->router));
}

static node_fixture_t *node_with_place(void)
{
    node_fixture_t             *node = node_fixture_create();
    const cw_router_settings_t *settings = &node->router.settings;

    cw_peer_link_set_zone(node->router.link, settings->zone, settings->zone_regions, settings->zone_region_count);
    return node;
}

/* A node that has the leader's list. */
static node_fixture_t *holder(void)
{
    node_fixture_t *node = node_with_place();

    node_fixture_read_servers(node, "docks", SERVERS, "10.0.1.1:80");
    node->router.view_term = TERM;
    node->router.view_list_version = NUMBER;
    receive_heartbeat(node, NUMBER, node->router.server_view.hash);
    receive_report(node, ASKING, "z1", 0);
    return node;
}

/* One of many nodes, of which only ASKING has the list. */
static node_fixture_t *node_without_list(void)
{
    node_fixture_t *node = node_with_place();
    char            address[INET_ADDRSTRLEN];
    int             index;
    int             passed;

    for (index = 0; index < NODES; index++) {
        snprintf(address, sizeof(address), "10.0.3.%d", index + 1);
        receive_report(node, address, "z1", 0);
    }
    receive_report(node, ASKING, "z1", NUMBER);
    for (passed = 0; passed < 300; passed += CW_TICK_MS) {
        node_fixture_tick(node, CW_TICK_MS);
    }
    ck_assert(cw_router_nodes_are_many(&node->router));
    receive_heartbeat(node, NUMBER, 1);
    receive_report(node, ASKING, "z1", NUMBER);
    return node;
}

START_TEST(a_request_is_answered_with_the_pages_that_are_missing)
{
    node_fixture_t *node = holder();

    receive_request(node, ASKING, TERM, NUMBER, 0);
    ck_assert_uint_eq(pages_sent(node), 2); /* of CW_PAGE_SERVERS each */
    receive_request(node, ASKING, TERM, NUMBER, 1);
    ck_assert_uint_eq(pages_sent(node), 3);
    node_fixture_free(node);
}
END_TEST

START_TEST(requests_for_lists_that_it_has_not_got_are_not_answered)
{
    node_fixture_t *node = holder();

    receive_request(node, ASKING, TERM, NUMBER - 1, 0);
    receive_request(node, ASKING, TERM, NUMBER + 1, 0);
    receive_request(node, ASKING, TERM - 1, NUMBER, 0);
    receive_request(node, ASKING, TERM, NUMBER, 2);
    receive_request(node, ASKING, TERM, 0, 0);
    ck_assert_uint_eq(pages_sent(node), 0);
    node_fixture_free(node);
}
END_TEST

START_TEST(a_list_that_is_not_the_leaders_by_its_hash_is_not_sent)
{
    node_fixture_t *node = holder();

    receive_heartbeat(node, NUMBER, node->router.server_view.hash + 1);
    receive_request(node, ASKING, TERM, NUMBER, 0);
    ck_assert_uint_eq(pages_sent(node), 0);
    node_fixture_free(node);
}
END_TEST

START_TEST(a_transfer_under_way_goes_on_when_a_newer_list_is_in_force)
{
    node_fixture_t *node = holder();

    receive_request(node, ASKING, TERM, NUMBER, 0);
    node_fixture_read_servers(node, "docks", 2 * SERVERS, "10.0.1.1:80");
    node->router.view_list_version = NUMBER + 1;
    receive_request(node, ASKING, TERM, NUMBER, 1);
    ck_assert_uint_eq(pages_sent(node), 3);
    receive_request(node, ASKING, TERM, NUMBER, 0); /* one that begins is not */
    ck_assert_uint_eq(pages_sent(node), 3);
    node_fixture_free(node);
}
END_TEST

START_TEST(a_node_of_another_zone_is_not_answered)
{
    node_fixture_t *node = holder();

    receive_report(node, "10.0.0.11", "z2", 0);
    receive_request(node, "10.0.0.11", TERM, NUMBER, 0);
    ck_assert_uint_eq(sent(node, CWP__DATAGRAM__CONTENT_SERVERS, CW_DISTANCE_REGION), 0);
    ck_assert_uint_eq(pages_sent(node), 0);
    node_fixture_free(node);
}
END_TEST

START_TEST(a_node_without_a_list_asks_the_one_of_its_zone_that_has_it)
{
    node_fixture_t *node = node_without_list();

    ck_assert_uint_eq(requests_sent(node), 0);
    node_fixture_tick(node, CW_TICK_MS);
    ck_assert_uint_eq(requests_sent(node), 1);
    receive_page(node, TERM, NUMBER, 9, 0, 1);
    ck_assert_uint_eq(node->router.view_list_version, NUMBER);
    node_fixture_free(node);
}
END_TEST

START_TEST(a_node_that_has_got_the_list_tells_a_few_others)
{
    node_fixture_t *node = node_without_list();
    uint64_t        before = sent(node, CWP__DATAGRAM__CONTENT_ACK, CW_DISTANCE_ZONE);
    uint64_t        told;

    receive_page(node, TERM, NUMBER, 7, 0, 1);
    ck_assert_uint_eq(node->router.view_list_version, NUMBER);
    told = sent(node, CWP__DATAGRAM__CONTENT_ACK, CW_DISTANCE_ZONE) - before;
    ck_assert_uint_ge(told, 8);
    ck_assert_uint_le(told, NODES + 2);
    node_fixture_free(node);
}
END_TEST

START_TEST(a_page_of_an_earlier_term_is_dropped)
{
    node_fixture_t *node = node_without_list();

    node->router.view_term = TERM;
    receive_page(node, TERM - 1, NUMBER + 1, 9, 0, 1);
    ck_assert_uint_eq(node->router.view_list_version, 0);
    ck_assert_ptr_null(node->router.server_view.list);
    node_fixture_free(node);
}
END_TEST

START_TEST(a_list_of_a_lower_revision_replaces_nothing_and_is_asked_for_once)
{
    node_fixture_t *node = node_without_list();
    int             passed;

    node_fixture_read_servers(node, "docks", SERVERS, "10.0.1.1:80");
    node->router.server_view.revision = 9;
    node_fixture_tick(node, CW_TICK_MS);
    ck_assert_uint_eq(requests_sent(node), 1);
    receive_page(node, TERM, NUMBER, 8, 0, 1);
    ck_assert_uint_eq(node->router.server_view.list->count, SERVERS);
    ck_assert_uint_eq(node->router.view_list_version, 0);
    for (passed = 0; passed < SETTLE_MS; passed += CW_TICK_MS) {
        receive_heartbeat(node, NUMBER, 1);
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

    tcase_add_test(cases, a_request_is_answered_with_the_pages_that_are_missing);
    tcase_add_test(cases, requests_for_lists_that_it_has_not_got_are_not_answered);
    tcase_add_test(cases, a_list_that_is_not_the_leaders_by_its_hash_is_not_sent);
    tcase_add_test(cases, a_transfer_under_way_goes_on_when_a_newer_list_is_in_force);
    tcase_add_test(cases, a_node_of_another_zone_is_not_answered);
    tcase_add_test(cases, a_node_without_a_list_asks_the_one_of_its_zone_that_has_it);
    tcase_add_test(cases, a_node_that_has_got_the_list_tells_a_few_others);
    tcase_add_test(cases, a_page_of_an_earlier_term_is_dropped);
    tcase_add_test(cases, a_list_of_a_lower_revision_replaces_nothing_and_is_asked_for_once);
    suite_add_tcase(suite, cases);
    return cw_test_main(suite);
}
