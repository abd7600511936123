/**
 * @file test_interim_counter.c
 * @brief Tests which node counts all tenants while no leader has announced a number of nodes. If two nodes took
 * themselves for it, a limit would be given out twice.
 */
#include "loop_fixture.h"
#include "router/fleet_size.h"
#include "router/interim_counter.h"

enum { FIRST = 11, SECOND = 12, NODES = 4 };

START_TEST(the_first_leader_counts_until_it_announces_a_number)
{
    cw_interim_counter_t interim = {0};

    ck_assert_uint_eq(cw_interim_counter_address(&interim, 0, NODES), 0);
    ck_assert(cw_interim_counter_record(&interim, FIRST, 1, true, 0));
    ck_assert_uint_eq(cw_interim_counter_address(&interim, 0, NODES), FIRST);
    ck_assert(!cw_interim_counter_record(&interim, FIRST, 1, true, 0));
    ck_assert(cw_interim_counter_record(&interim, FIRST, 1, true, NODES));
    ck_assert_uint_eq(cw_interim_counter_address(&interim, 0, NODES), 0);
}
END_TEST

START_TEST(a_leader_without_authority_does_not_count)
{
    cw_interim_counter_t interim = {0};

    ck_assert(cw_interim_counter_record(&interim, FIRST, 1, true, 0));
    ck_assert(cw_interim_counter_record(&interim, FIRST, 1, false, 0));
    ck_assert_uint_eq(cw_interim_counter_address(&interim, 0, NODES), 0);
}
END_TEST

START_TEST(a_leader_of_a_later_term_does_not_count_and_replaces_the_first)
{
    cw_interim_counter_t interim = {0};

    ck_assert(cw_interim_counter_record(&interim, FIRST, 1, true, 0));
    ck_assert(cw_interim_counter_record(&interim, SECOND, 2, true, 0));
    ck_assert_uint_eq(cw_interim_counter_address(&interim, 0, NODES), 0);
    ck_assert(!cw_interim_counter_record(&interim, FIRST, 1, true, 0)); /* a late heartbeat */
    ck_assert_uint_eq(cw_interim_counter_address(&interim, 0, NODES), 0);
}
END_TEST

START_TEST(a_number_that_an_earlier_leader_announced_rules_it_out)
{
    cw_interim_counter_t interim = {0};

    ck_assert(cw_interim_counter_record(&interim, FIRST, 1, true, 0));
    ck_assert_uint_eq(cw_interim_counter_address(&interim, NODES, NODES), 0);
}
END_TEST

START_TEST(a_leader_does_not_count_for_many_nodes)
{
    cw_interim_counter_t interim = {0};

    ck_assert(cw_interim_counter_record(&interim, FIRST, 1, true, 0));
    ck_assert_uint_eq(cw_interim_counter_address(&interim, 0, CW_FLEET_MANY_NODES - 1), FIRST);
    ck_assert_uint_eq(cw_interim_counter_address(&interim, 0, CW_FLEET_MANY_NODES), 0);
}
END_TEST

int main(void)
{
    Suite *suite = suite_create("interim_counter");
    TCase *cases = tcase_create("interim_counter");

    tcase_add_test(cases, the_first_leader_counts_until_it_announces_a_number);
    tcase_add_test(cases, a_leader_without_authority_does_not_count);
    tcase_add_test(cases, a_leader_of_a_later_term_does_not_count_and_replaces_the_first);
    tcase_add_test(cases, a_number_that_an_earlier_leader_announced_rules_it_out);
    tcase_add_test(cases, a_leader_does_not_count_for_many_nodes);
    suite_add_tcase(suite, cases);
    return cw_test_main(suite);
}
