/**
 * @file request_rules.c
 * @brief Decides what happens to a request.
 */
#include "proxy/request_rules.h"

enum {
    STATUS_TIMEOUT = 408,
    STATUS_MISDIRECTED = 421,
    STATUS_TOO_MANY = 429,
    STATUS_SERVER_ERROR = 500,
    STATUS_UNAVAILABLE = 503
};

cw_outcome_t cw_outcome_of(cw_run_evidence_t evidence)
{
    switch (evidence) {
    case CW_RUN_NOT_SENT:
        return CW_OUTCOME_UNSENT;
    case CW_RUN_DENIED:
    case CW_RUN_OTHER_INCARNATION:
    case CW_RUN_NODE_DECLINED:
    case CW_RUN_NODE_REFUSED:
        return CW_OUTCOME_DENIED;
    case CW_RUN_ANSWERED:
        return CW_OUTCOME_ANSWERED;
    case CW_RUN_DENIAL_UNNAMED:
    case CW_RUN_DENIAL_EARLIER:
    case CW_RUN_DENIAL_UNSTATED:
    case CW_RUN_ANSWER_UNSIGNED:
    case CW_RUN_ANSWER_UNNAMED:
    case CW_RUN_ANSWER_ENCODED:
    case CW_RUN_UNANSWERED:
    case CW_RUN_NODE_FAILED:
        break;
    }
    return CW_OUTCOME_BROKEN;
}

bool cw_outcome_may_have_run(cw_outcome_t outcome)
{
    return outcome != CW_OUTCOME_UNSENT && outcome != CW_OUTCOME_DENIED;
}

static bool is_repeat_allowed(const cw_outcome_facts_t *facts)
{
    bool may_run_again = facts->is_repeatable || !cw_outcome_may_have_run(facts->outcome);

    return may_run_again && facts->has_time && facts->attempts < facts->max_attempts;
}

cw_next_step_t cw_step_after(const cw_outcome_facts_t *facts)
{
    if (facts->outcome == CW_OUTCOME_UNSENT) {
        return facts->has_time ? CW_NEXT_ELSEWHERE : CW_NEXT_END;
    }
    if (facts->outcome == CW_OUTCOME_ANSWERED && facts->status != STATUS_SERVER_ERROR) {
        return CW_NEXT_RELAY;
    }
    return is_repeat_allowed(facts) ? CW_NEXT_REPEAT : cw_step_without_budget(facts->outcome);
}

cw_next_step_t cw_step_without_budget(cw_outcome_t outcome)
{
    switch (outcome) {
    case CW_OUTCOME_ANSWERED:
        return CW_NEXT_RELAY;
    case CW_OUTCOME_UNRESPONSIVE:
        return CW_NEXT_WAIT;
    case CW_OUTCOME_UNSENT:
    case CW_OUTCOME_DENIED:
    case CW_OUTCOME_BROKEN:
        return CW_NEXT_END;
    }
    return CW_NEXT_END;
}

cw_final_t cw_final_of(bool may_have_run, bool is_at_server, bool is_time_over)
{
    if (!may_have_run && !is_at_server) {
        return CW_FINAL_REFUSED;
    }
    return is_time_over ? CW_FINAL_LATE : CW_FINAL_UNKNOWN;
}

bool cw_status_promises_not_run(int status)
{
    return status == STATUS_UNAVAILABLE || status == STATUS_TOO_MANY || status == STATUS_TIMEOUT ||
           status == STATUS_MISDIRECTED;
}

bool cw_answer_may_be_relayed(bool is_repeatable, int status)
{
    return is_repeatable || !cw_status_promises_not_run(status);
}
