/**
 * @file test_http_upload.c
 * @brief Request bodies: reading, memory limit, 100 Continue, rejection by the head, slow senders.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "listener_fixture.h"
#include "loop_fixture.h"
#include "net/http_listener_internal.h"
#include "net/http_upstream.h"

enum { BODY_BYTES = 50386, BODY_BYTES_MAX = 64 * 1024 };

static const cw_http_limits_t limits = {.header_bytes = 16 * 1024,
                                        .body_bytes = BODY_BYTES_MAX,
                                        .header_timeout = CW_SECONDS(3),
                                        .idle_timeout = CW_SECONDS(15)};

static const cw_http_listener_options_t options = {.pipeline = {.depth = 4, .bytes = 4096}};

static const char upload_head[] = "POST /inspections/1acacb?page=35&sort=new HTTP/1.1\r\n"
                                  "Host: intake.example\r\n"
                                  "User-Agent: sdk-client/1.9.3\r\n"
                                  "Accept: */*\r\n"
                                  "Accept-Encoding: identity\r\n"
                                  "X-Request-Id: 65e06fd77c671d8a\r\n"
                                  "X-Deadline-Ms: 7030\r\n"
                                  "X-Shard-Key: 53480\r\n"
                                  "Content-Type: application/octet-stream\r\n"
                                  "Content-Length: 50386\r\n\r\n";

/* The complete request in one buffer, which the caller frees. */
static char *upload_bytes(size_t *length)
{
    size_t head = strlen(upload_head);
    char  *bytes = malloc(head + BODY_BYTES + 1);

    ck_assert_ptr_nonnull(bytes);
    (void)snprintf(bytes, head + 1, "%s", upload_head);
    memset(bytes + head, 'b', BODY_BYTES);
    bytes[head] = 'a';
    bytes[head + BODY_BYTES - 1] = 'z';
    *length = head + BODY_BYTES;
    return bytes;
}

/* The first piece fills the listener's buffer exactly and no more bytes have arrived: libuv then reports a read of 0
 * bytes. */
START_TEST(a_body_that_pauses_at_the_end_of_a_read_is_read_completely)
{
    listener_fixture_t fixture;
    fixture_caller_t  *caller;
    size_t             length;
    char              *bytes = upload_bytes(&length);

    listener_fixture_init(&fixture, &limits, &options);
    caller = listener_fixture_connect(&fixture);
    listener_fixture_send(caller, bytes, CW_LISTENER_CHUNK);
    cw_test_run_some(&fixture.loop, 50);
    ck_assert_uint_eq(fixture.count, 0);
    ck_assert_str_eq(listener_fixture_received(caller), "");
    listener_fixture_send(caller, bytes + CW_LISTENER_CHUNK, length - CW_LISTENER_CHUNK);
    listener_fixture_await_requests(&fixture, 1);
    ck_assert_uint_eq(fixture.requests[0].body_length, BODY_BYTES);
    ck_assert_int_eq(fixture.requests[0].body_first, 'a');
    ck_assert_int_eq(fixture.requests[0].body_last, 'z');
    listener_fixture_answer(&fixture, 0, "stored");
    listener_fixture_await_text(caller, "stored");
    free(bytes);
}
END_TEST

static const char *const pieces[] = {"POST /1 HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n",
                                     "3\r\na",
                                     "bc\r",
                                     "\n4;x=y\r\ndef",
                                     "z\r\n0\r\nTrailer: t\r\n",
                                     "\r\n",
                                     NULL};

START_TEST(a_chunked_body_is_read_completely_however_it_is_split)
{
    listener_fixture_t fixture;
    fixture_caller_t  *caller;
    const char *const *piece;

    listener_fixture_init(&fixture, &limits, &options);
    caller = listener_fixture_connect(&fixture);
    for (piece = pieces; *piece != NULL; piece++) {
        listener_fixture_send_text(caller, *piece);
        cw_test_run_some(&fixture.loop, 10);
    }
    listener_fixture_await_requests(&fixture, 1);
    ck_assert_uint_eq(fixture.requests[0].body_length, 7);
    ck_assert_int_eq(fixture.requests[0].body_last, 'z');
    ck_assert_uint_eq(cw_http_listener_body_bytes(fixture.listener), 7);
    listener_fixture_answer(&fixture, 0, "stored");
    ck_assert_uint_eq(cw_http_listener_body_bytes(fixture.listener), 0);
}
END_TEST

/* ---- memory limit of all bodies ---- */

enum { MEMORY_LIMIT_BYTES = 64 * 1024, WAIT_MS = 40 };

static const cw_http_listener_options_t short_wait = {
    .pipeline = {.depth = 4, .bytes = 4096}, .body_bytes_max = MEMORY_LIMIT_BYTES, .body_wait = CW_MS(WAIT_MS)};
static const cw_http_listener_options_t long_wait = {
    .pipeline = {.depth = 4, .bytes = 4096}, .body_bytes_max = MEMORY_LIMIT_BYTES, .body_wait = CW_SECONDS(60)};

/* Sends a request with a body of this length. */
static void send_body(fixture_caller_t *caller, const char *target, size_t length)
{
    char  head[200];
    char *body = calloc(1, length);

    ck_assert_ptr_nonnull(body);
    snprintf(head, sizeof(head), "POST %s HTTP/1.1\r\nHost: a\r\nContent-Length: %zu\r\n\r\n", target, length);
    listener_fixture_send_text(caller, head);
    listener_fixture_send(caller, body, length);
    free(body);
}

START_TEST(memory_of_a_body_is_kept_until_the_answer)
{
    listener_fixture_t fixture;
    fixture_caller_t  *caller;

    listener_fixture_init(&fixture, &limits, &long_wait);
    caller = listener_fixture_connect(&fixture);
    send_body(caller, "/1", 40000);
    listener_fixture_await_requests(&fixture, 1);
    ck_assert_uint_eq(cw_http_listener_body_bytes(fixture.listener), 40000);
    listener_fixture_answer(&fixture, 0, "stored");
    ck_assert_uint_eq(cw_http_listener_body_bytes(fixture.listener), 0);
    listener_fixture_await_text(caller, "stored");
}
END_TEST

START_TEST(memory_of_a_body_is_released_even_if_the_answer_is_not_read)
{
    static char        long_text[8 << 20];
    listener_fixture_t fixture;
    fixture_caller_t  *caller;

    memset(long_text, 'x', sizeof(long_text) - 1);
    listener_fixture_init(&fixture, &limits, &long_wait);
    caller = listener_fixture_connect(&fixture);
    uv_read_stop((uv_stream_t *)&caller->tcp);
    send_body(caller, "/1", 40000);
    listener_fixture_await_requests(&fixture, 1);
    listener_fixture_answer(&fixture, 0, long_text);
    ck_assert_uint_eq(cw_http_listener_busy(fixture.listener), 1);
    ck_assert_uint_eq(cw_http_listener_body_bytes(fixture.listener), 0);
}
END_TEST

START_TEST(a_body_without_memory_waits)
{
    listener_fixture_t fixture;
    fixture_caller_t  *first;
    fixture_caller_t  *second;

    listener_fixture_init(&fixture, &limits, &long_wait);
    first = listener_fixture_connect(&fixture);
    second = listener_fixture_connect(&fixture);
    send_body(first, "/1", 40000);
    listener_fixture_await_requests(&fixture, 1);
    send_body(second, "/2", 40000);
    listener_fixture_run_for(&fixture, WAIT_MS);
    ck_assert_uint_eq(fixture.count, 1);
    ck_assert_uint_le(cw_http_listener_body_bytes(fixture.listener), MEMORY_LIMIT_BYTES);
    ck_assert_uint_le(cw_listener_pending_bytes(fixture.listener), CW_LISTENER_CHUNK);
    listener_fixture_answer(&fixture, 0, "stored");
    cw_test_run_some(&fixture.loop, 5); /* immediately, not at the next check of waiting connections */
    ck_assert_uint_eq(cw_http_listener_body_bytes(fixture.listener), 40000);
    listener_fixture_await_requests(&fixture, 2);
    ck_assert_uint_eq(fixture.requests[1].body_length, 40000);
    listener_fixture_answer(&fixture, 1, "stored");
    listener_fixture_await_text(second, "stored");
}
END_TEST

START_TEST(a_body_without_memory_is_refused_after_the_wait_time)
{
    listener_fixture_t fixture;
    fixture_caller_t  *first;
    fixture_caller_t  *second;

    listener_fixture_init(&fixture, &limits, &short_wait);
    first = listener_fixture_connect(&fixture);
    second = listener_fixture_connect(&fixture);
    send_body(first, "/1", 40000);
    listener_fixture_await_requests(&fixture, 1);
    send_body(second, "/2", 40000);
    listener_fixture_await_end(second);
    ck_assert_ptr_nonnull(strstr(listener_fixture_received(second), "HTTP/1.1 503"));
    ck_assert_ptr_nonnull(strstr(listener_fixture_received(second), "Retry-After: 0.1"));
    listener_fixture_answer(&fixture, 0, "stored");
    listener_fixture_await_text(first, "stored");
    ck_assert_uint_eq(fixture.count, 1);
    ck_assert_uint_eq(cw_http_listener_body_bytes(fixture.listener), 0);
}
END_TEST

START_TEST(waiting_bodies_get_memory_in_order_of_arrival)
{
    listener_fixture_t fixture;
    fixture_caller_t  *first;
    fixture_caller_t  *large;
    fixture_caller_t  *small;

    listener_fixture_init(&fixture, &limits, &long_wait);
    first = listener_fixture_connect(&fixture);
    large = listener_fixture_connect(&fixture);
    small = listener_fixture_connect(&fixture);
    send_body(first, "/first", 40000);
    listener_fixture_await_requests(&fixture, 1);
    send_body(large, "/large", 60000);
    cw_test_run_some(&fixture.loop, 20);
    send_body(small, "/small", 10000); /* there would be enough memory for it */
    listener_fixture_run_for(&fixture, WAIT_MS);
    ck_assert_uint_eq(fixture.count, 1);
    listener_fixture_answer(&fixture, 0, "stored");
    listener_fixture_await_requests(&fixture, 2);
    ck_assert_str_eq(fixture.requests[1].target, "/large");
    listener_fixture_answer(&fixture, 1, "stored");
    listener_fixture_await_requests(&fixture, 3);
    ck_assert_str_eq(fixture.requests[2].target, "/small");
}
END_TEST

START_TEST(a_disconnect_of_a_waiting_caller_lets_the_next_body_proceed)
{
    listener_fixture_t fixture;
    fixture_caller_t  *first;
    fixture_caller_t  *second;
    fixture_caller_t  *third;

    listener_fixture_init(&fixture, &limits, &long_wait);
    first = listener_fixture_connect(&fixture);
    second = listener_fixture_connect(&fixture);
    third = listener_fixture_connect(&fixture);
    send_body(first, "/1", 40000);
    listener_fixture_await_requests(&fixture, 1);
    send_body(second, "/2", 60000);
    listener_fixture_run_for(&fixture, 100); /* so that it is checked for a disconnect well before the third one */
    send_body(third, "/3", 10000);
    cw_test_run_some(&fixture.loop, 20);
    ck_assert_uint_eq(fixture.count, 1);
    listener_fixture_disconnect(second);
    while (cw_http_listener_connections(fixture.listener) == 3) {
        uv_run(&fixture.loop, UV_RUN_ONCE);
    }
    cw_test_run_some(&fixture.loop, 5);
    ck_assert_uint_eq(fixture.count, 2);
    ck_assert_str_eq(fixture.requests[1].target, "/3");
}
END_TEST

START_TEST(a_chunked_body_waits_for_memory_piece_by_piece)
{
    static char        piece[6 + 30000];
    listener_fixture_t fixture;
    fixture_caller_t  *first;
    fixture_caller_t  *second;

    listener_fixture_init(&fixture, &limits, &long_wait);
    first = listener_fixture_connect(&fixture);
    second = listener_fixture_connect(&fixture);
    send_body(first, "/1", 40000);
    listener_fixture_await_requests(&fixture, 1);
    memset(piece, 'x', sizeof(piece));
    (void)snprintf(piece, sizeof(piece), "7530\r\n"); /* 30000 */
    piece[6] = 'x';
    listener_fixture_send_text(second, "POST /2 HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n");
    listener_fixture_send(second, piece, sizeof(piece));
    listener_fixture_run_for(&fixture, WAIT_MS);
    ck_assert_uint_le(cw_http_listener_body_bytes(fixture.listener), MEMORY_LIMIT_BYTES);
    listener_fixture_send_text(second, "\r\n0\r\n\r\n");
    listener_fixture_run_for(&fixture, WAIT_MS);
    ck_assert_uint_eq(fixture.count, 1);
    listener_fixture_answer(&fixture, 0, "stored");
    listener_fixture_await_requests(&fixture, 2);
    ck_assert_uint_eq(fixture.requests[1].body_length, 30000);
    ck_assert_uint_eq(cw_http_listener_body_bytes(fixture.listener), 30000);
}
END_TEST

START_TEST(a_body_beyond_the_memory_limit_gets_503_and_one_beyond_the_size_limit_413)
{
    cw_http_limits_t   wide = limits;
    listener_fixture_t fixture;
    fixture_caller_t  *beyond_memory;
    fixture_caller_t  *beyond_size;

    wide.body_bytes = 2 * MEMORY_LIMIT_BYTES;
    listener_fixture_init(&fixture, &wide, &long_wait);
    beyond_memory = listener_fixture_connect(&fixture);
    beyond_size = listener_fixture_connect(&fixture);
    listener_fixture_send_text(beyond_memory, "POST /1 HTTP/1.1\r\nHost: a\r\nContent-Length: 70000\r\n\r\n");
    listener_fixture_await_end(beyond_memory);
    ck_assert_ptr_nonnull(strstr(listener_fixture_received(beyond_memory), "HTTP/1.1 503"));
    ck_assert_ptr_nonnull(strstr(listener_fixture_received(beyond_memory), "Retry-After: "));
    listener_fixture_send_text(beyond_size, "POST /1 HTTP/1.1\r\nHost: a\r\nContent-Length: 200000\r\n\r\n");
    listener_fixture_await_end(beyond_size);
    ck_assert_ptr_nonnull(strstr(listener_fixture_received(beyond_size), "HTTP/1.1 413"));
}
END_TEST

START_TEST(a_chunked_body_beyond_the_limit_is_refused)
{
    cw_http_limits_t   narrow = limits;
    listener_fixture_t fixture;
    fixture_caller_t  *caller;

    narrow.body_bytes = 5;
    listener_fixture_init(&fixture, &narrow, &options);
    caller = listener_fixture_connect(&fixture);
    listener_fixture_send_text(
        caller, "POST /1 HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n3\r\nabc\r\n");
    listener_fixture_await_end(caller);
    ck_assert_ptr_nonnull(strstr(listener_fixture_received(caller), "HTTP/1.1 413"));
    ck_assert_uint_eq(fixture.count, 0);
    ck_assert_uint_eq(cw_http_listener_body_bytes(fixture.listener), 0);
}
END_TEST

/* ---- 100 Continue ---- */

static const char expecting[] = "POST /2 HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\nContent-Length: 40000\r\n\r\n";

START_TEST(continue_is_sent_once_earlier_answers_are_written)
{
    static const char *const order[] = {"first", "HTTP/1.1 100 Continue\r\n\r\n", NULL};
    static char              body[40000];
    listener_fixture_t       fixture;
    fixture_caller_t        *caller;

    listener_fixture_init(&fixture, &limits, &long_wait);
    caller = listener_fixture_connect(&fixture);
    listener_fixture_send_text(caller, "GET /1 HTTP/1.1\r\nHost: a\r\n\r\n");
    listener_fixture_send_text(caller, expecting);
    listener_fixture_await_requests(&fixture, 1);
    cw_test_run_some(&fixture.loop, 50);
    ck_assert_str_eq(listener_fixture_received(caller), "");
    listener_fixture_answer(&fixture, 0, "first");
    listener_fixture_await_text(caller, "100 Continue");
    ck_assert(listener_fixture_received_in_order(caller, order));
    listener_fixture_send(caller, body, sizeof(body));
    listener_fixture_await_requests(&fixture, 2);
}
END_TEST

START_TEST(continue_is_not_sent_without_memory)
{
    listener_fixture_t fixture;
    fixture_caller_t  *first;
    fixture_caller_t  *second;

    listener_fixture_init(&fixture, &limits, &short_wait);
    first = listener_fixture_connect(&fixture);
    second = listener_fixture_connect(&fixture);
    send_body(first, "/1", 40000);
    listener_fixture_await_requests(&fixture, 1);
    listener_fixture_send_text(second, expecting);
    listener_fixture_await_end(second);
    ck_assert_ptr_null(strstr(listener_fixture_received(second), "100 Continue"));
    ck_assert_ptr_nonnull(strstr(listener_fixture_received(second), "HTTP/1.1 503"));
}
END_TEST

START_TEST(continue_is_sent_once_there_is_memory)
{
    static char        body[40000];
    listener_fixture_t fixture;
    fixture_caller_t  *first;
    fixture_caller_t  *second;

    listener_fixture_init(&fixture, &limits, &long_wait);
    first = listener_fixture_connect(&fixture);
    second = listener_fixture_connect(&fixture);
    send_body(first, "/1", 40000);
    listener_fixture_await_requests(&fixture, 1);
    listener_fixture_send_text(second, expecting);
    listener_fixture_run_for(&fixture, WAIT_MS);
    ck_assert_str_eq(listener_fixture_received(second), "");
    listener_fixture_answer(&fixture, 0, "stored");
    listener_fixture_await_text(second, "100 Continue");
    listener_fixture_send(second, body, sizeof(body));
    listener_fixture_await_requests(&fixture, 2);
}
END_TEST

/* ---- requests rejected by their heads ---- */

#define REJECTED "POST " LISTENER_FIXTURE_REJECTED " HTTP/1.1\r\nHost: a\r\n"

/* Answers a rejected request and checks that the answer closes the connection although the body has not arrived. */
static void expect_closing_answer(listener_fixture_t *fixture, fixture_caller_t *caller, size_t index)
{
    listener_fixture_await_requests(fixture, index + 1);
    ck_assert_str_eq(fixture->requests[index].target, LISTENER_FIXTURE_REJECTED);
    ck_assert(fixture->requests[index].body_unread);
    ck_assert_uint_eq(fixture->requests[index].body_length, 0);
    ck_assert_uint_eq(cw_http_listener_body_bytes(fixture->listener), 0);
    listener_fixture_answer(fixture, index, "no");
    listener_fixture_await_end(caller);
    ck_assert_ptr_nonnull(strstr(listener_fixture_received(caller), "Connection: close\r\n\r\nno"));
    ck_assert_ptr_null(strstr(listener_fixture_received(caller), "100 Continue"));
    ck_assert_uint_eq(fixture->count, index + 1);
}

static void expect_rejection(const char *text)
{
    listener_fixture_t fixture;
    fixture_caller_t  *caller;

    listener_fixture_init(&fixture, &limits, &short_wait);
    caller = listener_fixture_connect(&fixture);
    listener_fixture_send_text(caller, text);
    expect_closing_answer(&fixture, caller, 0);
}

START_TEST(the_body_of_a_rejected_request_is_not_read)
{
    expect_rejection(REJECTED "Content-Length: 40000\r\n\r\n");
    expect_rejection(REJECTED "Content-Length: 4\r\n\r\nwhole");
    expect_rejection(REJECTED "Content-Length: 900000\r\n\r\npart"); /* longer than the limit of a body */
    expect_rejection(REJECTED "Transfer-Encoding: chunked\r\n\r\n");
    expect_rejection(REJECTED "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n");
    expect_rejection(REJECTED "Expect: 100-continue\r\nContent-Length: 40000\r\n\r\n");
}
END_TEST

/* Bytes that look like a request may be part of the unread body, so they are not processed. */
START_TEST(requests_after_a_rejected_one_are_not_read)
{
    expect_rejection(REJECTED "Content-Length: 33\r\n\r\nGET /body HTTP/1.1\r\nHost: a\r\n\r\n"
                              "GET /behind HTTP/1.1\r\nHost: a\r\n\r\n");
}
END_TEST

/* Guards against a reset that destroys the answer while the body is still arriving slowly. */
START_TEST(a_rejected_caller_may_continue_to_send)
{
    enum { PIECES = 8, PIECE_MS = 200 };
    listener_fixture_t fixture;
    fixture_caller_t  *caller;
    int                piece;

    listener_fixture_init(&fixture, &limits, &short_wait);
    caller = listener_fixture_connect(&fixture);
    listener_fixture_send_text(caller, REJECTED "Content-Length: 40000\r\n\r\n");
    listener_fixture_await_requests(&fixture, 1);
    listener_fixture_answer(&fixture, 0, "no");
    for (piece = 0; piece < PIECES; piece++) {
        listener_fixture_send_text(caller, "a piece of it");
        listener_fixture_run_for(&fixture, PIECE_MS);
        ck_assert_uint_eq(cw_http_listener_connections(fixture.listener), 1);
    }
    listener_fixture_run_for(&fixture, CW_LINGER_MS + PIECE_MS);
    ck_assert_uint_eq(cw_http_listener_connections(fixture.listener), 0);
}
END_TEST

START_TEST(a_rejected_request_waits_for_its_turn)
{
    static const char *const order[] = {"first", "Connection: close\r\n\r\nno", NULL};
    listener_fixture_t       fixture;
    fixture_caller_t        *caller;

    listener_fixture_init(&fixture, &limits, &long_wait);
    caller = listener_fixture_connect(&fixture);
    listener_fixture_send_text(caller,
                               "GET /1 HTTP/1.1\r\nHost: a\r\n\r\n" REJECTED "Content-Length: 40000\r\n\r\nabc");
    listener_fixture_await_requests(&fixture, 1);
    listener_fixture_run_for(&fixture, 20);
    ck_assert_uint_eq(fixture.count, 1);
    listener_fixture_send_text(caller, "GET /3 HTTP/1.1\r\nHost: a\r\n\r\n");
    listener_fixture_answer(&fixture, 0, "first");
    expect_closing_answer(&fixture, caller, 1);
    ck_assert(listener_fixture_received_in_order(caller, order));
}
END_TEST

START_TEST(a_rejected_request_without_a_body_keeps_its_connection)
{
    listener_fixture_t fixture;
    fixture_caller_t  *caller;

    listener_fixture_init(&fixture, &limits, &short_wait);
    caller = listener_fixture_connect(&fixture);
    listener_fixture_send_text(caller, REJECTED "Content-Length: 0\r\n\r\n");
    listener_fixture_await_requests(&fixture, 1);
    ck_assert(!fixture.requests[0].body_unread);
    listener_fixture_answer(&fixture, 0, "no");
    listener_fixture_send_text(caller, "GET /2 HTTP/1.1\r\nHost: a\r\n\r\n");
    listener_fixture_await_requests(&fixture, 2);
    ck_assert_ptr_null(strstr(listener_fixture_received(caller), "Connection: close"));
}
END_TEST

/* ---- slow senders ---- */

static void expect_timeout(bool is_slow)
{
    cw_http_limits_t   short_limits = limits;
    listener_fixture_t fixture;
    fixture_caller_t  *caller;

    short_limits.idle_timeout = CW_MS(200);
    listener_fixture_init(&fixture, &short_limits, &long_wait);
    caller = listener_fixture_connect(&fixture);
    listener_fixture_send_text(caller, "POST /1 HTTP/1.1\r\nHost: a\r\nContent-Length: 50000\r\n\r\nab");
    while (!caller->ended) {
        if (is_slow && strstr(listener_fixture_received(caller), "HTTP/1.1") == NULL) {
            (void)listener_fixture_send_some(caller, "c", 1);
        }
        listener_fixture_run_for(&fixture, 10);
    }
    ck_assert_ptr_nonnull(strstr(listener_fixture_received(caller), "HTTP/1.1 408"));
    ck_assert_uint_eq(fixture.count, 0);
    ck_assert_uint_eq(cw_http_listener_body_bytes(fixture.listener), 0);
}

START_TEST(a_body_that_stalls_or_arrives_too_slowly_is_refused)
{
    expect_timeout(false);
    expect_timeout(true);
}
END_TEST

/* ---- servers that answer before they read the body ---- */

typedef struct early_server {
    uv_tcp_t listener;
    uv_tcp_t accepted;
    bool     is_accepted;
    bool     is_answered;
    int      status;
} early_server_t;

static void on_accept(uv_stream_t *stream, int status)
{
    static char     answer[] = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nearly";
    early_server_t *server = stream->data;
    uv_buf_t        buffer = uv_buf_init(answer, sizeof(answer) - 1);

    ck_assert_int_eq(status, 0);
    uv_tcp_init(stream->loop, &server->accepted);
    ck_assert_int_eq(uv_accept(stream, (uv_stream_t *)&server->accepted), 0);
    ck_assert_int_eq(uv_try_write((uv_stream_t *)&server->accepted, &buffer, 1), (int)buffer.len);
    server->is_accepted = true;
}

static void on_early_answer(void *context, const cw_upstream_answer_t *answer)
{
    early_server_t *server = context;

    ck_assert_int_eq(answer->result, CW_UPSTREAM_ANSWERED);
    server->status = answer->status;
    server->is_answered = true;
}

/* The server answers before it reads, and the body is longer than the kernel's buffers. */
START_TEST(a_connection_with_an_incompletely_sent_body_is_not_reused)
{
    static const char     head[] = "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 33554432\r\n\r\n";
    size_t                length = (size_t)32 << 20;
    char                 *body = calloc(1, length);
    cw_upstream_request_t request = {.bytes = head,
                                     .length = sizeof(head) - 1,
                                     .body = body,
                                     .body_length = length,
                                     .connect_timeout = CW_SECONDS(20),
                                     .answer_max = 1000};
    cw_upstream_options_t upstream_options = {.idle_max = CW_SECONDS(20)};
    early_server_t        server = {0};
    cw_upstream_target_t *target;
    cw_upstream_t        *upstream;
    struct sockaddr_in    socket_address;
    int                   socket_address_length = sizeof(socket_address);
    char                  address[64];
    uv_loop_t             loop;

    uv_loop_init(&loop);
    uv_ip4_addr("127.0.0.1", 0, &socket_address);
    uv_tcp_init(&loop, &server.listener);
    server.listener.data = &server;
    uv_tcp_bind(&server.listener, (const struct sockaddr *)&socket_address, 0);
    uv_listen((uv_stream_t *)&server.listener, 5, on_accept);
    uv_tcp_getsockname(&server.listener, (struct sockaddr *)&socket_address, &socket_address_length);
    snprintf(address, sizeof(address), "127.0.0.1:%d", ntohs(socket_address.sin_port));
    upstream = cw_upstream_create(&loop, &upstream_options);
    target = cw_upstream_target_create(upstream, address);
    (void)cw_upstream_call(target, &request, on_early_answer, &server);
    cw_test_run_until_set(&loop, &server.is_answered);
    ck_assert_int_eq(server.status, 200);
    ck_assert_uint_eq(cw_upstream_target_idle(target), 0);
    free(body);
    cw_test_run_some(&loop, 20);
}
END_TEST

int main(void)
{
    Suite *suite = suite_create("http_upload");
    TCase *cases = tcase_create("http_upload");

    tcase_add_test(cases, a_body_that_pauses_at_the_end_of_a_read_is_read_completely);
    tcase_add_test(cases, a_chunked_body_is_read_completely_however_it_is_split);
    tcase_add_test(cases, memory_of_a_body_is_kept_until_the_answer);
    tcase_add_test(cases, memory_of_a_body_is_released_even_if_the_answer_is_not_read);
    tcase_add_test(cases, a_body_without_memory_waits);
    tcase_add_test(cases, a_body_without_memory_is_refused_after_the_wait_time);
    tcase_add_test(cases, waiting_bodies_get_memory_in_order_of_arrival);
    tcase_add_test(cases, a_disconnect_of_a_waiting_caller_lets_the_next_body_proceed);
    tcase_add_test(cases, a_chunked_body_waits_for_memory_piece_by_piece);
    tcase_add_test(cases, a_body_beyond_the_memory_limit_gets_503_and_one_beyond_the_size_limit_413);
    tcase_add_test(cases, a_chunked_body_beyond_the_limit_is_refused);
    tcase_add_test(cases, the_body_of_a_rejected_request_is_not_read);
    tcase_add_test(cases, requests_after_a_rejected_one_are_not_read);
    tcase_add_test(cases, a_rejected_caller_may_continue_to_send);
    tcase_add_test(cases, a_rejected_request_waits_for_its_turn);
    tcase_add_test(cases, a_rejected_request_without_a_body_keeps_its_connection);
    tcase_add_test(cases, continue_is_sent_once_earlier_answers_are_written);
    tcase_add_test(cases, continue_is_not_sent_without_memory);
    tcase_add_test(cases, continue_is_sent_once_there_is_memory);
    tcase_add_test(cases, a_body_that_stalls_or_arrives_too_slowly_is_refused);
    tcase_add_test(cases, a_connection_with_an_incompletely_sent_body_is_not_reused);
    suite_add_tcase(suite, cases);
    return cw_test_main(suite);
}
