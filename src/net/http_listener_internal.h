/**
 * @file http_listener_internal.h
 * @brief Types shared by the server's parts.
 *
 * A connection holds the request that is being read (`incoming`) and those that were read, in their order (`pipeline`).
 * Its bytes are read on while requests are with the handler, so that a hang-up is seen at once. They are not read while
 * `pending` holds bytes that may not be parsed yet: the pipeline is full, or a body waits for memory. Meanwhile a
 * hang-up is looked for every CW_HANG_UP_CHECK_MS.
 *
 * States of a connection: OPEN, then LINGERING (the last answer has been written and the sending side is shut; input is
 * thrown away until the peer closes, or sends nothing for CW_LINGER_MS, so that the peer gets the whole answer), then
 * CLOSED.
 */
#ifndef CEDARWINCH_NET_HTTP_LISTENER_INTERNAL_H
#define CEDARWINCH_NET_HTTP_LISTENER_INTERNAL_H

#include <http_parser.h>

#include "net/http_listener.h"

enum {
    CW_LISTENER_CHUNK = 16 * 1024,
    CW_LINGER_MS = 1000,
    CW_LINGER_MOST_S = 30,    /* nginx's lingering_time: a body that was not read may be on its way for so long */
    CW_HANG_UP_CHECK_MS = 250 /* a caller that has left is seen within half a second also while nothing is read */
};

typedef enum cw_listener_state {
    CW_CONNECTION_OPEN,
    CW_CONNECTION_LINGERING,
    CW_CONNECTION_CLOSED
} cw_listener_state_t;

typedef struct cw_http_connection cw_http_connection_t;

struct cw_http_exchange {
    cw_pipeline_entry_t     entry; /* first: an entry's address is its exchange's */
    cw_http_connection_t   *connection;
    const char             *method;
    cw_http_fields_t        fields;
    cw_http_field_builder_t builder;
    cw_bytes_t              target;
    cw_bytes_t              body;
    size_t                  reserved; /* of the listener's budget of bodies */
    size_t                  head_bytes;
    bool                    head_done;
    bool                    message_done;
    bool                    is_chunked;
    bool                    is_head;
    bool                    http_1_0;
    bool                    body_unread;    /* rejected by its head */
    bool                    wants_continue; /* 100, once all before it is written */
    bool                    is_head_done;   /* of the answer: whether it closes the connection is settled */
    bool                    closes;
    bool                    in_handler; /* the handler is being called: what it was given stays */
    bool                    is_done;    /* to be freed after that */
    bool                    has_waited; /* its answer was there before its turn */
    bool                    aborted;    /* in its turn the connection closes without an answer */
    int                     refusal;    /* status of a request that broke a limit */
    cw_time_us_t            begun_us;
    cw_time_us_t            arrived_us;
    cw_time_us_t            answered_us;
    cw_time_us_t            room_waited; /* for memory for its body: not the sender's time */
    cw_bytes_t              answer_head;
    cw_bytes_t              answer_body;
    void                   *data;
};

struct cw_http_connection {
    uv_tcp_t              tcp; /* first: libuv's callbacks get this pointer */
    uv_timer_t            timer;
    cw_http_listener_t   *listener;
    cw_listener_state_t   state;
    http_parser           parser;
    cw_http_exchange_t   *incoming; /* NULL: no byte of the next request is here */
    cw_pipeline_t         pipeline;
    cw_bytes_t            pending; /* bytes that may not be parsed yet */
    cw_time_us_t          pending_read_us;
    cw_time_us_t          read_us; /* when the bytes that are being parsed were read */
    bool                  is_reading;
    cw_time_us_t          hang_up_check_us; /* while nothing is read */
    bool                  is_advancing;
    bool                  resume_due; /* requests or bytes wait for the loop to come to them */
    bool                  is_writing; /* the oldest answer is with libuv */
    size_t                write_left; /* bytes of it when last looked at */
    cw_time_us_t          write_check_us;
    size_t                room_wanted; /* bytes of a body that wait for memory; 0: none do */
    cw_time_us_t          room_since;
    cw_time_us_t          body_read_us; /* last byte of the body that is being read */
    cw_time_us_t          rest_begun_us;
    cw_time_us_t          rest_told; /* the idle timeout in force when it began to rest */
    cw_time_us_t          linger_until;
    cw_time_us_t          linger_most; /* at the latest, though the caller goes on sending */
    char                 *turn_holder; /* name of the request for whose answer those behind it waited; NULL: none */
    int                   handles;
    uv_write_t            write;
    uv_shutdown_t         shutdown;
    cw_http_connection_t *prev; /* utlist's names */
    cw_http_connection_t *next;
    cw_http_connection_t *room_prev; /* connections whose bodies wait for memory, the first come first */
    cw_http_connection_t *room_next;
};

struct cw_http_listener {
    uv_loop_t                 *loop;
    uv_tcp_t                   tcp;
    bool                       closed;
    bool                       ending;
    cw_http_limits_t           limits;
    cw_http_listener_options_t options;
    cw_body_budget_t           bodies;
    cw_http_listener_handler_t handler;
    cw_http_rejects_t          rejects; /* NULL: none is rejected by its head */
    cw_http_connection_t      *connections;
    size_t                     count;
    cw_http_connection_t      *room_waiting;
    char                       chunk[CW_LISTENER_CHUNK];
};

/* ---- http_listener.c ---- */
cw_time_us_t cw_listener_now(const cw_http_listener_t *listener);
void         cw_listener_close_connection(cw_http_connection_t *connection);

/** Bytes that were read and may not be parsed yet, of the connection that has the most. */
size_t cw_listener_pending_bytes(const cw_http_listener_t *listener);

/* ---- http_listener_timer.c ---- */
/** Nothing of a request is here and no answer is due. */
bool cw_listener_is_resting(const cw_http_connection_t *connection);
void cw_listener_begin_rest(cw_http_connection_t *connection);
/** Sets the connection's one timer to what is due next. */
void cw_listener_arm(cw_http_connection_t *connection);
/** Goes on with the connection from the loop: never within a handler's call. */
void cw_listener_resume_later(cw_http_connection_t *connection);

/* ---- http_listener_exchange.c ---- */
cw_http_exchange_t *cw_listener_exchange_create(cw_http_connection_t *connection);
/** The request as the handler gets it. */
cw_http_inbound_t cw_listener_inbound(const cw_http_exchange_t *exchange);
/** Frees an exchange that is in no pipeline; later, if the handler is being called with it. */
void cw_listener_exchange_free(cw_http_exchange_t *exchange);
/** Hands over what may be handed over now. */
void cw_listener_hand_over(cw_http_connection_t *connection);
/** No further request of the connection is handed over; what was read and not handed over is dropped. */
void cw_listener_end_pipeline(cw_http_connection_t *connection);

/* ---- http_listener_answer.c ---- */
/** Answers the incoming request, which cannot be taken. The connection ends with it. retry_after_s below 0: not said.
 */
void cw_listener_refuse(cw_http_connection_t *connection, int status, double retry_after_s, const char *reason);
/** For the log: by the header that the options name; NULL: it has none. */
const char *cw_listener_request_name(const cw_http_exchange_t *exchange);
/** Writes the answers whose turn it is. */
void cw_listener_write(cw_http_connection_t *connection);
/** Sends the interim answer that the incoming request asked for, if all before it is written. */
void cw_listener_send_continue(cw_http_connection_t *connection);

/* ---- http_listener_request.c ---- */
/** Is there something that may be done now without the caller sending more? */
bool cw_listener_has_more(const cw_http_connection_t *connection);
/** Parses pending bytes as far as that is allowed, and hands requests over. */
void cw_listener_advance(cw_http_connection_t *connection);
void cw_listener_on_read(uv_stream_t *stream, ssize_t length, const uv_buf_t *buffer);
void cw_listener_on_allocate(uv_handle_t *handle, size_t suggested, uv_buf_t *buffer);

/* ---- http_listener_body.c ---- */
/** Reserves memory for bytes of the incoming body. False: there is none now, and the connection waits for it. */
bool cw_listener_reserve(cw_http_connection_t *connection, size_t bytes);
/** Tries again for a connection that waits. True: it has its memory, and may go on. */
bool cw_listener_retry_reserve(cw_http_connection_t *connection);
/** Gives back what an exchange reserved, or part of it. */
void cw_listener_release(cw_http_exchange_t *exchange, size_t bytes);
/** The connection waits for memory no longer. */
void cw_listener_stop_waiting(cw_http_connection_t *connection);
/** No memory came in time: the request is refused. */
void cw_listener_refuse_body(cw_http_connection_t *connection);

#endif
