/**
 * @file test_platform_answer_delay.c
 * @brief How long a held call is waited for: a hung one not for long, the answers of a slow store long enough.
 */
#include "loop_fixture.h"
#include "platform_answer_delay.h"

static const cw_time_us_t most = CW_MS(1200);

START_TEST(a_hung_call_is_not_waited_for_where_answers_come_at_once)
{
    cw_platform_patience_t patience = {0};
    int                    answer;

    ck_assert_int_eq(cw_platform_patience_wait(&patience, most), CW_MS(CW_PATIENCE_LEAST_MS));
    for (answer = 0; answer < 100; answer++) {
        cw_platform_patience_note(&patience, CW_MS(answer % 2 == 0 ? 4 : -1));
    }
    ck_assert_int_eq(cw_platform_patience_wait(&patience, most), CW_MS(CW_PATIENCE_LEAST_MS));
}
END_TEST

/* The first call that a slow store leaves without an answer in time is asked again with all the patience there is: that
 * one's answer shows how slow the store is. */
START_TEST(a_slow_store_is_waited_for_from_the_next_calls_on)
{
    cw_platform_patience_t patience = {0};

    cw_platform_patience_note(&patience, CW_MS(700));
    ck_assert_int_ge(cw_platform_patience_wait(&patience, most), CW_MS(700));
    cw_platform_patience_note(&patience, CW_MS(700));
    ck_assert_int_eq(cw_platform_patience_wait(&patience, most), most);
}
END_TEST

START_TEST(a_store_that_is_fast_again_is_waited_for_less_within_seconds)
{
    cw_platform_patience_t patience = {0};
    int                    answer;

    for (answer = 0; answer < 20; answer++) {
        cw_platform_patience_note(&patience, CW_MS(700));
    }
    for (answer = 0; answer < 10; answer++) { /* two a second */
        cw_platform_patience_note(&patience, CW_MS(4));
    }
    ck_assert_int_eq(cw_platform_patience_wait(&patience, most), CW_MS(CW_PATIENCE_LEAST_MS));
}
END_TEST

int main(void)
{
    Suite *suite = suite_create("platform patience");
    TCase *cases = tcase_create("platform patience");

    tcase_add_test(cases, a_hung_call_is_not_waited_for_where_answers_come_at_once);
    tcase_add_test(cases, a_slow_store_is_waited_for_from_the_next_calls_on);
    tcase_add_test(cases, a_store_that_is_fast_again_is_waited_for_less_within_seconds);
    suite_add_tcase(suite, cases);
    return cw_test_main(suite);
}
