/**
 * @file test_clock_offset.c
 * @brief A message that was held up counts from when it was sent.
 */
#include "loop_fixture.h"
#include "peer/clock_offset.h"

enum { WAY_MS = 3 }; /* least time on the way */

static const cw_time_us_t start = CW_SECONDS(500); /* on this node's clock */
static const cw_time_us_t shift = CW_SECONDS(123); /* of the peer's clock, which shows this much more */

static cw_clock_offset_t offset;

/* Receives a message that is sent after `passed_ms` and held up for `held_ms`. Returns how long before its receipt it
 * was sent, by the estimate, beyond the least time on the way. */
static cw_time_us_t held_by_estimate(uint64_t incarnation, int64_t passed_ms, int64_t held_ms)
{
    cw_time_us_t sent = start + CW_MS(passed_ms);
    cw_time_us_t received = sent + CW_MS(WAY_MS + held_ms);

    return received - cw_clock_offset_sent_at(&offset, incarnation, sent + shift, received);
}

static void setup(void)
{
    offset = (cw_clock_offset_t){0};
}

START_TEST(a_message_that_is_held_up_counts_from_its_sending)
{
    ck_assert_int_eq(held_by_estimate(1, 0, 0), 0);
    ck_assert_int_eq(held_by_estimate(1, 300, 700), CW_MS(700));
    ck_assert_int_eq(held_by_estimate(1, 600, 40), CW_MS(40));
    ck_assert_int_eq(held_by_estimate(1, 900, 0), 0);
}
END_TEST

START_TEST(the_first_message_gives_no_measure_and_a_faster_one_improves_it)
{
    ck_assert_int_eq(held_by_estimate(1, 0, 200), 0);
    ck_assert_int_eq(held_by_estimate(1, 300, 200), 0);
    ck_assert_int_eq(held_by_estimate(1, 600, 0), 0);
    ck_assert_int_eq(held_by_estimate(1, 900, 200), CW_MS(200));
}
END_TEST

START_TEST(another_incarnation_has_another_clock)
{
    ck_assert_int_eq(held_by_estimate(1, 0, 0), 0);
    ck_assert_int_eq(held_by_estimate(2, 300, 500), 0);
}
END_TEST

START_TEST(the_least_difference_lasts_over_one_window_and_ends_after_two)
{
    int64_t window_ms = (int64_t)CW_CLOCK_OFFSET_WINDOW_S * 1000;
    int64_t passed_ms;

    ck_assert_int_eq(held_by_estimate(1, 0, 0), 0);
    for (passed_ms = 1000; passed_ms <= window_ms + 5000; passed_ms += 1000) {
        ck_assert_int_eq(held_by_estimate(1, passed_ms, 100), CW_MS(100));
    }
    for (; passed_ms <= 2 * window_ms + 5000; passed_ms += 1000) { /* the way has become longer for good */
        (void)held_by_estimate(1, passed_ms, 100);
    }
    ck_assert_int_eq(held_by_estimate(1, passed_ms, 100), 0);
}
END_TEST

START_TEST(after_a_long_silence_the_measure_begins_anew)
{
    ck_assert_int_eq(held_by_estimate(1, 0, 0), 0);
    ck_assert_int_eq(held_by_estimate(1, (int64_t)CW_CLOCK_OFFSET_WINDOW_S * 3000, 400), 0);
}
END_TEST

int main(void)
{
    Suite *suite = suite_create("clock offset");
    TCase *cases = tcase_create("clock offset");

    tcase_add_checked_fixture(cases, setup, NULL);
    tcase_add_test(cases, a_message_that_is_held_up_counts_from_its_sending);
    tcase_add_test(cases, the_first_message_gives_no_measure_and_a_faster_one_improves_it);
    tcase_add_test(cases, another_incarnation_has_another_clock);
    tcase_add_test(cases, the_least_difference_lasts_over_one_window_and_ends_after_two);
    tcase_add_test(cases, after_a_long_silence_the_measure_begins_anew);
    suite_add_tcase(suite, cases);
    return cw_test_main(suite);
}
