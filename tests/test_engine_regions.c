/**
 * @file test_engine_regions.c
 * @brief Requests that are restricted to regions, and requests that are sent to another region.
 */
#include "base/metrics.h"
#include "engine_fixture.h"

START_TEST(a_request_goes_only_to_servers_in_the_regions_of_its_route)
{
    engine_fixture_t fixture;

    engine_fixture_init(&fixture);
    fixture.servers[0].status = 200;
    fixture.servers[1].status = 200;
    (void)engine_fixture_ask(&fixture, "GET", "/far/x", "15000"); /* s1 gets it although s0 is nearer */
    cw_test_run_until_set(&fixture.loop, &fixture.answered);
    ck_assert_int_eq(fixture.status, 200);
    ck_assert_uint_eq(fixture.servers[0].requests, 0);
    (void)engine_fixture_ask(&fixture, "GET", "/elsewhere/x", "15000"); /* there is no server in that region */
    cw_test_run_until_set(&fixture.loop, &fixture.answered);
    ck_assert_int_eq(fixture.status, 503);
    ck_assert(fixture.retry_after_s > 0);
    ck_assert_uint_eq(fixture.servers[0].requests, 0);
}
END_TEST

START_TEST(a_request_restricted_to_regions_is_admitted_by_the_speed_of_their_servers)
{
    engine_fixture_t fixture;

    engine_fixture_init(&fixture);
    cw_server_pool_find(fixture.pool, "s1")->pace =
        1.2; /* with two requests before it, the third cannot be answered within its objective */
    cw_server_pool_find(fixture.pool, "s1")->pace_at = cw_engine_now(fixture.engine);
    (void)engine_fixture_ask(&fixture, "GET", "/far/1", "15000");
    cw_test_run_until_set(&fixture.loop, &fixture.servers[1].has_request);
    (void)engine_fixture_ask(&fixture, "GET", "/far/2", "15000");
    while (cw_engine_queued(fixture.engine) == 0) {
        uv_run(&fixture.loop, UV_RUN_ONCE);
    }
    (void)engine_fixture_ask(&fixture, "GET", "/far/3", "16000");
    cw_test_run_until_set(&fixture.loop, &fixture.answered);
    ck_assert_int_eq(fixture.status, 503);
    ck_assert_uint_eq(cw_engine_queued(fixture.engine), 1);
}
END_TEST

/* Occupies the near server; the far one is free. The mean time is a third of 10 s, so the near slot is expected to be
 * free after 3.3 s. */
static void begin_with_near_server_taken(engine_fixture_t *fixture)
{
    engine_fixture_init_with_crossing(fixture, 100000); /* crossing costs 6 s with the body, and 80 ms without one */
    fixture->servers[1].status = 200;
    (void)engine_fixture_ask(fixture, "GET", "/safe/x", "15000");
    cw_test_run_until_set(&fixture->loop, &fixture->servers[0].has_request);
    ck_assert_uint_eq(fixture->servers[1].requests, 0);
}

START_TEST(a_large_body_waits_for_a_server_of_its_region)
{
    engine_fixture_t fixture;

    begin_with_near_server_taken(&fixture);
    (void)engine_fixture_upload(&fixture, "/once/x");
    while (cw_engine_queued(fixture.engine) == 0) {
        uv_run(&fixture.loop, UV_RUN_ONCE);
    }
    cw_test_run_some(&fixture.loop, 20);
    ck_assert_uint_eq(fixture.servers[1].requests, 0);
    fixture.answered = false;
    engine_server_answer(&fixture.servers[0], 200, "s0", NULL);
    cw_test_run_until_set(&fixture.loop, &fixture.answered);
    fixture.servers[0].status = 200;
    while (fixture.servers[0].requests < 2) {
        uv_run(&fixture.loop, UV_RUN_ONCE);
    }
    ck_assert_uint_eq(fixture.servers[1].requests, 0);
}
END_TEST

START_TEST(a_short_request_goes_to_another_region_instead_of_waiting)
{
    engine_fixture_t fixture;

    begin_with_near_server_taken(&fixture);
    (void)engine_fixture_ask(&fixture, "GET", "/safe/y", "15000");
    cw_test_run_until_set(&fixture.loop, &fixture.answered);
    ck_assert_int_eq(fixture.status, 200);
    ck_assert_str_eq(fixture.body.data, "s1");
}
END_TEST

START_TEST(a_large_body_goes_to_another_region_if_its_own_has_no_server)
{
    engine_fixture_t fixture;

    begin_with_near_server_taken(&fixture);
    cw_server_pool_record_fault(cw_server_pool_find(fixture.pool, "s0"), cw_engine_now(fixture.engine));
    cw_server_pool_record_fault(cw_server_pool_find(fixture.pool, "s0"), cw_engine_now(fixture.engine));
    (void)engine_fixture_upload(&fixture, "/once/x");
    cw_test_run_until_set(&fixture.loop, &fixture.answered);
    ck_assert_int_eq(fixture.status, 200);
    ck_assert_str_eq(fixture.body.data, "s1");
}
END_TEST

START_TEST(a_request_returns_to_its_region_if_the_other_is_unreachable)
{
    engine_fixture_t fixture;

    begin_with_near_server_taken(&fixture);
    cw_http_listener_close(fixture.servers[1].listener); /* its connections are refused */
    cw_test_run_some(&fixture.loop, 5);
    (void)engine_fixture_ask(&fixture, "GET", "/safe/y", "15000");
    while (cw_server_pool_find(fixture.pool, "s1")->faults == 0) {
        uv_run(&fixture.loop, UV_RUN_ONCE);
    }
    fixture.servers[0].status = 200;
    engine_server_answer(&fixture.servers[0], 200, "s0", NULL);
    while (fixture.servers[0].requests < 2) {
        uv_run(&fixture.loop, UV_RUN_ONCE);
    }
    cw_test_run_until_set(&fixture.loop, &fixture.answered);
    ck_assert_int_eq(fixture.status, 200);
    ck_assert_uint_eq(fixture.servers[1].requests, 0);
}
END_TEST

/* Another route to the service may send requests to this owner. */
START_TEST(a_request_whose_keys_owner_is_outside_its_regions_is_refused_at_once)
{
    cw_key_route_t   route = {.low = 0, .last = 65535, .fence = 1, .routable = true, .server = "s0"};
    uint64_t         refused = cw_metric_value(CW_METRIC_REFUSED_REGIONS);
    engine_fixture_t fixture;
    cw_time_us_t     begun;

    engine_fixture_init(&fixture);
    fixture.servers[0].status = 200;
    cw_engine_set_table(fixture.engine, "keyed", &route, 1, 1);
    cw_engine_set_tables_valid(fixture.engine, cw_engine_now(fixture.engine),
                               cw_engine_now(fixture.engine) + CW_SECONDS(30));
    begun = cw_engine_now(fixture.engine);
    (void)engine_fixture_ask(&fixture, "GET", "/far-keyed/x", "15000");
    cw_test_run_until_set(&fixture.loop, &fixture.answered);
    ck_assert_int_eq(fixture.status, 503);
    ck_assert(fixture.retry_after_s > 0);
    ck_assert_int_lt(cw_engine_now(fixture.engine) - begun, CW_SECONDS(2)); /* a fifth of its objective */
    ck_assert_uint_eq(fixture.servers[0].requests + fixture.servers[1].requests, 0);
    ck_assert_uint_eq(cw_metric_value(CW_METRIC_REFUSED_REGIONS), refused + 1);
    (void)engine_fixture_ask(&fixture, "GET", "/keyed/x", "15000");
    cw_test_run_until_set(&fixture.loop, &fixture.answered);
    ck_assert_int_eq(fixture.status, 200);
    ck_assert_uint_eq(fixture.servers[0].requests, 1);
}
END_TEST

int main(void)
{
    Suite *suite = suite_create("engine, regions");
    TCase *cases = tcase_create("engine, regions");

    tcase_set_timeout(cases, 60);
    tcase_add_test(cases, a_request_goes_only_to_servers_in_the_regions_of_its_route);
    tcase_add_test(cases, a_request_restricted_to_regions_is_admitted_by_the_speed_of_their_servers);
    tcase_add_test(cases, a_large_body_waits_for_a_server_of_its_region);
    tcase_add_test(cases, a_short_request_goes_to_another_region_instead_of_waiting);
    tcase_add_test(cases, a_large_body_goes_to_another_region_if_its_own_has_no_server);
    tcase_add_test(cases, a_request_returns_to_its_region_if_the_other_is_unreachable);
    tcase_add_test(cases, a_request_whose_keys_owner_is_outside_its_regions_is_refused_at_once);
    suite_add_tcase(suite, cases);
    return cw_test_main(suite);
}
