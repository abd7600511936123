/**
 * @file order_evidence.h
 * @brief Decides what an answer to an order shows. Another server gets keys on the strength of it, so an answer counts
 * only with what the platform says that the addressed server's own answer carries.
 *
 * A faulty server may send bytes that are no answer of its own, such as the page of another program, with any status.
 * Answers to orders name no order and have no signature. Rules:
 *  - Whatever the order is, the body is empty or of the form that servers use for answers to orders, and the status is
 *    one that answers to orders have, or the answer says that the order was not carried out.
 *  - A release is done only with the state that the former owner hands over, which comes once all work on the keys has
 *    ended.
 * All else is no answer: the order may have been carried out, or may be yet. What this cannot tell: a page without a
 * body, with the status of a grant's answer (docs/design/run-evidence.md).
 *
 * Pure functions: no I/O, no clock, no state.
 */
#ifndef CEDARWINCH_ASSIGNMENT_ORDER_EVIDENCE_H
#define CEDARWINCH_ASSIGNMENT_ORDER_EVIDENCE_H

#include <stdbool.h>

#include "assignment/order.h"

/** What an answer says by its status. */
typedef enum cw_order_statement {
    CW_ORDER_STATES_DONE,
    CW_ORDER_STATES_HIGHER_FENCE,      /**< the server has seen a higher fence for one of the keys */
    CW_ORDER_STATES_OTHER_INCARNATION, /**< another server than the addressed one answers */
    CW_ORDER_STATES_INVALID,           /**< the order is not valid, as a probe is not */
    CW_ORDER_STATES_NOTHING            /**< a status that answers to orders do not have */
} cw_order_statement_t;

/** A complete answer, as far as it tells what became of an order. */
typedef struct cw_order_answer_facts {
    cw_order_kind_t      kind; /**< of the order */
    cw_order_statement_t statement;
    bool                 has_denial;       /**< it says that the order was not carried out */
    bool                 has_handover;     /**< it has the state that a former owner hands over */
    bool                 has_foreign_body; /**< its body has not the form of answers to orders */
} cw_order_answer_facts_t;

/** What a complete answer shows. */
typedef struct cw_order_evidence {
    cw_order_result_t result;
    const char       *problem; /**< why it counts as no answer, for the log; NULL: it counts */
} cw_order_evidence_t;

/** Evidence of a complete answer. */
cw_order_evidence_t cw_order_evidence_of(const cw_order_answer_facts_t *facts);

#endif
