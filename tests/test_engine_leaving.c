/**
 * @file test_engine_leaving.c
 * @brief Callers that leave take their requests along.
 */
#include <unistd.h>

#include "engine_fixture.h"

START_TEST(a_caller_that_leaves_takes_its_request_from_the_server)
{
    engine_world_t      world;
    cw_upstream_call_t *call;

    engine_world_init(&world);
    call = engine_world_ask(&world, "GET", "/safe/x", "15000");
    cw_test_run_until_set(&world.loop, &world.servers[0].has_request);
    cw_upstream_call_abandon(call);
    while (world.servers[0].gone == 0) {
        uv_run(&world.loop, UV_RUN_ONCE);
    }
    ck_assert_uint_eq(cw_engine_requests(world.engine), 0);
}
END_TEST

/* The caller leaves, and what its request waited for comes: no server gets it. */
static void leave(engine_world_t *world, cw_upstream_call_t *call)
{
    cw_upstream_call_abandon(call);
    while (cw_engine_requests(world->engine) > 0) {
        uv_run(&world->loop, UV_RUN_ONCE);
    }
}

START_TEST(a_caller_that_leaves_the_queue_takes_its_request_along)
{
    engine_world_t      world;
    cw_upstream_call_t *first;
    cw_upstream_call_t *second;
    cw_upstream_call_t *waiting;

    engine_world_init(&world);
    first = engine_world_ask(&world, "GET", "/safe/x", "15000");
    second = engine_world_ask(&world, "GET", "/safe/y", "15000");
    cw_test_run_until_set(&world.loop, &world.servers[0].has_request);
    cw_test_run_until_set(&world.loop, &world.servers[1].has_request);
    waiting = engine_world_ask(&world, "GET", "/safe/z", "15000");
    while (cw_engine_queued(world.engine) == 0) {
        uv_run(&world.loop, UV_RUN_ONCE);
    }
    cw_upstream_call_abandon(waiting);
    while (cw_engine_queued(world.engine) > 0) {
        uv_run(&world.loop, UV_RUN_ONCE);
    }
    cw_upstream_call_abandon(first); /* both servers are free again */
    leave(&world, second);
    cw_test_run_some(&world.loop, 20);
    ck_assert_uint_eq(world.servers[0].requests + world.servers[1].requests, 2);
}
END_TEST

START_TEST(a_caller_that_leaves_while_its_key_has_no_owner_takes_its_request_along)
{
    cw_key_route_t      route = {.low = 0, .last = 65535, .fence = 1, .routable = true, .server = "s0"};
    engine_world_t      world;
    cw_upstream_call_t *call;

    engine_world_init(&world);
    call = engine_world_ask(&world, "GET", "/keyed/x", "15000");
    while (cw_engine_queued(world.engine) == 0) {
        uv_run(&world.loop, UV_RUN_ONCE);
    }
    leave(&world, call);
    cw_engine_set_table(world.engine, "keyed", &route, 1, 1);
    cw_engine_set_tables_valid(world.engine, cw_engine_now(world.engine), cw_engine_now(world.engine) + CW_SECONDS(30));
    cw_test_run_some(&world.loop, 20);
    ck_assert_uint_eq(world.servers[0].requests, 0);
}
END_TEST

START_TEST(a_caller_that_leaves_before_a_repeat_takes_its_request_along)
{
    cw_key_route_t      route = {.low = 0, .last = 65535, .fence = 1, .routable = true, .server = "s0"};
    engine_world_t      world;
    cw_upstream_call_t *call;
    cw_time_us_t        end;

    engine_world_init(&world);
    world.servers[0].status = 421; /* it does not hold the key yet: once more after a pause */
    world.servers[0].not_run = true;
    cw_engine_set_table(world.engine, "keyed", &route, 1, 1);
    cw_engine_set_tables_valid(world.engine, cw_engine_now(world.engine), cw_engine_now(world.engine) + CW_SECONDS(30));
    call = engine_world_ask(&world, "GET", "/keyed/x", "15000");
    cw_test_run_until_set(&world.loop, &world.servers[0].has_request);
    while (cw_engine_queued(world.engine) == 0) {
        uv_run(&world.loop, UV_RUN_ONCE);
    }
    leave(&world, call);
    end = cw_engine_now(world.engine) + CW_MS(300); /* far longer than the pause */
    while (cw_engine_now(world.engine) < end) {
        cw_test_run_some(&world.loop, 1);
        usleep(ENGINE_WORLD_PAUSE_US);
    }
    ck_assert_uint_eq(world.servers[0].requests, 1);
}
END_TEST

int main(void)
{
    Suite *suite = suite_create("engine, callers that leave");
    TCase *cases = tcase_create("engine, callers that leave");

    tcase_set_timeout(cases, 60);
    tcase_add_test(cases, a_caller_that_leaves_takes_its_request_from_the_server);
    tcase_add_test(cases, a_caller_that_leaves_the_queue_takes_its_request_along);
    tcase_add_test(cases, a_caller_that_leaves_while_its_key_has_no_owner_takes_its_request_along);
    tcase_add_test(cases, a_caller_that_leaves_before_a_repeat_takes_its_request_along);
    suite_add_tcase(suite, cases);
    return cw_test_main(suite);
}
