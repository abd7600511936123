/**
 * @file test_store_availability.c
 * @brief When a node considers the store lost, and when reachable again.
 */
#include <check.h>

#include "loop_fixture.h"
#include "router/store_availability.h"

enum { START_S = 100 };

START_TEST(one_failure_does_not_make_the_store_unreachable)
{
    cw_store_availability_t availability = {0};

    ck_assert_int_eq(cw_store_availability_record(&availability, false, CW_SECONDS(START_S), CW_SECONDS(START_S)),
                     CW_STORE_UNCHANGED);
    ck_assert(!availability.is_lost);
    ck_assert_int_eq(availability.failed_at, CW_SECONDS(START_S));
}
END_TEST

START_TEST(the_loss_is_reported_once_after_failures_without_an_answer)
{
    cw_store_availability_t availability = {0};
    cw_time_us_t            lost_at = CW_SECONDS(START_S) + CW_MS(CW_STORE_LOST_MS);

    (void)cw_store_availability_record(&availability, false, CW_SECONDS(START_S), CW_SECONDS(START_S));
    ck_assert_int_eq(cw_store_availability_record(&availability, false, lost_at - 1, lost_at - 1), CW_STORE_UNCHANGED);
    ck_assert_int_eq(cw_store_availability_record(&availability, false, lost_at, lost_at), CW_STORE_LOST);
    ck_assert_int_eq(cw_store_availability_failing_for(&availability, lost_at), CW_MS(CW_STORE_LOST_MS));
    ck_assert_int_eq(cw_store_availability_record(&availability, false, lost_at + 1, lost_at + 1), CW_STORE_UNCHANGED);
    ck_assert(availability.is_lost);
}
END_TEST

START_TEST(an_answer_between_failures_restarts_the_time)
{
    cw_store_availability_t availability = {0};
    cw_time_us_t            now = CW_SECONDS(START_S);

    (void)cw_store_availability_record(&availability, false, now, now);
    ck_assert_int_eq(cw_store_availability_record(&availability, true, now + 1, now + 1), CW_STORE_UNCHANGED);
    ck_assert_int_eq(cw_store_availability_failing_for(&availability, now + 2), 0);
    (void)cw_store_availability_record(&availability, false, now + CW_MS(CW_STORE_LOST_MS),
                                       now + CW_MS(CW_STORE_LOST_MS));
    ck_assert(!availability.is_lost);
}
END_TEST

START_TEST(the_return_is_reported_once_and_the_last_failure_is_kept)
{
    cw_store_availability_t availability = {0};
    cw_time_us_t            lost_at = CW_SECONDS(START_S) + CW_MS(CW_STORE_LOST_MS);

    (void)cw_store_availability_record(&availability, false, CW_SECONDS(START_S), CW_SECONDS(START_S));
    (void)cw_store_availability_record(&availability, false, lost_at, lost_at);
    ck_assert_int_eq(cw_store_availability_record(&availability, true, lost_at + 1, lost_at + 1), CW_STORE_BACK);
    ck_assert_int_eq(cw_store_availability_record(&availability, true, lost_at + 2, lost_at + 2), CW_STORE_UNCHANGED);
    ck_assert_int_eq(availability.failed_at, lost_at);
}
END_TEST

int main(void)
{
    Suite *suite = suite_create("store availability");
    TCase *cases = tcase_create("availability");

    tcase_add_test(cases, one_failure_does_not_make_the_store_unreachable);
    tcase_add_test(cases, the_loss_is_reported_once_after_failures_without_an_answer);
    tcase_add_test(cases, an_answer_between_failures_restarts_the_time);
    tcase_add_test(cases, the_return_is_reported_once_and_the_last_failure_is_kept);
    suite_add_tcase(suite, cases);
    return cw_test_main(suite);
}
