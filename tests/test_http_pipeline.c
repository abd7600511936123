/**
 * @file test_http_pipeline.c
 * @brief Several requests of one connection: side by side, in order, and what ends them.
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

static cw_world_caller_t *begin(cw_listener_world_t *world, const char *text)
{
    cw_world_caller_t *caller;

    cw_metrics_reset();
    cw_world_init(world, &limits, &options);
    caller = cw_world_connect(world);
    cw_world_send_text(caller, text);
    return caller;
}

/* ---- the rules alone ---- */

START_TEST(one_that_may_not_be_repeated_has_the_connection_for_itself)
{
    cw_pipeline_t       pipeline = {0};
    cw_pipeline_entry_t first = {.is_safe = true};
    cw_pipeline_entry_t second = {.is_safe = false};
    cw_pipeline_entry_t third = {.is_safe = true};

    cw_pipeline_append(&pipeline, &first);
    cw_pipeline_append(&pipeline, &second);
    cw_pipeline_append(&pipeline, &third);
    ck_assert_ptr_eq(cw_pipeline_next_to_hand_over(&pipeline), &first);
    first.state = CW_PIPELINE_HANDED_OVER;
    ck_assert_ptr_null(cw_pipeline_next_to_hand_over(&pipeline));
    cw_pipeline_answered(&pipeline, &first, 100);
    ck_assert_ptr_eq(cw_pipeline_next_to_hand_over(&pipeline), &second);
    second.state = CW_PIPELINE_HANDED_OVER;
    ck_assert_ptr_null(cw_pipeline_next_to_hand_over(&pipeline));
    cw_pipeline_answered(&pipeline, &second, 100);
    ck_assert_ptr_eq(cw_pipeline_next_to_hand_over(&pipeline), &third);
}
END_TEST

START_TEST(what_is_behind_one_that_was_not_handed_over_is_dropped_with_it)
{
    cw_pipeline_t       pipeline = {0};
    cw_pipeline_entry_t first = {.is_safe = true};
    cw_pipeline_entry_t second = {.is_safe = false};
    cw_pipeline_entry_t refused = {.last = true};

    cw_pipeline_append(&pipeline, &first);
    first.state = CW_PIPELINE_HANDED_OVER;
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

START_TEST(requests_are_served_side_by_side_and_answered_in_order)
{
    static const char *const order[] = {"first", "second", "third", NULL};
    cw_listener_world_t      world;
    cw_world_caller_t       *caller = begin(&world, GET("/1") GET("/2") GET("/3"));

    cw_world_await_requests(&world, 3);
    cw_world_answer(&world, 2, "third");
    cw_world_answer(&world, 1, "second");
    cw_test_run_some(&world.loop, 20);
    ck_assert_str_eq(cw_world_received(caller), "");
    cw_world_answer(&world, 0, "first");
    cw_world_await_text(caller, "third");
    ck_assert(cw_world_received_in_order(caller, order));
    ck_assert_uint_eq(cw_metric_value(CW_METRIC_PIPELINED), 2);
    ck_assert_uint_eq(cw_metric_value(CW_METRIC_ANSWERS_WAITED), 2);
    ck_assert(!caller->ended);
}
END_TEST

START_TEST(answers_given_at_once_keep_their_order)
{
    char                text[CW_WORLD_REQUESTS * 48] = "";
    char                target[16];
    cw_listener_world_t world;
    cw_world_caller_t  *caller;
    int                 number;

    cw_world_init(&world, &limits, &options);
    world.answers_at_once = true;
    caller = cw_world_connect(&world);
    for (number = 0; number < CW_WORLD_REQUESTS; number++) {
        snprintf(text + strlen(text), sizeof(text) - strlen(text), "GET /%02d HTTP/1.1\r\nHost: a\r\n\r\n", number);
    }
    cw_world_send_text(caller, text);
    cw_world_await_text(caller, "/63");
    for (number = 0; number < CW_WORLD_REQUESTS; number++) {
        snprintf(target, sizeof(target), "/%02d", number);
        ck_assert_str_eq(world.requests[number].target, target);
    }
}
END_TEST

START_TEST(the_body_of_an_answer_to_head_is_left_out_in_its_turn)
{
    static const char *const order[] = {"Content-Length: 5\r\n\r\nHTTP/1.1 200", "\r\n\r\nsecond", NULL};
    cw_listener_world_t      world;
    cw_world_caller_t       *caller = begin(&world, "HEAD /1 HTTP/1.1\r\nHost: a\r\n\r\n" GET("/2"));

    cw_world_await_requests(&world, 2);
    cw_world_answer(&world, 1, "second");
    cw_world_answer(&world, 0, "first");
    cw_world_await_text(caller, "second");
    ck_assert(cw_world_received_in_order(caller, order));
}
END_TEST

/* ---- bounds ---- */

START_TEST(no_more_than_the_depth_are_taken_up)
{
    cw_listener_world_t world;
    cw_world_caller_t  *caller = begin(&world, GET("/1") GET("/2") GET("/3") GET("/4") GET("/5") GET("/6"));

    cw_world_await_requests(&world, 4);
    cw_test_run_some(&world.loop, 50);
    ck_assert_uint_eq(world.count, 4);
    ck_assert_uint_eq(cw_metric_value(CW_METRIC_READING_STOPPED), 1);
    cw_world_answer(&world, 1, "second"); /* its turn has not come */
    cw_test_run_some(&world.loop, 50);
    ck_assert_uint_eq(world.count, 4);
    cw_world_answer(&world, 0, "first");
    cw_world_await_requests(&world, 6);
    cw_world_await_text(caller, "second");
}
END_TEST

START_TEST(answers_that_wait_hold_the_next_request_up)
{
    static char         long_text[5000];
    cw_listener_world_t world;
    cw_world_caller_t  *caller = begin(&world, GET("/1") GET("/2"));

    memset(long_text, 'x', sizeof(long_text) - 1);
    cw_world_await_requests(&world, 2);
    cw_world_answer(&world, 1, long_text);
    cw_world_send_text(caller, GET("/3"));
    cw_test_run_some(&world.loop, 50);
    ck_assert_uint_eq(world.count, 2);
    cw_world_answer(&world, 0, "first");
    cw_world_await_requests(&world, 3);
}
END_TEST

/* The caller writes until nothing is taken any more; nothing is lost or doubled once the answers flow. */
START_TEST(a_caller_that_sends_without_end_is_held_up)
{
    static char         text[1 << 20];
    cw_listener_world_t world;
    cw_world_caller_t  *caller = begin(&world, GET("/1"));
    size_t              length = 0;
    size_t              sent;
    int                 quiet = 0;

    while (length + 64 < sizeof(text)) {
        length += (size_t)snprintf(text + length, sizeof(text) - length, "GET /x HTTP/1.1\r\nHost: a\r\n\r\n");
    }
    while (quiet < 50) {
        sent = cw_world_stuff(caller, text, length);
        quiet = sent == 0 ? quiet + 1 : 0;
        uv_run(&world.loop, UV_RUN_NOWAIT);
    }
    ck_assert_uint_eq(world.count, 4);
    ck_assert(!caller->ended);
    ck_assert_uint_le(cw_listener_pending_bytes(world.listener), CW_LISTENER_CHUNK);
}
END_TEST

START_TEST(a_request_that_lay_here_unread_counts_from_its_reading)
{
    cw_http_listener_options_t one = {.pipeline = {.depth = 1, .bytes = 4096}};
    cw_listener_world_t        world;
    cw_world_caller_t         *caller;
    cw_time_us_t               read_by;

    cw_world_init(&world, &limits, &one);
    caller = cw_world_connect(&world);
    cw_world_send_text(caller, GET("/1") GET("/2"));
    cw_world_await_requests(&world, 1);
    cw_test_run_some(&world.loop, 20);
    read_by = CW_MS(uv_now(&world.loop));
    cw_world_pass(&world, 30);
    cw_world_answer(&world, 0, "first");
    cw_world_await_requests(&world, 2);
    ck_assert_int_le(world.requests[1].arrived_us, read_by);
}
END_TEST

/* ---- callers that leave ---- */

START_TEST(a_caller_that_leaves_takes_all_of_its_requests_along)
{
    cw_listener_world_t world;
    cw_world_caller_t  *caller = begin(&world, GET("/1") GET("/2") GET("/3"));

    cw_world_await_requests(&world, 3);
    cw_world_answer(&world, 1, "second");
    cw_world_leave(caller);
    cw_world_await_gone(&world, 2);
    ck_assert(world.requests[0].gone && !world.requests[1].gone && world.requests[2].gone);
    cw_test_run_some(&world.loop, 20);
    ck_assert_uint_eq(cw_http_listener_connections(world.listener), 0);
}
END_TEST

START_TEST(a_caller_that_leaves_is_seen_while_it_is_not_read)
{
    cw_listener_world_t world;
    cw_world_caller_t  *caller = begin(&world, GET("/1") GET("/2") GET("/3") GET("/4") GET("/5"));

    cw_world_await_requests(&world, 4);
    cw_test_run_some(&world.loop, 20);
    ck_assert_uint_eq(cw_metric_value(CW_METRIC_READING_STOPPED), 1);
    cw_world_leave(caller);
    cw_world_await_gone(&world, 4);
    ck_assert_uint_eq(world.count, 4);
}
END_TEST

/* ---- requests that may not be repeated ---- */

START_TEST(a_post_waits_for_the_answers_before_it_and_holds_what_is_behind_it)
{
    static const char *const order[] = {"first", "second", "third", NULL};
    cw_listener_world_t      world;
    cw_world_caller_t       *caller = begin(&world, GET("/1") POST("/2") GET("/3"));

    cw_world_await_requests(&world, 1);
    cw_test_run_some(&world.loop, 50);
    ck_assert_uint_eq(world.count, 1);
    cw_world_answer(&world, 0, "first");
    cw_world_await_requests(&world, 2);
    ck_assert_str_eq(world.requests[1].method, "POST");
    ck_assert_uint_eq(world.requests[1].body_length, 3);
    cw_test_run_some(&world.loop, 50);
    ck_assert_uint_eq(world.count, 2);
    cw_world_answer(&world, 1, "second");
    cw_world_await_requests(&world, 3);
    cw_world_answer(&world, 2, "third");
    cw_world_await_text(caller, "third");
    ck_assert(cw_world_received_in_order(caller, order));
}
END_TEST

/* ---- what ends a pipeline ---- */

static void expect_last(const char *text)
{
    static const char *const order[] = {"first", "Connection: close\r\n\r\nsecond", NULL};
    cw_listener_world_t      world;
    cw_world_caller_t       *caller = begin(&world, text);

    cw_world_await_requests(&world, 2);
    cw_test_run_some(&world.loop, 50);
    ck_assert_uint_eq(world.count, 2);
    cw_world_answer(&world, 1, "second");
    cw_world_answer(&world, 0, "first");
    cw_world_await_end(caller);
    ck_assert_uint_eq(world.count, 2);
    ck_assert(cw_world_received_in_order(caller, order));
    ck_assert(strstr(cw_world_received(caller), "Connection: close") > strstr(cw_world_received(caller), "first"));
}

START_TEST(a_request_that_asks_to_close_is_the_last_one)
{
    expect_last(GET("/1") "GET /2 HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n" GET("/3"));
    expect_last(GET("/1") "GET /2 HTTP/1.0\r\nHost: a\r\n\r\n" GET("/3"));
}
END_TEST

static void expect_refused(const char *text, const char *status)
{
    cw_listener_world_t world;
    cw_world_caller_t  *caller = begin(&world, text);
    const char *const   order[] = {"first", "second", status, "Connection: close", NULL};

    cw_world_await_requests(&world, 2);
    cw_test_run_some(&world.loop, 50);
    ck_assert_str_eq(cw_world_received(caller), "");
    cw_world_answer(&world, 1, "second");
    cw_world_answer(&world, 0, "first");
    cw_world_await_end(caller);
    ck_assert_uint_eq(world.count, 2);
    ck_assert_msg(cw_world_received_in_order(caller, order), "%s", cw_world_received(caller));
}

START_TEST(a_bad_request_is_answered_in_its_turn_and_is_the_last_one)
{
    char text[4000];

    expect_refused(GET("/1") GET("/2") "no request\r\n\r\n" GET("/3"), "HTTP/1.1 400");
    expect_refused(GET("/1") GET("/2") "POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 9000\r\n\r\n" GET("/3"),
                   "HTTP/1.1 413");
    snprintf(text, sizeof(text), "%sGET /3 HTTP/1.1\r\nLong: %02500d\r\n\r\n%s", GET("/1") GET("/2"), 0, GET("/4"));
    expect_refused(text, "HTTP/1.1 431");
}
END_TEST

START_TEST(empty_lines_between_requests_are_no_requests)
{
    cw_http_limits_t    short_limits = limits;
    cw_listener_world_t world;
    cw_world_caller_t  *caller;

    short_limits.header_timeout = CW_MS(20);
    cw_world_init(&world, &short_limits, &options);
    caller = cw_world_connect(&world);
    cw_world_send_text(caller, GET("/1") "\r\n\r\n" GET("/2") "\r\n");
    cw_world_await_requests(&world, 2);
    cw_world_answer(&world, 0, "first");
    cw_world_answer(&world, 1, "second");
    cw_world_pass(&world, 60);
    ck_assert(!caller->ended);
    ck_assert_ptr_null(strstr(cw_world_received(caller), "HTTP/1.1 408"));
}
END_TEST

START_TEST(a_head_that_does_not_come_to_its_end_is_refused_in_its_turn)
{
    static const char *const order[] = {"first", "HTTP/1.1 408", NULL};
    cw_http_limits_t         short_limits = limits;
    cw_listener_world_t      world;
    cw_world_caller_t       *caller;

    cw_world_init(&world, &limits, &options);
    short_limits.header_timeout = CW_MS(30);
    cw_http_listener_set_limits(world.listener, &short_limits);
    caller = cw_world_connect(&world);
    cw_world_send_text(caller, GET("/1") "GET /2 HT");
    cw_world_await_requests(&world, 1);
    cw_world_pass(&world, 100);
    ck_assert_str_eq(cw_world_received(caller), "");
    cw_world_answer(&world, 0, "first");
    cw_world_await_end(caller);
    ck_assert(cw_world_received_in_order(caller, order));
    ck_assert_uint_eq(world.count, 1);
}
END_TEST

START_TEST(an_abort_lets_the_answers_before_it_out)
{
    cw_listener_world_t world;
    cw_world_caller_t  *caller = begin(&world, GET("/1") GET("/2") GET("/3"));

    cw_world_await_requests(&world, 3);
    cw_http_exchange_abort(world.requests[1].exchange);
    ck_assert(world.requests[2].gone);
    ck_assert(!world.requests[1].gone);
    cw_test_run_some(&world.loop, 20);
    ck_assert(!caller->ended);
    cw_world_answer(&world, 0, "first");
    cw_world_await_end(caller);
    ck_assert_ptr_nonnull(strstr(cw_world_received(caller), "first"));
}
END_TEST

/* ---- a stop ---- */

START_TEST(at_a_stop_the_last_request_that_was_handed_over_closes)
{
    static const char *const order[] = {"first", "Connection: close\r\n\r\nsecond", NULL};
    cw_listener_world_t      world;
    cw_world_caller_t       *caller = begin(&world, GET("/1") GET("/2") POST("/3"));

    cw_world_await_requests(&world, 2);
    cw_http_listener_end_connections(world.listener);
    cw_http_listener_close(world.listener);
    cw_world_send_text(caller, GET("/4"));
    cw_test_run_some(&world.loop, 50);
    ck_assert_uint_eq(cw_http_listener_busy(world.listener), 1);
    cw_world_answer(&world, 1, "second");
    cw_world_answer(&world, 0, "first");
    cw_world_await_end(caller);
    ck_assert_uint_eq(world.count, 2);
    ck_assert_msg(cw_world_received_in_order(caller, order), "%s", cw_world_received(caller));
    ck_assert(strstr(cw_world_received(caller), "Connection: close") > strstr(cw_world_received(caller), "first"));
}
END_TEST

START_TEST(while_stopping_one_request_of_a_connection_is_taken)
{
    cw_listener_world_t world;
    cw_world_caller_t  *caller = begin(&world, "");

    cw_http_listener_end_connections(world.listener);
    cw_world_send_text(caller, GET("/1") GET("/2"));
    cw_world_await_requests(&world, 1);
    cw_test_run_some(&world.loop, 50);
    ck_assert_uint_eq(world.count, 1);
    cw_world_answer(&world, 0, "first");
    cw_world_await_end(caller);
    ck_assert_uint_eq(world.count, 1);
    ck_assert_ptr_nonnull(strstr(cw_world_received(caller), "Connection: close"));
}
END_TEST

/* Its answer has said that the connection stays: the request behind it is taken, and closes. */
START_TEST(at_a_stop_an_unsafe_request_behind_a_written_answer_is_taken_and_closes)
{
    cw_listener_world_t world;
    cw_world_caller_t  *caller = begin(&world, GET("/1") POST("/2") GET("/3"));

    cw_world_await_requests(&world, 1);
    cw_world_answer(&world, 0, "first");
    ck_assert_uint_eq(world.count, 1); /* the second one is handed over by the loop's next turn */
    cw_http_listener_end_connections(world.listener);
    cw_world_pass(&world, 50);
    ck_assert_uint_eq(world.count, 2);
    cw_world_answer(&world, 1, "second");
    cw_world_await_end(caller);
    ck_assert_ptr_nonnull(strstr(cw_world_received(caller), "Connection: close\r\n\r\nsecond"));
    ck_assert_uint_eq(cw_metric_value(CW_METRIC_REQUESTS_DROPPED), 1);
}
END_TEST

/* ---- callers that do not read ---- */

START_TEST(an_answer_that_is_not_read_does_not_stay_for_ever)
{
    static char         long_text[8 << 20];
    cw_http_limits_t    short_limits = limits;
    cw_listener_world_t world;
    cw_world_caller_t  *caller;

    memset(long_text, 'x', sizeof(long_text) - 1);
    short_limits.idle_timeout = CW_MS(30);
    cw_world_init(&world, &short_limits, &options);
    caller = cw_world_connect(&world);
    uv_read_stop((uv_stream_t *)&caller->tcp);
    cw_world_send_text(caller, GET("/1") GET("/2"));
    cw_world_await_requests(&world, 2);
    cw_world_answer(&world, 0, long_text);
    cw_metrics_reset();
    cw_world_await_gone(&world, 1);
    ck_assert(world.requests[1].gone);
    ck_assert_uint_eq(cw_metric_value(CW_METRIC_ANSWERS_CUT), 1);
}
END_TEST

int main(void)
{
    Suite *suite = suite_create("http_pipeline");
    TCase *cases = tcase_create("http_pipeline");

    tcase_add_test(cases, one_that_may_not_be_repeated_has_the_connection_for_itself);
    tcase_add_test(cases, what_is_behind_one_that_was_not_handed_over_is_dropped_with_it);
    tcase_add_test(cases, requests_are_served_side_by_side_and_answered_in_order);
    tcase_add_test(cases, answers_given_at_once_keep_their_order);
    tcase_add_test(cases, the_body_of_an_answer_to_head_is_left_out_in_its_turn);
    tcase_add_test(cases, no_more_than_the_depth_are_taken_up);
    tcase_add_test(cases, answers_that_wait_hold_the_next_request_up);
    tcase_add_test(cases, a_caller_that_sends_without_end_is_held_up);
    tcase_add_test(cases, a_request_that_lay_here_unread_counts_from_its_reading);
    tcase_add_test(cases, a_caller_that_leaves_takes_all_of_its_requests_along);
    tcase_add_test(cases, a_caller_that_leaves_is_seen_while_it_is_not_read);
    tcase_add_test(cases, a_post_waits_for_the_answers_before_it_and_holds_what_is_behind_it);
    tcase_add_test(cases, a_request_that_asks_to_close_is_the_last_one);
    tcase_add_test(cases, a_bad_request_is_answered_in_its_turn_and_is_the_last_one);
    tcase_add_test(cases, empty_lines_between_requests_are_no_requests);
    tcase_add_test(cases, a_head_that_does_not_come_to_its_end_is_refused_in_its_turn);
    tcase_add_test(cases, an_abort_lets_the_answers_before_it_out);
    tcase_add_test(cases, at_a_stop_the_last_request_that_was_handed_over_closes);
    tcase_add_test(cases, while_stopping_one_request_of_a_connection_is_taken);
    tcase_add_test(cases, at_a_stop_an_unsafe_request_behind_a_written_answer_is_taken_and_closes);
    tcase_add_test(cases, an_answer_that_is_not_read_does_not_stay_for_ever);
    suite_add_tcase(suite, cases);
    return cw_test_main(suite);
}
