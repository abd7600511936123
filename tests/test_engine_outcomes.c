/**
 * @file test_engine_outcomes.c
 * @brief What the outcome of an attempt allows next, and which answer the caller gets.
 */
#include <unistd.h>

#include "engine_fixture.h"

/* s0 is busy, and s1 has the request but does not answer. After that the estimate puts the request's turn beyond its
 * deadline. */
START_TEST(a_request_taken_from_an_unresponsive_server_is_not_refused_by_an_estimate)
{
    engine_fixture_t fixture;
    cw_time_us_t     end;

    engine_fixture_init_with_repeat_factor(&fixture, 0.01);
    (void)engine_fixture_ask(&fixture, "POST", "/once/x", "15000"); /* not repeatable: it stays at s0 */
    cw_test_run_until_set(&fixture.loop, &fixture.servers[0].has_request);
    (void)engine_fixture_ask(&fixture, "GET", "/safe/x", "15000");
    cw_test_run_until_set(&fixture.loop, &fixture.servers[1].has_request);
    cw_engine_set_queued_elsewhere(fixture.engine, "service", 100000);
    while (fixture.servers[1].cancelled == 0) { /* until the request is taken from s1, which does not answer */
        cw_test_run_some(&fixture.loop, 1);
        usleep(ENGINE_FIXTURE_PAUSE_US);
    }
    end = cw_engine_now(fixture.engine) + CW_MS(200);
    while (cw_engine_now(fixture.engine) < end) {
        cw_engine_wake(fixture.engine);
        cw_test_run_some(&fixture.loop, 1);
        usleep(ENGINE_FIXTURE_PAUSE_US);
    }
    ck_assert(!fixture.answered);
}
END_TEST

START_TEST(a_request_that_was_not_run_goes_to_another_server_even_if_not_repeatable)
{
    engine_fixture_t fixture;

    engine_fixture_init(&fixture);
    fixture.servers[0].status = 503;
    fixture.servers[0].not_run = true;
    fixture.servers[1].status = 200;
    (void)engine_fixture_ask(&fixture, "POST", "/once/x", "15000");
    cw_test_run_until_set(&fixture.loop, &fixture.answered);
    ck_assert_int_eq(fixture.status, 200);
    ck_assert_str_eq(fixture.body.data, "s1");
}
END_TEST

START_TEST(a_503_without_the_denial_field_does_not_count_as_not_run)
{
    engine_fixture_t fixture;

    engine_fixture_init(&fixture);
    fixture.servers[0].status = 503;
    (void)engine_fixture_ask(&fixture, "POST", "/once/x", "15000");
    cw_test_run_until_set(&fixture.loop, &fixture.answered);
    ck_assert_int_eq(fixture.status, 502);
    ck_assert_uint_eq(fixture.servers[0].requests + fixture.servers[1].requests, 1);
}
END_TEST

START_TEST(a_broken_answer_is_502_where_the_request_may_have_run)
{
    engine_fixture_t fixture;

    engine_fixture_init(&fixture);
    (void)engine_fixture_ask(&fixture, "POST", "/once/x", "15000");
    cw_test_run_until_set(&fixture.loop, &fixture.servers[0].has_request);
    cw_http_exchange_abort(fixture.servers[0].exchange);
    cw_test_run_until_set(&fixture.loop, &fixture.answered);
    ck_assert_int_eq(fixture.status, 502);
    ck_assert_uint_eq(fixture.servers[1].requests, 0);
}
END_TEST

START_TEST(a_repeatable_request_with_a_broken_answer_is_repeated)
{
    engine_fixture_t fixture;

    engine_fixture_init(&fixture);
    cw_engine_set_nodes(fixture.engine, 1, 0);
    fixture.servers[1].status = 200;
    (void)engine_fixture_ask(&fixture, "GET", "/safe/x", "15000");
    cw_test_run_until_set(&fixture.loop, &fixture.servers[0].has_request);
    cw_http_exchange_abort(fixture.servers[0].exchange);
    cw_test_run_until_set(&fixture.loop, &fixture.answered);
    ck_assert_int_eq(fixture.status, 200);
    ck_assert_str_eq(fixture.body.data, "s1");
}
END_TEST

START_TEST(without_retry_budget_nothing_is_repeated)
{
    engine_fixture_t fixture;

    engine_fixture_init(&fixture);
    cw_engine_set_nodes(fixture.engine, 0, 0);
    (void)engine_fixture_ask(&fixture, "GET", "/safe/x", "15000");
    cw_test_run_until_set(&fixture.loop, &fixture.servers[0].has_request);
    cw_http_exchange_abort(fixture.servers[0].exchange);
    cw_test_run_until_set(&fixture.loop, &fixture.answered);
    ck_assert_int_eq(fixture.status, 502);
}
END_TEST

/* The repeat finds no server. The request has run, so it must not be refused as if it had not. */
START_TEST(a_request_that_got_a_500_is_not_refused_as_not_run)
{
    engine_fixture_t fixture;

    engine_fixture_init(&fixture);
    fixture.servers[0].status = 500;
    (void)engine_fixture_ask(&fixture, "GET", "/far/x", "15000"); /* takes the only slot of s1 */
    cw_test_run_until_set(&fixture.loop, &fixture.servers[1].has_request);
    (void)engine_fixture_ask(&fixture, "GET", "/safe/x", "1300");
    cw_test_run_until_set(&fixture.loop, &fixture.answered);
    ck_assert_uint_eq(fixture.servers[0].requests, 1);
    ck_assert_int_eq(fixture.status, 504);
    ck_assert_double_lt(fixture.retry_after_s, 0);
}
END_TEST

START_TEST(a_request_at_a_server_gets_504_at_its_time_limit)
{
    engine_fixture_t fixture;

    engine_fixture_init(&fixture);
    (void)engine_fixture_ask(&fixture, "POST", "/once/x", "60");
    cw_test_run_until_set(&fixture.loop, &fixture.answered);
    ck_assert_int_eq(fixture.status, 504);
}
END_TEST

START_TEST(an_address_with_another_incarnation_gets_no_further_request)
{
    engine_fixture_t fixture;

    engine_fixture_init(&fixture);
    cw_engine_set_nodes(fixture.engine, 1, 0);
    fixture.servers[0].status = 421;
    fixture.servers[0].instance = "someone-else";
    fixture.servers[1].status = 200;
    (void)engine_fixture_ask(&fixture, "GET", "/safe/x", "15000");
    cw_test_run_until_set(&fixture.loop, &fixture.answered);
    ck_assert_int_eq(fixture.status, 200);
    (void)engine_fixture_ask(&fixture, "GET", "/safe/y", "15000");
    cw_test_run_until_set(&fixture.loop, &fixture.answered);
    ck_assert_uint_eq(fixture.servers[0].requests, 1);
}
END_TEST

int main(void)
{
    Suite *suite = suite_create("engine, outcomes");
    TCase *cases = tcase_create("engine, outcomes");

    tcase_set_timeout(cases, 60);
    tcase_add_test(cases, a_request_taken_from_an_unresponsive_server_is_not_refused_by_an_estimate);
    tcase_add_test(cases, a_request_that_was_not_run_goes_to_another_server_even_if_not_repeatable);
    tcase_add_test(cases, a_503_without_the_denial_field_does_not_count_as_not_run);
    tcase_add_test(cases, a_broken_answer_is_502_where_the_request_may_have_run);
    tcase_add_test(cases, a_repeatable_request_with_a_broken_answer_is_repeated);
    tcase_add_test(cases, without_retry_budget_nothing_is_repeated);
    tcase_add_test(cases, a_request_that_got_a_500_is_not_refused_as_not_run);
    tcase_add_test(cases, a_request_at_a_server_gets_504_at_its_time_limit);
    tcase_add_test(cases, an_address_with_another_incarnation_gets_no_further_request);
    suite_add_tcase(suite, cases);
    return cw_test_main(suite);
}
