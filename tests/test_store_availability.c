/**
 * @file test_store_availability.c
 * @brief When the store counts as lost, and as back.
 */
#include <check.h>

#include "loop_fixture.h"
#include "router/store_availability.h"

enum { START_S = 100 };

START_TEST(one_failure_does_not_lose_the_store)
{
    cw_store_availability_t reach = {0};

    ck_assert_int_eq(cw_store_availability_note(&reach, false, CW_SECONDS(START_S)), CW_STORE_AS_BEFORE);
    ck_assert(!reach.is_lost);
    ck_assert_int_eq(reach.failed_at, CW_SECONDS(START_S));
}
END_TEST

START_TEST(failures_without_an_answer_between_them_lose_it_once)
{
    cw_store_availability_t reach = {0};
    cw_time_us_t            lost_at = CW_SECONDS(START_S) + CW_MS(CW_STORE_LOST_MS);

    (void)cw_store_availability_note(&reach, false, CW_SECONDS(START_S));
    ck_assert_int_eq(cw_store_availability_note(&reach, false, lost_at - 1), CW_STORE_AS_BEFORE);
    ck_assert_int_eq(cw_store_availability_note(&reach, false, lost_at), CW_STORE_LOST);
    ck_assert_int_eq(cw_store_availability_failing_for(&reach, lost_at), CW_MS(CW_STORE_LOST_MS));
    ck_assert_int_eq(cw_store_availability_note(&reach, false, lost_at + 1), CW_STORE_AS_BEFORE);
    ck_assert(reach.is_lost);
}
END_TEST

START_TEST(an_answer_between_failures_begins_the_time_anew)
{
    cw_store_availability_t reach = {0};
    cw_time_us_t            now = CW_SECONDS(START_S);

    (void)cw_store_availability_note(&reach, false, now);
    ck_assert_int_eq(cw_store_availability_note(&reach, true, now + 1), CW_STORE_AS_BEFORE);
    ck_assert_int_eq(cw_store_availability_failing_for(&reach, now + 2), 0);
    (void)cw_store_availability_note(&reach, false, now + CW_MS(CW_STORE_LOST_MS));
    ck_assert(!reach.is_lost);
}
END_TEST

START_TEST(one_answer_brings_it_back_once_and_the_last_failure_stays_known)
{
    cw_store_availability_t reach = {0};
    cw_time_us_t            lost_at = CW_SECONDS(START_S) + CW_MS(CW_STORE_LOST_MS);

    (void)cw_store_availability_note(&reach, false, CW_SECONDS(START_S));
    (void)cw_store_availability_note(&reach, false, lost_at);
    ck_assert_int_eq(cw_store_availability_note(&reach, true, lost_at + 1), CW_STORE_BACK);
    ck_assert_int_eq(cw_store_availability_note(&reach, true, lost_at + 2), CW_STORE_AS_BEFORE);
    ck_assert_int_eq(reach.failed_at, lost_at);
}
END_TEST

int main(void)
{
    Suite *suite = suite_create("store reach");
    TCase *cases = tcase_create("reach");

    tcase_add_test(cases, one_failure_does_not_lose_the_store);
    tcase_add_test(cases, failures_without_an_answer_between_them_lose_it_once);
    tcase_add_test(cases, an_answer_between_failures_begins_the_time_anew);
    tcase_add_test(cases, one_answer_brings_it_back_once_and_the_last_failure_stays_known);
    suite_add_tcase(suite, cases);
    return cw_test_main(suite);
}
