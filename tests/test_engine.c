/**
 * @file test_engine.c
 * @brief A request's way through the engine: routes, queue, keys, splits.
 */
#include <stdlib.h>
#include <unistd.h>

#include "engine_fixture.h"

START_TEST(an_answer_comes_back_whole_with_the_deadline_and_target_passed_on)
{
    engine_world_t world;

    engine_world_init(&world);
    world.servers[0].status = 200;
    (void)engine_world_ask(&world, "GET", "/safe/x", "15000");
    cw_test_run_until_set(&world.loop, &world.answered);
    ck_assert_int_eq(world.status, 200);
    ck_assert_str_eq(world.body.data, "s0");
    ck_assert_str_eq(world.servers[0].target, "s0");
    ck_assert_int_le(atoi(world.servers[0].deadline), 15000);
    ck_assert_int_gt(atoi(world.servers[0].deadline), 0);
}
END_TEST

/* Both servers are busy, and a third request waits for longer than a fifth of its objective. */
static void begin_waiting(engine_world_t *world)
{
    cw_time_us_t end;

    engine_world_init(world);
    (void)engine_world_ask(world, "GET", "/safe/x", "15000");
    (void)engine_world_ask(world, "GET", "/safe/y", "15000");
    cw_test_run_until_set(&world->loop, &world->servers[0].has_request);
    cw_test_run_until_set(&world->loop, &world->servers[1].has_request);
    (void)engine_world_ask(world, "GET", "/safe/z", "15000");
    end = cw_engine_now(world->engine) + CW_MS(2200);
    while (cw_engine_queued(world->engine) == 0 || cw_engine_now(world->engine) < end) {
        cw_test_run_some(&world->loop, 1);
        usleep(ENGINE_WORLD_PAUSE_US);
    }
}

START_TEST(what_can_no_longer_be_served_is_refused_at_once)
{
    engine_world_t world;
    cw_time_us_t   begun;

    begin_waiting(&world);
    begun = cw_engine_now(world.engine);
    cw_engine_set_queued_elsewhere(world.engine, "service", 1000);
    cw_engine_wake(world.engine);
    cw_test_run_until_set(&world.loop, &world.answered);
    ck_assert_int_eq(world.status, 503);
    ck_assert_int_lt(cw_engine_now(world.engine) - begun, CW_SECONDS(5)); /* its deadline lies beyond */
}
END_TEST

START_TEST(what_was_let_in_waits_though_it_will_be_late)
{
    engine_world_t world;

    begin_waiting(&world);
    cw_engine_set_queued_elsewhere(world.engine, "service", 4); /* its turn comes after its objective */
    cw_engine_wake(world.engine);
    cw_test_run_some(&world.loop, 20);
    ck_assert(!world.answered);
    ck_assert_uint_eq(cw_engine_queued(world.engine), 1);
}
END_TEST

START_TEST(no_route_is_404_and_no_configuration_is_503)
{
    engine_world_t world;

    engine_world_init(&world);
    (void)engine_world_ask(&world, "GET", "/nowhere", "1000");
    cw_test_run_until_set(&world.loop, &world.answered);
    ck_assert_int_eq(world.status, 404);
}
END_TEST

START_TEST(no_server_gets_more_than_its_slots)
{
    engine_world_t world;

    engine_world_init(&world);
    (void)engine_world_ask(&world, "GET", "/safe/1", "15000");
    (void)engine_world_ask(&world, "GET", "/safe/2", "15000");
    (void)engine_world_ask(&world, "GET", "/safe/3", "15000");
    while (world.servers[0].requests == 0 || world.servers[1].requests == 0 || cw_engine_requests(world.engine) < 3) {
        uv_run(&world.loop, UV_RUN_ONCE);
    }
    cw_test_run_some(&world.loop, 20);
    ck_assert_uint_eq(cw_engine_queued(world.engine), 1);
    ck_assert_uint_eq(world.servers[0].requests + world.servers[1].requests, 2);
    world.servers[0].status = 200;
    engine_server_answer(&world.servers[0], 200, "first", NULL);
    while (world.servers[0].requests + world.servers[1].requests < 3) {
        uv_run(&world.loop, UV_RUN_ONCE);
    }
    ck_assert_uint_eq(cw_engine_queued(world.engine), 0);
}
END_TEST

START_TEST(a_key_goes_to_its_owner_only_and_waits_while_it_moves)
{
    engine_world_t world;
    cw_key_route_t routes[2] = {{.low = 0, .last = 999, .server = "s1", .fence = 4, .routable = false},
                                {.low = 1000, .last = 65535, .server = "s0", .fence = 5, .routable = true}};

    engine_world_init(&world);
    world.servers[0].status = 200;
    world.servers[1].status = 200;
    cw_engine_set_tables_valid(world.engine, 0, INT64_MAX);
    cw_engine_set_table(world.engine, "keyed", routes, 2, 1);
    (void)engine_world_ask(&world, "GET", "/keyed/x", "15000");
    cw_test_run_some(&world.loop, 30);
    while (cw_engine_queued(world.engine) == 0) {
        uv_run(&world.loop, UV_RUN_ONCE);
    }
    routes[0].routable = true;
    cw_engine_set_table(world.engine, "keyed", routes, 2, 2);
    cw_test_run_until_set(&world.loop, &world.answered);
    ck_assert_str_eq(world.body.data, "s1");
    ck_assert_uint_eq(world.servers[0].requests, 0);
}
END_TEST

START_TEST(what_waits_elsewhere_for_the_owner_counts_in_the_wait)
{
    engine_world_t     world;
    cw_key_route_t     route = {.low = 0, .last = 65535, .server = "s1", .fence = 4, .routable = true};
    cw_server_report_t report = {.under_way = 1};

    engine_world_init(&world);
    cw_engine_set_tables_valid(world.engine, 0, INT64_MAX);
    cw_engine_set_table(world.engine, "keyed", &route, 1, 1);
    report.hash = cw_server_pool_find(world.pool, "s1")->hash;
    cw_server_pool_apply_report(world.pool, 9, &report, 1, cw_engine_now(world.engine));
    (void)engine_world_ask(&world, "GET", "/keyed/x", "15000");
    while (cw_engine_queued(world.engine) == 0) {
        uv_run(&world.loop, UV_RUN_ONCE);
    }
    cw_test_run_some(&world.loop, 20);
    ck_assert(!world.answered); /* just one is before it */
    report.waiting = 100000;
    cw_server_pool_apply_report(world.pool, 9, &report, 1, cw_engine_now(world.engine));
    cw_engine_wake(world.engine);
    cw_test_run_until_set(&world.loop, &world.answered);
    ck_assert_int_eq(world.status, 503);
    ck_assert_uint_eq(world.servers[1].requests, 0);
}
END_TEST

START_TEST(an_old_table_is_not_used)
{
    engine_world_t world;
    cw_key_route_t route = {.low = 0, .last = 65535, .server = "s1", .fence = 4, .routable = true};

    engine_world_init(&world);
    cw_engine_set_tables_valid(world.engine, 0, 1);
    cw_engine_set_table(world.engine, "keyed", &route, 1, 1);
    (void)engine_world_ask(&world, "GET", "/keyed/x", "100");
    cw_test_run_until_set(&world.loop, &world.answered);
    ck_assert_int_eq(world.status, 503);
    ck_assert_double_gt(world.retry_after_s, 0);
    ck_assert_uint_eq(world.servers[1].requests, 0);
}
END_TEST

START_TEST(splits_keep_their_weights)
{
    engine_world_t      world;
    cw_configuration_t *configuration;
    cw_route_t         *route;
    uint32_t            index;

    engine_world_init(&world);
    configuration = cw_configuration_create(2);
    route = engine_world_add_route(configuration, "split", true);
    cw_route_add_part(route, "service", 3);
    cw_route_add_part(route, "nobody", 1);
    engine_world_use(&world, configuration);
    world.servers[0].status = 200;
    for (index = 0; index < 40; index++) {
        (void)engine_world_ask(&world, "GET", "/split/x", "50");
        cw_test_run_until_set(&world.loop, &world.answered);
    }
    ck_assert_uint_eq(world.servers[0].requests, 30);
}
END_TEST

int main(void)
{
    Suite *suite = suite_create("engine");
    TCase *cases = tcase_create("engine");

    tcase_set_timeout(cases, 60);
    tcase_add_test(cases, an_answer_comes_back_whole_with_the_deadline_and_target_passed_on);
    tcase_add_test(cases, what_can_no_longer_be_served_is_refused_at_once);
    tcase_add_test(cases, what_was_let_in_waits_though_it_will_be_late);
    tcase_add_test(cases, no_route_is_404_and_no_configuration_is_503);
    tcase_add_test(cases, no_server_gets_more_than_its_slots);
    tcase_add_test(cases, a_key_goes_to_its_owner_only_and_waits_while_it_moves);
    tcase_add_test(cases, what_waits_elsewhere_for_the_owner_counts_in_the_wait);
    tcase_add_test(cases, an_old_table_is_not_used);
    tcase_add_test(cases, splits_keep_their_weights);
    suite_add_tcase(suite, cases);
    return cw_test_main(suite);
}
