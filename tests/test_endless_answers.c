/**
 * @file test_endless_answers.c
 * @brief Servers whose answers have no end, in interim answers, heads, framing or bodies: each answer is bounded.
 */
#include <stdio.h>
#include <string.h>

#include "base/byte_buffer.h"
#include "endless_server.h"
#include "loop_fixture.h"
#include "net/http_upstream.h"

enum {
    TIMEOUT_MS = 3000,        /* of calls: a call that is not ended earlier fails its test */
    ANSWER_MAX = 1024 * 1024, /* bytes of a body */
    MEMORY_BYTES = 2 * ANSWER_MAX,
    CALLS = 16,
    SMALL_BYTES = 20000,
    LONG_BYTES = 20 * 1024,    /* a long line: shorter than the longest head */
    SENT_MAX = 8 * 1024 * 1024 /* bytes that the kernel's buffers take besides those that are read */
};

static cw_bytes_t text; /* what a server sends */

static const char request_bytes[] = "GET /x HTTP/1.1\r\nHost: a\r\n\r\n";

/** A call and its outcome. */
typedef struct call {
    bool                 is_done;
    cw_upstream_result_t result;
    int                  status;
    char                 failure[64];
    size_t               body_length;
    bool                 spoiled;
} call_t;

/** A client, and a server without an end. */
typedef struct fixture {
    uv_loop_t             loop;
    cw_answer_memory_t    memory;
    cw_upstream_t        *upstream;
    endless_server_t      server;
    cw_upstream_target_t *target;
} fixture_t;

static void init(fixture_t *fixture, const char *begin, const char *unit)
{
    cw_upstream_options_t options = {.idle_max = CW_SECONDS(20), .memory = &fixture->memory};

    memset(fixture, 0, sizeof(*fixture));
    fixture->memory.budget.limit_bytes = MEMORY_BYTES;
    uv_loop_init(&fixture->loop);
    fixture->upstream = cw_upstream_create(&fixture->loop, &options);
    endless_server_start(&fixture->server, &fixture->loop, begin, unit);
    fixture->target = cw_upstream_target_create(fixture->upstream, fixture->server.address);
}

static void on_answered(void *context, const cw_upstream_answer_t *answer)
{
    call_t *call = context;

    call->is_done = true;
    call->result = answer->result;
    call->status = answer->status;
    call->body_length = answer->body_length;
    call->spoiled = answer->spoiled;
    snprintf(call->failure, sizeof(call->failure), "%s", answer->failure == NULL ? "" : answer->failure);
}

static void begin_call(cw_upstream_target_t *target, call_t *call)
{
    cw_upstream_request_t request = {.bytes = request_bytes,
                                     .length = sizeof(request_bytes) - 1,
                                     .connect_timeout = CW_MS(TIMEOUT_MS),
                                     .timeout = CW_MS(TIMEOUT_MS),
                                     .answer_max = ANSWER_MAX,
                                     .match_name = "id",
                                     .match_value = "r1"};

    memset(call, 0, sizeof(*call));
    ck_assert_ptr_nonnull(cw_upstream_call(target, &request, on_answered, call));
}

static call_t call_server(fixture_t *fixture)
{
    call_t call;

    begin_call(fixture->target, &call);
    cw_test_run_until_set(&fixture->loop, &call.is_done);
    return call;
}

/* The call ends for this reason, long before its timeout, and its connection is closed. */
static void expect_end(const char *begin, const char *unit, const char *failure)
{
    fixture_t fixture;
    call_t    call;

    init(&fixture, begin, unit);
    call = call_server(&fixture);
    ck_assert_str_eq(call.failure, failure);
    ck_assert_int_eq(call.result, CW_UPSTREAM_BROKEN);
    ck_assert(call.spoiled);
    ck_assert_uint_eq(fixture.memory.budget.reserved_bytes, 0);
    while (fixture.server.open > 0) {
        uv_run(&fixture.loop, UV_RUN_ONCE);
    }
    ck_assert_uint_le(fixture.server.sent, SENT_MAX);
}

/* The text lives until the next call. */
static const char *long_line(const char *begin, const char *end)
{
    static char filler[LONG_BYTES + 1];

    memset(filler, 'x', LONG_BYTES);
    text.length = 0;
    cw_bytes_append_text(&text, begin);
    cw_bytes_append_text(&text, filler);
    cw_bytes_append(&text, end, strlen(end) + 1);
    return text.data;
}

/* ---- what is no body ---- */

START_TEST(interim_answers_without_end_are_bounded_in_number)
{
    expect_end("HTTP/1.1 100 Continue\r\n\r\n", "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n",
               "too many interim answers");
}
END_TEST

START_TEST(interim_answers_without_end_are_bounded_in_bytes)
{
    expect_end("HTTP/1.1 100 Continue\r\n\r\n", long_line("HTTP/1.1 103 Early Hints\r\nLink: ", "\r\n\r\n"),
               "too many bytes outside the body");
}
END_TEST

START_TEST(a_head_without_end_is_bounded)
{
    expect_end("HTTP/1.1 200 OK\r\n", "Name: value\r\n", "not an answer");
}
END_TEST

START_TEST(a_status_line_without_end_is_bounded)
{
    expect_end("HTTP/1.1 200 ", "OK ", "not an answer");
}
END_TEST

START_TEST(blank_lines_without_end_are_bounded)
{
    expect_end("", "\r\n", "not an answer");
}
END_TEST

START_TEST(trailers_without_end_are_bounded)
{
    expect_end("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\n", "Name: value\r\n",
               "not an answer");
}
END_TEST

START_TEST(a_chunk_extension_without_end_is_bounded)
{
    expect_end("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;", "name=value;", "not an answer");
}
END_TEST

START_TEST(a_chunk_size_without_end_is_bounded)
{
    expect_end("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "0", "not an answer");
}
END_TEST

START_TEST(chunks_with_long_extensions_are_bounded)
{
    expect_end("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", long_line("1;", "\r\na\r\n"),
               "too many bytes outside the body");
}
END_TEST

START_TEST(answers_to_other_requests_without_end_are_bounded)
{
    expect_end("HTTP/1.1 200 OK\r\nid: r0\r\nContent-Length: 2\r\n\r\nno",
               "HTTP/1.1 200 OK\r\nid: r0\r\nContent-Length: 2\r\n\r\nno", "too many answers to other requests");
}
END_TEST

/* ---- bodies ---- */

START_TEST(bodies_without_end_are_bounded)
{
    expect_end("HTTP/1.1 200 OK\r\n\r\n", "body", "answer too long");
    expect_end("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "10\r\n0123456789abcdef\r\n",
               "answer too long");
}
END_TEST

/* Nothing of the body is read: the server never sends it. */
START_TEST(a_body_whose_stated_length_is_too_long_is_not_read)
{
    expect_end("HTTP/1.1 200 OK\r\nContent-Length: 5000000\r\n\r\n", NULL, "answer too long");
}
END_TEST

/* ---- answers that must get through ---- */

static void expect_body(const char *begin, size_t body_length)
{
    fixture_t fixture;
    call_t    call;

    init(&fixture, begin, NULL);
    call = call_server(&fixture);
    ck_assert_str_eq(call.failure, "");
    ck_assert_int_eq(call.status, 200);
    ck_assert_uint_eq(call.body_length, body_length);
    ck_assert(!call.spoiled);
    ck_assert_uint_eq(fixture.memory.budget.reserved_bytes, 0);
}

START_TEST(an_answer_after_some_interim_ones_is_accepted)
{
    size_t index;

    text.length = 0;
    for (index = 0; index < 20; index++) {
        cw_bytes_append_text(&text, "HTTP/1.1 102 Processing\r\n\r\n");
    }
    cw_bytes_append_text(&text, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
    cw_bytes_append(&text, "", 1);
    expect_body(text.data, 2);
}
END_TEST

START_TEST(one_late_answer_before_the_own_one_is_accepted)
{
    expect_body("HTTP/1.1 200 OK\r\nid: r0\r\nContent-Length: 2\r\n\r\nno"
                "HTTP/1.1 200 OK\r\nid: r1\r\nContent-Length: 3\r\n\r\nyes",
                3);
}
END_TEST

/* The framing is several times as long as the body. */
START_TEST(a_long_body_in_small_chunks_is_accepted)
{
    enum { CHUNKS = 200000 };
    size_t index;

    text.length = 0;
    cw_bytes_append_text(&text, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
    for (index = 0; index < CHUNKS; index++) {
        cw_bytes_append_text(&text, "1\r\na\r\n");
    }
    cw_bytes_append_text(&text, "0\r\n\r\n");
    cw_bytes_append(&text, "", 1);
    expect_body(text.data, CHUNKS);
}
END_TEST

START_TEST(a_stated_length_without_a_body_is_accepted)
{
    expect_body("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", 0);
}
END_TEST

/* ---- memory of all bodies together ---- */

static bool are_done(const call_t *calls)
{
    size_t index;

    for (index = 0; index < CALLS; index++) {
        if (!calls[index].is_done) {
            return false;
        }
    }
    return true;
}

START_TEST(bodies_without_end_share_the_memory)
{
    fixture_t fixture;
    call_t    calls[CALLS];
    size_t    most = 0;
    size_t    index;

    init(&fixture, "HTTP/1.1 200 OK\r\n\r\n", "body");
    for (index = 0; index < CALLS; index++) {
        begin_call(fixture.target, &calls[index]);
    }
    while (!are_done(calls)) {
        uv_run(&fixture.loop, UV_RUN_ONCE);
        most = fixture.memory.budget.reserved_bytes > most ? fixture.memory.budget.reserved_bytes : most;
    }
    ck_assert_uint_gt(most, ANSWER_MAX);
    ck_assert_uint_le(most, MEMORY_BYTES);
    ck_assert_uint_eq(fixture.memory.budget.reserved_bytes, 0);
    for (index = 0; index < CALLS; index++) {
        ck_assert_int_eq(calls[index].result, CW_UPSTREAM_BROKEN);
        ck_assert(calls[index].spoiled);
    }
}
END_TEST

/* Begins calls whose answers stop short of their end, until they hold all memory. */
static void use_up_memory(fixture_t *fixture, call_t *calls)
{
    enum { HELD_BYTES = MEMORY_BYTES - SMALL_BYTES / 2 };
    size_t index;

    for (index = 0; index < 2; index++) {
        begin_call(fixture->target, &calls[index]);
    }
    while (fixture->memory.budget.reserved_bytes < HELD_BYTES) {
        ck_assert(!calls[0].is_done && !calls[1].is_done);
        uv_run(&fixture->loop, UV_RUN_ONCE);
    }
}

/* Returns a head followed by as much of a body as has the capacity of ANSWER_MAX. */
static const char *long_answer(const char *head)
{
    static char filler[ANSWER_MAX - 1000 + 1];

    memset(filler, 'x', sizeof(filler) - 1);
    text.length = 0;
    cw_bytes_append_text(&text, head);
    cw_bytes_append(&text, filler, sizeof(filler));
    return text.data;
}

static const char *small_answer(void)
{
    static char small[SMALL_BYTES + 100];
    int         length = snprintf(small, sizeof(small), "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", SMALL_BYTES);

    memset(small + length, 'x', SMALL_BYTES);
    return small;
}

/* A small answer of another server arrives while two long ones hold the memory. Returns the one that made way. */
static call_t send_small_answer(const char *head_of_long)
{
    fixture_t        fixture;
    endless_server_t other;
    call_t           calls[2];
    call_t           small;

    init(&fixture, long_answer(head_of_long), NULL);
    endless_server_start(&other, &fixture.loop, small_answer(), NULL);
    use_up_memory(&fixture, calls);
    begin_call(cw_upstream_target_create(fixture.upstream, other.address), &small);
    cw_test_run_until_set(&fixture.loop, &small.is_done);
    ck_assert_int_eq(small.status, 200);
    cw_test_run_some(&fixture.loop, 10);
    ck_assert(calls[0].is_done != calls[1].is_done);
    return calls[0].is_done ? calls[0] : calls[1];
}

START_TEST(a_small_answer_gets_memory_when_endless_ones_hold_it)
{
    call_t call = send_small_answer("HTTP/1.1 200 OK\r\n\r\n");

    ck_assert_int_eq(call.result, CW_UPSTREAM_BROKEN);
    ck_assert_str_eq(call.failure, "no memory for the answer");
    ck_assert(call.spoiled);
}
END_TEST

START_TEST(an_answer_of_a_stated_length_that_makes_way_is_not_spoiled)
{
    call_t call = send_small_answer("HTTP/1.1 200 OK\r\nContent-Length: 1048576\r\n\r\n");

    ck_assert_int_eq(call.result, CW_UPSTREAM_BROKEN);
    ck_assert_str_eq(call.failure, "no memory for the answer");
    ck_assert(!call.spoiled);
}
END_TEST

START_TEST(a_call_that_ends_otherwise_returns_its_memory)
{
    fixture_t             fixture;
    call_t                call = {0};
    cw_upstream_call_t   *abandoned;
    cw_upstream_request_t request = {.bytes = request_bytes,
                                     .length = sizeof(request_bytes) - 1,
                                     .connect_timeout = CW_MS(TIMEOUT_MS),
                                     .timeout = CW_MS(TIMEOUT_MS),
                                     .answer_max = ANSWER_MAX};

    init(&fixture, "HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\nshort", NULL);
    abandoned = cw_upstream_call(fixture.target, &request, on_answered, &call);
    while (fixture.memory.budget.reserved_bytes == 0) {
        ck_assert(!call.is_done);
        uv_run(&fixture.loop, UV_RUN_ONCE);
    }
    cw_upstream_call_abandon(abandoned);
    ck_assert_uint_eq(fixture.memory.budget.reserved_bytes, 0);
    ck_assert_ptr_null(cw_answer_memory_largest(&fixture.memory));
}
END_TEST

START_TEST(memory_is_limited_and_the_largest_share_is_known)
{
    cw_answer_memory_t memory = {.budget.limit_bytes = 100};
    cw_answer_share_t  shares[3] = {0};

    ck_assert(cw_answer_memory_reserve(&memory, &shares[0], 20));
    ck_assert(cw_answer_memory_reserve(&memory, &shares[1], 30));
    ck_assert(cw_answer_memory_reserve(&memory, &shares[2], 25));
    ck_assert(!cw_answer_memory_reserve(&memory, &shares[0], 26));
    ck_assert_uint_eq(shares[0].bytes, 20);
    ck_assert_ptr_eq(cw_answer_memory_largest(&memory), &shares[1]);
    cw_answer_memory_release(&memory, &shares[1]);
    cw_answer_memory_release(&memory, &shares[1]);
    ck_assert_ptr_eq(cw_answer_memory_largest(&memory), &shares[2]);
    ck_assert(cw_answer_memory_reserve(&memory, &shares[0], 55));
    ck_assert_ptr_eq(cw_answer_memory_largest(&memory), &shares[0]);
    ck_assert_uint_eq(memory.budget.reserved_bytes, 100);
}
END_TEST

int main(void)
{
    Suite *suite = suite_create("endless answers");
    TCase *cases = tcase_create("endless answers");

    tcase_set_timeout(cases, 60);
    tcase_add_test(cases, interim_answers_without_end_are_bounded_in_number);
    tcase_add_test(cases, interim_answers_without_end_are_bounded_in_bytes);
    tcase_add_test(cases, a_head_without_end_is_bounded);
    tcase_add_test(cases, a_status_line_without_end_is_bounded);
    tcase_add_test(cases, blank_lines_without_end_are_bounded);
    tcase_add_test(cases, trailers_without_end_are_bounded);
    tcase_add_test(cases, a_chunk_extension_without_end_is_bounded);
    tcase_add_test(cases, a_chunk_size_without_end_is_bounded);
    tcase_add_test(cases, chunks_with_long_extensions_are_bounded);
    tcase_add_test(cases, answers_to_other_requests_without_end_are_bounded);
    tcase_add_test(cases, bodies_without_end_are_bounded);
    tcase_add_test(cases, a_body_whose_stated_length_is_too_long_is_not_read);
    tcase_add_test(cases, an_answer_after_some_interim_ones_is_accepted);
    tcase_add_test(cases, one_late_answer_before_the_own_one_is_accepted);
    tcase_add_test(cases, a_long_body_in_small_chunks_is_accepted);
    tcase_add_test(cases, a_stated_length_without_a_body_is_accepted);
    tcase_add_test(cases, bodies_without_end_share_the_memory);
    tcase_add_test(cases, a_small_answer_gets_memory_when_endless_ones_hold_it);
    tcase_add_test(cases, an_answer_of_a_stated_length_that_makes_way_is_not_spoiled);
    tcase_add_test(cases, a_call_that_ends_otherwise_returns_its_memory);
    tcase_add_test(cases, memory_is_limited_and_the_largest_share_is_known);
    suite_add_tcase(suite, cases);
    return cw_test_main(suite);
}
