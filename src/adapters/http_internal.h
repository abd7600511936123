/**
 * @file http_internal.h
 * @brief Types shared by the parts of the HTTP server.
 *
 * An exchange is one request and its answer. It lives in its h2o request's memory pool, so it ends with the request;
 * answers look it up by caller id and find nothing once it has ended.
 */
#ifndef CEDARWINCH_HTTP_INTERNAL_H
#define CEDARWINCH_HTTP_INTERNAL_H

#include <h2o.h>
#include <uthash.h>

#include "cedarwinch/adapters.h"
#include "cedarwinch/error.h"
#include "cedarwinch/log.h"

typedef struct cw_http_exchange cw_http_exchange_t;

/** One accepted connection. */
typedef struct cw_http_connection {
    uv_tcp_t                   tcp; /**< first: libuv's close callback gets this pointer */
    h2o_socket_t              *socket;
    cw_http_server_t          *server;
    cw_http_exchange_t        *exchange; /**< the request being answered, or NULL */
    struct cw_http_connection *prev;     /**< utlist's names */
    struct cw_http_connection *next;
} cw_http_connection_t;

struct cw_http_exchange {
    uint64_t              caller_id;
    h2o_req_t            *request;
    cw_http_server_t     *server;
    cw_http_connection_t *connection;
    bool                  waiting;   /**< handed to a callback, not answered yet: listed in the server's map */
    bool                  is_caller; /**< else an operator's */
    UT_hash_handle        hh;
};

struct cw_http_server {
    uv_loop_t                 *loop;
    cw_http_server_callbacks_t callbacks;
    uv_tcp_t                   listener;
    bool                       listening;
    bool                       ending_connections; /**< each answer ends its connection */
    bool                       stopping;
    h2o_globalconf_t           configuration;
    h2o_context_t              context;
    h2o_accept_ctx_t           accept;
    cw_http_connection_t      *connections;
    size_t                     connection_count;
    cw_http_exchange_t        *waiting; /**< exchanges by caller id */
    uint64_t                   last_caller_id;
};

/* ---- exchanges (http_exchange.c) ---- */

cw_http_exchange_t *cw_http_exchange_create(cw_http_server_t *server, h2o_req_t *request);
/** Lists the exchange for a later answer and watches its connection for the caller's hang-up. */
void cw_http_exchange_wait(cw_http_exchange_t *exchange, bool is_caller);
/** The waiting exchange of an id, taken off the list; NULL: it has ended. */
cw_http_exchange_t *cw_http_exchange_take(cw_http_server_t *server, uint64_t caller_id, bool is_caller);
/** Copies a header into the answer. The name is written in lower case. */
void cw_http_answer_header(h2o_req_t *request, const char *name, const char *value);
void cw_http_answer_header_bytes(h2o_req_t *request, const char *name, size_t name_length, const char *value,
                                 size_t value_length);
/** Sends the answer: status, the headers added so far, and this body. */
void cw_http_answer_send(cw_http_server_t *server, h2o_req_t *request, int status, const void *body, size_t length);
/** Answer made by the router itself: outcome and reason as headers and as JSON. */
void cw_http_answer_outcome(cw_http_server_t *server, h2o_req_t *request, int status, Cw__Outcome outcome,
                            const char *reason);
void cw_http_answer_reason(cw_http_server_t *server, h2o_req_t *request, cw_reason_t reason);
/** A request header's value in the request's pool, NUL-terminated; NULL: not there. */
char *cw_http_request_header(h2o_req_t *request, const char *name);
/** The token of an "authorization: Bearer TOKEN" header; NULL: none. */
char *cw_http_request_token(h2o_req_t *request);

/** Ends a connection's receiving side: h2o still reads a request that has arrived, then sees the end and closes. */
void cw_http_connection_end_input(cw_http_connection_t *connection);

/* ---- one dialect each (caller_http.c, operator_http.c) ---- */

void cw_caller_http_request(cw_http_server_t *server, h2o_req_t *request);
void cw_operator_http_request(cw_http_server_t *server, h2o_req_t *request, const char *operation);

#endif
