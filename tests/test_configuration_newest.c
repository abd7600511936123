/**
 * @file test_configuration_newest.c
 * @brief When a node reads a configuration from the store because other nodes have it and have not sent it.
 */
#include <check.h>

#include "loop_fixture.h"
#include "router/configuration_newest.h"

enum { START_S = 100, OWN = 4, MAX_WAIT_MS = 900, INTERVAL_MS = 400 };

static bool is_overdue(const cw_configuration_newest_t *newest, uint64_t own, cw_time_us_t now)
{
    return cw_configuration_newest_is_overdue(newest, own, CW_MS(MAX_WAIT_MS), now);
}

START_TEST(versions_up_to_its_own_are_never_overdue)
{
    cw_configuration_newest_t newest = {0};
    cw_time_us_t              now = CW_SECONDS(START_S);

    ck_assert(!is_overdue(&newest, 0, now));
    cw_configuration_newest_record(&newest, OWN, OWN, now);
    ck_assert(!is_overdue(&newest, OWN, now + CW_SECONDS(1)));
}
END_TEST

START_TEST(a_higher_version_is_overdue_after_the_maximum_wait_until_it_is_in_force)
{
    cw_configuration_newest_t newest = {0};
    cw_time_us_t              now = CW_SECONDS(START_S);

    cw_configuration_newest_record(&newest, OWN + 1, OWN, now);
    ck_assert(!is_overdue(&newest, OWN, now + CW_MS(MAX_WAIT_MS) - 1));
    ck_assert(is_overdue(&newest, OWN, now + CW_MS(MAX_WAIT_MS)));
    ck_assert(!is_overdue(&newest, OWN + 1, now + CW_MS(MAX_WAIT_MS)));
}
END_TEST

START_TEST(a_still_higher_version_does_not_restart_the_wait)
{
    cw_configuration_newest_t newest = {0};
    cw_time_us_t              now = CW_SECONDS(START_S);

    cw_configuration_newest_record(&newest, OWN + 1, OWN, now);
    cw_configuration_newest_record(&newest, OWN + 2, OWN, now + CW_MS(MAX_WAIT_MS) / 2);
    cw_configuration_newest_record(&newest, OWN + 1, OWN,
                                   now + CW_MS(MAX_WAIT_MS) / 2); /* an older version is reported afterwards */
    ck_assert_uint_eq(newest.version, OWN + 2);
    ck_assert(is_overdue(&newest, OWN, now + CW_MS(MAX_WAIT_MS)));
}
END_TEST

START_TEST(the_wait_restarts_once_the_former_version_was_in_force)
{
    cw_configuration_newest_t newest = {0};
    cw_time_us_t              now = CW_SECONDS(START_S);
    cw_time_us_t              later = now + CW_SECONDS(10);

    cw_configuration_newest_record(&newest, OWN + 1, OWN, now);
    cw_configuration_newest_record(&newest, OWN + 2, OWN + 1, later);
    ck_assert(!is_overdue(&newest, OWN + 1, later + CW_MS(MAX_WAIT_MS) - 1));
    ck_assert(is_overdue(&newest, OWN + 1, later + CW_MS(MAX_WAIT_MS)));
}
END_TEST

START_TEST(a_read_restarts_the_wait)
{
    cw_configuration_newest_t newest = {0};
    cw_time_us_t              now = CW_SECONDS(START_S);
    cw_time_us_t              read_at = now + CW_MS(MAX_WAIT_MS);

    cw_configuration_newest_record(&newest, OWN + 1, OWN, now);
    cw_configuration_newest_start_read(&newest, read_at);
    ck_assert(!is_overdue(&newest, OWN, read_at + CW_MS(MAX_WAIT_MS) - 1));
    ck_assert(is_overdue(&newest, OWN, read_at + CW_MS(MAX_WAIT_MS)));
}
END_TEST

START_TEST(a_version_too_large_to_send_is_read_at_most_once_per_interval)
{
    cw_configuration_newest_t newest = {0};
    cw_time_us_t              now = CW_SECONDS(START_S);

    ck_assert(cw_configuration_newest_try_start_read(&newest, CW_MS(INTERVAL_MS), now));
    ck_assert(!cw_configuration_newest_try_start_read(&newest, CW_MS(INTERVAL_MS), now + CW_MS(INTERVAL_MS) - 1));
    ck_assert(cw_configuration_newest_try_start_read(&newest, CW_MS(INTERVAL_MS), now + CW_MS(INTERVAL_MS)));
    cw_configuration_newest_start_read(&newest, now + CW_SECONDS(1));
    ck_assert(!cw_configuration_newest_try_start_read(&newest, CW_MS(INTERVAL_MS), now + CW_SECONDS(1) + 1));
}
END_TEST

int main(void)
{
    Suite *suite = suite_create("configuration newest");
    TCase *cases = tcase_create("newest");

    tcase_add_test(cases, versions_up_to_its_own_are_never_overdue);
    tcase_add_test(cases, a_higher_version_is_overdue_after_the_maximum_wait_until_it_is_in_force);
    tcase_add_test(cases, a_still_higher_version_does_not_restart_the_wait);
    tcase_add_test(cases, the_wait_restarts_once_the_former_version_was_in_force);
    tcase_add_test(cases, a_read_restarts_the_wait);
    tcase_add_test(cases, a_version_too_large_to_send_is_read_at_most_once_per_interval);
    suite_add_tcase(suite, cases);
    return cw_test_main(suite);
}
