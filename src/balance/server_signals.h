/**
 * @file server_signals.h
 * @brief What a server says of itself with an answer.
 *
 * Each answer states all of it anew: what is not named in an answer does not hold at its moment.
 */
#ifndef CEDARWINCH_BALANCE_SERVER_SIGNALS_H
#define CEDARWINCH_BALANCE_SERVER_SIGNALS_H

#include <stdbool.h>

#include "balance/server_load.h"
#include "base/time.h"

struct cw_http_fields;

enum {
    CW_SERVER_LIMIT_MAX = 1000000, /**< requests a second: a limit above it is taken for this one */
    CW_SERVER_REST_MAX_S = 600     /**< a longer rest is taken for this one */
};

typedef struct cw_server_signals {
    bool             has_run; /**< the request; an answer to one that did not may leave the rest out */
    bool             has_load;
    cw_server_load_t load;
    bool             has_limit;
    double           limit_per_s; /**< requests a second that it takes from all nodes together; 0: none */
    bool             is_leaving;
    bool             has_rest;
    cw_time_us_t     rest;            /**< it turned the request away, and wants nothing from this node for so long */
    const char      *malformed_name;  /**< first field that could not be decoded, or is out of bounds; NULL: none */
    const char      *malformed_value; /**< its value, as long as the answer's fields live */
} cw_server_signals_t;

/** Decodes the fields of an answer of this status. */
typedef void (*cw_server_signals_decoder_t)(int status, const struct cw_http_fields *fields,
                                            cw_server_signals_t *signals);

#endif
