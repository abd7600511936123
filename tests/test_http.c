/**
 * @file test_http.c
 * @brief Server and client of HTTP/1.1 against each other and against raw bytes.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "base/byte_buffer.h"
#include "loop_fixture.h"
#include "net/http_listener.h"
#include "net/http_upstream.h"

enum { PAUSE_US = 1000 };

typedef struct world {
    uv_loop_t           loop;
    cw_http_listener_t *listener;
    cw_upstream_t      *upstream;
    cw_http_exchange_t *exchange; /**< newest, not answered */
    uint32_t            requests;
    uint32_t            gone;
    bool                has_request;
    bool                answer_at_once;
    char                method[16];
    char                target[256];
    cw_bytes_t          body;
    /* raw peers */
    uv_tcp_t   raw;
    uv_tcp_t   accepted;
    uv_tcp_t   raw_listener;
    cw_bytes_t received;
    bool       ended;
    /* calls */
    bool                 called_back;
    cw_upstream_result_t result;
    int                  status;
    bool                 reused;
    cw_bytes_t           answer;
} world_t;

static cw_http_limits_t limits = {
    .header_bytes = 2000, .body_bytes = 5000, .header_timeout = CW_SECONDS(30), .idle_timeout = CW_SECONDS(30)};

static void answer(cw_http_exchange_t *exchange, int status, const char *text)
{
    cw_http_outbound_t outbound = {.status = status, .body = text, .body_length = strlen(text), .retry_after_s = -1};

    cw_http_exchange_answer(exchange, &outbound);
}

static void on_request(void *context, cw_http_exchange_t *exchange, const cw_http_inbound_t *inbound)
{
    world_t *world = context;

    world->requests++;
    world->has_request = true;
    world->exchange = exchange;
    snprintf(world->method, sizeof(world->method), "%s", inbound->method);
    snprintf(world->target, sizeof(world->target), "%s", inbound->target);
    world->body.length = 0;
    cw_bytes_append(&world->body, inbound->body, inbound->body_length);
    cw_bytes_append(&world->body, "", 1);
    if (world->answer_at_once) {
        answer(exchange, 200, "hello");
    }
}

static void on_gone(void *context, cw_http_exchange_t *exchange)
{
    world_t *world = context;

    (void)exchange;
    world->gone++;
}

static void init(world_t *world)
{
    cw_http_listener_handler_t handler = {world, on_request, on_gone};
    cw_upstream_options_t      options = {.idle_max = CW_SECONDS(20)};

    memset(world, 0, sizeof(*world));
    uv_loop_init(&world->loop);
    ck_assert_int_eq(cw_http_listener_create(&world->listener, &world->loop, "127.0.0.1", 0, &limits, &handler), 0);
    world->upstream = cw_upstream_create(&world->loop, &options);
}

/* ---- a raw client ---- */

static void on_raw_allocate(uv_handle_t *handle, size_t suggested, uv_buf_t *buffer)
{
    static char chunk[65536];

    (void)handle;
    (void)suggested;
    *buffer = uv_buf_init(chunk, sizeof(chunk));
}

static void on_raw_read(uv_stream_t *stream, ssize_t length, const uv_buf_t *buffer)
{
    world_t *world = stream->data;

    if (length > 0) {
        cw_bytes_append(&world->received, buffer->base, (size_t)length);
    } else if (length < 0) {
        world->ended = true;
    }
}

static void on_raw_connected(uv_connect_t *connect, int status)
{
    ck_assert_int_eq(status, 0);
    *(bool *)connect->data = true;
}

static void raw_connect(world_t *world)
{
    struct sockaddr_in place;
    uv_connect_t       connect;
    bool               connected = false;

    uv_ip4_addr("127.0.0.1", cw_http_listener_port(world->listener), &place);
    uv_tcp_init(&world->loop, &world->raw);
    world->raw.data = world;
    connect.data = &connected;
    uv_tcp_connect(&connect, &world->raw, (const struct sockaddr *)&place, on_raw_connected);
    cw_test_run_until_set(&world->loop, &connected);
    uv_read_start((uv_stream_t *)&world->raw, on_raw_allocate, on_raw_read);
}

static void raw_send(uv_tcp_t *tcp, const char *text)
{
    uv_buf_t buffer = uv_buf_init((char *)text, (unsigned)strlen(text));

    ck_assert_int_eq(uv_try_write((uv_stream_t *)tcp, &buffer, 1), (int)strlen(text));
}

static bool has_received_end(void *context)
{
    return ((world_t *)context)->ended;
}

static const char *received(world_t *world)
{
    cw_bytes_append(&world->received, "", 1);
    world->received.length--;
    return world->received.data;
}

START_TEST(a_kept_connection_serves_one_request_after_the_other)
{
    world_t world;

    init(&world);
    world.answer_at_once = true;
    raw_connect(&world);
    raw_send(&world.raw,
             "GET /one HTTP/1.1\r\nHost: a\r\n\r\nPOST /two HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\nabc"
             "GET /three HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");
    cw_test_run_until(&world.loop, has_received_end, &world);
    ck_assert_uint_eq(world.requests, 3);
    ck_assert_str_eq(world.target, "/three");
    ck_assert_ptr_nonnull(strstr(received(&world), "Connection: close"));
}
END_TEST

START_TEST(a_chunked_body_is_read_whole)
{
    world_t world;

    init(&world);
    raw_connect(&world);
    raw_send(&world.raw,
             "PUT /x HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n4\r\ndefg\r\n0\r\n\r\n");
    cw_test_run_until_set(&world.loop, &world.has_request);
    ck_assert_str_eq(world.method, "PUT");
    ck_assert_str_eq(world.body.data, "abcdefg");
}
END_TEST

START_TEST(a_caller_that_leaves_is_told_at_once)
{
    world_t world;

    init(&world);
    raw_connect(&world);
    raw_send(&world.raw, "GET /x HTTP/1.1\r\nHost: a\r\n\r\n");
    cw_test_run_until_set(&world.loop, &world.has_request);
    uv_close((uv_handle_t *)&world.raw, NULL);
    while (world.gone == 0) {
        uv_run(&world.loop, UV_RUN_ONCE);
    }
}
END_TEST

static void expect_refusal(const char *text, const char *status)
{
    world_t world;

    init(&world);
    raw_connect(&world);
    raw_send(&world.raw, text);
    cw_test_run_until(&world.loop, has_received_end, &world);
    ck_assert_uint_eq(world.requests, 0);
    ck_assert_msg(strstr(received(&world), status) != NULL, "%s", received(&world));
}

START_TEST(what_breaks_a_limit_is_refused)
{
    char   text[4000];
    size_t length;

    expect_refusal("POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 9000\r\n\r\n", "HTTP/1.1 413");
    length = (size_t)snprintf(text, sizeof(text), "GET /x HTTP/1.1\r\nHost: a\r\nLong: ");
    memset(text + length, 'x', 3000);
    text[length + 3000] = '\0';
    expect_refusal(text, "HTTP/1.1 431");
    expect_refusal("not a request\r\n\r\n", "HTTP/1.1 400");
    expect_refusal("POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n",
                   "HTTP/1.1 400");
}
END_TEST

START_TEST(a_head_that_does_not_come_to_its_end_is_timed_out)
{
    world_t          world;
    cw_http_limits_t short_limits = limits;

    init(&world);
    short_limits.header_timeout = CW_MS(30);
    cw_http_listener_set_limits(world.listener, &short_limits);
    raw_connect(&world);
    raw_send(&world.raw, "GET /x HTTP/1.1\r\nHo");
    cw_test_run_until(&world.loop, has_received_end, &world);
    ck_assert_ptr_nonnull(strstr(received(&world), "HTTP/1.1 408"));
}
END_TEST

START_TEST(a_resting_connection_keeps_the_longer_idle_time)
{
    world_t          world;
    cw_http_limits_t short_limits = limits;

    init(&world);
    world.answer_at_once = true;
    raw_connect(&world);
    raw_send(&world.raw, "GET /x HTTP/1.1\r\nHost: a\r\n\r\n");
    while (world.received.length == 0) {
        uv_run(&world.loop, UV_RUN_ONCE);
    }
    short_limits.idle_timeout = CW_MS(1);
    cw_http_listener_set_limits(world.listener, &short_limits);
    cw_test_run_some(&world.loop, 50);
    ck_assert(!world.ended);
    raw_send(&world.raw, "GET /y HTTP/1.1\r\nHost: a\r\n\r\n"); /* answered under the short limit */
    cw_test_run_until(&world.loop, has_received_end, &world);
    ck_assert_uint_eq(world.requests, 2);
}
END_TEST

START_TEST(ending_connections_lets_the_request_under_way_finish)
{
    world_t world;

    init(&world);
    raw_connect(&world);
    raw_send(&world.raw, "GET /x HTTP/1.1\r\nHost: a\r\n\r\n");
    cw_test_run_until_set(&world.loop, &world.has_request);
    cw_http_listener_end_connections(world.listener);
    cw_http_listener_close(world.listener);
    cw_test_run_some(&world.loop, 20);
    ck_assert_uint_eq(cw_http_listener_busy(world.listener), 1);
    answer(world.exchange, 200, "late but whole");
    cw_test_run_until(&world.loop, has_received_end, &world);
    ck_assert_ptr_nonnull(strstr(received(&world), "late but whole"));
    ck_assert_ptr_nonnull(strstr(received(&world), "Connection: close"));
}
END_TEST

/* ---- the client against raw servers ---- */

static void on_raw_server_read(uv_stream_t *stream, ssize_t length, const uv_buf_t *buffer)
{
    world_t *world = stream->data;

    if (length > 0) {
        cw_bytes_append(&world->received, buffer->base, (size_t)length);
        world->has_request = true;
    }
}

static void on_raw_accept(uv_stream_t *stream, int status)
{
    world_t *world = stream->data;

    ck_assert_int_eq(status, 0);
    uv_tcp_init(&world->loop, &world->accepted);
    world->accepted.data = world;
    uv_accept(stream, (uv_stream_t *)&world->accepted);
    uv_read_start((uv_stream_t *)&world->accepted, on_raw_allocate, on_raw_server_read);
}

static cw_upstream_target_t *raw_serve(world_t *world)
{
    struct sockaddr_in place;
    int                length = sizeof(place);
    char               address[64];

    uv_ip4_addr("127.0.0.1", 0, &place);
    uv_tcp_init(&world->loop, &world->raw_listener);
    world->raw_listener.data = world;
    uv_tcp_bind(&world->raw_listener, (const struct sockaddr *)&place, 0);
    uv_listen((uv_stream_t *)&world->raw_listener, 8, on_raw_accept);
    uv_tcp_getsockname(&world->raw_listener, (struct sockaddr *)&place, &length);
    snprintf(address, sizeof(address), "127.0.0.1:%d", ntohs(place.sin_port));
    return cw_upstream_target_create(world->upstream, address);
}

static void on_called_back(void *context, const cw_upstream_answer_t *got)
{
    world_t *world = context;

    world->called_back = true;
    world->result = got->result;
    world->status = got->status;
    world->reused = got->reused;
    world->answer.length = 0;
    cw_bytes_append(&world->answer, got->body, got->body_length);
    cw_bytes_append(&world->answer, "", 1);
}

static cw_upstream_call_t *call(world_t *world, cw_upstream_target_t *target)
{
    static const char     text[] = "GET / HTTP/1.1\r\nHost: a\r\nId: me\r\n\r\n";
    cw_upstream_request_t request = {.bytes = text,
                                     .length = sizeof(text) - 1,
                                     .connect_timeout = CW_SECONDS(20),
                                     .answer_max = 1000,
                                     .match_name = "Id",
                                     .match_value = "me"};

    world->called_back = false;
    world->has_request = false;
    return cw_upstream_call(target, &request, on_called_back, world);
}

/* Calls a raw server that answers so, and ends the connection so. */
static void call_raw(world_t *world, const char *text, bool close_after, bool reset_after)
{
    cw_upstream_target_t *target;

    init(world);
    target = raw_serve(world);
    (void)call(world, target);
    cw_test_run_until_set(&world->loop, &world->has_request);
    raw_send(&world->accepted, text);
    if (close_after) {
        uv_close((uv_handle_t *)&world->accepted, NULL);
    } else if (reset_after) {
        uv_tcp_close_reset(&world->accepted, NULL);
    }
    cw_test_run_until_set(&world->loop, &world->called_back);
}

/* Past the call's time, while its answer is coming in. */
START_TEST(an_answer_that_is_coming_in_is_waited_for)
{
    static const char     text[] = "GET / HTTP/1.1\r\nHost: a\r\n\r\n";
    cw_upstream_request_t request = {.bytes = text,
                                     .length = sizeof(text) - 1,
                                     .connect_timeout = CW_SECONDS(20),
                                     .timeout = CW_SECONDS(2),
                                     .progress = CW_SECONDS(60),
                                     .answer_max = 1000};
    world_t               world;
    uint64_t              end_ms;

    init(&world);
    (void)cw_upstream_call(raw_serve(&world), &request, on_called_back, &world);
    cw_test_run_until_set(&world.loop, &world.has_request);
    end_ms = uv_now(&world.loop) + 2100;
    raw_send(&world.accepted, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhe");
    while (uv_now(&world.loop) < end_ms) {
        cw_test_run_some(&world.loop, 1);
        usleep(PAUSE_US);
    }
    ck_assert(!world.called_back);
    raw_send(&world.accepted, "llo");
    cw_test_run_until_set(&world.loop, &world.called_back);
    ck_assert_int_eq(world.result, CW_UPSTREAM_ANSWERED);
    ck_assert_str_eq(world.answer.data, "hello");
}
END_TEST

START_TEST(whole_answers_are_told_by_their_framing)
{
    world_t world;

    call_raw(&world, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello", false, false);
    ck_assert_int_eq(world.result, CW_UPSTREAM_ANSWERED);
    ck_assert_str_eq(world.answer.data, "hello");
    call_raw(&world, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n", false, false);
    ck_assert_int_eq(world.result, CW_UPSTREAM_ANSWERED);
    ck_assert_str_eq(world.answer.data, "hello");
    call_raw(&world, "HTTP/1.1 200 OK\r\n\r\nhello", true, false);
    ck_assert_int_eq(world.result, CW_UPSTREAM_ANSWERED);
    ck_assert_str_eq(world.answer.data, "hello");
}
END_TEST

START_TEST(answers_that_break_off_are_broken)
{
    world_t world;

    call_raw(&world, "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhello", true, false);
    ck_assert_int_eq(world.result, CW_UPSTREAM_BROKEN);
    call_raw(&world, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n", true, false);
    ck_assert_int_eq(world.result, CW_UPSTREAM_BROKEN);
    call_raw(&world, "HTTP/1.1 200 OK\r\n\r\nhello", false, true);
    ck_assert_int_eq(world.result, CW_UPSTREAM_BROKEN);
    call_raw(&world, "no answer at all\r\n\r\n", false, false);
    ck_assert_int_eq(world.result, CW_UPSTREAM_BROKEN);
    call_raw(&world, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\nhello", true, false);
    ck_assert_int_eq(world.result, CW_UPSTREAM_BROKEN);
}
END_TEST

START_TEST(bytes_behind_an_answer_poison_the_connection)
{
    world_t               world;
    cw_upstream_target_t *target;

    init(&world);
    target = raw_serve(&world);
    (void)call(&world, target);
    cw_test_run_until_set(&world.loop, &world.has_request);
    raw_send(&world.accepted, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhelloHTTP/1.1 200 OK\r\n");
    cw_test_run_until_set(&world.loop, &world.called_back);
    ck_assert_int_eq(world.result, CW_UPSTREAM_ANSWERED);
    ck_assert_uint_eq(cw_upstream_target_idle(target), 0);
}
END_TEST

START_TEST(bytes_on_an_idle_connection_end_it)
{
    world_t               world;
    cw_upstream_target_t *target;

    init(&world);
    target = raw_serve(&world);
    (void)call(&world, target);
    cw_test_run_until_set(&world.loop, &world.has_request);
    raw_send(&world.accepted, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello");
    cw_test_run_until_set(&world.loop, &world.called_back);
    ck_assert_uint_eq(cw_upstream_target_idle(target), 1);
    raw_send(&world.accepted, "HTTP/1.1 200 OK\r\n");
    (void)call(&world, target); /* the bytes are there, the loop has not looked: a new connection */
    ck_assert_uint_eq(cw_upstream_opened(world.upstream), 2);
}
END_TEST

START_TEST(an_answer_to_another_request_is_thrown_away)
{
    world_t               world;
    cw_upstream_target_t *target;

    init(&world);
    target = raw_serve(&world);
    (void)call(&world, target);
    cw_test_run_until_set(&world.loop, &world.has_request);
    raw_send(&world.accepted, "HTTP/1.1 200 OK\r\nId: another\r\nContent-Length: 5\r\n\r\nwrong"
                              "HTTP/1.1 200 OK\r\nId: me\r\nContent-Length: 5\r\n\r\nright");
    cw_test_run_until_set(&world.loop, &world.called_back);
    ck_assert_str_eq(world.answer.data, "right");
    ck_assert_uint_eq(cw_upstream_target_idle(target), 0);
}
END_TEST

START_TEST(a_good_connection_is_used_again)
{
    world_t               world;
    cw_upstream_target_t *target;

    init(&world);
    target = raw_serve(&world);
    (void)call(&world, target);
    cw_test_run_until_set(&world.loop, &world.has_request);
    raw_send(&world.accepted, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello");
    cw_test_run_until_set(&world.loop, &world.called_back);
    (void)call(&world, target);
    cw_test_run_until_set(&world.loop, &world.has_request);
    raw_send(&world.accepted, "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 5\r\n\r\nhello");
    cw_test_run_until_set(&world.loop, &world.called_back);
    ck_assert(world.reused);
    ck_assert_uint_eq(cw_upstream_target_idle(target), 0);
    ck_assert_uint_eq(cw_upstream_opened(world.upstream), 1);
}
END_TEST

START_TEST(a_refused_connection_proves_that_nothing_was_sent)
{
    world_t               world;
    cw_upstream_target_t *target;

    init(&world);
    target = cw_upstream_target_create(world.upstream, "127.0.0.1:1");
    (void)call(&world, target);
    cw_test_run_until_set(&world.loop, &world.called_back);
    ck_assert_int_eq(world.result, CW_UPSTREAM_NOT_SENT);
}
END_TEST

START_TEST(an_answer_beyond_the_bound_is_broken)
{
    world_t world;
    char    text[3000];
    int     length = snprintf(text, sizeof(text), "HTTP/1.1 200 OK\r\nContent-Length: 2000\r\n\r\n");

    memset(text + length, 'x', 2000);
    text[length + 2000] = '\0';
    call_raw(&world, text, false, false);
    ck_assert_int_eq(world.result, CW_UPSTREAM_BROKEN);
}
END_TEST

START_TEST(addresses_are_checked)
{
    world_t world;

    init(&world);
    ck_assert_ptr_null(cw_upstream_target_create(world.upstream, "no-port"));
    ck_assert_ptr_null(cw_upstream_target_create(world.upstream, "name:80"));
}
END_TEST

int main(void)
{
    Suite *suite = suite_create("http");
    TCase *cases = tcase_create("http");

    tcase_add_test(cases, a_kept_connection_serves_one_request_after_the_other);
    tcase_add_test(cases, a_chunked_body_is_read_whole);
    tcase_add_test(cases, a_caller_that_leaves_is_told_at_once);
    tcase_add_test(cases, what_breaks_a_limit_is_refused);
    tcase_add_test(cases, a_head_that_does_not_come_to_its_end_is_timed_out);
    tcase_add_test(cases, a_resting_connection_keeps_the_longer_idle_time);
    tcase_add_test(cases, ending_connections_lets_the_request_under_way_finish);
    tcase_add_test(cases, an_answer_that_is_coming_in_is_waited_for);
    tcase_add_test(cases, whole_answers_are_told_by_their_framing);
    tcase_add_test(cases, answers_that_break_off_are_broken);
    tcase_add_test(cases, bytes_behind_an_answer_poison_the_connection);
    tcase_add_test(cases, bytes_on_an_idle_connection_end_it);
    tcase_add_test(cases, an_answer_to_another_request_is_thrown_away);
    tcase_add_test(cases, a_good_connection_is_used_again);
    tcase_add_test(cases, a_refused_connection_proves_that_nothing_was_sent);
    tcase_add_test(cases, an_answer_beyond_the_bound_is_broken);
    tcase_add_test(cases, addresses_are_checked);
    suite_add_tcase(suite, cases);
    return cw_test_main(suite);
}
