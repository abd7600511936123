/**
 * @file test_engine_slots.c
 * @brief Slots requested from the nodes that count them (brokers): granted, refused or not replied to.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "endless_server.h"
#include "engine_fixture.h"

/** Fake broker that records the messages it was sent. */
typedef struct fake_broker {
    uint32_t      asks;
    cw_slot_ask_t asked; /* the last request for a slot */
    uint32_t      returns;
    cw_slot_end_t end; /* use of the slot in the last return */
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

/* Sends a request and waits until it has asked for a slot. */
static void ask_for_slot(engine_fixture_t *fixture, fake_broker_t *fake, const char *path)
{
    cw_slot_port_t port = {.context = fake, .broker_of = fake_broker_of, .ask = fake_ask, .give_back = fake_give_back};

    memset(fake, 0, sizeof(*fake));
    engine_fixture_init(fixture);
    fixture->servers[0].status = 200;
    fixture->servers[1].status = 200;
    cw_engine_set_slots(fixture->engine, &port);
    (void)engine_fixture_ask(fixture, "GET", path, "15000");
    cw_test_run_until(&fixture->loop, has_asked, fake);
}

static void reply(engine_fixture_t *fixture, const fake_broker_t *fake, cw_slot_outcome_t outcome, const char *server)
{
    cw_slot_reply_t message = {.node = BROKER, .ticket = fake->asked.ticket, .outcome = outcome};

    message.server = server == NULL ? 0 : cw_server_pool_find(fixture->pool, server)->hash;
    message.free_after = outcome == CW_SLOT_REFUSED ? CW_MS(300) : 0;
    cw_engine_slot_reply(fixture->engine, &message);
}

START_TEST(a_request_goes_to_the_server_of_its_slot_and_returns_it)
{
    engine_fixture_t fixture;
    fake_broker_t    fake;

    ask_for_slot(&fixture, &fake, "/safe/x");
    ck_assert_uint_eq(fixture.servers[0].requests + fixture.servers[1].requests, 0);
    reply(&fixture, &fake, CW_SLOT_GRANTED, "s1");
    cw_test_run_until_set(&fixture.loop, &fixture.answered);
    ck_assert_int_eq(fixture.status, 200);
    ck_assert_str_eq(fixture.body.data, "s1");
    ck_assert_uint_eq(fake.returns, 1);
    ck_assert_int_eq(fake.end, CW_SLOT_ANSWERED);
}
END_TEST

/* The broker counts the spoiled answer; this node does not count it as well. */
START_TEST(a_spoiled_answer_is_reported_with_its_slot)
{
    engine_fixture_t fixture;
    fake_broker_t    fake;
    endless_server_t spoiling;
    cw_server_t     *server;

    ask_for_slot(&fixture, &fake, "/once/x");
    endless_server_start(&spoiling, &fixture.loop, "HTTP/1.1 200 OK\r\n\r\n", "endless ");
    server = cw_server_pool_find(fixture.pool, "s0");
    free(server->address);
    server->address = strdup(spoiling.address);
    reply(&fixture, &fake, CW_SLOT_GRANTED, "s0");
    cw_test_run_until_set(&fixture.loop, &fixture.answered);
    ck_assert_int_eq(fixture.status, 502);
    ck_assert_uint_eq(fake.returns, 1);
    ck_assert_int_eq(fake.end, CW_SLOT_SPOILED);
    ck_assert_uint_eq(server->spoiled, 0);
}
END_TEST

START_TEST(a_refused_slot_leads_to_a_refusal_with_the_time_to_retry)
{
    engine_fixture_t fixture;
    fake_broker_t    fake;

    ask_for_slot(&fixture, &fake, "/safe/x");
    /* otherwise s1 would be used, since no broker counts its slots */
    cw_server_pool_find(fixture.pool, "s1")->listed = false;
    reply(&fixture, &fake, CW_SLOT_REFUSED, NULL); /* the first request for a slot, with a short wait */
    ck_assert_uint_eq(fake.asks, 2);
    reply(&fixture, &fake, CW_SLOT_REFUSED, NULL); /* the second one, with a long wait */
    cw_test_run_until_set(&fixture.loop, &fixture.answered);
    ck_assert_int_eq(fixture.status, 503);
    ck_assert(fixture.retry_after_s > 0.29 && fixture.retry_after_s < 0.31);
    ck_assert_uint_eq(fixture.servers[0].requests + fixture.servers[1].requests, 0);
    ck_assert_uint_eq(fake.returns, 0);
}
END_TEST

START_TEST(a_slot_of_another_services_server_is_not_used)
{
    engine_fixture_t fixture;
    fake_broker_t    fake;
    char             other[] = "other";
    cw_server_t     *server;

    ask_for_slot(&fixture, &fake, "/safe/x");
    server = cw_server_pool_find(fixture.pool, "s0");
    server->service = other;
    reply(&fixture, &fake, CW_SLOT_GRANTED, "s0"); /* the grant belongs to another request with the same ticket */
    cw_test_run_until_set(&fixture.loop, &fixture.answered);
    ck_assert_uint_eq(fixture.servers[0].requests, 0);
    ck_assert_uint_eq(fake.returns, 1);
    ck_assert_int_eq(fake.end, CW_SLOT_UNUSED);
    ck_assert_str_eq(fixture.body.data, "s1");
}
END_TEST

START_TEST(a_restarted_process_does_not_reuse_ticket_numbers)
{
    engine_fixture_t former;
    engine_fixture_t later;
    fake_broker_t    fake;
    uint32_t         ticket;

    ask_for_slot(&former, &fake, "/safe/x");
    ticket = fake.asked.ticket;
    ask_for_slot(&later, &fake, "/safe/x");
    ck_assert_uint_ne(fake.asked.ticket, ticket);
}
END_TEST

START_TEST(servers_of_a_zone_without_a_broker_are_used_when_other_zones_refuse)
{
    engine_fixture_t fixture;
    fake_broker_t    fake;

    ask_for_slot(&fixture, &fake, "/safe/x");
    reply(&fixture, &fake, CW_SLOT_REFUSED, NULL);
    reply(&fixture, &fake, CW_SLOT_REFUSED, NULL);
    cw_test_run_until_set(&fixture.loop, &fixture.answered);
    ck_assert_int_eq(fixture.status, 200);
    ck_assert_str_eq(fixture.body.data, "s1");
    ck_assert_uint_eq(fixture.servers[0].requests, 0);
}
END_TEST

START_TEST(without_a_reply_the_server_is_chosen_locally_and_a_late_grant_is_declined)
{
    engine_fixture_t fixture;
    fake_broker_t    fake;

    ask_for_slot(&fixture, &fake, "/safe/x");
    cw_test_run_until_set(&fixture.loop, &fixture.answered);
    ck_assert_int_eq(fixture.status, 200);
    ck_assert_str_eq(fixture.body.data, "s0");
    ck_assert_uint_eq(fake.asks, 2); /* sent twice, since a datagram may be lost */
    ck_assert_uint_eq(fake.returns, 1);
    reply(&fixture, &fake, CW_SLOT_GRANTED, "s0");
    ck_assert_uint_eq(fake.returns, 2);
    ck_assert_int_eq(fake.end, CW_SLOT_UNUSED);
    ck_assert_uint_eq(fixture.servers[0].requests, 1);
}
END_TEST

START_TEST(a_request_taken_from_an_unresponsive_server_is_not_refused_when_no_slot_is_free)
{
    engine_fixture_t fixture;
    fake_broker_t    fake;
    cw_slot_port_t port = {.context = &fake, .broker_of = fake_broker_of, .ask = fake_ask, .give_back = fake_give_back};
    uint32_t       asks;

    memset(&fake, 0, sizeof(fake));
    engine_fixture_init_with_repeat_factor(
        &fixture, 0.01); /* a repeatable request is repeated after the shortest possible time */
    cw_engine_set_slots(fixture.engine, &port);
    fixture.servers[1].status = 200;
    (void)engine_fixture_ask(&fixture, "GET", "/safe/x", "15000");
    cw_test_run_until(&fixture.loop, has_asked, &fake);
    reply(&fixture, &fake, CW_SLOT_GRANTED, "s0"); /* s0 does not answer */
    cw_test_run_until_set(&fixture.loop, &fixture.servers[0].has_request);
    asks = fake.asks;
    while (fake.asks == asks) {
        uv_run(&fixture.loop, UV_RUN_ONCE);
    }
    reply(&fixture, &fake, CW_SLOT_REFUSED, NULL);
    reply(&fixture, &fake, CW_SLOT_REFUSED, NULL);
    cw_test_run_until_set(&fixture.loop, &fixture.answered);
    ck_assert_int_eq(fixture.status, 200);
    ck_assert_str_eq(fixture.body.data, "s1");
}
END_TEST

START_TEST(a_broker_that_queues_a_repeated_request_is_asked_again_before_it_counts_as_unresponsive)
{
    engine_fixture_t fixture;
    fake_broker_t    fake;
    cw_slot_port_t port = {.context = &fake, .broker_of = fake_broker_of, .ask = fake_ask, .give_back = fake_give_back};

    memset(&fake, 0, sizeof(fake));
    engine_fixture_init_with_repeat_factor(&fixture, 0.01);
    cw_engine_set_slots(fixture.engine, &port);
    fixture.servers[1].status = 200;
    (void)engine_fixture_ask(&fixture, "GET", "/safe/x", "15000");
    cw_test_run_until(&fixture.loop, has_asked, &fake);
    reply(&fixture, &fake, CW_SLOT_GRANTED, "s0"); /* s0 does not answer */
    while (fake.asks == 1) {
        uv_run(&fixture.loop, UV_RUN_ONCE);
    }
    reply(&fixture, &fake, CW_SLOT_QUEUED, NULL); /* it may wait until its deadline, beyond its objective */
    while (fake.asks == 2 && !fixture.answered) {
        uv_run(&fixture.loop, UV_RUN_ONCE);
    }
    ck_assert(!fixture.answered);
    ck_assert_uint_eq(fake.asks, 3);
    ck_assert_uint_eq(fake.returns, 1); /* the slot of s0 */
    reply(&fixture, &fake, CW_SLOT_QUEUED, NULL);
    reply(&fixture, &fake, CW_SLOT_GRANTED, "s1");
    cw_test_run_until_set(&fixture.loop, &fixture.answered);
    ck_assert_int_eq(fixture.status, 200);
    ck_assert_str_eq(fixture.body.data, "s1");
}
END_TEST

START_TEST(a_disconnected_callers_request_for_a_slot_is_withdrawn)
{
    engine_fixture_t    fixture;
    fake_broker_t       fake;
    cw_upstream_call_t *call;
    cw_slot_port_t port = {.context = &fake, .broker_of = fake_broker_of, .ask = fake_ask, .give_back = fake_give_back};

    memset(&fake, 0, sizeof(fake));
    engine_fixture_init(&fixture);
    cw_engine_set_slots(fixture.engine, &port);
    call = engine_fixture_ask(&fixture, "GET", "/safe/x", "15000");
    cw_test_run_until(&fixture.loop, has_asked, &fake);
    reply(&fixture, &fake, CW_SLOT_QUEUED, NULL);
    cw_upstream_call_abandon(call);
    while (fake.returns == 0) {
        uv_run(&fixture.loop, UV_RUN_ONCE);
    }
    ck_assert_int_eq(fake.end, CW_SLOT_UNUSED);
    ck_assert_uint_eq(cw_engine_requests(fixture.engine), 0);
}
END_TEST

/** Fake brokers that record the requests for slots in their order; the test refuses them. */
typedef struct recording_brokers {
    engine_fixture_t *fixture;
    char              text[256]; /* zone and wait in seconds of each request */
    uint32_t          broker;
    cw_slot_ask_t     asked;
    bool              has_asked;
} recording_brokers_t;

static uint32_t broker_of_zone(void *context, const char *zone, uint32_t service)
{
    (void)context;
    (void)service;
    return (uint32_t)(zone[1] - '0'); /* the number in z1 or z2 */
}

static void record_ask(void *context, uint32_t broker, const cw_slot_ask_t *asked)
{
    recording_brokers_t *brokers = context;
    size_t               length = strlen(brokers->text);

    snprintf(brokers->text + length, sizeof(brokers->text) - length, "z%u %d, ", broker,
             (int)(asked->max_slot_wait / 1000000));
    brokers->broker = broker;
    brokers->asked = *asked;
    brokers->has_asked = true;
}

static void ignore_return(void *context, uint32_t broker, const cw_slot_return_t *returned)
{
    (void)context;
    (void)broker;
    (void)returned;
}

static void refuse_all(recording_brokers_t *brokers)
{
    while (!brokers->fixture->answered) {
        if (brokers->has_asked) {
            cw_slot_reply_t message = {.node = brokers->broker,
                                       .ticket = brokers->asked.ticket,
                                       .outcome = CW_SLOT_REFUSED,
                                       .free_after = CW_MS(300)};

            brokers->has_asked = false;
            cw_engine_slot_reply(brokers->fixture->engine, &message);
        }
        uv_run(&brokers->fixture->loop, UV_RUN_NOWAIT);
    }
}

START_TEST(zones_are_asked_by_distance_and_crossing_cost)
{
    engine_fixture_t    fixture;
    recording_brokers_t brokers = {.fixture = &fixture};
    cw_slot_port_t      port = {
             .context = &brokers, .broker_of = broker_of_zone, .ask = record_ask, .give_back = ignore_return};

    engine_fixture_init_with_crossing(&fixture, 100000);
    cw_engine_set_slots(fixture.engine, &port);
    (void)engine_fixture_ask(&fixture, "GET", "/safe/x", "15000");
    refuse_all(&brokers);
    ck_assert_int_eq(fixture.status, 503);
    ck_assert_int_eq(strncmp(brokers.text, "z1 0, z2 0, z1 ", 15),
                     0); /* for a short request, the first wait is just under 1 s */
    brokers.text[0] = '\0';
    (void)engine_fixture_upload(&fixture, "/once/x");
    refuse_all(&brokers);
    ck_assert_int_eq(strncmp(brokers.text, "z1 0, z1 6, z2 0, z1 ", 21), 0);
}
END_TEST

START_TEST(no_ask_may_wait_longer_than_the_time_left_of_its_request)
{
    engine_fixture_t    fixture;
    recording_brokers_t brokers = {.fixture = &fixture};
    cw_slot_port_t      port = {
             .context = &brokers, .broker_of = broker_of_zone, .ask = record_ask, .give_back = ignore_return};

    engine_fixture_init(&fixture);
    cw_engine_set_slots(fixture.engine, &port);
    (void)engine_fixture_ask(&fixture, "GET", "/safe/x", "15000");
    refuse_all(&brokers); /* the last request for a slot has the longest wait */
    ck_assert_int_gt(brokers.asked.max_slot_wait, CW_SECONDS(10));
    ck_assert_int_le(brokers.asked.max_slot_wait, CW_SECONDS(15));
}
END_TEST

/* Refuses all requests for slots until `broker` is asked. */
static void refuse_until_asked(recording_brokers_t *brokers, uint32_t broker)
{
    while (!brokers->has_asked || brokers->broker != broker) {
        if (brokers->has_asked) {
            cw_slot_reply_t message = {
                .node = brokers->broker, .ticket = brokers->asked.ticket, .outcome = CW_SLOT_REFUSED};

            brokers->has_asked = false;
            cw_engine_slot_reply(brokers->fixture->engine, &message);
        }
        uv_run(&brokers->fixture->loop, UV_RUN_NOWAIT);
    }
}

START_TEST(a_zone_that_disappears_between_asks_does_not_shift_the_stages)
{
    engine_fixture_t    fixture;
    recording_brokers_t brokers = {.fixture = &fixture};
    cw_slot_port_t      port = {
             .context = &brokers, .broker_of = broker_of_zone, .ask = record_ask, .give_back = ignore_return};

    engine_fixture_init(&fixture);
    cw_engine_set_slots(fixture.engine, &port);
    (void)engine_fixture_ask(&fixture, "GET", "/safe/x", "15000");
    refuse_until_asked(&brokers, 1);
    cw_server_pool_find(fixture.pool, "s0")->listed = false;
    refuse_all(&brokers);
    ck_assert_int_eq(strncmp(brokers.text, "z1 0, z2 0, z1 ", 15), 0);
}
END_TEST

/* Broker 1 does not reply to a request for a slot, and the request is sent to s0. After this broker 1 is not asked for
 * a while. */
static void begin_with_unresponsive_broker(engine_fixture_t *fixture, recording_brokers_t *brokers,
                                           const cw_slot_port_t *port)
{
    engine_fixture_init(fixture);
    cw_engine_set_slots(fixture->engine, port);
    fixture->servers[0].status = 200;
    (void)engine_fixture_ask(fixture, "GET", "/safe/x", "15000");
    cw_test_run_until_set(&fixture->loop, &fixture->answered);
    ck_assert_int_eq(fixture->status, 200);
    ck_assert_str_eq(fixture->body.data, "s0");
    brokers->has_asked = false;
    brokers->text[0] = '\0';
}

START_TEST(servers_of_a_zone_with_an_unresponsive_broker_are_used_when_other_zones_refuse)
{
    engine_fixture_t    fixture;
    recording_brokers_t brokers = {.fixture = &fixture};
    cw_slot_port_t      port = {
             .context = &brokers, .broker_of = broker_of_zone, .ask = record_ask, .give_back = ignore_return};

    begin_with_unresponsive_broker(&fixture, &brokers, &port);
    (void)engine_fixture_ask(&fixture, "GET", "/safe/y", "15000");
    refuse_all(&brokers);
    ck_assert_int_eq(fixture.status, 200);
    ck_assert_str_eq(fixture.body.data, "s0");
    ck_assert_ptr_null(strstr(brokers.text, "z1"));
}
END_TEST

START_TEST(servers_whose_broker_has_refused_are_not_used_without_a_slot)
{
    engine_fixture_t    fixture;
    recording_brokers_t brokers = {.fixture = &fixture};
    cw_slot_port_t      port = {
             .context = &brokers, .broker_of = broker_of_zone, .ask = record_ask, .give_back = ignore_return};

    begin_with_unresponsive_broker(&fixture, &brokers, &port);
    cw_server_pool_begin_request(cw_server_pool_find(fixture.pool, "s0"),
                                 cw_engine_now(fixture.engine)); /* its only slot is taken */
    (void)engine_fixture_ask(&fixture, "GET", "/safe/y", "15000");
    refuse_all(&brokers);
    ck_assert_int_eq(fixture.status, 503);
    ck_assert_uint_eq(fixture.servers[1].requests, 0);
}
END_TEST

START_TEST(an_unresponsive_broker_does_not_open_servers_that_another_broker_has_refused)
{
    engine_fixture_t    fixture;
    recording_brokers_t brokers = {.fixture = &fixture};
    cw_slot_port_t      port = {
             .context = &brokers, .broker_of = broker_of_zone, .ask = record_ask, .give_back = ignore_return};

    engine_fixture_init(&fixture);
    cw_engine_set_slots(fixture.engine, &port);
    fixture.servers[0].status = 200;
    cw_server_pool_begin_request(cw_server_pool_find(fixture.pool, "s1"),
                                 cw_engine_now(fixture.engine)); /* its only slot is taken */
    (void)engine_fixture_ask(&fixture, "GET", "/safe/x", "15000");
    while (!fixture.answered) {
        if (brokers.has_asked && brokers.broker == 1) {
            cw_slot_reply_t message = {.node = 1, .ticket = brokers.asked.ticket, .outcome = CW_SLOT_REFUSED};

            cw_engine_slot_reply(fixture.engine, &message);
        }
        brokers.has_asked = false;
        uv_run(&fixture.loop, UV_RUN_ONCE);
    }
    ck_assert_ptr_nonnull(strstr(brokers.text, "z2"));
    ck_assert_int_eq(fixture.status, 503);
    ck_assert_uint_eq(fixture.servers[0].requests, 0);
}
END_TEST

START_TEST(when_a_key_moves_before_the_reply_its_new_zone_is_asked)
{
    engine_fixture_t    fixture;
    recording_brokers_t brokers = {.fixture = &fixture};
    cw_slot_port_t      port = {
             .context = &brokers, .broker_of = broker_of_zone, .ask = record_ask, .give_back = ignore_return};
    cw_key_route_t route = {.low = 0, .last = 65535, .server = "s0", .fence = 4, .routable = true};

    engine_fixture_init(&fixture);
    cw_engine_set_slots(fixture.engine, &port);
    cw_engine_set_tables_valid(fixture.engine, 0, INT64_MAX);
    cw_engine_set_table(fixture.engine, "keyed", &route, 1, 1);
    (void)engine_fixture_ask(&fixture, "GET", "/keyed/x", "15000");
    cw_test_run_until_set(&fixture.loop, &brokers.has_asked);
    ck_assert_uint_eq(brokers.broker, 1);
    brokers.has_asked = false;
    snprintf(route.server, sizeof(route.server), "s1");
    cw_engine_set_table(fixture.engine, "keyed", &route, 1, 2);
    cw_test_run_until_set(&fixture.loop, &brokers.has_asked);
    ck_assert_uint_eq(brokers.broker, 2);
    ck_assert_uint_eq(brokers.asked.server, cw_server_pool_find(fixture.pool, "s1")->hash);
}
END_TEST

int main(void)
{
    Suite *suite = suite_create("engine, slots");
    TCase *cases = tcase_create("engine, slots");

    tcase_set_timeout(cases, 60);
    tcase_add_test(cases, a_request_goes_to_the_server_of_its_slot_and_returns_it);
    tcase_add_test(cases, a_spoiled_answer_is_reported_with_its_slot);
    tcase_add_test(cases, a_refused_slot_leads_to_a_refusal_with_the_time_to_retry);
    tcase_add_test(cases, a_slot_of_another_services_server_is_not_used);
    tcase_add_test(cases, a_restarted_process_does_not_reuse_ticket_numbers);
    tcase_add_test(cases, servers_of_a_zone_without_a_broker_are_used_when_other_zones_refuse);
    tcase_add_test(cases, without_a_reply_the_server_is_chosen_locally_and_a_late_grant_is_declined);
    tcase_add_test(cases, a_request_taken_from_an_unresponsive_server_is_not_refused_when_no_slot_is_free);
    tcase_add_test(cases, a_broker_that_queues_a_repeated_request_is_asked_again_before_it_counts_as_unresponsive);
    tcase_add_test(cases, a_disconnected_callers_request_for_a_slot_is_withdrawn);
    tcase_add_test(cases, zones_are_asked_by_distance_and_crossing_cost);
    tcase_add_test(cases, no_ask_may_wait_longer_than_the_time_left_of_its_request);
    tcase_add_test(cases, a_zone_that_disappears_between_asks_does_not_shift_the_stages);
    tcase_add_test(cases, servers_of_a_zone_with_an_unresponsive_broker_are_used_when_other_zones_refuse);
    tcase_add_test(cases, servers_whose_broker_has_refused_are_not_used_without_a_slot);
    tcase_add_test(cases, an_unresponsive_broker_does_not_open_servers_that_another_broker_has_refused);
    tcase_add_test(cases, when_a_key_moves_before_the_reply_its_new_zone_is_asked);
    suite_add_tcase(suite, cases);
    return cw_test_main(suite);
}
