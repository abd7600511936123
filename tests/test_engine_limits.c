/**
 * @file test_engine_limits.c
 * @brief Requests for servers that name a rate limit, where nodes are few: sent by leave of the node that counts, or
 * not.
 */
#include <stdio.h>
#include <string.h>

#include "base/metrics.h"
#include "engine_fixture.h"

enum { BROKER = 77 };

/** The node that counts, as the engine sees it. */
typedef struct counting_node {
    uint32_t      asks;
    cw_slot_ask_t asked; /* last */
    uint32_t      returns;
    double        limit_per_s; /* named by the answer that came with the last return; below 0: none */
} counting_node_t;

static uint32_t broker_of(void *context, const char *zone, uint32_t service)
{
    (void)context;
    (void)zone;
    (void)service;
    return BROKER;
}

static void on_ask(void *context, uint32_t broker, const cw_slot_ask_t *asked)
{
    counting_node_t *node = context;

    (void)broker;
    node->asks++;
    node->asked = *asked;
}

static void on_give_back(void *context, uint32_t broker, const cw_slot_return_t *returned)
{
    counting_node_t *node = context;

    (void)broker;
    node->returns++;
    node->limit_per_s = returned->signals != NULL && returned->signals->has_limit ? returned->signals->limit_per_s : -1;
}

static bool has_asked(void *context)
{
    return ((counting_node_t *)context)->asks > 0;
}

/* All answers name a limit of 3 a second. */
static void decode(int status, const cw_http_fields_t *fields, cw_server_signals_t *signals)
{
    (void)status;
    (void)fields;
    *signals = (cw_server_signals_t){.has_run = true, .has_limit = true, .limit_per_s = 3};
}

static void begin(engine_world_t *world, counting_node_t *node)
{
    cw_slot_port_t port = {
        .context = node, .only_limited = true, .broker_of = broker_of, .ask = on_ask, .give_back = on_give_back};

    memset(node, 0, sizeof(*node));
    engine_world_init(world);
    world->servers[0].status = 200;
    world->servers[1].status = 200;
    world->engine->settings.decode_signals = decode;
    cw_engine_set_nodes(world->engine, 4, 4);
    cw_engine_set_slots(world->engine, &port);
}

static void limit(engine_world_t *world, const char *server, double per_s)
{
    cw_engine_apply_reported_limit(world->engine, cw_server_pool_find(world->pool, server), per_s,
                                   cw_engine_now(world->engine));
}

static void reply(engine_world_t *world, const counting_node_t *node, cw_slot_outcome_t outcome)
{
    cw_slot_reply_t message = {
        .node = BROKER, .ticket = node->asked.ticket, .outcome = outcome, .server = node->asked.server};

    message.free_after = outcome == CW_SLOT_REFUSED ? CW_MS(4500) : 0;
    cw_engine_slot_reply(world->engine, &message);
}

/* s1 owns all keys. */
static void ask_by_key(engine_world_t *world)
{
    cw_key_route_t route = {.low = 0, .last = 65535, .fence = 1, .routable = true};

    snprintf(route.server, sizeof(route.server), "s1");
    cw_engine_set_tables_valid(world->engine, cw_engine_now(world->engine), CW_NEVER);
    cw_engine_set_table(world->engine, "keyed", &route, 1, 1);
    cw_server_pool_find(world->pool, "s1")->service = strdup("keyed");
    (void)engine_world_ask(world, "GET", "/keyed/x", "15000");
}

START_TEST(a_server_without_a_limit_is_sent_to_without_asking)
{
    engine_world_t  world;
    counting_node_t node;

    begin(&world, &node);
    (void)engine_world_ask(&world, "GET", "/safe/x", "15000");
    cw_test_run_until_set(&world.loop, &world.answered);
    ck_assert_int_eq(world.status, 200);
    ck_assert_uint_eq(node.asks, 0);
    ck_assert(cw_server_is_limited(cw_server_pool_find(world.pool, "s0"), cw_engine_now(world.engine)));
}
END_TEST

START_TEST(the_owner_of_a_key_with_a_limit_is_sent_to_by_leave_and_its_answer_goes_back)
{
    engine_world_t  world;
    counting_node_t node;

    begin(&world, &node);
    limit(&world, "s1", 6);
    ask_by_key(&world);
    cw_test_run_until(&world.loop, has_asked, &node);
    ck_assert_uint_eq(node.asked.server, cw_server_pool_find(world.pool, "s1")->hash);
    ck_assert_uint_eq(world.servers[1].requests, 0);
    reply(&world, &node, CW_SLOT_GRANTED);
    cw_test_run_until_set(&world.loop, &world.answered);
    ck_assert_int_eq(world.status, 200);
    ck_assert_uint_eq(node.returns, 1);
    ck_assert_double_eq(node.limit_per_s, 3);
}
END_TEST

START_TEST(what_is_beyond_an_owners_limit_is_refused_at_once_with_the_true_time)
{
    engine_world_t  world;
    counting_node_t node;

    begin(&world, &node);
    limit(&world, "s1", 6);
    ask_by_key(&world);
    cw_test_run_until(&world.loop, has_asked, &node);
    reply(&world, &node, CW_SLOT_REFUSED);
    cw_test_run_until_set(&world.loop, &world.answered);
    ck_assert_int_eq(world.status, 503);
    ck_assert(world.retry_after_s > 4.4 && world.retry_after_s <= 4.5);
    ck_assert_uint_eq(world.servers[1].requests, 0);
    ck_assert_uint_eq(cw_metric_value(CW_METRIC_REFUSED_SERVER_LIMIT), 1);
}
END_TEST

START_TEST(what_one_limited_server_has_no_room_for_goes_to_another_server)
{
    engine_world_t  world;
    counting_node_t node;

    begin(&world, &node);
    limit(&world, "s0", 6); /* which would be chosen first */
    (void)engine_world_ask(&world, "GET", "/safe/x", "15000");
    cw_test_run_until(&world.loop, has_asked, &node);
    ck_assert_uint_eq(node.asked.server, cw_server_pool_find(world.pool, "s0")->hash);
    ck_assert_int_eq(node.asked.max_slot_wait, 0);
    reply(&world, &node, CW_SLOT_REFUSED);
    cw_test_run_until_set(&world.loop, &world.answered);
    ck_assert_int_eq(world.status, 200);
    ck_assert_str_eq(world.body.data, "s1");
    ck_assert_uint_eq(node.asks, 1);
}
END_TEST

START_TEST(where_all_servers_are_beyond_their_limits_the_first_room_is_told)
{
    engine_world_t  world;
    counting_node_t node;

    begin(&world, &node);
    limit(&world, "s0", 6);
    limit(&world, "s1", 6);
    (void)engine_world_ask(&world, "GET", "/safe/x", "15000");
    cw_test_run_until(&world.loop, has_asked, &node);
    ck_assert_int_gt(node.asked.max_slot_wait, CW_SECONDS(10)); /* nothing else would do: it may wait */
    reply(&world, &node, CW_SLOT_REFUSED);
    reply(&world, &node, CW_SLOT_REFUSED);
    cw_test_run_until_set(&world.loop, &world.answered);
    ck_assert_int_eq(world.status, 503);
    ck_assert(world.retry_after_s > 4.4 && world.retry_after_s <= 4.5);
    ck_assert_uint_eq(world.servers[0].requests + world.servers[1].requests, 0);
}
END_TEST

START_TEST(answers_to_requests_that_did_not_run_do_not_end_a_limit)
{
    engine_world_t      world;
    counting_node_t     node;
    cw_server_signals_t signals = {.has_run = false};
    cw_server_t        *server;
    int                 answer;

    begin(&world, &node);
    server = cw_server_pool_find(world.pool, "s0");
    cw_engine_apply_reported_limit(world.engine, server, 6, cw_engine_now(world.engine) - CW_SECONDS(2));
    for (answer = 0; answer < 10; answer++) {
        cw_engine_note_signals(world.engine, server, &signals, "r");
    }
    ck_assert(cw_server_is_limited(server, cw_engine_now(world.engine)));
    signals.has_run = true;
    for (answer = 0; answer < CW_LIMIT_UNNAMED_ANSWERS; answer++) {
        cw_engine_note_signals(world.engine, server, &signals, "r");
    }
    ck_assert(!cw_server_is_limited(server, cw_engine_now(world.engine)));
}
END_TEST

START_TEST(a_limit_that_is_raised_is_tried_at_once_where_the_one_before_had_no_room)
{
    engine_world_t  world;
    counting_node_t node;

    begin(&world, &node);
    limit(&world, "s0", 0);
    cw_server_note_limit_refused(cw_server_pool_find(world.pool, "s0"), CW_SECONDS(5), cw_engine_now(world.engine));
    limit(&world, "s0", 50);
    (void)engine_world_ask(&world, "GET", "/safe/x", "15000");
    cw_test_run_until(&world.loop, has_asked, &node);
    ck_assert_uint_eq(node.asked.server, cw_server_pool_find(world.pool, "s0")->hash);
}
END_TEST

START_TEST(while_the_counting_node_does_not_reply_only_the_own_part_is_sent)
{
    engine_world_t  world;
    counting_node_t node;

    begin(&world, &node);
    limit(&world, "s1", 6);
    ask_by_key(&world);
    cw_test_run_until_set(&world.loop, &world.answered);
    ck_assert_int_eq(world.status, 503); /* the part of one of four nodes begins empty */
    ck_assert_uint_eq(node.asks, 2);
    ck_assert_uint_eq(world.servers[1].requests, 0);
    engine_world_run_for(&world, CW_MS(750)); /* 6 a second, shared by 4: a token in 667 ms */
    world.answered = false;
    (void)engine_world_ask(&world, "GET", "/keyed/x", "15000");
    cw_test_run_until_set(&world.loop, &world.answered);
    ck_assert_int_eq(world.status, 200);
}
END_TEST

int main(void)
{
    Suite *suite = suite_create("engine, rate limits of servers");
    TCase *cases = tcase_create("limits");

    tcase_add_test(cases, a_server_without_a_limit_is_sent_to_without_asking);
    tcase_add_test(cases, the_owner_of_a_key_with_a_limit_is_sent_to_by_leave_and_its_answer_goes_back);
    tcase_add_test(cases, what_is_beyond_an_owners_limit_is_refused_at_once_with_the_true_time);
    tcase_add_test(cases, what_one_limited_server_has_no_room_for_goes_to_another_server);
    tcase_add_test(cases, where_all_servers_are_beyond_their_limits_the_first_room_is_told);
    tcase_add_test(cases, answers_to_requests_that_did_not_run_do_not_end_a_limit);
    tcase_add_test(cases, a_limit_that_is_raised_is_tried_at_once_where_the_one_before_had_no_room);
    tcase_add_test(cases, while_the_counting_node_does_not_reply_only_the_own_part_is_sent);
    suite_add_tcase(suite, cases);
    return cw_test_main(suite);
}
