/**
 * @file http_listener.h
 * @brief HTTP/1.1 server on libuv and http_parser. It passes complete requests to a handler and writes complete
 *        answers; several requests of a connection are processed at once.
 *
 * Unlike the connections of common server libraries, these are read while requests are being processed, so that a
 * caller's disconnect is detected immediately. They are never closed while a request is with the handler.
 *
 * Rules:
 *  - Requests that arrive on one connection before the first is answered are passed to the handler concurrently. The
 *    handler answers in any order; the caller gets the answers in the order of its requests (net/http_pipeline.h).
 *  - A connection is not read while its pipeline is at the depth or the bytes of the options. A request that waits
 *    unread in the socket for that reason has not begun. Otherwise the time of a request counts from its arrival: if
 *    the process did not look at its sockets for a while, that is earlier than the reading (net/socket_arrival.h).
 *  - Bodies are read completely before the handler gets the request, within one memory limit for all connections
 *    (net/body_budget.h). They are kept until the answer, so that the handler may send them more than once.
 *  - A request that the handler rejects by its head is passed on without its body. The body and all later input of
 *    the connection are discarded, so later requests have not been read.
 *  - When the caller disconnects, all its requests end.
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

/** HTTP server with its connections. */
typedef struct cw_http_listener cw_http_listener_t;
/** One request on its connection. It ends with its answer or when the caller disconnects. */
typedef struct cw_http_exchange cw_http_exchange_t;

/** Limits of callers' requests and times. */
typedef struct cw_http_limits {
    size_t       header_bytes;   /**< maximum size of a head; longer: 431 */
    size_t       body_bytes;     /**< maximum size of a body; longer: 413 */
    cw_time_us_t header_timeout; /**< time from the first to the last byte of a head; exceeded: 408 */
    /** Maximum time of a connection without a request, and of a body or answer without progress. */
    cw_time_us_t idle_timeout;
} cw_http_limits_t;

/** Concurrency of a connection's requests and memory of bodies. All zeros: one request at a time, and bodies limited by
 * cw_http_limits_t alone. */
typedef struct cw_http_listener_options {
    cw_pipeline_limits_t pipeline;
    size_t               body_bytes_max;  /**< maximum size of all bodies in memory; 0: unlimited */
    cw_time_us_t         body_wait;       /**< a body that waits for memory for this time is refused with 503 */
    const char          *request_id_name; /**< header whose value names a request in the log; NULL: none */
} cw_http_listener_options_t;

/** A request as the handler gets it. The data that it points to is valid until the answer. */
typedef struct cw_http_inbound {
    const char             *method;
    const char             *target; /**< path and query as received */
    const cw_http_fields_t *fields;
    const char             *body;
    size_t                  body_length;
    cw_time_us_t            arrived_us;  /**< time at which the last byte of the head arrived */
    bool                    body_unread; /**< the body was not read: the handler rejects the request by its head */
} cw_http_inbound_t;

/** Callbacks of a listener. */
typedef struct cw_http_listener_handler {
    void *context;
    /** A complete request has been read. The handler may answer the exchange within this call. */
    void (*request)(void *context, cw_http_exchange_t *exchange, const cw_http_inbound_t *inbound);
    /** The caller disconnected before the answer, or its connection has ended. The exchange is invalid once this
     * returns. */
    void (*cancelled)(void *context, cw_http_exchange_t *exchange);
} cw_http_listener_handler_t;

/** Called when the head of a request with a body has been read. Returns true if the handler rejects the request
 * whatever its body is. The request is then passed on in its turn without a body, and its answer closes the connection.
 * context: the handler's. */
typedef bool (*cw_http_rejects_t)(void *context, const cw_http_inbound_t *head);

/** An answer. Copied by cw_http_exchange_answer. */
typedef struct cw_http_outbound {
    int                     status;
    const cw_http_fields_t *fields; /**< header fields, of which hop-by-hop fields are left out; NULL: none */
    const char             *body;
    size_t                  body_length;
    double                  retry_after_s; /**< value of Retry-After, in seconds; below 0: not sent */
    const char             *added_name;    /**< name of one further header field */
    const char             *added_value;   /**< NULL: it is not sent */
} cw_http_outbound_t;

/** Listens on an IPv4 address and port. Returns 0 or a libuv error. */
int cw_http_listener_create(cw_http_listener_t **listener, uv_loop_t *loop, const char *address, uint16_t port,
                            const cw_http_limits_t *limits, const cw_http_listener_handler_t *handler);
/** The port on which it listens. */
uint16_t cw_http_listener_port(const cw_http_listener_t *listener);
/** Sets the options of connections and requests that begin from now on. */
void cw_http_listener_set_options(cw_http_listener_t *listener, const cw_http_listener_options_t *options);
/** Sets the limits of requests that begin from now on. A connection that is idle now is closed after the longer one
 * of the former and the new idle timeout. */
void cw_http_listener_set_limits(cw_http_listener_t *listener, const cw_http_limits_t *limits);
/** Sets the callback for requests whose heads are read from now on. NULL: no request is rejected by its head. */
void cw_http_listener_set_reject_callback(cw_http_listener_t *listener, cw_http_rejects_t rejects);
/** From now on every connection ends: with the answer to the last request that was passed on, or to the next request.
 */
void cw_http_listener_end_connections(cw_http_listener_t *listener);
/** Stops accepting connections and closes those that have been idle for a moment (MIN_IDLE_MS). To be called again
 * until no connection is left. */
void cw_http_listener_close(cw_http_listener_t *listener);
/** Number of connections with a request that has begun or an answer that is being written. */
size_t cw_http_listener_busy(const cw_http_listener_t *listener);
/** Number of open connections. */
size_t cw_http_listener_connections(const cw_http_listener_t *listener);
/** Number of bytes reserved for bodies. */
size_t cw_http_listener_body_bytes(const cw_http_listener_t *listener);

/** Answers a request; written in its turn. Ignored if the exchange is answered already or its connection has ended. */
void cw_http_exchange_answer(cw_http_exchange_t *exchange, const cw_http_outbound_t *outbound);
/** Closes the connection in this request's turn, without an answer. Later requests of the connection end. */
void cw_http_exchange_abort(cw_http_exchange_t *exchange);
/** Returns whether the caller has closed its connection, as its socket states now, even if that was not read yet. */
bool cw_http_exchange_is_caller_gone(const cw_http_exchange_t *exchange);
/** Sets the handler's own data of an exchange. */
void cw_http_exchange_set_data(cw_http_exchange_t *exchange, void *data);
/** Returns the handler's own data of an exchange; NULL: none was set. */
void *cw_http_exchange_data(const cw_http_exchange_t *exchange);

#endif
