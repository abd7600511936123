/**
 * @file test_explain.c
 * @brief Tests of `cedarwinch explain` (causes of 401, 429, refusals by regions, answers that waited for an earlier
 * one) and of the refusals in `cedarwinch report`.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "cli/cli.h"
#include "cli/explain_cause.h"
#include "cli/run_refusals.h"
#include "loop_fixture.h"
#include "tenancy/caller_identity.h"

#define LINE(time, node, event, fields) "{\"time\":" time ",\"node\":\"" node "\",\"event\":\"" event "\"," fields "}\n"

static const char log_text[] =
    LINE("1.0", "n1", "limit mode", "\"tenant\":\"rimac\",\"limit_mode\":\"metered\",\"peer\":\"10.0.0.2:7000\"")
        LINE("1.1", "n1", "limit mode", "\"tenant\":\"harbour\",\"limit_mode\":\"metered\",\"peer\":\"10.0.0.3:7000\"")
            LINE("1.2", "n2", "limit mode",
                 "\"tenant\":\"rimac\",\"limit_mode\":\"alone\"") LINE("1.3", "n1", "keys stale", "\"silent_ms\":2000")
                LINE("2.0", "n1", "refused",
                     "\"request\":\"limit-1\",\"status\":429,\"reason\":\"the tenant's rate\",\"tenant\":\"rimac\","
                     "\"limit_mode\":\"metered\",\"limit_age_ms\":12,\"retry_after_ms\":90")
                    LINE("2.1", "n1", "refused",
                         "\"request\":\"key-1\",\"status\":401,\"reason\":\"unknown "
                         "key\",\"route\":\"r\",\"configuration\":3")
                        LINE("2.2", "n1", "refused",
                             "\"request\":\"region-1\",\"status\":503,\"reason\":\"outside "
                             "regions\",\"service\":\"maps\",\"key\":7,"
                             "\"server\":\"i-a\",\"tenant\":\"<harbour>\"")
                            LINE("2.3", "n1", "served", "\"request\":\"slow-1\",\"service\":\"maps\",\"total_ms\":400")
                                LINE("2.4", "n1", "answer waited",
                                     "\"request\":\"quick-1\",\"waited_ms\":231,\"waited_for\":\"slow-1\"")
                                    LINE("2.5", "n1", "answer waited",
                                         "\"request\":\"quick-2\",\"waited_ms\":80,\"waited_for\":\"slow-1\"")
                                        LINE("2.6", "n1", "refused",
                                             "\"request\":\"key-2\",\"status\":401,\"reason\":\"unknown key\"")
                                            LINE("9.0", "n1", "traffic",
                                                 "\"sent_zone\":\"100 notice:90/2\",\"sent_region\":\"20 "
                                                 "list:20/1\",\"sent_remote\":\"7\"")
                                                LINE("9.1", "n2", "traffic",
                                                     "\"sent_zone\":\"1\",\"sent_region\":\"0\",\"sent_remote\":\"3\"");

static char log_name[] = "/tmp/test_explain_XXXXXX";

static void setup(void)
{
    int file;

    memcpy(log_name + sizeof(log_name) - sizeof("XXXXXX"), "XXXXXX", sizeof("XXXXXX"));
    file = mkstemp(log_name);
    ck_assert_int_ge(file, 0);
    ck_assert_int_eq(write(file, log_text, strlen(log_text)), (ssize_t)strlen(log_text));
    close(file);
}

static void teardown(void)
{
    unlink(log_name);
}

/* Returns what `cedarwinch explain` prints for a request. */
static const char *explain_output(const char *request)
{
    static char printed[8192];
    const char *files[] = {log_name};
    FILE       *real = stdout;
    FILE       *stream = fmemopen(printed, sizeof(printed), "w");

    memset(printed, 0, sizeof(printed));
    stdout = stream;
    ck_assert_int_eq(cw_cli_explain(request, files, 1), CW_EXIT_DONE);
    stdout = real;
    fclose(stream);
    return printed;
}

static void expect(const char *printed, const char *text)
{
    ck_assert_msg(strstr(printed, text) != NULL, "'%s' is not in '%s'", text, printed);
}

static cw_run_refusals_t refusals_of(void)
{
    const char       *files[] = {log_name};
    cw_log_lines_t    lines = {0};
    cw_run_refusals_t refusals;

    ck_assert_int_eq(cw_log_lines_read(&lines, files, 1), CW_EXIT_DONE);
    cw_run_refusals_make(&refusals, &lines);
    cw_log_lines_clear(&lines);
    return refusals;
}

START_TEST(explains_a_429_with_the_counting_node)
{
    const char *printed = explain_output("limit-1");

    expect(printed, "cause: 429: over all nodes the tenant is at its limit");
    expect(printed, "rests on: 1.000 n1 limit mode tenant=\"rimac\" limit_mode=\"metered\" peer=\"10.0.0.2:7000\"");
    ck_assert_ptr_null(strstr(printed, "harbour")); /* named only by the line of another tenant */
    ck_assert_ptr_null(strstr(printed, "alone"));   /* named only by the line of another node */
}
END_TEST

START_TEST(names_a_tenant_without_keys_by_its_route)
{
    const char       *printed;
    cw_run_refusals_t refusals;
    FILE             *file = fopen(log_name, "w");

    fputs(LINE("1.0", "n1", "limit mode", "\"tenant\":\"rimac\",\"limit_mode\":\"alone\"")
              LINE("1.1", "n1", "limit mode", "\"tenant\":\"harbour\",\"limit_mode\":\"metered\"") LINE(
                  "2.0", "n1", "refused",
                  "\"request\":\"limit-2\",\"status\":429,\"reason\":\"the tenant's rate\",\"route\":\"rimac/pages\","
                  "\"limit_mode\":\"alone\""),
          file);
    fclose(file);
    printed = explain_output("limit-2");
    expect(printed, "rests on: 1.000 n1 limit mode tenant=\"rimac\"");
    refusals = refusals_of();
    ck_assert_uint_eq(refusals.tenants.count, 1);
    ck_assert_str_eq(refusals.tenants.items[0].name, "rimac");
}
END_TEST

START_TEST(explains_a_401_with_its_rule_and_the_age_of_the_keys)
{
    const char *printed = explain_output("key-1");

    expect(printed, "cause: 401: no tenant has this key in the version named here");
    expect(printed, "rests on: 1.300 n1 keys stale");
}
END_TEST

START_TEST(explains_a_refusal_by_regions)
{
    expect(explain_output("region-1"),
           "cause: 503: the owner of its key lies where the route or the tenant may not go");
}
END_TEST

START_TEST(explains_an_answer_that_waited_with_the_earlier_request)
{
    const char *printed = explain_output("quick-1");

    expect(printed, "answer waited waited_ms=231 waited_for=\"slow-1\"");
    expect(printed, "cause: its answer was here; an earlier request of the same connection");
    expect(printed, "the request that it waited for, slow-1:\n        2.300 n1 served");
    ck_assert_ptr_null(strstr(printed, "quick-2"));
}
END_TEST

START_TEST(each_rejection_of_a_caller_has_its_own_cause)
{
    static const cw_caller_verdict_t verdicts[] = {CW_CALLER_NO_KEY, CW_CALLER_MALFORMED, CW_CALLER_UNKNOWN_KEY,
                                                   CW_CALLER_OTHER_TENANT};
    const char                      *seen[sizeof(verdicts) / sizeof(verdicts[0])];
    size_t                           index;
    size_t                           other;

    for (index = 0; index < sizeof(verdicts) / sizeof(verdicts[0]); index++) {
        cw_log_line_t line = {.event = "refused", .node = "n1"};

        line.fields = json_pack("{s:s}", "reason", cw_caller_reason(verdicts[index]));
        seen[index] = cw_explain_cause(&line);
        ck_assert_ptr_nonnull(seen[index]);
        for (other = 0; other < index; other++) {
            ck_assert_str_ne(seen[index], seen[other]);
        }
        json_decref(line.fields);
    }
}
END_TEST

/* ---- the report ---- */

START_TEST(refusals_are_counted_by_reason_and_tenant)
{
    cw_run_refusals_t refusals = refusals_of();

    ck_assert_uint_eq(refusals.reasons.count, 3);
    ck_assert_str_eq(refusals.reasons.items[0].name, "401 unknown key");
    ck_assert_uint_eq(refusals.reasons.items[0].count, 2);
    ck_assert_str_eq(refusals.reasons.items[1].name, "429 the tenant's rate, metered");
    ck_assert_str_eq(refusals.reasons.items[2].name, "503 outside regions");
    ck_assert_uint_eq(refusals.tenants.count, 2);
    ck_assert_uint_eq(refusals.waited, 2);
    ck_assert_double_eq(refusals.waited_longest_ms, 231);
    ck_assert_str_eq(refusals.waited_for, "slow-1");
    ck_assert_uint_eq(refusals.sent_bytes[CW_DISTANCE_ZONE], 101);
    ck_assert_uint_eq(refusals.sent_bytes[CW_DISTANCE_REGION], 20);
    ck_assert_uint_eq(refusals.sent_bytes[CW_DISTANCE_REMOTE], 10);
    ck_assert_uint_eq(refusals.ended, 2);
}
END_TEST

START_TEST(reports_the_largest_tenants_and_a_sum_of_the_others)
{
    FILE             *file = fopen(log_name, "w");
    cw_run_refusals_t refusals;
    size_t            tenant;

    for (tenant = 0; tenant < 500; tenant++) {
        fprintf(file,
                LINE("1.0", "n1", "refused", "\"status\":429,\"reason\":\"the tenant's rate\",\"tenant\":\"t%zu\""),
                tenant);
    }
    fprintf(file, LINE("1.1", "n1", "refused", "\"status\":429,\"reason\":\"the tenant's rate\",\"tenant\":\"t499\""));
    fclose(file);
    refusals = refusals_of();
    ck_assert_uint_eq(refusals.tenants.count, CW_REFUSALS_NAMED);
    ck_assert_str_eq(refusals.tenants.items[0].name, "t499");
    ck_assert_uint_eq(refusals.tenants.items[0].count, 2);
    ck_assert_uint_eq(refusals.tenants.others, 500 - CW_REFUSALS_NAMED);
    ck_assert_uint_eq(refusals.tenants.others_sum, 500 - CW_REFUSALS_NAMED);
}
END_TEST

START_TEST(page_and_text_report_the_same)
{
    cw_run_refusals_t refusals = refusals_of();
    static char       text[8192];
    static char       page[8192];
    FILE             *text_out = fmemopen(text, sizeof(text), "w");
    FILE             *page_out = fmemopen(page, sizeof(page), "w");

    cw_run_refusals_write_text(&refusals, text_out);
    cw_run_refusals_write_html(&refusals, page_out);
    fclose(text_out);
    fclose(page_out);
    expect(text, "       2 401 unknown key\n");
    expect(text, "answers that waited for their turn: 2, the longest 231 ms (request quick-1, for slow-1)");
    expect(text, "bytes between nodes to other regions: 10 (2 processes that ended)");
    expect(page, "<tr><td>2</td><td>401 unknown key</td></tr>");
    expect(page, "<td>&lt;harbour&gt;</td>");
    ck_assert_ptr_null(strstr(page, "<harbour>"));
}
END_TEST

int main(void)
{
    Suite *suite = suite_create("explain");
    TCase *cases = tcase_create("explain");

    tcase_add_checked_fixture(cases, setup, teardown);
    tcase_add_test(cases, explains_a_429_with_the_counting_node);
    tcase_add_test(cases, names_a_tenant_without_keys_by_its_route);
    tcase_add_test(cases, explains_a_401_with_its_rule_and_the_age_of_the_keys);
    tcase_add_test(cases, explains_a_refusal_by_regions);
    tcase_add_test(cases, explains_an_answer_that_waited_with_the_earlier_request);
    tcase_add_test(cases, each_rejection_of_a_caller_has_its_own_cause);
    tcase_add_test(cases, refusals_are_counted_by_reason_and_tenant);
    tcase_add_test(cases, reports_the_largest_tenants_and_a_sum_of_the_others);
    tcase_add_test(cases, page_and_text_report_the_same);
    suite_add_tcase(suite, cases);
    return cw_test_main(suite);
}
