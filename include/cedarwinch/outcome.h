/**
 * @file outcome.h
 * @brief The outcomes of a request and the one place that decides them.
 */
#ifndef CEDARWINCH_OUTCOME_H
#define CEDARWINCH_OUTCOME_H

#include "cedarwinch/ports.h"
#include "cedarwinch/types.h"

/** Why a request was not answered by a server. Text form in the cw-reason header. */
typedef enum cw_reason {
    CW_REASON_NONE,
    CW_REASON_BAD_REQUEST,         /**< 400 */
    CW_REASON_UNAUTHORIZED,        /**< 401 */
    CW_REASON_NOT_FOUND,           /**< 404 tenant or service */
    CW_REASON_TOO_LARGE,           /**< 413 */
    CW_REASON_RATE_LIMIT,          /**< 429 tenant's requests per second */
    CW_REASON_CONCURRENCY_LIMIT,   /**< 429 tenant's concurrent requests */
    CW_REASON_OUT_OF_TOUCH,        /**< 503 this node has lost the control group */
    CW_REASON_NO_OWNER,            /**< 503 range has no owner now */
    CW_REASON_MOVING,              /**< 503 ownership is moving */
    CW_REASON_STALE_ROUTE,         /**< 503 routed under an old fence */
    CW_REASON_QUEUE_FULL,          /**< 503 */
    CW_REASON_DEADLINE,            /**< 503 could not be started within the deadline */
    CW_REASON_SERVER_REFUSED,      /**< 503 the server said it did not run it */
    CW_REASON_SERVER_UNREACHABLE,  /**< 503 no byte was sent */
    CW_REASON_JOURNAL_UNAVAILABLE, /**< 503 "started" not acknowledged by a majority and provably not sent */
    CW_REASON_ID_IN_FUTURE,        /**< 400 request id time beyond the skew bound */
    CW_REASON_ID_TOO_OLD,          /**< 504 unknown: id older than the journal's window or epoch */
    CW_REASON_ID_REUSED,           /**< 409 same id, other request */
    CW_REASON_IN_PROGRESS,         /**< 409 a request with this id is running */
    CW_REASON_STARTED_BEFORE,      /**< 504 unknown: this id was started and its answer is not known */
    CW_REASON_CONNECTION_LOST,     /**< 504 unknown: after the first byte */
    CW_REASON_TIMEOUT,             /**< 504 unknown: no answer within the deadline */
    CW_REASON_FORWARDER_LOST,      /**< 504 unknown: no answer from the forwarder */
    CW_REASON_CANCELLED,           /**< the caller hung up */
    CW_REASON_STOPPING,            /**< 503 this node is stopping */
    CW_REASON_COUNT
} cw_reason_t;

const char *cw_reason_text(cw_reason_t reason); /**< "" for CW_REASON_NONE */
/** Reason of a text form; CW_REASON_NONE for "" and for words not known. */
cw_reason_t cw_reason_from_text(const char *text);
uint32_t    cw_reason_status(cw_reason_t reason); /**< HTTP status */
Cw__Outcome cw_reason_outcome(cw_reason_t reason);
const char *cw_outcome_text(Cw__Outcome outcome); /**< "answered", "not-run", "unknown", "in-progress" */
/** Should the caller (or gateway) try again: only refusals that are proved not run and may pass soon. */
bool cw_reason_is_transient(cw_reason_t reason);

/** What is known when a request ends. */
typedef struct cw_outcome_facts {
    bool               sent;   /**< a byte may have left for the server */
    cw_server_result_t result; /**< of the exchange; CW_SERVER_BROKEN while it has not ended; unused when not sent */
    bool               deadline_over;
} cw_outcome_facts_t;

/** Decides the outcome of an exchange with a server. Never says not-run unless that is proved. */
cw_reason_t cw_outcome_decide(const cw_outcome_facts_t *facts);

/** Is a request repeatable by its service's rules? Rules list what may never be repeated. */
bool cw_request_is_repeatable(const Cw__ServiceConfiguration *service, const char *method, const char *path);

/* UUIDv7 (RFC 9562). */
int     cw_request_id_parse(const char *text, size_t length, uint8_t id[CW_REQUEST_ID_BYTES]); /**< v7 only */
void    cw_request_id_format(const uint8_t id[CW_REQUEST_ID_BYTES], char text[37]);
void    cw_request_id_make(uint8_t id[CW_REQUEST_ID_BYTES], int64_t wall_ms, uint64_t *random_state);
int64_t cw_request_id_time_ms(const uint8_t id[CW_REQUEST_ID_BYTES]);

#endif
