/**
 * @file test_run_evidence.c
 * @brief Guards against a promise without evidence: which ends of an attempt show that it has not run.
 */
#include "loop_fixture.h"
#include "proxy/run_evidence.h"

enum { FLAGS = 6 };

/* Facts from the bits of a number, so that a loop goes through all of them. */
static cw_answer_facts_t facts_from(unsigned bits, int status)
{
    return (cw_answer_facts_t){.status = status,
                               .has_denial = (bits & 1U) != 0,
                               .names_request = (bits & 2U) != 0,
                               .names_other_server = (bits & 4U) != 0,
                               .is_first_on_connection = (bits & 8U) != 0,
                               .carried_before = (bits & 16U) != 0,
                               .has_signature = (bits & 32U) != 0};
}

static bool excludes_run(const cw_answer_facts_t *facts)
{
    return cw_run_evidence_excludes_run(cw_run_evidence_of_answer(facts));
}

START_TEST(no_status_by_itself_shows_that_a_request_has_not_run)
{
    static const int statuses[] = {200, 400, 408, 429, 500, 502, 503, 504};
    size_t           index;

    for (index = 0; index < sizeof(statuses) / sizeof(statuses[0]); index++) {
        cw_answer_facts_t facts = {
            .status = statuses[index], .has_signature = true, .names_request = true, .is_first_on_connection = true};

        ck_assert_int_eq(cw_run_evidence_of_answer(&facts), CW_RUN_ANSWERED);
    }
}
END_TEST

START_TEST(a_421_shows_it_only_with_the_field_or_from_another_server)
{
    cw_answer_facts_t facts = {.status = 421, .names_request = true};

    ck_assert_int_eq(cw_run_evidence_of_answer(&facts), CW_RUN_DENIAL_UNSTATED);
    facts.names_other_server = true;
    ck_assert_int_eq(cw_run_evidence_of_answer(&facts), CW_RUN_OTHER_INCARNATION);
    facts.has_denial = true;
    ck_assert_int_eq(cw_run_evidence_of_answer(&facts), CW_RUN_DENIED);
}
END_TEST

START_TEST(a_denial_shows_it_only_of_an_attempt_that_alone_can_have_caused_it)
{
    static const int statuses[] = {400, 421, 429, 503};
    unsigned         bits;
    size_t           index;

    for (index = 0; index < sizeof(statuses) / sizeof(statuses[0]); index++) {
        for (bits = 0; bits < 1U << FLAGS; bits++) {
            cw_answer_facts_t facts = facts_from(bits, statuses[index]);
            bool is_its_own = facts.is_first_on_connection || (facts.names_request && !facts.carried_before);

            ck_assert(is_its_own || !excludes_run(&facts));
            ck_assert(!is_its_own || !facts.has_denial || excludes_run(&facts));
        }
    }
}
END_TEST

START_TEST(an_attempt_without_an_answer_has_not_run_only_if_nothing_was_sent)
{
    ck_assert(cw_run_evidence_excludes_run(cw_run_evidence_without_answer(false)));
    ck_assert(!cw_run_evidence_excludes_run(cw_run_evidence_without_answer(true)));
}
END_TEST

/* A page of another program came to the caller as the answer to a request that never ran; or a caller gave up at 404,
 * whatever sent it. */
START_TEST(an_answer_below_500_is_the_servers_own_only_with_its_signature)
{
    int      status;
    unsigned bits;

    for (status = 200; status <= 499; status++) {
        for (bits = 0; bits < 1U << FLAGS; bits++) {
            cw_answer_facts_t facts = facts_from(bits, status);
            cw_run_evidence_t evidence = cw_run_evidence_of_relayed_answer(&facts);

            ck_assert_int_eq(evidence, facts.has_signature ? CW_RUN_ANSWERED : CW_RUN_ANSWER_UNSIGNED);
            ck_assert_int_eq(cw_run_evidence_is_servers_own(evidence), facts.has_signature);
            ck_assert(!cw_run_evidence_excludes_run(evidence));
        }
    }
}
END_TEST

START_TEST(a_5xx_is_the_servers_own_only_with_a_signature_or_the_requests_id)
{
    int      status;
    unsigned bits;

    for (status = 500; status <= 599; status++) {
        for (bits = 0; bits < 1U << FLAGS; bits++) {
            cw_answer_facts_t facts = facts_from(bits, status);
            bool              is_own = facts.has_signature || facts.names_request;

            ck_assert_int_eq(cw_run_evidence_of_relayed_answer(&facts),
                             is_own ? CW_RUN_ANSWERED : CW_RUN_ANSWER_UNNAMED);
        }
    }
}
END_TEST

START_TEST(an_encoding_that_was_not_asked_for_is_not_the_servers_body)
{
    cw_answer_facts_t facts = {.status = 200, .has_signature = true, .names_request = true, .is_encoded = true};

    ck_assert_int_eq(cw_run_evidence_of_answer(&facts), CW_RUN_ANSWER_ENCODED);
    ck_assert(!cw_run_evidence_is_servers_own(CW_RUN_ANSWER_ENCODED));
    ck_assert(!cw_run_evidence_excludes_run(CW_RUN_ANSWER_ENCODED));
}
END_TEST

START_TEST(another_node_shows_it_only_by_its_own_words)
{
    ck_assert(cw_run_evidence_excludes_run(cw_run_evidence_of_node(CW_DELEGATION_DECLINED)));
    ck_assert(cw_run_evidence_excludes_run(cw_run_evidence_of_node(CW_DELEGATION_REFUSED)));
    ck_assert(!cw_run_evidence_excludes_run(cw_run_evidence_of_node(CW_DELEGATION_FAILED)));
    ck_assert(!cw_run_evidence_excludes_run(cw_run_evidence_of_node(CW_DELEGATION_ANSWERED)));
}
END_TEST

START_TEST(each_evidence_has_a_text)
{
    cw_run_evidence_t evidence;

    for (evidence = CW_RUN_NOT_SENT; evidence <= CW_RUN_NODE_FAILED; evidence++) {
        ck_assert_ptr_nonnull(cw_run_evidence_text(evidence));
    }
}
END_TEST

int main(void)
{
    Suite *suite = suite_create("run evidence");
    TCase *cases = tcase_create("evidence");

    tcase_add_test(cases, no_status_by_itself_shows_that_a_request_has_not_run);
    tcase_add_test(cases, a_421_shows_it_only_with_the_field_or_from_another_server);
    tcase_add_test(cases, a_denial_shows_it_only_of_an_attempt_that_alone_can_have_caused_it);
    tcase_add_test(cases, an_attempt_without_an_answer_has_not_run_only_if_nothing_was_sent);
    tcase_add_test(cases, an_answer_below_500_is_the_servers_own_only_with_its_signature);
    tcase_add_test(cases, a_5xx_is_the_servers_own_only_with_a_signature_or_the_requests_id);
    tcase_add_test(cases, an_encoding_that_was_not_asked_for_is_not_the_servers_body);
    tcase_add_test(cases, another_node_shows_it_only_by_its_own_words);
    tcase_add_test(cases, each_evidence_has_a_text);
    suite_add_tcase(suite, cases);
    return cw_test_main(suite);
}
