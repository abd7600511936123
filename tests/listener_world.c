/**
 * @file listener_world.c
 * @brief A listener whose handler keeps its requests until a test answers them, and one raw caller.
 */
#include "listener_world.h"

#include <stdio.h>
#include <string.h>

#include "loop_fixture.h"

static void on_request(void *context, cw_http_exchange_t *exchange, const cw_http_inbound_t *inbound)
{
    cw_listener_world_t *world = context;
    cw_world_request_t  *request = &world->requests[world->count++];

    ck_assert_uint_le(world->count, CW_WORLD_REQUESTS);
    request->exchange = exchange;
    snprintf(request->method, sizeof(request->method), "%s", inbound->method);
    snprintf(request->target, sizeof(request->target), "%s", inbound->target);
    request->body_length = inbound->body_length;
    if (inbound->body_length > 0) {
        request->body_first = inbound->body[0];
        request->body_last = inbound->body[inbound->body_length - 1];
    }
    cw_http_exchange_set_data(exchange, request);
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

void cw_world_init(cw_listener_world_t *world, const cw_http_limits_t *limits)
{
    cw_http_listener_handler_t handler = {world, on_request, on_gone};

    memset(world, 0, sizeof(*world));
    uv_loop_init(&world->loop);
    ck_assert_int_eq(cw_http_listener_create(&world->listener, &world->loop, "127.0.0.1", 0, limits, &handler), 0);
}

/* ---- the caller ---- */

static void on_allocate(uv_handle_t *handle, size_t suggested, uv_buf_t *buffer)
{
    static char chunk[65536];

    (void)handle;
    (void)suggested;
    *buffer = uv_buf_init(chunk, sizeof(chunk));
}

static void on_read(uv_stream_t *stream, ssize_t length, const uv_buf_t *buffer)
{
    cw_listener_world_t *world = stream->data;

    if (length > 0) {
        cw_bytes_append(&world->received, buffer->base, (size_t)length);
    } else if (length < 0) {
        world->ended = true;
    }
}

static void on_connected(uv_connect_t *connect, int status)
{
    ck_assert_int_eq(status, 0);
    *(bool *)connect->data = true;
}

void cw_world_connect(cw_listener_world_t *world)
{
    struct sockaddr_in place;
    uv_connect_t       connect;
    bool               connected = false;

    uv_ip4_addr("127.0.0.1", cw_http_listener_port(world->listener), &place);
    uv_tcp_init(&world->loop, &world->caller);
    world->caller.data = world;
    connect.data = &connected;
    uv_tcp_connect(&connect, &world->caller, (const struct sockaddr *)&place, on_connected);
    cw_test_run_until_set(&world->loop, &connected);
    uv_tcp_nodelay(&world->caller, 1);
    uv_read_start((uv_stream_t *)&world->caller, on_allocate, on_read);
}

void cw_world_send(cw_listener_world_t *world, const void *bytes, size_t length)
{
    size_t sent = 0;

    while (sent < length) {
        uv_buf_t buffer = uv_buf_init((char *)bytes + sent, (unsigned)(length - sent));
        int      written = uv_try_write((uv_stream_t *)&world->caller, &buffer, 1);

        if (written == UV_EAGAIN) {
            uv_run(&world->loop, UV_RUN_ONCE);
            continue;
        }
        ck_assert_int_gt(written, 0);
        sent += (size_t)written;
    }
}

void cw_world_send_text(cw_listener_world_t *world, const char *text)
{
    cw_world_send(world, text, strlen(text));
}

/* ---- waiting ---- */

void cw_world_await_requests(cw_listener_world_t *world, size_t count)
{
    while (world->count < count) {
        uv_run(&world->loop, UV_RUN_ONCE);
    }
}

const char *cw_world_received(cw_listener_world_t *world)
{
    cw_bytes_append(&world->received, "", 1);
    world->received.length--;
    return world->received.data;
}

void cw_world_await_text(cw_listener_world_t *world, const char *text)
{
    while (strstr(cw_world_received(world), text) == NULL) {
        uv_run(&world->loop, UV_RUN_ONCE);
    }
}

void cw_world_await_end(cw_listener_world_t *world)
{
    cw_test_run_until_set(&world->loop, &world->ended);
}

void cw_world_await_gone(cw_listener_world_t *world, size_t count)
{
    while (world->gone < count) {
        uv_run(&world->loop, UV_RUN_ONCE);
    }
}

size_t cw_world_count(cw_listener_world_t *world, const char *text)
{
    const char *at = cw_world_received(world);
    size_t      count = 0;

    while ((at = strstr(at, text)) != NULL) {
        count++;
        at += strlen(text);
    }
    return count;
}

void cw_world_answer(cw_listener_world_t *world, size_t index, const char *body)
{
    cw_http_outbound_t  outbound = {.status = 200, .body = body, .body_length = strlen(body), .retry_after_s = -1};
    cw_http_exchange_t *exchange = world->requests[index].exchange;

    ck_assert_ptr_nonnull(exchange);
    world->requests[index].exchange = NULL;
    cw_http_exchange_answer(exchange, &outbound);
}
