/**
 * @file test_engine.c
 * @brief How a request passes through the engine: routes, queue, keys and splits.
 */
#include <stdlib.h>
#include <unistd.h>

#include "engine_fixture.h"

START_TEST(an_answer_is_relayed_and_the_server_gets_deadline_and_target)
{
    engine_fixture_t fixture;

    engine_fixture_init(&fixture);
    fixture.servers[0].status = 200;
    (void)engine_fixture_ask(&fixture, "GET", "/safe/x", "15000");
    cw_test_run_until_set(&fixture.loop, &fixture.answered);
    ck_assert_int_eq(fixture.status, 200);
    ck_assert_str_eq(fixture.body.data, "s0");
    ck_assert_str_eq(fixture.servers[0].target, "s0");
    ck_assert_int_le(atoi(fixture.servers[0].deadline), 15000);
    ck_assert_int_gt(atoi(fixture.servers[0].deadline), 0);
}
END_TEST

/* Occupies both servers and lets a third request wait for longer than a fifth of its objective. */
static void begin_waiting(engine_fixture_t *fixture)
{
    cw_time_us_t end;

    engine_fixture_init(fixture);
    (void)engine_fixture_ask(fixture, "GET", "/safe/x", "15000");
    (void)engine_fixture_ask(fixture, "GET", "/safe/y", "15000");
    cw_test_run_until_set(&fixture->loop, &fixture->servers[0].has_request);
    cw_test_run_until_set(&fixture->loop, &fixture->servers[1].has_request);
    (void)engine_fixture_ask(fixture, "GET", "/safe/z", "15000");
    end = cw_engine_now(fixture->engine) + CW_MS(2200);
    while (cw_engine_queued(fixture->engine) == 0 || cw_engine_now(fixture->engine) < end) {
        cw_test_run_some(&fixture->loop, 1);
        usleep(ENGINE_FIXTURE_PAUSE_US);
    }
}

START_TEST(a_waiting_request_is_refused_at_once_when_it_cannot_be_served_in_time)
{
    engine_fixture_t fixture;
    cw_time_us_t     begun;

    begin_waiting(&fixture);
    begun = cw_engine_now(fixture.engine);
    cw_engine_set_queued_elsewhere(fixture.engine, "service", 1000);
    cw_engine_wake(fixture.engine);
    cw_test_run_until_set(&fixture.loop, &fixture.answered);
    ck_assert_int_eq(fixture.status, 503);
    ck_assert_int_lt(cw_engine_now(fixture.engine) - begun, CW_SECONDS(5)); /* long before its deadline */
}
END_TEST

START_TEST(an_admitted_request_waits_beyond_its_objective)
{
    engine_fixture_t fixture;

    begin_waiting(&fixture);
    cw_engine_set_queued_elsewhere(fixture.engine, "service", 4); /* its turn is now expected after its objective */
    cw_engine_wake(fixture.engine);
    cw_test_run_some(&fixture.loop, 20);
    ck_assert(!fixture.answered);
    ck_assert_uint_eq(cw_engine_queued(fixture.engine), 1);
}
END_TEST

START_TEST(a_request_without_a_route_gets_404)
{
    engine_fixture_t fixture;

    engine_fixture_init(&fixture);
    (void)engine_fixture_ask(&fixture, "GET", "/nowhere", "1000");
    cw_test_run_until_set(&fixture.loop, &fixture.answered);
    ck_assert_int_eq(fixture.status, 404);
}
END_TEST

START_TEST(no_server_gets_more_than_its_slots)
{
    engine_fixture_t fixture;

    engine_fixture_init(&fixture);
    (void)engine_fixture_ask(&fixture, "GET", "/safe/1", "15000");
    (void)engine_fixture_ask(&fixture, "GET", "/safe/2", "15000");
    (void)engine_fixture_ask(&fixture, "GET", "/safe/3", "15000");
    while (fixture.servers[0].requests == 0 || fixture.servers[1].requests == 0 ||
           cw_engine_requests(fixture.engine) < 3) {
        uv_run(&fixture.loop, UV_RUN_ONCE);
    }
    cw_test_run_some(&fixture.loop, 20);
    ck_assert_uint_eq(cw_engine_queued(fixture.engine), 1);
    ck_assert_uint_eq(fixture.servers[0].requests + fixture.servers[1].requests, 2);
    fixture.servers[0].status = 200;
    engine_server_answer(&fixture.servers[0], 200, "first", NULL);
    while (fixture.servers[0].requests + fixture.servers[1].requests < 3) {
        uv_run(&fixture.loop, UV_RUN_ONCE);
    }
    ck_assert_uint_eq(cw_engine_queued(fixture.engine), 0);
}
END_TEST

START_TEST(a_request_with_a_key_goes_only_to_the_owner_and_waits_while_the_key_moves)
{
    engine_fixture_t fixture;
    cw_key_route_t   routes[2] = {{.low = 0, .last = 999, .server = "s1", .fence = 4, .routable = false},
                                  {.low = 1000, .last = 65535, .server = "s0", .fence = 5, .routable = true}};

    engine_fixture_init(&fixture);
    fixture.servers[0].status = 200;
    fixture.servers[1].status = 200;
    cw_engine_set_tables_valid(fixture.engine, 0, INT64_MAX);
    cw_engine_set_table(fixture.engine, "keyed", routes, 2, 1);
    (void)engine_fixture_ask(&fixture, "GET", "/keyed/x", "15000");
    cw_test_run_some(&fixture.loop, 30);
    while (cw_engine_queued(fixture.engine) == 0) {
        uv_run(&fixture.loop, UV_RUN_ONCE);
    }
    routes[0].routable = true;
    cw_engine_set_table(fixture.engine, "keyed", routes, 2, 2);
    cw_test_run_until_set(&fixture.loop, &fixture.answered);
    ck_assert_str_eq(fixture.body.data, "s1");
    ck_assert_uint_eq(fixture.servers[0].requests, 0);
}
END_TEST

START_TEST(requests_waiting_at_other_nodes_for_the_owner_count_in_the_estimate)
{
    engine_fixture_t   fixture;
    cw_key_route_t     route = {.low = 0, .last = 65535, .server = "s1", .fence = 4, .routable = true};
    cw_server_report_t report = {.in_flight = 1};

    engine_fixture_init(&fixture);
    cw_engine_set_tables_valid(fixture.engine, 0, INT64_MAX);
    cw_engine_set_table(fixture.engine, "keyed", &route, 1, 1);
    report.hash = cw_server_pool_find(fixture.pool, "s1")->hash;
    cw_server_pool_apply_report(fixture.pool, 9, &report, 1, cw_engine_now(fixture.engine));
    (void)engine_fixture_ask(&fixture, "GET", "/keyed/x", "15000");
    while (cw_engine_queued(fixture.engine) == 0) {
        uv_run(&fixture.loop, UV_RUN_ONCE);
    }
    cw_test_run_some(&fixture.loop, 20);
    ck_assert(!fixture.answered); /* only one request is before it */
    report.waiting = 100000;
    cw_server_pool_apply_report(fixture.pool, 9, &report, 1, cw_engine_now(fixture.engine));
    cw_engine_wake(fixture.engine);
    cw_test_run_until_set(&fixture.loop, &fixture.answered);
    ck_assert_int_eq(fixture.status, 503);
    ck_assert_uint_eq(fixture.servers[1].requests, 0);
}
END_TEST

START_TEST(an_expired_table_is_not_used)
{
    engine_fixture_t fixture;
    cw_key_route_t   route = {.low = 0, .last = 65535, .server = "s1", .fence = 4, .routable = true};

    engine_fixture_init(&fixture);
    cw_engine_set_tables_valid(fixture.engine, 0, 1);
    cw_engine_set_table(fixture.engine, "keyed", &route, 1, 1);
    (void)engine_fixture_ask(&fixture, "GET", "/keyed/x", "100");
    cw_test_run_until_set(&fixture.loop, &fixture.answered);
    ck_assert_int_eq(fixture.status, 503);
    ck_assert_double_gt(fixture.retry_after_s, 0);
    ck_assert_uint_eq(fixture.servers[1].requests, 0);
}
END_TEST

START_TEST(requests_are_split_by_weight)
{
    engine_fixture_t    fixture;
    cw_configuration_t *configuration;
    cw_route_t         *route;
    uint32_t            index;

    engine_fixture_init(&fixture);
    configuration = cw_configuration_create(2);
    route = engine_fixture_add_route(configuration, "split", true);
    cw_route_add_part(route, "service", 3);
    cw_route_add_part(route, "nobody", 1);
    engine_fixture_use(&fixture, configuration);
    fixture.servers[0].status = 200;
    for (index = 0; index < 40; index++) {
        (void)engine_fixture_ask(&fixture, "GET", "/split/x", "50");
        cw_test_run_until_set(&fixture.loop, &fixture.answered);
    }
    ck_assert_uint_eq(fixture.servers[0].requests, 30);
}
END_TEST

int main(void)
{
    Suite *suite = suite_create("engine");
    TCase *cases = tcase_create("engine");

    tcase_set_timeout(cases, 60);
    tcase_add_test(cases, an_answer_is_relayed_and_the_server_gets_deadline_and_target);
    tcase_add_test(cases, a_waiting_request_is_refused_at_once_when_it_cannot_be_served_in_time);
    tcase_add_test(cases, an_admitted_request_waits_beyond_its_objective);
    tcase_add_test(cases, a_request_without_a_route_gets_404);
    tcase_add_test(cases, no_server_gets_more_than_its_slots);
    tcase_add_test(cases, a_request_with_a_key_goes_only_to_the_owner_and_waits_while_the_key_moves);
    tcase_add_test(cases, requests_waiting_at_other_nodes_for_the_owner_count_in_the_estimate);
    tcase_add_test(cases, an_expired_table_is_not_used);
    tcase_add_test(cases, requests_are_split_by_weight);
    suite_add_tcase(suite, cases);
    return cw_test_main(suite);
}
