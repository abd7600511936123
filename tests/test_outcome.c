/**
 * @file test_outcome.c
 * @brief Tests of the reasons, the outcome decision and the repeatability rules.
 */
#include <check.h>
#include <stdlib.h>

#include "cedarwinch/outcome.h"

START_TEST(every_reason_has_its_own_text_and_fitting_status)
{
    int reason;

    for (reason = CW_REASON_BAD_REQUEST; reason < CW_REASON_COUNT; reason++) {
        Cw__Outcome outcome = cw_reason_outcome((cw_reason_t)reason);
        uint32_t    status = cw_reason_status((cw_reason_t)reason);

        ck_assert_ptr_nonnull(cw_reason_text((cw_reason_t)reason));
        ck_assert_int_eq(cw_reason_from_text(cw_reason_text((cw_reason_t)reason)), reason);
        ck_assert(outcome != CW__OUTCOME__OUTCOME_ANSWERED && outcome != CW__OUTCOME__OUTCOME_UNSPECIFIED);
        ck_assert_int_eq(outcome == CW__OUTCOME__OUTCOME_UNKNOWN, status == 504);
        ck_assert(!cw_reason_is_transient((cw_reason_t)reason) || outcome == CW__OUTCOME__OUTCOME_NOT_RUN);
    }
    ck_assert_int_eq(cw_reason_from_text("no such word"), CW_REASON_NONE);
}
END_TEST

START_TEST(not_run_is_decided_only_where_proved)
{
    int deadline_over;
    int result;

    for (deadline_over = 0; deadline_over <= 1; deadline_over++) {
        for (result = CW_SERVER_ANSWERED; result <= CW_SERVER_BROKEN; result++) {
            cw_outcome_facts_t facts = {true, (cw_server_result_t)result, deadline_over != 0};
            Cw__Outcome        outcome = cw_reason_outcome(cw_outcome_decide(&facts));
            bool               proved = result == CW_SERVER_NOT_SENT || result == CW_SERVER_REFUSED;

            ck_assert_int_eq(outcome == CW__OUTCOME__OUTCOME_NOT_RUN, proved);
            ck_assert_int_eq(outcome == CW__OUTCOME__OUTCOME_ANSWERED, result == CW_SERVER_ANSWERED);
            facts.sent = false;
            ck_assert_int_eq(cw_reason_outcome(cw_outcome_decide(&facts)), CW__OUTCOME__OUTCOME_NOT_RUN);
        }
    }
}
END_TEST

typedef struct cw_repeatable_case {
    const char *method;
    const char *path;
    bool        repeatable;
} cw_repeatable_case_t;

static const cw_repeatable_case_t repeatable_cases[] = {
    {"GET", "/map?unlock", true},      {"GET", "", true},
    {"POST", "/unlock", false},        {"POST", "/unlock/7?x=1", false},
    {"post", "/unlock", false},        {"POST", "/Unlock", false},
    {"POST", "/%75nlock", false},      {"POST", "//unlock", false},
    {"POST", "/%2Funlock", false},     {"POST", "/map/../unlock", false},
    {"POST", "/map/%2e%2e/un", false}, {"POST", "/%zz", false},
    {"POST", "/lock", true},           {"POST", "/unloc", true},
    {"POST", "/bill", false},          {"PUT", "/unlock", true},
    {"PUT", "/refund", false},         {"DELETE", "/refund/9", false},
    {"GET", "/refund#", false},        {"PUT", "/caf%C3%A9", true},
    {"PUT", "/a#/refund", true},       {"PATCH", "/?/refund", true},
};

START_TEST(rules_match_what_a_server_would_decode)
{
    Cw__NonRepeatableRule       unlock = CW__NON_REPEATABLE_RULE__INIT;
    Cw__NonRepeatableRule       bill = CW__NON_REPEATABLE_RULE__INIT;
    Cw__NonRepeatableRule       refund = CW__NON_REPEATABLE_RULE__INIT;
    Cw__NonRepeatableRule      *rules[] = {&unlock, &bill, &refund};
    Cw__ServiceConfiguration    service = CW__SERVICE_CONFIGURATION__INIT;
    const cw_repeatable_case_t *one = &repeatable_cases[_i];

    unlock.method = bill.method = (char *)"POST";
    refund.method = (char *)"*";
    unlock.path_prefix = (char *)"/unlock";
    bill.path_prefix = (char *)"/bill/";
    refund.path_prefix = (char *)"/refund";
    service.non_repeatable = rules;
    service.n_non_repeatable = 3;
    ck_assert_msg(cw_request_is_repeatable(&service, one->method, one->path) == one->repeatable, "%s %s", one->method,
                  one->path);
}
END_TEST

START_TEST(slash_prefix_matches_every_path)
{
    Cw__NonRepeatableRule    all = CW__NON_REPEATABLE_RULE__INIT;
    Cw__NonRepeatableRule   *rules[] = {&all};
    Cw__ServiceConfiguration service = CW__SERVICE_CONFIGURATION__INIT;

    all.method = (char *)"*";
    all.path_prefix = (char *)"/";
    service.non_repeatable = rules;
    service.n_non_repeatable = 1;
    ck_assert(!cw_request_is_repeatable(&service, "GET", ""));
    ck_assert(!cw_request_is_repeatable(&service, "GET", "?q"));
    ck_assert(!cw_request_is_repeatable(&service, "GET", "/x"));
}
END_TEST

int main(void)
{
    Suite   *suite = suite_create("outcome");
    TCase   *tests = tcase_create("outcome");
    SRunner *runner = srunner_create(suite);
    int      failed;

    tcase_add_test(tests, every_reason_has_its_own_text_and_fitting_status);
    tcase_add_test(tests, not_run_is_decided_only_where_proved);
    tcase_add_loop_test(tests, rules_match_what_a_server_would_decode, 0,
                        (int)(sizeof(repeatable_cases) / sizeof(repeatable_cases[0])));
    tcase_add_test(tests, slash_prefix_matches_every_path);
    suite_add_tcase(suite, tests);
    srunner_run_all(runner, CK_NORMAL);
    failed = srunner_ntests_failed(runner);
    srunner_free(runner);
    return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
