/**
 * @file delegated_request.h
 * @brief A request that one node passes to another: what the sender states in a header field of the request, and the
 * receiver in a header field of the answer.
 *
 * The sender has identified the caller and taken the tenant's token, and has chosen the route and the service. The
 * receiver finds a server. The fields exist between nodes only: a caller's field of this name is not forwarded, and the
 * listener for callers does not read it.
 */
#ifndef CEDARWINCH_PEER_DELEGATED_REQUEST_H
#define CEDARWINCH_PEER_DELEGATED_REQUEST_H

#include <stdint.h>

#include "base/byte_buffer.h"
#include "base/time.h"

/** Name of the field of the request. */
extern const char cw_delegation_field[];
/** Name of the field of the answer. */
extern const char cw_delegation_outcome_field[];

/** Statement of the sender. The texts are owned by whoever filled the structure. */
typedef struct cw_delegated_request {
    uint64_t     receiver; /**< incarnation of the receiving node, a random number that only nodes know */
    char        *origin;   /**< name of the sending node */
    char        *route;
    char        *service;
    char        *tenant;         /**< tenant of the caller's key; NULL: none */
    uint32_t     attempts;       /**< servers that the request was sent to so far */
    cw_time_us_t left;           /**< time left until the final answer */
    cw_time_us_t objective_left; /**< time left until the latency objective; 0: it is over */
} cw_delegated_request_t;

/** How the receiver has ended the request. */
typedef enum cw_delegation_outcome {
    CW_DELEGATION_ANSWERED, /**< with a server's answer */
    CW_DELEGATION_REFUSED,  /**< it has not run and never will */
    CW_DELEGATION_DECLINED, /**< the same, and the receiver cannot serve it: another node may */
    CW_DELEGATION_FAILED,   /**< it may have run */
} cw_delegation_outcome_t;

/** Appends the value of the request's field. */
void cw_delegated_request_write(const cw_delegated_request_t *request, cw_bytes_t *value);
/** Reads the value of the request's field; the texts are allocated. Returns 0, or CW_ERROR_PARSE, and nothing is
 * allocated then. */
int cw_delegated_request_read(cw_delegated_request_t *request, const char *value);
/** Frees the texts that cw_delegated_request_read allocated. */
void cw_delegated_request_clear(cw_delegated_request_t *request);

/** Writes the value of the answer's field. server: id of the server that answered; NULL: none. */
void cw_delegation_outcome_write(cw_delegation_outcome_t outcome, const char *server, char *value, size_t size);
/** Reads the value of the answer's field. An unknown or missing value (NULL) counts as CW_DELEGATION_FAILED: nothing is
 * certain then. server: set to the part of the value that names the server; empty: none. */
cw_delegation_outcome_t cw_delegation_outcome_read(const char *value, const char **server);

#endif
