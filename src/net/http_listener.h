/**
 * @file http_listener.h
 * @brief HTTP/1.1 server on libuv and http_parser: whole requests in, whole answers out, one at a time on a connection.
 *
 * Unlike a server library's own connections, these are read while a request is being answered, so that a caller's
 * hang-up is seen at once, and they are never closed under a request that has been read.
 */
#ifndef CEDARWINCH_NET_HTTP_LISTENER_H
#define CEDARWINCH_NET_HTTP_LISTENER_H

#include <stdint.h>
#include <uv.h>

#include "base/byte_buffer.h"
#include "base/time.h"
#include "net/http_header.h"

typedef struct cw_http_listener cw_http_listener_t;
/** One request on its connection. Ends with its answer or when the caller leaves. */
typedef struct cw_http_exchange cw_http_exchange_t;

/** What callers may send, and for how long they may take or rest. */
typedef struct cw_http_limits {
    size_t       header_bytes;   /**< longer: 431 */
    size_t       body_bytes;     /**< longer: 413 */
    cw_time_us_t header_timeout; /**< from a request's first byte to its head's last: 408 */
    cw_time_us_t idle_timeout;   /**< a resting connection is closed */
} cw_http_limits_t;

typedef struct cw_http_inbound {
    const char             *method;
    const char             *target; /**< path and query as sent */
    const cw_http_fields_t *fields;
    const char             *body;
    size_t                  body_length;
    cw_time_us_t            arrived_us; /**< when the request's head was whole */
} cw_http_inbound_t;

typedef struct cw_http_listener_handler {
    void *context;
    /** A whole request has been read. The exchange may be answered from within. */
    void (*request)(void *context, cw_http_exchange_t *exchange, const cw_http_inbound_t *inbound);
    /** The caller left before the answer; the exchange is gone when this returns. */
    void (*gone)(void *context, cw_http_exchange_t *exchange);
} cw_http_listener_handler_t;

typedef struct cw_http_outbound {
    int                     status;
    const cw_http_fields_t *fields; /**< hop-by-hop fields in it are left out; NULL: none */
    const char             *body;
    size_t                  body_length;
    double                  retry_after_s; /**< below 0: not said */
    const char             *request_id_name;
    const char             *request_id; /**< NULL: none */
} cw_http_outbound_t;

/** Listens on an IPv4 address and port. Returns 0 or a libuv error. */
int cw_http_listener_create(cw_http_listener_t **listener, uv_loop_t *loop, const char *address, uint16_t port,
                            const cw_http_limits_t *limits, const cw_http_listener_handler_t *handler);
/** The port that is listened on. */
uint16_t cw_http_listener_port(const cw_http_listener_t *listener);
/** Limits of requests that begin from now on. A resting connection keeps the longer of its idle times. */
void cw_http_listener_set_limits(cw_http_listener_t *listener, const cw_http_limits_t *limits);
/** From now on each answer ends its connection. */
void cw_http_listener_end_connections(cw_http_listener_t *listener);
/** Stops accepting and closes connections that have rested for a moment; to be called again until none is left. */
void cw_http_listener_close(cw_http_listener_t *listener);
/** Connections with a request that was begun or an answer that is being written. */
size_t cw_http_listener_busy(const cw_http_listener_t *listener);
size_t cw_http_listener_connections(const cw_http_listener_t *listener);

void cw_http_exchange_answer(cw_http_exchange_t *exchange, const cw_http_outbound_t *outbound);
/** Closes the connection without an answer. */
void  cw_http_exchange_abort(cw_http_exchange_t *exchange);
void  cw_http_exchange_set_data(cw_http_exchange_t *exchange, void *data);
void *cw_http_exchange_data(const cw_http_exchange_t *exchange);

#endif
