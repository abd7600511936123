/**
 * @file test_detours.c
 * @brief Detours to other nodes through a third one: when probes are sent, and which datagrams are forwarded.
 */
#include <arpa/inet.h>
#include <stdio.h>
#include <string.h>

#include "loop_fixture.h"
#include "node_fixture.h"
#include "peer/detours.h"
#include "router/router_quota.h"

enum { SUSPECT = 4, INTERMEDIATE = 5, OTHER = 6, RUN_MS = 5000 };

static const cw_time_us_t start = CW_SECONDS(100);

/* ---- intervals between probes ---- */

static uint32_t probes_within(cw_detours_t *detours, uint32_t address, cw_time_us_t from, cw_time_us_t to)
{
    uint32_t     count = 0;
    uint32_t     turn;
    cw_time_us_t now;

    for (now = from; now < to; now += CW_MS(20)) {
        count += cw_detours_begin_probe(detours, address, now, &turn) ? 1 : 0;
    }
    return count;
}

START_TEST(a_suspect_is_probed_three_times_before_it_counts_as_lost)
{
    cw_detours_t *detours = cw_detours_create();

    ck_assert_uint_ge(probes_within(detours, SUSPECT, start, start + CW_MS(500)), 3);
    cw_detours_free(detours);
}
END_TEST

START_TEST(an_unreachable_node_is_probed_less_often)
{
    cw_detours_t *detours = cw_detours_create();
    uint32_t      at_first = probes_within(detours, SUSPECT, start, start + CW_SECONDS(5));
    uint32_t      later = probes_within(detours, SUSPECT, start + CW_SECONDS(5), start + CW_SECONDS(10));

    ck_assert_uint_le(later, at_first);
    ck_assert_uint_le(later, 6);
    cw_detours_free(detours);
}
END_TEST

/* Guards against a node that floods its zone with probes after the loss of another zone. */
START_TEST(probes_of_a_lost_zone_stay_within_the_rate_limit)
{
    cw_detours_t *detours = cw_detours_create();
    uint32_t      count = 0;
    uint32_t      turn;
    cw_time_us_t  now;

    for (now = start; now < start + CW_SECONDS(2); now += CW_MS(20)) {
        uint32_t address;

        for (address = 1; address <= 333; address++) {
            count += cw_detours_begin_probe(detours, address, now, &turn) ? 1 : 0;
        }
    }
    ck_assert_uint_le(count, 2 * 20 + 25);
    cw_detours_free(detours);
}
END_TEST

START_TEST(a_detour_is_valid_for_a_second_after_a_datagram)
{
    cw_detours_t *detours = cw_detours_create();

    ck_assert_uint_eq(cw_detours_via(detours, SUSPECT, start), 0);
    cw_detours_received(detours, SUSPECT, INTERMEDIATE, start);
    ck_assert_uint_eq(cw_detours_via(detours, SUSPECT, start + CW_MS(900)), INTERMEDIATE);
    ck_assert_uint_eq(cw_detours_count(detours, start + CW_MS(900)), 1);
    ck_assert_uint_eq(cw_detours_via(detours, SUSPECT, start + CW_MS(CW_DETOUR_VALID_MS)), 0);
    cw_detours_received(detours, SUSPECT, OTHER, start + CW_SECONDS(2));
    ck_assert_uint_eq(cw_detours_via(detours, SUSPECT, start + CW_SECONDS(2)), OTHER);
    cw_detours_expire(detours, start + CW_SECONDS(60));
    ck_assert_uint_eq(cw_detours_count(detours, start + CW_SECONDS(60)), 0);
    cw_detours_free(detours);
}
END_TEST

/* ---- use by a node ---- */

static const char suspect_text[] = "10.1.0.1";
static const char intermediate_text[] = "10.1.0.2";

/* A node that knows two others, one of which counts as lost because nothing has been received from it. */
static node_fixture_t *create_node_with_lost_peer(void)
{
    node_fixture_t *node = node_fixture_create();
    uint32_t        sequence = 1;
    int             passed;

    node->router.configuration = node_fixture_configuration(1, "s");
    node->router.peer_timeout = CW_MS(CW_PEER_TIMEOUT_MS);
    node_fixture_receive_report(node, suspect_text, "z1", sequence);
    for (passed = 0; passed < RUN_MS; passed += 100) {
        node_fixture_receive_report(node, intermediate_text, "z1", ++sequence);
        node_fixture_tick(node, 100);
        cw_router_detours_tick(&node->router, cw_router_now(&node->router));
    }
    ck_assert(cw_peer_link_find(node->router.link, inet_addr(suspect_text))->is_lost);
    return node;
}

static uint64_t detours_sent(const node_fixture_t *node)
{
    const uint64_t *sent = cw_peer_link_traffic(node->router.link)->datagrams[CWP__DATAGRAM__CONTENT_DETOUR];

    return sent[CW_DISTANCE_ZONE] + sent[CW_DISTANCE_REGION] + sent[CW_DISTANCE_REMOTE];
}

static void receive_detour(node_fixture_t *node, const char *origin, uint32_t destination, bool is_probe)
{
    Cwp__Detour   detour = CWP__DETOUR__INIT;
    Cwp__Datagram datagram = CWP__DATAGRAM__INIT;

    detour.origin = inet_addr(origin);
    detour.destination = destination;
    detour.is_probe = is_probe;
    detour.node = "n";
    detour.zone = "z1";
    datagram.content_case = CWP__DATAGRAM__CONTENT_DETOUR;
    datagram.detour = &detour;
    node_fixture_receive(node, intermediate_text, &datagram);
}

static bool is_alive(node_fixture_t *node, const char *address)
{
    return cw_router_is_alive(&node->router, cw_peer_link_find(node->router.link, inet_addr(address)),
                              cw_router_now(&node->router));
}

/* Guards against a node that treats another one as down and counts in its place because it receives nothing from it
 * directly. */
START_TEST(a_lost_node_is_alive_while_another_one_reaches_it)
{
    node_fixture_t *node = create_node_with_lost_peer();
    uint32_t        own = cw_peer_link_own_address(node->router.link);

    ck_assert_uint_gt(detours_sent(node), 0);
    ck_assert(!is_alive(node, suspect_text));
    receive_detour(node, suspect_text, own, false);
    ck_assert(is_alive(node, suspect_text));
    cw_router_quota_update_nodes(node->router.quota, cw_router_now(&node->router));
    ck_assert_uint_eq(node->router.quota->candidate_count, 3);
    ck_assert_uint_eq(node->router.quota->in_reach, 3);
    node_fixture_free(node);
}
END_TEST

/* Guards against a share that is granted in place of a node which cannot receive: a received probe proves only that one
 * direction works. */
START_TEST(a_probe_is_answered_but_does_not_prove_that_the_node_is_alive)
{
    node_fixture_t *node = create_node_with_lost_peer();
    uint64_t        before = detours_sent(node);

    receive_detour(node, suspect_text, cw_peer_link_own_address(node->router.link), true);
    ck_assert_uint_eq(detours_sent(node), before + 1);
    ck_assert(!is_alive(node, suspect_text));
    node_fixture_free(node);
}
END_TEST

START_TEST(a_detour_has_exactly_one_intermediate_node)
{
    node_fixture_t *node = create_node_with_lost_peer();
    uint64_t        before = detours_sent(node);

    receive_detour(node, intermediate_text, inet_addr("10.1.0.9"), true); /* the destination is unknown to this node */
    /* The destination counts as lost at this node. */
    receive_detour(node, intermediate_text, inet_addr(suspect_text), true);
    ck_assert_uint_eq(detours_sent(node), before);
    node_fixture_receive_report(node, suspect_text, "z1", 2);
    receive_detour(node, intermediate_text, inet_addr(suspect_text), true);
    ck_assert_uint_eq(detours_sent(node), before + 1);
    receive_detour(node, "10.1.0.9", inet_addr(suspect_text), true); /* the datagram has been forwarded once already */
    ck_assert_uint_eq(detours_sent(node), before + 1);
    node_fixture_free(node);
}
END_TEST

static void receive_report_with_missed(node_fixture_t *node, uint32_t sequence, uint32_t missed)
{
    Cwp__NodeReport report = CWP__NODE_REPORT__INIT;
    Cwp__Datagram   datagram = CWP__DATAGRAM__INIT;

    report.node = (char *)intermediate_text;
    report.zone = "z1";
    report.incarnation = 1;
    report.sequence = sequence;
    report.missed = &missed;
    report.n_missed = 1;
    datagram.content_case = CWP__DATAGRAM__CONTENT_REPORT;
    datagram.report = &report;
    node_fixture_receive(node, intermediate_text, &datagram);
}

/* Guards against a share that is granted in place of a node which does not receive from this one and serves its own
 * share. */
START_TEST(a_node_that_does_not_receive_from_this_one_is_not_reachable)
{
    node_fixture_t *node = create_node_with_lost_peer();
    cw_peer_t      *peer = cw_peer_link_find(node->router.link, inet_addr(intermediate_text));

    ck_assert(cw_router_is_reachable(&node->router, peer, cw_router_now(&node->router)));
    receive_report_with_missed(node, 900, cw_peer_link_own_address(node->router.link));
    ck_assert(!cw_router_is_reachable(&node->router, peer, cw_router_now(&node->router)));
    ck_assert(cw_router_is_alive(&node->router, peer, cw_router_now(&node->router)));
    receive_report_with_missed(node, 901, inet_addr(suspect_text));
    ck_assert(cw_router_is_reachable(&node->router, peer, cw_router_now(&node->router)));
    node_fixture_free(node);
}
END_TEST

int main(void)
{
    Suite *suite = suite_create("detours");
    TCase *intervals = tcase_create("intervals");
    TCase *node = tcase_create("node");

    tcase_add_test(intervals, a_suspect_is_probed_three_times_before_it_counts_as_lost);
    tcase_add_test(intervals, an_unreachable_node_is_probed_less_often);
    tcase_add_test(intervals, probes_of_a_lost_zone_stay_within_the_rate_limit);
    tcase_add_test(intervals, a_detour_is_valid_for_a_second_after_a_datagram);
    tcase_add_test(node, a_lost_node_is_alive_while_another_one_reaches_it);
    tcase_add_test(node, a_probe_is_answered_but_does_not_prove_that_the_node_is_alive);
    tcase_add_test(node, a_detour_has_exactly_one_intermediate_node);
    tcase_add_test(node, a_node_that_does_not_receive_from_this_one_is_not_reachable);
    suite_add_tcase(suite, intervals);
    suite_add_tcase(suite, node);
    return cw_test_main(suite);
}
