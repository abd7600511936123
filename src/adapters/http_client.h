/**
 * @file http_client.h
 * @brief HTTP/1.1 client for the back-end and platform adapters: h2o's client with a pool of idle connections for each
 *        address, a deadline for each call, and a strict reading of what became of it.
 */
#ifndef CEDARWINCH_HTTP_CLIENT_H
#define CEDARWINCH_HTTP_CLIENT_H

#include <uv.h>

#include "cedarwinch/types.h"

typedef struct cw_http_client cw_http_client_t;
typedef struct cw_http_call   cw_http_call_t;

typedef enum cw_http_result {
    CW_HTTP_ANSWERED, /**< the whole answer arrived */
    CW_HTTP_NOT_SENT, /**< proved: no byte of the request left this process */
    CW_HTTP_BROKEN,   /**< a byte may have left; no whole answer */
    CW_HTTP_TIMED_OUT /**< like CW_HTTP_BROKEN, because the deadline passed */
} cw_http_result_t;

/** Everything is copied by the call. */
typedef struct cw_http_request {
    const char        *address; /**< IP number */
    uint16_t           port;
    const char        *method;
    const char        *target; /**< path and query, encoded */
    Cw__Header *const *headers;
    size_t             header_count;
    const void        *body;
    size_t             body_length;
    int64_t            timeout_us;
    size_t             answer_max; /**< a longer answer body counts as broken */
} cw_http_request_t;

/** Borrowed for the callback. */
typedef struct cw_http_answer {
    cw_http_result_t result;
    uint32_t         status;
    Cw__Header     **headers;
    size_t           header_count;
    const uint8_t   *body; /**< a NUL follows the last byte */
    size_t           body_length;
} cw_http_answer_t;

typedef void (*cw_http_answered_t)(void *context, const cw_http_answer_t *answer);

int cw_http_client_create(cw_http_client_t **client, uv_loop_t *loop);
/** Starts a call. The callback comes exactly once, from the loop, never from within this function. Returns NULL, with
 *  no callback to come, when memory is out. */
cw_http_call_t *cw_http_client_call(cw_http_client_t *client, const cw_http_request_t *request,
                                    cw_http_answered_t answered, void *context);
/** Ends a call without its callback. */
void cw_http_call_abandon(cw_http_call_t *call);
/** Ends a call of which nothing was sent, with CW_HTTP_NOT_SENT; false: it may have been sent and goes on. */
bool cw_http_call_cancel_unsent(cw_http_call_t *call);
/** Abandons every call; memory goes when the loop has closed the handles. */
void cw_http_client_free(cw_http_client_t *client);

/** Value of an answer's header; NULL: not there. */
const char *cw_http_answer_find(const cw_http_answer_t *answer, const char *name);

#endif
