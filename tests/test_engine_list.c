/**
 * @file test_engine_list.c
 * @brief No request leaves by a list of servers that is too old; requests wait a moment for its renewal.
 */
#include <string.h>

#include "base/metrics.h"
#include "engine_fixture.h"

enum { STATUS_OK = 200, STATUS_UNAVAILABLE = 503 };

static const cw_time_us_t usable = CW_MS(1800);

static cw_list_evidence_t evidence;

static void begin(engine_fixture_t *fixture, cw_time_us_t age)
{
    engine_fixture_init(fixture);
    fixture->engine->settings.list_usable = usable;
    evidence = (cw_list_evidence_t){.valid_at = cw_engine_now(fixture->engine) - age, .source = CW_LIST_SOURCE_LEADER};
    cw_engine_set_list_evidence(fixture->engine, &evidence);
    cw_engine_bind_to_list_age(fixture->engine, true);
    fixture->servers[0].status = STATUS_OK;
    fixture->servers[1].status = STATUS_OK;
}

static uint32_t requests_at_servers(const engine_fixture_t *fixture)
{
    return fixture->servers[0].requests + fixture->servers[1].requests;
}

START_TEST(a_request_is_refused_while_the_list_stays_too_old)
{
    engine_fixture_t fixture;

    begin(&fixture, usable + CW_MS(1));
    (void)engine_fixture_ask(&fixture, "GET", "/safe/x", "15000");
    cw_test_run_until_set(&fixture.loop, &fixture.answered);
    ck_assert_int_eq(fixture.status, STATUS_UNAVAILABLE);
    ck_assert(fixture.retry_after_s > 0);
    ck_assert_uint_eq(requests_at_servers(&fixture), 0);
    ck_assert_uint_eq(cw_metric_value(CW_METRIC_REFUSED_LIST), 1);
}
END_TEST

START_TEST(a_waiting_request_is_sent_once_the_list_is_renewed)
{
    engine_fixture_t fixture;

    begin(&fixture, usable + CW_MS(1));
    (void)engine_fixture_ask(&fixture, "POST", "/once/x", "15000");
    while (cw_engine_queued(fixture.engine) == 0) {
        uv_run(&fixture.loop, UV_RUN_ONCE);
    }
    ck_assert_uint_eq(requests_at_servers(&fixture), 0);
    evidence.valid_at = cw_engine_now(fixture.engine);
    cw_engine_wake(fixture.engine);
    cw_test_run_until_set(&fixture.loop, &fixture.answered);
    ck_assert_int_eq(fixture.status, STATUS_OK);
}
END_TEST

START_TEST(a_request_is_sent_by_an_old_list_while_the_store_is_out_of_reach)
{
    engine_fixture_t fixture;

    begin(&fixture, 10 * usable);
    cw_engine_bind_to_list_age(fixture.engine, false);
    (void)engine_fixture_ask(&fixture, "GET", "/safe/x", "15000");
    cw_test_run_until_set(&fixture.loop, &fixture.answered);
    ck_assert_int_eq(fixture.status, STATUS_OK);
}
END_TEST

/* Guards against: a request leaves on a new connection for a server whose leave has become known meanwhile. */
START_TEST(a_request_is_not_written_to_a_server_that_leaves_while_the_connection_is_made)
{
    engine_fixture_t fixture;
    cw_server_t     *chosen = NULL;
    cw_server_t     *server;
    cw_server_t     *next;

    begin(&fixture, 0);
    (void)engine_fixture_ask(&fixture, "GET", "/safe/x", "15000");
    while (chosen == NULL) {
        uv_run(&fixture.loop, UV_RUN_ONCE);
        HASH_ITER(by_id, cw_server_pool_all(fixture.pool), server, next)
        {
            chosen = server->own > 0 ? server : chosen;
        }
    }
    cw_engine_apply_reported_leave(fixture.engine, chosen->hash);
    cw_test_run_until_set(&fixture.loop, &fixture.answered);
    ck_assert_int_eq(fixture.status, STATUS_OK);
    ck_assert_uint_eq(fixture.servers[strcmp(chosen->id, "s0") == 0 ? 0 : 1].requests, 0);
    ck_assert_uint_eq(requests_at_servers(&fixture), 1);
}
END_TEST

START_TEST(a_request_is_not_written_if_the_list_gets_too_old_while_the_connection_is_made)
{
    engine_fixture_t fixture;

    begin(&fixture, usable);
    (void)engine_fixture_ask(&fixture, "GET", "/safe/x", "15000");
    while (cw_engine_requests(fixture.engine) == 0) {
        uv_run(&fixture.loop, UV_RUN_ONCE);
    }
    evidence.valid_at -= CW_SECONDS(1);
    cw_test_run_until_set(&fixture.loop, &fixture.answered);
    ck_assert_int_eq(fixture.status, STATUS_UNAVAILABLE);
    ck_assert_uint_eq(requests_at_servers(&fixture), 0);
}
END_TEST

int main(void)
{
    Suite *suite = suite_create("engine, age of the list");
    TCase *cases = tcase_create("engine, age of the list");

    tcase_set_timeout(cases, 60);
    tcase_add_test(cases, a_request_is_refused_while_the_list_stays_too_old);
    tcase_add_test(cases, a_waiting_request_is_sent_once_the_list_is_renewed);
    tcase_add_test(cases, a_request_is_sent_by_an_old_list_while_the_store_is_out_of_reach);
    tcase_add_test(cases, a_request_is_not_written_to_a_server_that_leaves_while_the_connection_is_made);
    tcase_add_test(cases, a_request_is_not_written_if_the_list_gets_too_old_while_the_connection_is_made);
    suite_add_tcase(suite, cases);
    return cw_test_main(suite);
}
