/**
 * @file test_http_upload.c
 * @brief Large bodies of callers, as they come in.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "listener_fixture.h"
#include "loop_fixture.h"
#include "net/http_listener_internal.h"
#include "net/http_upstream.h"

enum { BODY_BYTES = 50386, BODY_MOST = 64 * 1024 };

static const cw_http_limits_t limits = {.header_bytes = 16 * 1024,
                                        .body_bytes = BODY_MOST,
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

/* The whole request as one piece of memory; the caller frees it. */
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

/* Its first piece fills the listener's buffer to the last byte, and nothing else is there yet: libuv then reports an
 * empty read. */
START_TEST(a_body_that_pauses_where_a_read_ends_is_read_whole)
{
    cw_listener_world_t world;
    cw_world_caller_t  *caller;
    size_t              length;
    char               *bytes = upload_bytes(&length);

    cw_world_init(&world, &limits, &options);
    caller = cw_world_connect(&world);
    cw_world_send(caller, bytes, CW_LISTENER_CHUNK);
    cw_test_run_some(&world.loop, 50);
    ck_assert_uint_eq(world.count, 0);
    ck_assert_str_eq(cw_world_received(caller), "");
    cw_world_send(caller, bytes + CW_LISTENER_CHUNK, length - CW_LISTENER_CHUNK);
    cw_world_await_requests(&world, 1);
    ck_assert_uint_eq(world.requests[0].body_length, BODY_BYTES);
    ck_assert_int_eq(world.requests[0].body_first, 'a');
    ck_assert_int_eq(world.requests[0].body_last, 'z');
    cw_world_answer(&world, 0, "stored");
    cw_world_await_text(caller, "stored");
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

START_TEST(a_body_in_chunks_is_read_whole_however_it_is_cut)
{
    cw_listener_world_t world;
    cw_world_caller_t  *caller;
    const char *const  *piece;

    cw_world_init(&world, &limits, &options);
    caller = cw_world_connect(&world);
    for (piece = pieces; *piece != NULL; piece++) {
        cw_world_send_text(caller, *piece);
        cw_test_run_some(&world.loop, 10);
    }
    cw_world_await_requests(&world, 1);
    ck_assert_uint_eq(world.requests[0].body_length, 7);
    ck_assert_int_eq(world.requests[0].body_last, 'z');
    ck_assert_uint_eq(cw_http_listener_body_bytes(world.listener), 7);
    cw_world_answer(&world, 0, "stored");
    ck_assert_uint_eq(cw_http_listener_body_bytes(world.listener), 0);
}
END_TEST

/* ---- one bound for all bodies ---- */

enum { BOUND = 64 * 1024, WAIT_MS = 40 };

static const cw_http_listener_options_t bounded = {
    .pipeline = {.depth = 4, .bytes = 4096}, .body_bytes_most = BOUND, .body_wait = CW_MS(WAIT_MS)};
static const cw_http_listener_options_t patient = {
    .pipeline = {.depth = 4, .bytes = 4096}, .body_bytes_most = BOUND, .body_wait = CW_SECONDS(60)};

/* A head with a body of this many bytes, of which all are sent. */
static void send_body(cw_world_caller_t *caller, const char *target, size_t length)
{
    char  head[200];
    char *body = calloc(1, length);

    ck_assert_ptr_nonnull(body);
    snprintf(head, sizeof(head), "POST %s HTTP/1.1\r\nHost: a\r\nContent-Length: %zu\r\n\r\n", target, length);
    cw_world_send_text(caller, head);
    cw_world_send(caller, body, length);
    free(body);
}

START_TEST(a_body_is_held_until_its_answer)
{
    cw_listener_world_t world;
    cw_world_caller_t  *caller;

    cw_world_init(&world, &limits, &patient);
    caller = cw_world_connect(&world);
    send_body(caller, "/1", 40000);
    cw_world_await_requests(&world, 1);
    ck_assert_uint_eq(cw_http_listener_body_bytes(world.listener), 40000);
    cw_world_answer(&world, 0, "stored");
    ck_assert_uint_eq(cw_http_listener_body_bytes(world.listener), 0);
    cw_world_await_text(caller, "stored");
}
END_TEST

START_TEST(a_body_goes_with_its_answer_though_that_is_not_read)
{
    static char         long_text[8 << 20];
    cw_listener_world_t world;
    cw_world_caller_t  *caller;

    memset(long_text, 'x', sizeof(long_text) - 1);
    cw_world_init(&world, &limits, &patient);
    caller = cw_world_connect(&world);
    uv_read_stop((uv_stream_t *)&caller->tcp);
    send_body(caller, "/1", 40000);
    cw_world_await_requests(&world, 1);
    cw_world_answer(&world, 0, long_text);
    ck_assert_uint_eq(cw_http_listener_busy(world.listener), 1);
    ck_assert_uint_eq(cw_http_listener_body_bytes(world.listener), 0);
}
END_TEST

START_TEST(a_body_that_finds_no_memory_waits_for_it)
{
    cw_listener_world_t world;
    cw_world_caller_t  *first;
    cw_world_caller_t  *second;

    cw_world_init(&world, &limits, &patient);
    first = cw_world_connect(&world);
    second = cw_world_connect(&world);
    send_body(first, "/1", 40000);
    cw_world_await_requests(&world, 1);
    send_body(second, "/2", 40000);
    cw_world_pass(&world, WAIT_MS);
    ck_assert_uint_eq(world.count, 1);
    ck_assert_uint_le(cw_http_listener_body_bytes(world.listener), BOUND);
    ck_assert_uint_le(cw_listener_pending_bytes(world.listener), CW_LISTENER_CHUNK);
    cw_world_answer(&world, 0, "stored");
    cw_test_run_some(&world.loop, 5); /* at once, not with the next look at what waits */
    ck_assert_uint_eq(cw_http_listener_body_bytes(world.listener), 40000);
    cw_world_await_requests(&world, 2);
    ck_assert_uint_eq(world.requests[1].body_length, 40000);
    cw_world_answer(&world, 1, "stored");
    cw_world_await_text(second, "stored");
}
END_TEST

START_TEST(a_body_that_finds_no_memory_in_time_is_refused)
{
    cw_listener_world_t world;
    cw_world_caller_t  *first;
    cw_world_caller_t  *second;

    cw_world_init(&world, &limits, &bounded);
    first = cw_world_connect(&world);
    second = cw_world_connect(&world);
    send_body(first, "/1", 40000);
    cw_world_await_requests(&world, 1);
    send_body(second, "/2", 40000);
    cw_world_await_end(second);
    ck_assert_ptr_nonnull(strstr(cw_world_received(second), "HTTP/1.1 503"));
    ck_assert_ptr_nonnull(strstr(cw_world_received(second), "Retry-After: 0.1"));
    cw_world_answer(&world, 0, "stored");
    cw_world_await_text(first, "stored");
    ck_assert_uint_eq(world.count, 1);
    ck_assert_uint_eq(cw_http_listener_body_bytes(world.listener), 0);
}
END_TEST

START_TEST(bodies_that_wait_get_memory_in_the_order_of_coming)
{
    cw_listener_world_t world;
    cw_world_caller_t  *first;
    cw_world_caller_t  *large;
    cw_world_caller_t  *small;

    cw_world_init(&world, &limits, &patient);
    first = cw_world_connect(&world);
    large = cw_world_connect(&world);
    small = cw_world_connect(&world);
    send_body(first, "/first", 40000);
    cw_world_await_requests(&world, 1);
    send_body(large, "/large", 60000);
    cw_test_run_some(&world.loop, 20);
    send_body(small, "/small", 10000); /* would fit */
    cw_world_pass(&world, WAIT_MS);
    ck_assert_uint_eq(world.count, 1);
    cw_world_answer(&world, 0, "stored");
    cw_world_await_requests(&world, 2);
    ck_assert_str_eq(world.requests[1].target, "/large");
    cw_world_answer(&world, 1, "stored");
    cw_world_await_requests(&world, 3);
    ck_assert_str_eq(world.requests[2].target, "/small");
}
END_TEST

START_TEST(a_caller_that_leaves_while_its_body_waits_makes_way)
{
    cw_listener_world_t world;
    cw_world_caller_t  *first;
    cw_world_caller_t  *second;
    cw_world_caller_t  *third;

    cw_world_init(&world, &limits, &patient);
    first = cw_world_connect(&world);
    second = cw_world_connect(&world);
    third = cw_world_connect(&world);
    send_body(first, "/1", 40000);
    cw_world_await_requests(&world, 1);
    send_body(second, "/2", 60000);
    cw_world_pass(&world, 100); /* its next look for a hang-up is well before the third one's */
    send_body(third, "/3", 10000);
    cw_test_run_some(&world.loop, 20);
    ck_assert_uint_eq(world.count, 1);
    cw_world_leave(second);
    while (cw_http_listener_connections(world.listener) == 3) {
        uv_run(&world.loop, UV_RUN_ONCE);
    }
    cw_test_run_some(&world.loop, 5);
    ck_assert_uint_eq(world.count, 2);
    ck_assert_str_eq(world.requests[1].target, "/3");
}
END_TEST

START_TEST(a_body_in_chunks_waits_piece_by_piece)
{
    static char         piece[6 + 30000];
    cw_listener_world_t world;
    cw_world_caller_t  *first;
    cw_world_caller_t  *second;

    cw_world_init(&world, &limits, &patient);
    first = cw_world_connect(&world);
    second = cw_world_connect(&world);
    send_body(first, "/1", 40000);
    cw_world_await_requests(&world, 1);
    memset(piece, 'x', sizeof(piece));
    (void)snprintf(piece, sizeof(piece), "7530\r\n"); /* 30000 */
    piece[6] = 'x';
    cw_world_send_text(second, "POST /2 HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n");
    cw_world_send(second, piece, sizeof(piece));
    cw_world_pass(&world, WAIT_MS);
    ck_assert_uint_le(cw_http_listener_body_bytes(world.listener), BOUND);
    cw_world_send_text(second, "\r\n0\r\n\r\n");
    cw_world_pass(&world, WAIT_MS);
    ck_assert_uint_eq(world.count, 1);
    cw_world_answer(&world, 0, "stored");
    cw_world_await_requests(&world, 2);
    ck_assert_uint_eq(world.requests[1].body_length, 30000);
    ck_assert_uint_eq(cw_http_listener_body_bytes(world.listener), 30000);
}
END_TEST

START_TEST(a_body_beyond_the_bound_is_told_to_come_back_and_one_beyond_the_limit_is_not)
{
    cw_http_limits_t    wide = limits;
    cw_listener_world_t world;
    cw_world_caller_t  *too_large_here;
    cw_world_caller_t  *too_large;

    wide.body_bytes = 2 * BOUND;
    cw_world_init(&world, &wide, &patient);
    too_large_here = cw_world_connect(&world);
    too_large = cw_world_connect(&world);
    cw_world_send_text(too_large_here, "POST /1 HTTP/1.1\r\nHost: a\r\nContent-Length: 70000\r\n\r\n");
    cw_world_await_end(too_large_here);
    ck_assert_ptr_nonnull(strstr(cw_world_received(too_large_here), "HTTP/1.1 503"));
    ck_assert_ptr_nonnull(strstr(cw_world_received(too_large_here), "Retry-After: "));
    cw_world_send_text(too_large, "POST /1 HTTP/1.1\r\nHost: a\r\nContent-Length: 200000\r\n\r\n");
    cw_world_await_end(too_large);
    ck_assert_ptr_nonnull(strstr(cw_world_received(too_large), "HTTP/1.1 413"));
}
END_TEST

START_TEST(a_body_in_chunks_beyond_the_limit_is_refused)
{
    cw_http_limits_t    narrow = limits;
    cw_listener_world_t world;
    cw_world_caller_t  *caller;

    narrow.body_bytes = 5;
    cw_world_init(&world, &narrow, &options);
    caller = cw_world_connect(&world);
    cw_world_send_text(caller,
                       "POST /1 HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n3\r\nabc\r\n");
    cw_world_await_end(caller);
    ck_assert_ptr_nonnull(strstr(cw_world_received(caller), "HTTP/1.1 413"));
    ck_assert_uint_eq(world.count, 0);
    ck_assert_uint_eq(cw_http_listener_body_bytes(world.listener), 0);
}
END_TEST

/* ---- 100 Continue ---- */

static const char expecting[] = "POST /2 HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\nContent-Length: 40000\r\n\r\n";

START_TEST(a_caller_that_asks_is_told_to_go_on_when_its_turn_has_come)
{
    static const char *const order[] = {"first", "HTTP/1.1 100 Continue\r\n\r\n", NULL};
    static char              body[40000];
    cw_listener_world_t      world;
    cw_world_caller_t       *caller;

    cw_world_init(&world, &limits, &patient);
    caller = cw_world_connect(&world);
    cw_world_send_text(caller, "GET /1 HTTP/1.1\r\nHost: a\r\n\r\n");
    cw_world_send_text(caller, expecting);
    cw_world_await_requests(&world, 1);
    cw_test_run_some(&world.loop, 50);
    ck_assert_str_eq(cw_world_received(caller), "");
    cw_world_answer(&world, 0, "first");
    cw_world_await_text(caller, "100 Continue");
    ck_assert(cw_world_received_in_order(caller, order));
    cw_world_send(caller, body, sizeof(body));
    cw_world_await_requests(&world, 2);
}
END_TEST

START_TEST(a_caller_that_asks_is_not_told_to_go_on_while_there_is_no_memory)
{
    cw_listener_world_t world;
    cw_world_caller_t  *first;
    cw_world_caller_t  *second;

    cw_world_init(&world, &limits, &bounded);
    first = cw_world_connect(&world);
    second = cw_world_connect(&world);
    send_body(first, "/1", 40000);
    cw_world_await_requests(&world, 1);
    cw_world_send_text(second, expecting);
    cw_world_await_end(second);
    ck_assert_ptr_null(strstr(cw_world_received(second), "100 Continue"));
    ck_assert_ptr_nonnull(strstr(cw_world_received(second), "HTTP/1.1 503"));
}
END_TEST

START_TEST(a_caller_that_asked_and_waited_is_told_to_go_on_when_there_is_memory)
{
    static char         body[40000];
    cw_listener_world_t world;
    cw_world_caller_t  *first;
    cw_world_caller_t  *second;

    cw_world_init(&world, &limits, &patient);
    first = cw_world_connect(&world);
    second = cw_world_connect(&world);
    send_body(first, "/1", 40000);
    cw_world_await_requests(&world, 1);
    cw_world_send_text(second, expecting);
    cw_world_pass(&world, WAIT_MS);
    ck_assert_str_eq(cw_world_received(second), "");
    cw_world_answer(&world, 0, "stored");
    cw_world_await_text(second, "100 Continue");
    cw_world_send(second, body, sizeof(body));
    cw_world_await_requests(&world, 2);
}
END_TEST

/* ---- rejected by their heads ---- */

#define REJECTED "POST " CW_WORLD_REJECTED " HTTP/1.1\r\nHost: a\r\n"

/* Its first and only answer closes, though its body has not come. */
static void expect_closing_answer(cw_listener_world_t *world, cw_world_caller_t *caller, size_t index)
{
    cw_world_await_requests(world, index + 1);
    ck_assert_str_eq(world->requests[index].target, CW_WORLD_REJECTED);
    ck_assert(world->requests[index].body_unread);
    ck_assert_uint_eq(world->requests[index].body_length, 0);
    ck_assert_uint_eq(cw_http_listener_body_bytes(world->listener), 0);
    cw_world_answer(world, index, "no");
    cw_world_await_end(caller);
    ck_assert_ptr_nonnull(strstr(cw_world_received(caller), "Connection: close\r\n\r\nno"));
    ck_assert_ptr_null(strstr(cw_world_received(caller), "100 Continue"));
    ck_assert_uint_eq(world->count, index + 1);
}

static void expect_rejection(const char *text)
{
    cw_listener_world_t world;
    cw_world_caller_t  *caller;

    cw_world_init(&world, &limits, &bounded);
    caller = cw_world_connect(&world);
    cw_world_send_text(caller, text);
    expect_closing_answer(&world, caller, 0);
}

START_TEST(the_body_of_a_rejected_request_is_not_read)
{
    expect_rejection(REJECTED "Content-Length: 40000\r\n\r\n");
    expect_rejection(REJECTED "Content-Length: 4\r\n\r\nwhole");
    expect_rejection(REJECTED "Content-Length: 900000\r\n\r\npart"); /* longer than any may be */
    expect_rejection(REJECTED "Transfer-Encoding: chunked\r\n\r\n");
    expect_rejection(REJECTED "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n");
    expect_rejection(REJECTED "Expect: 100-continue\r\nContent-Length: 40000\r\n\r\n");
}
END_TEST

/* What looks like a request may be its body: it has not been read. */
START_TEST(what_is_behind_a_rejected_request_is_not_read)
{
    expect_rejection(REJECTED "Content-Length: 33\r\n\r\nGET /body HTTP/1.1\r\nHost: a\r\n\r\n"
                              "GET /behind HTTP/1.1\r\nHost: a\r\n\r\n");
}
END_TEST

/* Its answer is not lost under a body that comes slowly. */
START_TEST(a_rejected_caller_may_go_on_sending)
{
    enum { PIECES = 8, PIECE_MS = 200 };
    cw_listener_world_t world;
    cw_world_caller_t  *caller;
    int                 piece;

    cw_world_init(&world, &limits, &bounded);
    caller = cw_world_connect(&world);
    cw_world_send_text(caller, REJECTED "Content-Length: 40000\r\n\r\n");
    cw_world_await_requests(&world, 1);
    cw_world_answer(&world, 0, "no");
    for (piece = 0; piece < PIECES; piece++) {
        cw_world_send_text(caller, "a piece of it");
        cw_world_pass(&world, PIECE_MS);
        ck_assert_uint_eq(cw_http_listener_connections(world.listener), 1);
    }
    cw_world_pass(&world, CW_LINGER_MS + PIECE_MS);
    ck_assert_uint_eq(cw_http_listener_connections(world.listener), 0);
}
END_TEST

START_TEST(a_rejected_request_waits_for_its_turn)
{
    static const char *const order[] = {"first", "Connection: close\r\n\r\nno", NULL};
    cw_listener_world_t      world;
    cw_world_caller_t       *caller;

    cw_world_init(&world, &limits, &patient);
    caller = cw_world_connect(&world);
    cw_world_send_text(caller, "GET /1 HTTP/1.1\r\nHost: a\r\n\r\n" REJECTED "Content-Length: 40000\r\n\r\nabc");
    cw_world_await_requests(&world, 1);
    cw_world_pass(&world, 20);
    ck_assert_uint_eq(world.count, 1);
    cw_world_send_text(caller, "GET /3 HTTP/1.1\r\nHost: a\r\n\r\n");
    cw_world_answer(&world, 0, "first");
    expect_closing_answer(&world, caller, 1);
    ck_assert(cw_world_received_in_order(caller, order));
}
END_TEST

START_TEST(a_rejected_request_without_a_body_keeps_its_connection)
{
    cw_listener_world_t world;
    cw_world_caller_t  *caller;

    cw_world_init(&world, &limits, &bounded);
    caller = cw_world_connect(&world);
    cw_world_send_text(caller, REJECTED "Content-Length: 0\r\n\r\n");
    cw_world_await_requests(&world, 1);
    ck_assert(!world.requests[0].body_unread);
    cw_world_answer(&world, 0, "no");
    cw_world_send_text(caller, "GET /2 HTTP/1.1\r\nHost: a\r\n\r\n");
    cw_world_await_requests(&world, 2);
    ck_assert_ptr_null(strstr(cw_world_received(caller), "Connection: close"));
}
END_TEST

/* ---- slow senders ---- */

static void expect_timeout(bool drips)
{
    cw_http_limits_t    short_limits = limits;
    cw_listener_world_t world;
    cw_world_caller_t  *caller;

    short_limits.idle_timeout = CW_MS(200);
    cw_world_init(&world, &short_limits, &patient);
    caller = cw_world_connect(&world);
    cw_world_send_text(caller, "POST /1 HTTP/1.1\r\nHost: a\r\nContent-Length: 50000\r\n\r\nab");
    while (!caller->ended) {
        if (drips && strstr(cw_world_received(caller), "HTTP/1.1") == NULL) {
            (void)cw_world_stuff(caller, "c", 1);
        }
        cw_world_pass(&world, 10);
    }
    ck_assert_ptr_nonnull(strstr(cw_world_received(caller), "HTTP/1.1 408"));
    ck_assert_uint_eq(world.count, 0);
    ck_assert_uint_eq(cw_http_listener_body_bytes(world.listener), 0);
}

START_TEST(a_body_that_stands_still_or_drips_in_is_ended)
{
    expect_timeout(false);
    expect_timeout(true);
}
END_TEST

/* ---- servers that answer early ---- */

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

/* The server answers before it reads; the body is longer than the kernel takes. */
START_TEST(a_connection_on_which_a_body_was_not_sent_whole_is_not_used_again)
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
    struct sockaddr_in    place;
    int                   place_length = sizeof(place);
    char                  address[64];
    uv_loop_t             loop;

    uv_loop_init(&loop);
    uv_ip4_addr("127.0.0.1", 0, &place);
    uv_tcp_init(&loop, &server.listener);
    server.listener.data = &server;
    uv_tcp_bind(&server.listener, (const struct sockaddr *)&place, 0);
    uv_listen((uv_stream_t *)&server.listener, 5, on_accept);
    uv_tcp_getsockname(&server.listener, (struct sockaddr *)&place, &place_length);
    snprintf(address, sizeof(address), "127.0.0.1:%d", ntohs(place.sin_port));
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

    tcase_add_test(cases, a_body_that_pauses_where_a_read_ends_is_read_whole);
    tcase_add_test(cases, a_body_in_chunks_is_read_whole_however_it_is_cut);
    tcase_add_test(cases, a_body_is_held_until_its_answer);
    tcase_add_test(cases, a_body_goes_with_its_answer_though_that_is_not_read);
    tcase_add_test(cases, a_body_that_finds_no_memory_waits_for_it);
    tcase_add_test(cases, a_body_that_finds_no_memory_in_time_is_refused);
    tcase_add_test(cases, bodies_that_wait_get_memory_in_the_order_of_coming);
    tcase_add_test(cases, a_caller_that_leaves_while_its_body_waits_makes_way);
    tcase_add_test(cases, a_body_in_chunks_waits_piece_by_piece);
    tcase_add_test(cases, a_body_beyond_the_bound_is_told_to_come_back_and_one_beyond_the_limit_is_not);
    tcase_add_test(cases, a_body_in_chunks_beyond_the_limit_is_refused);
    tcase_add_test(cases, the_body_of_a_rejected_request_is_not_read);
    tcase_add_test(cases, what_is_behind_a_rejected_request_is_not_read);
    tcase_add_test(cases, a_rejected_caller_may_go_on_sending);
    tcase_add_test(cases, a_rejected_request_waits_for_its_turn);
    tcase_add_test(cases, a_rejected_request_without_a_body_keeps_its_connection);
    tcase_add_test(cases, a_caller_that_asks_is_told_to_go_on_when_its_turn_has_come);
    tcase_add_test(cases, a_caller_that_asks_is_not_told_to_go_on_while_there_is_no_memory);
    tcase_add_test(cases, a_caller_that_asked_and_waited_is_told_to_go_on_when_there_is_memory);
    tcase_add_test(cases, a_body_that_stands_still_or_drips_in_is_ended);
    tcase_add_test(cases, a_connection_on_which_a_body_was_not_sent_whole_is_not_used_again);
    suite_add_tcase(suite, cases);
    return cw_test_main(suite);
}
