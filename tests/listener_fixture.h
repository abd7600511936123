/**
 * @file listener_fixture.h
 * @brief Test fixture: a listener whose handler keeps requests until a test answers them, and callers that send raw
 *        bytes.
 */
#ifndef CEDARWINCH_TESTS_LISTENER_FIXTURE_H
#define CEDARWINCH_TESTS_LISTENER_FIXTURE_H

#include <stdbool.h>
#include <stddef.h>
#include <uv.h>

#include "base/byte_buffer.h"
#include "net/http_listener.h"

enum { LISTENER_FIXTURE_REQUESTS = 64, LISTENER_FIXTURE_CALLERS = 4 };

/** Requests for this target are rejected by their heads. */
#define LISTENER_FIXTURE_REJECTED "/rejected"

/** A request as received by the handler. */
typedef struct fixture_request {
    cw_http_exchange_t *exchange; /**< NULL: answered or ended */
    char                method[16];
    char                target[64];
    size_t              body_length;
    char                body_first; /**< first and last byte of the body */
    char                body_last;
    cw_time_us_t        arrived_us;
    bool                cancelled;
    bool                body_unread;
} fixture_request_t;

/** A client connection. */
typedef struct fixture_caller {
    uv_tcp_t   tcp;
    uv_loop_t *loop;
    cw_bytes_t received;
    bool       ended; /**< the listener closed the connection */
} fixture_caller_t;

/** The listener with its requests and callers. */
typedef struct listener_fixture {
    uv_loop_t           loop;
    cw_http_listener_t *listener;
    fixture_request_t requests[LISTENER_FIXTURE_REQUESTS]; /**< in the order in which they were passed to the handler */
    size_t            count;
    size_t            cancelled;
    bool              answers_immediately; /**< each request is answered immediately, with its target as body */
    fixture_caller_t  callers[LISTENER_FIXTURE_CALLERS];
    size_t            caller_count;
} listener_fixture_t;

/** Starts a listener at a free port of 127.0.0.1. */
void listener_fixture_init(listener_fixture_t *fixture, const cw_http_limits_t *limits,
                           const cw_http_listener_options_t *options);
/** Connects another caller and starts to read from it. */
fixture_caller_t *listener_fixture_connect(listener_fixture_t *fixture);
/** Writes all bytes, and runs the loop while the listener does not accept them. */
void listener_fixture_send(fixture_caller_t *caller, const void *bytes, size_t length);
/** The same for a text. */
void listener_fixture_send_text(fixture_caller_t *caller, const char *text);
/** Writes as many bytes as the listener's socket accepts without running the loop. Returns their number. */
size_t listener_fixture_send_some(fixture_caller_t *caller, const void *bytes, size_t length);
/** Closes the caller's connection. */
void listener_fixture_disconnect(fixture_caller_t *caller);
/** Runs the loop until this number of requests has been passed to the handler in total. */
void listener_fixture_await_requests(listener_fixture_t *fixture, size_t count);
/** Runs the loop until the caller has received this text. */
void listener_fixture_await_text(fixture_caller_t *caller, const char *text);
/** Runs the loop until the listener has closed the caller's connection. */
void listener_fixture_await_end(fixture_caller_t *caller);
/** Runs the loop until this number of requests has ended without an answer in total. */
void listener_fixture_await_cancelled(listener_fixture_t *fixture, size_t count);
/** Runs the loop for this time, to check that something does not happen. */
void listener_fixture_run_for(listener_fixture_t *fixture, uint64_t ms);
/** Answers 200 with this body. */
void listener_fixture_answer(listener_fixture_t *fixture, size_t index, const char *body);
/** The bytes that the caller has received so far, as text. */
const char *listener_fixture_received(fixture_caller_t *caller);
/** True if the caller has received these texts in this order (NULL ends the list). */
bool listener_fixture_received_in_order(fixture_caller_t *caller, const char *const *texts);

#endif
