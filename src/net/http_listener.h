/**
 * @file http_listener.h
 * @brief HTTP/1.1 server on libuv and http_parser: whole requests in, whole answers out, several of a connection at
 * once.
 *
 * Unlike a server library's own connections, these are read while requests are being answered, so that a caller's
 * hang-up is seen at once, and they are never closed under a request that was handed over.
 *
 * Rules:
 *  - Requests that come in on one connection before the first is answered are handed over side by side; the handler
 *    answers in any order, the caller gets the answers in the order of its requests (net/http_pipeline.h).
 *  - Beyond the depth or the bytes of the options the connection is not read. A request's time counts from the moment
 * at which its head was read, so one that lies unread in the socket meanwhile has not begun.
 *  - Bodies are read whole before the handler gets the request, within one bound for all connections
 *    (net/body_budget.h), and kept until the answer, so that the handler may send them more than once.
 *  - A request that the handler rejects by its head is handed over without its body, which is thrown away: what is
 * behind it has not been read.
 *  - When the caller leaves, all its requests are gone.
 */
#ifndef CEDARWINCH_NET_HTTP_LISTENER_H
#define CEDARWINCH_NET_HTTP_LISTENER_H

#include <stdint.h>
#include <uv.h>

#include "base/byte_buffer.h"
#include "base/time.h"
#include "net/body_budget.h"
#include "net/http_header.h"
#include "net/http_pipeline.h"

typedef struct cw_http_listener cw_http_listener_t;
/** One request on its connection. Ends with its answer or when the caller leaves. */
typedef struct cw_http_exchange cw_http_exchange_t;

/** What callers may send, and for how long they may take or rest. */
typedef struct cw_http_limits {
    size_t       header_bytes;   /**< longer: 431 */
    size_t       body_bytes;     /**< longer: 413 */
    cw_time_us_t header_timeout; /**< from a request's first byte to its head's last: 408 */
    cw_time_us_t idle_timeout;   /**< a resting connection is closed; so long may a body or an answer stand still */
} cw_http_limits_t;

/** How many requests of a connection are served at once, and what their bodies may take. All zero: one at a time, and
 * bodies bounded by the limits alone. */
typedef struct cw_http_listener_options {
    cw_pipeline_limits_t pipeline;
    size_t               body_bytes_most; /**< of all bodies that are held at once; 0: no bound */
    cw_time_us_t         body_wait;       /**< a body that finds no memory for so long is refused with 503 */
    const char          *request_id_name; /**< header that names a request in the log; NULL: none does */
} cw_http_listener_options_t;

typedef struct cw_http_inbound {
    const char             *method;
    const char             *target; /**< path and query as sent */
    const cw_http_fields_t *fields;
    const char             *body;
    size_t                  body_length;
    cw_time_us_t            arrived_us;  /**< when the request's head was whole */
    bool                    body_unread; /**< its body was not read, since the handler rejects it */
} cw_http_inbound_t;

typedef struct cw_http_listener_handler {
    void *context;
    /** A whole request has been read. The exchange may be answered from within. */
    void (*request)(void *context, cw_http_exchange_t *exchange, const cw_http_inbound_t *inbound);
    /** The caller left before the answer, or its connection has ended; the exchange is gone when this returns. */
    void (*gone)(void *context, cw_http_exchange_t *exchange);
} cw_http_listener_handler_t;

/** The head of a request with a body has been read: does the handler reject it whatever its body is? Then it is handed
 * over in its turn without one, and its answer closes the connection. context: the handler's. */
typedef bool (*cw_http_rejects_t)(void *context, const cw_http_inbound_t *head);

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
/** For connections and requests that begin from now on. */
void cw_http_listener_set_options(cw_http_listener_t *listener, const cw_http_listener_options_t *options);
/** Limits of requests that begin from now on. A resting connection keeps the longer of its idle times. */
void cw_http_listener_set_limits(cw_http_listener_t *listener, const cw_http_limits_t *limits);
/** For requests whose heads are read from now on. NULL: none is rejected by its head. */
void cw_http_listener_set_reject_callback(cw_http_listener_t *listener, cw_http_rejects_t rejects);
/** From now on connections end: with the answer to the last request that was handed over, or to the next one. */
void cw_http_listener_end_connections(cw_http_listener_t *listener);
/** Stops accepting and closes connections that have rested for a moment; to be called again until none is left. */
void cw_http_listener_close(cw_http_listener_t *listener);
/** Connections with a request that was begun or an answer that is being written. */
size_t cw_http_listener_busy(const cw_http_listener_t *listener);
size_t cw_http_listener_connections(const cw_http_listener_t *listener);
/** Bytes reserved for bodies. */
size_t cw_http_listener_body_bytes(const cw_http_listener_t *listener);

void cw_http_exchange_answer(cw_http_exchange_t *exchange, const cw_http_outbound_t *outbound);
/** The connection closes in this request's turn, without an answer; what is behind it is gone. */
void  cw_http_exchange_abort(cw_http_exchange_t *exchange);
void  cw_http_exchange_set_data(cw_http_exchange_t *exchange, void *data);
void *cw_http_exchange_data(const cw_http_exchange_t *exchange);

#endif
