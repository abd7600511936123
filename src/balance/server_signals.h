/**
 * @file server_signals.h
 * @brief A server's signals: its state as it reports it in the header fields of an answer.
 *
 * Each answer reports the complete state: a signal missing from an answer does not apply at the time of that answer.
 */
#ifndef CEDARWINCH_BALANCE_SERVER_SIGNALS_H
#define CEDARWINCH_BALANCE_SERVER_SIGNALS_H

#include <stdbool.h>

#include "balance/server_load.h"
#include "base/time.h"

struct cw_http_fields;

enum {
    CW_SERVER_LIMIT_MAX = 1000000, /**< requests a second; a greater limit is lowered to this */
    CW_SERVER_REST_MAX_S = 600     /**< a longer rest is shortened to this */
};

/** Signals decoded from one answer. */
typedef struct cw_server_signals {
    bool             has_run; /**< the request ran; an answer to one that did not may omit the other signals */
    bool             has_load;
    cw_server_load_t load;
    bool             has_limit;
    double           limit_per_s; /**< requests a second that the server accepts from all nodes together; 0: none */
    bool             is_leaving;
    bool             has_rest;
    cw_time_us_t     rest; /**< the server rejected the request and asks for no more for this time (Retry-After) */
    const char      *malformed_name;  /**< first field that could not be decoded or is out of bounds; NULL: none */
    const char      *malformed_value; /**< value of that field; borrowed from the answer's fields */
} cw_server_signals_t;

/** Decodes the header fields of an answer with this status. */
typedef void (*cw_server_signals_decoder_t)(int status, const struct cw_http_fields *fields,
                                            cw_server_signals_t *signals);

#endif
