/* Recovery from loss of a majority of the control group: whole nodes over a simulated network and store. */
#include <check.h>
#include <jansson.h>
#include <stdlib.h>
#include <string.h>

#include "common/node_world.h"

enum {
    FOLLOW_PATIENCE_US = 20 * CW_US_PER_S,
    OUT_OF_TOUCH_US = 3200 * CW_US_PER_MS,
    LEASE_MS = 8000,
    OK = 200,
    UNAUTHORIZED = 401,
    CONFLICT = 409,
    UNAVAILABLE = 503,
    TIMEOUT = 504
};

static const char token[] = "administrator";

static node_world_t world;

static uint64_t tenant_version(cw_node_id_t id)
{
    const Cw__TenantConfiguration *tenant =
        cw_control_state_tenant(cw_relay_routes(cw_node_relay(world.nodes[id].node)), "t");

    return tenant == NULL ? 0 : tenant->version;
}

/* Every running node follows the generation's leader and has this version of the tenant's configuration in force. */
static bool all_follow(uint64_t generation, uint64_t version)
{
    const cw_relay_t *relay;
    cw_node_id_t      id;

    for (id = 1; id <= NODE_WORLD_NODES; id++) {
        if (world.nodes[id].node == NULL || world.nodes[id].frozen) {
            continue;
        }
        relay = cw_node_relay(world.nodes[id].node);
        if (!cw_node_ready(world.nodes[id].node, world.now) || cw_relay_generation(relay) != generation ||
            cw_relay_leader(relay)->id != node_world_leader(&world) || tenant_version(id) != version) {
            return false;
        }
    }
    return true;
}

static bool run_until_all_follow(uint64_t generation, uint64_t version)
{
    cw_time_us_t end = world.now.monotonic_us + FOLLOW_PATIENCE_US;

    while (!all_follow(generation, version) && world.now.monotonic_us < end) {
        node_world_run(&world, NODE_WORLD_STEP_US);
    }
    return all_follow(generation, version);
}

/* Six nodes; 1 to 3 form the group; one tenant accepted and in force. */
static void setup(void)
{
    node_world_begin(&world);
    node_world_configure(&world, LEASE_MS);
    ck_assert(run_until_all_follow(1, 1));
    node_world_run(&world, 5 * CW_US_PER_S); /* the last changes of the start have spread */
}

static void teardown(void)
{
    node_world_end(&world);
}

/* Plans at a node and copies the plan's id. */
static uint32_t make_plan(cw_node_id_t id, char plan[64])
{
    uint32_t status = node_world_ask(&world, id, "recover", token, "");
    json_t  *json = json_loads(world.answer[id], 0, NULL);

    strncpy(plan, status == OK ? json_string_value(json_object_get(json, "plan")) : "", 63);
    json_decref(json);
    return status;
}

static uint32_t recover(cw_node_id_t id)
{
    char plan[64] = "";

    ck_assert_uint_eq(make_plan(id, plan), OK);
    return node_world_ask(&world, id, "recover", token, plan);
}

static void stop_majority(void)
{
    node_world_stop(&world, 1);
    node_world_stop(&world, 2);
}

static void wait_out_leases(void)
{
    node_world_run(&world, (LEASE_MS + 100) * CW_US_PER_MS);
}

static uint64_t record_generation(void)
{
    const node_world_object_t *object = node_world_object(&world, "cedarwinch/bootstrap");
    Cw__Bootstrap             *record = cw__bootstrap__unpack(NULL, object->length, object->value);
    uint64_t                   generation = record->generation;

    cw__bootstrap__free_unpacked(record, NULL);
    return generation;
}

START_TEST(test_refused_without_need)
{
    ck_assert_uint_eq(node_world_ask(&world, 5, "recover", "someone", ""), UNAUTHORIZED);
    ck_assert_uint_eq(node_world_ask(&world, 5, "recover", token, ""), CONFLICT);
    ck_assert_ptr_nonnull(strstr(world.answer[5], "is heard"));
}
END_TEST

START_TEST(test_refused_while_majority_answers)
{
    world.silent_group = true;
    node_world_run(&world, 10 * CW_US_PER_S);
    ck_assert_uint_eq(node_world_leader(&world), 0);
    ck_assert_uint_eq(node_world_ask(&world, 5, "recover", token, ""), CONFLICT);
    ck_assert_ptr_nonnull(strstr(world.answer[5], "a majority"));
}
END_TEST

static const Cw__Membership *members_at(cw_node_id_t id)
{
    return cw_raft_membership(cw_control_raft((cw_control_t *)cw_node_control(world.nodes[id].node)));
}

static bool is_replaced(cw_node_id_t former, cw_node_id_t at)
{
    const Cw__Membership *members = members_at(at);
    size_t                position;

    for (position = 0; position < members->n_voters; position++) {
        if (members->voters[position]->id == former) {
            return false;
        }
    }
    return members->n_voters == 3;
}

/* A member that was replaced comes back. In its view it and one more make a majority, but the other has the longer
 * log and knows better: nobody can be elected. */
START_TEST(test_former_member_makes_no_majority)
{
    cw_node_id_t          former = node_world_leader(&world);
    cw_node_id_t          kept = former % 3 + 1;
    const Cw__Membership *members;
    cw_node_id_t          others[2] = {0, 0};
    size_t                count = 0;
    size_t                position;

    world.nodes[former].frozen = true;
    node_world_run(&world, 20 * CW_US_PER_S);
    ck_assert(is_replaced(former, kept));
    members = members_at(kept);
    for (position = 0; position < members->n_voters; position++) {
        if (members->voters[position]->id != kept && count < 2) {
            others[count++] = members->voters[position]->id;
        }
    }
    node_world_stop(&world, others[0]);
    node_world_stop(&world, others[1]);
    world.nodes[former].frozen = false;
    wait_out_leases();
    node_world_run(&world, 5 * CW_US_PER_S);
    ck_assert_uint_eq(recover(kept), OK);
}
END_TEST

START_TEST(test_refused_before_leases_are_over)
{
    char plan[64] = "";

    stop_majority();
    node_world_run(&world, OUT_OF_TOUCH_US);
    ck_assert_uint_eq(make_plan(5, plan), OK);
    ck_assert_ptr_null(strstr(world.answer[5], "\"wait_ms\":0"));
    ck_assert_uint_eq(node_world_ask(&world, 5, "recover", token, plan), UNAVAILABLE);
    ck_assert_ptr_nonnull(strstr(world.answer[5], "leases"));
    ck_assert_uint_eq(record_generation(), 1);
    wait_out_leases();
    ck_assert_uint_eq(node_world_ask(&world, 5, "recover", token, plan), OK);
    ck_assert_uint_eq(record_generation(), 2);
}
END_TEST

/* A node that heard a beat later than this one makes it wait longer. */
START_TEST(test_waits_for_beats_of_others)
{
    char plan[64] = "";

    world.deaf = 5;
    node_world_run(&world, LEASE_MS * CW_US_PER_MS);
    stop_majority();
    ck_assert_uint_eq(make_plan(5, plan), OK);
    ck_assert_uint_eq(node_world_ask(&world, 5, "recover", token, plan), UNAVAILABLE);
    ck_assert_ptr_nonnull(strstr(world.answer[5], "leases"));
    ck_assert_uint_eq(record_generation(), 1);
}
END_TEST

START_TEST(test_new_group_keeps_configuration)
{
    char plan[64] = "";

    stop_majority();
    wait_out_leases();
    ck_assert_uint_eq(make_plan(5, plan), OK);
    ck_assert_uint_eq(node_world_ask(&world, 5, "recover", token, "0123456789abcdef0123456789abcdef"), CONFLICT);
    ck_assert_uint_eq(node_world_ask(&world, 5, "recover", token, plan), OK);
    ck_assert(run_until_all_follow(2, 1));
}
END_TEST

START_TEST(test_members_are_of_different_zones)
{
    Cw__Bootstrap             *record;
    const node_world_object_t *object = node_world_object(&world, "cedarwinch/bootstrap");

    stop_majority();
    wait_out_leases();
    ck_assert_uint_eq(recover(4), OK);
    record = cw__bootstrap__unpack(NULL, object->length, object->value);
    ck_assert_uint_eq(record->n_members, 3);
    ck_assert_uint_eq(record->members[0]->id, 4);
    ck_assert_str_ne(record->members[0]->zone, record->members[1]->zone);
    ck_assert_str_ne(record->members[0]->zone, record->members[2]->zone);
    ck_assert_str_ne(record->members[1]->zone, record->members[2]->zone);
    cw__bootstrap__free_unpacked(record, NULL);
}
END_TEST

/* The store holds a newer configuration than any snapshot or table: the next leader takes it from there. */
START_TEST(test_newer_configuration_is_brought_forward)
{
    stop_majority();
    node_world_configure(&world, LEASE_MS);
    wait_out_leases();
    ck_assert_uint_eq(recover(5), UNAVAILABLE); /* its lease is not known: the longest counts */
    node_world_run(&world, 60 * CW_US_PER_S);
    ck_assert_uint_eq(recover(5), OK);
    ck_assert(run_until_all_follow(2, 2));
}
END_TEST

START_TEST(test_lost_answer_is_settled)
{
    stop_majority();
    wait_out_leases();
    world.store_mode = NODE_WORLD_STORE_LOSES_ANSWER;
    ck_assert_uint_eq(recover(5), OK);
    ck_assert_uint_eq(record_generation(), 2);
    world.store_mode = NODE_WORLD_STORE_OK;
    ck_assert(node_world_run_to_leader(&world, 2));
}
END_TEST

START_TEST(test_lost_write_is_not_called_done)
{
    stop_majority();
    wait_out_leases();
    world.store_mode = NODE_WORLD_STORE_LOSES_WRITE;
    ck_assert_uint_eq(recover(5), TIMEOUT);
    ck_assert_uint_eq(record_generation(), 1);
    ck_assert_uint_eq(node_world_leader(&world), 0);
    world.store_mode = NODE_WORLD_STORE_REFUSES;
    ck_assert_uint_eq(node_world_ask(&world, 6, "recover", token, ""), UNAVAILABLE);
    world.store_mode = NODE_WORLD_STORE_OK;
    ck_assert_uint_eq(recover(6), OK);
    ck_assert(node_world_run_to_leader(&world, 2));
}
END_TEST

START_TEST(test_one_of_racing_recoveries_wins)
{
    char first[64] = "";
    char second[64] = "";

    stop_majority();
    wait_out_leases();
    ck_assert_uint_eq(make_plan(4, first), OK);
    ck_assert_uint_eq(make_plan(5, second), OK);
    node_world_request(&world, 4, "recover", token, first);
    node_world_run(&world, 100 * CW_US_PER_MS); /* the second reads the record before, and writes after the first */
    node_world_request(&world, 5, "recover", token, second);
    node_world_run(&world, 4 * CW_US_PER_S);
    ck_assert_uint_eq(world.status[4], OK);
    ck_assert_uint_eq(world.status[5], CONFLICT);
    ck_assert_uint_eq(record_generation(), 2);
    ck_assert(node_world_run_to_leader(&world, 2));
}
END_TEST

/* The node that wrote the record ends before it called the others. */
START_TEST(test_recovers_again_when_the_first_member_ends)
{
    char plan[64] = "";

    stop_majority();
    wait_out_leases();
    ck_assert_uint_eq(make_plan(5, plan), OK);
    node_world_request(&world, 5, "recover", token, plan);
    while (record_generation() == 1) {
        node_world_run(&world, NODE_WORLD_STEP_US);
    }
    node_world_stop(&world, 5);
    wait_out_leases();
    ck_assert_uint_eq(make_plan(4, plan), CONFLICT); /* the record names it: its replica starts */
    ck_assert(run_until_all_follow(2, 1));
}
END_TEST

START_TEST(test_sent_to_the_node_with_the_newest_state)
{
    world.deaf = 5;
    node_world_stop(&world, 6); /* a change that node 5 does not learn of */
    node_world_run(&world, 3 * CW_US_PER_S);
    stop_majority();
    wait_out_leases();
    ck_assert_uint_eq(node_world_ask(&world, 5, "recover", token, ""), CONFLICT);
    ck_assert_ptr_nonnull(strstr(world.answer[5], "newer state"));
    ck_assert_uint_eq(recover(4), OK);
}
END_TEST

/* A former leader, frozen since before, comes back with its mail. */
START_TEST(test_former_member_has_no_say)
{
    cw_node_id_t former = node_world_leader(&world);
    cw_node_id_t id;
    cw_node_id_t leader;

    world.nodes[former].frozen = true;
    node_world_stop(&world, former % 3 + 1);
    wait_out_leases();
    ck_assert_uint_eq(recover(5), OK);
    ck_assert(node_world_run_to_leader(&world, 2));
    leader = node_world_leader(&world);
    world.nodes[former].frozen = false;
    node_world_run(&world, 5 * CW_US_PER_S);
    ck_assert_uint_eq(node_world_leader(&world), leader);
    ck_assert(!cw_control_is_leader(cw_node_control(world.nodes[former].node)));
    for (id = 1; id <= NODE_WORLD_NODES; id++) {
        if (world.nodes[id].node != NULL) {
            ck_assert_uint_eq(cw_relay_generation(cw_node_relay(world.nodes[id].node)), 2);
            ck_assert_uint_eq(cw_relay_leader(cw_node_relay(world.nodes[id].node))->id, leader);
        }
    }
}
END_TEST

START_TEST(test_restart_of_all_nodes)
{
    cw_node_id_t id;

    for (id = 1; id <= NODE_WORLD_NODES; id++) {
        node_world_stop(&world, id);
        node_world_start(&world, id);
    }
    node_world_run(&world, 12 * CW_US_PER_S);
    ck_assert_uint_eq(node_world_leader(&world), 0);
    ck_assert_uint_eq(recover(2), OK);
    ck_assert(run_until_all_follow(2, 1));
}
END_TEST

static Suite *suite(void)
{
    Suite *created = suite_create("node_recover");
    TCase *tests = tcase_create("recovery");

    tcase_add_checked_fixture(tests, setup, teardown);
    tcase_set_timeout(tests, 60);
    tcase_add_test(tests, test_refused_without_need);
    tcase_add_test(tests, test_refused_while_majority_answers);
    tcase_add_test(tests, test_former_member_makes_no_majority);
    tcase_add_test(tests, test_refused_before_leases_are_over);
    tcase_add_test(tests, test_waits_for_beats_of_others);
    tcase_add_test(tests, test_new_group_keeps_configuration);
    tcase_add_test(tests, test_members_are_of_different_zones);
    tcase_add_test(tests, test_newer_configuration_is_brought_forward);
    tcase_add_test(tests, test_lost_answer_is_settled);
    tcase_add_test(tests, test_lost_write_is_not_called_done);
    tcase_add_test(tests, test_one_of_racing_recoveries_wins);
    tcase_add_test(tests, test_recovers_again_when_the_first_member_ends);
    tcase_add_test(tests, test_sent_to_the_node_with_the_newest_state);
    tcase_add_test(tests, test_former_member_has_no_say);
    tcase_add_test(tests, test_restart_of_all_nodes);
    suite_add_tcase(created, tests);
    return created;
}

int main(void)
{
    SRunner *runner = srunner_create(suite());
    int      failed;

    srunner_run_all(runner, CK_NORMAL);
    failed = srunner_ntests_failed(runner);
    srunner_free(runner);
    return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
