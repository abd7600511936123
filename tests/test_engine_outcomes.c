/**
 * @file test_engine_outcomes.c
 * @brief What the outcome of a sending allows next, and what its caller gets.
 */
#include <unistd.h>

#include "engine_fixture.h"

/* s0 is busy, s1 has the request and is silent; then the request's turn seems to lie beyond its deadline. */
START_TEST(what_was_taken_from_a_silent_server_is_not_given_up_by_an_estimate)
{
    engine_world_t world;
    cw_time_us_t   end;

    engine_world_init_with_silence(&world, 0.01);
    (void)engine_world_ask(&world, "POST", "/once/x", "15000"); /* not to be repeated: it stays */
    cw_test_run_until_set(&world.loop, &world.servers[0].has_request);
    (void)engine_world_ask(&world, "GET", "/safe/x", "15000");
    cw_test_run_until_set(&world.loop, &world.servers[1].has_request);
    cw_engine_set_queued_elsewhere(world.engine, "service", 100000);
    while (world.servers[1].gone == 0) { /* taken from s1, which does not answer */
        cw_test_run_some(&world.loop, 1);
        usleep(ENGINE_WORLD_PAUSE_US);
    }
    end = cw_engine_now(world.engine) + CW_MS(200);
    while (cw_engine_now(world.engine) < end) {
        cw_engine_wake(world.engine);
        cw_test_run_some(&world.loop, 1);
        usleep(ENGINE_WORLD_PAUSE_US);
    }
    ck_assert(!world.answered);
}
END_TEST

START_TEST(what_a_server_did_not_run_goes_to_another_even_if_it_must_not_be_repeated)
{
    engine_world_t world;

    engine_world_init(&world);
    world.servers[0].status = 503;
    world.servers[0].not_run = true;
    world.servers[1].status = 200;
    (void)engine_world_ask(&world, "POST", "/once/x", "15000");
    cw_test_run_until_set(&world.loop, &world.answered);
    ck_assert_int_eq(world.status, 200);
    ck_assert_str_eq(world.body.data, "s1");
}
END_TEST

START_TEST(a_503_without_that_word_is_no_promise)
{
    engine_world_t world;

    engine_world_init(&world);
    world.servers[0].status = 503;
    (void)engine_world_ask(&world, "POST", "/once/x", "15000");
    cw_test_run_until_set(&world.loop, &world.answered);
    ck_assert_int_eq(world.status, 502);
    ck_assert_uint_eq(world.servers[0].requests + world.servers[1].requests, 1);
}
END_TEST

START_TEST(a_broken_answer_is_502_where_it_may_have_run)
{
    engine_world_t world;

    engine_world_init(&world);
    (void)engine_world_ask(&world, "POST", "/once/x", "15000");
    cw_test_run_until_set(&world.loop, &world.servers[0].has_request);
    cw_http_exchange_abort(world.servers[0].exchange);
    cw_test_run_until_set(&world.loop, &world.answered);
    ck_assert_int_eq(world.status, 502);
    ck_assert_uint_eq(world.servers[1].requests, 0);
}
END_TEST

START_TEST(a_broken_answer_is_asked_for_again_where_that_may_be)
{
    engine_world_t world;

    engine_world_init(&world);
    cw_engine_set_nodes(world.engine, 1, 0);
    world.servers[1].status = 200;
    (void)engine_world_ask(&world, "GET", "/safe/x", "15000");
    cw_test_run_until_set(&world.loop, &world.servers[0].has_request);
    cw_http_exchange_abort(world.servers[0].exchange);
    cw_test_run_until_set(&world.loop, &world.answered);
    ck_assert_int_eq(world.status, 200);
    ck_assert_str_eq(world.body.data, "s1");
}
END_TEST

START_TEST(without_budget_nothing_is_repeated)
{
    engine_world_t world;

    engine_world_init(&world);
    cw_engine_set_nodes(world.engine, 0, 0);
    (void)engine_world_ask(&world, "GET", "/safe/x", "15000");
    cw_test_run_until_set(&world.loop, &world.servers[0].has_request);
    cw_http_exchange_abort(world.servers[0].exchange);
    cw_test_run_until_set(&world.loop, &world.answered);
    ck_assert_int_eq(world.status, 502);
}
END_TEST

/* The repeat finds no server: what has run is not refused as if it had not. */
START_TEST(what_a_server_answered_with_500_ends_with_no_promise)
{
    engine_world_t world;

    engine_world_init(&world);
    world.servers[0].status = 500;
    (void)engine_world_ask(&world, "GET", "/far/x", "15000"); /* takes the only slot of the other server */
    cw_test_run_until_set(&world.loop, &world.servers[1].has_request);
    (void)engine_world_ask(&world, "GET", "/safe/x", "1300");
    cw_test_run_until_set(&world.loop, &world.answered);
    ck_assert_uint_eq(world.servers[0].requests, 1);
    ck_assert_int_eq(world.status, 504);
    ck_assert_double_lt(world.retry_after_s, 0);
}
END_TEST

START_TEST(the_time_limit_ends_what_is_at_a_server_with_504)
{
    engine_world_t world;

    engine_world_init(&world);
    (void)engine_world_ask(&world, "POST", "/once/x", "60");
    cw_test_run_until_set(&world.loop, &world.answered);
    ck_assert_int_eq(world.status, 504);
}
END_TEST

START_TEST(another_life_at_the_address_is_not_asked_twice)
{
    engine_world_t world;

    engine_world_init(&world);
    cw_engine_set_nodes(world.engine, 1, 0);
    world.servers[0].status = 421;
    world.servers[0].instance = "someone-else";
    world.servers[1].status = 200;
    (void)engine_world_ask(&world, "GET", "/safe/x", "15000");
    cw_test_run_until_set(&world.loop, &world.answered);
    ck_assert_int_eq(world.status, 200);
    (void)engine_world_ask(&world, "GET", "/safe/y", "15000");
    cw_test_run_until_set(&world.loop, &world.answered);
    ck_assert_uint_eq(world.servers[0].requests, 1);
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
