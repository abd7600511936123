/**
 * @file test_send_allowance.c
 * @brief Bytes that may be sent: they come with time, up to a burst, and what is sent is taken off whole.
 */
#include <check.h>

#include "base/send_allowance.h"
#include "loop_fixture.h"

enum { START_S = 100, BYTES_PER_S = 1000000, BURST_MS = 200, BURST_BYTES = 200000, BYTES_PER_MS = 1000 };

static cw_send_allowance_t full(void)
{
    cw_send_allowance_t allowance;

    cw_send_allowance_init(&allowance, BYTES_PER_S, CW_MS(BURST_MS));
    cw_send_allowance_refill(&allowance, CW_SECONDS(START_S));
    return allowance;
}

START_TEST(nothing_may_be_sent_before_the_first_refill_and_then_a_burst)
{
    cw_send_allowance_t allowance;

    cw_send_allowance_init(&allowance, BYTES_PER_S, CW_MS(BURST_MS));
    ck_assert(!cw_send_allowance_has_any(&allowance));
    allowance = full();
    cw_send_allowance_spend(&allowance, BURST_BYTES - 1);
    ck_assert(cw_send_allowance_has_any(&allowance));
    cw_send_allowance_spend(&allowance, 1);
    ck_assert(!cw_send_allowance_has_any(&allowance));
}
END_TEST

START_TEST(what_was_sent_beyond_it_has_to_come_back_first)
{
    cw_send_allowance_t allowance = full();
    cw_time_us_t        now = CW_SECONDS(START_S);

    cw_send_allowance_spend(&allowance, BURST_BYTES + 50 * BYTES_PER_MS);
    cw_send_allowance_refill(&allowance, now + CW_MS(50));
    ck_assert(!cw_send_allowance_has_any(&allowance));
    cw_send_allowance_refill(&allowance, now + CW_MS(51));
    ck_assert(cw_send_allowance_has_any(&allowance));
}
END_TEST

START_TEST(time_counts_once_in_however_many_refills)
{
    cw_send_allowance_t allowance = full();
    cw_time_us_t        now = CW_SECONDS(START_S);
    int                 step;

    cw_send_allowance_spend(&allowance, BURST_BYTES + 50 * BYTES_PER_MS);
    for (step = 0; step < 50; step++) {
        cw_send_allowance_refill(&allowance, now + CW_MS(step));
    }
    ck_assert(!cw_send_allowance_has_any(&allowance));
}
END_TEST

START_TEST(a_long_rest_brings_no_more_than_a_burst)
{
    cw_send_allowance_t allowance = full();

    cw_send_allowance_refill(&allowance, CW_SECONDS(2 * START_S));
    cw_send_allowance_spend(&allowance, BURST_BYTES);
    ck_assert(!cw_send_allowance_has_any(&allowance));
}
END_TEST

START_TEST(without_a_rate_any_number_may_be_sent)
{
    cw_send_allowance_t allowance;

    cw_send_allowance_init(&allowance, 0, CW_MS(BURST_MS));
    cw_send_allowance_spend(&allowance, BURST_BYTES);
    cw_send_allowance_refill(&allowance, CW_SECONDS(START_S));
    ck_assert(cw_send_allowance_has_any(&allowance));
}
END_TEST

int main(void)
{
    Suite *suite = suite_create("send allowance");
    TCase *cases = tcase_create("allowance");

    tcase_add_test(cases, nothing_may_be_sent_before_the_first_refill_and_then_a_burst);
    tcase_add_test(cases, what_was_sent_beyond_it_has_to_come_back_first);
    tcase_add_test(cases, time_counts_once_in_however_many_refills);
    tcase_add_test(cases, a_long_rest_brings_no_more_than_a_burst);
    tcase_add_test(cases, without_a_rate_any_number_may_be_sent);
    suite_add_tcase(suite, cases);
    return cw_test_main(suite);
}
