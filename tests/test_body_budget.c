/**
 * @file test_body_budget.c
 * @brief Bytes of bodies over all connections.
 */
#include <stdint.h>

#include "loop_fixture.h"
#include "net/body_budget.h"

START_TEST(no_more_than_the_bound_is_held)
{
    cw_body_budget_t budget = {.most = 100};

    ck_assert(cw_body_budget_reserve(&budget, 60));
    ck_assert(!cw_body_budget_reserve(&budget, 41));
    ck_assert_uint_eq(budget.held, 60);
    ck_assert(cw_body_budget_reserve(&budget, 40));
    cw_body_budget_release(&budget, 60);
    ck_assert(cw_body_budget_reserve(&budget, 60));
    ck_assert_uint_eq(budget.held, 100);
}
END_TEST

START_TEST(lengths_that_callers_make_up_do_not_overflow)
{
    cw_body_budget_t budget = {.most = 100, .held = 10};

    ck_assert(!cw_body_budget_reserve(&budget, SIZE_MAX));
    ck_assert(!cw_body_budget_reserve(&budget, SIZE_MAX - 5));
    ck_assert_uint_eq(budget.held, 10);
}
END_TEST

START_TEST(a_bound_lowered_below_what_is_held_lets_nothing_in)
{
    cw_body_budget_t budget = {.most = 100};

    ck_assert(cw_body_budget_reserve(&budget, 80));
    budget.most = 50;
    ck_assert(!cw_body_budget_reserve(&budget, 1));
    cw_body_budget_release(&budget, 80);
    ck_assert(cw_body_budget_reserve(&budget, 50));
}
END_TEST

int main(void)
{
    Suite *suite = suite_create("body_budget");
    TCase *cases = tcase_create("body_budget");

    tcase_add_test(cases, no_more_than_the_bound_is_held);
    tcase_add_test(cases, lengths_that_callers_make_up_do_not_overflow);
    tcase_add_test(cases, a_bound_lowered_below_what_is_held_lets_nothing_in);
    suite_add_tcase(suite, cases);
    return cw_test_main(suite);
}
