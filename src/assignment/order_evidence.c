/**
 * @file order_evidence.c
 * @brief Decides what an answer to an order shows.
 */
#include "assignment/order_evidence.h"

#include <stddef.h>

static cw_order_evidence_t no_answer(const char *problem)
{
    return (cw_order_evidence_t){CW_ORDER_UNANSWERED, problem};
}

static cw_order_evidence_t answer(cw_order_result_t result)
{
    return (cw_order_evidence_t){result, NULL};
}

cw_order_evidence_t cw_order_evidence_of(const cw_order_answer_facts_t *facts)
{
    if (facts->has_foreign_body) {
        return no_answer("its body is not that of an answer to an order");
    }
    switch (facts->statement) {
    case CW_ORDER_STATES_DONE:
        if (facts->kind == CW_ORDER_RELEASE && !facts->has_handover) {
            return no_answer("it says that keys are released, and hands nothing over");
        }
        return answer(CW_ORDER_DONE);
    case CW_ORDER_STATES_HIGHER_FENCE:
        return answer(CW_ORDER_FENCED);
    case CW_ORDER_STATES_OTHER_INCARNATION:
        return answer(CW_ORDER_OTHER_INCARNATION);
    case CW_ORDER_STATES_INVALID:
        return answer(CW_ORDER_REFUSED);
    case CW_ORDER_STATES_NOTHING:
        break;
    }
    return facts->has_denial ? answer(CW_ORDER_REFUSED) : no_answer("answers to orders have no such status");
}
