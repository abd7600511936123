/**
 * @file test_evidence.c
 * @brief Feeds the evidence checker good records and, one at a time, every kind of bad one.
 */
#include <check.h>
#include <inttypes.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "../bench/evidence/evidence.h"
#include "cedarwinch/error.h"

enum { LINE_SIZE = 600 };

#define HALF   UINT64_C(0x7fffffffffffffff)
#define A      "t/s/a"
#define B      "t/s/b"
#define KEY    "key"
#define REPEAT true

static cw_records_t    records;
static cw_violations_t violations;

static void setup(void)
{
    records = (cw_records_t){0};
    violations = (cw_violations_t){0};
}

static void teardown(void)
{
    cw_records_clear(&records);
}

/* Event of ownership of a part of service t/s under fence 1.INDEX. */
static void part(const char *event, const char *server, uint64_t low, uint64_t last, unsigned index, int64_t real_us)
{
    char line[LINE_SIZE];

    snprintf(line, sizeof(line),
             "{\"event\":\"%s\",\"server\":\"%s\",\"incarnation\":\"1\",\"range\":1,\"service\":\"%016" PRIx64
             "\",\"low\":\"%016" PRIx64 "\",\"last\":\"%016" PRIx64 "\",\"fence\":\"1.%u\",\"real_us\":%" PRId64 "}",
             event, server, cw_hash_service("t", "s"), low, last, index, real_us);
    ck_assert_int_eq(cw_records_add_event(&records, line), CW_OK);
}

static void run(const char *event, const char *server, const char *request, const char *key, unsigned index,
                int64_t real_us)
{
    char line[LINE_SIZE];

    snprintf(line, sizeof(line),
             "{\"event\":\"%s\",\"server\":\"%s\",\"incarnation\":\"1\",\"request\":\"%s\",\"key\":\"%s\","
             "\"key_hash\":\"%016" PRIx64 "\",\"service\":\"%016" PRIx64 "\",\"fence\":\"1.%u\",\"real_us\":%" PRId64
             "}",
             event, server, request, key, cw_hash_key(key, strlen(key)), cw_hash_service("t", "s"), index, real_us);
    ck_assert_int_eq(cw_records_add_event(&records, line), CW_OK);
}

static void answer(const char *request, const char *outcome, int64_t answered_us, bool is_repeat, const char *more)
{
    char line[LINE_SIZE];

    snprintf(line, sizeof(line),
             "{\"request\":\"%s\",\"tenant\":\"t\",\"service\":\"s\",\"key\":\"" KEY "\",\"non_repeatable\":true,"
             "\"repeat\":%s,\"intended_us\":%" PRId64 ",\"answered_us\":%" PRId64
             ",\"status\":503,\"outcome\":\"%s\"%s}",
             request, is_repeat ? "true" : "false", answered_us - 20, answered_us, outcome, more);
    ck_assert_int_eq(cw_records_add_answer(&records, line), CW_OK);
}

/* Server a owns everything from 100 to 300, then server b; one request each is answered, two are not run. */
static void add_good_records(void)
{
    part("grant", A, 0, UINT64_MAX, 5, 100);
    run("start", A, "r1", KEY, 5, 200);
    run("effect", A, "r1", KEY, 5, 210);
    run("start", A, "r3", KEY, 5, 220);
    run("abandoned", A, "r3", KEY, 5, 230);
    part("revoke", A, 0, UINT64_MAX, 5, 300);
    part("grant", B, 0, UINT64_MAX, 6, 300);
    run("start", B, "r2", KEY, 6, 400);
    run("effect", B, "r2", KEY, 6, 410);
    answer("r1", "answered", 220, false, ",\"echoed\":true");
    answer("r3", "not-run", 240, false, "");
    answer("r4", "unknown", 320, false, "");
    answer("r2", "answered", 420, false, "");
    answer("r2", "not-run", 421, REPEAT, "");
}

static uint64_t check(cw_violation_kind_t kind)
{
    cw_records_sort(&records);
    cw_check_ownership(&records, &violations);
    cw_check_fences(&records, &violations);
    cw_check_requests(&records, &violations);
    ck_assert_uint_eq(violations.total, violations.counts[kind]);
    return violations.total;
}

START_TEST(good_records_pass)
{
    add_good_records();
    ck_assert_uint_eq(check(0), 0);
}
END_TEST

START_TEST(two_owners_are_caught)
{
    add_good_records();
    part("grant", "t/s/c", HALF, UINT64_MAX, 7, 409); /* b has not given it up */
    ck_assert_uint_eq(check(CW_VIOLATION_TWO_OWNERS), 1);
}
END_TEST

START_TEST(part_that_was_given_up_may_be_granted)
{
    part("grant", A, 0, UINT64_MAX, 5, 100);
    part("revoke", A, 0, HALF, 5, 200);
    part("grant", B, 0, HALF, 6, 200);
    part("lapse", A, HALF + 1, UINT64_MAX, 5, 300);
    part("grant", B, HALF + 1, UINT64_MAX, 7, 300);
    ck_assert_uint_eq(check(0), 0);
    part("grant", "t/s/c", HALF + 1, UINT64_MAX, 8, 299);
    ck_assert_uint_ge(check(CW_VIOLATION_TWO_OWNERS), 1);
}
END_TEST

START_TEST(killed_owner_counts_up_to_its_last_sign_of_life)
{
    part("grant", A, 0, UINT64_MAX, 5, 100);
    part("grant", B, 0, UINT64_MAX, 6, 300);
    ck_assert_int_eq(cw_records_add_event(&records, "{\"event\":\"renew\",\"server\":\"" A
                                                    "\",\"incarnation\":\"1\",\"real_us\":300}"),
                     CW_OK);
    run("effect", B, "r", KEY, 6, 400);
    ck_assert_uint_eq(check(0), 0);
    ck_assert_int_eq(cw_records_add_event(&records, "{\"event\":\"renew\",\"server\":\"" A
                                                    "\",\"incarnation\":\"1\",\"real_us\":301}"),
                     CW_OK);
    ck_assert_uint_eq(check(CW_VIOLATION_TWO_OWNERS), 1);
}
END_TEST

START_TEST(effect_outside_ownership_is_caught)
{
    add_good_records();
    run("effect", A, "r5", KEY, 5, 299);
    ck_assert_uint_eq(check(0), 0);
    run("effect", B, "r6", KEY, 5, 411); /* owned, but not under this fence */
    cw_records_sort(&records);
    cw_check_ownership(&records, &violations);
    ck_assert_uint_eq(violations.counts[CW_VIOLATION_NOT_OWNED], 1);
    run("start", A, "r7", KEY, 5, 301); /* given up */
    cw_check_ownership(&records, &violations);
    ck_assert_uint_eq(violations.counts[CW_VIOLATION_NOT_OWNED], 3);
}
END_TEST

START_TEST(lower_fence_is_caught)
{
    add_good_records();
    part("revoke", B, 0, UINT64_MAX, 6, 500);
    part("grant", A, 0, UINT64_MAX, 5, 500);
    run("effect", A, "r5", "other key", 5, 510);
    ck_assert_uint_eq(check(0), 0);
    run("effect", A, "r6", KEY, 5, 511);
    ck_assert_uint_eq(check(CW_VIOLATION_FENCE_DOWN), 1);
}
END_TEST

START_TEST(second_run_is_caught)
{
    add_good_records();
    run("effect", B, "r1", KEY, 6, 430);
    ck_assert_uint_eq(check(CW_VIOLATION_RAN_TWICE), 1);
}
END_TEST

START_TEST(effect_of_a_refused_request_is_caught)
{
    add_good_records();
    run("effect", B, "r3", KEY, 6, 430); /* later, elsewhere */
    ck_assert_uint_eq(check(CW_VIOLATION_NOT_RUN_RAN), 1);
    answer("r5", "not-sent", 400, false, "");
    run("effect", B, "r5", KEY, 6, 431);
    ck_assert_uint_eq(check(CW_VIOLATION_NOT_RUN_RAN), 3);
}
END_TEST

START_TEST(unknown_may_have_run)
{
    add_good_records();
    run("effect", B, "r4", KEY, 6, 430);
    ck_assert_uint_eq(check(0), 0);
}
END_TEST

START_TEST(answer_without_effect_is_caught)
{
    add_good_records();
    answer("r5", "answered", 450, false, "");
    ck_assert_uint_eq(check(CW_VIOLATION_ANSWERED_NOT_RUN), 1);
    answer("r6", "answered", 450, false, "");
    run("effect", B, "r6", KEY, 6, 451); /* after its answer */
    ck_assert_uint_eq(check(CW_VIOLATION_ANSWERED_NOT_RUN), 3);
}
END_TEST

START_TEST(effect_on_another_key_is_caught)
{
    add_good_records();
    answer("r5", "answered", 450, false, "");
    run("effect", B, "r5", "other key", 6, 440);
    ck_assert_uint_eq(check(CW_VIOLATION_OTHER_KEY), 1);
}
END_TEST

START_TEST(foreign_answer_is_caught)
{
    add_good_records();
    answer("r2", "answered", 450, REPEAT, ",\"echoed\":false");
    ck_assert_uint_eq(check(CW_VIOLATION_FOREIGN_ANSWER), 1);
}
END_TEST

START_TEST(malformed_line_is_caught)
{
    char  name[] = "/tmp/cw-evidence-XXXXXX";
    FILE *file = fdopen(mkstemp(name), "w");

    fputs("{\"event\":\"boot\",\"server\":\"a\",\"incarnation\":\"1\",\"real_us\":5}\n", file);
    fputs("{\"event\":\"effect\",\"server\":\"a\",\"incarn\n{\"event\":\"born\"}\n", file);
    fclose(file);
    ck_assert_int_eq(cw_records_read(&records, name, false, &violations), CW_OK);
    ck_assert_uint_eq(violations.counts[CW_VIOLATION_MALFORMED], 2);
    ck_assert_uint_eq(records.event_count, 1);
    ck_assert_int_eq(cw_records_read(&records, "/nonexistent", false, &violations), CW_ERROR_IO);
    unlink(name);
}
END_TEST

START_TEST(summary_measures_moves_imbalance_and_gaps)
{
    cw_service_summary_t summary;

    add_good_records();
    run("effect", B, "r5", "other key", 6, 412);
    run("effect", B, "r6", "other key", 6, 413);
    cw_records_sort(&records);
    ck_assert_int_eq(cw_summary_make(&records, 0, &summary), CW_OK);
    ck_assert_uint_eq(summary.requests, 4); /* the repeat is not counted */
    ck_assert_uint_eq(summary.ends[CW_CALL_ANSWERED], 2);
    ck_assert_uint_eq(summary.effects, 4);
    ck_assert_uint_eq(summary.key_moves, 1);
    ck_assert_double_eq_tol(summary.imbalance, 3.0 / 2, 0.001);
    ck_assert_int_eq(summary.unavailable_us, 420 - 220);       /* r3 was intended at 220, r2 answered at 420 */
    ck_assert_int_eq(summary.unavailable_least_us, 320 - 220); /* r4 ended unknown at 320 */
    ck_assert_uint_eq(summary.keys_with_gap, 1);
    ck_assert_int_eq(summary.p50_us, 20);
}
END_TEST

int main(void)
{
    Suite   *suite = suite_create("evidence");
    TCase   *tests = tcase_create("evidence");
    SRunner *runner = srunner_create(suite);
    int      failed;

    tcase_add_checked_fixture(tests, setup, teardown);
    tcase_add_test(tests, good_records_pass);
    tcase_add_test(tests, two_owners_are_caught);
    tcase_add_test(tests, part_that_was_given_up_may_be_granted);
    tcase_add_test(tests, killed_owner_counts_up_to_its_last_sign_of_life);
    tcase_add_test(tests, effect_outside_ownership_is_caught);
    tcase_add_test(tests, lower_fence_is_caught);
    tcase_add_test(tests, second_run_is_caught);
    tcase_add_test(tests, effect_of_a_refused_request_is_caught);
    tcase_add_test(tests, unknown_may_have_run);
    tcase_add_test(tests, answer_without_effect_is_caught);
    tcase_add_test(tests, effect_on_another_key_is_caught);
    tcase_add_test(tests, foreign_answer_is_caught);
    tcase_add_test(tests, malformed_line_is_caught);
    tcase_add_test(tests, summary_measures_moves_imbalance_and_gaps);
    suite_add_tcase(suite, tests);
    srunner_run_all(runner, CK_NORMAL);
    failed = srunner_ntests_failed(runner);
    srunner_free(runner);
    return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
