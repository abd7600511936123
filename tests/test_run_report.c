/**
 * @file test_run_report.c
 * @brief Tests of the report of a run from its log lines.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "cli/cli.h"
#include "cli/run_report.h"
#include "loop_fixture.h"

static const char log_text[] =
    "{\"time\":99.5,\"node\":\"n1\",\"event\":\"start\"}\n"
    "0.1 n1 "
    "{\"time\":100.2,\"node\":\"n1\",\"event\":\"served\",\"service\":\"maps\",\"key\":7,\"total_ms\":50,\"aim_ms\":"
    "200,\"server\":\"i-a\"}\n"
    "{\"time\":100.4,\"node\":\"n1\",\"event\":\"served\",\"service\":\"maps\",\"key\":7,\"total_ms\":250,\"aim_ms\":"
    "200,"
    "\"server\":\"i-a\"}\n"
    "not a line of ours\n"
    "{\"time\":101.0,\"node\":\"n2\",\"event\":\"assignment\",\"reason\":\"former holder let "
    "go\",\"detail\":\"released\","
    "\"service\":\"maps\",\"low\":0,\"last\":99,\"server\":\"i-b\",\"former\":\"i-a\"}\n"
    "{\"time\":101.01,\"node\":\"n1\",\"event\":\"refused\",\"service\":\"maps\",\"key\":7,\"reason\":\"owner of the "
    "key not "
    "known or moving\"}\n"
    "{\"time\":101.02,\"node\":\"n2\",\"event\":\"assignment\",\"reason\":\"granted with "
    "handover\",\"service\":\"maps\","
    "\"low\":0,\"last\":99,\"server\":\"i-b\"}\n"
    "{\"time\":101.5,\"node\":\"n1\",\"event\":\"served\",\"service\":\"maps\",\"key\":7,\"total_ms\":20,\"aim_ms\":"
    "200,"
    "\"server\":\"i-b\"}\n"
    "{\"time\":102.5,\"node\":\"n1\",\"event\":\"failed\",\"service\":\"<b>\",\"reason\":\"connection reset\"}\n"
    "{\"time\":102.6,\"node\":\"n1\",\"event\":\"refused\",\"service\":\"<b>\",\"reason\":\"no slot in time\"}\n"
    "{\"time\":102.7,\"node\":\"n1\",\"event\":\"lines dropped\",\"count\":12}\n";

static cw_run_report_t report;

static void setup(void)
{
    char           name[] = "/tmp/test_run_report_XXXXXX";
    int            file = mkstemp(name);
    const char    *files[] = {name};
    cw_log_lines_t lines = {0};

    ck_assert_int_ge(file, 0);
    ck_assert_int_eq(write(file, log_text, strlen(log_text)), (ssize_t)strlen(log_text));
    close(file);
    ck_assert_int_eq(cw_log_lines_read(&lines, files, 1), CW_EXIT_DONE);
    cw_run_report_make(&report, &lines);
    cw_log_lines_clear(&lines);
    unlink(name);
}

static void teardown(void)
{
    cw_run_report_clear(&report);
}

START_TEST(outcomes_are_counted_by_second_and_service)
{
    ck_assert_uint_eq(report.seconds, 3);
    ck_assert_uint_eq(report.service_count, 2);
    ck_assert_str_eq(report.services[0].name, "maps");
    ck_assert_uint_eq(report.services[0].by_second[0].counts[CW_OUTCOME_IN_AIM], 1);
    ck_assert_uint_eq(report.services[0].by_second[0].counts[CW_OUTCOME_LATE], 1);
    ck_assert_uint_eq(report.services[0].by_second[1].counts[CW_OUTCOME_REFUSED_OWNER], 1);
    ck_assert_uint_eq(report.services[0].all.counts[CW_OUTCOME_IN_AIM], 2);
    ck_assert_uint_eq(report.services[1].by_second[2].counts[CW_OUTCOME_FAILED], 1);
    ck_assert_uint_eq(report.services[1].by_second[2].counts[CW_OUTCOME_REFUSED_SLOT], 1);
    ck_assert_uint_eq(report.dropped, 12);
}
END_TEST

START_TEST(reports_the_hottest_key_with_its_successive_owners)
{
    const cw_report_key_t *hot = &report.services[0].hot[0];

    ck_assert_uint_eq(report.services[0].hot_count, 1);
    ck_assert_uint_eq(hot->key, 7);
    ck_assert_uint_eq(hot->requests, 4);
    ck_assert_uint_eq(hot->owner_count, 2);
    ck_assert_str_eq(hot->owners[0].server, "i-a");
    ck_assert_str_eq(hot->owners[1].server, "i-b");
    ck_assert_double_eq_tol(hot->owners[1].from, 1.5, 1e-6);
}
END_TEST

START_TEST(reports_a_move_with_its_times_and_refused_requests)
{
    ck_assert_uint_eq(report.move_count, 1);
    ck_assert_str_eq(report.moves[0].from, "i-a");
    ck_assert_str_eq(report.moves[0].to, "i-b");
    ck_assert_double_eq_tol(report.moves[0].released, 1.0, 1e-6);
    ck_assert_double_eq_tol(report.moves[0].granted, 1.02, 1e-6);
    ck_assert_uint_eq(report.moves[0].refused, 1);
}
END_TEST

START_TEST(names_from_logs_are_escaped_in_html)
{
    char  *text = NULL;
    size_t size = 0;
    FILE  *out = open_memstream(&text, &size);

    cw_run_report_write_html(&report, out);
    fclose(out);
    ck_assert_ptr_nonnull(strstr(text, "&lt;b&gt;"));
    ck_assert_ptr_null(strstr(text, "<b>"));
    ck_assert_ptr_nonnull(strstr(text, "</html>"));
    free(text);
}
END_TEST

START_TEST(unreadable_file_is_an_error)
{
    const char    *files[] = {"/nonexistent/log"};
    cw_log_lines_t lines = {0};

    ck_assert_int_eq(cw_log_lines_read(&lines, files, 1), CW_EXIT_WRONG_INPUT);
    cw_log_lines_clear(&lines);
}
END_TEST

int main(void)
{
    Suite *suite = suite_create("run_report");
    TCase *cases = tcase_create("run_report");

    tcase_add_checked_fixture(cases, setup, teardown);
    tcase_add_test(cases, outcomes_are_counted_by_second_and_service);
    tcase_add_test(cases, reports_the_hottest_key_with_its_successive_owners);
    tcase_add_test(cases, reports_a_move_with_its_times_and_refused_requests);
    tcase_add_test(cases, names_from_logs_are_escaped_in_html);
    tcase_add_test(cases, unreadable_file_is_an_error);
    suite_add_tcase(suite, cases);
    return cw_test_main(suite);
}
