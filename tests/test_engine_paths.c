/**
 * @file test_engine_paths.c
 * @brief What a node does with its requests, slots and verdicts while it reaches no server.
 */
#include <string.h>

#include "base/metrics.h"
#include "engine_fixture.h"

/** The paths of a fixture's engine. */
static cw_service_paths_t *table;
static cw_server_paths_t  *paths;

static void begin(engine_fixture_t *fixture)
{
    engine_fixture_init(fixture);
    table = cw_service_paths_create(); /* never freed: each test is the last thing that its process does */
    paths = cw_service_paths_of(table, cw_server_pool_find(fixture->pool, "s0")->service_hash);
    cw_engine_set_paths(fixture->engine, table);
}

static void lose_paths(engine_fixture_t *fixture)
{
    paths->are_lost = true;
    cw_engine_paths_changed(fixture->engine, cw_server_pool_find(fixture->pool, "s0")->service_hash);
}

START_TEST(a_request_is_refused_at_once_if_no_server_is_reached)
{
    engine_fixture_t fixture;

    begin(&fixture);
    lose_paths(&fixture);
    (void)engine_fixture_ask(&fixture, "POST", "/once/x", "15000");
    cw_test_run_until_set(&fixture.loop, &fixture.answered);
    ck_assert_int_eq(fixture.status, 503);
    ck_assert(fixture.retry_after_s > 0);
    ck_assert_uint_eq(fixture.servers[0].requests + fixture.servers[1].requests, 0);
}
END_TEST

/* s0 and s1 have one slot each, and both are in use when the paths are lost. */
START_TEST(a_waiting_request_is_refused_when_the_paths_are_lost)
{
    engine_fixture_t fixture;

    begin(&fixture);
    (void)engine_fixture_ask(&fixture, "POST", "/once/x", "15000");
    cw_test_run_until_set(&fixture.loop, &fixture.servers[0].has_request);
    (void)engine_fixture_ask(&fixture, "POST", "/once/x", "15000");
    cw_test_run_until_set(&fixture.loop, &fixture.servers[1].has_request);
    (void)engine_fixture_ask(&fixture, "POST", "/once/x", "15000");
    engine_fixture_run_for(&fixture, CW_MS(20));
    ck_assert(!fixture.answered);
    lose_paths(&fixture);
    cw_test_run_until_set(&fixture.loop, &fixture.answered);
    ck_assert_int_eq(fixture.status, 503);
}
END_TEST

/* It was sent before the loss, so its answer may still come. */
START_TEST(a_ready_answer_is_delivered_although_the_paths_count_as_lost)
{
    engine_fixture_t fixture;

    begin(&fixture);
    (void)engine_fixture_ask(&fixture, "POST", "/once/x", "15000");
    cw_test_run_until_set(&fixture.loop, &fixture.servers[0].has_request);
    lose_paths(&fixture);
    engine_fixture_run_for(&fixture, CW_MS(20));
    engine_server_answer(&fixture.servers[0], 200, "s0", NULL);
    cw_test_run_until_set(&fixture.loop, &fixture.answered);
    ck_assert_int_eq(fixture.status, 200);
    ck_assert(!paths->are_lost); /* an answer shows a path */
}
END_TEST

START_TEST(faults_of_servers_are_forgotten_when_the_loss_of_the_paths_explains_them)
{
    engine_fixture_t   fixture;
    const cw_server_t *server;

    begin(&fixture);
    (void)engine_fixture_ask(&fixture, "POST", "/once/x", "15000");
    cw_test_run_until_set(&fixture.loop, &fixture.servers[0].has_request);
    cw_http_exchange_abort(fixture.servers[0].exchange);
    cw_test_run_until_set(&fixture.loop, &fixture.answered);
    server = cw_server_pool_find(fixture.pool, "s0");
    ck_assert_uint_eq(server->faults, 1);
    ck_assert_uint_eq(paths->failures, 1);
    lose_paths(&fixture);
    ck_assert_uint_eq(server->faults, 0);
    ck_assert_int_eq(server->avoid_until, 0);
}
END_TEST

START_TEST(a_request_that_fails_while_the_paths_are_lost_is_no_fault_of_its_server)
{
    engine_fixture_t fixture;

    begin(&fixture);
    (void)engine_fixture_ask(&fixture, "POST", "/once/x", "15000");
    cw_test_run_until_set(&fixture.loop, &fixture.servers[0].has_request);
    lose_paths(&fixture);
    cw_http_exchange_abort(fixture.servers[0].exchange);
    cw_test_run_until_set(&fixture.loop, &fixture.answered);
    ck_assert_int_eq(fixture.status, 502);
    ck_assert_uint_eq(cw_server_pool_find(fixture.pool, "s0")->faults, 0);
}
END_TEST

/* Its time is over much later; a node with few requests found the loss of its paths only then. */
START_TEST(an_unanswered_request_that_is_not_repeated_counts_as_a_failed_contact_early)
{
    engine_fixture_t fixture;

    engine_fixture_init_with_repeat_factor(&fixture, 1);
    table = cw_service_paths_create();
    cw_engine_set_paths(fixture.engine, table);
    paths = cw_service_paths_of(table, cw_server_pool_find(fixture.pool, "s0")->service_hash);
    (void)engine_fixture_ask(&fixture, "POST", "/once/x", "60000");
    while (paths->failures == 0) {
        engine_fixture_run_for(&fixture, CW_MS(20));
    }
    ck_assert(!fixture.answered);
    engine_fixture_run_for(&fixture, CW_MS(200));
    ck_assert_uint_eq(paths->failures, 1); /* once for each call */
    engine_server_answer(&fixture.servers[0], 200, "s0", NULL);
    cw_test_run_until_set(&fixture.loop, &fixture.answered);
    ck_assert_int_eq(fixture.status, 200);
}
END_TEST

/* Guards against a loss that is found late: the requests of a service were not repeated any more, since their attempts
 * or the retry budget were used up, and their silence was not recorded. */
START_TEST(silence_counts_as_a_failed_contact_also_if_the_request_may_not_be_repeated_again)
{
    engine_fixture_t    fixture;
    cw_configuration_t *configuration = cw_configuration_create(2);
    cw_route_t         *route;

    engine_fixture_init_with_repeat_factor(&fixture, 1);
    table = cw_service_paths_create();
    cw_engine_set_paths(fixture.engine, table);
    paths = cw_service_paths_of(table, cw_server_pool_find(fixture.pool, "s0")->service_hash);
    route = engine_fixture_add_route(configuration, "single", true);
    route->max_attempts = 1;
    cw_route_add_part(route, "service", 1);
    engine_fixture_use(&fixture, configuration);
    (void)engine_fixture_ask(&fixture, "GET", "/single/x", "60000");
    while (paths->failures == 0) {
        engine_fixture_run_for(&fixture, CW_MS(20));
    }
    ck_assert(!fixture.answered);
    ck_assert_uint_eq(fixture.servers[0].requests + fixture.servers[1].requests, 1);
}
END_TEST

/* Where connections were refused, one request tried all servers over and over, a thousand times a second. */
START_TEST(a_request_that_is_refused_connections_pauses_between_servers)
{
    engine_fixture_t fixture;

    begin(&fixture);
    cw_http_listener_close(fixture.servers[0].listener);
    cw_http_listener_close(fixture.servers[1].listener);
    engine_fixture_run_for(&fixture, CW_MS(20)); /* until the sockets are closed */
    (void)engine_fixture_ask(&fixture, "POST", "/once/x", "15000");
    engine_fixture_run_for(&fixture, CW_MS(400));
    ck_assert(!fixture.answered);
    ck_assert_uint_ge(cw_metric_value(CW_METRIC_UNREACHED), 3);
    ck_assert_uint_le(cw_metric_value(CW_METRIC_UNREACHED), 400 / 50 + 2);
}
END_TEST

/* ---- slots of a broker ---- */

enum { BROKER = 77 };

static uint32_t asks;
static uint32_t returns;
static uint32_t ticket;

static uint32_t broker_of(void *context, const char *zone, uint32_t service)
{
    (void)context;
    (void)service;
    return strcmp(zone, "z1") == 0 ? BROKER : 0;
}

static void take_ask(void *context, uint32_t broker, const cw_slot_ask_t *asked)
{
    (void)context;
    (void)broker;
    asks++;
    ticket = asked->ticket;
}

static void take_return(void *context, uint32_t broker, const cw_slot_return_t *returned)
{
    (void)context;
    (void)broker;
    returns++;
    ck_assert_int_eq(returned->end, CW_SLOT_UNUSED);
}

static bool has_asked(void *context)
{
    (void)context;
    return asks > 0;
}

START_TEST(slots_are_returned_when_the_paths_are_lost)
{
    engine_fixture_t fixture;
    cw_slot_port_t   port = {.broker_of = broker_of, .ask = take_ask, .give_back = take_return};
    cw_slot_reply_t  granted = {.node = BROKER, .outcome = CW_SLOT_GRANTED};

    asks = 0;
    returns = 0;
    begin(&fixture);
    cw_engine_set_slots(fixture.engine, &port);
    (void)engine_fixture_ask(&fixture, "POST", "/once/x", "15000");
    cw_test_run_until(&fixture.loop, has_asked, NULL);
    granted.ticket = ticket;
    granted.server = cw_server_pool_find(fixture.pool, "s0")->hash;
    cw_engine_slot_reply(fixture.engine, &granted);
    cw_test_run_until_set(&fixture.loop, &fixture.servers[0].has_request);
    ck_assert_uint_eq(returns, 0);
    lose_paths(&fixture);
    ck_assert_uint_eq(returns, 1);
    engine_server_answer(&fixture.servers[0], 200, "s0", NULL);
    cw_test_run_until_set(&fixture.loop, &fixture.answered);
    ck_assert_int_eq(fixture.status, 200);
    ck_assert_uint_eq(returns, 1);
}
END_TEST

int main(void)
{
    Suite *suite = suite_create("engine_paths");
    TCase *cases = tcase_create("engine_paths");

    tcase_add_test(cases, a_request_is_refused_at_once_if_no_server_is_reached);
    tcase_add_test(cases, a_waiting_request_is_refused_when_the_paths_are_lost);
    tcase_add_test(cases, a_ready_answer_is_delivered_although_the_paths_count_as_lost);
    tcase_add_test(cases, faults_of_servers_are_forgotten_when_the_loss_of_the_paths_explains_them);
    tcase_add_test(cases, a_request_that_fails_while_the_paths_are_lost_is_no_fault_of_its_server);
    tcase_add_test(cases, an_unanswered_request_that_is_not_repeated_counts_as_a_failed_contact_early);
    tcase_add_test(cases, silence_counts_as_a_failed_contact_also_if_the_request_may_not_be_repeated_again);
    tcase_add_test(cases, a_request_that_is_refused_connections_pauses_between_servers);
    tcase_add_test(cases, slots_are_returned_when_the_paths_are_lost);
    suite_add_tcase(suite, cases);
    return cw_test_main(suite);
}
