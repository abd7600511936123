/**
 * @file request_rules.h
 * @brief What may become of a request, by what is known of it: one answer, and none that promises what is not so.
 *
 * A request is in one of these states:
 *
 *  | state   | it is | it leaves it by |
 *  | ------- | ----- | --------------- |
 *  | waiting | at no server: for a token, a slot, its key's owner or a pause | a server with a slot (sent), or its end
 * | | sent    | at one server | its outcome: passed on (ended), once more (waiting), or its end | | ended   | answered
 * once, or its caller has left | - |
 *
 * Outcomes of a sending, and what they allow:
 *
 *  | outcome  | may it have run? | next |
 *  | -------- | ---------------- | ---- |
 *  | unsent   | no: no byte has left | another server, without budget, while there is time |
 *  | denied   | no: the server says so | once more, within the route's attempts, the time and the budget |
 *  | silent   | yes | the same, if the route is repeatable; else it is waited for |
 *  | broken   | yes | the same, if the route is repeatable; else its end |
 *  | answered | yes | passed on; a 500 of a repeatable route once more, as above |
 *
 * What may have run once may have run for good: no later outcome takes it back. Its end is then 502, or 504 when its
 * time is over, and never 408, 421, 429 or 503, which promise that it has not run. What has surely not run ends as a
 * refusal with a time to come back.
 *
 * Pure functions: no I/O, no clock, no state.
 */
#ifndef CEDARWINCH_PROXY_REQUEST_RULES_H
#define CEDARWINCH_PROXY_REQUEST_RULES_H

#include <stdbool.h>
#include <stdint.h>

/** How a sending to a server ended. */
typedef enum cw_outcome {
    CW_OUTCOME_UNSENT,  /**< no connection, or given up before a byte has left */
    CW_OUTCOME_DENIED,  /**< the server says that it did not run it */
    CW_OUTCOME_SILENT,  /**< no answer for far longer than is usual, or given up after bytes have left */
    CW_OUTCOME_BROKEN,  /**< the connection ended before a whole answer */
    CW_OUTCOME_ANSWERED /**< a whole answer that does not deny it */
} cw_outcome_t;

/** What decides about one more sending. */
typedef struct cw_outcome_facts {
    cw_outcome_t outcome;
    int          status;        /**< of the answer; 0: none */
    bool         is_repeatable; /**< the route's requests may run more than once */
    bool         has_time;      /**< another sending could still be of use */
    uint32_t     attempts;      /**< servers it was sent to, this one included */
    uint32_t     max_attempts;  /**< of its route */
} cw_outcome_facts_t;

typedef enum cw_next_step {
    CW_NEXT_PASS_ON,   /**< the server's answer is the request's */
    CW_NEXT_ELSEWHERE, /**< to another server: nobody has seen it */
    CW_NEXT_REPEAT,    /**< once more if the budget allows, else as cw_step_without_budget says */
    CW_NEXT_WAIT,      /**< it stays where it is */
    CW_NEXT_END        /**< as cw_final_of says */
} cw_next_step_t;

/** The final answer of a request that has no server's. */
typedef enum cw_final {
    CW_FINAL_REFUSED, /**< 503: it has not run, and never will */
    CW_FINAL_UNKNOWN, /**< 502: promises nothing */
    CW_FINAL_LATE     /**< 504: the same, its time is over */
} cw_final_t;

/** Outcome of a whole answer. has_denial: it carries the field by which a server says that it did not run a request. */
cw_outcome_t cw_outcome_of_answer(int status, bool has_denial);
/** Outcome of a sending that is given up. */
cw_outcome_t cw_outcome_of_abandoned(bool any_byte_sent);
/** May a server have run a request whose sending ended so? */
bool           cw_outcome_may_have_run(cw_outcome_t outcome);
cw_next_step_t cw_step_after(const cw_outcome_facts_t *facts);
/** Where the budget denies the repeat. */
cw_next_step_t cw_step_without_budget(cw_outcome_t outcome);
/** is_at_server: a call is under way. is_time_over: else it is given up before. */
cw_final_t cw_final_of(bool may_have_run, bool is_at_server, bool is_time_over);
/** A status that promises that the request has not run. */
bool cw_status_promises(int status);
/** May a server's answer be the caller's? Where nothing may run twice, no server's promise without a denial may. */
bool cw_answer_may_pass(bool is_repeatable, int status);

#endif
