/**
 * @file http_upstream.h
 * @brief HTTP/1.1 client on libuv and http_parser. Each connection carries one call at a time, idle connections are
 *        kept for each target, and the outcome of a call is determined strictly.
 *
 * An answer is complete only if its framing says so: the stated length was reached, the last chunk arrived or, with
 * neither, the connection was closed in an orderly way (not by a reset). A connection is reused only after a complete
 * answer without further bytes after it, to a request that had been sent completely. A server may answer before it
 * has read a long body, and would otherwise read the next request as the rest of that body.
 *
 * A server may send an answer twice, the second time in the place of the next answer. Requests are told apart by a
 * value that answers echo (match_value). Two calls with the same value never go over the same connection, since their
 * answers could not be told apart.
 *
 * What is read of one answer is bounded: its body by the request (answer_max), the bytes outside it by answer_bounds.h,
 * all bodies together by answer_memory.h. A call whose answer exceeds a bound ends as broken, with a TCP reset.
 */
#ifndef CEDARWINCH_NET_HTTP_UPSTREAM_H
#define CEDARWINCH_NET_HTTP_UPSTREAM_H

#include <stdint.h>
#include <uv.h>

#include "base/time.h"
#include "net/answer_memory.h"
#include "net/http_header.h"

typedef struct cw_upstream        cw_upstream_t;        /**< the client: its targets and options */
typedef struct cw_upstream_target cw_upstream_target_t; /**< a server's address with its idle connections */
typedef struct cw_upstream_call   cw_upstream_call_t;   /**< a request whose outcome is not determined yet */
typedef struct cw_upstream_answer cw_upstream_answer_t; /**< the outcome of a call */

/** Outcome of a call. */
typedef enum cw_upstream_result {
    CW_UPSTREAM_ANSWERED,  /**< the complete answer arrived */
    CW_UPSTREAM_WITHDRAWN, /**< no byte of the request left this process, since may_be_sent returned false */
    CW_UPSTREAM_NOT_SENT,  /**< it is certain that no byte of the request left this process */
    CW_UPSTREAM_BROKEN,    /**< bytes may have been sent, and there is no complete answer */
    CW_UPSTREAM_TIMED_OUT  /**< as CW_UPSTREAM_BROKEN, because of a timeout */
} cw_upstream_result_t;

/** A request and the limits of its call. */
typedef struct cw_upstream_request {
    const char *bytes; /**< head, and body unless given below, as sent; copied */
    size_t      length;
    const char *body; /**< data sent after these bytes. It is not copied and must remain valid until the call has ended
                         or is abandoned. NULL: none */
    size_t body_length;
    /** Asked with the call's context before the first byte is sent on a new connection, which takes time. False: the
     * call ends as CW_UPSTREAM_WITHDRAWN. Must not end the call. NULL: not asked. */
    bool (*may_be_sent)(void *context);
    bool is_head;             /**< the method is HEAD */
    bool uses_new_connection; /**< use a new connection */
    /** Use only a connection that was opened by this time, which therefore leads to the process that answered then; if
     * none is idle, no call is started. 0: any connection. */
    cw_time_us_t opened_by;
    cw_time_us_t connect_timeout; /**< time to establish a connection; after it the call ends with nothing sent */
    cw_time_us_t timeout;         /**< for the complete call; 0: none */
    cw_time_us_t progress; /**< an answer is awaited beyond `timeout` while bytes of it arrive at intervals of at most
                              this; 0: it is not */
    size_t answer_max;     /**< maximum size of an answer's body; a longer one counts as broken */
    /** Header that answers echo, and its value in this request; both are copied. An answer with another value belongs
     * to another request and is discarded. NULL: not compared. */
    const char *match_name;
    const char *match_value;
    /** Answers without that header count as answers to other requests, except the first one on a connection. A
     * connection is kept only after an answer with it, so a call without match_value gets one of its own. */
    bool is_match_required;
    /** Asked with the call's context whether the connection may carry further calls after this complete answer. NULL:
     * after any. */
    bool (*may_be_kept)(void *context, const cw_upstream_answer_t *answer);
} cw_upstream_request_t;

/** Outcome of a call. Valid during the callback only. */
struct cw_upstream_answer {
    cw_upstream_result_t    result;
    const char             *failure; /**< description of the failure for the log; NULL if answered */
    int                     status;
    const cw_http_fields_t *fields;
    const char             *body;
    size_t                  body_length;
    bool                    reused;   /**< sent on a connection that had carried an earlier call */
    bool                    reset;    /**< the peer reset the connection */
    bool                    any_byte; /**< at least one byte of an answer was received */
    bool                    closing;  /**< the peer announced that it closes this connection */
    uint64_t connection;     /**< number of the connection, counted from 1 by this client; 0: none was opened */
    uint32_t discarded;      /**< answers to other requests that were discarded before */
    bool     is_first;       /**< the connection had not carried a call before */
    bool     names_request;  /**< the answer has the field match_name, with this request's value */
    bool     carried_before; /**< the connection had carried a call with the same match_value before */
    /** The server began an answer and spoiled it: it broke off, or its bytes were no answer or exceeded a bound. */
    bool spoiled;
};

/** Called once when a call has ended. */
typedef void (*cw_upstream_answered_t)(void *context, const cw_upstream_answer_t *answer);

/** Settings of a client. */
typedef struct cw_upstream_options {
    cw_time_us_t idle_max; /**< an idle connection is closed after this time, or earlier if the peer states a shorter
                              keep-alive timeout */
    cw_time_us_t unacknowledged; /**< a connection ends if sent data is not acknowledged for this time
                                    (TCP_USER_TIMEOUT); 0: system default */
    cw_answer_memory_t *memory;  /**< memory for the bodies of answers; borrowed, several clients may use it. NULL: not
                                    limited */
    bool reset_on_abandon; /**< reset the connection of an abandoned or timed-out call: data in flight is dropped */
} cw_upstream_options_t;

/** Creates a client. */
cw_upstream_t *cw_upstream_create(uv_loop_t *loop, const cw_upstream_options_t *options);
/** Releases all targets: idle connections are closed. Memory is freed once the loop has closed all handles. */
void cw_upstream_free(cw_upstream_t *upstream);

/** Creates a target. NULL: the address is not "IPv4:PORT". */
cw_upstream_target_t *cw_upstream_target_create(cw_upstream_t *upstream, const char *address);
/** Releases a target: its idle connections are closed, its calls in flight continue. */
void cw_upstream_target_release(cw_upstream_target_t *target);
/** Number of idle connections. */
size_t cw_upstream_target_idle(const cw_upstream_target_t *target);

/** Starts a call. The callback is called exactly once, after this function has returned. NULL: no call was started,
 * since no connection meets `opened_by`. */
cw_upstream_call_t *cw_upstream_call(cw_upstream_target_t *target, const cw_upstream_request_t *request,
                                     cw_upstream_answered_t answered, void *context);
/** Ends a call without calling its callback; its connection is closed. */
void cw_upstream_call_abandon(cw_upstream_call_t *call);
/** True once bytes of the request may have been sent. */
bool cw_upstream_call_sent(const cw_upstream_call_t *call);
/** Number of connections opened since the start. */
uint64_t cw_upstream_opened(const cw_upstream_t *upstream);

#endif
