/**
 * @file test_request_rules.c
 * @brief Each outcome of an attempt with each kind of route: which step it allows, and which final answer may follow.
 */
#include "loop_fixture.h"
#include "proxy/request_rules.h"

enum { MAX_ATTEMPTS = 3 };

static const cw_outcome_t outcomes[] = {CW_OUTCOME_UNSENT, CW_OUTCOME_DENIED, CW_OUTCOME_UNRESPONSIVE,
                                        CW_OUTCOME_BROKEN, CW_OUTCOME_ANSWERED};

enum { OUTCOMES = sizeof(outcomes) / sizeof(outcomes[0]) };

static cw_outcome_facts_t make_facts(cw_outcome_t outcome, bool is_repeatable)
{
    return (cw_outcome_facts_t){.outcome = outcome,
                                .status = outcome == CW_OUTCOME_ANSWERED ? 500 : 0,
                                .is_repeatable = is_repeatable,
                                .has_time = true,
                                .attempts = 1,
                                .max_attempts = MAX_ATTEMPTS};
}

START_TEST(a_request_that_may_have_run_is_sent_again_only_if_repeatable)
{
    size_t index;

    for (index = 0; index < OUTCOMES; index++) {
        cw_outcome_facts_t once = make_facts(outcomes[index], false);
        cw_outcome_facts_t safe = make_facts(outcomes[index], true);
        bool is_sent_again = cw_step_after(&once) == CW_NEXT_REPEAT || cw_step_after(&once) == CW_NEXT_ELSEWHERE;

        ck_assert_int_eq(is_sent_again, !cw_outcome_may_have_run(outcomes[index]));
        ck_assert(cw_step_after(&safe) == CW_NEXT_REPEAT || outcomes[index] == CW_OUTCOME_UNSENT);
    }
}
END_TEST

START_TEST(nothing_is_sent_again_without_time)
{
    size_t index;

    for (index = 0; index < OUTCOMES; index++) {
        cw_outcome_facts_t facts = make_facts(outcomes[index], true);

        facts.has_time = false;
        ck_assert_int_ne(cw_step_after(&facts), CW_NEXT_REPEAT);
        ck_assert_int_ne(cw_step_after(&facts), CW_NEXT_ELSEWHERE);
    }
}
END_TEST

START_TEST(only_attempts_that_reached_a_server_are_limited)
{
    size_t index;

    for (index = 0; index < OUTCOMES; index++) {
        cw_outcome_facts_t facts = make_facts(outcomes[index], true);

        facts.attempts = MAX_ATTEMPTS;
        if (outcomes[index] == CW_OUTCOME_UNSENT) {
            ck_assert_int_eq(cw_step_after(&facts), CW_NEXT_ELSEWHERE);
        } else {
            ck_assert_int_eq(cw_step_after(&facts), cw_step_without_budget(outcomes[index]));
        }
    }
}
END_TEST

START_TEST(a_complete_answer_is_relayed_where_no_repeat_is_allowed)
{
    cw_outcome_facts_t facts = make_facts(CW_OUTCOME_ANSWERED, true);

    facts.status = 200;
    ck_assert_int_eq(cw_step_after(&facts), CW_NEXT_RELAY);
    facts.status = 404;
    ck_assert_int_eq(cw_step_after(&facts), CW_NEXT_RELAY);
    facts = make_facts(CW_OUTCOME_ANSWERED, false);
    ck_assert_int_eq(cw_step_after(&facts), CW_NEXT_RELAY);
    ck_assert_int_eq(cw_step_without_budget(CW_OUTCOME_ANSWERED), CW_NEXT_RELAY);
    ck_assert_int_eq(cw_step_without_budget(CW_OUTCOME_UNRESPONSIVE), CW_NEXT_WAIT); /* the answer may still arrive */
    ck_assert_int_eq(cw_step_without_budget(CW_OUTCOME_BROKEN), CW_NEXT_END);
}
END_TEST

START_TEST(each_evidence_has_an_outcome_that_says_the_same)
{
    cw_run_evidence_t evidence;

    for (evidence = CW_RUN_NOT_SENT; evidence <= CW_RUN_NODE_FAILED; evidence++) {
        ck_assert_int_eq(cw_outcome_may_have_run(cw_outcome_of(evidence)), !cw_run_evidence_excludes_run(evidence));
    }
    ck_assert_int_eq(cw_outcome_of(CW_RUN_ANSWERED), CW_OUTCOME_ANSWERED);
    ck_assert_int_eq(cw_outcome_of(CW_RUN_NOT_SENT), CW_OUTCOME_UNSENT);
    ck_assert_int_eq(cw_outcome_of(CW_RUN_DENIED), CW_OUTCOME_DENIED);
}
END_TEST

START_TEST(a_request_that_may_have_run_is_never_refused)
{
    ck_assert_int_eq(cw_final_of(false, false, false), CW_FINAL_REFUSED);
    ck_assert_int_eq(cw_final_of(false, false, true), CW_FINAL_REFUSED);
    ck_assert_int_eq(cw_final_of(true, false, false), CW_FINAL_UNKNOWN);
    ck_assert_int_eq(cw_final_of(true, false, true), CW_FINAL_LATE);
    ck_assert_int_eq(cw_final_of(false, true, false), CW_FINAL_UNKNOWN);
    ck_assert_int_eq(cw_final_of(false, true, true), CW_FINAL_LATE);
}
END_TEST

START_TEST(a_promising_status_without_a_denial_is_relayed_only_if_repeatable)
{
    static const int promises[] = {408, 421, 429, 503};
    static const int others[] = {200, 400, 404, 500, 502, 504};
    size_t           index;

    for (index = 0; index < sizeof(promises) / sizeof(promises[0]); index++) {
        ck_assert(cw_status_promises_not_run(promises[index]));
        ck_assert(!cw_answer_may_be_relayed(false, promises[index]));
        ck_assert(cw_answer_may_be_relayed(true, promises[index]));
    }
    for (index = 0; index < sizeof(others) / sizeof(others[0]); index++) {
        ck_assert(cw_answer_may_be_relayed(false, others[index]));
    }
}
END_TEST

int main(void)
{
    Suite *suite = suite_create("request rules");
    TCase *cases = tcase_create("rules");

    tcase_add_test(cases, a_request_that_may_have_run_is_sent_again_only_if_repeatable);
    tcase_add_test(cases, nothing_is_sent_again_without_time);
    tcase_add_test(cases, only_attempts_that_reached_a_server_are_limited);
    tcase_add_test(cases, a_complete_answer_is_relayed_where_no_repeat_is_allowed);
    tcase_add_test(cases, each_evidence_has_an_outcome_that_says_the_same);
    tcase_add_test(cases, a_request_that_may_have_run_is_never_refused);
    tcase_add_test(cases, a_promising_status_without_a_denial_is_relayed_only_if_repeatable);
    suite_add_tcase(suite, cases);
    return cw_test_main(suite);
}
