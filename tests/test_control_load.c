/**
 * @file test_control_load.c
 * @brief Tests of what the leader knows of the ranges' loads: who is believed, and what is carried on.
 */
#include <check.h>
#include <stdlib.h>

#include "cedarwinch/error.h"
#include "common/control_cluster.h"
#include "core/control_internal.h"

enum { SECOND = CW_US_PER_S, LEASE_MS = 1500, SERVERS = 4 };

static void begin(void)
{
    cluster_create(1, LEASE_MS);
    cluster_accept(SERVERS);
    ck_assert(cluster_run_until(cluster_settled, 5 * SECOND));
}

static const Cw__RangeInfo *range_at(cw_key_hash_t key)
{
    return cw_control_state_find_range(cluster_state(), cluster_service(), key);
}

static cw_node_id_t forwarder_at(cw_key_hash_t key)
{
    return cw_control_state_server(cluster_state(), range_at(key)->server)->forwarder;
}

static double load_at(cw_key_hash_t key)
{
    return cw_control_range_load(cluster_leader()->control, range_at(key)->id);
}

static void tell(cw_node_id_t node, cw_key_hash_t key, double load, double hot_load)
{
    Cw__KeyLoad   hot = CW__KEY_LOAD__INIT;
    Cw__KeyLoad  *hot_list[] = {&hot};
    Cw__RangeLoad message = CW__RANGE_LOAD__INIT;

    hot.key_hash = key;
    hot.requests_per_second = hot_load;
    message.range = range_at(key)->id;
    message.requests_per_second = load;
    message.n_hot_keys = hot_load > 0 ? 1 : 0;
    message.hot_keys = hot_list;
    cw_agent_report_load(cluster.nodes[node - 1].agent, &message);
}

START_TEST(only_the_forwarder_is_believed)
{
    cw_node_id_t other = forwarder_at(1) % CLUSTER_NODES + 1;

    tell(forwarder_at(1), 1, 10, 0);
    tell(other, 1, 500, 0);
    cluster_run(SECOND);
    ck_assert_double_eq_tol(load_at(1), 10, 0.001);
}
END_TEST

START_TEST(load_is_carried_on_when_the_forwarder_changes)
{
    cw_node_id_t  former;
    cw_key_hash_t key = 1;

    while (forwarder_at(key) == cluster_leader()->info.id) {
        key += UINT64_MAX / 16;
    }
    former = forwarder_at(key);
    tell(former, key, 10, 0);
    cluster_run(SECOND);
    cluster_stop_node(former - 1);
    cluster_run(3 * SECOND);
    ck_assert_uint_ne(forwarder_at(key), former);
    tell(forwarder_at(key), key, 1, 0);
    cluster_run(SECOND);
    ck_assert_double_gt(load_at(key), 9.5);
    ck_assert_double_lt(load_at(key), 11);
}
END_TEST

/* Lost until its leases are over; it comes back empty, and takes ranges again half a minute after the loss. */
START_TEST(a_lost_server_takes_no_ranges_for_a_while)
{
    cluster.servers[0].cut = true;
    cluster_run(5 * SECOND);
    ck_assert_uint_eq(cluster_ranges_of(0), 0);
    cluster.servers[0].cut = false;
    cluster_run(15 * SECOND);
    ck_assert_uint_eq(cluster_ranges_of(0), 0);
    cluster_run(80 * SECOND);
    ck_assert_uint_gt(cluster_ranges_of(0), 0);
}
END_TEST

/* Expected to go, so it takes ranges at once when it is back. */
START_TEST(a_server_that_drained_is_not_held_back)
{
    cluster.servers[0].draining = true;
    cluster_run(5 * SECOND);
    ck_assert_uint_eq(cluster_ranges_of(0), 0);
    cluster.servers[0].cut = true;
    cluster_run(5 * SECOND);
    cluster.servers[0].cut = false;
    cluster.servers[0].draining = false;
    cluster_restart_server(0);
    cluster_run(2 * SECOND);
    cluster.servers[1].draining = true;
    cluster_run(5 * SECOND);
    ck_assert_uint_gt(cluster_ranges_of(0), 0);
}
END_TEST

static bool split_done(void)
{
    return range_at(12345)->low == range_at(12345)->last;
}

START_TEST(parts_of_a_split_begin_with_the_load_of_the_whole)
{
    tell(forwarder_at(12345), 12345, 100, 90);
    ck_assert(cluster_run_until(split_done, 8 * SECOND));
    ck_assert_double_eq_tol(load_at(12345), 90, 5);
    ck_assert_double_eq_tol(load_at(12346), 10, 1);
    ck_assert_double_lt(load_at(12344), 0.1);
}
END_TEST

static bool merged(void)
{
    return range_at(12345)->low == 0 && range_at(12345)->last > 12345;
}

static void tell_load_of_key(double load)
{
    tell(forwarder_at(12344), 12344, 0, 0);
    tell(forwarder_at(12345), 12345, load, load);
    tell(forwarder_at(12346), 12346, 0, 0);
}

START_TEST(a_cooled_key_becomes_part_of_its_neighbours_again)
{
    const cw_key_hash_t last = range_at(12345)->last;
    size_t              seconds;

    tell(forwarder_at(12345), 12345, 100, 90);
    ck_assert(cluster_run_until(split_done, 8 * SECOND));
    for (seconds = 0; seconds < 20; seconds++) { /* hot: stays apart */
        tell_load_of_key(90);
        cluster_run(SECOND);
    }
    ck_assert(split_done());
    for (seconds = 0; seconds < 120 && !merged(); seconds++) {
        tell_load_of_key(0);
        cluster_run(SECOND);
    }
    ck_assert(merged());
    cluster_run(20 * SECOND);
    ck_assert(cluster_settled());
    ck_assert_uint_eq(range_at(12345)->last, last);
    ck_assert_int_gt(range_at(12345)->journal_valid_from_ms, 0);
}
END_TEST

int main(void)
{
    Suite   *suite = suite_create("control_load");
    TCase   *tests = tcase_create("control_load");
    SRunner *runner = srunner_create(suite);
    int      failed;

    tcase_add_checked_fixture(tests, begin, cluster_free);
    tcase_add_test(tests, only_the_forwarder_is_believed);
    tcase_add_test(tests, load_is_carried_on_when_the_forwarder_changes);
    tcase_add_test(tests, a_lost_server_takes_no_ranges_for_a_while);
    tcase_add_test(tests, a_server_that_drained_is_not_held_back);
    tcase_add_test(tests, parts_of_a_split_begin_with_the_load_of_the_whole);
    tcase_add_test(tests, a_cooled_key_becomes_part_of_its_neighbours_again);
    suite_add_tcase(suite, tests);
    srunner_run_all(runner, CK_NORMAL);
    failed = srunner_ntests_failed(runner);
    srunner_free(runner);
    return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
