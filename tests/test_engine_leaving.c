/**
 * @file test_engine_leaving.c
 * @brief A request ends when its caller disconnects, and no server gets it afterwards.
 */
#include <unistd.h>

#include "engine_fixture.h"

START_TEST(a_disconnected_callers_request_is_withdrawn_from_the_server)
{
    engine_fixture_t    fixture;
    cw_upstream_call_t *call;

    engine_fixture_init(&fixture);
    call = engine_fixture_ask(&fixture, "GET", "/safe/x", "15000");
    cw_test_run_until_set(&fixture.loop, &fixture.servers[0].has_request);
    cw_upstream_call_abandon(call);
    while (fixture.servers[0].cancelled == 0) {
        uv_run(&fixture.loop, UV_RUN_ONCE);
    }
    ck_assert_uint_eq(cw_engine_requests(fixture.engine), 0);
}
END_TEST

/* Disconnects the caller and waits until the engine has no request. The tests then provide what the request waited for;
 * no server may get it. */
static void leave(engine_fixture_t *fixture, cw_upstream_call_t *call)
{
    cw_upstream_call_abandon(call);
    while (cw_engine_requests(fixture->engine) > 0) {
        uv_run(&fixture->loop, UV_RUN_ONCE);
    }
}

START_TEST(a_disconnected_callers_request_leaves_the_queue)
{
    engine_fixture_t    fixture;
    cw_upstream_call_t *first;
    cw_upstream_call_t *second;
    cw_upstream_call_t *waiting;

    engine_fixture_init(&fixture);
    first = engine_fixture_ask(&fixture, "GET", "/safe/x", "15000");
    second = engine_fixture_ask(&fixture, "GET", "/safe/y", "15000");
    cw_test_run_until_set(&fixture.loop, &fixture.servers[0].has_request);
    cw_test_run_until_set(&fixture.loop, &fixture.servers[1].has_request);
    waiting = engine_fixture_ask(&fixture, "GET", "/safe/z", "15000");
    while (cw_engine_queued(fixture.engine) == 0) {
        uv_run(&fixture.loop, UV_RUN_ONCE);
    }
    cw_upstream_call_abandon(waiting);
    while (cw_engine_queued(fixture.engine) > 0) {
        uv_run(&fixture.loop, UV_RUN_ONCE);
    }
    cw_upstream_call_abandon(first); /* both servers become free */
    leave(&fixture, second);
    cw_test_run_some(&fixture.loop, 20);
    ck_assert_uint_eq(fixture.servers[0].requests + fixture.servers[1].requests, 2);
}
END_TEST

START_TEST(a_disconnected_callers_request_ends_while_its_key_has_no_owner)
{
    cw_key_route_t      route = {.low = 0, .last = 65535, .fence = 1, .routable = true, .server = "s0"};
    engine_fixture_t    fixture;
    cw_upstream_call_t *call;

    engine_fixture_init(&fixture);
    call = engine_fixture_ask(&fixture, "GET", "/keyed/x", "15000");
    while (cw_engine_queued(fixture.engine) == 0) {
        uv_run(&fixture.loop, UV_RUN_ONCE);
    }
    leave(&fixture, call);
    cw_engine_set_table(fixture.engine, "keyed", &route, 1, 1);
    cw_engine_set_tables_valid(fixture.engine, cw_engine_now(fixture.engine),
                               cw_engine_now(fixture.engine) + CW_SECONDS(30));
    cw_test_run_some(&fixture.loop, 20);
    ck_assert_uint_eq(fixture.servers[0].requests, 0);
}
END_TEST

START_TEST(a_disconnected_callers_request_is_not_repeated)
{
    cw_key_route_t      route = {.low = 0, .last = 65535, .fence = 1, .routable = true, .server = "s0"};
    engine_fixture_t    fixture;
    cw_upstream_call_t *call;
    cw_time_us_t        end;

    engine_fixture_init(&fixture);
    fixture.servers[0].status = 421; /* s0 does not hold the key yet: the request is repeated after a pause */
    fixture.servers[0].not_run = true;
    cw_engine_set_table(fixture.engine, "keyed", &route, 1, 1);
    cw_engine_set_tables_valid(fixture.engine, cw_engine_now(fixture.engine),
                               cw_engine_now(fixture.engine) + CW_SECONDS(30));
    call = engine_fixture_ask(&fixture, "GET", "/keyed/x", "15000");
    cw_test_run_until_set(&fixture.loop, &fixture.servers[0].has_request);
    while (cw_engine_queued(fixture.engine) == 0) {
        uv_run(&fixture.loop, UV_RUN_ONCE);
    }
    leave(&fixture, call);
    end = cw_engine_now(fixture.engine) + CW_MS(300); /* far longer than the pause before a repeat */
    while (cw_engine_now(fixture.engine) < end) {
        cw_test_run_some(&fixture.loop, 1);
        usleep(ENGINE_FIXTURE_PAUSE_US);
    }
    ck_assert_uint_eq(fixture.servers[0].requests, 1);
}
END_TEST

int main(void)
{
    Suite *suite = suite_create("engine, callers that leave");
    TCase *cases = tcase_create("engine, callers that leave");

    tcase_set_timeout(cases, 60);
    tcase_add_test(cases, a_disconnected_callers_request_is_withdrawn_from_the_server);
    tcase_add_test(cases, a_disconnected_callers_request_leaves_the_queue);
    tcase_add_test(cases, a_disconnected_callers_request_ends_while_its_key_has_no_owner);
    tcase_add_test(cases, a_disconnected_callers_request_is_not_repeated);
    suite_add_tcase(suite, cases);
    return cw_test_main(suite);
}
