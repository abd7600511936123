/**
 * @file test_relay_summaries.c
 * @brief Summaries of zones at a complete node: read after a stall, of a former incarnation, and of very large zones.
 */
#include <arpa/inet.h>
#include <stdio.h>

#include "loop_fixture.h"
#include "node_fixture.h"
#include "router/router_summary.h"

enum {
    FORMER_INCARNATION = 5,
    LATER_INCARNATION = 6,
    STALL_MS = 1300,
    LARGE_ZONE = 1000,
    NAME_MAX_LENGTH = 60,
    LATE_MS = 11000
};

static const char *const relay_address = "10.0.1.1";      /* a relay of zone z2 */
static const char *const listed_address = "10.0.1.5";     /* a node that the summary lists */
static const char *const neighbour_address = "10.0.0.10"; /* another node of this node's zone */

static void step(node_fixture_t *node, int64_t passed_ms)
{
    node_fixture_tick(node, passed_ms);
    cw_router_relay_tick(&node->router, cw_router_now(&node->router));
}

/* Receives a summary of zone z2 that lists one node. node_incarnation: 0: the summary has no detail of the node. */
static void receive_summary(node_fixture_t *node, uint32_t sequence, uint64_t node_incarnation)
{
    Cwp__ZoneSummary summary = CWP__ZONE_SUMMARY__INIT;
    Cwp__ZoneNode    detail = CWP__ZONE_NODE__INIT;
    Cwp__ZoneNode   *details[] = {&detail};
    Cwp__Datagram    datagram = CWP__DATAGRAM__INIT;
    uint32_t         nodes[] = {inet_addr(listed_address)};
    uint32_t         ages_ms[] = {100};
    uint32_t         capabilities[] = {50};

    summary.zone = "z2";
    summary.relay = inet_addr(relay_address);
    summary.incarnation = 1;
    summary.sequence = sequence;
    summary.nodes = nodes;
    summary.ages_ms = ages_ms;
    summary.capabilities = capabilities;
    summary.n_nodes = 1;
    summary.n_ages_ms = 1;
    summary.n_capabilities = 1;
    detail.address = nodes[0];
    detail.incarnation = node_incarnation;
    detail.node = "told";
    summary.details = details;
    summary.n_details = node_incarnation == 0 ? 0 : 1;
    datagram.content_case = CWP__DATAGRAM__CONTENT_ZONE_SUMMARY;
    datagram.zone_summary = &summary;
    node_fixture_receive(node, relay_address, &datagram);
}

static uint64_t forwarded_count(const node_fixture_t *node)
{
    return cw_peer_link_traffic(node->router.link)->datagrams[CWP__DATAGRAM__CONTENT_ZONE_SUMMARY][CW_DISTANCE_ZONE];
}

static const cw_peer_t *listed_node(const node_fixture_t *node)
{
    return cw_peer_link_find(node->router.link, inet_addr(listed_address));
}

static cw_peer_t *add_node_of_zone(node_fixture_t *node, const char *address)
{
    cw_peer_t *peer;

    node_fixture_receive_report(node, address, "z1", 1);
    peer = cw_peer_link_find(node->router.link, inet_addr(address));
    ck_assert_ptr_nonnull(peer);
    peer->distance = CW_DISTANCE_ZONE;
    return peer;
}

static node_fixture_t *begin(void)
{
    node_fixture_t *node = node_fixture_create();

    step(node, CW_TICK_MS);
    add_node_of_zone(node, neighbour_address);
    return node;
}

START_TEST(a_summary_is_applied_and_forwarded)
{
    node_fixture_t *node = begin();

    step(node, CW_TICK_MS);
    receive_summary(node, 1, 0);
    ck_assert_ptr_nonnull(listed_node(node));
    ck_assert_int_ne(listed_node(node)->last_received_at, 0);
    ck_assert_uint_eq(forwarded_count(node), 1);
    node_fixture_free(node);
}
END_TEST

START_TEST(summaries_that_arrived_during_a_stall_are_neither_applied_nor_forwarded)
{
    node_fixture_t *node = begin();

    node->router.loop.time += STALL_MS;
    receive_summary(node, 1, 0);
    step(node, 0);
    receive_summary(node, 2, 0); /* another one of the backlog in the socket */
    ck_assert_uint_eq(forwarded_count(node), 0);
    ck_assert(listed_node(node) == NULL || listed_node(node)->last_received_at == 0);
    node_fixture_free(node);
}
END_TEST

START_TEST(after_a_stall_summaries_are_applied_again)
{
    node_fixture_t *node = begin();
    int             ticks;

    node->router.loop.time += STALL_MS;
    receive_summary(node, 1, 0);
    for (ticks = 0; ticks < 10; ticks++) {
        step(node, CW_TICK_MS);
    }
    node_fixture_receive_report(node, neighbour_address, "z1", 2); /* it counted as lost meanwhile */
    receive_summary(node, 2, 0);
    ck_assert_uint_eq(forwarded_count(node), 1);
    ck_assert_int_ne(listed_node(node)->last_received_at, 0);
    node_fixture_free(node);
}
END_TEST

START_TEST(a_delayed_detail_of_a_former_incarnation_changes_nothing)
{
    node_fixture_t *node = begin();

    receive_summary(node, 1, FORMER_INCARNATION);
    receive_summary(node, 2, LATER_INCARNATION);
    receive_summary(node, 3, FORMER_INCARNATION);
    ck_assert_uint_eq(listed_node(node)->incarnation, LATER_INCARNATION);
    node_fixture_free(node);
}
END_TEST

START_TEST(an_incarnation_that_is_listed_for_long_is_the_present_one)
{
    node_fixture_t *node = begin();
    uint32_t        sequence = 0;
    int             passed;

    receive_summary(node, ++sequence, FORMER_INCARNATION);
    receive_summary(node, ++sequence, LATER_INCARNATION);
    receive_summary(node, ++sequence, LATER_INCARNATION + 1);
    receive_summary(node, ++sequence, FORMER_INCARNATION); /* two incarnations ago: the node treats it as a new one */
    for (passed = 0; passed < LATE_MS; passed += CW_TICK_MS) {
        step(node, CW_TICK_MS);
        receive_summary(node, ++sequence, LATER_INCARNATION + 1);
    }
    ck_assert_uint_eq(listed_node(node)->incarnation, LATER_INCARNATION + 1);
    node_fixture_free(node);
}
END_TEST

START_TEST(a_delayed_report_of_a_former_incarnation_changes_nothing)
{
    node_fixture_t  *node = begin();
    Cwp__NodeReport  report = CWP__NODE_REPORT__INIT;
    Cwp__Datagram    datagram = CWP__DATAGRAM__INIT;
    const cw_peer_t *peer;

    datagram.content_case = CWP__DATAGRAM__CONTENT_REPORT;
    datagram.report = &report;
    report.incarnation = FORMER_INCARNATION;
    report.sequence = 8;
    node_fixture_receive(node, listed_address, &datagram);
    report.incarnation = LATER_INCARNATION;
    report.sequence = 1;
    node_fixture_receive(node, listed_address, &datagram);
    report.incarnation = FORMER_INCARNATION;
    report.sequence = 9;
    report.stopping = true;
    node_fixture_receive(node, listed_address, &datagram);
    peer = listed_node(node);
    ck_assert_uint_eq(peer->incarnation, LATER_INCARNATION);
    ck_assert_uint_eq(peer->sequence, 1);
    ck_assert(!peer->stopping);
    node_fixture_free(node);
}
END_TEST

/* ---- large zones ---- */

static void add_nodes_of_zone(node_fixture_t *node, int count)
{
    int index;

    for (index = 0; index < count; index++) {
        char       address[INET_ADDRSTRLEN];
        cw_peer_t *peer;

        snprintf(address, sizeof(address), "10.2.%d.%d", index / 200, index % 200 + 1);
        peer = add_node_of_zone(node, address);
        snprintf(peer->node, sizeof(peer->node), "%0*d", NAME_MAX_LENGTH, index);
    }
}

START_TEST(a_summary_of_a_thousand_nodes_fits_a_datagram)
{
    node_fixture_t    *node = begin();
    cw_summary_times_t times = {0};
    cw_zone_links_t    links = {0};

    add_nodes_of_zone(node, LARGE_ZONE);
    ck_assert_uint_gt(cw_router_pack_summary(&node->router, &times, &links, cw_router_now(&node->router)), 0);
    node_fixture_free(node);
}
END_TEST

/* Twice as many nodes as a zone of the largest fleet has: each takes the same few bytes, and none is omitted. */
START_TEST(a_summary_lists_every_node_of_a_zone_however_many)
{
    node_fixture_t    *node = begin();
    cw_summary_times_t times = {0};
    cw_zone_links_t    links = {0};
    cw_time_us_t       now = cw_router_now(&node->router) + CW_SECONDS(2); /* no detail counts as changed any more */
    size_t             bytes_of_few;
    size_t             bytes_of_all;

    times.details_at = now; /* no names: they are not counted here */
    times.details_index = SIZE_MAX;
    add_nodes_of_zone(node, LARGE_ZONE);
    bytes_of_few = cw_router_pack_summary(&node->router, &times, &links, now);
    add_nodes_of_zone(node, 2 * LARGE_ZONE);
    times.nodes_at = 0;
    bytes_of_all = cw_router_pack_summary(&node->router, &times, &links, now);
    ck_assert_uint_gt(bytes_of_few, (size_t)LARGE_ZONE * 5);
    ck_assert_uint_gt(bytes_of_all, bytes_of_few * 19 / 10);
    node_fixture_free(node);
}
END_TEST

START_TEST(details_of_all_nodes_of_a_large_zone_are_spread_over_summaries)
{
    node_fixture_t    *node = begin();
    cw_summary_times_t times = {0};
    cw_zone_links_t    links = {0};
    cw_time_us_t       now;
    size_t             bytes = 0;
    int                index;

    add_nodes_of_zone(node, LARGE_ZONE);
    now = cw_router_now(&node->router) + CW_SECONDS(2); /* no detail counts as changed any more */
    for (index = 0; index < 5; index++) {
        bytes += cw_router_pack_summary(&node->router, &times, &links, now + CW_MS(CW_SUMMARY_INTERVAL_MS) * index);
    }
    ck_assert_uint_gt(bytes, (size_t)LARGE_ZONE * NAME_MAX_LENGTH);
    node_fixture_free(node);
}
END_TEST

int main(void)
{
    Suite *suite = suite_create("relay summaries");
    TCase *cases = tcase_create("relay summaries");

    tcase_add_test(cases, a_summary_is_applied_and_forwarded);
    tcase_add_test(cases, summaries_that_arrived_during_a_stall_are_neither_applied_nor_forwarded);
    tcase_add_test(cases, after_a_stall_summaries_are_applied_again);
    tcase_add_test(cases, a_delayed_detail_of_a_former_incarnation_changes_nothing);
    tcase_add_test(cases, an_incarnation_that_is_listed_for_long_is_the_present_one);
    tcase_add_test(cases, a_delayed_report_of_a_former_incarnation_changes_nothing);
    tcase_add_test(cases, a_summary_of_a_thousand_nodes_fits_a_datagram);
    tcase_add_test(cases, a_summary_lists_every_node_of_a_zone_however_many);
    tcase_add_test(cases, details_of_all_nodes_of_a_large_zone_are_spread_over_summaries);
    suite_add_tcase(suite, cases);
    return cw_test_main(suite);
}
