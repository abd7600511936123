/**
 * @file test_node_paths.c
 * @brief A node that reaches no server: it does not lead while another node can, moves no keys, and says so.
 */
#include <string.h>

#include "loop_fixture.h"
#include "node_fixture.h"
#include "router/router_paths.h"

enum { SERVERS = 6, PEER_SEQUENCES = 800, FOLLOWER_SEQUENCES = 100 };

static const char peer[] = "10.9.0.2";
static const char other_peer[] = "10.9.0.3";

/* Delivers a report of another node that states its paths. */
static void receive_paths(node_fixture_t *node, Cwp__ServerPaths paths, uint32_t sequence)
{
    Cwp__Datagram   datagram = CWP__DATAGRAM__INIT;
    Cwp__NodeReport report = CWP__NODE_REPORT__INIT;

    report.node = (char *)peer;
    report.zone = (char *)"z1";
    report.incarnation = 5;
    report.sequence = sequence;
    report.paths = paths;
    datagram.content_case = CWP__DATAGRAM__CONTENT_REPORT;
    datagram.report = &report;
    node_fixture_receive(node, peer, &datagram);
}

/* A leader of several servers, all of which have taken their grants. */
static node_fixture_t *create_leader(void)
{
    node_fixture_t     *node = node_fixture_create();
    cw_configuration_t *configuration = node_fixture_configuration(1, "docks");

    cw_router_apply_configuration(&node->router, configuration, "test");
    node_fixture_read_servers(node, "docks", SERVERS, "10.0.0.1:80");
    node_fixture_lead(node);
    ck_assert(node->router.leadership.leading);
    return node;
}

/* Lets 16 seconds pass in which no server answers, and another node reports its paths. */
static void lose_paths(node_fixture_t *node, Cwp__ServerPaths paths_of_peer)
{
    uint32_t sequence;

    node->servers_answer_probes = false;
    cw_router_paths_record_order(&node->router, "docks", false);
    cw_router_paths_record_order(&node->router, "docks", false);
    for (sequence = 1; sequence <= PEER_SEQUENCES; sequence++) {
        receive_paths(node, paths_of_peer, sequence);
        node_fixture_tick(node, CW_TICK_MS);
        node_fixture_answer_store(node);
        node_fixture_answer_orders(node, CW_ORDER_UNANSWERED);
    }
    ck_assert(cw_router_has_lost_paths(&node->router, cw_name_hash("docks")));
}

START_TEST(a_leader_that_reaches_no_server_steps_down_for_a_node_that_may)
{
    node_fixture_t *node = create_leader();

    lose_paths(node, CWP__SERVER_PATHS__PATHS_UNKNOWN);
    ck_assert(!node->router.leadership.leading);
    node_fixture_free(node);
}
END_TEST

START_TEST(a_leader_stays_if_no_other_node_reaches_servers_either)
{
    node_fixture_t *node = create_leader();

    lose_paths(node, CWP__SERVER_PATHS__PATHS_LOST);
    ck_assert(node->router.leadership.leading);
    node_fixture_free(node);
}
END_TEST

/* Its orders fail, so all owners would seem lost. */
START_TEST(a_leader_that_reaches_no_server_moves_no_keys)
{
    node_fixture_t *node = create_leader();
    uint64_t        moves = cw_metric_value(CW_METRIC_MOVES);

    lose_paths(node, CWP__SERVER_PATHS__PATHS_LOST);
    ck_assert_uint_eq(cw_metric_value(CW_METRIC_MOVES), moves);
    node_fixture_free(node);
}
END_TEST

START_TEST(a_node_without_paths_takes_the_lock_later_than_others)
{
    node_fixture_t *node = create_leader();

    ck_assert_int_eq(node->router.leadership.take_delay, 0);
    lose_paths(node, CWP__SERVER_PATHS__PATHS_OPEN);
    ck_assert_int_ge(node->router.leadership.take_delay, CW_SECONDS(1));
    cw_router_paths_record_order(&node->router, "docks", true);
    node_fixture_tick(node, CW_TICK_MS);
    ck_assert_int_eq(node->router.leadership.take_delay, 0);
    node_fixture_free(node);
}
END_TEST

/* A follower that hears of no leader, while another node states its paths. Returns whether it leads after 2 s, well
 * below the time that a node which knows its loss leaves to others. */
static bool leads_beside(Cwp__ServerPaths paths_of_peer, bool servers_answer_probes)
{
    node_fixture_t *node = node_fixture_create();
    uint32_t        sequence;
    bool            leads;

    cw_router_apply_configuration(&node->router, node_fixture_configuration(1, "docks"), "test");
    node_fixture_read_servers(node, "docks", SERVERS, "10.0.0.1:80");
    node->servers_answer_probes = servers_answer_probes;
    for (sequence = 1; sequence <= FOLLOWER_SEQUENCES; sequence++) {
        receive_paths(node, paths_of_peer, sequence);
        node_fixture_receive_report(node, other_peer, "z1", sequence);
        node_fixture_tick(node, CW_TICK_MS);
        node_fixture_answer_store(node);
        node_fixture_answer_orders(node, CW_ORDER_DONE);
    }
    leads = node->router.leadership.leading;
    node_fixture_free(node);
    return leads;
}

/* Guards against a series of leaders that are cut off, each of which finds its loss only by its orders. */
START_TEST(a_node_leads_after_one_that_is_cut_off_only_if_it_reaches_a_server)
{
    ck_assert(!leads_beside(CWP__SERVER_PATHS__PATHS_LOST, false));
    ck_assert(leads_beside(CWP__SERVER_PATHS__PATHS_LOST, true));
    ck_assert(leads_beside(CWP__SERVER_PATHS__PATHS_UNKNOWN, false)); /* nobody has lost paths: nothing is asked */
}
END_TEST

START_TEST(a_node_states_its_paths)
{
    node_fixture_t *node = create_leader();

    ck_assert_int_eq(cw_router_own_paths(&node->router, cw_router_now(&node->router)).state,
                     CWP__SERVER_PATHS__PATHS_OPEN);
    lose_paths(node, CWP__SERVER_PATHS__PATHS_OPEN);
    ck_assert_int_eq(cw_router_own_paths(&node->router, cw_router_now(&node->router)).state,
                     CWP__SERVER_PATHS__PATHS_LOST);
    node_fixture_free(node);
}
END_TEST

/* It would refuse all requests, and other nodes may be able to serve them. */
START_TEST(a_node_is_ready_while_it_or_a_node_that_it_knows_reaches_servers)
{
    node_fixture_t *node = create_leader();

    cw_fleet_size_record(&node->router.fleet_size, 2);
    ck_assert(cw_router_is_ready(&node->router, cw_router_now(&node->router)));
    lose_paths(node, CWP__SERVER_PATHS__PATHS_OPEN);
    ck_assert(cw_router_is_ready(&node->router, cw_router_now(&node->router)));
    receive_paths(node, CWP__SERVER_PATHS__PATHS_LOST, PEER_SEQUENCES + 1);
    ck_assert(!cw_router_is_ready(&node->router, cw_router_now(&node->router)));
    cw_router_paths_record_order(&node->router, "docks", true);
    ck_assert(cw_router_is_ready(&node->router, cw_router_now(&node->router)));
    node_fixture_free(node);
}
END_TEST

START_TEST(the_only_node_of_a_fleet_stays_ready)
{
    node_fixture_t *node = create_leader();

    lose_paths(node, CWP__SERVER_PATHS__PATHS_LOST);
    node->router.fleet_size.announced = 1;
    ck_assert(cw_router_is_ready(&node->router, cw_router_now(&node->router)));
    node_fixture_free(node);
}
END_TEST

int main(void)
{
    Suite *suite = suite_create("node_paths");
    TCase *cases = tcase_create("node_paths");

    tcase_add_test(cases, a_leader_that_reaches_no_server_steps_down_for_a_node_that_may);
    tcase_add_test(cases, a_leader_stays_if_no_other_node_reaches_servers_either);
    tcase_add_test(cases, a_leader_that_reaches_no_server_moves_no_keys);
    tcase_add_test(cases, a_node_without_paths_takes_the_lock_later_than_others);
    tcase_add_test(cases, a_node_leads_after_one_that_is_cut_off_only_if_it_reaches_a_server);
    tcase_add_test(cases, a_node_states_its_paths);
    tcase_add_test(cases, a_node_is_ready_while_it_or_a_node_that_it_knows_reaches_servers);
    tcase_add_test(cases, the_only_node_of_a_fleet_stays_ready);
    suite_add_tcase(suite, cases);
    return cw_test_main(suite);
}
