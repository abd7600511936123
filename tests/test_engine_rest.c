/**
 * @file test_engine_rest.c
 * @brief Servers that reject a request and ask for rest: this node sends them nothing until the rest is over.
 */
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include "base/loop_clock.h"
#include "base/metrics.h"
#include "engine_fixture.h"

enum { STATUS_UNAVAILABLE = 503, BROKER = 77 };

static const cw_time_us_t rest = CW_SECONDS(3);

static int64_t      busy_us;    /* the loop's turn takes this long before an answer is handled */
static cw_time_us_t handled_at; /* when the last answer was */

static void decode(int status, const cw_http_fields_t *fields, cw_server_signals_t *signals)
{
    (void)fields;
    usleep((useconds_t)busy_us);
    handled_at = (cw_time_us_t)(uv_hrtime() / 1000);
    *signals = (cw_server_signals_t){.has_rest = status == STATUS_UNAVAILABLE, .rest = rest};
}

/* Starts with both servers rejecting all requests. */
static void begin(engine_fixture_t *fixture)
{
    size_t index;

    engine_fixture_init(fixture);
    fixture->engine->settings.decode_signals = decode;
    for (index = 0; index < ENGINE_FIXTURE_SERVERS; index++) {
        fixture->servers[index].status = STATUS_UNAVAILABLE;
        fixture->servers[index].not_run = true;
    }
}

static void ask(engine_fixture_t *fixture, const char *method, const char *path)
{
    fixture->answered = false;
    (void)engine_fixture_ask(fixture, method, path, "15000");
    cw_test_run_until_set(&fixture->loop, &fixture->answered);
}

/* Makes s1 the owner of all keys. */
static void give_keys(engine_fixture_t *fixture)
{
    cw_key_route_t route = {.low = 0, .last = 65535, .fence = 1, .routable = true};

    snprintf(route.server, sizeof(route.server), "s1");
    cw_engine_set_tables_valid(fixture->engine, cw_engine_now(fixture->engine), CW_NEVER);
    cw_engine_set_table(fixture->engine, "keyed", &route, 1, 1);
    cw_server_pool_find(fixture->pool, "s1")->service = strdup("keyed");
}

START_TEST(a_request_is_not_sent_again_to_an_owner_that_asked_for_rest)
{
    engine_fixture_t fixture;

    begin(&fixture);
    give_keys(&fixture);
    ask(&fixture, "GET", "/keyed/x");
    ck_assert_int_eq(fixture.status, STATUS_UNAVAILABLE);
    ck_assert_uint_eq(fixture.servers[1].requests, 1);
    ck_assert(fixture.retry_after_s > 2.9 && fixture.retry_after_s <= 3);
    ck_assert_uint_eq(cw_metric_value(CW_METRIC_RETRIES), 0); /* no retry is charged */
}
END_TEST

/* Guards against: a rest ends up to the length of a turn before the server's own, and all requests that waited for its
 * end leave at once (BUDGET; fault_soak.sh, server_rest.sh). */
START_TEST(a_rest_counts_from_the_arrival_of_the_answer)
{
    engine_fixture_t   fixture;
    const cw_server_t *owner;
    cw_time_us_t       rested;

    begin(&fixture);
    give_keys(&fixture);
    ck_assert_int_eq(cw_loop_clock_begin(&fixture.loop, NULL, NULL), 0);
    busy_us = 7300;
    ask(&fixture, "GET", "/keyed/x");
    busy_us = 0;
    owner = cw_server_pool_find(fixture.pool, "s1");
    rested = handled_at + rest;
    ck_assert(cw_server_rests(owner, CW_MS(rested / 1000))); /* as the loop's clock shows it, in whole milliseconds */
    ck_assert(!cw_server_rests(owner, rested + CW_MS(3)));
    cw_loop_clock_end();
}
END_TEST

START_TEST(further_requests_are_refused_with_the_rest_that_is_left)
{
    engine_fixture_t fixture;

    begin(&fixture);
    give_keys(&fixture);
    ask(&fixture, "GET", "/keyed/x");
    engine_fixture_run_for(&fixture, CW_MS(200));
    ask(&fixture, "GET", "/keyed/y");
    ck_assert_int_eq(fixture.status, STATUS_UNAVAILABLE);
    ck_assert_uint_eq(fixture.servers[1].requests, 1);
    ck_assert(fixture.retry_after_s > 2.5 && fixture.retry_after_s <= 2.8);
    ck_assert_uint_eq(cw_metric_value(CW_METRIC_REFUSED_REST), 2);
}
END_TEST

START_TEST(a_rest_does_not_count_as_a_fault_of_the_server)
{
    engine_fixture_t fixture;

    begin(&fixture);
    give_keys(&fixture);
    ask(&fixture, "GET", "/keyed/x");
    ck_assert_uint_eq(cw_server_pool_find(fixture.pool, "s1")->faults, 0);
    ck_assert_int_eq(cw_server_pool_find(fixture.pool, "s1")->avoid_until, 0);
}
END_TEST

START_TEST(an_owner_gets_requests_again_after_its_rest)
{
    engine_fixture_t fixture;

    begin(&fixture);
    give_keys(&fixture);
    ask(&fixture, "GET", "/keyed/x");
    fixture.servers[1].status = 200;
    fixture.servers[1].not_run = false;
    cw_server_pool_find(fixture.pool, "s1")->rest_until = cw_engine_now(fixture.engine);
    ask(&fixture, "GET", "/keyed/y");
    ck_assert_int_eq(fixture.status, 200);
}
END_TEST

START_TEST(another_server_gets_the_request_if_it_will_do)
{
    engine_fixture_t fixture;

    begin(&fixture);
    fixture.servers[1].status = 200;
    fixture.servers[1].not_run = false;
    ask(&fixture, "GET", "/safe/x");
    ask(&fixture, "GET", "/safe/y");
    ck_assert_int_eq(fixture.status, 200);
    ck_assert_uint_eq(fixture.servers[0].requests, 1);
    ck_assert_uint_eq(fixture.servers[1].requests, 2);
}
END_TEST

START_TEST(when_all_servers_rest_the_shortest_rest_is_sent)
{
    engine_fixture_t fixture;

    begin(&fixture);
    ask(&fixture, "GET", "/safe/x");
    ck_assert_int_eq(fixture.status, STATUS_UNAVAILABLE);
    cw_server_pool_find(fixture.pool, "s1")->rest_until = cw_engine_now(fixture.engine) + CW_SECONDS(1);
    ask(&fixture, "GET", "/safe/y");
    ck_assert_int_eq(fixture.status, STATUS_UNAVAILABLE);
    ck_assert(fixture.retry_after_s > 0.9 && fixture.retry_after_s <= 1);
    ck_assert_uint_eq(fixture.servers[0].requests + fixture.servers[1].requests, 2);
}
END_TEST

/** Fake broker, the node that counts slots. */
typedef struct broker {
    uint32_t      asks;
    uint32_t      returns;
    cw_slot_ask_t asked;
} broker_t;

static uint32_t broker_of(void *context, const char *zone, uint32_t service)
{
    (void)context;
    (void)zone;
    (void)service;
    return BROKER;
}

static void on_ask(void *context, uint32_t node, const cw_slot_ask_t *asked)
{
    broker_t *broker = context;

    (void)node;
    broker->asks++;
    broker->asked = *asked;
}

static void on_return(void *context, uint32_t node, const cw_slot_return_t *returned)
{
    (void)node;
    (void)returned;
    ((broker_t *)context)->returns++;
}

static bool has_asked(void *context)
{
    return ((broker_t *)context)->asks > 0;
}

START_TEST(a_slot_of_a_resting_server_is_declined_and_another_requested)
{
    engine_fixture_t fixture;
    broker_t         broker = {0};
    cw_slot_port_t   port = {.context = &broker, .broker_of = broker_of, .ask = on_ask, .give_back = on_return};
    cw_slot_reply_t  reply = {.node = BROKER, .outcome = CW_SLOT_GRANTED};
    cw_server_t     *server;

    begin(&fixture);
    cw_engine_set_slots(fixture.engine, &port);
    server = cw_server_pool_find(fixture.pool, "s0");
    server->rest_until = cw_engine_now(fixture.engine) + rest;
    (void)engine_fixture_ask(&fixture, "GET", "/safe/x", "15000");
    cw_test_run_until(&fixture.loop, has_asked, &broker);
    reply.ticket = broker.asked.ticket;
    reply.server = server->hash;
    cw_engine_slot_reply(fixture.engine, &reply);
    ck_assert_uint_eq(broker.returns, 1);
    ck_assert_uint_eq(broker.asks, 2);
    ck_assert_uint_eq(broker.asked.except, server->hash);
    ck_assert_uint_eq(fixture.servers[0].requests, 0);
}
END_TEST

int main(void)
{
    Suite *suite = suite_create("engine, servers at rest");
    TCase *cases = tcase_create("rest");

    tcase_add_test(cases, a_request_is_not_sent_again_to_an_owner_that_asked_for_rest);
    tcase_add_test(cases, a_rest_counts_from_the_arrival_of_the_answer);
    tcase_add_test(cases, further_requests_are_refused_with_the_rest_that_is_left);
    tcase_add_test(cases, a_rest_does_not_count_as_a_fault_of_the_server);
    tcase_add_test(cases, an_owner_gets_requests_again_after_its_rest);
    tcase_add_test(cases, another_server_gets_the_request_if_it_will_do);
    tcase_add_test(cases, when_all_servers_rest_the_shortest_rest_is_sent);
    tcase_add_test(cases, a_slot_of_a_resting_server_is_declined_and_another_requested);
    suite_add_tcase(suite, cases);
    return cw_test_main(suite);
}
