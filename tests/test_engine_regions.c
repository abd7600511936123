/**
 * @file test_engine_regions.c
 * @brief Requests that are bound to regions, and requests that leave theirs.
 */
#include "base/metrics.h"
#include "engine_fixture.h"

START_TEST(a_request_goes_only_to_servers_in_the_regions_of_its_route)
{
    engine_world_t world;

    engine_world_init(&world);
    world.servers[0].status = 200;
    world.servers[1].status = 200;
    (void)engine_world_ask(&world, "GET", "/far/x", "15000"); /* though s0 is nearer */
    cw_test_run_until_set(&world.loop, &world.answered);
    ck_assert_int_eq(world.status, 200);
    ck_assert_uint_eq(world.servers[0].requests, 0);
    (void)engine_world_ask(&world, "GET", "/elsewhere/x", "15000"); /* no server lies there */
    cw_test_run_until_set(&world.loop, &world.answered);
    ck_assert_int_eq(world.status, 503);
    ck_assert(world.retry_after_s > 0);
    ck_assert_uint_eq(world.servers[0].requests, 0);
}
END_TEST

START_TEST(what_is_bound_to_regions_is_let_in_by_the_speed_of_their_servers)
{
    engine_world_t world;

    engine_world_init(&world);
    cw_server_pool_find(world.pool, "s1")->pace = 1.2; /* two before it take it beyond its objective there */
    cw_server_pool_find(world.pool, "s1")->pace_at = cw_engine_now(world.engine);
    (void)engine_world_ask(&world, "GET", "/far/1", "15000");
    cw_test_run_until_set(&world.loop, &world.servers[1].has_request);
    (void)engine_world_ask(&world, "GET", "/far/2", "15000");
    while (cw_engine_queued(world.engine) == 0) {
        uv_run(&world.loop, UV_RUN_ONCE);
    }
    (void)engine_world_ask(&world, "GET", "/far/3", "16000");
    cw_test_run_until_set(&world.loop, &world.answered);
    ck_assert_int_eq(world.status, 503);
    ck_assert_uint_eq(cw_engine_queued(world.engine), 1);
}
END_TEST

/* The near server has a request; the far one has none. Usual times are a third of 10 s, so its slot comes in 3.3 s. */
static void begin_with_near_server_taken(engine_world_t *world)
{
    engine_world_init_with_crossing(world, 100000); /* 6 s for the body, 80 ms for what has none */
    world->servers[1].status = 200;
    (void)engine_world_ask(world, "GET", "/safe/x", "15000");
    cw_test_run_until_set(&world->loop, &world->servers[0].has_request);
    ck_assert_uint_eq(world->servers[1].requests, 0);
}

START_TEST(a_large_body_waits_for_a_server_of_its_region)
{
    engine_world_t world;

    begin_with_near_server_taken(&world);
    (void)engine_world_upload(&world, "/once/x");
    while (cw_engine_queued(world.engine) == 0) {
        uv_run(&world.loop, UV_RUN_ONCE);
    }
    cw_test_run_some(&world.loop, 20);
    ck_assert_uint_eq(world.servers[1].requests, 0);
    world.answered = false;
    engine_server_answer(&world.servers[0], 200, "s0", NULL);
    cw_test_run_until_set(&world.loop, &world.answered);
    world.servers[0].status = 200;
    while (world.servers[0].requests < 2) {
        uv_run(&world.loop, UV_RUN_ONCE);
    }
    ck_assert_uint_eq(world.servers[1].requests, 0);
}
END_TEST

START_TEST(a_short_request_crosses_rather_than_wait)
{
    engine_world_t world;

    begin_with_near_server_taken(&world);
    (void)engine_world_ask(&world, "GET", "/safe/y", "15000");
    cw_test_run_until_set(&world.loop, &world.answered);
    ck_assert_int_eq(world.status, 200);
    ck_assert_str_eq(world.body.data, "s1");
}
END_TEST

START_TEST(a_large_body_crosses_when_its_region_has_lost_its_servers)
{
    engine_world_t world;

    begin_with_near_server_taken(&world);
    cw_server_pool_record_fault(cw_server_pool_find(world.pool, "s0"), cw_engine_now(world.engine));
    cw_server_pool_record_fault(cw_server_pool_find(world.pool, "s0"), cw_engine_now(world.engine));
    (void)engine_world_upload(&world, "/once/x");
    cw_test_run_until_set(&world.loop, &world.answered);
    ck_assert_int_eq(world.status, 200);
    ck_assert_str_eq(world.body.data, "s1");
}
END_TEST

START_TEST(a_request_comes_back_from_a_region_that_is_cut_off)
{
    engine_world_t world;

    begin_with_near_server_taken(&world);
    cw_http_listener_close(world.servers[1].listener); /* connections there are refused */
    cw_test_run_some(&world.loop, 5);
    (void)engine_world_ask(&world, "GET", "/safe/y", "15000");
    while (cw_server_pool_find(world.pool, "s1")->faults == 0) {
        uv_run(&world.loop, UV_RUN_ONCE);
    }
    world.servers[0].status = 200;
    engine_server_answer(&world.servers[0], 200, "s0", NULL);
    while (world.servers[0].requests < 2) {
        uv_run(&world.loop, UV_RUN_ONCE);
    }
    cw_test_run_until_set(&world.loop, &world.answered);
    ck_assert_int_eq(world.status, 200);
    ck_assert_uint_eq(world.servers[1].requests, 0);
}
END_TEST

/* The other route to the service may send to the owner. */
START_TEST(what_may_not_go_to_its_keys_owner_is_refused_at_once_with_that_reason)
{
    cw_key_route_t route = {.low = 0, .last = 65535, .fence = 1, .routable = true, .server = "s0"};
    uint64_t       refused = cw_metric_value(CW_METRIC_REFUSED_REGIONS);
    engine_world_t world;
    cw_time_us_t   begun;

    engine_world_init(&world);
    world.servers[0].status = 200;
    cw_engine_set_table(world.engine, "keyed", &route, 1, 1);
    cw_engine_set_tables_valid(world.engine, cw_engine_now(world.engine), cw_engine_now(world.engine) + CW_SECONDS(30));
    begun = cw_engine_now(world.engine);
    (void)engine_world_ask(&world, "GET", "/far-keyed/x", "15000");
    cw_test_run_until_set(&world.loop, &world.answered);
    ck_assert_int_eq(world.status, 503);
    ck_assert(world.retry_after_s > 0);
    ck_assert_int_lt(cw_engine_now(world.engine) - begun, CW_SECONDS(2)); /* a fifth of its objective */
    ck_assert_uint_eq(world.servers[0].requests + world.servers[1].requests, 0);
    ck_assert_uint_eq(cw_metric_value(CW_METRIC_REFUSED_REGIONS), refused + 1);
    (void)engine_world_ask(&world, "GET", "/keyed/x", "15000");
    cw_test_run_until_set(&world.loop, &world.answered);
    ck_assert_int_eq(world.status, 200);
    ck_assert_uint_eq(world.servers[0].requests, 1);
}
END_TEST

int main(void)
{
    Suite *suite = suite_create("engine, regions");
    TCase *cases = tcase_create("engine, regions");

    tcase_set_timeout(cases, 60);
    tcase_add_test(cases, a_request_goes_only_to_servers_in_the_regions_of_its_route);
    tcase_add_test(cases, what_is_bound_to_regions_is_let_in_by_the_speed_of_their_servers);
    tcase_add_test(cases, a_large_body_waits_for_a_server_of_its_region);
    tcase_add_test(cases, a_short_request_crosses_rather_than_wait);
    tcase_add_test(cases, a_large_body_crosses_when_its_region_has_lost_its_servers);
    tcase_add_test(cases, a_request_comes_back_from_a_region_that_is_cut_off);
    tcase_add_test(cases, what_may_not_go_to_its_keys_owner_is_refused_at_once_with_that_reason);
    suite_add_tcase(suite, cases);
    return cw_test_main(suite);
}
