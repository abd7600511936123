/**
 * @file test_leader_tenure.c
 * @brief When a node leaves the lock to a more capable one, when a leader hands over, and how it announces that.
 */
#include <check.h>

#include "loop_fixture.h"
#include "router/leader_tenure.h"

enum { START_S = 100, TERM = 7, OWN = 1000 };

START_TEST(a_rival_has_at_least_twice_the_capability)
{
    ck_assert(!cw_leader_is_rival(OWN, OWN));
    ck_assert(!cw_leader_is_rival(OWN, CW_LEADER_RIVAL_FACTOR * OWN - 1));
    ck_assert(cw_leader_is_rival(OWN, CW_LEADER_RIVAL_FACTOR * OWN));
}
END_TEST

START_TEST(takes_the_lock_later_while_a_rival_is_reachable)
{
    cw_leader_tenure_t tenure = {0};

    ck_assert_int_eq(cw_leader_tenure_take_delay(&tenure), 0);
    cw_leader_tenure_record_rival(&tenure, true, CW_SECONDS(START_S));
    ck_assert_int_eq(cw_leader_tenure_take_delay(&tenure), CW_MS(CW_LEADER_TAKE_DELAY_MS));
    cw_leader_tenure_record_rival(&tenure, false, CW_SECONDS(START_S) + 1);
    ck_assert_int_eq(cw_leader_tenure_take_delay(&tenure), 0);
}
END_TEST

START_TEST(hands_over_after_a_rival_stays_reachable)
{
    cw_leader_tenure_t tenure = {0};
    cw_time_us_t       seen_at = CW_SECONDS(START_S);
    cw_time_us_t       due_at = seen_at + CW_SECONDS(CW_LEADER_HAND_OVER_S);

    cw_leader_tenure_begin(&tenure, CW_SECONDS(1));
    ck_assert(!cw_leader_tenure_should_hand_over(&tenure, seen_at));
    cw_leader_tenure_record_rival(&tenure, true, seen_at);
    cw_leader_tenure_record_rival(&tenure, true, seen_at + 1); /* seen again: the time counts from the first sighting */
    ck_assert(!cw_leader_tenure_should_hand_over(&tenure, due_at));
    ck_assert(cw_leader_tenure_should_hand_over(&tenure, due_at + 1));
    cw_leader_tenure_record_rival(&tenure, false, due_at + 1);
    ck_assert(!cw_leader_tenure_should_hand_over(&tenure, due_at + 2));
}
END_TEST

START_TEST(leads_for_a_minimum_time_before_handing_over)
{
    cw_leader_tenure_t tenure = {0};
    cw_time_us_t       taken_at = CW_SECONDS(START_S);

    cw_leader_tenure_record_rival(&tenure, true, CW_SECONDS(1));
    cw_leader_tenure_begin(&tenure, taken_at);
    ck_assert(!cw_leader_tenure_should_hand_over(&tenure, taken_at + CW_SECONDS(CW_LEADER_HAND_OVER_S)));
    ck_assert(cw_leader_tenure_should_hand_over(&tenure, taken_at + CW_SECONDS(CW_LEADER_HAND_OVER_S) + 1));
}
END_TEST

START_TEST(announces_a_release_for_a_bounded_time)
{
    cw_leader_tenure_t tenure = {0};
    cw_time_us_t       released_at = CW_SECONDS(START_S);

    ck_assert_uint_eq(cw_leader_tenure_announced_term(&tenure, 1),
                      0); /* the clock starts near zero, so "released at 0" must not count as recent */
    cw_leader_tenure_release(&tenure, TERM, released_at);
    ck_assert_uint_eq(cw_leader_tenure_announced_term(&tenure, released_at), TERM);
    ck_assert_uint_eq(cw_leader_tenure_announced_term(&tenure, released_at + CW_SECONDS(CW_RELEASE_ANNOUNCED_S) - 1),
                      TERM);
    ck_assert_uint_eq(cw_leader_tenure_announced_term(&tenure, released_at + CW_SECONDS(CW_RELEASE_ANNOUNCED_S)), 0);
}
END_TEST

START_TEST(reports_a_change_of_authority_once)
{
    cw_leader_tenure_t tenure = {0};

    ck_assert(!cw_leader_tenure_authority_changed(&tenure, false));
    ck_assert(cw_leader_tenure_authority_changed(&tenure, true));
    ck_assert(!cw_leader_tenure_authority_changed(&tenure, true));
    ck_assert(cw_leader_tenure_authority_changed(&tenure, false));
}
END_TEST

int main(void)
{
    Suite *suite = suite_create("leader tenure");
    TCase *cases = tcase_create("tenure");

    tcase_add_test(cases, a_rival_has_at_least_twice_the_capability);
    tcase_add_test(cases, takes_the_lock_later_while_a_rival_is_reachable);
    tcase_add_test(cases, hands_over_after_a_rival_stays_reachable);
    tcase_add_test(cases, leads_for_a_minimum_time_before_handing_over);
    tcase_add_test(cases, announces_a_release_for_a_bounded_time);
    tcase_add_test(cases, reports_a_change_of_authority_once);
    suite_add_tcase(suite, cases);
    return cw_test_main(suite);
}
