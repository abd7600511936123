/**
 * @file test_plan_timing.c
 * @brief Tests of the time of the first plan, and of the trust in a list that lacks owners.
 */
#include <check.h>

#include "loop_fixture.h"
#include "placement/plan_timing.h"

enum { START_S = 100, HEARTBEAT_MS = 900, GRACE_MS = 1600 };

static const double few_missing = 0.4;
static const double many_missing = 0.5;

static bool is_due(cw_plan_timing_t *timing, size_t servers, cw_time_us_t now)
{
    return cw_plan_timing_is_first_due(timing, servers, CW_MS(HEARTBEAT_MS), now);
}

START_TEST(without_servers_there_is_no_first_plan)
{
    cw_plan_timing_t timing = {0};

    ck_assert(!is_due(&timing, 0, CW_SECONDS(START_S)));
    ck_assert(!is_due(&timing, 0, CW_SECONDS(2 * START_S)));
}
END_TEST

START_TEST(the_first_plan_waits_until_the_number_of_servers_is_stable)
{
    cw_plan_timing_t timing = {0};
    cw_time_us_t     now = CW_SECONDS(START_S);
    cw_time_us_t     stable_time = CW_MS(HEARTBEAT_MS + CW_FIRST_PLAN_STABLE_MS);

    ck_assert(!is_due(&timing, 1, now));
    ck_assert(!is_due(&timing, 2, now + stable_time)); /* one more server: the time starts again */
    ck_assert(!is_due(&timing, 2, now + 2 * stable_time - 1));
    ck_assert(is_due(&timing, 2, now + 2 * stable_time));
}
END_TEST

START_TEST(a_steadily_growing_number_of_servers_delays_the_first_plan_only_for_a_limited_time)
{
    cw_plan_timing_t timing = {0};
    cw_time_us_t     now = CW_SECONDS(START_S);
    cw_time_us_t     end = now + CW_SECONDS(CW_FIRST_PLAN_WAIT_S);
    size_t           servers = 0;

    for (; now < end; now += CW_MS(HEARTBEAT_MS) / 2) {
        ck_assert(!is_due(&timing, ++servers, now));
    }
    ck_assert(is_due(&timing, ++servers, end));
}
END_TEST

START_TEST(a_list_that_lacks_few_owners_is_trusted)
{
    cw_plan_timing_t timing = {0};

    ck_assert(!cw_plan_timing_doubts_list(&timing, few_missing, CW_MS(GRACE_MS), CW_SECONDS(START_S)));
}
END_TEST

START_TEST(a_list_that_lacks_many_owners_is_not_trusted_during_the_grace_time)
{
    cw_plan_timing_t timing = {0};
    cw_time_us_t     now = CW_SECONDS(START_S);

    ck_assert(cw_plan_timing_doubts_list(&timing, many_missing, CW_MS(GRACE_MS), now));
    ck_assert(cw_plan_timing_doubts_list(&timing, many_missing, CW_MS(GRACE_MS), now + CW_MS(GRACE_MS) - 1));
    ck_assert(!cw_plan_timing_doubts_list(&timing, many_missing, CW_MS(GRACE_MS), now + CW_MS(GRACE_MS)));
}
END_TEST

START_TEST(a_list_is_trusted_when_owners_are_listed_again)
{
    cw_plan_timing_t timing = {0};
    cw_time_us_t     now = CW_SECONDS(START_S);

    (void)cw_plan_timing_doubts_list(&timing, many_missing, CW_MS(GRACE_MS), now);
    (void)cw_plan_timing_doubts_list(&timing, few_missing, CW_MS(GRACE_MS), now + 1);
    ck_assert(cw_plan_timing_doubts_list(&timing, many_missing, CW_MS(GRACE_MS), now + CW_MS(GRACE_MS)));
}
END_TEST

int main(void)
{
    Suite *suite = suite_create("plan timing");
    TCase *cases = tcase_create("timing");

    tcase_add_test(cases, without_servers_there_is_no_first_plan);
    tcase_add_test(cases, the_first_plan_waits_until_the_number_of_servers_is_stable);
    tcase_add_test(cases, a_steadily_growing_number_of_servers_delays_the_first_plan_only_for_a_limited_time);
    tcase_add_test(cases, a_list_that_lacks_few_owners_is_trusted);
    tcase_add_test(cases, a_list_that_lacks_many_owners_is_not_trusted_during_the_grace_time);
    tcase_add_test(cases, a_list_is_trusted_when_owners_are_listed_again);
    suite_add_tcase(suite, cases);
    return cw_test_main(suite);
}
