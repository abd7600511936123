/**
 * @file http_upstream.h
 * @brief HTTP/1.1 client on libuv and http_parser: one call on one connection, idle connections kept for each target,
 *        and a strict reading of what became of a call.
 *
 * An answer is whole only when its own framing says so: a length that was met, chunks up to the last one, or, with
 * neither, the orderly end of the connection (a reset is no end). A connection is used again only after a whole answer
 * with nothing behind it, to a request that had left whole: a server may answer before it has read a long body, and
 * what it reads later in that body's place must be that body.
 */
#ifndef CEDARWINCH_NET_HTTP_UPSTREAM_H
#define CEDARWINCH_NET_HTTP_UPSTREAM_H

#include <stdint.h>
#include <uv.h>

#include "base/time.h"
#include "net/http_header.h"

typedef struct cw_upstream        cw_upstream_t;
typedef struct cw_upstream_target cw_upstream_target_t; /**< an address with its idle connections */
typedef struct cw_upstream_call   cw_upstream_call_t;

typedef enum cw_upstream_result {
    CW_UPSTREAM_ANSWERED, /**< the whole answer arrived */
    CW_UPSTREAM_NOT_SENT, /**< proved: no byte of the request left this process */
    CW_UPSTREAM_BROKEN,   /**< a byte may have left; no whole answer */
    CW_UPSTREAM_TIMED_OUT /**< as CW_UPSTREAM_BROKEN, because time ran out */
} cw_upstream_result_t;

typedef struct cw_upstream_request {
    const char *bytes; /**< head and body as they go out; copied */
    size_t      length;
    const char *body; /**< what goes out behind these bytes; not copied: it stays the caller's until the call has ended
                       * or is abandoned. NULL: nothing */
    size_t       body_length;
    bool         is_head;
    bool         fresh;           /**< on a connection of its own */
    cw_time_us_t connect_timeout; /**< a connection that is not up by then is given up, with nothing sent */
    cw_time_us_t timeout;         /**< for the whole call; 0: none */
    cw_time_us_t progress;        /**< an answer of which bytes keep coming at least this often is waited for beyond
                                   * that; 0: it is not */
    size_t      answer_max;       /**< bytes of an answer's body; a longer one counts as broken */
    const char *match_name;       /**< a header that answers echo; an answer with another value belongs to another */
    const char *match_value;      /**< request and is thrown away. NULL: not compared. Copied */
} cw_upstream_request_t;

/** Borrowed for the callback. */
typedef struct cw_upstream_answer {
    cw_upstream_result_t    result;
    const char             *fault; /**< what broke, in words; NULL when answered */
    int                     status;
    const cw_http_fields_t *fields;
    const char             *body;
    size_t                  body_length;
    bool                    reused;   /**< sent on a connection that had served before */
    bool                    reset;    /**< the peer reset the connection */
    bool                    any_byte; /**< some byte of an answer had come */
    bool                    closing;  /**< the peer says that it closes this connection */
} cw_upstream_answer_t;

typedef void (*cw_upstream_answered_t)(void *context, const cw_upstream_answer_t *answer);

/** Settings of a client; times in microseconds. */
typedef struct cw_upstream_options {
    cw_time_us_t idle_max;         /**< an idle connection is closed after this, or sooner if the peer says so */
    cw_time_us_t unacknowledged;   /**< a peer that acknowledges nothing for so long is lost (TCP_USER_TIMEOUT) */
    bool         reset_on_abandon; /**< a call given up resets its connection, so that what is under way is dropped */
} cw_upstream_options_t;

cw_upstream_t *cw_upstream_create(uv_loop_t *loop, const cw_upstream_options_t *options);
/** Abandons all calls and closes all connections; memory goes once the loop has closed the handles. */
void cw_upstream_free(cw_upstream_t *upstream);

/** NULL: the address is not "IPv4:PORT". */
cw_upstream_target_t *cw_upstream_target_create(cw_upstream_t *upstream, const char *address);
/** Calls under way go on; idle connections are closed. */
void   cw_upstream_target_release(cw_upstream_target_t *target);
size_t cw_upstream_target_idle(const cw_upstream_target_t *target);

/** Starts a call. The callback comes once, never from within this function. */
cw_upstream_call_t *cw_upstream_call(cw_upstream_target_t *target, const cw_upstream_request_t *request,
                                     cw_upstream_answered_t answered, void *context);
/** Ends a call without its callback; its connection is closed. */
void cw_upstream_call_abandon(cw_upstream_call_t *call);
/** False while no byte can have left. */
bool cw_upstream_call_sent(const cw_upstream_call_t *call);
/** Connections opened since the start. */
uint64_t cw_upstream_opened(const cw_upstream_t *upstream);

#endif
