/**
 * @file test_http_pipeline.c
 * @brief Pipelining: concurrent requests of one connection, the order of their answers, and the end of a pipeline.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/metrics.h"
#include "listener_fixture.h"
#include "loop_fixture.h"
#include "net/http_listener_internal.h"

#define GET(target)  "GET " target " HTTP/1.1\r\nHost: a\r\nId: " target "\r\n\r\n"
#define POST(target) "POST " target " HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\nabc"

static const cw_http_limits_t limits = {
    .header_bytes = 2000, .body_bytes = 5000, .header_timeout = CW_SECONDS(30), .idle_timeout = CW_SECONDS(30)};
static const cw_http_listener_options_t options = {.pipeline = {.depth = 4, .bytes = 4096}, .request_id_name = "id"};

static fixture_caller_t *begin(listener_fixture_t *fixture, const char *text)
{
    fixture_caller_t *caller;

    cw_metrics_reset();
    listener_fixture_init(fixture, &limits, &options);
    caller = listener_fixture_connect(fixture);
    listener_fixture_send_text(caller, text);
    return caller;
}

/* ---- rules of cw_pipeline ---- */

START_TEST(an_unsafe_request_is_processed_alone)
{
    cw_pipeline_t       pipeline = {0};
    cw_pipeline_entry_t first = {.is_safe = true};
    cw_pipeline_entry_t second = {.is_safe = false};
    cw_pipeline_entry_t third = {.is_safe = true};

    cw_pipeline_append(&pipeline, &first);
    cw_pipeline_append(&pipeline, &second);
    cw_pipeline_append(&pipeline, &third);
    ck_assert_ptr_eq(cw_pipeline_next_to_dispatch(&pipeline), &first);
    first.state = CW_PIPELINE_DISPATCHED;
    ck_assert_ptr_null(cw_pipeline_next_to_dispatch(&pipeline));
    cw_pipeline_answered(&pipeline, &first, 100);
    ck_assert_ptr_eq(cw_pipeline_next_to_dispatch(&pipeline), &second);
    second.state = CW_PIPELINE_DISPATCHED;
    ck_assert_ptr_null(cw_pipeline_next_to_dispatch(&pipeline));
    cw_pipeline_answered(&pipeline, &second, 100);
    ck_assert_ptr_eq(cw_pipeline_next_to_dispatch(&pipeline), &third);
}
END_TEST

START_TEST(requests_after_an_undispatched_one_are_dropped_with_it)
{
    cw_pipeline_t       pipeline = {0};
    cw_pipeline_entry_t first = {.is_safe = true};
    cw_pipeline_entry_t second = {.is_safe = false};
    cw_pipeline_entry_t refused = {.last = true};

    cw_pipeline_append(&pipeline, &first);
    first.state = CW_PIPELINE_DISPATCHED;
    cw_pipeline_append(&pipeline, &second);
    cw_pipeline_append(&pipeline, &refused);
    cw_pipeline_answered(&pipeline, &refused, 50);
    ck_assert(!cw_pipeline_closes(&pipeline, &first));
    ck_assert_ptr_eq(cw_pipeline_end(&pipeline), &refused);
    ck_assert_ptr_eq(cw_pipeline_end(&pipeline), &second);
    ck_assert_ptr_null(cw_pipeline_end(&pipeline));
    ck_assert(cw_pipeline_closes(&pipeline, &first));
    ck_assert_uint_eq(pipeline.answer_bytes, 0);
}
END_TEST

/* ---- order ---- */

START_TEST(requests_are_processed_concurrently_and_answered_in_order)
{
    static const char *const order[] = {"first", "second", "third", NULL};
    listener_fixture_t       fixture;
    fixture_caller_t        *caller = begin(&fixture, GET("/1") GET("/2") GET("/3"));

    listener_fixture_await_requests(&fixture, 3);
    listener_fixture_answer(&fixture, 2, "third");
    listener_fixture_answer(&fixture, 1, "second");
    cw_test_run_some(&fixture.loop, 20);
    ck_assert_str_eq(listener_fixture_received(caller), "");
    listener_fixture_answer(&fixture, 0, "first");
    listener_fixture_await_text(caller, "third");
    ck_assert(listener_fixture_received_in_order(caller, order));
    ck_assert_uint_eq(cw_metric_value(CW_METRIC_PIPELINED), 2);
    ck_assert_uint_eq(cw_metric_value(CW_METRIC_ANSWERS_WAITED), 2);
    ck_assert(!caller->ended);
}
END_TEST

START_TEST(immediate_answers_keep_their_order)
{
    char               text[LISTENER_FIXTURE_REQUESTS * 48] = "";
    char               target[16];
    listener_fixture_t fixture;
    fixture_caller_t  *caller;
    int                number;

    listener_fixture_init(&fixture, &limits, &options);
    fixture.answers_immediately = true;
    caller = listener_fixture_connect(&fixture);
    for (number = 0; number < LISTENER_FIXTURE_REQUESTS; number++) {
        snprintf(text + strlen(text), sizeof(text) - strlen(text), "GET /%02d HTTP/1.1\r\nHost: a\r\n\r\n", number);
    }
    listener_fixture_send_text(caller, text);
    listener_fixture_await_text(caller, "/63");
    for (number = 0; number < LISTENER_FIXTURE_REQUESTS; number++) {
        snprintf(target, sizeof(target), "/%02d", number);
        ck_assert_str_eq(fixture.requests[number].target, target);
    }
}
END_TEST

START_TEST(an_answer_to_head_has_no_body)
{
    static const char *const order[] = {"Content-Length: 5\r\n\r\nHTTP/1.1 200", "\r\n\r\nsecond", NULL};
    listener_fixture_t       fixture;
    fixture_caller_t        *caller = begin(&fixture, "HEAD /1 HTTP/1.1\r\nHost: a\r\n\r\n" GET("/2"));

    listener_fixture_await_requests(&fixture, 2);
    listener_fixture_answer(&fixture, 1, "second");
    listener_fixture_answer(&fixture, 0, "first");
    listener_fixture_await_text(caller, "second");
    ck_assert(listener_fixture_received_in_order(caller, order));
}
END_TEST

/* ---- limits ---- */

START_TEST(no_more_requests_than_the_depth_are_accepted)
{
    listener_fixture_t fixture;
    fixture_caller_t  *caller = begin(&fixture, GET("/1") GET("/2") GET("/3") GET("/4") GET("/5") GET("/6"));

    listener_fixture_await_requests(&fixture, 4);
    cw_test_run_some(&fixture.loop, 50);
    ck_assert_uint_eq(fixture.count, 4);
    ck_assert_uint_eq(cw_metric_value(CW_METRIC_READING_STOPPED), 1);
    listener_fixture_answer(&fixture, 1, "second"); /* the first answer is still due */
    cw_test_run_some(&fixture.loop, 50);
    ck_assert_uint_eq(fixture.count, 4);
    listener_fixture_answer(&fixture, 0, "first");
    listener_fixture_await_requests(&fixture, 6);
    listener_fixture_await_text(caller, "second");
}
END_TEST

START_TEST(waiting_answers_delay_the_next_request)
{
    static char        long_text[5000];
    listener_fixture_t fixture;
    fixture_caller_t  *caller = begin(&fixture, GET("/1") GET("/2"));

    memset(long_text, 'x', sizeof(long_text) - 1);
    listener_fixture_await_requests(&fixture, 2);
    listener_fixture_answer(&fixture, 1, long_text);
    listener_fixture_send_text(caller, GET("/3"));
    cw_test_run_some(&fixture.loop, 50);
    ck_assert_uint_eq(fixture.count, 2);
    listener_fixture_answer(&fixture, 0, "first");
    listener_fixture_await_requests(&fixture, 3);
}
END_TEST

/* The caller writes until no more bytes are accepted. The number of accepted requests and the size of buffered input
 * stay within their limits. */
START_TEST(buffered_input_of_a_caller_that_sends_endlessly_is_bounded)
{
    static char        text[1 << 20];
    listener_fixture_t fixture;
    fixture_caller_t  *caller = begin(&fixture, GET("/1"));
    size_t             length = 0;
    size_t             sent;
    int                idle_turns = 0;

    while (length + 64 < sizeof(text)) {
        length += (size_t)snprintf(text + length, sizeof(text) - length, "GET /x HTTP/1.1\r\nHost: a\r\n\r\n");
    }
    while (idle_turns < 50) {
        sent = listener_fixture_send_some(caller, text, length);
        idle_turns = sent == 0 ? idle_turns + 1 : 0;
        uv_run(&fixture.loop, UV_RUN_NOWAIT);
    }
    ck_assert_uint_eq(fixture.count, 4);
    ck_assert(!caller->ended);
    ck_assert_uint_le(cw_listener_pending_bytes(fixture.listener), CW_LISTENER_CHUNK);
}
END_TEST

START_TEST(a_pending_request_counts_from_when_it_was_read)
{
    cw_http_listener_options_t one = {.pipeline = {.depth = 1, .bytes = 4096}};
    listener_fixture_t         fixture;
    fixture_caller_t          *caller;
    cw_time_us_t               latest_read;

    listener_fixture_init(&fixture, &limits, &one);
    caller = listener_fixture_connect(&fixture);
    listener_fixture_send_text(caller, GET("/1") GET("/2"));
    listener_fixture_await_requests(&fixture, 1);
    cw_test_run_some(&fixture.loop, 20);
    latest_read = CW_MS(uv_now(&fixture.loop));
    listener_fixture_run_for(&fixture, 30);
    listener_fixture_answer(&fixture, 0, "first");
    listener_fixture_await_requests(&fixture, 2);
    ck_assert_int_le(fixture.requests[1].arrived_us, latest_read);
}
END_TEST

/* ---- callers that disconnect ---- */

START_TEST(a_disconnect_cancels_all_requests_of_the_connection)
{
    listener_fixture_t fixture;
    fixture_caller_t  *caller = begin(&fixture, GET("/1") GET("/2") GET("/3"));

    listener_fixture_await_requests(&fixture, 3);
    listener_fixture_answer(&fixture, 1, "second");
    listener_fixture_disconnect(caller);
    listener_fixture_await_cancelled(&fixture, 2);
    ck_assert(fixture.requests[0].cancelled && !fixture.requests[1].cancelled && fixture.requests[2].cancelled);
    cw_test_run_some(&fixture.loop, 20);
    ck_assert_uint_eq(cw_http_listener_connections(fixture.listener), 0);
}
END_TEST

START_TEST(a_disconnect_is_detected_while_the_connection_is_not_read)
{
    listener_fixture_t fixture;
    fixture_caller_t  *caller = begin(&fixture, GET("/1") GET("/2") GET("/3") GET("/4") GET("/5"));

    listener_fixture_await_requests(&fixture, 4);
    cw_test_run_some(&fixture.loop, 20);
    ck_assert_uint_eq(cw_metric_value(CW_METRIC_READING_STOPPED), 1);
    listener_fixture_disconnect(caller);
    listener_fixture_await_cancelled(&fixture, 4);
    ck_assert_uint_eq(fixture.count, 4);
}
END_TEST

/* ---- unsafe requests ---- */

START_TEST(a_post_waits_for_earlier_answers_and_delays_later_requests)
{
    static const char *const order[] = {"first", "second", "third", NULL};
    listener_fixture_t       fixture;
    fixture_caller_t        *caller = begin(&fixture, GET("/1") POST("/2") GET("/3"));

    listener_fixture_await_requests(&fixture, 1);
    cw_test_run_some(&fixture.loop, 50);
    ck_assert_uint_eq(fixture.count, 1);
    listener_fixture_answer(&fixture, 0, "first");
    listener_fixture_await_requests(&fixture, 2);
    ck_assert_str_eq(fixture.requests[1].method, "POST");
    ck_assert_uint_eq(fixture.requests[1].body_length, 3);
    cw_test_run_some(&fixture.loop, 50);
    ck_assert_uint_eq(fixture.count, 2);
    listener_fixture_answer(&fixture, 1, "second");
    listener_fixture_await_requests(&fixture, 3);
    listener_fixture_answer(&fixture, 2, "third");
    listener_fixture_await_text(caller, "third");
    ck_assert(listener_fixture_received_in_order(caller, order));
}
END_TEST

/* ---- end of a pipeline ---- */

static void expect_last(const char *text)
{
    static const char *const order[] = {"first", "Connection: close\r\n\r\nsecond", NULL};
    listener_fixture_t       fixture;
    fixture_caller_t        *caller = begin(&fixture, text);

    listener_fixture_await_requests(&fixture, 2);
    cw_test_run_some(&fixture.loop, 50);
    ck_assert_uint_eq(fixture.count, 2);
    listener_fixture_answer(&fixture, 1, "second");
    listener_fixture_answer(&fixture, 0, "first");
    listener_fixture_await_end(caller);
    ck_assert_uint_eq(fixture.count, 2);
    ck_assert(listener_fixture_received_in_order(caller, order));
    ck_assert(strstr(listener_fixture_received(caller), "Connection: close") >
              strstr(listener_fixture_received(caller), "first"));
}

START_TEST(a_request_that_asks_to_close_is_the_last_one)
{
    expect_last(GET("/1") "GET /2 HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n" GET("/3"));
    expect_last(GET("/1") "GET /2 HTTP/1.0\r\nHost: a\r\n\r\n" GET("/3"));
}
END_TEST

static void expect_refused(const char *text, const char *status)
{
    listener_fixture_t fixture;
    fixture_caller_t  *caller = begin(&fixture, text);
    const char *const  order[] = {"first", "second", status, "Connection: close", NULL};

    listener_fixture_await_requests(&fixture, 2);
    cw_test_run_some(&fixture.loop, 50);
    ck_assert_str_eq(listener_fixture_received(caller), "");
    listener_fixture_answer(&fixture, 1, "second");
    listener_fixture_answer(&fixture, 0, "first");
    listener_fixture_await_end(caller);
    ck_assert_uint_eq(fixture.count, 2);
    ck_assert_msg(listener_fixture_received_in_order(caller, order), "%s", listener_fixture_received(caller));
}

START_TEST(an_invalid_request_is_answered_in_its_turn_and_is_the_last_one)
{
    char text[4000];

    expect_refused(GET("/1") GET("/2") "no request\r\n\r\n" GET("/3"), "HTTP/1.1 400");
    expect_refused(GET("/1") GET("/2") "POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 9000\r\n\r\n" GET("/3"),
                   "HTTP/1.1 413");
    snprintf(text, sizeof(text), "%sGET /3 HTTP/1.1\r\nLong: %02500d\r\n\r\n%s", GET("/1") GET("/2"), 0, GET("/4"));
    expect_refused(text, "HTTP/1.1 431");
}
END_TEST

START_TEST(empty_lines_between_requests_are_ignored)
{
    cw_http_limits_t   short_limits = limits;
    listener_fixture_t fixture;
    fixture_caller_t  *caller;

    short_limits.header_timeout = CW_MS(20);
    listener_fixture_init(&fixture, &short_limits, &options);
    caller = listener_fixture_connect(&fixture);
    listener_fixture_send_text(caller, GET("/1") "\r\n\r\n" GET("/2") "\r\n");
    listener_fixture_await_requests(&fixture, 2);
    listener_fixture_answer(&fixture, 0, "first");
    listener_fixture_answer(&fixture, 1, "second");
    listener_fixture_run_for(&fixture, 60);
    ck_assert(!caller->ended);
    ck_assert_ptr_null(strstr(listener_fixture_received(caller), "HTTP/1.1 408"));
}
END_TEST

START_TEST(an_incomplete_head_is_refused_in_its_turn)
{
    static const char *const order[] = {"first", "HTTP/1.1 408", NULL};
    cw_http_limits_t         short_limits = limits;
    listener_fixture_t       fixture;
    fixture_caller_t        *caller;

    listener_fixture_init(&fixture, &limits, &options);
    short_limits.header_timeout = CW_MS(30);
    cw_http_listener_set_limits(fixture.listener, &short_limits);
    caller = listener_fixture_connect(&fixture);
    listener_fixture_send_text(caller, GET("/1") "GET /2 HT");
    listener_fixture_await_requests(&fixture, 1);
    listener_fixture_run_for(&fixture, 100);
    ck_assert_str_eq(listener_fixture_received(caller), "");
    listener_fixture_answer(&fixture, 0, "first");
    listener_fixture_await_end(caller);
    ck_assert(listener_fixture_received_in_order(caller, order));
    ck_assert_uint_eq(fixture.count, 1);
}
END_TEST

START_TEST(answers_before_an_abort_are_written)
{
    listener_fixture_t fixture;
    fixture_caller_t  *caller = begin(&fixture, GET("/1") GET("/2") GET("/3"));

    listener_fixture_await_requests(&fixture, 3);
    cw_http_exchange_abort(fixture.requests[1].exchange);
    ck_assert(fixture.requests[2].cancelled);
    ck_assert(!fixture.requests[1].cancelled);
    cw_test_run_some(&fixture.loop, 20);
    ck_assert(!caller->ended);
    listener_fixture_answer(&fixture, 0, "first");
    listener_fixture_await_end(caller);
    ck_assert_ptr_nonnull(strstr(listener_fixture_received(caller), "first"));
}
END_TEST

/* ---- stop of the listener ---- */

START_TEST(at_a_stop_the_last_dispatched_request_closes_the_connection)
{
    static const char *const order[] = {"first", "Connection: close\r\n\r\nsecond", NULL};
    listener_fixture_t       fixture;
    fixture_caller_t        *caller = begin(&fixture, GET("/1") GET("/2") POST("/3"));

    listener_fixture_await_requests(&fixture, 2);
    cw_http_listener_end_connections(fixture.listener);
    cw_http_listener_close(fixture.listener);
    listener_fixture_send_text(caller, GET("/4"));
    cw_test_run_some(&fixture.loop, 50);
    ck_assert_uint_eq(cw_http_listener_busy(fixture.listener), 1);
    listener_fixture_answer(&fixture, 1, "second");
    listener_fixture_answer(&fixture, 0, "first");
    listener_fixture_await_end(caller);
    ck_assert_uint_eq(fixture.count, 2);
    ck_assert_msg(listener_fixture_received_in_order(caller, order), "%s", listener_fixture_received(caller));
    ck_assert(strstr(listener_fixture_received(caller), "Connection: close") >
              strstr(listener_fixture_received(caller), "first"));
}
END_TEST

START_TEST(while_stopping_one_more_request_of_a_connection_is_accepted)
{
    listener_fixture_t fixture;
    fixture_caller_t  *caller = begin(&fixture, "");

    cw_http_listener_end_connections(fixture.listener);
    listener_fixture_send_text(caller, GET("/1") GET("/2"));
    listener_fixture_await_requests(&fixture, 1);
    cw_test_run_some(&fixture.loop, 50);
    ck_assert_uint_eq(fixture.count, 1);
    listener_fixture_answer(&fixture, 0, "first");
    listener_fixture_await_end(caller);
    ck_assert_uint_eq(fixture.count, 1);
    ck_assert_ptr_nonnull(strstr(listener_fixture_received(caller), "Connection: close"));
}
END_TEST

/* The written answer has announced that the connection stays open. So the next request is accepted, and its answer
 * closes the connection. */
START_TEST(at_a_stop_an_unsafe_request_after_a_written_answer_is_accepted_and_closes)
{
    listener_fixture_t fixture;
    fixture_caller_t  *caller = begin(&fixture, GET("/1") POST("/2") GET("/3"));

    listener_fixture_await_requests(&fixture, 1);
    listener_fixture_answer(&fixture, 0, "first");
    ck_assert_uint_eq(fixture.count, 1); /* the second request is passed on in the loop's next turn */
    cw_http_listener_end_connections(fixture.listener);
    listener_fixture_run_for(&fixture, 50);
    ck_assert_uint_eq(fixture.count, 2);
    listener_fixture_answer(&fixture, 1, "second");
    listener_fixture_await_end(caller);
    ck_assert_ptr_nonnull(strstr(listener_fixture_received(caller), "Connection: close\r\n\r\nsecond"));
    ck_assert_uint_eq(cw_metric_value(CW_METRIC_REQUESTS_DROPPED), 1);
}
END_TEST

/* ---- callers that do not read ---- */

START_TEST(an_answer_that_the_caller_does_not_read_is_cut)
{
    static char        long_text[8 << 20];
    cw_http_limits_t   short_limits = limits;
    listener_fixture_t fixture;
    fixture_caller_t  *caller;

    memset(long_text, 'x', sizeof(long_text) - 1);
    short_limits.idle_timeout = CW_MS(30);
    listener_fixture_init(&fixture, &short_limits, &options);
    caller = listener_fixture_connect(&fixture);
    uv_read_stop((uv_stream_t *)&caller->tcp);
    listener_fixture_send_text(caller, GET("/1") GET("/2"));
    listener_fixture_await_requests(&fixture, 2);
    listener_fixture_answer(&fixture, 0, long_text);
    cw_metrics_reset();
    listener_fixture_await_cancelled(&fixture, 1);
    ck_assert(fixture.requests[1].cancelled);
    ck_assert_uint_eq(cw_metric_value(CW_METRIC_ANSWERS_CUT), 1);
}
END_TEST

int main(void)
{
    Suite *suite = suite_create("http_pipeline");
    TCase *cases = tcase_create("http_pipeline");

    tcase_add_test(cases, an_unsafe_request_is_processed_alone);
    tcase_add_test(cases, requests_after_an_undispatched_one_are_dropped_with_it);
    tcase_add_test(cases, requests_are_processed_concurrently_and_answered_in_order);
    tcase_add_test(cases, immediate_answers_keep_their_order);
    tcase_add_test(cases, an_answer_to_head_has_no_body);
    tcase_add_test(cases, no_more_requests_than_the_depth_are_accepted);
    tcase_add_test(cases, waiting_answers_delay_the_next_request);
    tcase_add_test(cases, buffered_input_of_a_caller_that_sends_endlessly_is_bounded);
    tcase_add_test(cases, a_pending_request_counts_from_when_it_was_read);
    tcase_add_test(cases, a_disconnect_cancels_all_requests_of_the_connection);
    tcase_add_test(cases, a_disconnect_is_detected_while_the_connection_is_not_read);
    tcase_add_test(cases, a_post_waits_for_earlier_answers_and_delays_later_requests);
    tcase_add_test(cases, a_request_that_asks_to_close_is_the_last_one);
    tcase_add_test(cases, an_invalid_request_is_answered_in_its_turn_and_is_the_last_one);
    tcase_add_test(cases, empty_lines_between_requests_are_ignored);
    tcase_add_test(cases, an_incomplete_head_is_refused_in_its_turn);
    tcase_add_test(cases, answers_before_an_abort_are_written);
    tcase_add_test(cases, at_a_stop_the_last_dispatched_request_closes_the_connection);
    tcase_add_test(cases, while_stopping_one_more_request_of_a_connection_is_accepted);
    tcase_add_test(cases, at_a_stop_an_unsafe_request_after_a_written_answer_is_accepted_and_closes);
    tcase_add_test(cases, an_answer_that_the_caller_does_not_read_is_cut);
    suite_add_tcase(suite, cases);
    return cw_test_main(suite);
}
