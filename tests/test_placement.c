/**
 * @file test_placement.c
 * @brief Tests of the placement planner: even spread, minimal churn, bounds on moves, weights and hysteresis.
 */
#include <check.h>
#include <stdlib.h>
#include <string.h>

#include "cedarwinch/placement.h"

enum { SERVERS = 6, RANGES = 60 };

static cw_placement_server_t    servers[SERVERS];
static cw_placement_range_t     ranges[RANGES];
static Cw__PlacementWeights     weights;
static Cw__ServiceConfiguration service;
static cw_placement_input_t     input;
static cw_placement_result_t    result;

static void reset(void)
{
    static const char *const zones[] = {"a", "b", "c"};
    const uint64_t           width = UINT64_MAX / RANGES;
    size_t                   position;

    weights = (Cw__PlacementWeights)CW__PLACEMENT_WEIGHTS__INIT;
    weights.imbalance = weights.churn = weights.unavailable = 1.0;
    service = (Cw__ServiceConfiguration)CW__SERVICE_CONFIGURATION__INIT;
    service.weights = &weights;
    service.cold_start_ms = 1000;
    for (position = 0; position < SERVERS; position++) {
        servers[position].id = position + 1;
        servers[position].zone = zones[position % 3];
        servers[position].usable = true;
    }
    memset(ranges, 0, sizeof(ranges));
    for (position = 0; position < RANGES; position++) {
        ranges[position].id = position + 1;
        ranges[position].low = position * width;
        ranges[position].last = position + 1 == RANGES ? UINT64_MAX : (position + 1) * width - 1;
        ranges[position].load = 10;
        ranges[position].server = position % SERVERS + 1;
    }
    input = (cw_placement_input_t){.service = &service,
                                   .servers = servers,
                                   .server_count = SERVERS,
                                   .ranges = ranges,
                                   .range_count = RANGES,
                                   .moves_allowed = RANGES};
    memset(&result, 0, sizeof(result));
}

static void clear(void)
{
    cw_placement_result_clear(&result);
}

static void plan(void)
{
    cw_placement_result_clear(&result);
    ck_assert_int_eq(cw_placement_plan(&input, &result), 0);
}

/* Plans, and takes the moves into the ranges. */
static void plan_and_move(void)
{
    size_t position;

    plan();
    for (position = 0; position < result.move_count; position++) {
        ranges[result.moves[position].range].server = result.moves[position].to;
    }
}

static size_t ranges_of(cw_server_id_t server)
{
    size_t count = 0;
    size_t position;

    for (position = 0; position < RANGES; position++) {
        count += ranges[position].server == server ? 1 : 0;
    }
    return count;
}

START_TEST(new_ranges_are_spread_evenly_over_servers)
{
    size_t position;

    for (position = 0; position < RANGES; position++) {
        ranges[position].server = 0;
        ranges[position].load = 0;
    }
    plan_and_move();
    ck_assert_uint_eq(result.move_count, RANGES);
    for (position = 1; position <= SERVERS; position++) {
        ck_assert_uint_eq(ranges_of(position), RANGES / SERVERS);
    }
    ck_assert_double_eq(result.churn, 0);
    ck_assert_double_eq(result.imbalance_after, 1.0);
}
END_TEST

START_TEST(balanced_ranges_stay_in_spite_of_noise)
{
    size_t position;

    for (position = 0; position < RANGES; position++) {
        ranges[position].load = position % 7 < 3 ? 9 : 11;
    }
    plan();
    ck_assert_uint_eq(result.move_count, 0);
    weights.churn = weights.unavailable = 0; /* even when moves cost nothing */
    for (position = 0; position < RANGES; position++) {
        ranges[position].load =
            10 + (ranges[position].server == 1 ? 1.0 : 0) - (ranges[position].server == 2 ? 0.5 : 0);
    }
    plan();
    ck_assert_uint_eq(result.move_count, 0);
}
END_TEST

/* Server 1 at 1.4 of the mean: chance when few requests were counted, not when many were. */
START_TEST(a_difference_that_chance_explains_moves_nothing)
{
    size_t position;

    weights.churn = weights.unavailable = 0;
    for (position = 0; position < RANGES; position++) {
        ranges[position].load = ranges[position].server == 1 ? 0.15 : 0.1;
    }
    plan();
    ck_assert_uint_eq(result.move_count, 0);
    for (position = 0; position < RANGES; position++) {
        ranges[position].load *= 200;
    }
    plan();
    ck_assert_uint_gt(result.move_count, 0);
}
END_TEST

START_TEST(ranges_of_a_leaving_server_move_and_no_others)
{
    size_t position;

    servers[1].usable = false;
    input.moves_allowed = 0;
    plan_and_move();
    ck_assert_uint_eq(result.move_count, RANGES / SERVERS);
    for (position = 0; position < result.move_count; position++) {
        ck_assert(result.moves[position].forced);
        ck_assert_uint_eq(result.moves[position].range % SERVERS, 1);
    }
    ck_assert_double_eq_tol(result.churn, 1.0 / SERVERS, 0.001);
    for (position = 1; position <= SERVERS; position++) {
        ck_assert_uint_eq(ranges_of(position), position == 2 ? 0 : RANGES / (SERVERS - 1));
    }
}
END_TEST

START_TEST(a_joining_server_takes_its_share_and_nothing_else_moves)
{
    size_t position;

    for (position = 0; position < RANGES; position++) {
        ranges[position].server = position % (SERVERS - 1) + 1;
    }
    plan_and_move();
    ck_assert_uint_ge(result.move_count, RANGES / SERVERS - 2);
    ck_assert_uint_le(result.move_count, RANGES / SERVERS);
    for (position = 0; position < result.move_count; position++) {
        ck_assert_uint_eq(result.moves[position].to, SERVERS);
    }
    plan();
    ck_assert_uint_eq(result.move_count, 0);
}
END_TEST

START_TEST(moves_of_healthy_ranges_are_bounded_and_forced_ones_are_not)
{
    size_t position;

    for (position = 0; position < RANGES; position++) {
        ranges[position].server = position < RANGES / 2 ? 1 : 2;
    }
    servers[1].usable = false;
    input.moves_allowed = 2;
    plan();
    ck_assert_uint_eq(result.move_count, RANGES / 2 + 2);
    ck_assert_double_lt(result.imbalance_after, result.imbalance_before);
}
END_TEST

/* Server 1 carries half as much again as the others. */
static size_t moves_with_weights(double imbalance, double churn, double unavailable)
{
    size_t position;

    for (position = 0; position < RANGES; position++) {
        ranges[position].load = ranges[position].server == 1 ? 15 : 10;
    }
    weights.imbalance = imbalance;
    weights.churn = churn;
    weights.unavailable = unavailable;
    plan();
    return result.move_count;
}

START_TEST(weights_decide_whether_a_move_is_worth_it)
{
    size_t for_balance = moves_with_weights(4, 0.5, 0.5);

    ck_assert_uint_ge(for_balance, 2);
    ck_assert_double_lt(result.imbalance_after, 1.25);
    ck_assert_uint_eq(moves_with_weights(0.5, 4, 4), 0);
    ck_assert_double_gt(result.imbalance_after, 1.35);
}
END_TEST

START_TEST(unsteady_servers_take_ranges_only_when_no_other_can)
{
    size_t position;

    servers[1].usable = false;
    servers[2].unsteady = true;
    plan_and_move();
    ck_assert_uint_eq(result.move_count, RANGES / SERVERS);
    ck_assert_uint_eq(ranges_of(3), RANGES / SERVERS);
    for (position = 0; position < RANGES; position++) { /* lighter than the rest, yet nothing is moved there */
        ranges[position].load = ranges[position].server == 3 ? 1 : 10;
    }
    plan();
    ck_assert_uint_eq(result.move_count, 0);
    for (position = 0; position < SERVERS; position++) {
        servers[position].usable = position == 2;
    }
    plan_and_move();
    ck_assert_uint_eq(ranges_of(3), RANGES);
}
END_TEST

START_TEST(an_empty_server_is_not_filled_at_any_cost_while_servers_come_and_go)
{
    size_t position;

    weights.churn = weights.unavailable = 4;
    for (position = 0; position < RANGES; position++) {
        ranges[position].server = position % (SERVERS - 1) + 1;
    }
    input.unsettled = true;
    plan();
    ck_assert_uint_eq(result.move_count, 0);
    input.unsettled = false;
    plan();
    ck_assert_uint_gt(result.move_count, 0);
}
END_TEST

START_TEST(each_loss_makes_a_server_unsteady_for_longer)
{
    const cw_time_us_t    first = 1000 * (cw_time_us_t)CW_US_PER_S;
    const cw_time_us_t    half_minute = 30 * CW_US_PER_S;
    cw_placement_losses_t losses = {0};

    ck_assert(!cw_placement_is_unsteady(&losses, first));
    cw_placement_note_loss(&losses, first);
    ck_assert(cw_placement_is_unsteady(&losses, first + half_minute - 1));
    ck_assert(!cw_placement_is_unsteady(&losses, first + half_minute));
    cw_placement_note_loss(&losses, first + half_minute);
    ck_assert(cw_placement_is_unsteady(&losses, first + 3 * half_minute - 1));
    ck_assert(!cw_placement_is_unsteady(&losses, first + 3 * half_minute));
    cw_placement_note_loss(&losses, first + 100 * half_minute); /* long after: as if the first */
    ck_assert(!cw_placement_is_unsteady(&losses, first + 101 * half_minute));
}
END_TEST

START_TEST(a_single_hot_range_is_not_passed_around)
{
    ranges[0].load = 5000;
    plan_and_move();
    ck_assert_uint_eq(ranges[0].server, 1);
    plan();
    ck_assert_uint_eq(result.move_count, 0);
}
END_TEST

START_TEST(pinned_ranges_count_but_do_not_move)
{
    size_t position;

    for (position = 0; position < RANGES; position++) {
        ranges[position].server = position < RANGES / 2 ? 1 : 2;
        ranges[position].pinned = position < RANGES / 2;
    }
    servers[1].usable = false;
    plan_and_move();
    ck_assert_uint_eq(result.move_count, RANGES / 2);
    ck_assert_uint_eq(ranges_of(1), RANGES / 2);
}
END_TEST

START_TEST(nothing_moves_without_a_usable_server)
{
    size_t position;

    for (position = 0; position < SERVERS; position++) {
        servers[position].usable = false;
    }
    plan();
    ck_assert_uint_eq(result.move_count, 0);
}
END_TEST

/* Server 1 is far above the mean and cannot be relieved; servers 2 and 3 below it are at 120 and 80. */
START_TEST(servers_below_the_mean_do_not_trade_ranges)
{
    size_t position;

    weights.churn = weights.unavailable = 0;
    for (position = 0; position < RANGES; position++) {
        ranges[position].load = ranges[position].server == 2 ? 12 : ranges[position].server == 3 ? 8 : 10;
        ranges[position].pinned = ranges[position].server == 1;
    }
    ranges[0].load = 200;
    plan();
    ck_assert_uint_eq(result.move_count, 0);
    ranges[0].load = 10;
    plan();
    ck_assert_uint_gt(result.move_count, 0);
}
END_TEST

/* Range 11 is a single key between two halves of one configured range. */
static cw_placement_range_t *cut_out_a_key(void)
{
    cw_placement_range_t *parts = &ranges[10];

    service.ranges_per_server = RANGES / SERVERS - 1;
    parts[1].server = parts[2].server = parts[0].server;
    parts[1].last = parts[1].low;
    parts[2].low = parts[1].last + 1;
    parts[0].load = parts[1].load = parts[2].load = 1;
    return parts;
}

START_TEST(cold_neighbours_are_merged)
{
    cw_placement_range_t *parts = cut_out_a_key();
    cw_placement_merge_t  merge;

    ck_assert(cw_placement_choose_merge(&input, &merge));
    ck_assert_uint_eq(merge.left, 10);
    ck_assert(!merge.move_first);
    parts[1].server = parts[0].server % SERVERS + 1;
    ck_assert(cw_placement_choose_merge(&input, &merge));
    ck_assert(merge.move_first);
    ck_assert_uint_eq(merge.moved, 11);
    ck_assert_uint_eq(merge.to, parts[0].server);
}
END_TEST

START_TEST(warm_pinned_wide_and_non_repeatable_ranges_are_not_merged)
{
    cw_placement_range_t *parts = cut_out_a_key();
    cw_placement_merge_t  merge;

    parts[1].hot_load = 100;
    ck_assert(!cw_placement_choose_merge(&input, &merge));
    parts[1].hot_load = 0;
    parts[1].load = 100;
    ck_assert(!cw_placement_choose_merge(&input, &merge));
    parts[1].load = 1;
    parts[1].pinned = true;
    ck_assert(!cw_placement_choose_merge(&input, &merge));
    parts[1].pinned = false;
    service.n_non_repeatable = 1;
    ck_assert(!cw_placement_choose_merge(&input, &merge));
    service.n_non_repeatable = 0;
    service.ranges_per_server = RANGES / SERVERS; /* no more than configured */
    ck_assert(!cw_placement_choose_merge(&input, &merge));
}
END_TEST

int main(void)
{
    Suite   *suite = suite_create("placement");
    TCase   *tests = tcase_create("placement");
    SRunner *runner = srunner_create(suite);
    int      failed;

    tcase_add_checked_fixture(tests, reset, clear);
    tcase_add_test(tests, new_ranges_are_spread_evenly_over_servers);
    tcase_add_test(tests, balanced_ranges_stay_in_spite_of_noise);
    tcase_add_test(tests, a_difference_that_chance_explains_moves_nothing);
    tcase_add_test(tests, ranges_of_a_leaving_server_move_and_no_others);
    tcase_add_test(tests, a_joining_server_takes_its_share_and_nothing_else_moves);
    tcase_add_test(tests, moves_of_healthy_ranges_are_bounded_and_forced_ones_are_not);
    tcase_add_test(tests, weights_decide_whether_a_move_is_worth_it);
    tcase_add_test(tests, unsteady_servers_take_ranges_only_when_no_other_can);
    tcase_add_test(tests, an_empty_server_is_not_filled_at_any_cost_while_servers_come_and_go);
    tcase_add_test(tests, each_loss_makes_a_server_unsteady_for_longer);
    tcase_add_test(tests, a_single_hot_range_is_not_passed_around);
    tcase_add_test(tests, pinned_ranges_count_but_do_not_move);
    tcase_add_test(tests, nothing_moves_without_a_usable_server);
    tcase_add_test(tests, servers_below_the_mean_do_not_trade_ranges);
    tcase_add_test(tests, cold_neighbours_are_merged);
    tcase_add_test(tests, warm_pinned_wide_and_non_repeatable_ranges_are_not_merged);
    suite_add_tcase(suite, tests);
    srunner_run_all(runner, CK_NORMAL);
    failed = srunner_ntests_failed(runner);
    srunner_free(runner);
    return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
