/**
 * @file test_engine_stop.c
 * @brief Requests of a node that stops.
 */
#include <stdlib.h>

#include "engine_fixture.h"

START_TEST(what_is_under_way_when_a_stop_ends_is_answered)
{
    engine_world_t world;
    cw_time_us_t   begun;

    engine_world_init(&world);
    begun = cw_engine_now(world.engine);
    (void)engine_world_ask(&world, "POST", "/once/x", "15000");
    cw_test_run_until_set(&world.loop, &world.servers[0].has_request);
    cw_engine_stop(world.engine, cw_engine_now(world.engine) + CW_MS(30));
    cw_test_run_until_set(&world.loop, &world.answered);
    ck_assert_int_eq(world.result, CW_UPSTREAM_ANSWERED);
    ck_assert_int_eq(world.status, 504);                                   /* it may have run */
    ck_assert_int_lt(cw_engine_now(world.engine) - begun, CW_SECONDS(10)); /* not by its own limit */
    ck_assert_uint_eq(cw_engine_requests(world.engine), 0);
}
END_TEST

START_TEST(what_waits_when_a_stop_ends_is_refused)
{
    engine_world_t world;
    cw_time_us_t   begun;

    engine_world_init(&world);
    begun = cw_engine_now(world.engine);
    (void)engine_world_ask(&world, "GET", "/keyed/x", "15000"); /* no owner of its key is known */
    while (cw_engine_queued(world.engine) == 0) {
        cw_test_run_some(&world.loop, 1);
    }
    cw_engine_stop(world.engine, cw_engine_now(world.engine) + CW_MS(30));
    cw_test_run_until_set(&world.loop, &world.answered);
    ck_assert_int_eq(world.status, 503);
    ck_assert_int_lt(cw_engine_now(world.engine) - begun, CW_SECONDS(2));
}
END_TEST

/* The stop began long ago, and ends in ten seconds. */
static void stop_late(engine_world_t *world)
{
    cw_engine_stop(world->engine, cw_engine_now(world->engine) + CW_SECONDS(10));
    world->engine->stopping_since -= CW_SECONDS(60);
}

START_TEST(late_in_a_stop_only_what_surely_ends_is_taken)
{
    engine_world_t world;

    engine_world_init(&world);
    world.servers[0].status = 200;
    stop_late(&world);
    (void)engine_world_ask(&world, "GET", "/safe/x", "15000");
    cw_test_run_until_set(&world.loop, &world.answered);
    ck_assert_int_eq(world.status, 503);
    ck_assert(world.retry_after_s > 0 && world.retry_after_s < 0.1);
    ck_assert_uint_eq(world.servers[0].requests, 0);
    (void)engine_world_ask(&world, "GET", "/safe/x", "5000");
    cw_test_run_until_set(&world.loop, &world.answered);
    ck_assert_int_eq(world.status, 200);
}
END_TEST

START_TEST(early_in_a_stop_a_request_is_taken_and_its_time_is_cut)
{
    engine_world_t world;

    engine_world_init(&world);
    world.servers[0].status = 200;
    cw_engine_stop(world.engine, cw_engine_now(world.engine) + CW_SECONDS(10));
    (void)engine_world_ask(&world, "GET", "/safe/x", "15000");
    cw_test_run_until_set(&world.loop, &world.answered);
    ck_assert_int_eq(world.status, 200);
    ck_assert_int_le(atoi(world.servers[0].deadline), 10000);
}
END_TEST

int main(void)
{
    Suite *suite = suite_create("engine, a stop");
    TCase *cases = tcase_create("engine, a stop");

    tcase_set_timeout(cases, 60);
    tcase_add_test(cases, what_is_under_way_when_a_stop_ends_is_answered);
    tcase_add_test(cases, what_waits_when_a_stop_ends_is_refused);
    tcase_add_test(cases, late_in_a_stop_only_what_surely_ends_is_taken);
    tcase_add_test(cases, early_in_a_stop_a_request_is_taken_and_its_time_is_cut);
    suite_add_tcase(suite, cases);
    return cw_test_main(suite);
}
