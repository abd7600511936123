/**
 * @file test_capacity.c
 * @brief Tests of the capacity tool's line fitting, counting of messages and renewal of a page.
 */
#include <check.h>
#include <stdlib.h>

#include "../bench/capacity/fit.h"
#include "../bench/capacity/page.h"
#include "../bench/capacity/traffic.h"
#include "cedarwinch/error.h"

START_TEST(line_through_exact_points)
{
    const double      sizes[] = {50, 200, 1000, 4000};
    const double      values[] = {107, 407, 2007, 8007};
    cw_capacity_fit_t fit;

    ck_assert_int_eq(cw_capacity_fit_line(sizes, values, 4, &fit), CW_OK);
    ck_assert_double_eq_tol(fit.slope, 2, 1e-9);
    ck_assert_double_eq_tol(fit.intercept, 7, 1e-6);
    ck_assert_double_eq_tol(fit.r_squared, 1, 1e-12);
    ck_assert_double_eq_tol(fit.residual_max, 0, 1e-9);
    ck_assert_double_eq_tol(cw_capacity_fit_at(&fit, 10000), 20007, 1e-6);
}
END_TEST

/* By hand: x 0 1 2, y 0 3 3: slope 1.5, intercept 0.5, residuals -0.5 1 -0.5, total 6. */
START_TEST(error_of_points_off_the_line)
{
    const double      sizes[] = {0, 1, 2};
    const double      values[] = {0, 3, 3};
    cw_capacity_fit_t fit;

    ck_assert_int_eq(cw_capacity_fit_line(sizes, values, 3, &fit), CW_OK);
    ck_assert_double_eq_tol(fit.slope, 1.5, 1e-12);
    ck_assert_double_eq_tol(fit.intercept, 0.5, 1e-12);
    ck_assert_double_eq_tol(fit.r_squared, 0.75, 1e-12);
    ck_assert_double_eq_tol(fit.residual_max, 1.0 / 3, 1e-12);
}
END_TEST

START_TEST(one_size_gives_no_line)
{
    const double      sizes[] = {5, 5, 5};
    const double      values[] = {1, 2, 3};
    cw_capacity_fit_t fit;

    ck_assert_int_eq(cw_capacity_fit_line(sizes, values, 1, &fit), CW_ERROR_INVALID);
    ck_assert_int_eq(cw_capacity_fit_line(sizes, values, 3, &fit), CW_ERROR_INVALID);
}
END_TEST

START_TEST(updates_with_changes_count_apart)
{
    Cw__Envelope          envelope = CW__ENVELOPE__INIT;
    Cw__RouteUpdate       update = CW__ROUTE_UPDATE__INIT;
    Cw__ControlSnapshot   changes = CW__CONTROL_SNAPSHOT__INIT;
    cw_capacity_traffic_t traffic = {0};
    cw_capacity_traffic_t sum = {0};

    envelope.body_case = CW__ENVELOPE__BODY_ROUTE_UPDATE;
    envelope.route_update = &update;
    cw_capacity_traffic_add(&traffic, cw_capacity_kind(&envelope), 30);
    update.changes = &changes;
    cw_capacity_traffic_add(&traffic, cw_capacity_kind(&envelope), 100);
    cw_capacity_traffic_merge(&sum, &traffic);
    cw_capacity_traffic_merge(&sum, &traffic);
    ck_assert_uint_eq(sum.messages[CW_CAPACITY_CHANGES], 2);
    ck_assert_uint_eq(sum.bytes[CW__ENVELOPE__BODY_ROUTE_UPDATE], 2 * (30 + CW_CAPACITY_FRAME_BYTES));
    ck_assert_double_eq_tol(cw_capacity_traffic_messages(&sum), 4, 1e-9);
    ck_assert_double_eq_tol(cw_capacity_traffic_wire_bytes(&sum),
                            2 * 130 + 4 * (CW_CAPACITY_FRAME_BYTES + CW_CAPACITY_HEADER_BYTES), 1e-9);
}
END_TEST

START_TEST(renewal_leaves_the_rest_of_the_page)
{
    const char *page =
        "top\n<!-- begin a -->\nold a\n<!-- end a -->\n<!-- begin b -->\nold b\n<!-- end b -->\nbottom\n";
    char *renewed = cw_capacity_page_replace(page, "b", "new\n");

    ck_assert_str_eq(renewed, "top\n<!-- begin a -->\nold a\n<!-- end a -->\n<!-- begin b -->\nnew\n<!-- end b -->\n"
                              "bottom\n");
    free(renewed);
    ck_assert_ptr_null(cw_capacity_page_replace(page, "c", "new\n"));
    ck_assert_ptr_null(cw_capacity_page_replace("<!-- end b --> <!-- begin b -->\n", "b", "new\n"));
}
END_TEST

int main(void)
{
    Suite   *suite = suite_create("capacity");
    TCase   *cases = tcase_create("capacity");
    SRunner *runner = srunner_create(suite);
    int      failed;

    tcase_add_test(cases, line_through_exact_points);
    tcase_add_test(cases, error_of_points_off_the_line);
    tcase_add_test(cases, one_size_gives_no_line);
    tcase_add_test(cases, updates_with_changes_count_apart);
    tcase_add_test(cases, renewal_leaves_the_rest_of_the_page);
    suite_add_tcase(suite, cases);
    srunner_run_all(runner, CK_NORMAL);
    failed = srunner_ntests_failed(runner);
    srunner_free(runner);
    return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
