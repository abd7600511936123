/**
 * @file test_body_budget.c
 * @brief Limit of the memory for request bodies over all connections.
 */
#include <stdint.h>

#include "loop_fixture.h"
#include "net/body_budget.h"

START_TEST(reserves_no_more_than_the_limit)
{
    cw_body_budget_t budget = {.limit_bytes = 100};

    ck_assert(cw_body_budget_reserve(&budget, 60));
    ck_assert(!cw_body_budget_reserve(&budget, 41));
    ck_assert_uint_eq(budget.reserved_bytes, 60);
    ck_assert(cw_body_budget_reserve(&budget, 40));
    cw_body_budget_release(&budget, 60);
    ck_assert(cw_body_budget_reserve(&budget, 60));
    ck_assert_uint_eq(budget.reserved_bytes, 100);
}
END_TEST

START_TEST(very_large_lengths_do_not_overflow)
{
    cw_body_budget_t budget = {.limit_bytes = 100, .reserved_bytes = 10};

    ck_assert(!cw_body_budget_reserve(&budget, SIZE_MAX));
    ck_assert(!cw_body_budget_reserve(&budget, SIZE_MAX - 5));
    ck_assert_uint_eq(budget.reserved_bytes, 10);
}
END_TEST

START_TEST(reserves_nothing_while_a_lowered_limit_is_exceeded)
{
    cw_body_budget_t budget = {.limit_bytes = 100};

    ck_assert(cw_body_budget_reserve(&budget, 80));
    budget.limit_bytes = 50;
    ck_assert(!cw_body_budget_reserve(&budget, 1));
    cw_body_budget_release(&budget, 80);
    ck_assert(cw_body_budget_reserve(&budget, 50));
}
END_TEST

int main(void)
{
    Suite *suite = suite_create("body_budget");
    TCase *cases = tcase_create("body_budget");

    tcase_add_test(cases, reserves_no_more_than_the_limit);
    tcase_add_test(cases, very_large_lengths_do_not_overflow);
    tcase_add_test(cases, reserves_nothing_while_a_lowered_limit_is_exceeded);
    suite_add_tcase(suite, cases);
    return cw_test_main(suite);
}
