/**
 * @file test_engine_stop.c
 * @brief Requests of a node that is stopping.
 */
#include <stdlib.h>

#include "engine_fixture.h"

START_TEST(a_request_at_a_server_is_answered_when_the_stop_ends)
{
    engine_fixture_t fixture;
    cw_time_us_t     begun;

    engine_fixture_init(&fixture);
    begun = cw_engine_now(fixture.engine);
    (void)engine_fixture_ask(&fixture, "POST", "/once/x", "15000");
    cw_test_run_until_set(&fixture.loop, &fixture.servers[0].has_request);
    cw_engine_stop(fixture.engine, cw_engine_now(fixture.engine) + CW_MS(30));
    cw_test_run_until_set(&fixture.loop, &fixture.answered);
    ck_assert_int_eq(fixture.result, CW_UPSTREAM_ANSWERED);
    ck_assert_int_eq(fixture.status, 504);                                   /* the request may have run */
    ck_assert_int_lt(cw_engine_now(fixture.engine) - begun, CW_SECONDS(10)); /* before its own time limit */
    ck_assert_uint_eq(cw_engine_requests(fixture.engine), 0);
}
END_TEST

START_TEST(a_waiting_request_is_refused_when_the_stop_ends)
{
    engine_fixture_t fixture;
    cw_time_us_t     begun;

    engine_fixture_init(&fixture);
    begun = cw_engine_now(fixture.engine);
    (void)engine_fixture_ask(&fixture, "GET", "/keyed/x", "15000"); /* the owner of its key is not known */
    while (cw_engine_queued(fixture.engine) == 0) {
        cw_test_run_some(&fixture.loop, 1);
    }
    cw_engine_stop(fixture.engine, cw_engine_now(fixture.engine) + CW_MS(30));
    cw_test_run_until_set(&fixture.loop, &fixture.answered);
    ck_assert_int_eq(fixture.status, 503);
    ck_assert_int_lt(cw_engine_now(fixture.engine) - begun, CW_SECONDS(2));
}
END_TEST

/* Stops the engine as if the stop had begun 60 s ago; it ends in 10 s. */
static void stop_late(engine_fixture_t *fixture)
{
    cw_engine_stop(fixture->engine, cw_engine_now(fixture->engine) + CW_SECONDS(10));
    fixture->engine->stopping_since -= CW_SECONDS(60);
}

START_TEST(late_in_a_stop_only_requests_that_end_in_time_are_accepted)
{
    engine_fixture_t fixture;

    engine_fixture_init(&fixture);
    fixture.servers[0].status = 200;
    stop_late(&fixture);
    (void)engine_fixture_ask(&fixture, "GET", "/safe/x", "15000");
    cw_test_run_until_set(&fixture.loop, &fixture.answered);
    ck_assert_int_eq(fixture.status, 503);
    ck_assert(fixture.retry_after_s > 0 && fixture.retry_after_s < 0.1);
    ck_assert_uint_eq(fixture.servers[0].requests, 0);
    (void)engine_fixture_ask(&fixture, "GET", "/safe/x", "5000");
    cw_test_run_until_set(&fixture.loop, &fixture.answered);
    ck_assert_int_eq(fixture.status, 200);
}
END_TEST

/* In a long stop requests that came after 3 s were cut at its end, while their servers ran them. */
START_TEST(after_three_seconds_of_a_long_stop_only_requests_that_end_in_time_are_accepted)
{
    engine_fixture_t fixture;

    engine_fixture_init(&fixture);
    fixture.servers[0].status = 200;
    cw_engine_stop(fixture.engine, cw_engine_now(fixture.engine) + CW_SECONDS(8));
    fixture.engine->stopping_since -= CW_SECONDS(3);
    (void)engine_fixture_ask(&fixture, "POST", "/once/x", "15000");
    cw_test_run_until_set(&fixture.loop, &fixture.answered);
    ck_assert_int_eq(fixture.status, 503);
    ck_assert_uint_eq(fixture.servers[0].requests, 0);
    (void)engine_fixture_ask(&fixture, "POST", "/once/x", "5000");
    cw_test_run_until_set(&fixture.loop, &fixture.answered);
    ck_assert_int_eq(fixture.status, 200);
}
END_TEST

START_TEST(early_in_a_stop_requests_are_accepted_with_a_shorter_deadline)
{
    engine_fixture_t fixture;

    engine_fixture_init(&fixture);
    fixture.servers[0].status = 200;
    cw_engine_stop(fixture.engine, cw_engine_now(fixture.engine) + CW_SECONDS(10));
    (void)engine_fixture_ask(&fixture, "GET", "/safe/x", "15000");
    cw_test_run_until_set(&fixture.loop, &fixture.answered);
    ck_assert_int_eq(fixture.status, 200);
    ck_assert_int_le(atoi(fixture.servers[0].deadline), 10000);
}
END_TEST

int main(void)
{
    Suite *suite = suite_create("engine, a stop");
    TCase *cases = tcase_create("engine, a stop");

    tcase_set_timeout(cases, 60);
    tcase_add_test(cases, a_request_at_a_server_is_answered_when_the_stop_ends);
    tcase_add_test(cases, a_waiting_request_is_refused_when_the_stop_ends);
    tcase_add_test(cases, late_in_a_stop_only_requests_that_end_in_time_are_accepted);
    tcase_add_test(cases, after_three_seconds_of_a_long_stop_only_requests_that_end_in_time_are_accepted);
    tcase_add_test(cases, early_in_a_stop_requests_are_accepted_with_a_shorter_deadline);
    suite_add_tcase(suite, cases);
    return cw_test_main(suite);
}
