/**
 * @file listener_fixture.c
 * @brief A listener whose handler keeps its requests until a test answers them, and raw callers.
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
    cw_listener_world_t *world = context;
    cw_world_request_t  *request = &world->requests[world->count++];

    ck_assert_uint_le(world->count, CW_WORLD_REQUESTS);
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
    if (world->answers_at_once) {
        request->exchange = NULL;
        answer_exchange(exchange, request->target);
    }
}

static void on_gone(void *context, cw_http_exchange_t *exchange)
{
    cw_listener_world_t *world = context;
    cw_world_request_t  *request = cw_http_exchange_data(exchange);

    ck_assert_ptr_eq(request->exchange, exchange);
    request->exchange = NULL;
    request->gone = true;
    world->gone++;
}

static bool rejects(void *context, const cw_http_inbound_t *head)
{
    (void)context;
    return strcmp(head->target, CW_WORLD_REJECTED) == 0;
}

void cw_world_init(cw_listener_world_t *world, const cw_http_limits_t *limits,
                   const cw_http_listener_options_t *options)
{
    cw_http_listener_handler_t handler = {world, on_request, on_gone};

    memset(world, 0, sizeof(*world));
    uv_loop_init(&world->loop);
    ck_assert_int_eq(cw_http_listener_create(&world->listener, &world->loop, "127.0.0.1", 0, limits, &handler), 0);
    cw_http_listener_set_options(world->listener, options);
    cw_http_listener_set_reject_callback(world->listener, rejects);
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
    cw_world_caller_t *caller = stream->data;

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

cw_world_caller_t *cw_world_connect(cw_listener_world_t *world)
{
    cw_world_caller_t *caller = &world->callers[world->caller_count++];
    struct sockaddr_in place;
    uv_connect_t       connect;
    bool               connected = false;

    ck_assert_uint_le(world->caller_count, CW_WORLD_CALLERS);
    caller->loop = &world->loop;
    uv_ip4_addr("127.0.0.1", cw_http_listener_port(world->listener), &place);
    uv_tcp_init(&world->loop, &caller->tcp);
    caller->tcp.data = caller;
    connect.data = &connected;
    uv_tcp_connect(&connect, &caller->tcp, (const struct sockaddr *)&place, on_connected);
    cw_test_run_until_set(&world->loop, &connected);
    uv_tcp_nodelay(&caller->tcp, 1);
    uv_read_start((uv_stream_t *)&caller->tcp, on_allocate, on_read);
    return caller;
}

size_t cw_world_stuff(cw_world_caller_t *caller, const void *bytes, size_t length)
{
    uv_buf_t buffer = uv_buf_init((char *)bytes, (unsigned)length);
    int      written = uv_try_write((uv_stream_t *)&caller->tcp, &buffer, 1);

    ck_assert(written > 0 || written == UV_EAGAIN);
    return written > 0 ? (size_t)written : 0;
}

void cw_world_send(cw_world_caller_t *caller, const void *bytes, size_t length)
{
    size_t sent = 0;

    while (sent < length) {
        size_t written = cw_world_stuff(caller, (const char *)bytes + sent, length - sent);

        if (written == 0) {
            uv_run(caller->loop, UV_RUN_ONCE);
        }
        sent += written;
    }
}

void cw_world_send_text(cw_world_caller_t *caller, const char *text)
{
    cw_world_send(caller, text, strlen(text));
}

void cw_world_leave(cw_world_caller_t *caller)
{
    uv_close((uv_handle_t *)&caller->tcp, NULL);
}

/* ---- waiting ---- */

void cw_world_await_requests(cw_listener_world_t *world, size_t count)
{
    while (world->count < count) {
        uv_run(&world->loop, UV_RUN_ONCE);
    }
}

const char *cw_world_received(cw_world_caller_t *caller)
{
    cw_bytes_append(&caller->received, "", 1);
    caller->received.length--;
    return caller->received.data;
}

void cw_world_await_text(cw_world_caller_t *caller, const char *text)
{
    while (strstr(cw_world_received(caller), text) == NULL) {
        uv_run(caller->loop, UV_RUN_ONCE);
    }
}

void cw_world_await_end(cw_world_caller_t *caller)
{
    cw_test_run_until_set(caller->loop, &caller->ended);
}

void cw_world_await_gone(cw_listener_world_t *world, size_t count)
{
    while (world->gone < count) {
        uv_run(&world->loop, UV_RUN_ONCE);
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

void cw_world_pass(cw_listener_world_t *world, uint64_t ms)
{
    uv_timer_t timer;
    bool       passed = false;

    uv_timer_init(&world->loop, &timer);
    timer.data = &passed;
    uv_timer_start(&timer, on_passed, ms, 0);
    cw_test_run_until_set(&world->loop, &passed);
    uv_close((uv_handle_t *)&timer, on_timer_closed);
    while (passed) {
        uv_run(&world->loop, UV_RUN_NOWAIT);
    }
}

void cw_world_answer(cw_listener_world_t *world, size_t index, const char *body)
{
    cw_http_exchange_t *exchange = world->requests[index].exchange;

    ck_assert_ptr_nonnull(exchange);
    world->requests[index].exchange = NULL;
    answer_exchange(exchange, body);
}

bool cw_world_received_in_order(cw_world_caller_t *caller, const char *const *texts)
{
    const char *at = cw_world_received(caller);

    for (; *texts != NULL; texts++) {
        at = strstr(at, *texts);
        if (at == NULL) {
            return false;
        }
        at += strlen(*texts);
    }
    return true;
}
