/**
 * @file test_engine_rest.c
 * @brief Servers that turn a request away and ask for rest: this node leaves them alone until then.
 */
#include <stdio.h>
#include <string.h>

#include "base/metrics.h"
#include "engine_fixture.h"

enum { STATUS_UNAVAILABLE = 503, BROKER = 77 };

static const cw_time_us_t rest = CW_SECONDS(3);

static void decode(int status, const cw_http_fields_t *fields, cw_server_signals_t *signals)
{
    (void)fields;
    *signals = (cw_server_signals_t){.has_rest = status == STATUS_UNAVAILABLE, .rest = rest};
}

/* Both servers turn away what comes. */
static void begin(engine_world_t *world)
{
    size_t index;

    engine_world_init(world);
    world->engine->settings.decode_signals = decode;
    for (index = 0; index < ENGINE_WORLD_SERVERS; index++) {
        world->servers[index].status = STATUS_UNAVAILABLE;
        world->servers[index].not_run = true;
    }
}

static void ask(engine_world_t *world, const char *method, const char *path)
{
    world->answered = false;
    (void)engine_world_ask(world, method, path, "15000");
    cw_test_run_until_set(&world->loop, &world->answered);
}

/* s1 owns all keys. */
static void give_keys(engine_world_t *world)
{
    cw_key_route_t route = {.low = 0, .last = 65535, .fence = 1, .routable = true};

    snprintf(route.server, sizeof(route.server), "s1");
    cw_engine_set_tables_valid(world->engine, cw_engine_now(world->engine), CW_NEVER);
    cw_engine_set_table(world->engine, "keyed", &route, 1, 1);
    cw_server_pool_find(world->pool, "s1")->service = strdup("keyed");
}

START_TEST(a_request_is_not_sent_again_to_the_owner_that_turned_it_away)
{
    engine_world_t world;

    begin(&world);
    give_keys(&world);
    ask(&world, "GET", "/keyed/x");
    ck_assert_int_eq(world.status, STATUS_UNAVAILABLE);
    ck_assert_uint_eq(world.servers[1].requests, 1);
    ck_assert(world.retry_after_s > 2.9 && world.retry_after_s <= 3);
    ck_assert_uint_eq(cw_metric_value(CW_METRIC_RETRIES), 0); /* and no retry is charged */
}
END_TEST

START_TEST(the_next_ones_are_refused_at_once_with_what_is_left)
{
    engine_world_t world;

    begin(&world);
    give_keys(&world);
    ask(&world, "GET", "/keyed/x");
    engine_world_run_for(&world, CW_MS(200));
    ask(&world, "GET", "/keyed/y");
    ck_assert_int_eq(world.status, STATUS_UNAVAILABLE);
    ck_assert_uint_eq(world.servers[1].requests, 1);
    ck_assert(world.retry_after_s > 2.5 && world.retry_after_s <= 2.8);
    ck_assert_uint_eq(cw_metric_value(CW_METRIC_REFUSED_REST), 2);
}
END_TEST

START_TEST(a_rest_is_no_fault_of_the_server)
{
    engine_world_t world;

    begin(&world);
    give_keys(&world);
    ask(&world, "GET", "/keyed/x");
    ck_assert_uint_eq(cw_server_pool_find(world.pool, "s1")->faults, 0);
    ck_assert_int_eq(cw_server_pool_find(world.pool, "s1")->avoid_until, 0);
}
END_TEST

START_TEST(the_owner_is_sent_to_again_when_its_rest_is_over)
{
    engine_world_t world;

    begin(&world);
    give_keys(&world);
    ask(&world, "GET", "/keyed/x");
    world.servers[1].status = 200;
    world.servers[1].not_run = false;
    cw_server_pool_find(world.pool, "s1")->rest_until = cw_engine_now(world.engine);
    ask(&world, "GET", "/keyed/y");
    ck_assert_int_eq(world.status, 200);
}
END_TEST

START_TEST(where_another_server_will_do_it_gets_the_request)
{
    engine_world_t world;

    begin(&world);
    world.servers[1].status = 200;
    world.servers[1].not_run = false;
    ask(&world, "GET", "/safe/x");
    ask(&world, "GET", "/safe/y");
    ck_assert_int_eq(world.status, 200);
    ck_assert_uint_eq(world.servers[0].requests, 1);
    ck_assert_uint_eq(world.servers[1].requests, 2);
}
END_TEST

START_TEST(where_all_servers_rest_the_shortest_rest_is_told)
{
    engine_world_t world;

    begin(&world);
    ask(&world, "GET", "/safe/x");
    ck_assert_int_eq(world.status, STATUS_UNAVAILABLE);
    cw_server_pool_find(world.pool, "s1")->rest_until = cw_engine_now(world.engine) + CW_SECONDS(1);
    ask(&world, "GET", "/safe/y");
    ck_assert_int_eq(world.status, STATUS_UNAVAILABLE);
    ck_assert(world.retry_after_s > 0.9 && world.retry_after_s <= 1);
    ck_assert_uint_eq(world.servers[0].requests + world.servers[1].requests, 2);
}
END_TEST

/** A node that hands out slots, as the engine sees it. */
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

START_TEST(a_slot_of_a_server_that_rests_is_declined_and_another_asked_for)
{
    engine_world_t  world;
    broker_t        broker = {0};
    cw_slot_port_t  port = {.context = &broker, .broker_of = broker_of, .ask = on_ask, .give_back = on_return};
    cw_slot_reply_t reply = {.node = BROKER, .outcome = CW_SLOT_GRANTED};
    cw_server_t    *server;

    begin(&world);
    cw_engine_set_slots(world.engine, &port);
    server = cw_server_pool_find(world.pool, "s0");
    server->rest_until = cw_engine_now(world.engine) + rest;
    (void)engine_world_ask(&world, "GET", "/safe/x", "15000");
    cw_test_run_until(&world.loop, has_asked, &broker);
    reply.ticket = broker.asked.ticket;
    reply.server = server->hash;
    cw_engine_slot_reply(world.engine, &reply);
    ck_assert_uint_eq(broker.returns, 1);
    ck_assert_uint_eq(broker.asks, 2);
    ck_assert_uint_eq(broker.asked.except, server->hash);
    ck_assert_uint_eq(world.servers[0].requests, 0);
}
END_TEST

int main(void)
{
    Suite *suite = suite_create("engine, servers at rest");
    TCase *cases = tcase_create("rest");

    tcase_add_test(cases, a_request_is_not_sent_again_to_the_owner_that_turned_it_away);
    tcase_add_test(cases, the_next_ones_are_refused_at_once_with_what_is_left);
    tcase_add_test(cases, a_rest_is_no_fault_of_the_server);
    tcase_add_test(cases, the_owner_is_sent_to_again_when_its_rest_is_over);
    tcase_add_test(cases, where_another_server_will_do_it_gets_the_request);
    tcase_add_test(cases, where_all_servers_rest_the_shortest_rest_is_told);
    tcase_add_test(cases, a_slot_of_a_server_that_rests_is_declined_and_another_asked_for);
    suite_add_tcase(suite, cases);
    return cw_test_main(suite);
}
