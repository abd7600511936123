/**
 * @file test_plan_timing.c
 * @brief When keys are first assigned, and when a list that lacks owners is believed.
 */
#include <check.h>

#include "loop_fixture.h"
#include "placement/plan_timing.h"

enum { START_S = 100, HEARTBEAT_MS = 900, GRACE_MS = 1600 };

static const double few = 0.4;
static const double most = 0.5;

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

START_TEST(the_first_plan_waits_until_no_more_servers_come)
{
    cw_plan_timing_t timing = {0};
    cw_time_us_t     now = CW_SECONDS(START_S);
    cw_time_us_t     calm = CW_MS(HEARTBEAT_MS + CW_FIRST_PLAN_CALM_MS);

    ck_assert(!is_due(&timing, 1, now));
    ck_assert(!is_due(&timing, 2, now + calm)); /* one more: the time begins anew */
    ck_assert(!is_due(&timing, 2, now + 2 * calm - 1));
    ck_assert(is_due(&timing, 2, now + 2 * calm));
}
END_TEST

START_TEST(servers_that_keep_coming_do_not_put_it_off_for_ever)
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

START_TEST(a_list_that_lacks_few_owners_is_believed)
{
    cw_plan_timing_t timing = {0};

    ck_assert(!cw_plan_timing_doubts_list(&timing, few, CW_MS(GRACE_MS), CW_SECONDS(START_S)));
}
END_TEST

START_TEST(a_list_that_lacks_most_owners_is_doubted_for_the_grace)
{
    cw_plan_timing_t timing = {0};
    cw_time_us_t     now = CW_SECONDS(START_S);

    ck_assert(cw_plan_timing_doubts_list(&timing, most, CW_MS(GRACE_MS), now));
    ck_assert(cw_plan_timing_doubts_list(&timing, most, CW_MS(GRACE_MS), now + CW_MS(GRACE_MS) - 1));
    ck_assert(!cw_plan_timing_doubts_list(&timing, most, CW_MS(GRACE_MS), now + CW_MS(GRACE_MS)));
}
END_TEST

START_TEST(owners_that_are_back_end_the_doubt)
{
    cw_plan_timing_t timing = {0};
    cw_time_us_t     now = CW_SECONDS(START_S);

    (void)cw_plan_timing_doubts_list(&timing, most, CW_MS(GRACE_MS), now);
    (void)cw_plan_timing_doubts_list(&timing, few, CW_MS(GRACE_MS), now + 1);
    ck_assert(cw_plan_timing_doubts_list(&timing, most, CW_MS(GRACE_MS), now + CW_MS(GRACE_MS)));
}
END_TEST

int main(void)
{
    Suite *suite = suite_create("plan timing");
    TCase *cases = tcase_create("timing");

    tcase_add_test(cases, without_servers_there_is_no_first_plan);
    tcase_add_test(cases, the_first_plan_waits_until_no_more_servers_come);
    tcase_add_test(cases, servers_that_keep_coming_do_not_put_it_off_for_ever);
    tcase_add_test(cases, a_list_that_lacks_few_owners_is_believed);
    tcase_add_test(cases, a_list_that_lacks_most_owners_is_doubted_for_the_grace);
    tcase_add_test(cases, owners_that_are_back_end_the_doubt);
    suite_add_tcase(suite, cases);
    return cw_test_main(suite);
}
