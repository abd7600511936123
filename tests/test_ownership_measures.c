/**
 * @file test_ownership_measures.c
 * @brief Tests of imbalance, churn and unavailable time with known ranges and loads.
 */
#include <stdio.h>
#include <string.h>

#include "loop_fixture.h"
#include "placement/ownership_measures.h"

static cw_ownership_measures_t measures;
static cw_range_list_t         ranges;

static void setup(void)
{
    memset(&measures, 0, sizeof(measures));
    memset(&ranges, 0, sizeof(ranges));
}

static void teardown(void)
{
    cw_ownership_measures_clear(&measures);
    cw_range_list_clear(&ranges);
}

static cw_range_t *add_range(uint32_t low, uint32_t last, const char *owner)
{
    cw_range_t *range = cw_range_list_add(&ranges);

    range->low = low;
    range->last = last;
    snprintf(range->owner.id, sizeof(range->owner.id), "%s", owner);
    range->phase = CW_RANGE_HELD;
    return range;
}

static void start_move(cw_range_t *range, const char *owner)
{
    range->former = range->owner;
    snprintf(range->owner.id, sizeof(range->owner.id), "%s", owner);
    range->phase = CW_RANGE_RELEASING;
}

static void end_move(cw_range_t *range, const char *handover)
{
    memset(&range->former, 0, sizeof(range->former));
    snprintf(range->handover, sizeof(range->handover), "%s", handover);
    range->phase = CW_RANGE_HELD;
}

START_TEST(the_first_assignment_is_not_churn)
{
    add_range(0, 32767, "");
    add_range(32768, 65535, "");
    cw_ownership_measures_observe(&measures, &ranges, CW_SECONDS(1));
    snprintf(ranges.items[0].owner.id, sizeof(ranges.items[0].owner.id), "a");
    cw_ownership_measures_observe(&measures, &ranges, CW_SECONDS(2));
    ck_assert_double_eq(measures.moved_keys, 0);
}
END_TEST

START_TEST(moved_keys_and_cold_ones_are_counted_separately)
{
    add_range(0, 32767, "a");
    add_range(32768, 65535, "b");
    cw_ownership_measures_observe(&measures, &ranges, CW_SECONDS(1));
    (void)cw_range_list_split(&ranges, 0, 16384);
    start_move(&ranges.items[1], "b");
    cw_ownership_measures_observe(&measures, &ranges, CW_SECONDS(2));
    ck_assert_double_eq(measures.moved_keys, 16384);
    ck_assert_double_eq(measures.moved_cold_keys, 0);
    end_move(&ranges.items[1], "token");
    cw_ownership_measures_observe(&measures, &ranges, CW_SECONDS(3));
    ck_assert_double_eq(measures.moved_cold_keys, 0);
    start_move(&ranges.items[0], "c");
    cw_ownership_measures_observe(&measures, &ranges, CW_SECONDS(4));
    end_move(&ranges.items[0], "");
    cw_ownership_measures_observe(&measures, &ranges, CW_SECONDS(5));
    ck_assert_double_eq(measures.moved_keys, 32768);
    ck_assert_double_eq(measures.moved_cold_keys, 16384);
}
END_TEST

START_TEST(unavailable_time_is_in_key_seconds_and_the_longest_gap_continues_through_splits)
{
    add_range(0, 65535, "a");
    cw_ownership_measures_observe(&measures, &ranges, CW_SECONDS(1));
    ranges.items[0].failing_since = CW_SECONDS(1);
    cw_ownership_measures_observe(&measures, &ranges, CW_SECONDS(2));
    cw_ownership_measures_observe(&measures, &ranges, CW_SECONDS(3));
    (void)cw_range_list_split(&ranges, 0, 65536 - 100);
    ranges.items[0].failing_since = 0;
    cw_ownership_measures_observe(&measures, &ranges, CW_SECONDS(4));
    ranges.items[1].failing_since = 0;
    cw_ownership_measures_observe(&measures, &ranges, CW_SECONDS(5));
    /* all keys for 1 s from the observation at 2 s, then 100 keys for 1 s: changes between observations are not seen */
    ck_assert_double_eq_tol(measures.unavailable_key_s, 65536 + 100, 0.01);
    ck_assert_double_eq_tol(measures.unavailable_longest_s, 2, 1e-9);
}
END_TEST

/* Two owners, a and b: three quarters of the requests of the last two seconds are for a's keys. */
static void add_three_quarters_on_a(cw_load_window_t *window, cw_time_us_t now)
{
    int index;

    add_range(0, 32767, "a");
    add_range(32768, 65535, "b");
    for (index = 0; index < 400; index++) {
        cw_load_window_add(window, index % 4 == 0 ? 40000 : 100, 1, now - CW_SECONDS(2) + CW_MS(5) * index);
    }
}

START_TEST(imbalance_is_the_time_weighted_ratio_of_busiest_to_mean)
{
    cw_load_window_t window = {0};
    cw_time_us_t     now = CW_SECONDS(10);

    add_three_quarters_on_a(&window, now);
    cw_ownership_measures_observe_load(&measures, &ranges, &window, now);
    ck_assert_double_eq_tol(measures.imbalance, 1.5, 0.02);
    cw_ownership_measures_observe_load(&measures, &ranges, &window, now + CW_SECONDS(1));
    ck_assert_double_eq_tol(cw_ownership_measures_imbalance(&measures), 1.5, 0.02);
    ck_assert_double_eq_tol(measures.imbalance_s, 1, 1e-9);
    cw_load_window_clear(&window);
}
END_TEST

START_TEST(moved_load_is_counted_as_a_share)
{
    cw_load_window_t window = {0};
    cw_time_us_t     now = CW_SECONDS(10);

    add_three_quarters_on_a(&window, now);
    cw_ownership_measures_observe(&measures, &ranges, now);
    cw_ownership_measures_observe_load(&measures, &ranges, &window, now);
    start_move(&ranges.items[1], "a");
    cw_ownership_measures_observe(&measures, &ranges, now + CW_MS(20));
    ck_assert_double_eq_tol(measures.moved_load, 0.25, 0.01);
    cw_load_window_clear(&window);
}
END_TEST

int main(void)
{
    Suite *suite = suite_create("ownership_measures");
    TCase *cases = tcase_create("ownership_measures");

    tcase_add_checked_fixture(cases, setup, teardown);
    tcase_add_test(cases, the_first_assignment_is_not_churn);
    tcase_add_test(cases, moved_keys_and_cold_ones_are_counted_separately);
    tcase_add_test(cases, unavailable_time_is_in_key_seconds_and_the_longest_gap_continues_through_splits);
    tcase_add_test(cases, imbalance_is_the_time_weighted_ratio_of_busiest_to_mean);
    tcase_add_test(cases, moved_load_is_counted_as_a_share);
    suite_add_tcase(suite, cases);
    return cw_test_main(suite);
}
