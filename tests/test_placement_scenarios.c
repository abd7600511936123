/**
 * @file test_placement_scenarios.c
 * @brief Tests of the placement benchmark's model, and of the planner in short runs of it.
 */
#include <check.h>
#include <stdlib.h>
#include <string.h>

#include "../bench/placement/model.h"

enum { SHORT_S = 240 };

static bench_result_t result;
static bench_result_t other;

static bench_scenario_t shortened(const char *name)
{
    bench_scenario_t scenario = *bench_find_scenario(name);

    scenario.duration_s = SHORT_S;
    return scenario;
}

static void run(const bench_scenario_t *scenario, const char *planner, bench_result_t *into)
{
    ck_assert_int_eq(bench_run(scenario, bench_find_planner(planner), 1, into), 0);
}

START_TEST(a_seed_replays_exactly)
{
    bench_scenario_t scenario = shortened("light-load");

    run(&scenario, "present", &result);
    run(&scenario, "present", &other);
    ck_assert_mem_eq(&result, &other, sizeof(result));
    ck_assert_int_eq(bench_run(&scenario, bench_find_planner("present"), 2, &other), 0);
    ck_assert_mem_ne(&result, &other, sizeof(result));
}
END_TEST

START_TEST(planners_meet_the_same_requests)
{
    bench_scenario_t scenario = shortened("light-load");

    run(&scenario, "present", &result);
    run(&scenario, "ring", &other);
    ck_assert_uint_eq(result.requests, other.requests);
    ck_assert_uint_eq(other.moves, 0);
}
END_TEST

/* The ring moves the least there is: one departure of 14 servers and the return. */
START_TEST(forced_moves_are_counted)
{
    bench_scenario_t scenario = shortened("rolling-restart-map");

    scenario.duration_s = 160;
    run(&scenario, "ring", &result);
    ck_assert_double_eq_tol(result.least_turnovers, 2.0 / 14 * 36, 0.01);
    ck_assert_double_eq_tol(result.turnovers, result.least_turnovers, 0.25 * result.least_turnovers);
    ck_assert_double_gt(result.unavailable_total_s, 0);
}
END_TEST

START_TEST(keys_of_a_silent_server_are_unavailable_until_its_leases_are_over)
{
    bench_scenario_t scenario = shortened("flapping-map");

    scenario.duration_s = 130;
    run(&scenario, "ring", &result);
    ck_assert_uint_gt(result.failed, 0);
    ck_assert_double_gt(result.unavailable_p99_s, 1.5);
    ck_assert_double_lt(result.unavailable_p99_s, 3.0);
    ck_assert_double_eq(result.unavailable_p50_s, 0);
}
END_TEST

START_TEST(a_wandering_hot_spot_is_balanced_better_than_by_hashing)
{
    bench_scenario_t scenario = shortened("rush-hour");

    run(&scenario, "present", &result);
    run(&scenario, "ring", &other);
    ck_assert_double_lt(result.imbalance, other.imbalance);
    ck_assert_double_lt(result.score, other.score);
}
END_TEST

START_TEST(hot_keys_get_ranges_of_their_own_within_a_minute)
{
    bench_scenario_t scenario = shortened("hearing");

    scenario.duration_s = 400; /* other keys become hot at 300 s */
    run(&scenario, "present", &result);
    ck_assert_double_gt(result.split_late_s, 0);
    ck_assert_double_lt(result.split_late_s, 60);
    run(&scenario, "ring", &other);
    ck_assert_double_gt(other.split_late_s, 60);
}
END_TEST

START_TEST(a_rolling_restart_moves_little_more_than_it_has_to)
{
    bench_scenario_t scenario = shortened("rolling-restart-map");

    run(&scenario, "present", &result);
    ck_assert_double_gt(result.turnovers, 0);
    ck_assert_double_lt(result.turnovers, 1.5 * result.least_turnovers);
    ck_assert_double_lt(result.imbalance, 1.15);
    run(&scenario, "first", &other);
    ck_assert_double_gt(other.turnovers, 1.5 * other.least_turnovers);
}
END_TEST

START_TEST(a_flapping_server_gets_little_back)
{
    bench_scenario_t scenario = shortened("flapping-map");

    run(&scenario, "present", &result);
    run(&scenario, "ring", &other);
    ck_assert_double_gt(result.turnovers, 0);
    ck_assert_double_lt(result.turnovers, 0.5 * other.turnovers);
    ck_assert_double_lt(result.unavailable_total_s, 0.5 * other.unavailable_total_s);
}
END_TEST

START_TEST(cooled_ranges_are_merged)
{
    bench_scenario_t scenario = shortened("hearing");

    scenario.duration_s = 700;
    run(&scenario, "present", &result);
    ck_assert_uint_gt(result.ranges_most, 320 + 16); /* configured, and two for each hot key */
    ck_assert_uint_lt(result.ranges_end, 320 + 2 * 16);
}
END_TEST

START_TEST(a_light_load_is_left_alone)
{
    bench_scenario_t scenario = shortened("light-load");

    run(&scenario, "present", &result);
    run(&scenario, "first", &other);
    ck_assert_uint_eq(result.moves, 0);
    ck_assert_uint_gt(other.moves, 0);
}
END_TEST

int main(void)
{
    Suite   *suite = suite_create("placement_scenarios");
    TCase   *tests = tcase_create("placement_scenarios");
    SRunner *runner = srunner_create(suite);
    int      failed;

    tcase_set_timeout(tests, 60);
    tcase_add_test(tests, a_seed_replays_exactly);
    tcase_add_test(tests, planners_meet_the_same_requests);
    tcase_add_test(tests, forced_moves_are_counted);
    tcase_add_test(tests, keys_of_a_silent_server_are_unavailable_until_its_leases_are_over);
    tcase_add_test(tests, a_wandering_hot_spot_is_balanced_better_than_by_hashing);
    tcase_add_test(tests, hot_keys_get_ranges_of_their_own_within_a_minute);
    tcase_add_test(tests, a_rolling_restart_moves_little_more_than_it_has_to);
    tcase_add_test(tests, a_flapping_server_gets_little_back);
    tcase_add_test(tests, cooled_ranges_are_merged);
    tcase_add_test(tests, a_light_load_is_left_alone);
    suite_add_tcase(suite, tests);
    srunner_run_all(runner, CK_NORMAL);
    failed = srunner_ntests_failed(runner);
    srunner_free(runner);
    return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
