/**
 * @file test_node.c
 * @brief Tests of a node's own parts: operators' requests that wait for a leader, and the forming of the control group.
 */
#include <check.h>
#include <stdlib.h>
#include <string.h>

#include "cedarwinch/error.h"
#include "cedarwinch/node.h"

enum { SELF = 4, LEADER = 1, OTHER_LEADER = 2, SEEDS = 3, CALLER = 77 };

static struct world {
    cw_node_t   *node;
    uint32_t     operator_status;
    unsigned     operator_answers;
    unsigned     operator_requests; /* sent to a leader */
    unsigned     reads;
    unsigned     writes;
    uint64_t     store_id;
    uint8_t      written[4096];
    size_t       written_length;
    cw_instant_t now;
} world;

static Cw__NodeInfo        seed_info[SEEDS];
static const Cw__NodeInfo *seeds[SEEDS];

static void port_send(void *context, cw_node_id_t to, Cw__Envelope *envelope)
{
    (void)context;
    (void)to;
    if (envelope->body_case == CW__ENVELOPE__BODY_OPERATOR_REQUEST) {
        world.operator_requests++;
    }
}

static void port_learn(void *context, const Cw__NodeInfo *node)
{
    (void)context;
    (void)node;
}

static void port_store(void *context, const cw_store_request_t *request)
{
    (void)context;
    world.store_id = request->id;
    if (request->operation == CW_STORE_WRITE) {
        world.writes++;
        ck_assert_uint_eq(request->expected_version, 0);
        ck_assert_uint_le(request->value_length, sizeof(world.written));
        memcpy(world.written, request->value, request->value_length);
        world.written_length = request->value_length;
    } else {
        world.reads++;
    }
}

static void port_operator_respond(void *context, uint64_t caller_id, const Cw__OperatorResponse *response)
{
    (void)context;
    ck_assert_uint_eq(caller_id, CALLER);
    world.operator_status = response->status;
    world.operator_answers++;
}

static void create_node(cw_node_id_t id)
{
    static const cw_ports_t ports = {
        .send = port_send, .learn_node = port_learn, .store = port_store, .operator_respond = port_operator_respond};
    Cw__NodeInfo      self = CW__NODE_INFO__INIT;
    cw_node_options_t options;
    unsigned          position;

    memset(&world, 0, sizeof(world));
    world.now.monotonic_us = CW_US_PER_S;
    for (position = 0; position < SEEDS; position++) {
        cw__node_info__init(&seed_info[position]);
        seed_info[position].id = position + 1;
        seed_info[position].incarnation = 100 + position;
        seed_info[position].address = "127.0.0.1";
        seeds[position] = &seed_info[position];
    }
    self.id = id;
    self.incarnation = id <= SEEDS ? 100 + id - 1 : 500;
    self.address = "127.0.0.1";
    self.zone = "a";
    cw_node_options_default(&options);
    options.self = &self;
    options.seeds = seeds;
    options.seed_count = SEEDS;
    options.bootstrap = id <= SEEDS;
    options.seed = 1;
    ck_assert_int_eq(cw_node_create(&world.node, &options, &ports, world.now), CW_OK);
}

static void tick_for(int64_t milliseconds)
{
    int64_t end = world.now.monotonic_us + milliseconds * CW_US_PER_MS;

    while (world.now.monotonic_us < end) {
        world.now.monotonic_us += 50 * CW_US_PER_MS;
        cw_node_tick(world.node, world.now);
    }
}

/* The route table names a leader, as the relay's parent tells it. */
static void tell_leader(cw_node_id_t leader, uint64_t term)
{
    Cw__Envelope        envelope = CW__ENVELOPE__INIT;
    Cw__RouteUpdate     update = CW__ROUTE_UPDATE__INIT;
    Cw__ControlSnapshot snapshot = CW__CONTROL_SNAPSHOT__INIT;

    snapshot.version = term;
    update.generation = 1;
    update.term = term;
    update.beat = 1;
    update.version = term;
    update.changes = &snapshot;
    update.leader = &seed_info[leader - 1];
    envelope.from = leader;
    envelope.from_incarnation = seed_info[leader - 1].incarnation;
    envelope.body_case = CW__ENVELOPE__BODY_ROUTE_UPDATE;
    envelope.route_update = &update;
    cw_node_receive(world.node, &envelope, world.now);
}

static void ask(const char *operation)
{
    cw_node_operator_request(world.node, CALLER, operation, "token", "", "argument", world.now);
}

START_TEST(without_a_leader_the_operator_is_refused_at_once)
{
    create_node(SELF);
    ask("status");
    ck_assert_uint_eq(world.operator_status, 503);
    ck_assert_uint_eq(world.operator_requests, 0);
    cw_node_free(world.node);
}
END_TEST

START_TEST(a_lost_leader_ends_the_wait_at_once)
{
    static const struct {
        const char *operation;
        uint32_t    status;
    } cases[] = {{"status", 503}, {"plan", 503}, {"explain", 503}, {"confirm", 504}, {"drain", 504}};

    create_node(SELF);
    tell_leader(LEADER, 1);
    ask(cases[_i].operation);
    ck_assert_uint_eq(world.operator_requests, 1);
    ck_assert_uint_eq(world.operator_answers, 0);
    cw_node_peer_lost(world.node, OTHER_LEADER, world.now);
    ck_assert_uint_eq(world.operator_answers, 0);
    cw_node_peer_lost(world.node, LEADER, world.now);
    ck_assert_uint_eq(world.operator_answers, 1);
    ck_assert_uint_eq(world.operator_status, cases[_i].status);
    tick_for(20000);
    ck_assert_uint_eq(world.operator_answers, 1);
    cw_node_free(world.node);
}
END_TEST

START_TEST(a_new_leader_ends_the_wait_for_the_former)
{
    create_node(SELF);
    tell_leader(LEADER, 1);
    ask("confirm");
    tell_leader(OTHER_LEADER, 2);
    ck_assert_uint_eq(world.operator_answers, 1);
    ck_assert_uint_eq(world.operator_status, 504);
    cw_node_free(world.node);
}
END_TEST

static void greet(cw_node_id_t seed)
{
    Cw__Envelope envelope = CW__ENVELOPE__INIT;
    Cw__Hello    hello = CW__HELLO__INIT;

    hello.node = &seed_info[seed - 1];
    envelope.from = seed;
    envelope.from_incarnation = seed_info[seed - 1].incarnation;
    envelope.body_case = CW__ENVELOPE__BODY_HELLO;
    envelope.hello = &hello;
    cw_node_receive(world.node, &envelope, world.now);
}

static void complete_store(int error, const cw_store_object_t *object)
{
    cw_store_completion_t completion = {.id = world.store_id, .error = error, .objects = object};

    completion.object_count = object != NULL ? 1 : 0;
    cw_node_store_completed(world.node, &completion, world.now);
}

START_TEST(the_record_is_written_only_when_all_candidates_are_heard)
{
    create_node(1);
    tick_for(1000);
    complete_store(CW_ERROR_NOT_FOUND, NULL);
    ck_assert_uint_eq(world.writes, 0);
    greet(2);
    tick_for(1000);
    complete_store(CW_ERROR_NOT_FOUND, NULL);
    ck_assert_uint_eq(world.writes, 0);
    greet(2);
    greet(3);
    tick_for(4000);
    complete_store(CW_ERROR_NOT_FOUND, NULL);
    ck_assert_uint_eq(world.writes, 0); /* heard too long ago */
    greet(2);
    greet(3);
    tick_for(1000);
    complete_store(CW_ERROR_NOT_FOUND, NULL);
    ck_assert_uint_eq(world.writes, 1);
    cw_node_free(world.node);
}
END_TEST

START_TEST(a_replica_starts_only_under_the_incarnation_of_the_record)
{
    Cw__Bootstrap    *record;
    cw_store_object_t object = {.name = "cedarwinch/bootstrap", .version = 1};
    uint8_t           bytes[sizeof(world.written)];
    size_t            length;

    create_node(1);
    greet(2);
    greet(3);
    tick_for(500);
    complete_store(CW_ERROR_NOT_FOUND, NULL);
    ck_assert_uint_eq(world.writes, 1);
    record = cw__bootstrap__unpack(NULL, world.written_length, world.written);
    ck_assert_ptr_nonnull(record);
    record->members[0]->incarnation += _i;
    length = cw__bootstrap__pack(record, bytes);
    object.value = bytes;
    object.value_length = length;
    complete_store(CW_ERROR_UNKNOWN, NULL); /* the write's answer was lost: read back */
    complete_store(CW_OK, &object);
    ck_assert_int_eq(cw_node_control(world.node) != NULL, _i == 0);
    cw__bootstrap__free_unpacked(record, NULL);
    cw_node_free(world.node);
}
END_TEST

START_TEST(nodes_that_are_no_candidates_never_ask_the_store)
{
    create_node(SELF);
    tick_for(5000);
    ck_assert_uint_eq(world.reads + world.writes, 0);
    cw_node_free(world.node);
}
END_TEST

int main(void)
{
    Suite   *suite = suite_create("node");
    TCase   *tests = tcase_create("node");
    SRunner *runner = srunner_create(suite);
    int      failed;

    tcase_add_test(tests, without_a_leader_the_operator_is_refused_at_once);
    tcase_add_loop_test(tests, a_lost_leader_ends_the_wait_at_once, 0, 5);
    tcase_add_test(tests, a_new_leader_ends_the_wait_for_the_former);
    tcase_add_test(tests, the_record_is_written_only_when_all_candidates_are_heard);
    tcase_add_loop_test(tests, a_replica_starts_only_under_the_incarnation_of_the_record, 0, 2);
    tcase_add_test(tests, nodes_that_are_no_candidates_never_ask_the_store);
    suite_add_tcase(suite, tests);
    srunner_run_all(runner, CK_NORMAL);
    failed = srunner_ntests_failed(runner);
    srunner_free(runner);
    return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
