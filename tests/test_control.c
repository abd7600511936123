/**
 * @file test_control.c
 * @brief Tests of the control replicas: three of them with real rafts and agents, fake servers and a fake store.
 *        cluster_run() checks after each step that no key has two owners.
 */
#include <check.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "cedarwinch/error.h"
#include "common/control_cluster.h"

enum {
    SECOND = CW_US_PER_S,
    LEASE_MS = 1500,
    LONG_LEASE_MS = 6000,
    RANGES = 16, /* four servers with four ranges each */
    SERVERS = 4
};

static void create_cluster(void)
{
    cluster_create(1, LEASE_MS);
}

static void create_cluster_with_long_lease(void)
{
    cluster_create(2, LONG_LEASE_MS);
}

static void begin_service(void)
{
    cluster_accept(SERVERS);
    ck_assert(cluster_run_until(cluster_settled, 5 * SECOND));
}

static const Cw__RangeInfo *first_range(void)
{
    return cw_control_state_find_range(cluster_state(), cluster_service(), 0);
}

static const Cw__ServerInfo *server_info(size_t server)
{
    return cw_control_state_server(cluster_state(), cluster.servers[server].configuration.id);
}

/* ---- ownership ---- */

static bool check_zones(void *context, const Cw__RangeInfo *range)
{
    const cw_control_state_t *state = context;
    const char               *zones[3];
    size_t                    position;

    ck_assert_uint_eq(range->n_journal, 3);
    for (position = 0; position < 3; position++) {
        zones[position] = cw_control_state_node(state, range->journal[position]->node)->zone;
    }
    ck_assert_str_ne(zones[0], zones[1]);
    ck_assert_str_ne(zones[1], zones[2]);
    ck_assert_str_ne(zones[0], zones[2]);
    return true;
}

START_TEST(new_service_is_spread_and_granted)
{
    size_t server;

    begin_service();
    for (server = 0; server < SERVERS; server++) {
        ck_assert_uint_eq(cluster_ranges_of(server), RANGES / SERVERS);
        ck_assert_str_eq(cw_control_state_node(cluster_state(), server_info(server)->forwarder)->zone,
                         cluster.servers[server].configuration.zone);
    }
    cw_control_state_each_range(cluster_state(), check_zones, (void *)cluster_state());
    cluster_run(3 * SECOND);
    ck_assert(cluster_settled());
    ck_assert_uint_eq(cluster.servers[0].accepted, RANGES / SERVERS);
}
END_TEST

static bool first_server_is_empty(void)
{
    return cluster_state() != NULL && cluster_ranges_of(0) == 0 && cluster_settled();
}

START_TEST(ranges_of_a_silent_server_move_when_its_lease_is_over)
{
    cw_time_us_t cut_us;

    begin_service();
    cut_us = cluster.now.monotonic_us;
    cluster.servers[0].cut = true;
    ck_assert(cluster_run_until(first_server_is_empty, 4 * SECOND));
    ck_assert_int_ge(cluster.now.monotonic_us - cut_us, (LEASE_MS - 400) * CW_US_PER_MS);
    cluster.servers[0].cut = false;
    cluster_run(3 * SECOND);
    ck_assert(cluster_settled());
}
END_TEST

START_TEST(a_short_silence_moves_nothing)
{
    begin_service();
    cluster.servers[0].cut = true;
    cluster_run(SECOND / 2);
    cluster.servers[0].cut = false;
    cluster_run(3 * SECOND);
    ck_assert(cluster_settled());
    ck_assert_uint_eq(cluster.servers[0].accepted, RANGES / SERVERS);
}
END_TEST

/* The servers run on through the election. A successor that trusted its own short memory would move their ranges. */
START_TEST(new_leader_waits_for_leases_of_its_predecessor)
{
    cluster_node_t *former;

    begin_service();
    former = cluster_leader();
    cluster.servers[0].cut = true;
    cluster_stop_node((size_t)(former - cluster.nodes));
    cluster_run(3 * SECOND);
    ck_assert_ptr_nonnull(cluster_leader());
    ck_assert_uint_eq(cluster_ranges_of(0), RANGES / SERVERS);
    ck_assert(cluster_run_until(first_server_is_empty, 2 * LONG_LEASE_MS * CW_US_PER_MS));
}
END_TEST

/* What piled up at the paused leader, heartbeats with readings among it, must not lengthen a lease any more. */
START_TEST(a_paused_leader_renews_nothing_afterwards)
{
    cluster_node_t *former;
    int64_t         lease_end_us;

    begin_service();
    former = cluster_leader();
    former->paused = true;
    cluster.servers[0].cut = true;
    cluster_run(2 * SECOND);
    lease_end_us = cluster.servers[0].lease_end_us;
    former->paused = false;
    ck_assert(cluster_run_until(first_server_is_empty, 2 * LONG_LEASE_MS * CW_US_PER_MS));
    ck_assert_int_eq(cluster.servers[0].lease_end_us, lease_end_us);
    ck_assert_ptr_ne(cluster_leader(), former);
}
END_TEST

/* The former leader is cut off together with the servers' forwarder: both go on talking to each other. */
START_TEST(a_deposed_leader_cannot_renew_without_a_quorum)
{
    cluster_node_t *former;
    uint64_t        beat;

    begin_service();
    former = cluster_leader();
    former->cut = true;
    cluster_run(2 * SECOND);
    beat = cw_control_beat(former->control);
    cluster_run(SECOND);
    ck_assert_uint_eq(cw_control_beat(former->control), beat);
    ck_assert(!cw_control_is_leader(former->control));
    ck_assert_ptr_nonnull(cluster_leader());
}
END_TEST

/* While the leader is paused, a forwarder that only it can reach goes on sending it fresh readings. Resumed, it has
 * them all before it learns that it was deposed: only the quorum round keeps it from renewing on them. */
START_TEST(readings_that_pile_up_at_a_paused_leader_are_not_renewed_on)
{
    cluster_node_t *former;
    cluster_node_t *forwarder;
    size_t          server = 0;

    begin_service();
    former = cluster_leader();
    while (server_info(server)->forwarder == former->info.id || server_info(server)->forwarder <= CLUSTER_CONTROLS) {
        server++;
    }
    forwarder = &cluster.nodes[server_info(server)->forwarder - 1];
    former->paused = true;
    former->group = forwarder->group = cluster.servers[server].group = 1;
    cluster_run(4 * SECOND);
    ck_assert_ptr_nonnull(cluster_leader_of(0));
    former->paused = false;
    cluster_run(6 * SECOND);
    ck_assert_ptr_nonnull(cluster_leader_of(0));
    ck_assert(cluster_settled());
}
END_TEST

static bool has_leader(void)
{
    return cluster_leader() != NULL;
}

/* A command that takes ranges from a silent server is under way for long, and the server comes back meanwhile. */
START_TEST(a_server_is_granted_nothing_while_its_ranges_are_being_taken)
{
    begin_service();
    cluster.servers[0].cut = true;
    cluster_restart_server(0);
    cluster_stop_node((size_t)(cluster_leader() - cluster.nodes));
    ck_assert(cluster_run_until(has_leader, 3 * SECOND));
    cluster_run((LONG_LEASE_MS - 500) * CW_US_PER_MS);
    cluster.drop_entries = true;
    cluster_run(SECOND);
    ck_assert_uint_eq(cluster_ranges_of(0), RANGES / SERVERS);
    cluster.servers[0].cut = false;
    cluster_run(SECOND);
    cluster.drop_entries = false;
    ck_assert(cluster_run_until(cluster_settled, 3 * SECOND));
    cluster_run(SECOND);
}
END_TEST

START_TEST(reports_of_a_node_that_is_not_the_forwarder_do_not_count)
{
    Cw__ServerReport  report = CW__SERVER_REPORT__INIT;
    Cw__ServerReport *reports[] = {&report};
    Cw__Heartbeat     heartbeat = CW__HEARTBEAT__INIT;
    Cw__Envelope      envelope = CW__ENVELOPE__INIT;
    uint64_t          fence;

    begin_service();
    fence = server_info(0)->fence->index;
    report.server = cluster.servers[0].configuration.id;
    report.reachable = true;
    report.incarnation = 999;
    report.clock_us = 1;
    heartbeat.node = &cluster.nodes[server_info(0)->forwarder % CLUSTER_NODES].info;
    heartbeat.sequence = 1000;
    heartbeat.n_servers = 1;
    heartbeat.servers = reports;
    envelope.body_case = CW__ENVELOPE__BODY_HEARTBEAT;
    envelope.heartbeat = &heartbeat;
    cw_control_receive(cluster_leader()->control, &envelope, cluster.now);
    cluster_run(SECOND);
    ck_assert_uint_eq(server_info(0)->fence->index, fence);
}
END_TEST

START_TEST(a_new_service_waits_a_little_for_all_servers)
{
    size_t server;

    cluster.servers[0].cut = true;
    cluster_accept(SERVERS);
    cluster_run(SECOND / 2);
    cluster.servers[0].cut = false;
    ck_assert(cluster_run_until(cluster_settled, 5 * SECOND));
    for (server = 0; server < SERVERS; server++) {
        ck_assert_uint_eq(cluster.servers[server].accepted, RANGES / SERVERS);
    }
}
END_TEST

START_TEST(a_restarted_server_is_granted_its_ranges_again)
{
    uint64_t fence;

    begin_service();
    fence = server_info(0)->fence->index;
    cluster_restart_server(0);
    ck_assert(!cluster_settled());
    ck_assert(cluster_run_until(cluster_settled, 2 * SECOND));
    ck_assert_uint_eq(cluster_ranges_of(0), RANGES / SERVERS);
    ck_assert_uint_gt(server_info(0)->fence->index, fence);
}
END_TEST

START_TEST(a_server_whose_lease_lapsed_is_granted_its_ranges_again)
{
    begin_service();
    cluster.servers[0].lease_end_us = 1;
    ck_assert(cluster_run_until(cluster_settled, 2 * SECOND));
    ck_assert_uint_eq(cluster_ranges_of(0), RANGES / SERVERS);
}
END_TEST

/* The lease lapsed and a grant began a new one; the forwarder's report that the other grants are lost went astray. */
START_TEST(a_lapse_between_two_readings_is_noticed)
{
    Cw__ServerReport  report = CW__SERVER_REPORT__INIT;
    Cw__ServerReport *reports[] = {&report};
    Cw__Heartbeat     heartbeat = CW__HEARTBEAT__INIT;
    Cw__Envelope      envelope = CW__ENVELOPE__INIT;
    uint64_t          fence;

    begin_service();
    cluster_run(2 * SECOND);
    fence = server_info(0)->fence->index;
    report.server = cluster.servers[0].configuration.id;
    report.reachable = true;
    report.incarnation = cluster.servers[0].incarnation;
    report.clock_us = cluster.servers[0].lease_end_us + CW_US_PER_MS;
    report.lease_end_us = report.clock_us + SECOND;
    heartbeat.node = &cluster.nodes[server_info(0)->forwarder - 1].info;
    heartbeat.sequence = 1000;
    heartbeat.n_servers = 1;
    heartbeat.servers = reports;
    envelope.body_case = CW__ENVELOPE__BODY_HEARTBEAT;
    envelope.heartbeat = &heartbeat;
    cw_control_receive(cluster_leader()->control, &envelope, cluster.now);
    cluster_run(SECOND / 10);
    ck_assert_uint_gt(server_info(0)->fence->index, fence);
}
END_TEST

/* ---- moves ---- */

static bool revocation_began(void)
{
    return first_range()->state == CW__RANGE_STATE__RANGE_REVOKING;
}

START_TEST(a_drained_server_keeps_a_range_until_it_releases_it)
{
    size_t         server = 0;
    cw_server_id_t owner;
    char           name[16];

    begin_service();
    owner = first_range()->server;
    while (cluster.servers[server].configuration.id != owner) {
        server++;
    }
    cluster.servers[server].drain_us = SECOND;
    snprintf(name, sizeof(name), "t/s/s%zu", server);
    cluster_ask("drain", name, "token");
    ck_assert(cluster_run_until(cluster_answered, SECOND));
    ck_assert_uint_eq(cluster.answer_status, 200);
    ck_assert(cluster_run_until(revocation_began, SECOND));
    cluster_run(SECOND / 2);
    ck_assert_uint_eq(first_range()->server, owner);
    ck_assert(cluster_run_until(cluster_settled, 4 * SECOND));
    ck_assert_uint_eq(cluster_ranges_of(server), 0);
}
END_TEST

START_TEST(a_joining_server_takes_its_share)
{
    begin_service();
    cluster_accept(SERVERS + 1);
    cluster_run(8 * SECOND);
    ck_assert(cluster_settled());
    ck_assert_uint_ge(cluster_ranges_of(SERVERS), 2);
    ck_assert_uint_le(cluster_ranges_of(SERVERS), 4);
}
END_TEST

START_TEST(a_removed_server_is_emptied_and_forgotten)
{
    begin_service();
    cluster_accept(SERVERS - 1);
    ck_assert(server_info(SERVERS - 1)->draining);
    cluster_run(3 * SECOND);
    ck_assert(cluster_settled());
    ck_assert_ptr_null(server_info(SERVERS - 1));
}
END_TEST

START_TEST(a_hot_key_gets_a_range_of_its_own)
{
    const cw_key_hash_t   key = 12345;
    Cw__KeyLoad           hot = CW__KEY_LOAD__INIT;
    Cw__KeyLoad          *hot_list[] = {&hot};
    Cw__RangeLoad         load = CW__RANGE_LOAD__INIT;
    const Cw__ServerInfo *server;
    const Cw__RangeInfo  *range;

    begin_service();
    hot.key_hash = key;
    hot.requests_per_second = 90;
    load.range = first_range()->id;
    load.requests_per_second = 100;
    load.n_hot_keys = 1;
    load.hot_keys = hot_list;
    server = cw_control_state_server(cluster_state(), first_range()->server);
    cw_agent_report_load(cluster.nodes[server->forwarder - 1].agent, &load);
    cluster_run(8 * SECOND);
    ck_assert(cluster_settled());
    range = cw_control_state_find_range(cluster_state(), cluster_service(), key);
    ck_assert_uint_eq(range->low, key);
    ck_assert_uint_eq(range->last, key);
    ck_assert_uint_eq(first_range()->last, key - 1);
}
END_TEST

/* ---- nodes ---- */

START_TEST(a_lost_forwarder_is_replaced_before_the_lease_is_over)
{
    cw_node_id_t forwarder;
    uint64_t     fence;

    begin_service();
    forwarder = server_info(0)->forwarder;
    if (cluster_leader()->info.id == forwarder) {
        forwarder = server_info(1)->forwarder; /* not the leader itself */
    }
    fence = server_info(forwarder - 1)->fence->index;
    cluster_stop_node(forwarder - 1);
    cluster_run(3 * SECOND);
    ck_assert(cluster_settled());
    ck_assert_uint_ne(server_info(forwarder - 1)->forwarder, forwarder);
    ck_assert_uint_gt(server_info(forwarder - 1)->fence->index, fence);
    ck_assert_uint_eq(cluster_ranges_of(forwarder - 1), RANGES / SERVERS);
    ck_assert_int_eq(cw_control_state_node(cluster_state(), forwarder)->state, CW__NODE_STATE__NODE_DOWN);
}
END_TEST

START_TEST(a_forwarder_that_restarts_at_once_is_noticed)
{
    cw_node_id_t     forwarder;
    cw_incarnation_t former;

    begin_service();
    forwarder =
        server_info(0)->forwarder == cluster_leader()->info.id ? server_info(1)->forwarder : server_info(0)->forwarder;
    former = cluster.nodes[forwarder - 1].info.incarnation;
    cluster_restart_node(forwarder - 1);
    cluster_run(3 * SECOND);
    ck_assert(cluster_settled());
    ck_assert_uint_ne(server_info(0)->forwarder_incarnation, former);
    ck_assert_uint_ne(server_info(1)->forwarder_incarnation, former);
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

    begin_service();
    node = first_range()->journal[0]->node;
    if (cluster_leader()->info.id == node) {
        node = first_range()->journal[1]->node;
    }
    lost = cluster.nodes[node - 1].info.incarnation;
    cluster_stop_node(node - 1);
    cluster_run(5 * SECOND);
    ck_assert(cluster_settled());
    cw_control_state_each_range(cluster_state(), names_node, &lost);
    cw_control_state_each_range(cluster_state(), check_zones, (void *)cluster_state());
    ck_assert_uint_eq(first_range()->n_former_journal, 3);
    ck_assert_int_eq(first_range()->journal_valid_from_ms, 0);
}
END_TEST

START_TEST(with_a_majority_of_replicas_lost_older_request_ids_are_given_up)
{
    size_t  leader;
    size_t  position;
    int64_t lost_ms;

    begin_service();
    leader = (size_t)(cluster_leader() - cluster.nodes);
    lost_ms = cluster.now.wall_ms;
    for (position = 0; position < 3; position++) { /* all of the range's replicas but the leader's node */
        if (first_range()->journal[position]->node != leader + 1) {
            cluster.nodes[first_range()->journal[position]->node - 1].cut = true;
        }
    }
    cluster_run(8 * SECOND);
    if (cluster_state() == NULL) {
        return; /* the control group lost its majority with them: nothing is decided */
    }
    ck_assert_int_gt(first_range()->journal_valid_from_ms, lost_ms);
}
END_TEST

START_TEST(a_leaving_forwarder_hands_its_servers_over_drained)
{
    cw_node_id_t forwarder;
    size_t       server;

    begin_service();
    forwarder =
        cluster_leader()->info.id == server_info(0)->forwarder ? server_info(1)->forwarder : server_info(0)->forwarder;
    for (server = 0; server < SERVERS; server++) {
        cluster.servers[server].drain_us = SECOND / 2;
    }
    cw_agent_set_state(cluster.nodes[forwarder - 1].agent, CW__NODE_STATE__NODE_LEAVING);
    cluster_run(SECOND / 2);
    ck_assert_uint_eq(server_info(forwarder - 1)->forwarder, forwarder);
    cluster_run(4 * SECOND);
    ck_assert(cluster_settled());
    ck_assert_uint_ne(server_info(forwarder - 1)->forwarder, forwarder);
    ck_assert_uint_eq(cluster_ranges_of(forwarder - 1), RANGES / SERVERS);
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

    begin_service();
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

    begin_service();
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

    begin_service();
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

    begin_service();
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

    begin_service();
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
    begin_service();
    cw_control_machine_listed(cluster_leader()->control, "t/s/s1", "gone", cluster.now);
    cw_control_machine_listed(cluster_leader()->control, "node/5", "gone", cluster.now);
    cw_control_machine_listed(cluster_leader()->control, "t/s/s0", "leaving", cluster.now);
    ck_assert(!cluster_run_until(fifth_node_is_down, 2 * SECOND));
    ck_assert(first_server_is_empty());
    ck_assert_uint_gt(cluster_ranges_of(1), 0);
}
END_TEST

/* ---- operators ---- */

static void confirm(const char *plan, const char *token, uint32_t status, cw_time_us_t limit_us)
{
    cluster_ask("confirm", plan, token);
    ck_assert(cluster_run_until(cluster_answered, limit_us));
    ck_assert_msg(cluster.answer_status == status, "%u %s", cluster.answer_status, cluster.answer);
}

static char *plan(size_t servers, const char *token)
{
    char text[2048];

    cluster_intent(text, sizeof(text), servers);
    cluster_ask("plan", text, token);
    ck_assert_msg(cluster.answer_status == 200, "%u %s", cluster.answer_status, cluster.answer);
    return cluster_answer_text("plan");
}

START_TEST(of_two_racing_plans_one_is_stale)
{
    char *first;
    char *second;

    begin_service();
    first = plan(SERVERS - 1, "token");
    second = plan(SERVERS + 1, "token");
    confirm(second, "token", 200, SECOND);
    confirm(first, "token", 409, SECOND);
    ck_assert_uint_eq(cw_control_state_service(cluster_state(), cluster_service())->n_servers, SERVERS + 1);
    free(first);
    free(second);
}
END_TEST

START_TEST(a_lost_answer_of_the_store_is_settled_by_reading_back)
{
    char *id;

    begin_service();
    id = plan(SERVERS + 1, "token");
    cluster.store_mode = STORE_LOSES_ANSWERS;
    confirm(id, "token", 200, 3 * SECOND);
    ck_assert_str_eq(cw_control_state_tenant(cluster_state(), "t")->plan_id, id);
    free(id);
}
END_TEST

START_TEST(without_the_store_nothing_is_accepted_and_that_is_said)
{
    char *id;

    begin_service();
    id = plan(SERVERS + 1, "token");
    cluster.store_mode = STORE_REFUSES;
    confirm(id, "token", 503, SECOND / 10);
    cluster.store_mode = STORE_HANGS;
    confirm(id, "token", 504, 9 * SECOND);
    cluster.store_mode = STORE_OK;
    ck_assert_uint_eq(cw_control_state_service(cluster_state(), cluster_service())->n_servers, SERVERS);
    cluster.servers[0].cut = true; /* failover does not wait for it */
    cluster.store_mode = STORE_HANGS;
    ck_assert(cluster_run_until(first_server_is_empty, 4 * SECOND));
    free(id);
}
END_TEST

START_TEST(tokens_act_for_their_tenant_only)
{
    char  text[2048];
    char *id;

    cluster_intent(text, sizeof(text), SERVERS);
    cluster_ask("plan", text, "token");
    ck_assert_uint_eq(cluster.answer_status, 401); /* nobody's token yet */
    begin_service();
    id = plan(SERVERS + 1, "token");
    cluster_ask("plan", text, "other");
    ck_assert_uint_eq(cluster.answer_status, 401);
    cluster_ask("confirm", id, "other");
    ck_assert_uint_eq(cluster.answer_status, 401);
    snprintf(text + strlen(text), sizeof(text) - strlen(text), "limits: {requests_per_second: 7}\n");
    cluster_ask("plan", text, "token");
    ck_assert_uint_eq(cluster.answer_status, 403);
    *strstr(text, "t\n") = 'u'; /* the tenant's name */
    cluster_ask("plan", text, "token");
    ck_assert_uint_eq(cluster.answer_status, 403);
    cluster_ask("plan", text, NULL);
    ck_assert_uint_eq(cluster.answer_status, 409); /* servers of another tenant */
    cluster_ask("explain", "u/s key", "token");
    ck_assert_uint_eq(cluster.answer_status, 404);
    cluster_run(SECOND / 10);
    cluster_ask("status", "", "token");
    ck_assert_ptr_null(strstr(cluster.answer, "\"nodes\""));
    ck_assert_ptr_nonnull(strstr(cluster.answer, "\"confirmed\":true"));
    free(id);
}
END_TEST

START_TEST(plans_of_one_tenant_are_not_confirmed_by_another)
{
    static const char intent[] = "tenant: u\noperator_tokens: [%s]\ncaller_tokens: [%s]\nservices:\n- name: s\n"
                                 "  slots_per_server: 1\n  servers:\n"
                                 "  - {name: s0, address: 127.0.0.1, port: 9100, zone: a}\n";
    char              digest[] = "d9298a10d1b0735837dc4bd85dac641b0f3cef27a47e5d53a54f2f3f5b2fcffa"; /* of "other" */
    char              text[2048];
    char             *id;

    begin_service();
    snprintf(text, sizeof(text), intent, digest, digest);
    cluster_ask("plan", text, NULL);
    id = cluster_answer_text("plan");
    confirm(id, "token", 404, SECOND);
    confirm(id, NULL, 200, SECOND);
    free(id);
    id = plan(SERVERS + 1, "token");
    confirm(id, "other", 404, SECOND);
    cluster_ask("explain", "t/s key", "other");
    ck_assert_uint_eq(cluster.answer_status, 404);
    cluster_ask("status", "", "other");
    ck_assert_ptr_null(strstr(cluster.answer, "\"name\":\"t\""));
    confirm(id, "token", 200, SECOND);
    free(id);
}
END_TEST

START_TEST(changed_limits_need_an_administrator_at_confirmation_too)
{
    char  text[2048];
    char *id;

    begin_service();
    cluster_intent(text, sizeof(text), SERVERS);
    snprintf(text + strlen(text), sizeof(text) - strlen(text), "limits: {requests_per_second: 7}\n");
    cluster_ask("plan", text, NULL);
    id = cluster_answer_text("plan");
    confirm(id, "token", 403, SECOND);
    confirm(id, NULL, 200, SECOND);
    free(id);
}
END_TEST

START_TEST(findings_are_told_together)
{
    begin_service();
    cluster_ask("plan", "tenant: t\nservices: 7\nlimit: x\n", "token");
    ck_assert_uint_eq(cluster.answer_status, 422);
    ck_assert_ptr_nonnull(strstr(cluster.answer, "intent.yaml"));
    ck_assert_ptr_nonnull(strstr(cluster.answer, "\"line\":2"));
    ck_assert_ptr_nonnull(strstr(cluster.answer, "\"line\":3"));
}
END_TEST

static bool newer_is_in_force(void)
{
    return cluster_state() != NULL && cw_control_state_tenant(cluster_state(), "t") != NULL &&
           cw_control_state_tenant(cluster_state(), "t")->version == cluster_object("config/t")->version;
}

START_TEST(a_new_leader_commits_what_the_store_has_and_never_goes_back)
{
    Cw__TenantConfiguration *configuration;
    cluster_object_t        *object;

    begin_service();
    object = cluster_object("config/t");
    configuration = cw__tenant_configuration__unpack(NULL, object->length, object->value);
    configuration->limits->requests_per_second++;
    cw__tenant_configuration__pack(configuration, object->value);
    object->version = 1000; /* written by a leader that was lost before it could commit */
    cluster_stop_node((size_t)(cluster_leader() - cluster.nodes));
    ck_assert(cluster_run_until(newer_is_in_force, 6 * SECOND));
    object->version = 999;
    cw_control_object_changed(cluster_leader()->control, "config/t", 999, cluster.now);
    cluster_run(SECOND);
    ck_assert_uint_eq(cw_control_state_tenant(cluster_state(), "t")->version, 1000);
    cw__tenant_configuration__free_unpacked(configuration, NULL);
}
END_TEST

int main(void)
{
    Suite   *suite = suite_create("control");
    TCase   *tests = tcase_create("control");
    TCase   *leases = tcase_create("long leases");
    SRunner *runner = srunner_create(suite);
    int      failed;

    tcase_set_timeout(tests, 120);
    tcase_set_timeout(leases, 120);
    tcase_add_checked_fixture(tests, create_cluster, cluster_free);
    tcase_add_checked_fixture(leases, create_cluster_with_long_lease, cluster_free);
    tcase_add_test(tests, new_service_is_spread_and_granted);
    tcase_add_test(tests, ranges_of_a_silent_server_move_when_its_lease_is_over);
    tcase_add_test(tests, a_short_silence_moves_nothing);
    tcase_add_test(leases, new_leader_waits_for_leases_of_its_predecessor);
    tcase_add_test(leases, a_paused_leader_renews_nothing_afterwards);
    tcase_add_test(tests, a_deposed_leader_cannot_renew_without_a_quorum);
    tcase_add_test(leases, readings_that_pile_up_at_a_paused_leader_are_not_renewed_on);
    tcase_add_test(leases, a_server_is_granted_nothing_while_its_ranges_are_being_taken);
    tcase_add_test(tests, reports_of_a_node_that_is_not_the_forwarder_do_not_count);
    tcase_add_test(tests, a_new_service_waits_a_little_for_all_servers);
    tcase_add_test(tests, a_restarted_server_is_granted_its_ranges_again);
    tcase_add_test(tests, a_server_whose_lease_lapsed_is_granted_its_ranges_again);
    tcase_add_test(tests, a_lapse_between_two_readings_is_noticed);
    tcase_add_test(tests, a_drained_server_keeps_a_range_until_it_releases_it);
    tcase_add_test(tests, a_joining_server_takes_its_share);
    tcase_add_test(tests, a_removed_server_is_emptied_and_forgotten);
    tcase_add_test(tests, a_hot_key_gets_a_range_of_its_own);
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
    tcase_add_test(tests, plans_of_one_tenant_are_not_confirmed_by_another);
    tcase_add_test(tests, changed_limits_need_an_administrator_at_confirmation_too);
    tcase_add_test(tests, of_two_racing_plans_one_is_stale);
    tcase_add_test(tests, a_lost_answer_of_the_store_is_settled_by_reading_back);
    tcase_add_test(tests, without_the_store_nothing_is_accepted_and_that_is_said);
    tcase_add_test(tests, tokens_act_for_their_tenant_only);
    tcase_add_test(tests, findings_are_told_together);
    tcase_add_test(tests, a_new_leader_commits_what_the_store_has_and_never_goes_back);
    suite_add_tcase(suite, tests);
    suite_add_tcase(suite, leases);
    srunner_run_all(runner, CK_NORMAL);
    failed = srunner_ntests_failed(runner);
    srunner_free(runner);
    return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
