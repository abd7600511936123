/**
 * @file listener_fixture.c
 * @brief Test fixture: a listener whose handler keeps requests until a test answers them, and callers that send raw
 *        bytes.
 */
#include "listener_fixture.h"

#include <stdio.h>
#include <string.h>

#include "loop_fixture.h"

static void answer_exchange(cw_http_exchange_t *exchange, const char *body)
{
    cw_http_outbound_t outbound = {.status = 200, .body = body, .body_length = strlen(body), .retry_after_s = -1};

    cw_http_exchange_answer(exchange, &outbound);
}

static void on_request(void *context, cw_http_exchange_t *exchange, const cw_http_inbound_t *inbound)
{
    listener_fixture_t *fixture = context;
    fixture_request_t  *request = &fixture->requests[fixture->count++];

    ck_assert_uint_le(fixture->count, LISTENER_FIXTURE_REQUESTS);
    request->exchange = exchange;
    request->arrived_us = inbound->arrived_us;
    snprintf(request->method, sizeof(request->method), "%s", inbound->method);
    snprintf(request->target, sizeof(request->target), "%s", inbound->target);
    request->body_length = inbound->body_length;
    request->body_unread = inbound->body_unread;
    if (inbound->body_length > 0) {
        request->body_first = inbound->body[0];
        request->body_last = inbound->body[inbound->body_length - 1];
    }
    cw_http_exchange_set_data(exchange, request);
    if (fixture->answers_immediately) {
        request->exchange = NULL;
        answer_exchange(exchange, request->target);
    }
}

static void on_cancelled(void *context, cw_http_exchange_t *exchange)
{
    listener_fixture_t *fixture = context;
    fixture_request_t  *request = cw_http_exchange_data(exchange);

    ck_assert_ptr_eq(request->exchange, exchange);
    request->exchange = NULL;
    request->cancelled = true;
    fixture->cancelled++;
}

static bool rejects(void *context, const cw_http_inbound_t *head)
{
    (void)context;
    return strcmp(head->target, LISTENER_FIXTURE_REJECTED) == 0;
}

void listener_fixture_init(listener_fixture_t *fixture, const cw_http_limits_t *limits,
                           const cw_http_listener_options_t *options)
{
    cw_http_listener_handler_t handler = {fixture, on_request, on_cancelled};

    memset(fixture, 0, sizeof(*fixture));
    uv_loop_init(&fixture->loop);
    ck_assert_int_eq(cw_http_listener_create(&fixture->listener, &fixture->loop, "127.0.0.1", 0, limits, &handler), 0);
    cw_http_listener_set_options(fixture->listener, options);
    cw_http_listener_set_reject_callback(fixture->listener, rejects);
}

/* ---- callers ---- */

static void on_allocate(uv_handle_t *handle, size_t suggested, uv_buf_t *buffer)
{
    static char chunk[65536];

    (void)handle;
    (void)suggested;
    *buffer = uv_buf_init(chunk, sizeof(chunk));
}

static void on_read(uv_stream_t *stream, ssize_t length, const uv_buf_t *buffer)
{
    fixture_caller_t *caller = stream->data;

    if (length > 0) {
        cw_bytes_append(&caller->received, buffer->base, (size_t)length);
    } else if (length < 0) {
        caller->ended = true;
    }
}

static void on_connected(uv_connect_t *connect, int status)
{
    ck_assert_int_eq(status, 0);
    *(bool *)connect->data = true;
}

fixture_caller_t *listener_fixture_connect(listener_fixture_t *fixture)
{
    fixture_caller_t  *caller = &fixture->callers[fixture->caller_count++];
    struct sockaddr_in socket_address;
    uv_connect_t       connect;
    bool               connected = false;

    ck_assert_uint_le(fixture->caller_count, LISTENER_FIXTURE_CALLERS);
    caller->loop = &fixture->loop;
    uv_ip4_addr("127.0.0.1", cw_http_listener_port(fixture->listener), &socket_address);
    uv_tcp_init(&fixture->loop, &caller->tcp);
    caller->tcp.data = caller;
    connect.data = &connected;
    uv_tcp_connect(&connect, &caller->tcp, (const struct sockaddr *)&socket_address, on_connected);
    cw_test_run_until_set(&fixture->loop, &connected);
    uv_tcp_nodelay(&caller->tcp, 1);
    uv_read_start((uv_stream_t *)&caller->tcp, on_allocate, on_read);
    return caller;
}

size_t listener_fixture_send_some(fixture_caller_t *caller, const void *bytes, size_t length)
{
    uv_buf_t buffer = uv_buf_init((char *)bytes, (unsigned)length);
    int      written = uv_try_write((uv_stream_t *)&caller->tcp, &buffer, 1);

    ck_assert(written > 0 || written == UV_EAGAIN);
    return written > 0 ? (size_t)written : 0;
}

void listener_fixture_send(fixture_caller_t *caller, const void *bytes, size_t length)
{
    size_t sent = 0;

    while (sent < length) {
        size_t written = listener_fixture_send_some(caller, (const char *)bytes + sent, length - sent);

        if (written == 0) {
            uv_run(caller->loop, UV_RUN_ONCE);
        }
        sent += written;
    }
}

void listener_fixture_send_text(fixture_caller_t *caller, const char *text)
{
    listener_fixture_send(caller, text, strlen(text));
}

void listener_fixture_disconnect(fixture_caller_t *caller)
{
    uv_close((uv_handle_t *)&caller->tcp, NULL);
}

/* ---- waiting ---- */

void listener_fixture_await_requests(listener_fixture_t *fixture, size_t count)
{
    while (fixture->count < count) {
        uv_run(&fixture->loop, UV_RUN_ONCE);
    }
}

const char *listener_fixture_received(fixture_caller_t *caller)
{
    cw_bytes_append(&caller->received, "", 1);
    caller->received.length--;
    return caller->received.data;
}

void listener_fixture_await_text(fixture_caller_t *caller, const char *text)
{
    while (strstr(listener_fixture_received(caller), text) == NULL) {
        uv_run(caller->loop, UV_RUN_ONCE);
    }
}

void listener_fixture_await_end(fixture_caller_t *caller)
{
    cw_test_run_until_set(caller->loop, &caller->ended);
}

void listener_fixture_await_cancelled(listener_fixture_t *fixture, size_t count)
{
    while (fixture->cancelled < count) {
        uv_run(&fixture->loop, UV_RUN_ONCE);
    }
}

static void on_passed(uv_timer_t *timer)
{
    *(bool *)timer->data = true;
}

static void on_timer_closed(uv_handle_t *handle)
{
    *(bool *)handle->data = false;
}

void listener_fixture_run_for(listener_fixture_t *fixture, uint64_t ms)
{
    uv_timer_t timer;
    bool       passed = false;

    uv_timer_init(&fixture->loop, &timer);
    timer.data = &passed;
    uv_timer_start(&timer, on_passed, ms, 0);
    cw_test_run_until_set(&fixture->loop, &passed);
    uv_close((uv_handle_t *)&timer, on_timer_closed);
    while (passed) {
        uv_run(&fixture->loop, UV_RUN_NOWAIT);
    }
}

void listener_fixture_answer(listener_fixture_t *fixture, size_t index, const char *body)
{
    cw_http_exchange_t *exchange = fixture->requests[index].exchange;

    ck_assert_ptr_nonnull(exchange);
    fixture->requests[index].exchange = NULL;
    answer_exchange(exchange, body);
}

bool listener_fixture_received_in_order(fixture_caller_t *caller, const char *const *texts)
{
    const char *at = listener_fixture_received(caller);

    for (; *texts != NULL; texts++) {
        at = strstr(at, *texts);
        if (at == NULL) {
            return false;
        }
        at += strlen(*texts);
    }
    return true;
}
