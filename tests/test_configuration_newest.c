/**
 * @file test_configuration_newest.c
 * @brief When a node reads a configuration that other nodes have and have not sent.
 */
#include <check.h>

#include "loop_fixture.h"
#include "router/configuration_newest.h"

enum { START_S = 100, OWN = 4, PATIENCE_MS = 900, PAUSE_MS = 400 };

static bool is_overdue(const cw_configuration_newest_t *newest, uint64_t own, cw_time_us_t now)
{
    return cw_configuration_newest_is_overdue(newest, own, CW_MS(PATIENCE_MS), now);
}

START_TEST(versions_up_to_its_own_are_never_overdue)
{
    cw_configuration_newest_t newest = {0};
    cw_time_us_t              now = CW_SECONDS(START_S);

    ck_assert(!is_overdue(&newest, 0, now));
    cw_configuration_newest_note(&newest, OWN, OWN, now);
    ck_assert(!is_overdue(&newest, OWN, now + CW_SECONDS(1)));
}
END_TEST

START_TEST(a_higher_version_is_overdue_after_the_patience_until_it_is_in_force)
{
    cw_configuration_newest_t newest = {0};
    cw_time_us_t              now = CW_SECONDS(START_S);

    cw_configuration_newest_note(&newest, OWN + 1, OWN, now);
    ck_assert(!is_overdue(&newest, OWN, now + CW_MS(PATIENCE_MS) - 1));
    ck_assert(is_overdue(&newest, OWN, now + CW_MS(PATIENCE_MS)));
    ck_assert(!is_overdue(&newest, OWN + 1, now + CW_MS(PATIENCE_MS)));
}
END_TEST

START_TEST(a_still_higher_version_does_not_restart_the_time)
{
    cw_configuration_newest_t newest = {0};
    cw_time_us_t              now = CW_SECONDS(START_S);

    cw_configuration_newest_note(&newest, OWN + 1, OWN, now);
    cw_configuration_newest_note(&newest, OWN + 2, OWN, now + CW_MS(PATIENCE_MS) / 2);
    cw_configuration_newest_note(&newest, OWN + 1, OWN, now + CW_MS(PATIENCE_MS) / 2); /* and an older one */
    ck_assert_uint_eq(newest.version, OWN + 2);
    ck_assert(is_overdue(&newest, OWN, now + CW_MS(PATIENCE_MS)));
}
END_TEST

START_TEST(the_time_begins_anew_once_the_former_version_was_in_force)
{
    cw_configuration_newest_t newest = {0};
    cw_time_us_t              now = CW_SECONDS(START_S);
    cw_time_us_t              later = now + CW_SECONDS(10);

    cw_configuration_newest_note(&newest, OWN + 1, OWN, now);
    cw_configuration_newest_note(&newest, OWN + 2, OWN + 1, later);
    ck_assert(!is_overdue(&newest, OWN + 1, later + CW_MS(PATIENCE_MS) - 1));
    ck_assert(is_overdue(&newest, OWN + 1, later + CW_MS(PATIENCE_MS)));
}
END_TEST

START_TEST(a_reading_restarts_the_time)
{
    cw_configuration_newest_t newest = {0};
    cw_time_us_t              now = CW_SECONDS(START_S);
    cw_time_us_t              read_at = now + CW_MS(PATIENCE_MS);

    cw_configuration_newest_note(&newest, OWN + 1, OWN, now);
    cw_configuration_newest_read(&newest, read_at);
    ck_assert(!is_overdue(&newest, OWN, read_at + CW_MS(PATIENCE_MS) - 1));
    ck_assert(is_overdue(&newest, OWN, read_at + CW_MS(PATIENCE_MS)));
}
END_TEST

START_TEST(a_large_one_is_read_once_a_pause_and_not_right_after_another_reading)
{
    cw_configuration_newest_t newest = {0};
    cw_time_us_t              now = CW_SECONDS(START_S);

    ck_assert(cw_configuration_newest_read_large(&newest, CW_MS(PAUSE_MS), now));
    ck_assert(!cw_configuration_newest_read_large(&newest, CW_MS(PAUSE_MS), now + CW_MS(PAUSE_MS) - 1));
    ck_assert(cw_configuration_newest_read_large(&newest, CW_MS(PAUSE_MS), now + CW_MS(PAUSE_MS)));
    cw_configuration_newest_read(&newest, now + CW_SECONDS(1));
    ck_assert(!cw_configuration_newest_read_large(&newest, CW_MS(PAUSE_MS), now + CW_SECONDS(1) + 1));
}
END_TEST

int main(void)
{
    Suite *suite = suite_create("configuration newest");
    TCase *cases = tcase_create("newest");

    tcase_add_test(cases, versions_up_to_its_own_are_never_overdue);
    tcase_add_test(cases, a_higher_version_is_overdue_after_the_patience_until_it_is_in_force);
    tcase_add_test(cases, a_still_higher_version_does_not_restart_the_time);
    tcase_add_test(cases, the_time_begins_anew_once_the_former_version_was_in_force);
    tcase_add_test(cases, a_reading_restarts_the_time);
    tcase_add_test(cases, a_large_one_is_read_once_a_pause_and_not_right_after_another_reading);
    suite_add_tcase(suite, cases);
    return cw_test_main(suite);
}
