/**
 * @file test_relay_summaries.c
 * @brief Summaries of zones at a whole node: held by one that stood still, of an earlier life, of very large zones.
 */
#include <arpa/inet.h>
#include <stdio.h>

#include "loop_fixture.h"
#include "node_fixture.h"
#include "router/router_summary.h"

enum { FORMER_LIFE = 5, LATER_LIFE = 6, FREEZE_MS = 1300, LARGE_ZONE = 1000, NAME_MAX_LENGTH = 60, LATE_MS = 11000 };

static const char *const relay_address = "10.0.1.1"; /* of zone z2 */
static const char *const told_address = "10.0.1.5";  /* a node that a summary tells of */
static const char *const own_address = "10.0.0.10";  /* a node of this node's zone */

static void step(node_fixture_t *node, int64_t passed_ms)
{
    node_fixture_tick(node, passed_ms);
    cw_router_relay_tick(&node->router, cw_router_now(&node->router));
}

/* A summary of zone z2 that tells of one node. life: the node's incarnation; 0: no detail of it. */
static void receive_summary(node_fixture_t *node, uint32_t sequence, uint64_t life)
{
    Cwp__ZoneSummary summary = CWP__ZONE_SUMMARY__INIT;
    Cwp__ZoneNode    detail = CWP__ZONE_NODE__INIT;
    Cwp__ZoneNode   *details[] = {&detail};
    Cwp__Datagram    datagram = CWP__DATAGRAM__INIT;
    uint32_t         nodes[] = {inet_addr(told_address)};
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
    detail.incarnation = life;
    detail.node = "told";
    summary.details = details;
    summary.n_details = life == 0 ? 0 : 1;
    datagram.content_case = CWP__DATAGRAM__CONTENT_ZONE_SUMMARY;
    datagram.zone_summary = &summary;
    node_fixture_receive(node, relay_address, &datagram);
}

static uint64_t passed_on(const node_fixture_t *node)
{
    return cw_peer_link_traffic(node->router.link)->datagrams[CWP__DATAGRAM__CONTENT_ZONE_SUMMARY][CW_DISTANCE_ZONE];
}

static const cw_peer_t *told_node(const node_fixture_t *node)
{
    return cw_peer_link_find(node->router.link, inet_addr(told_address));
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
    add_node_of_zone(node, own_address);
    return node;
}

START_TEST(a_summary_is_taken_and_passed_on)
{
    node_fixture_t *node = begin();

    step(node, CW_TICK_MS);
    receive_summary(node, 1, 0);
    ck_assert_ptr_nonnull(told_node(node));
    ck_assert_int_ne(told_node(node)->last_received_at, 0);
    ck_assert_uint_eq(passed_on(node), 1);
    node_fixture_free(node);
}
END_TEST

START_TEST(what_came_while_this_node_stood_still_is_neither_taken_nor_passed_on)
{
    node_fixture_t *node = begin();

    node->router.loop.time += FREEZE_MS;
    receive_summary(node, 1, 0);
    step(node, 0);
    receive_summary(node, 2, 0); /* the rest of what the socket held */
    ck_assert_uint_eq(passed_on(node), 0);
    ck_assert(told_node(node) == NULL || told_node(node)->last_received_at == 0);
    node_fixture_free(node);
}
END_TEST

START_TEST(a_node_that_runs_again_takes_summaries_again)
{
    node_fixture_t *node = begin();
    int             ticks;

    node->router.loop.time += FREEZE_MS;
    receive_summary(node, 1, 0);
    for (ticks = 0; ticks < 10; ticks++) {
        step(node, CW_TICK_MS);
    }
    node_fixture_receive_report(node, own_address, "z1", 2); /* it was lost meanwhile */
    receive_summary(node, 2, 0);
    ck_assert_uint_eq(passed_on(node), 1);
    ck_assert_int_ne(told_node(node)->last_received_at, 0);
    node_fixture_free(node);
}
END_TEST

START_TEST(a_late_detail_of_an_earlier_life_changes_nothing)
{
    node_fixture_t *node = begin();

    receive_summary(node, 1, FORMER_LIFE);
    receive_summary(node, 2, LATER_LIFE);
    receive_summary(node, 3, FORMER_LIFE);
    ck_assert_uint_eq(told_node(node)->incarnation, LATER_LIFE);
    node_fixture_free(node);
}
END_TEST

START_TEST(a_life_that_is_told_of_for_long_is_the_present_one)
{
    node_fixture_t *node = begin();
    uint32_t        sequence = 0;
    int             passed;

    receive_summary(node, ++sequence, FORMER_LIFE);
    receive_summary(node, ++sequence, LATER_LIFE);
    receive_summary(node, ++sequence, LATER_LIFE + 1);
    receive_summary(node, ++sequence, FORMER_LIFE); /* of two lives ago: taken for a new one */
    for (passed = 0; passed < LATE_MS; passed += CW_TICK_MS) {
        step(node, CW_TICK_MS);
        receive_summary(node, ++sequence, LATER_LIFE + 1);
    }
    ck_assert_uint_eq(told_node(node)->incarnation, LATER_LIFE + 1);
    node_fixture_free(node);
}
END_TEST

START_TEST(a_late_report_of_an_earlier_life_changes_nothing)
{
    node_fixture_t  *node = begin();
    Cwp__NodeReport  report = CWP__NODE_REPORT__INIT;
    Cwp__Datagram    datagram = CWP__DATAGRAM__INIT;
    const cw_peer_t *peer;

    datagram.content_case = CWP__DATAGRAM__CONTENT_REPORT;
    datagram.report = &report;
    report.incarnation = FORMER_LIFE;
    report.sequence = 8;
    node_fixture_receive(node, told_address, &datagram);
    report.incarnation = LATER_LIFE;
    report.sequence = 1;
    node_fixture_receive(node, told_address, &datagram);
    report.incarnation = FORMER_LIFE;
    report.sequence = 9;
    report.stopping = true;
    node_fixture_receive(node, told_address, &datagram);
    peer = told_node(node);
    ck_assert_uint_eq(peer->incarnation, LATER_LIFE);
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

/* Twice the nodes of a zone of the largest fleet: each takes the same few bytes, none is left out. */
START_TEST(a_summary_tells_of_each_node_of_a_zone_however_many)
{
    node_fixture_t    *node = begin();
    cw_summary_times_t times = {0};
    cw_zone_links_t    links = {0};
    cw_time_us_t       now = cw_router_now(&node->router) + CW_SECONDS(2); /* nothing of them is news any more */
    size_t             bytes_of_few;
    size_t             bytes_of_all;

    times.details_at = now; /* names are not what is counted */
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

START_TEST(details_of_all_nodes_of_a_large_zone_come_by_and_by)
{
    node_fixture_t    *node = begin();
    cw_summary_times_t times = {0};
    cw_zone_links_t    links = {0};
    cw_time_us_t       now;
    size_t             bytes = 0;
    int                index;

    add_nodes_of_zone(node, LARGE_ZONE);
    now = cw_router_now(&node->router) + CW_SECONDS(2); /* nothing of them is news any more */
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

    tcase_add_test(cases, a_summary_is_taken_and_passed_on);
    tcase_add_test(cases, what_came_while_this_node_stood_still_is_neither_taken_nor_passed_on);
    tcase_add_test(cases, a_node_that_runs_again_takes_summaries_again);
    tcase_add_test(cases, a_late_detail_of_an_earlier_life_changes_nothing);
    tcase_add_test(cases, a_life_that_is_told_of_for_long_is_the_present_one);
    tcase_add_test(cases, a_late_report_of_an_earlier_life_changes_nothing);
    tcase_add_test(cases, a_summary_of_a_thousand_nodes_fits_a_datagram);
    tcase_add_test(cases, a_summary_tells_of_each_node_of_a_zone_however_many);
    tcase_add_test(cases, details_of_all_nodes_of_a_large_zone_come_by_and_by);
    suite_add_tcase(suite, cases);
    return cw_test_main(suite);
}
