/**
 * @file test_control.c
 * @brief Tests of the control replicas: leases, ownership and moves of ranges. Three replicas with real rafts and
 *        agents, fake servers and a fake store.
 *        cluster_run() checks after each step that no key has two owners.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "common/control_fixture.h"

/* ---- ownership ---- */

START_TEST(new_service_is_spread_and_granted)
{
    size_t server;

    control_begin_service();
    for (server = 0; server < CONTROL_SERVERS; server++) {
        ck_assert_uint_eq(cluster_ranges_of(server), CONTROL_RANGES / CONTROL_SERVERS);
        ck_assert_str_eq(cw_control_state_node(cluster_state(), control_server_info(server)->forwarder)->zone,
                         cluster.servers[server].configuration.zone);
    }
    cw_control_state_each_range(cluster_state(), control_check_zones, (void *)cluster_state());
    cluster_run(3 * SECOND);
    ck_assert(cluster_settled());
    ck_assert_uint_eq(cluster.servers[0].accepted, CONTROL_RANGES / CONTROL_SERVERS);
}
END_TEST

START_TEST(ranges_of_a_silent_server_move_when_its_lease_is_over)
{
    cw_time_us_t cut_us;

    control_begin_service();
    cut_us = cluster.now.monotonic_us;
    cluster.servers[0].cut = true;
    ck_assert(cluster_run_until(control_first_server_is_empty, 4 * SECOND));
    ck_assert_int_ge(cluster.now.monotonic_us - cut_us, (CONTROL_LEASE_MS - 400) * CW_US_PER_MS);
    cluster.servers[0].cut = false;
    cluster_run(3 * SECOND);
    ck_assert(cluster_settled());
}
END_TEST

START_TEST(a_short_silence_moves_nothing)
{
    control_begin_service();
    cluster.servers[0].cut = true;
    cluster_run(SECOND / 2);
    cluster.servers[0].cut = false;
    cluster_run(3 * SECOND);
    ck_assert(cluster_settled());
    ck_assert_uint_eq(cluster.servers[0].accepted, CONTROL_RANGES / CONTROL_SERVERS);
}
END_TEST

/* The servers run on through the election. A successor that trusted its own short memory would move their ranges. */
START_TEST(new_leader_waits_for_leases_of_its_predecessor)
{
    cluster_node_t *former;

    control_begin_service();
    former = cluster_leader();
    cluster.servers[0].cut = true;
    cluster_stop_node((size_t)(former - cluster.nodes));
    cluster_run(3 * SECOND);
    ck_assert_ptr_nonnull(cluster_leader());
    ck_assert_uint_eq(cluster_ranges_of(0), CONTROL_RANGES / CONTROL_SERVERS);
    ck_assert(cluster_run_until(control_first_server_is_empty, 2 * CONTROL_LONG_LEASE_MS * CW_US_PER_MS));
}
END_TEST

/* What piled up at the paused leader, heartbeats with readings among it, must not lengthen a lease any more. */
START_TEST(a_paused_leader_renews_nothing_afterwards)
{
    cluster_node_t *former;
    int64_t         lease_end_us;

    control_begin_service();
    former = cluster_leader();
    former->paused = true;
    cluster.servers[0].cut = true;
    cluster_run(2 * SECOND);
    lease_end_us = cluster.servers[0].lease_end_us;
    former->paused = false;
    ck_assert(cluster_run_until(control_first_server_is_empty, 2 * CONTROL_LONG_LEASE_MS * CW_US_PER_MS));
    ck_assert_int_eq(cluster.servers[0].lease_end_us, lease_end_us);
    ck_assert_ptr_ne(cluster_leader(), former);
}
END_TEST

/* The former leader is cut off together with the servers' forwarder: both go on talking to each other. */
START_TEST(a_deposed_leader_cannot_renew_without_a_quorum)
{
    cluster_node_t *former;
    uint64_t        beat;

    control_begin_service();
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

    control_begin_service();
    former = cluster_leader();
    while (control_server_info(server)->forwarder == former->info.id ||
           control_server_info(server)->forwarder <= CLUSTER_CONTROLS) {
        server++;
    }
    forwarder = &cluster.nodes[control_server_info(server)->forwarder - 1];
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
    control_begin_service();
    cluster.servers[0].cut = true;
    cluster_restart_server(0);
    cluster_stop_node((size_t)(cluster_leader() - cluster.nodes));
    ck_assert(cluster_run_until(has_leader, 3 * SECOND));
    cluster_run((CONTROL_LONG_LEASE_MS - 500) * CW_US_PER_MS);
    cluster.drop_entries = true;
    cluster_run(SECOND);
    ck_assert_uint_eq(cluster_ranges_of(0), CONTROL_RANGES / CONTROL_SERVERS);
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

    control_begin_service();
    fence = control_server_info(0)->fence->index;
    report.server = cluster.servers[0].configuration.id;
    report.reachable = true;
    report.incarnation = 999;
    report.clock_us = 1;
    heartbeat.node = &cluster.nodes[control_server_info(0)->forwarder % CLUSTER_NODES].info;
    heartbeat.sequence = 1000;
    heartbeat.n_servers = 1;
    heartbeat.servers = reports;
    envelope.body_case = CW__ENVELOPE__BODY_HEARTBEAT;
    envelope.heartbeat = &heartbeat;
    cw_control_receive(cluster_leader()->control, &envelope, cluster.now);
    cluster_run(SECOND);
    ck_assert_uint_eq(control_server_info(0)->fence->index, fence);
}
END_TEST

START_TEST(a_new_service_waits_a_little_for_all_servers)
{
    size_t server;

    cluster.servers[0].cut = true;
    cluster_accept(CONTROL_SERVERS);
    cluster_run(SECOND / 2);
    cluster.servers[0].cut = false;
    ck_assert(cluster_run_until(cluster_settled, 5 * SECOND));
    for (server = 0; server < CONTROL_SERVERS; server++) {
        ck_assert_uint_eq(cluster.servers[server].accepted, CONTROL_RANGES / CONTROL_SERVERS);
    }
}
END_TEST

START_TEST(a_restarted_server_is_granted_its_ranges_again)
{
    uint64_t fence;

    control_begin_service();
    fence = control_server_info(0)->fence->index;
    cluster_restart_server(0);
    ck_assert(!cluster_settled());
    ck_assert(cluster_run_until(cluster_settled, 2 * SECOND));
    ck_assert_uint_eq(cluster_ranges_of(0), CONTROL_RANGES / CONTROL_SERVERS);
    ck_assert_uint_gt(control_server_info(0)->fence->index, fence);
}
END_TEST

START_TEST(a_server_whose_lease_lapsed_is_granted_its_ranges_again)
{
    control_begin_service();
    cluster.servers[0].lease_end_us = 1;
    ck_assert(cluster_run_until(cluster_settled, 2 * SECOND));
    ck_assert_uint_eq(cluster_ranges_of(0), CONTROL_RANGES / CONTROL_SERVERS);
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

    control_begin_service();
    cluster_run(2 * SECOND);
    fence = control_server_info(0)->fence->index;
    report.server = cluster.servers[0].configuration.id;
    report.reachable = true;
    report.incarnation = cluster.servers[0].incarnation;
    report.clock_us = cluster.servers[0].lease_end_us + CW_US_PER_MS;
    report.lease_end_us = report.clock_us + SECOND;
    heartbeat.node = &cluster.nodes[control_server_info(0)->forwarder - 1].info;
    heartbeat.sequence = 1000;
    heartbeat.n_servers = 1;
    heartbeat.servers = reports;
    envelope.body_case = CW__ENVELOPE__BODY_HEARTBEAT;
    envelope.heartbeat = &heartbeat;
    cw_control_receive(cluster_leader()->control, &envelope, cluster.now);
    cluster_run(SECOND / 10);
    ck_assert_uint_gt(control_server_info(0)->fence->index, fence);
}
END_TEST

/* ---- moves ---- */

static bool revocation_began(void)
{
    return control_first_range()->state == CW__RANGE_STATE__RANGE_REVOKING;
}

START_TEST(a_drained_server_keeps_a_range_until_it_releases_it)
{
    size_t         server = 0;
    cw_server_id_t owner;
    char           name[16];

    control_begin_service();
    owner = control_first_range()->server;
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
    ck_assert_uint_eq(control_first_range()->server, owner);
    ck_assert(cluster_run_until(cluster_settled, 4 * SECOND));
    ck_assert_uint_eq(cluster_ranges_of(server), 0);
}
END_TEST

START_TEST(a_joining_server_takes_its_share)
{
    control_begin_service();
    cluster_accept(CONTROL_SERVERS + 1);
    cluster_run(8 * SECOND);
    ck_assert(cluster_settled());
    ck_assert_uint_ge(cluster_ranges_of(CONTROL_SERVERS), 2);
    ck_assert_uint_le(cluster_ranges_of(CONTROL_SERVERS), 4);
}
END_TEST

START_TEST(a_removed_server_is_emptied_and_forgotten)
{
    control_begin_service();
    cluster_accept(CONTROL_SERVERS - 1);
    ck_assert(control_server_info(CONTROL_SERVERS - 1)->draining);
    cluster_run(3 * SECOND);
    ck_assert(cluster_settled());
    ck_assert_ptr_null(control_server_info(CONTROL_SERVERS - 1));
}
END_TEST

static bool service_is_gone(void)
{
    return control_first_range() == NULL;
}

START_TEST(a_removed_service_is_revoked_and_forgotten)
{
    char  text[2048];
    char *name;
    char *plan;

    control_begin_service();
    cluster_intent(text, sizeof(text), CONTROL_SERVERS);
    name = strstr(text, "name: s\n");
    ck_assert_ptr_nonnull(name);
    name[strlen("name: ")] = 'z';
    cluster_ask("plan", text, NULL);
    plan = cluster_answer_text("plan");
    cluster_ask("confirm", plan, NULL);
    free(plan);
    ck_assert(cluster_run_until(cluster_answered, SECOND));
    ck_assert_uint_eq(cluster.answer_status, 200);
    ck_assert(cluster_run_until(service_is_gone, 4 * SECOND));
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

    control_begin_service();
    hot.key_hash = key;
    hot.requests_per_second = 90;
    load.range = control_first_range()->id;
    load.requests_per_second = 100;
    load.n_hot_keys = 1;
    load.hot_keys = hot_list;
    server = cw_control_state_server(cluster_state(), control_first_range()->server);
    cw_agent_report_load(cluster.nodes[server->forwarder - 1].agent, &load);
    cluster_run(8 * SECOND);
    ck_assert(cluster_settled());
    range = cw_control_state_find_range(cluster_state(), cluster_service(), key);
    ck_assert_uint_eq(range->low, key);
    ck_assert_uint_eq(range->last, key);
    ck_assert_uint_eq(control_first_range()->last, key - 1);
}
END_TEST

int main(void)
{
    Suite *suite = suite_create("control");
    TCase *tests = control_case("control", false);
    TCase *leases = control_case("long leases", true);

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
    tcase_add_test(tests, a_removed_service_is_revoked_and_forgotten);
    tcase_add_test(tests, a_hot_key_gets_a_range_of_its_own);
    suite_add_tcase(suite, tests);
    suite_add_tcase(suite, leases);
    return control_run_suite(suite);
}
