/**
 * @file listener_fixture.h
 * @brief A listener whose handler keeps its requests until a test answers them, and raw callers.
 */
#ifndef CEDARWINCH_TESTS_LISTENER_FIXTURE_H
#define CEDARWINCH_TESTS_LISTENER_FIXTURE_H

#include <stdbool.h>
#include <stddef.h>
#include <uv.h>

#include "base/byte_buffer.h"
#include "net/http_listener.h"

enum { CW_WORLD_REQUESTS = 64, CW_WORLD_CALLERS = 4 };

/** Requests for this are rejected by their heads. */
#define CW_WORLD_REJECTED "/rejected"

/** A request as the handler got it. */
typedef struct cw_world_request {
    cw_http_exchange_t *exchange; /**< NULL: answered or gone */
    char                method[16];
    char                target[64];
    size_t              body_length;
    char                body_first; /**< first and last byte of the body */
    char                body_last;
    cw_time_us_t        arrived_us;
    bool                gone;
    bool                body_unread;
} cw_world_request_t;

typedef struct cw_world_caller {
    uv_tcp_t   tcp;
    uv_loop_t *loop;
    cw_bytes_t received;
    bool       ended; /**< the connection was closed under the caller */
} cw_world_caller_t;

typedef struct cw_listener_world {
    uv_loop_t           loop;
    cw_http_listener_t *listener;
    cw_world_request_t  requests[CW_WORLD_REQUESTS]; /**< in the order in which they were handed over */
    size_t              count;
    size_t              gone;
    bool                answers_at_once; /**< with the request's target as body */
    cw_world_caller_t   callers[CW_WORLD_CALLERS];
    size_t              caller_count;
} cw_listener_world_t;

void cw_world_init(cw_listener_world_t *world, const cw_http_limits_t *limits,
                   const cw_http_listener_options_t *options);
/** Connects one more caller; it reads from then on. */
cw_world_caller_t *cw_world_connect(cw_listener_world_t *world);
/** Writes all bytes, turning the loop while the listener does not take them. */
void cw_world_send(cw_world_caller_t *caller, const void *bytes, size_t length);
void cw_world_send_text(cw_world_caller_t *caller, const char *text);
/** Writes as much as the listener's socket takes without turning the loop. */
size_t cw_world_stuff(cw_world_caller_t *caller, const void *bytes, size_t length);
void   cw_world_leave(cw_world_caller_t *caller);
/** Turns the loop until so many requests have been handed over in all. */
void cw_world_await_requests(cw_listener_world_t *world, size_t count);
/** Turns the loop until the caller has received this text. */
void cw_world_await_text(cw_world_caller_t *caller, const char *text);
/** Turns the loop until the connection has been closed under the caller. */
void cw_world_await_end(cw_world_caller_t *caller);
/** Turns the loop until so many requests are gone in all. */
void cw_world_await_gone(cw_listener_world_t *world, size_t count);
/** Turns the loop for so long: for what must not happen. */
void cw_world_pass(cw_listener_world_t *world, uint64_t ms);
/** Answers 200 with this body. */
void cw_world_answer(cw_listener_world_t *world, size_t index, const char *body);
/** What the caller has received so far, as text. */
const char *cw_world_received(cw_world_caller_t *caller);
/** True: the caller has received these texts in this order (NULL ends the list). */
bool cw_world_received_in_order(cw_world_caller_t *caller, const char *const *texts);

#endif
