/**
 * @file http_listener_internal.h
 * @brief Types shared by the server's parts.
 *
 * States of a connection: RESTING (no byte of a request) -> READING (a request has begun) -> ANSWERING (it is the
 * handler's) -> WRITING (the answer leaves) -> RESTING, or LINGERING: the answer was the last one, the sending side is
 * shut, input is thrown away until the peer closes or a second has passed, so that the peer gets the whole answer.
 */
#ifndef CEDARWINCH_NET_HTTP_LISTENER_INTERNAL_H
#define CEDARWINCH_NET_HTTP_LISTENER_INTERNAL_H

#include <http_parser.h>

#include "net/http_listener.h"

enum { CW_LISTENER_CHUNK = 16 * 1024 };

typedef enum cw_listener_state {
    CW_CONNECTION_RESTING,
    CW_CONNECTION_READING,
    CW_CONNECTION_ANSWERING,
    CW_CONNECTION_WRITING,
    CW_CONNECTION_LINGERING,
    CW_CONNECTION_CLOSED
} cw_listener_state_t;

struct cw_http_exchange {
    uv_tcp_t                 tcp; /* first: libuv's callbacks get this pointer */
    uv_timer_t               timer;
    cw_http_listener_t      *listener;
    cw_listener_state_t      state;
    http_parser              parser;
    cw_http_fields_t         fields;
    cw_http_field_builder_t  builder;
    cw_bytes_t               target;
    cw_bytes_t               body;
    cw_bytes_t               pending;
    cw_bytes_t               output;
    size_t                   written;
    size_t                   head_bytes;
    bool                     head_done;
    bool                     message_done;
    bool                     keep_alive;
    bool                     is_head;
    bool                     http_1_0;
    bool                     end_seen;
    int                      refusal; /* status of a request that broke a limit */
    int                      handles;
    cw_time_us_t             begun_us;
    cw_time_us_t             arrived_us;
    cw_time_us_t             rest_begun_us;
    cw_time_us_t             rest_told; /* the idle timeout in force when it began to rest */
    uv_write_t               write;
    uv_shutdown_t            shutdown;
    void                    *data;
    struct cw_http_exchange *prev; /* utlist's names */
    struct cw_http_exchange *next;
};

struct cw_http_listener {
    uv_loop_t                 *loop;
    uv_tcp_t                   tcp;
    bool                       closed;
    bool                       ending;
    cw_http_limits_t           limits;
    cw_http_listener_handler_t handler;
    cw_http_exchange_t        *connections;
    size_t                     count;
    char                       chunk[CW_LISTENER_CHUNK];
};

cw_time_us_t cw_listener_now(const cw_http_listener_t *listener);
void         cw_listener_arm(cw_http_exchange_t *connection, cw_time_us_t due_us);
void         cw_listener_close_connection(cw_http_exchange_t *connection);
/** Answers a request that cannot be taken; the connection ends. */
void cw_listener_refuse(cw_http_exchange_t *connection, int status);

/* ---- http_listener_request.c ---- */
void cw_listener_parse(cw_http_exchange_t *connection, const char *bytes, size_t length);
void cw_listener_on_read(uv_stream_t *stream, ssize_t length, const uv_buf_t *buffer);
void cw_listener_on_allocate(uv_handle_t *handle, size_t suggested, uv_buf_t *buffer);

#endif
