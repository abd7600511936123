/**
 * @file test_send_allowance.c
 * @brief Tests of the token bucket for sent bytes: growth with time up to a burst, and subtraction below zero.
 */
#include <check.h>

#include "base/send_allowance.h"
#include "loop_fixture.h"

enum { START_S = 100, BYTES_PER_S = 1000000, BURST_MS = 200, BURST_BYTES = 200000, BYTES_PER_MS = 1000 };

static cw_send_allowance_t full_bucket(void)
{
    cw_send_allowance_t allowance;

    cw_send_allowance_init(&allowance, BYTES_PER_S, CW_MS(BURST_MS));
    cw_send_allowance_refill(&allowance, CW_SECONDS(START_S));
    return allowance;
}

START_TEST(bucket_is_empty_before_the_first_refill_and_then_holds_a_burst)
{
    cw_send_allowance_t allowance;

    cw_send_allowance_init(&allowance, BYTES_PER_S, CW_MS(BURST_MS));
    ck_assert(!cw_send_allowance_has_any(&allowance));
    allowance = full_bucket();
    cw_send_allowance_spend(&allowance, BURST_BYTES - 1);
    ck_assert(cw_send_allowance_has_any(&allowance));
    cw_send_allowance_spend(&allowance, 1);
    ck_assert(!cw_send_allowance_has_any(&allowance));
}
END_TEST

START_TEST(excess_of_a_send_delays_the_next_one)
{
    cw_send_allowance_t allowance = full_bucket();
    cw_time_us_t        now = CW_SECONDS(START_S);

    cw_send_allowance_spend(&allowance, BURST_BYTES + 50 * BYTES_PER_MS);
    cw_send_allowance_refill(&allowance, now + CW_MS(50));
    ck_assert(!cw_send_allowance_has_any(&allowance));
    cw_send_allowance_refill(&allowance, now + CW_MS(51));
    ck_assert(cw_send_allowance_has_any(&allowance));
}
END_TEST

START_TEST(many_refills_add_no_more_than_the_elapsed_time)
{
    cw_send_allowance_t allowance = full_bucket();
    cw_time_us_t        now = CW_SECONDS(START_S);
    int                 step;

    cw_send_allowance_spend(&allowance, BURST_BYTES + 50 * BYTES_PER_MS);
    for (step = 0; step < 50; step++) {
        cw_send_allowance_refill(&allowance, now + CW_MS(step));
    }
    ck_assert(!cw_send_allowance_has_any(&allowance));
}
END_TEST

START_TEST(idle_time_adds_no_more_than_a_burst)
{
    cw_send_allowance_t allowance = full_bucket();

    cw_send_allowance_refill(&allowance, CW_SECONDS(2 * START_S));
    cw_send_allowance_spend(&allowance, BURST_BYTES);
    ck_assert(!cw_send_allowance_has_any(&allowance));
}
END_TEST

START_TEST(sending_is_unlimited_without_a_rate)
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

    tcase_add_test(cases, bucket_is_empty_before_the_first_refill_and_then_holds_a_burst);
    tcase_add_test(cases, excess_of_a_send_delays_the_next_one);
    tcase_add_test(cases, many_refills_add_no_more_than_the_elapsed_time);
    tcase_add_test(cases, idle_time_adds_no_more_than_a_burst);
    tcase_add_test(cases, sending_is_unlimited_without_a_rate);
    suite_add_tcase(suite, cases);
    return cw_test_main(suite);
}
