/**
 * @file test_control_nodes.c
 * @brief Tests of the control replicas: lost, leaving and returning nodes, journal replicas and voters.
 *        cluster_run() checks after each step that no key has two owners.
 */
#include "common/control_fixture.h"

START_TEST(a_lost_forwarder_is_replaced_before_the_lease_is_over)
{
    cw_node_id_t forwarder;
    uint64_t     fence;

    control_begin_service();
    forwarder = control_server_info(0)->forwarder;
    if (cluster_leader()->info.id == forwarder) {
        forwarder = control_server_info(1)->forwarder; /* not the leader itself */
    }
    fence = control_server_info(forwarder - 1)->fence->index;
    cluster_stop_node(forwarder - 1);
    cluster_run(3 * SECOND);
    ck_assert(cluster_settled());
    ck_assert_uint_ne(control_server_info(forwarder - 1)->forwarder, forwarder);
    ck_assert_uint_gt(control_server_info(forwarder - 1)->fence->index, fence);
    ck_assert_uint_eq(cluster_ranges_of(forwarder - 1), CONTROL_RANGES / CONTROL_SERVERS);
    ck_assert_int_eq(cw_control_state_node(cluster_state(), forwarder)->state, CW__NODE_STATE__NODE_DOWN);
}
END_TEST

START_TEST(a_forwarder_that_restarts_at_once_is_noticed)
{
    cw_node_id_t     forwarder;
    cw_incarnation_t former;

    control_begin_service();
    forwarder = control_server_info(0)->forwarder == cluster_leader()->info.id ? control_server_info(1)->forwarder
                                                                               : control_server_info(0)->forwarder;
    former = cluster.nodes[forwarder - 1].info.incarnation;
    cluster_restart_node(forwarder - 1);
    cluster_run(3 * SECOND);
    ck_assert(cluster_settled());
    ck_assert_uint_ne(control_server_info(0)->forwarder_incarnation, former);
    ck_assert_uint_ne(control_server_info(1)->forwarder_incarnation, former);
}
END_TEST

static bool names_node(void *context, const Cw__RangeInfo *range)
{
    const cw_incarnation_t *incarnation = context;
    size_t                  position;

    for (position = 0; position < range->n_journal; position++) {
        ck_assert_uint_ne(range->journal[position]->incarnation, *incarnation);
    }
    return true;
}

START_TEST(lost_journal_replicas_are_replaced_and_the_old_set_named)
{
    cw_incarnation_t lost;
    uint32_t         node;

    control_begin_service();
    node = control_first_range()->journal[0]->node;
    if (cluster_leader()->info.id == node) {
        node = control_first_range()->journal[1]->node;
    }
    lost = cluster.nodes[node - 1].info.incarnation;
    cluster_stop_node(node - 1);
    cluster_run(5 * SECOND);
    ck_assert(cluster_settled());
    cw_control_state_each_range(cluster_state(), names_node, &lost);
    cw_control_state_each_range(cluster_state(), control_check_zones, (void *)cluster_state());
    ck_assert_uint_eq(control_first_range()->n_former_journal, 3);
    ck_assert_int_eq(control_first_range()->journal_valid_from_ms, 0);
}
END_TEST

START_TEST(with_a_majority_of_replicas_lost_older_request_ids_are_given_up)
{
    size_t  leader;
    size_t  position;
    int64_t lost_ms;

    control_begin_service();
    leader = (size_t)(cluster_leader() - cluster.nodes);
    lost_ms = cluster.now.wall_ms;
    for (position = 0; position < 3; position++) { /* all of the range's replicas but the leader's node */
        if (control_first_range()->journal[position]->node != leader + 1) {
            cluster.nodes[control_first_range()->journal[position]->node - 1].cut = true;
        }
    }
    cluster_run(8 * SECOND);
    if (cluster_state() == NULL) {
        return; /* the control group lost its majority with them: nothing is decided */
    }
    ck_assert_int_gt(control_first_range()->journal_valid_from_ms, lost_ms);
}
END_TEST

START_TEST(a_leaving_forwarder_hands_its_servers_over_drained)
{
    cw_node_id_t forwarder;
    size_t       server;

    control_begin_service();
    forwarder = cluster_leader()->info.id == control_server_info(0)->forwarder ? control_server_info(1)->forwarder
                                                                               : control_server_info(0)->forwarder;
    for (server = 0; server < CONTROL_SERVERS; server++) {
        cluster.servers[server].drain_us = SECOND / 2;
    }
    cw_agent_set_state(cluster.nodes[forwarder - 1].agent, CW__NODE_STATE__NODE_LEAVING);
    cluster_run(SECOND / 2);
    ck_assert_uint_eq(control_server_info(forwarder - 1)->forwarder, forwarder);
    cluster_run(4 * SECOND);
    ck_assert(cluster_settled());
    ck_assert_uint_ne(control_server_info(forwarder - 1)->forwarder, forwarder);
    ck_assert_uint_eq(cluster_ranges_of(forwarder - 1), CONTROL_RANGES / CONTROL_SERVERS);
}
END_TEST

static size_t count_voters(cw_incarnation_t incarnation)
{
    const Cw__Membership *membership = cw_raft_membership(cw_control_raft(cluster_leader()->control));
    size_t                count = 0;
    size_t                position;

    for (position = 0; position < membership->n_voters; position++) {
        count += incarnation == 0 || membership->voters[position]->incarnation == incarnation ? 1 : 0;
    }
    return count;
}

START_TEST(a_dead_voter_is_replaced_and_the_record_says_so)
{
    size_t            victim = 0;
    cw_incarnation_t  lost;
    cluster_object_t *object;
    Cw__Bootstrap    *record;
    size_t            position;

    control_begin_service();
    if (cluster_leader() == &cluster.nodes[0]) {
        victim = 1;
    }
    lost = cluster.nodes[victim].info.incarnation;
    cluster_stop_node(victim);
    cluster_run(8 * SECOND);
    ck_assert_uint_eq(count_voters(0), 3);
    ck_assert_uint_eq(count_voters(lost), 0);
    ck_assert_uint_eq(count_voters(cluster.nodes[victim + 3].info.incarnation), 1); /* of the same zone */
    object = cluster_object("cedarwinch/bootstrap");
    record = cw__bootstrap__unpack(NULL, object->length, object->value);
    ck_assert_uint_eq(record->n_members, 3);
    for (position = 0; position < 3; position++) {
        ck_assert_uint_ne(record->members[position]->incarnation, lost);
    }
    cw__bootstrap__free_unpacked(record, NULL);
}
END_TEST

START_TEST(voters_span_all_zones_again_after_a_lost_zone_is_back)
{
    const Cw__Membership *membership;

    control_begin_service();
    cluster_stop_node(2); /* both nodes of zone c */
    cluster_stop_node(5);
    cluster_run(6 * SECOND);
    ck_assert_uint_eq(count_voters(0), 3);
    cluster_restart_node(2);
    cluster_run(6 * SECOND);
    membership = cw_raft_membership(cw_control_raft(cluster_leader()->control));
    ck_assert_uint_eq(membership->n_voters, 3);
    ck_assert_str_ne(membership->voters[0]->zone, membership->voters[1]->zone);
    ck_assert_str_ne(membership->voters[1]->zone, membership->voters[2]->zone);
    ck_assert_str_ne(membership->voters[0]->zone, membership->voters[2]->zone);
    ck_assert(cluster_settled());
}
END_TEST

START_TEST(a_leaving_leader_hands_over_and_is_taken_out)
{
    cluster_node_t *former;
    int             tries;

    control_begin_service();
    former = cluster_leader();
    cw_agent_set_state(former->agent, CW__NODE_STATE__NODE_LEAVING);
    for (tries = 0; tries < 400 && !cw_control_leave(former->control, cluster.now); tries++) {
        cluster_run(10 * CW_US_PER_MS);
    }
    ck_assert_int_lt(tries, 400);
    ck_assert_ptr_ne(cluster_leader(), former);
    ck_assert_uint_eq(count_voters(former->info.incarnation), 0);
    ck_assert_uint_eq(count_voters(0), 3);
    ck_assert(cluster_run_until(cluster_settled, 5 * SECOND));
}
END_TEST

static bool last_node_is_recorded_otherwise(void)
{
    const Cw__NodeInfo *last = &cluster.nodes[CLUSTER_NODES - 1].info;

    return cw_control_state_node(cluster_state(), last->id)->incarnation != last->incarnation;
}

START_TEST(late_heartbeat_of_a_former_incarnation_is_ignored)
{
    Cw__Heartbeat heartbeat = CW__HEARTBEAT__INIT;
    Cw__Envelope  envelope = CW__ENVELOPE__INIT;
    Cw__NodeInfo  former;

    control_begin_service();
    former = cluster.nodes[CLUSTER_NODES - 1].info;
    cluster_restart_node(CLUSTER_NODES - 1);
    cluster_run(3 * SECOND);
    heartbeat.node = &former;
    heartbeat.sequence = 1000;
    envelope.body_case = CW__ENVELOPE__BODY_HEARTBEAT;
    envelope.heartbeat = &heartbeat;
    cw_control_receive(cluster_leader()->control, &envelope, cluster.now);
    ck_assert(!cluster_run_until(last_node_is_recorded_otherwise, SECOND));
}
END_TEST

START_TEST(a_group_that_was_replaced_stops_leading)
{
    Cw__Bootstrap     record = CW__BOOTSTRAP__INIT;
    cluster_object_t *object;

    control_begin_service();
    cluster_run(SECOND);
    object = cluster_object("cedarwinch/bootstrap");
    record.generation = 9;
    object->length = cw__bootstrap__get_packed_size(&record);
    cw__bootstrap__pack(&record, object->value);
    object->version = ++cluster.store_revision;
    cluster_stop_node((size_t)(cluster_leader() - cluster.nodes));
    cluster_run(5 * SECOND);
    ck_assert_ptr_null(cluster_leader());
}
END_TEST

static bool fifth_node_is_down(void)
{
    return cw_control_state_node(cluster_state(), 5)->state != CW__NODE_STATE__NODE_UP;
}

START_TEST(the_machine_list_drains_but_never_condemns_alone)
{
    control_begin_service();
    cw_control_machine_listed(cluster_leader()->control, "t/s/s1", "gone", cluster.now);
    cw_control_machine_listed(cluster_leader()->control, "node/5", "gone", cluster.now);
    cw_control_machine_listed(cluster_leader()->control, "t/s/s0", "leaving", cluster.now);
    ck_assert(!cluster_run_until(fifth_node_is_down, 2 * SECOND));
    ck_assert(control_first_server_is_empty());
    ck_assert_uint_gt(cluster_ranges_of(1), 0);
}
END_TEST

int main(void)
{
    Suite *suite = suite_create("control of nodes");
    TCase *tests = control_case("control of nodes", false);

    tcase_add_test(tests, a_lost_forwarder_is_replaced_before_the_lease_is_over);
    tcase_add_test(tests, a_forwarder_that_restarts_at_once_is_noticed);
    tcase_add_test(tests, lost_journal_replicas_are_replaced_and_the_old_set_named);
    tcase_add_test(tests, with_a_majority_of_replicas_lost_older_request_ids_are_given_up);
    tcase_add_test(tests, a_leaving_forwarder_hands_its_servers_over_drained);
    tcase_add_test(tests, a_dead_voter_is_replaced_and_the_record_says_so);
    tcase_add_test(tests, voters_span_all_zones_again_after_a_lost_zone_is_back);
    tcase_add_test(tests, a_leaving_leader_hands_over_and_is_taken_out);
    tcase_add_test(tests, late_heartbeat_of_a_former_incarnation_is_ignored);
    tcase_add_test(tests, a_group_that_was_replaced_stops_leading);
    tcase_add_test(tests, the_machine_list_drains_but_never_condemns_alone);
    suite_add_tcase(suite, tests);
    return control_run_suite(suite);
}
