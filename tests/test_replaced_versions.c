/**
 * @file test_replaced_versions.c
 * @brief How old an earlier list is while changes follow one another closely.
 */
#include "loop_fixture.h"
#include "router/replaced_versions.h"

START_TEST(an_earlier_number_is_as_old_as_since_it_was_replaced)
{
    cw_replaced_versions_t replaced = {0};
    uint32_t               ages[CW_REPLACED_VERSIONS_MAX];
    size_t                 count;

    cw_replaced_versions_add(&replaced, 1, CW_MS(1000));
    cw_replaced_versions_add(&replaced, 2, CW_MS(2000));
    count = cw_replaced_versions_ages(&replaced, CW_MS(2500), ages);
    ck_assert_uint_eq(count, 2);
    ck_assert_int_eq(cw_replaced_versions_true_at(2, 3, ages, count, CW_MS(2500)), CW_MS(1999)); /* never younger */
    ck_assert_int_eq(cw_replaced_versions_true_at(1, 3, ages, count, CW_MS(2500)), CW_MS(999));
}
END_TEST

START_TEST(nothing_is_known_of_the_newest_and_of_what_is_not_told)
{
    cw_replaced_versions_t replaced = {0};
    uint32_t               ages[CW_REPLACED_VERSIONS_MAX];
    size_t                 count;
    uint64_t               number;

    for (number = 1; number <= 2 * CW_REPLACED_VERSIONS_MAX; number++) {
        cw_replaced_versions_add(&replaced, number, CW_MS(100 * (int64_t)number));
    }
    count = cw_replaced_versions_ages(&replaced, CW_SECONDS(5), ages);
    ck_assert_uint_eq(count, CW_REPLACED_VERSIONS_MAX);
    ck_assert_int_eq(cw_replaced_versions_true_at(number, number, ages, count, CW_SECONDS(5)), 0);
    ck_assert_int_eq(cw_replaced_versions_true_at(number + 1, number, ages, count, CW_SECONDS(5)), 0);
    ck_assert_int_eq(cw_replaced_versions_true_at(0, number, ages, count, CW_SECONDS(5)), 0);
    ck_assert_int_eq(cw_replaced_versions_true_at(CW_REPLACED_VERSIONS_MAX, number, ages, count, CW_SECONDS(5)), 0);
    ck_assert_int_gt(cw_replaced_versions_true_at(CW_REPLACED_VERSIONS_MAX + 1, number, ages, count, CW_SECONDS(5)), 0);
}
END_TEST

START_TEST(a_gap_or_a_new_term_forgets)
{
    cw_replaced_versions_t replaced = {0};
    uint32_t               ages[CW_REPLACED_VERSIONS_MAX];

    cw_replaced_versions_add(&replaced, 1, CW_MS(100));
    cw_replaced_versions_add(&replaced, 5, CW_MS(500));
    ck_assert_uint_eq(cw_replaced_versions_ages(&replaced, CW_SECONDS(1), ages), 1);
    cw_replaced_versions_begin(&replaced);
    ck_assert_uint_eq(cw_replaced_versions_ages(&replaced, CW_SECONDS(1), ages), 0);
}
END_TEST

int main(void)
{
    Suite *suite = suite_create("replaced_numbers");
    TCase *cases = tcase_create("replaced_numbers");

    tcase_add_test(cases, an_earlier_number_is_as_old_as_since_it_was_replaced);
    tcase_add_test(cases, nothing_is_known_of_the_newest_and_of_what_is_not_told);
    tcase_add_test(cases, a_gap_or_a_new_term_forgets);
    suite_add_tcase(suite, cases);
    return cw_test_main(suite);
}
