/**
 * @file control_json.h
 * @brief JSON forms of the back-end stand-in's control calls.
 */
#ifndef CEDARWINCH_STANDINS_CONTROL_JSON_H
#define CEDARWINCH_STANDINS_CONTROL_JSON_H

#include <jansson.h>

#include "backend.h"

/** Body of a control call; grants are malloc()ed. */
typedef struct cw_control_call {
    cw_incarnation_t   incarnation;
    int64_t            lease_end_us; /**< 0: not given */
    cw_server_grant_t *grants;
    size_t             grant_count;
} cw_control_call_t;

json_t *cw_control_state_json(cw_backend_standin_t *backend);
/** CW_OK or CW_ERROR_PARSE. */
int cw_control_call_parse(const cw_standin_exchange_t *exchange, cw_control_call_t *call);

#endif
