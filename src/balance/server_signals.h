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

struct cw_http_fields;

enum { CW_SERVER_LIMIT_MOST = 1000000 /**< requests a second: a limit above it is taken for this one */ };

typedef struct cw_server_signals {
    bool             has_load;
    cw_server_load_t load;
    bool             has_limit;
    double           limit_per_s;     /**< requests a second that it takes from all nodes together; 0: none */
    const char      *malformed_name;  /**< first field that could not be decoded, and is ignored; NULL: none */
    const char      *malformed_value; /**< its value, as long as the answer's fields live */
} cw_server_signals_t;

/** Decodes the fields of an answer. */
typedef void (*cw_server_signals_decoder_t)(const struct cw_http_fields *fields, cw_server_signals_t *signals);

#endif
