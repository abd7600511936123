/**
 * @file test_replaced_versions.c
 * @brief Age of an earlier list while changes follow each other closely.
 */
#include "loop_fixture.h"
#include "router/replaced_versions.h"

START_TEST(the_age_of_an_earlier_version_counts_from_its_replacement)
{
    cw_replaced_versions_t replaced = {0};
    uint32_t               ages[CW_REPLACED_VERSIONS_MAX];
    size_t                 count;

    cw_replaced_versions_add(&replaced, 1, CW_MS(1000));
    cw_replaced_versions_add(&replaced, 2, CW_MS(2000));
    count = cw_replaced_versions_ages(&replaced, CW_MS(2500), ages);
    ck_assert_uint_eq(count, 2);
    ck_assert_int_eq(cw_replaced_versions_valid_at(2, 3, ages, count, CW_MS(2500)),
                     CW_MS(1999)); /* rounded so that the list never seems younger than it is */
    ck_assert_int_eq(cw_replaced_versions_valid_at(1, 3, ages, count, CW_MS(2500)), CW_MS(999));
}
END_TEST

START_TEST(the_age_is_unknown_for_the_newest_version_and_for_those_not_sent)
{
    cw_replaced_versions_t replaced = {0};
    uint32_t               ages[CW_REPLACED_VERSIONS_MAX];
    size_t                 count;
    uint64_t               version;

    for (version = 1; version <= 2 * CW_REPLACED_VERSIONS_MAX; version++) {
        cw_replaced_versions_add(&replaced, version, CW_MS(100 * (int64_t)version));
    }
    count = cw_replaced_versions_ages(&replaced, CW_SECONDS(5), ages);
    ck_assert_uint_eq(count, CW_REPLACED_VERSIONS_MAX);
    ck_assert_int_eq(cw_replaced_versions_valid_at(version, version, ages, count, CW_SECONDS(5)), 0);
    ck_assert_int_eq(cw_replaced_versions_valid_at(version + 1, version, ages, count, CW_SECONDS(5)), 0);
    ck_assert_int_eq(cw_replaced_versions_valid_at(0, version, ages, count, CW_SECONDS(5)), 0);
    ck_assert_int_eq(cw_replaced_versions_valid_at(CW_REPLACED_VERSIONS_MAX, version, ages, count, CW_SECONDS(5)), 0);
    ck_assert_int_gt(cw_replaced_versions_valid_at(CW_REPLACED_VERSIONS_MAX + 1, version, ages, count, CW_SECONDS(5)),
                     0);
}
END_TEST

START_TEST(a_gap_or_a_new_term_discards_earlier_versions)
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
    Suite *suite = suite_create("replaced_versions");
    TCase *cases = tcase_create("replaced_versions");

    tcase_add_test(cases, the_age_of_an_earlier_version_counts_from_its_replacement);
    tcase_add_test(cases, the_age_is_unknown_for_the_newest_version_and_for_those_not_sent);
    tcase_add_test(cases, a_gap_or_a_new_term_discards_earlier_versions);
    suite_add_tcase(suite, cases);
    return cw_test_main(suite);
}
