/**
 * @file test_fleet_size.c
 * @brief Tests when a process that has just started knows the number of nodes.
 *
 * Guards against needless refusals after a power loss: all of 81 nodes lose power and come back within a second, while
 * callers go on sending requests. Every request that the nodes refuse until they know one another was within its limit.
 */
#include <check.h>
#include <stdlib.h>

#include "lease/leadership.h"
#include "router/fleet_size.h"

static const cw_time_us_t counting = CW_SECONDS(10);

static cw_fleet_size_t started(void)
{
    cw_fleet_size_t fleet;

    cw_fleet_size_init(&fleet, counting, CW_SECONDS(100));
    return fleet;
}

START_TEST(without_an_announced_number_the_fleet_is_reached_after_a_bounded_time)
{
    cw_fleet_size_t fleet = started();

    ck_assert(!cw_fleet_size_is_reached(&fleet, 1, CW_SECONDS(100)));
    ck_assert(!cw_fleet_size_is_reached(&fleet, 200, CW_MS(102999)));
    ck_assert(cw_fleet_size_is_reached(&fleet, 1, CW_MS(103000)));
}
END_TEST

START_TEST(the_fleet_is_reached_with_nearly_all_of_the_announced_nodes)
{
    cw_fleet_size_t fleet = started();

    cw_fleet_size_record(&fleet, 81);
    ck_assert(!cw_fleet_size_is_reached(&fleet, 72, CW_MS(100500)));
    ck_assert(cw_fleet_size_is_reached(&fleet, 73, CW_MS(100500)));
}
END_TEST

START_TEST(a_part_of_a_divided_fleet_waits_and_uses_the_number_of_the_whole)
{
    cw_fleet_size_t fleet = started();

    cw_fleet_size_record(&fleet, 81);
    ck_assert(!cw_fleet_size_is_reached(&fleet, 41, CW_MS(102999)));
    ck_assert(cw_fleet_size_is_reached(&fleet, 41, CW_MS(103000)));
    ck_assert_uint_eq(cw_fleet_size_nodes(&fleet, 41, CW_MS(103000)), 81);
}
END_TEST

START_TEST(the_own_count_replaces_the_announced_number)
{
    cw_fleet_size_t fleet = started();

    cw_fleet_size_record(&fleet, 81);
    ck_assert_uint_eq(cw_fleet_size_nodes(&fleet, 90, CW_SECONDS(101)), 90);
    ck_assert_uint_eq(cw_fleet_size_nodes(&fleet, 20, CW_SECONDS(109)), 81);
    ck_assert_uint_eq(cw_fleet_size_nodes(&fleet, 20, CW_SECONDS(110)), 20);
}
END_TEST

START_TEST(a_leader_without_a_number_changes_nothing)
{
    cw_fleet_size_t fleet = started();

    cw_fleet_size_record(&fleet, 81);
    cw_fleet_size_record(&fleet, 0);
    ck_assert_uint_eq(cw_fleet_size_nodes(&fleet, 1, CW_SECONDS(101)), 81);
}
END_TEST

START_TEST(a_new_leader_announces_the_number_of_its_predecessor_or_none)
{
    cw_fleet_size_t fleet = started();

    ck_assert_uint_eq(cw_fleet_size_to_announce(&fleet, 12, CW_MS(109999)), 0);
    ck_assert_uint_eq(cw_fleet_size_to_announce(&fleet, 12, CW_SECONDS(110)), 12);
    cw_fleet_size_record(&fleet, 81);
    ck_assert_uint_eq(cw_fleet_size_to_announce(&fleet, 12, CW_SECONDS(101)), 81);
}
END_TEST

START_TEST(the_number_that_a_leader_announces_falls_slowly)
{
    cw_fleet_size_t fleet = started();

    ck_assert_uint_eq(cw_fleet_size_to_announce(&fleet, 81, CW_SECONDS(120)), 81);
    ck_assert_uint_eq(cw_fleet_size_to_announce(&fleet, 1, CW_SECONDS(150)),
                      81); /* the leader is cut off from all other nodes */
    ck_assert_uint_eq(cw_fleet_size_to_announce(&fleet, 1, CW_SECONDS(180)), 40);
    ck_assert_uint_eq(cw_fleet_size_to_announce(&fleet, 1, CW_SECONDS(239)), 40);
    ck_assert_uint_eq(cw_fleet_size_to_announce(&fleet, 82, CW_SECONDS(239)), 82);
    ck_assert_uint_eq(cw_fleet_size_to_announce(&fleet, 70, CW_SECONDS(300)), 70); /* an operator has removed nodes */
}
END_TEST

START_TEST(a_smaller_announced_number_replaces_a_larger_one)
{
    cw_fleet_size_t fleet = started();

    cw_fleet_size_record(&fleet, 81);
    cw_fleet_size_record(&fleet, 20);
    ck_assert(cw_fleet_size_is_reached(&fleet, 18, CW_MS(100500)));
    ck_assert_uint_eq(cw_fleet_size_nodes(&fleet, 18, CW_MS(100500)), 20);
}
END_TEST

/* ---- the number in the lock ---- */

START_TEST(the_lock_carries_the_number_to_the_next_leader)
{
    cw_leadership_settings_t settings = {.node = "n1", .incarnation = 7, .hold = CW_SECONDS(3)};
    cw_leadership_t          leadership;
    cw_lock_t                parsed = {.nodes = 0};
    json_t                  *value;

    cw_leadership_init(&leadership, &settings, CW_SECONDS(100));
    cw_leadership_set_nodes(&leadership, 81);
    leadership.absent = true;
    ck_assert_int_eq(cw_leadership_tick(&leadership, CW_SECONDS(100)), CW_LEADERSHIP_CREATE);
    value = cw_lock_to_json(&leadership.write);
    ck_assert(cw_lock_from_json(&parsed, value));
    ck_assert_uint_eq(parsed.nodes, 81);
    json_decref(value);
}
END_TEST

START_TEST(a_lock_with_a_missing_or_invalid_number_is_accepted)
{
    cw_lock_t lock = {.node = "n1", .address = "127.0.0.1", .term = 3, .nodes = 81};
    cw_lock_t parsed = {.nodes = 5};
    json_t   *value = cw_lock_to_json(&lock);

    json_object_del(value, "nodes");
    ck_assert(cw_lock_from_json(&parsed, value));
    ck_assert_uint_eq(parsed.nodes, 0);
    json_object_set_new(value, "nodes", json_integer(-4));
    ck_assert(cw_lock_from_json(&parsed, value));
    ck_assert_uint_eq(parsed.nodes, 0);
    json_object_set_new(value, "nodes", json_string("many"));
    ck_assert(cw_lock_from_json(&parsed, value));
    ck_assert_uint_eq(parsed.nodes, 0);
    ck_assert_uint_eq(parsed.term, 3);
    json_decref(value);
}
END_TEST

int main(void)
{
    Suite   *suite = suite_create("fleet_size");
    TCase   *cases = tcase_create("fleet_size");
    SRunner *runner;
    int      failed;

    tcase_add_test(cases, without_an_announced_number_the_fleet_is_reached_after_a_bounded_time);
    tcase_add_test(cases, the_fleet_is_reached_with_nearly_all_of_the_announced_nodes);
    tcase_add_test(cases, a_part_of_a_divided_fleet_waits_and_uses_the_number_of_the_whole);
    tcase_add_test(cases, the_own_count_replaces_the_announced_number);
    tcase_add_test(cases, a_leader_without_a_number_changes_nothing);
    tcase_add_test(cases, a_new_leader_announces_the_number_of_its_predecessor_or_none);
    tcase_add_test(cases, the_number_that_a_leader_announces_falls_slowly);
    tcase_add_test(cases, a_smaller_announced_number_replaces_a_larger_one);
    tcase_add_test(cases, the_lock_carries_the_number_to_the_next_leader);
    tcase_add_test(cases, a_lock_with_a_missing_or_invalid_number_is_accepted);
    suite_add_tcase(suite, cases);
    runner = srunner_create(suite);
    srunner_run_all(runner, CK_NORMAL);
    failed = srunner_ntests_failed(runner);
    srunner_free(runner);
    return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
