/**
 * @file test_engine_slots.c
 * @brief Slots asked for at the nodes that count them: granted, refused, not replied to.
 */
#include <stdio.h>
#include <string.h>

#include "engine_fixture.h"

/** A node that hands out slots, as the engine sees it: it keeps what it was sent. */
typedef struct fake_broker {
    uint32_t      asks;
    cw_slot_ask_t asked; /* last */
    uint32_t      returns;
    cw_slot_end_t end; /* of the last return */
} fake_broker_t;

enum { BROKER = 77 };

static uint32_t fake_broker_of(void *context, const char *zone, uint32_t service)
{
    (void)context;
    (void)service;
    return strcmp(zone, "z1") == 0 ? BROKER : 0;
}

static void fake_ask(void *context, uint32_t broker, const cw_slot_ask_t *asked)
{
    fake_broker_t *fake = context;

    ck_assert_uint_eq(broker, BROKER);
    fake->asks++;
    fake->asked = *asked;
}

static void fake_give_back(void *context, uint32_t broker, const cw_slot_return_t *returned)
{
    fake_broker_t *fake = context;

    ck_assert_uint_eq(broker, BROKER);
    ck_assert_uint_eq(returned->ticket, fake->asked.ticket);
    fake->returns++;
    fake->end = returned->end;
}

static bool has_asked(void *context)
{
    const fake_broker_t *fake = context;

    return fake->asks > 0;
}

/* A request has asked, and waits for the reply. */
static void ask_for_slot(engine_world_t *world, fake_broker_t *fake, const char *path)
{
    cw_slot_port_t port = {.context = fake, .broker_of = fake_broker_of, .ask = fake_ask, .give_back = fake_give_back};

    memset(fake, 0, sizeof(*fake));
    engine_world_init(world);
    world->servers[0].status = 200;
    world->servers[1].status = 200;
    cw_engine_set_slots(world->engine, &port);
    (void)engine_world_ask(world, "GET", path, "15000");
    cw_test_run_until(&world->loop, has_asked, fake);
}

static void reply(engine_world_t *world, const fake_broker_t *fake, cw_slot_outcome_t outcome, const char *server)
{
    cw_slot_reply_t message = {.node = BROKER, .ticket = fake->asked.ticket, .outcome = outcome};

    message.server = server == NULL ? 0 : cw_server_pool_find(world->pool, server)->hash;
    message.free_after = outcome == CW_SLOT_REFUSED ? CW_MS(300) : 0;
    cw_engine_slot_reply(world->engine, &message);
}

START_TEST(a_request_goes_where_its_slot_is_and_gives_it_back)
{
    engine_world_t world;
    fake_broker_t  fake;

    ask_for_slot(&world, &fake, "/safe/x");
    ck_assert_uint_eq(world.servers[0].requests + world.servers[1].requests, 0);
    reply(&world, &fake, CW_SLOT_GRANTED, "s1");
    cw_test_run_until_set(&world.loop, &world.answered);
    ck_assert_int_eq(world.status, 200);
    ck_assert_str_eq(world.body.data, "s1");
    ck_assert_uint_eq(fake.returns, 1);
    ck_assert_int_eq(fake.end, CW_SLOT_ANSWERED);
}
END_TEST

START_TEST(a_refused_slot_is_a_refusal_with_the_time_to_come_back)
{
    engine_world_t world;
    fake_broker_t  fake;

    ask_for_slot(&world, &fake, "/safe/x");
    cw_server_pool_find(world.pool, "s1")->listed = false; /* no broker counts its slots: it would be used */
    reply(&world, &fake, CW_SLOT_REFUSED, NULL);           /* one that may hardly wait, */
    ck_assert_uint_eq(fake.asks, 2);
    reply(&world, &fake, CW_SLOT_REFUSED, NULL); /* and one that may */
    cw_test_run_until_set(&world.loop, &world.answered);
    ck_assert_int_eq(world.status, 503);
    ck_assert(world.retry_after_s > 0.29 && world.retry_after_s < 0.31);
    ck_assert_uint_eq(world.servers[0].requests + world.servers[1].requests, 0);
    ck_assert_uint_eq(fake.returns, 0);
}
END_TEST

START_TEST(a_slot_of_another_services_server_is_not_used)
{
    engine_world_t world;
    fake_broker_t  fake;
    char           other[] = "other";
    cw_server_t   *server;

    ask_for_slot(&world, &fake, "/safe/x");
    server = cw_server_pool_find(world.pool, "s0");
    server->service = other;
    reply(&world, &fake, CW_SLOT_GRANTED, "s0"); /* of another ask under the same number */
    cw_test_run_until_set(&world.loop, &world.answered);
    ck_assert_uint_eq(world.servers[0].requests, 0);
    ck_assert_uint_eq(fake.returns, 1);
    ck_assert_int_eq(fake.end, CW_SLOT_UNUSED);
    ck_assert_str_eq(world.body.data, "s1");
}
END_TEST

START_TEST(a_process_that_starts_anew_does_not_ask_under_the_numbers_of_the_one_before)
{
    engine_world_t former;
    engine_world_t later;
    fake_broker_t  fake;
    uint32_t       ticket;

    ask_for_slot(&former, &fake, "/safe/x");
    ticket = fake.asked.ticket;
    ask_for_slot(&later, &fake, "/safe/x");
    ck_assert_uint_ne(fake.asked.ticket, ticket);
}
END_TEST

START_TEST(servers_of_a_zone_without_a_broker_are_used_when_the_others_refuse)
{
    engine_world_t world;
    fake_broker_t  fake;

    ask_for_slot(&world, &fake, "/safe/x");
    reply(&world, &fake, CW_SLOT_REFUSED, NULL);
    reply(&world, &fake, CW_SLOT_REFUSED, NULL);
    cw_test_run_until_set(&world.loop, &world.answered);
    ck_assert_int_eq(world.status, 200);
    ck_assert_str_eq(world.body.data, "s1");
    ck_assert_uint_eq(world.servers[0].requests, 0);
}
END_TEST

START_TEST(without_a_reply_the_server_is_chosen_here_and_a_late_grant_is_declined)
{
    engine_world_t world;
    fake_broker_t  fake;

    ask_for_slot(&world, &fake, "/safe/x");
    cw_test_run_until_set(&world.loop, &world.answered);
    ck_assert_int_eq(world.status, 200);
    ck_assert_str_eq(world.body.data, "s0");
    ck_assert_uint_eq(fake.asks, 2); /* a datagram may be lost */
    ck_assert_uint_eq(fake.returns, 1);
    reply(&world, &fake, CW_SLOT_GRANTED, "s0");
    ck_assert_uint_eq(fake.returns, 2);
    ck_assert_int_eq(fake.end, CW_SLOT_UNUSED);
    ck_assert_uint_eq(world.servers[0].requests, 1);
}
END_TEST

START_TEST(a_request_taken_from_a_silent_server_is_not_given_up_when_no_slot_is_free)
{
    engine_world_t world;
    fake_broker_t  fake;
    cw_slot_port_t port = {.context = &fake, .broker_of = fake_broker_of, .ask = fake_ask, .give_back = fake_give_back};
    uint32_t       asks;

    memset(&fake, 0, sizeof(fake));
    engine_world_init_with_silence(&world, 0.01); /* a repeatable request is repeated after the shortest time */
    cw_engine_set_slots(world.engine, &port);
    world.servers[1].status = 200;
    (void)engine_world_ask(&world, "GET", "/safe/x", "15000");
    cw_test_run_until(&world.loop, has_asked, &fake);
    reply(&world, &fake, CW_SLOT_GRANTED, "s0"); /* which does not answer */
    cw_test_run_until_set(&world.loop, &world.servers[0].has_request);
    asks = fake.asks;
    while (fake.asks == asks) {
        uv_run(&world.loop, UV_RUN_ONCE);
    }
    reply(&world, &fake, CW_SLOT_REFUSED, NULL);
    reply(&world, &fake, CW_SLOT_REFUSED, NULL);
    cw_test_run_until_set(&world.loop, &world.answered);
    ck_assert_int_eq(world.status, 200);
    ck_assert_str_eq(world.body.data, "s1");
}
END_TEST

START_TEST(a_broker_that_lets_a_repeated_request_wait_is_asked_again_before_it_counts_as_unresponsive)
{
    engine_world_t world;
    fake_broker_t  fake;
    cw_slot_port_t port = {.context = &fake, .broker_of = fake_broker_of, .ask = fake_ask, .give_back = fake_give_back};

    memset(&fake, 0, sizeof(fake));
    engine_world_init_with_silence(&world, 0.01);
    cw_engine_set_slots(world.engine, &port);
    world.servers[1].status = 200;
    (void)engine_world_ask(&world, "GET", "/safe/x", "15000");
    cw_test_run_until(&world.loop, has_asked, &fake);
    reply(&world, &fake, CW_SLOT_GRANTED, "s0"); /* which does not answer */
    while (fake.asks == 1) {
        uv_run(&world.loop, UV_RUN_ONCE);
    }
    reply(&world, &fake, CW_SLOT_QUEUED, NULL); /* it may wait until its deadline, after its objective */
    while (fake.asks == 2 && !world.answered) {
        uv_run(&world.loop, UV_RUN_ONCE);
    }
    ck_assert(!world.answered);
    ck_assert_uint_eq(fake.asks, 3);
    ck_assert_uint_eq(fake.returns, 1); /* the slot of s0 */
    reply(&world, &fake, CW_SLOT_QUEUED, NULL);
    reply(&world, &fake, CW_SLOT_GRANTED, "s1");
    cw_test_run_until_set(&world.loop, &world.answered);
    ck_assert_int_eq(world.status, 200);
    ck_assert_str_eq(world.body.data, "s1");
}
END_TEST

START_TEST(a_caller_that_leaves_while_its_request_waits_for_a_slot_withdraws_the_ask)
{
    engine_world_t      world;
    fake_broker_t       fake;
    cw_upstream_call_t *call;
    cw_slot_port_t port = {.context = &fake, .broker_of = fake_broker_of, .ask = fake_ask, .give_back = fake_give_back};

    memset(&fake, 0, sizeof(fake));
    engine_world_init(&world);
    cw_engine_set_slots(world.engine, &port);
    call = engine_world_ask(&world, "GET", "/safe/x", "15000");
    cw_test_run_until(&world.loop, has_asked, &fake);
    reply(&world, &fake, CW_SLOT_QUEUED, NULL);
    cw_upstream_call_abandon(call);
    while (fake.returns == 0) {
        uv_run(&world.loop, UV_RUN_ONCE);
    }
    ck_assert_int_eq(fake.end, CW_SLOT_UNUSED);
    ck_assert_uint_eq(cw_engine_requests(world.engine), 0);
}
END_TEST

/** Asks in their order, each refused at once. */
typedef struct refusing_brokers {
    engine_world_t *world;
    char            text[256]; /* zone and wait in ms of each */
    uint32_t        broker;
    cw_slot_ask_t   asked;
    bool            has_asked;
} refusing_brokers_t;

static uint32_t broker_of_zone(void *context, const char *zone, uint32_t service)
{
    (void)context;
    (void)service;
    return (uint32_t)(zone[1] - '0'); /* z1, z2 */
}

static void note_ask(void *context, uint32_t broker, const cw_slot_ask_t *asked)
{
    refusing_brokers_t *brokers = context;
    size_t              length = strlen(brokers->text);

    snprintf(brokers->text + length, sizeof(brokers->text) - length, "z%u %d, ", broker,
             (int)(asked->max_slot_wait / 1000000));
    brokers->broker = broker;
    brokers->asked = *asked;
    brokers->has_asked = true;
}

static void note_return(void *context, uint32_t broker, const cw_slot_return_t *returned)
{
    (void)context;
    (void)broker;
    (void)returned;
}

static void refuse_all(refusing_brokers_t *brokers)
{
    while (!brokers->world->answered) {
        if (brokers->has_asked) {
            cw_slot_reply_t message = {.node = brokers->broker,
                                       .ticket = brokers->asked.ticket,
                                       .outcome = CW_SLOT_REFUSED,
                                       .free_after = CW_MS(300)};

            brokers->has_asked = false;
            cw_engine_slot_reply(brokers->world->engine, &message);
        }
        uv_run(&brokers->world->loop, UV_RUN_NOWAIT);
    }
}

START_TEST(zones_are_asked_in_order_of_distance_and_of_what_crossing_is_worth)
{
    engine_world_t     world;
    refusing_brokers_t brokers = {.world = &world};
    cw_slot_port_t port = {.context = &brokers, .broker_of = broker_of_zone, .ask = note_ask, .give_back = note_return};

    engine_world_init_with_crossing(&world, 100000);
    cw_engine_set_slots(world.engine, &port);
    (void)engine_world_ask(&world, "GET", "/safe/x", "15000");
    refuse_all(&brokers);
    ck_assert_int_eq(world.status, 503);
    ck_assert_int_eq(strncmp(brokers.text, "z1 0, z2 0, z1 ", 15), 0); /* a short request: 1 s here at first */
    brokers.text[0] = '\0';
    (void)engine_world_upload(&world, "/once/x");
    refuse_all(&brokers);
    ck_assert_int_eq(strncmp(brokers.text, "z1 0, z1 6, z2 0, z1 ", 21), 0);
}
END_TEST

START_TEST(no_ask_may_wait_for_longer_than_its_request_has_time)
{
    engine_world_t     world;
    refusing_brokers_t brokers = {.world = &world};
    cw_slot_port_t port = {.context = &brokers, .broker_of = broker_of_zone, .ask = note_ask, .give_back = note_return};

    engine_world_init(&world);
    cw_engine_set_slots(world.engine, &port);
    (void)engine_world_ask(&world, "GET", "/safe/x", "15000");
    refuse_all(&brokers); /* the last ask may wait the longest */
    ck_assert_int_gt(brokers.asked.max_slot_wait, CW_SECONDS(10));
    ck_assert_int_le(brokers.asked.max_slot_wait, CW_SECONDS(15));
}
END_TEST

/* Refuses all asks until one has come to `broker`. */
static void refuse_until_asked(refusing_brokers_t *brokers, uint32_t broker)
{
    while (!brokers->has_asked || brokers->broker != broker) {
        if (brokers->has_asked) {
            cw_slot_reply_t message = {
                .node = brokers->broker, .ticket = brokers->asked.ticket, .outcome = CW_SLOT_REFUSED};

            brokers->has_asked = false;
            cw_engine_slot_reply(brokers->world->engine, &message);
        }
        uv_run(&brokers->world->loop, UV_RUN_NOWAIT);
    }
}

START_TEST(a_zone_that_leaves_between_asks_costs_no_other_zone_its_ask)
{
    engine_world_t     world;
    refusing_brokers_t brokers = {.world = &world};
    cw_slot_port_t port = {.context = &brokers, .broker_of = broker_of_zone, .ask = note_ask, .give_back = note_return};

    engine_world_init(&world);
    cw_engine_set_slots(world.engine, &port);
    (void)engine_world_ask(&world, "GET", "/safe/x", "15000");
    refuse_until_asked(&brokers, 1);
    cw_server_pool_find(world.pool, "s0")->listed = false;
    refuse_all(&brokers);
    ck_assert_int_eq(strncmp(brokers.text, "z1 0, z2 0, z1 ", 15), 0);
}
END_TEST

/* Broker 1 has not replied to a request, which went to s0; it is not asked now. */
static void begin_with_unresponsive_broker(engine_world_t *world, refusing_brokers_t *brokers,
                                           const cw_slot_port_t *port)
{
    engine_world_init(world);
    cw_engine_set_slots(world->engine, port);
    world->servers[0].status = 200;
    (void)engine_world_ask(world, "GET", "/safe/x", "15000");
    cw_test_run_until_set(&world->loop, &world->answered);
    ck_assert_int_eq(world->status, 200);
    ck_assert_str_eq(world->body.data, "s0");
    brokers->has_asked = false;
    brokers->text[0] = '\0';
}

START_TEST(servers_of_a_zone_whose_broker_is_unresponsive_are_used_when_the_others_refuse)
{
    engine_world_t     world;
    refusing_brokers_t brokers = {.world = &world};
    cw_slot_port_t port = {.context = &brokers, .broker_of = broker_of_zone, .ask = note_ask, .give_back = note_return};

    begin_with_unresponsive_broker(&world, &brokers, &port);
    (void)engine_world_ask(&world, "GET", "/safe/y", "15000");
    refuse_all(&brokers);
    ck_assert_int_eq(world.status, 200);
    ck_assert_str_eq(world.body.data, "s0");
    ck_assert_ptr_null(strstr(brokers.text, "z1"));
}
END_TEST

START_TEST(servers_whose_broker_has_refused_are_not_used_in_place_of_it)
{
    engine_world_t     world;
    refusing_brokers_t brokers = {.world = &world};
    cw_slot_port_t port = {.context = &brokers, .broker_of = broker_of_zone, .ask = note_ask, .give_back = note_return};

    begin_with_unresponsive_broker(&world, &brokers, &port);
    cw_server_pool_begin_request(cw_server_pool_find(world.pool, "s0"), cw_engine_now(world.engine)); /* its one slot */
    (void)engine_world_ask(&world, "GET", "/safe/y", "15000");
    refuse_all(&brokers);
    ck_assert_int_eq(world.status, 503);
    ck_assert_uint_eq(world.servers[1].requests, 0);
}
END_TEST

START_TEST(a_broker_that_does_not_reply_frees_no_slot_that_another_has_refused)
{
    engine_world_t     world;
    refusing_brokers_t brokers = {.world = &world};
    cw_slot_port_t port = {.context = &brokers, .broker_of = broker_of_zone, .ask = note_ask, .give_back = note_return};

    engine_world_init(&world);
    cw_engine_set_slots(world.engine, &port);
    world.servers[0].status = 200;
    cw_server_pool_begin_request(cw_server_pool_find(world.pool, "s1"), cw_engine_now(world.engine)); /* its one slot */
    (void)engine_world_ask(&world, "GET", "/safe/x", "15000");
    while (!world.answered) {
        if (brokers.has_asked && brokers.broker == 1) {
            cw_slot_reply_t message = {.node = 1, .ticket = brokers.asked.ticket, .outcome = CW_SLOT_REFUSED};

            cw_engine_slot_reply(world.engine, &message);
        }
        brokers.has_asked = false;
        uv_run(&world.loop, UV_RUN_ONCE);
    }
    ck_assert_ptr_nonnull(strstr(brokers.text, "z2"));
    ck_assert_int_eq(world.status, 503);
    ck_assert_uint_eq(world.servers[0].requests, 0);
}
END_TEST

START_TEST(a_key_that_moves_to_another_zone_before_the_reply_is_asked_for_there)
{
    engine_world_t     world;
    refusing_brokers_t brokers = {.world = &world};
    cw_slot_port_t port = {.context = &brokers, .broker_of = broker_of_zone, .ask = note_ask, .give_back = note_return};
    cw_key_route_t route = {.low = 0, .last = 65535, .server = "s0", .fence = 4, .routable = true};

    engine_world_init(&world);
    cw_engine_set_slots(world.engine, &port);
    cw_engine_set_tables_valid(world.engine, 0, INT64_MAX);
    cw_engine_set_table(world.engine, "keyed", &route, 1, 1);
    (void)engine_world_ask(&world, "GET", "/keyed/x", "15000");
    cw_test_run_until_set(&world.loop, &brokers.has_asked);
    ck_assert_uint_eq(brokers.broker, 1);
    brokers.has_asked = false;
    snprintf(route.server, sizeof(route.server), "s1");
    cw_engine_set_table(world.engine, "keyed", &route, 1, 2);
    cw_test_run_until_set(&world.loop, &brokers.has_asked);
    ck_assert_uint_eq(brokers.broker, 2);
    ck_assert_uint_eq(brokers.asked.server, cw_server_pool_find(world.pool, "s1")->hash);
}
END_TEST

int main(void)
{
    Suite *suite = suite_create("engine, slots");
    TCase *cases = tcase_create("engine, slots");

    tcase_set_timeout(cases, 60);
    tcase_add_test(cases, a_request_goes_where_its_slot_is_and_gives_it_back);
    tcase_add_test(cases, a_refused_slot_is_a_refusal_with_the_time_to_come_back);
    tcase_add_test(cases, a_slot_of_another_services_server_is_not_used);
    tcase_add_test(cases, a_process_that_starts_anew_does_not_ask_under_the_numbers_of_the_one_before);
    tcase_add_test(cases, servers_of_a_zone_without_a_broker_are_used_when_the_others_refuse);
    tcase_add_test(cases, without_a_reply_the_server_is_chosen_here_and_a_late_grant_is_declined);
    tcase_add_test(cases, a_request_taken_from_a_silent_server_is_not_given_up_when_no_slot_is_free);
    tcase_add_test(cases, a_broker_that_lets_a_repeated_request_wait_is_asked_again_before_it_counts_as_unresponsive);
    tcase_add_test(cases, a_caller_that_leaves_while_its_request_waits_for_a_slot_withdraws_the_ask);
    tcase_add_test(cases, zones_are_asked_in_order_of_distance_and_of_what_crossing_is_worth);
    tcase_add_test(cases, no_ask_may_wait_for_longer_than_its_request_has_time);
    tcase_add_test(cases, a_zone_that_leaves_between_asks_costs_no_other_zone_its_ask);
    tcase_add_test(cases, servers_of_a_zone_whose_broker_is_unresponsive_are_used_when_the_others_refuse);
    tcase_add_test(cases, servers_whose_broker_has_refused_are_not_used_in_place_of_it);
    tcase_add_test(cases, a_broker_that_does_not_reply_frees_no_slot_that_another_has_refused);
    tcase_add_test(cases, a_key_that_moves_to_another_zone_before_the_reply_is_asked_for_there);
    suite_add_tcase(suite, cases);
    return cw_test_main(suite);
}
