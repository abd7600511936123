/**
 * @file http_client_internal.h
 * @brief Types shared by the HTTP client's parts.
 */
#ifndef CEDARWINCH_HTTP_CLIENT_INTERNAL_H
#define CEDARWINCH_HTTP_CLIENT_INTERNAL_H

#include <h2o.h>
#include <h2o/http1client.h>
#include <uthash.h>

#include "adapters/http_client.h"
#include "cedarwinch/error.h"
#include "cedarwinch/timer_heap.h"

/** Idle connections to one address. */
typedef struct cw_http_pool {
    struct sockaddr_storage address;
    h2o_socketpool_t        sockets;
    UT_hash_handle          hh;
} cw_http_pool_t;

/** Growable header list. Names and values are owned. */
typedef struct cw_http_headers {
    Cw__Header **entries;
    size_t       count;
} cw_http_headers_t;

struct cw_http_call {
    cw_http_client_t    *owner;
    cw_http_answered_t   answered;
    void                *context;
    h2o_http1client_t   *connection; /**< NULL: ended, or not begun */
    bool                 sent;
    bool                 finished;
    bool                 is_head;
    bool                 is_chunked;
    char                *request; /**< head and body, as written */
    h2o_iovec_t          request_bytes;
    size_t               answer_max;
    cw_http_result_t     result;
    uint32_t             status;
    cw_http_headers_t    headers;
    h2o_iovec_t          body;
    cw_timer_t           deadline;
    struct cw_http_call *prev; /**< utlist's names */
    struct cw_http_call *next;
};

struct cw_http_client {
    uv_loop_t            *loop;
    h2o_http1client_ctx_t context;
    h2o_timeout_t         io_timeout;
    cw_http_pool_t       *pools;
    cw_http_call_t       *running;
    cw_http_call_t       *finished; /**< to be delivered */
    cw_timer_heap_t       deadlines;
    uv_timer_t            timer;
    uv_prepare_t          before_wait; /**< delivers what ended outside of polling */
    uv_check_t            after_wait;  /**< delivers what polling brought */
    uv_timer_t            last_handle;
    size_t                open_handles;
};

/** Writes the request as HTTP/1.1. CW_ERROR_INVALID when a part would break the message's framing. */
int cw_http_request_write(cw_http_call_t *call, const cw_http_request_t *request);

/** h2o's callback once connected; the answer's callbacks follow from it. */
h2o_http1client_head_cb cw_http_call_on_connect(h2o_http1client_t *connection, const char *error, h2o_iovec_t **buffers,
                                                size_t *buffer_count, int *method_is_head);

/** Ends a call: it is delivered from the loop. */
void cw_http_call_finish(cw_http_call_t *call, cw_http_result_t result);

void cw_http_headers_add(cw_http_headers_t *headers, const char *name, size_t name_length, const char *value,
                         size_t value_length);
void cw_http_headers_clear(cw_http_headers_t *headers);

#endif
