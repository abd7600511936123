/**
 * @file test_engine_limits.c
 * @brief Requests for servers that name a rate limit, where there are few nodes: they are sent only with a slot from
 * the broker that counts for the server, or from this node's own part of the limit.
 */
#include <stdio.h>
#include <string.h>

#include "base/metrics.h"
#include "engine_fixture.h"

enum { BROKER = 77 };

/** Fake broker, the node that counts slots. */
typedef struct fake_broker {
    uint32_t      asks;
    cw_slot_ask_t asked; /* the last request for a slot */
    uint32_t      returns;
    /* Rate limit named in the answer that was forwarded with the last returned slot; below 0: none. */
    double limit_per_s;
} fake_broker_t;

static uint32_t broker_of(void *context, const char *zone, uint32_t service)
{
    (void)context;
    (void)zone;
    (void)service;
    return BROKER;
}

static void on_ask(void *context, uint32_t broker, const cw_slot_ask_t *asked)
{
    fake_broker_t *node = context;

    (void)broker;
    node->asks++;
    node->asked = *asked;
}

static void on_give_back(void *context, uint32_t broker, const cw_slot_return_t *returned)
{
    fake_broker_t *node = context;

    (void)broker;
    node->returns++;
    node->limit_per_s = returned->signals != NULL && returned->signals->has_limit ? returned->signals->limit_per_s : -1;
}

static bool has_asked(void *context)
{
    return ((fake_broker_t *)context)->asks > 0;
}

/* Every answer names a limit of 3 requests a second. */
static void decode(int status, const cw_http_fields_t *fields, cw_server_signals_t *signals)
{
    (void)status;
    (void)fields;
    *signals = (cw_server_signals_t){.has_run = true, .has_limit = true, .limit_per_s = 3};
}

static void begin(engine_fixture_t *fixture, fake_broker_t *node)
{
    cw_slot_port_t port = {
        .context = node, .only_limited = true, .broker_of = broker_of, .ask = on_ask, .give_back = on_give_back};

    memset(node, 0, sizeof(*node));
    engine_fixture_init(fixture);
    fixture->servers[0].status = 200;
    fixture->servers[1].status = 200;
    fixture->engine->settings.decode_signals = decode;
    cw_engine_set_nodes(fixture->engine, 4, 4);
    cw_engine_set_slots(fixture->engine, &port);
}

static void limit(engine_fixture_t *fixture, const char *server, double per_s)
{
    cw_engine_apply_reported_limit(fixture->engine, cw_server_pool_find(fixture->pool, server), per_s,
                                   cw_engine_now(fixture->engine));
}

static void reply(engine_fixture_t *fixture, const fake_broker_t *node, cw_slot_outcome_t outcome)
{
    cw_slot_reply_t message = {
        .node = BROKER, .ticket = node->asked.ticket, .outcome = outcome, .server = node->asked.server};

    message.free_after = outcome == CW_SLOT_REFUSED ? CW_MS(4500) : 0;
    cw_engine_slot_reply(fixture->engine, &message);
}

/* Makes s1 the owner of all keys, and sends a request for a key. */
static void ask_by_key(engine_fixture_t *fixture)
{
    cw_key_route_t route = {.low = 0, .last = 65535, .fence = 1, .routable = true};

    snprintf(route.server, sizeof(route.server), "s1");
    cw_engine_set_tables_valid(fixture->engine, cw_engine_now(fixture->engine), CW_NEVER);
    cw_engine_set_table(fixture->engine, "keyed", &route, 1, 1);
    cw_server_pool_find(fixture->pool, "s1")->service = strdup("keyed");
    (void)engine_fixture_ask(fixture, "GET", "/keyed/x", "15000");
}

START_TEST(no_slot_is_requested_for_a_server_without_a_limit)
{
    engine_fixture_t fixture;
    fake_broker_t    node;

    begin(&fixture, &node);
    (void)engine_fixture_ask(&fixture, "GET", "/safe/x", "15000");
    cw_test_run_until_set(&fixture.loop, &fixture.answered);
    ck_assert_int_eq(fixture.status, 200);
    ck_assert_uint_eq(node.asks, 0);
    ck_assert(cw_server_is_limited(cw_server_pool_find(fixture.pool, "s0"), cw_engine_now(fixture.engine)));
}
END_TEST

START_TEST(a_request_to_an_owner_with_a_limit_needs_a_slot_that_is_returned)
{
    engine_fixture_t fixture;
    fake_broker_t    node;

    begin(&fixture, &node);
    limit(&fixture, "s1", 6);
    ask_by_key(&fixture);
    cw_test_run_until(&fixture.loop, has_asked, &node);
    ck_assert_uint_eq(node.asked.server, cw_server_pool_find(fixture.pool, "s1")->hash);
    ck_assert_uint_eq(fixture.servers[1].requests, 0);
    reply(&fixture, &node, CW_SLOT_GRANTED);
    cw_test_run_until_set(&fixture.loop, &fixture.answered);
    ck_assert_int_eq(fixture.status, 200);
    ck_assert_uint_eq(node.returns, 1);
    ck_assert_double_eq(node.limit_per_s, 3);
}
END_TEST

START_TEST(a_request_beyond_the_owners_limit_is_refused_with_the_time_to_retry)
{
    engine_fixture_t fixture;
    fake_broker_t    node;

    begin(&fixture, &node);
    limit(&fixture, "s1", 6);
    ask_by_key(&fixture);
    cw_test_run_until(&fixture.loop, has_asked, &node);
    reply(&fixture, &node, CW_SLOT_REFUSED);
    cw_test_run_until_set(&fixture.loop, &fixture.answered);
    ck_assert_int_eq(fixture.status, 503);
    ck_assert(fixture.retry_after_s > 4.4 && fixture.retry_after_s <= 4.5);
    ck_assert_uint_eq(fixture.servers[1].requests, 0);
    ck_assert_uint_eq(cw_metric_value(CW_METRIC_REFUSED_SERVER_LIMIT), 1);
}
END_TEST

START_TEST(a_request_beyond_one_servers_limit_goes_to_another_server)
{
    engine_fixture_t fixture;
    fake_broker_t    node;

    begin(&fixture, &node);
    limit(&fixture, "s0", 6); /* s0 would be chosen first */
    (void)engine_fixture_ask(&fixture, "GET", "/safe/x", "15000");
    cw_test_run_until(&fixture.loop, has_asked, &node);
    ck_assert_uint_eq(node.asked.server, cw_server_pool_find(fixture.pool, "s0")->hash);
    ck_assert_int_eq(node.asked.max_slot_wait, 0);
    reply(&fixture, &node, CW_SLOT_REFUSED);
    cw_test_run_until_set(&fixture.loop, &fixture.answered);
    ck_assert_int_eq(fixture.status, 200);
    ck_assert_str_eq(fixture.body.data, "s1");
    ck_assert_uint_eq(node.asks, 1);
}
END_TEST

START_TEST(when_all_limits_are_reached_the_earliest_time_to_retry_is_sent)
{
    engine_fixture_t fixture;
    fake_broker_t    node;

    begin(&fixture, &node);
    limit(&fixture, "s0", 6);
    limit(&fixture, "s1", 6);
    (void)engine_fixture_ask(&fixture, "GET", "/safe/x", "15000");
    cw_test_run_until(&fixture.loop, has_asked, &node);
    ck_assert_int_gt(node.asked.max_slot_wait, CW_SECONDS(10)); /* no other server will do, so it may wait */
    reply(&fixture, &node, CW_SLOT_REFUSED);
    reply(&fixture, &node, CW_SLOT_REFUSED);
    cw_test_run_until_set(&fixture.loop, &fixture.answered);
    ck_assert_int_eq(fixture.status, 503);
    ck_assert(fixture.retry_after_s > 4.4 && fixture.retry_after_s <= 4.5);
    ck_assert_uint_eq(fixture.servers[0].requests + fixture.servers[1].requests, 0);
}
END_TEST

START_TEST(answers_to_requests_that_were_not_run_do_not_end_a_limit)
{
    engine_fixture_t    fixture;
    fake_broker_t       node;
    cw_server_signals_t signals = {.has_run = false};
    cw_server_t        *server;
    int                 answer;

    begin(&fixture, &node);
    server = cw_server_pool_find(fixture.pool, "s0");
    cw_engine_apply_reported_limit(fixture.engine, server, 6, cw_engine_now(fixture.engine) - CW_SECONDS(2));
    for (answer = 0; answer < 10; answer++) {
        cw_engine_apply_signals(fixture.engine, server, &signals, "r");
    }
    ck_assert(cw_server_is_limited(server, cw_engine_now(fixture.engine)));
    signals.has_run = true;
    for (answer = 0; answer < CW_LIMIT_UNNAMED_ANSWERS; answer++) {
        cw_engine_apply_signals(fixture.engine, server, &signals, "r");
    }
    ck_assert(!cw_server_is_limited(server, cw_engine_now(fixture.engine)));
}
END_TEST

START_TEST(a_server_with_a_raised_limit_is_tried_at_once)
{
    engine_fixture_t fixture;
    fake_broker_t    node;

    begin(&fixture, &node);
    limit(&fixture, "s0", 0);
    cw_server_record_limit_refused(cw_server_pool_find(fixture.pool, "s0"), CW_SECONDS(5),
                                   cw_engine_now(fixture.engine));
    limit(&fixture, "s0", 50);
    (void)engine_fixture_ask(&fixture, "GET", "/safe/x", "15000");
    cw_test_run_until(&fixture.loop, has_asked, &node);
    ck_assert_uint_eq(node.asked.server, cw_server_pool_find(fixture.pool, "s0")->hash);
}
END_TEST

START_TEST(without_a_reply_only_this_nodes_part_of_the_limit_is_used)
{
    engine_fixture_t fixture;
    fake_broker_t    node;

    begin(&fixture, &node);
    limit(&fixture, "s1", 6);
    ask_by_key(&fixture);
    cw_test_run_until_set(&fixture.loop, &fixture.answered);
    ck_assert_int_eq(fixture.status, 503); /* the part of one of four nodes is empty at first */
    ck_assert_uint_eq(node.asks, 2);
    ck_assert_uint_eq(fixture.servers[1].requests, 0);
    engine_fixture_run_for(&fixture, CW_MS(750)); /* 6 a second shared by 4 nodes: a token in 667 ms */
    fixture.answered = false;
    (void)engine_fixture_ask(&fixture, "GET", "/keyed/x", "15000");
    cw_test_run_until_set(&fixture.loop, &fixture.answered);
    ck_assert_int_eq(fixture.status, 200);
}
END_TEST

int main(void)
{
    Suite *suite = suite_create("engine, rate limits of servers");
    TCase *cases = tcase_create("limits");

    tcase_add_test(cases, no_slot_is_requested_for_a_server_without_a_limit);
    tcase_add_test(cases, a_request_to_an_owner_with_a_limit_needs_a_slot_that_is_returned);
    tcase_add_test(cases, a_request_beyond_the_owners_limit_is_refused_with_the_time_to_retry);
    tcase_add_test(cases, a_request_beyond_one_servers_limit_goes_to_another_server);
    tcase_add_test(cases, when_all_limits_are_reached_the_earliest_time_to_retry_is_sent);
    tcase_add_test(cases, answers_to_requests_that_were_not_run_do_not_end_a_limit);
    tcase_add_test(cases, a_server_with_a_raised_limit_is_tried_at_once);
    tcase_add_test(cases, without_a_reply_only_this_nodes_part_of_the_limit_is_used);
    suite_add_tcase(suite, cases);
    return cw_test_main(suite);
}
