/**
 * @file http_listener_internal.h
 * @brief Types and functions shared by the source files of the HTTP server.
 *
 * A connection holds the request that is being read (`incoming`) and the requests that were read, in order of arrival
 * (`pipeline`). The socket is also read while requests are with the handler, so that a disconnect is detected
 * immediately. It is not read while `pending` holds bytes that may not be parsed yet, because the pipeline is full or
 * a body waits for memory. Meanwhile the connection is checked for a disconnect every CW_HANG_UP_CHECK_MS.
 *
 * States of a connection: OPEN, then LINGERING (the last answer has been written and the sending side is shut down;
 * input is discarded until the peer closes or sends nothing for CW_LINGER_MS, so that the peer gets the complete
 * answer), then CLOSED.
 */
#ifndef CEDARWINCH_NET_HTTP_LISTENER_INTERNAL_H
#define CEDARWINCH_NET_HTTP_LISTENER_INTERNAL_H

#include <http_parser.h>

#include "net/http_listener.h"

enum {
    CW_LISTENER_CHUNK = 16 * 1024, /* bytes of one read */
    CW_LINGER_MS = 1000,           /* a lingering connection is closed after this time without input */
    CW_LINGER_MAX_S = 30,          /* maximum, as nginx's lingering_time: an unread body may arrive for so long */
    CW_HANG_UP_CHECK_MS = 250 /* a disconnect is detected within half a second even while the connection is not read */
};

/** State of a connection. */
typedef enum cw_listener_state {
    CW_CONNECTION_OPEN,
    CW_CONNECTION_LINGERING,
    CW_CONNECTION_CLOSED
} cw_listener_state_t;

typedef struct cw_http_connection cw_http_connection_t;

/** A request with its answer. */
struct cw_http_exchange {
    cw_pipeline_entry_t     entry; /* first member: the address of an entry is that of its exchange */
    cw_http_connection_t   *connection;
    const char             *method;
    cw_http_fields_t        fields;
    cw_http_field_builder_t builder;
    cw_bytes_t              target;
    cw_bytes_t              body;
    size_t                  reserved; /* bytes reserved in the listener's body budget */
    size_t                  head_bytes;
    bool                    head_done;
    bool                    message_done;
    bool                    is_chunked;
    bool                    is_head; /* the method is HEAD */
    bool                    http_1_0;
    bool                    body_unread;    /* rejected by its head: its body is not read */
    bool                    wants_continue; /* "100 Continue" is due once all earlier answers are written */
    bool         answer_head_done; /* the answer's head is complete: whether it closes the connection is decided */
    bool         closes;
    bool         in_handler;         /* the handler is being called: the data passed to it must remain valid */
    bool         free_after_handler; /* to be freed when the handler returns */
    bool         is_early;           /* it was answered before its turn */
    bool         aborted;            /* the connection is closed in its turn, without an answer */
    int          refusal;            /* status of the refusal if it exceeded a limit; 0: none */
    cw_time_us_t begun_us;
    cw_time_us_t arrived_us;
    cw_time_us_t answered_us;
    cw_time_us_t memory_waited; /* time for which its body waited for memory; not counted against the sender */
    cw_bytes_t   answer_head;
    cw_bytes_t   answer_body;
    void        *data;
};

/** A caller's connection with its requests. */
struct cw_http_connection {
    uv_tcp_t            tcp; /* first member: libuv's callbacks get this pointer */
    uv_timer_t          timer;
    cw_http_listener_t *listener;
    cw_listener_state_t state;
    http_parser         parser;
    cw_http_exchange_t *incoming; /* request that is being read; NULL: no byte of the next request has been parsed */
    cw_pipeline_t       pipeline;
    cw_bytes_t          pending; /* bytes that were read and may not be parsed yet */
    cw_time_us_t        pending_read_us;
    cw_time_us_t        read_us;       /* time at which the bytes that are being parsed arrived */
    uint64_t            accepted_look; /* number of the last look at the sockets before it was accepted */
    cw_time_us_t        opened_us;     /* it was not opened earlier: last look at the sockets before it was accepted */
    bool                is_reading;
    cw_time_us_t        hang_up_check_us; /* time of the next check for a disconnect while the connection is not read */
    bool                is_postponed;     /* its timer waits until the sockets have been read, after a stall */
    bool                is_advancing;     /* bytes are being parsed or requests are being passed to the handler */
    bool                resume_due;     /* requests or pending bytes are to be processed in the next turn of the loop */
    bool                is_writing;     /* libuv is writing the oldest answer */
    size_t              write_left;     /* unwritten bytes of that answer at the last check */
    cw_time_us_t        write_check_us; /* time of the next check whether the caller reads the answer */
    size_t              memory_wanted;  /* bytes of memory that the incoming body waits for; 0: it does not wait */
    cw_time_us_t        memory_wait_since;
    cw_time_us_t        body_read_us; /* time at which bytes of the incoming body were last read */
    cw_time_us_t        idle_since_us;
    cw_time_us_t        idle_timeout_at_begin; /* idle timeout in force when it became idle */
    cw_time_us_t        linger_until;
    cw_time_us_t        linger_deadline;  /* latest end of lingering, even if the caller goes on sending */
    char               *blocking_request; /* name of the request for whose answer later answers waited; NULL: none */
    int                 handles;
    uv_write_t          write;
    uv_shutdown_t       shutdown;
    cw_http_connection_t *prev; /* names required by utlist */
    cw_http_connection_t *next;
    cw_http_connection_t *waiter_prev; /* list of connections whose bodies wait for memory, in order of arrival */
    cw_http_connection_t *waiter_next;
};

/** A listener with its connections. */
struct cw_http_listener {
    uv_loop_t                 *loop;
    uv_tcp_t                   tcp;
    bool                       closed;
    bool                       ending;
    cw_http_limits_t           limits;
    cw_http_listener_options_t options;
    cw_body_budget_t           bodies;
    cw_http_listener_handler_t handler;
    cw_http_rejects_t          rejects; /* NULL: no request is rejected by its head */
    cw_http_connection_t      *connections;
    size_t                     count;
    cw_http_connection_t      *memory_waiters;
    char                       chunk[CW_LISTENER_CHUNK];
};

/* ---- http_listener.c ---- */
/** Time of the listener's loop. */
cw_time_us_t cw_listener_now(const cw_http_listener_t *listener);
/** Closes a connection and ends its requests. */
void cw_listener_close_connection(cw_http_connection_t *connection);

/** Number of bytes that were read and may not be parsed yet, of the connection with the most of them. */
size_t cw_listener_pending_bytes(const cw_http_listener_t *listener);

/* ---- http_listener_timer.c ---- */
/** True if no part of a request has been read and no answer is due. */
bool cw_listener_is_idle(const cw_http_connection_t *connection);
/** True if the caller has closed its connection, as the socket states now, even if that was not read yet. */
bool cw_listener_is_hung_up(const cw_http_connection_t *connection);
/** Starts the idle time of a connection. */
void cw_listener_begin_idle(cw_http_connection_t *connection);
/** Sets the connection's only timer to the earliest time that is due. */
void cw_listener_arm_timer(cw_http_connection_t *connection);
/** Resumes the connection in the next turn of the loop, and so never within a call of the handler. */
void cw_listener_resume_later(cw_http_connection_t *connection);

/* ---- http_listener_exchange.c ---- */
/** Creates the exchange of a request that begins. */
cw_http_exchange_t *cw_listener_exchange_create(cw_http_connection_t *connection);
/** The request in the form in which the handler gets it. */
cw_http_inbound_t cw_listener_inbound(const cw_http_exchange_t *exchange);
/** Frees an exchange that is in no pipeline. If the handler is being called with it, it is freed after the call. */
void cw_listener_exchange_free(cw_http_exchange_t *exchange);
/** Passes all requests to the handler that may be passed on now. */
void cw_listener_dispatch(cw_http_connection_t *connection);
/** Ends the pipeline: no further request of the connection is passed to the handler, and requests that were read but
 * not passed on are dropped. */
void cw_listener_end_pipeline(cw_http_connection_t *connection);

/* ---- http_listener_answer.c ---- */
/** Refuses the incoming request with this status. The connection ends with this answer. retry_after_s: value of
 * Retry-After; below 0: not sent. reason: for the log. */
void cw_listener_refuse(cw_http_connection_t *connection, int status, double retry_after_s, const char *reason);
/** Name of a request in the log: value of the header that the options name; NULL: it has none. */
const char *cw_listener_request_name(const cw_http_exchange_t *exchange);
/** Writes all answers whose turn has come. */
void cw_listener_write(cw_http_connection_t *connection);
/** Sends "100 Continue" if the incoming request expects it and all earlier answers are written. */
void cw_listener_send_continue(cw_http_connection_t *connection);

/* ---- http_listener_request.c ---- */
/** True if the connection has work that does not depend on further input from the caller. */
bool cw_listener_has_more(const cw_http_connection_t *connection);
/** Parses pending bytes as far as the limits allow, and passes requests to the handler. */
void cw_listener_advance(cw_http_connection_t *connection);
/** Callbacks of libuv for reading. */
void cw_listener_on_read(uv_stream_t *stream, ssize_t length, const uv_buf_t *buffer);
void cw_listener_on_allocate(uv_handle_t *handle, size_t suggested, uv_buf_t *buffer);

/* ---- http_listener_body.c ---- */
/** Reserves memory for bytes of the incoming body. Returns false if there is not enough now; the connection then waits
 * for it. */
bool cw_listener_reserve(cw_http_connection_t *connection, size_t bytes);
/** Tries again to reserve memory for a waiting connection. True: the memory is reserved and the connection may resume.
 */
bool cw_listener_retry_reserve(cw_http_connection_t *connection);
/** Returns memory that an exchange has reserved, all or part of it. */
void cw_listener_release(cw_http_exchange_t *exchange, size_t bytes);
/** Ends a connection's wait for memory. */
void cw_listener_stop_waiting(cw_http_connection_t *connection);
/** Refuses the incoming request because there was no memory for its body within the wait time. */
void cw_listener_refuse_body(cw_http_connection_t *connection);

#endif
