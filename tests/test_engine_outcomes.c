/**
 * @file test_engine_outcomes.c
 * @brief What the outcome of a sending allows next, and what its caller gets.
 */
#include <unistd.h>

#include "engine_world.h"

/* s0 is busy, s1 has the request and is silent; then the request's turn seems to lie beyond its deadline. */
START_TEST(what_was_taken_from_a_silent_server_is_not_given_up_by_an_estimate)
{
    engine_fixture_t fixture;
    cw_time_us_t     end;

    engine_fixture_init_with_silence(&fixture, 0.01);
    (void)engine_fixture_ask(&fixture, "POST", "/once/x", "15000"); /* not to be repeated: it stays */
    cw_test_run_until_set(&fixture.loop, &fixture.servers[0].has_request);
    (void)engine_fixture_ask(&fixture, "GET", "/safe/x", "15000");
    cw_test_run_until_set(&fixture.loop, &fixture.servers[1].has_request);
    cw_engine_set_queued_elsewhere(fixture.engine, "service", 100000);
    while (fixture.servers[1].gone == 0) { /* taken from s1, which does not answer */
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

START_TEST(what_a_server_did_not_run_goes_to_another_even_if_it_must_not_be_repeated)
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

START_TEST(a_503_without_that_word_is_no_promise)
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

START_TEST(a_broken_answer_is_502_where_it_may_have_run)
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

START_TEST(a_broken_answer_is_asked_for_again_where_that_may_be)
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

START_TEST(without_budget_nothing_is_repeated)
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

/* The repeat finds no server: what has run is not refused as if it had not. */
START_TEST(what_a_server_answered_with_500_ends_with_no_promise)
{
    engine_fixture_t fixture;

    engine_fixture_init(&fixture);
    fixture.servers[0].status = 500;
    (void)engine_fixture_ask(&fixture, "GET", "/far/x", "15000"); /* takes the only slot of the other server */
    cw_test_run_until_set(&fixture.loop, &fixture.servers[1].has_request);
    (void)engine_fixture_ask(&fixture, "GET", "/safe/x", "1300");
    cw_test_run_until_set(&fixture.loop, &fixture.answered);
    ck_assert_uint_eq(fixture.servers[0].requests, 1);
    ck_assert_int_eq(fixture.status, 504);
    ck_assert_double_lt(fixture.retry_after_s, 0);
}
END_TEST

START_TEST(the_time_limit_ends_what_is_at_a_server_with_504)
{
    engine_fixture_t fixture;

    engine_fixture_init(&fixture);
    (void)engine_fixture_ask(&fixture, "POST", "/once/x", "60");
    cw_test_run_until_set(&fixture.loop, &fixture.answered);
    ck_assert_int_eq(fixture.status, 504);
}
END_TEST

START_TEST(another_life_at_the_address_is_not_asked_twice)
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
    tcase_add_test(cases, what_was_taken_from_a_silent_server_is_not_given_up_by_an_estimate);
    tcase_add_test(cases, what_a_server_did_not_run_goes_to_another_even_if_it_must_not_be_repeated);
    tcase_add_test(cases, a_503_without_that_word_is_no_promise);
    tcase_add_test(cases, a_broken_answer_is_502_where_it_may_have_run);
    tcase_add_test(cases, a_broken_answer_is_asked_for_again_where_that_may_be);
    tcase_add_test(cases, without_budget_nothing_is_repeated);
    tcase_add_test(cases, what_a_server_answered_with_500_ends_with_no_promise);
    tcase_add_test(cases, the_time_limit_ends_what_is_at_a_server_with_504);
    tcase_add_test(cases, another_life_at_the_address_is_not_asked_twice);
    suite_add_tcase(suite, cases);
    return cw_test_main(suite);
}
