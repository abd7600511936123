/**
 * @file backend_internal.h
 * @brief Types shared by the back-end adapter's parts.
 */
#ifndef CEDARWINCH_BACKEND_INTERNAL_H
#define CEDARWINCH_BACKEND_INTERNAL_H

#include <uthash.h>

#include "adapters/http_client.h"
#include "cedarwinch/adapters.h"
#include "cedarwinch/error.h"
#include "cedarwinch/log.h"

/** An application request under way. */
typedef struct cw_backend_exchange {
    uint64_t        id;
    cw_backend_t   *backend;
    cw_http_call_t *call;
    char            request_id[37]; /**< as text */
    char           *address;
    uint16_t        port;
    UT_hash_handle  hh;
} cw_backend_exchange_t;

/** A control call under way. */
typedef struct cw_backend_control {
    uint64_t                   id;
    cw_server_call_kind_t      kind;
    cw_backend_t              *backend;
    struct cw_backend_control *prev; /**< utlist's names */
    struct cw_backend_control *next;
} cw_backend_control_t;

struct cw_backend {
    cw_backend_callbacks_t callbacks;
    cw_http_client_t      *requests;  /**< connections of application requests */
    cw_http_client_t      *control;   /**< connections of control calls and cancellations */
    cw_backend_exchange_t *exchanges; /**< by id */
    cw_backend_control_t  *controls;
};

/** Forgets control calls under way, after their client was freed. */
void cw_backend_control_clear(cw_backend_t *backend);

#endif
