/**
 * @file test_platform_answer_delay.c
 * @brief Timeout of calls that the store holds: short for a call that is never answered, long enough for a slow store.
 */
#include "loop_fixture.h"
#include "platform_answer_delay.h"

static const cw_time_us_t max = CW_MS(1200);

START_TEST(timeout_stays_short_while_answers_are_not_delayed)
{
    cw_platform_answer_delay_t delay = {0};
    int                        answer;

    ck_assert_int_eq(cw_platform_answer_delay_timeout(&delay, max), CW_MS(CW_PLATFORM_ANSWER_TIMEOUT_MIN_MS));
    for (answer = 0; answer < 100; answer++) {
        cw_platform_answer_delay_record(&delay, CW_MS(answer % 2 == 0 ? 4 : -1));
    }
    ck_assert_int_eq(cw_platform_answer_delay_timeout(&delay, max), CW_MS(CW_PLATFORM_ANSWER_TIMEOUT_MIN_MS));
}
END_TEST

/* A call that a slow store does not answer within the timeout is repeated with the longest timeout. The answer to the
 * repeated call shows how slow the store is. */
START_TEST(timeout_covers_a_slow_store_from_the_next_call_on)
{
    cw_platform_answer_delay_t delay = {0};

    cw_platform_answer_delay_record(&delay, CW_MS(700));
    ck_assert_int_ge(cw_platform_answer_delay_timeout(&delay, max), CW_MS(700));
    cw_platform_answer_delay_record(&delay, CW_MS(700));
    ck_assert_int_eq(cw_platform_answer_delay_timeout(&delay, max), max);
}
END_TEST

START_TEST(timeout_shrinks_within_seconds_after_a_slow_store_is_fast_again)
{
    cw_platform_answer_delay_t delay = {0};
    int                        answer;

    for (answer = 0; answer < 20; answer++) {
        cw_platform_answer_delay_record(&delay, CW_MS(700));
    }
    for (answer = 0; answer < 10; answer++) { /* answers come twice a second */
        cw_platform_answer_delay_record(&delay, CW_MS(4));
    }
    ck_assert_int_eq(cw_platform_answer_delay_timeout(&delay, max), CW_MS(CW_PLATFORM_ANSWER_TIMEOUT_MIN_MS));
}
END_TEST

int main(void)
{
    Suite *suite = suite_create("platform answer delay");
    TCase *cases = tcase_create("platform answer delay");

    tcase_add_test(cases, timeout_stays_short_while_answers_are_not_delayed);
    tcase_add_test(cases, timeout_covers_a_slow_store_from_the_next_call_on);
    tcase_add_test(cases, timeout_shrinks_within_seconds_after_a_slow_store_is_fast_again);
    suite_add_tcase(suite, cases);
    return cw_test_main(suite);
}
