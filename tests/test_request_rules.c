/**
 * @file test_request_rules.c
 * @brief Each outcome of a sending with each kind of route: what it allows, and what its caller may get at last.
 */
#include "loop_fixture.h"
#include "proxy/request_rules.h"

enum { MAX_ATTEMPTS = 3 };

static const cw_outcome_t outcomes[] = {CW_OUTCOME_UNSENT, CW_OUTCOME_DENIED, CW_OUTCOME_SILENT, CW_OUTCOME_BROKEN,
                                        CW_OUTCOME_ANSWERED};

enum { OUTCOMES = sizeof(outcomes) / sizeof(outcomes[0]) };

static cw_outcome_facts_t usual(cw_outcome_t outcome, bool is_repeatable)
{
    return (cw_outcome_facts_t){.outcome = outcome,
                                .status = outcome == CW_OUTCOME_ANSWERED ? 500 : 0,
                                .is_repeatable = is_repeatable,
                                .has_time = true,
                                .attempts = 1,
                                .max_attempts = MAX_ATTEMPTS};
}

START_TEST(what_may_have_run_goes_out_again_only_where_that_may_be)
{
    size_t index;

    for (index = 0; index < OUTCOMES; index++) {
        cw_outcome_facts_t once = usual(outcomes[index], false);
        cw_outcome_facts_t safe = usual(outcomes[index], true);
        bool is_sent_again = cw_step_after(&once) == CW_NEXT_REPEAT || cw_step_after(&once) == CW_NEXT_ELSEWHERE;

        ck_assert_int_eq(is_sent_again, !cw_outcome_may_have_run(outcomes[index]));
        ck_assert(cw_step_after(&safe) == CW_NEXT_REPEAT || outcomes[index] == CW_OUTCOME_UNSENT);
    }
}
END_TEST

START_TEST(nothing_goes_out_again_without_time)
{
    size_t index;

    for (index = 0; index < OUTCOMES; index++) {
        cw_outcome_facts_t facts = usual(outcomes[index], true);

        facts.has_time = false;
        ck_assert_int_ne(cw_step_after(&facts), CW_NEXT_REPEAT);
        ck_assert_int_ne(cw_step_after(&facts), CW_NEXT_ELSEWHERE);
    }
}
END_TEST

START_TEST(attempts_bound_what_a_server_has_seen_and_nothing_else)
{
    size_t index;

    for (index = 0; index < OUTCOMES; index++) {
        cw_outcome_facts_t facts = usual(outcomes[index], true);

        facts.attempts = MAX_ATTEMPTS;
        if (outcomes[index] == CW_OUTCOME_UNSENT) {
            ck_assert_int_eq(cw_step_after(&facts), CW_NEXT_ELSEWHERE);
        } else {
            ck_assert_int_eq(cw_step_after(&facts), cw_step_without_budget(outcomes[index]));
        }
    }
}
END_TEST

START_TEST(a_ready_answer_is_passed_on_where_no_repeat_may_be)
{
    cw_outcome_facts_t facts = usual(CW_OUTCOME_ANSWERED, true);

    facts.status = 200;
    ck_assert_int_eq(cw_step_after(&facts), CW_NEXT_PASS_ON);
    facts.status = 404;
    ck_assert_int_eq(cw_step_after(&facts), CW_NEXT_PASS_ON);
    facts = usual(CW_OUTCOME_ANSWERED, false);
    ck_assert_int_eq(cw_step_after(&facts), CW_NEXT_PASS_ON);
    ck_assert_int_eq(cw_step_without_budget(CW_OUTCOME_ANSWERED), CW_NEXT_PASS_ON);
    ck_assert_int_eq(cw_step_without_budget(CW_OUTCOME_SILENT), CW_NEXT_WAIT); /* its answer may still come */
    ck_assert_int_eq(cw_step_without_budget(CW_OUTCOME_BROKEN), CW_NEXT_END);
}
END_TEST

START_TEST(only_the_servers_own_denial_says_that_it_did_not_run)
{
    ck_assert_int_eq(cw_outcome_of_answer(503, true), CW_OUTCOME_DENIED);
    ck_assert_int_eq(cw_outcome_of_answer(421, false), CW_OUTCOME_DENIED);
    ck_assert_int_eq(cw_outcome_of_answer(503, false), CW_OUTCOME_ANSWERED);
    ck_assert_int_eq(cw_outcome_of_answer(500, false), CW_OUTCOME_ANSWERED);
    ck_assert(cw_outcome_may_have_run(CW_OUTCOME_ANSWERED));
    ck_assert(cw_outcome_may_have_run(cw_outcome_of_abandoned(true)));
    ck_assert(!cw_outcome_may_have_run(cw_outcome_of_abandoned(false)));
}
END_TEST

START_TEST(what_may_have_run_is_never_refused)
{
    ck_assert_int_eq(cw_final_of(false, false, false), CW_FINAL_REFUSED);
    ck_assert_int_eq(cw_final_of(false, false, true), CW_FINAL_REFUSED);
    ck_assert_int_eq(cw_final_of(true, false, false), CW_FINAL_UNKNOWN);
    ck_assert_int_eq(cw_final_of(true, false, true), CW_FINAL_LATE);
    ck_assert_int_eq(cw_final_of(false, true, false), CW_FINAL_UNKNOWN);
    ck_assert_int_eq(cw_final_of(false, true, true), CW_FINAL_LATE);
}
END_TEST

START_TEST(a_servers_promise_without_its_denial_is_passed_on_only_where_it_may_run_twice)
{
    static const int promises[] = {408, 421, 429, 503};
    static const int others[] = {200, 400, 404, 500, 502, 504};
    size_t           index;

    for (index = 0; index < sizeof(promises) / sizeof(promises[0]); index++) {
        ck_assert(cw_status_promises_not_run(promises[index]));
        ck_assert(!cw_answer_may_pass(false, promises[index]));
        ck_assert(cw_answer_may_pass(true, promises[index]));
    }
    for (index = 0; index < sizeof(others) / sizeof(others[0]); index++) {
        ck_assert(cw_answer_may_pass(false, others[index]));
    }
}
END_TEST

int main(void)
{
    Suite *suite = suite_create("request rules");
    TCase *cases = tcase_create("rules");

    tcase_add_test(cases, what_may_have_run_goes_out_again_only_where_that_may_be);
    tcase_add_test(cases, nothing_goes_out_again_without_time);
    tcase_add_test(cases, attempts_bound_what_a_server_has_seen_and_nothing_else);
    tcase_add_test(cases, a_ready_answer_is_passed_on_where_no_repeat_may_be);
    tcase_add_test(cases, only_the_servers_own_denial_says_that_it_did_not_run);
    tcase_add_test(cases, what_may_have_run_is_never_refused);
    tcase_add_test(cases, a_servers_promise_without_its_denial_is_passed_on_only_where_it_may_run_twice);
    suite_add_tcase(suite, cases);
    return cw_test_main(suite);
}
