/**
 * @file run_evidence.h
 * @brief Decides what counts as evidence that a request has not run. The statuses 408, 421, 429 and 503 promise that it
 * has not and never will, so they rest on this evidence alone; a request that may not be repeated is sent again on
 * nothing else.
 *
 * Evidence is about one attempt: a request has not run if this is shown of each of its attempts. All attempts of a
 * request carry the same id, and a server may send an answer a second time, in the place of the next answer on the
 * connection. So a denial shows something of an attempt only if no other attempt can have caused it:
 *
 *  - it is the first answer on its connection, or
 *  - it names the request, and no earlier attempt of that request went over its connection.
 *
 * A faulty server may also send bytes that are no answer of its own, such as the page of another program, with any
 * status and also with the request's id. A caller acts on a success, follows a redirection and gives up at a 4xx: of
 * these only the server's signature shows that they are its own. Of a 5xx the signature or the request's id does. What
 * is not shown to be the server's own counts as no answer.
 *
 * docs/design/run-evidence.md lists every way to these statuses with its evidence and its test. Pure functions: no I/O,
 * no clock, no state.
 */
#ifndef CEDARWINCH_PROXY_RUN_EVIDENCE_H
#define CEDARWINCH_PROXY_RUN_EVIDENCE_H

#include <stdbool.h>

#include "peer/delegated_request.h"

/** What the end of one attempt shows. */
typedef enum cw_run_evidence {
    /* the attempt has not run and never will */
    CW_RUN_NOT_SENT,          /**< no byte of the request left this process */
    CW_RUN_DENIED,            /**< the server says that it did not run it */
    CW_RUN_OTHER_INCARNATION, /**< another server answers at the address, which runs nothing that names the first one */
    CW_RUN_NODE_DECLINED,     /**< another node has not taken it */
    CW_RUN_NODE_REFUSED,      /**< another node has taken it, and says that it has not run and never will */
    /* the attempt may have run, or may run yet */
    CW_RUN_DENIAL_UNNAMED,  /**< a denial without the request's id, on a connection that carried others before */
    CW_RUN_DENIAL_EARLIER,  /**< a denial on a connection that carried an earlier attempt: it may be that one's */
    CW_RUN_DENIAL_UNSTATED, /**< 421 of the server itself that does not say that the request was not run */
    CW_RUN_ANSWERED,        /**< another answer, the server's own */
    CW_RUN_ANSWER_UNSIGNED, /**< 2xx to 4xx without the server's signature: not shown to be its own */
    CW_RUN_ANSWER_UNNAMED,  /**< 5xx with neither a signature nor the request's id: the same */
    CW_RUN_ANSWER_ENCODED,  /**< its body is encoded, which the caller did not ask for: not the server's own body */
    CW_RUN_UNANSWERED,      /**< sent, and no complete answer */
    CW_RUN_NODE_FAILED      /**< another node has taken it, and does not say that it has not run */
} cw_run_evidence_t;

/** A complete answer of a server, as far as it tells whether the request has run. */
typedef struct cw_answer_facts {
    int  status;
    bool has_denial;             /**< it has the field by which a server says that it did not run the request */
    bool has_signature;          /**< it has the server's signature, or servers do not sign */
    bool is_encoded;             /**< its body has an encoding that the caller did not ask for */
    bool names_request;          /**< it names the request by its id, or the request has none */
    bool names_other_server;     /**< it names another server than the one that the request was sent to */
    bool is_first_on_connection; /**< the connection had not carried a request before */
    bool carried_before;         /**< the connection had carried an attempt of the same request before */
} cw_answer_facts_t;

/** Evidence of a server's complete answer. */
cw_run_evidence_t cw_run_evidence_of_answer(const cw_answer_facts_t *facts);
/** Evidence of an answer that another node has passed on as a server's. */
cw_run_evidence_t cw_run_evidence_of_relayed_answer(const cw_answer_facts_t *facts);
/** Evidence of an attempt that has ended without a complete answer. any_byte_sent: bytes of it may have left this
 * process. */
cw_run_evidence_t cw_run_evidence_without_answer(bool any_byte_sent);
/** Evidence of another node's statement. */
cw_run_evidence_t cw_run_evidence_of_node(cw_delegation_outcome_t outcome);
/** Returns whether the attempt has not run and never will. */
bool cw_run_evidence_excludes_run(cw_run_evidence_t evidence);
/** Returns whether an answer of which this is the evidence is shown to be the server's own. */
bool cw_run_evidence_is_servers_own(cw_run_evidence_t evidence);
/** Description for the log. */
const char *cw_run_evidence_text(cw_run_evidence_t evidence);

#endif
