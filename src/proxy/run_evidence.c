/**
 * @file run_evidence.c
 * @brief Decides what counts as evidence that a request has not run.
 */
#include "proxy/run_evidence.h"

enum { STATUS_MISDIRECTED = 421, STATUS_SERVER_ERROR = 500 };

/* The answer cannot have been caused by another attempt than the one whose answer was awaited. */
static bool is_of_this_attempt(const cw_answer_facts_t *facts)
{
    return facts->is_first_on_connection || (facts->names_request && !facts->carried_before);
}

/* The answer says in some way that the request was not run, whichever request that is. */
static bool is_denial(const cw_answer_facts_t *facts)
{
    return facts->has_denial || facts->status == STATUS_MISDIRECTED;
}

cw_run_evidence_t cw_run_evidence_of_relayed_answer(const cw_answer_facts_t *facts)
{
    bool is_server_error = facts->status >= STATUS_SERVER_ERROR;

    if (facts->has_signature || (facts->names_request && is_server_error)) {
        return facts->is_encoded ? CW_RUN_ANSWER_ENCODED : CW_RUN_ANSWERED;
    }
    return is_server_error ? CW_RUN_ANSWER_UNNAMED : CW_RUN_ANSWER_UNSIGNED;
}

cw_run_evidence_t cw_run_evidence_of_answer(const cw_answer_facts_t *facts)
{
    if (!is_denial(facts)) {
        return cw_run_evidence_of_relayed_answer(facts);
    }
    if (!is_of_this_attempt(facts)) {
        return facts->carried_before ? CW_RUN_DENIAL_EARLIER : CW_RUN_DENIAL_UNNAMED;
    }
    if (facts->has_denial) {
        return CW_RUN_DENIED;
    }
    return facts->names_other_server ? CW_RUN_OTHER_INCARNATION : CW_RUN_DENIAL_UNSTATED;
}

cw_run_evidence_t cw_run_evidence_without_answer(bool any_byte_sent)
{
    return any_byte_sent ? CW_RUN_UNANSWERED : CW_RUN_NOT_SENT;
}

cw_run_evidence_t cw_run_evidence_of_node(cw_delegation_outcome_t outcome)
{
    switch (outcome) {
    case CW_DELEGATION_ANSWERED:
        return CW_RUN_ANSWERED;
    case CW_DELEGATION_REFUSED:
        return CW_RUN_NODE_REFUSED;
    case CW_DELEGATION_DECLINED:
        return CW_RUN_NODE_DECLINED;
    case CW_DELEGATION_FAILED:
        break;
    }
    return CW_RUN_NODE_FAILED;
}

bool cw_run_evidence_excludes_run(cw_run_evidence_t evidence)
{
    return evidence <= CW_RUN_NODE_REFUSED;
}

bool cw_run_evidence_is_servers_own(cw_run_evidence_t evidence)
{
    return evidence != CW_RUN_ANSWER_UNSIGNED && evidence != CW_RUN_ANSWER_UNNAMED && evidence != CW_RUN_ANSWER_ENCODED;
}

const char *cw_run_evidence_text(cw_run_evidence_t evidence)
{
    static const char *const texts[] = {[CW_RUN_NOT_SENT] = "not sent",
                                        [CW_RUN_DENIED] = "the server says that it did not run it",
                                        [CW_RUN_OTHER_INCARNATION] = "another server answers at the address",
                                        [CW_RUN_NODE_DECLINED] = "another node has not taken it",
                                        [CW_RUN_NODE_REFUSED] = "another node says that it has not run",
                                        [CW_RUN_DENIAL_UNNAMED] = "a denial that names no request",
                                        [CW_RUN_DENIAL_EARLIER] = "a denial that may be an earlier attempt's",
                                        [CW_RUN_DENIAL_UNSTATED] = "421 that does not say that it was not run",
                                        [CW_RUN_ANSWERED] = "answered",
                                        [CW_RUN_ANSWER_UNSIGNED] = "2xx to 4xx without the server's signature",
                                        [CW_RUN_ANSWER_UNNAMED] = "5xx with neither a signature nor the request's id",
                                        [CW_RUN_ANSWER_ENCODED] = "its body has an encoding that was not asked for",
                                        [CW_RUN_UNANSWERED] = "sent, without a complete answer",
                                        [CW_RUN_NODE_FAILED] = "another node does not say that it has not run"};

    return texts[evidence];
}
