/**
 * @file test_list_age.c
 * @brief No request leaves a node on knowledge of a server that is older than the time for which a leaving server may
 * still get requests (`drain`, 2 s in these tests).
 */
#include <stdio.h>
#include <string.h>

#include "loop_fixture.h"
#include "node_fixture.h"

enum {
    FLEET_NODES = 985,
    FLEET_SERVERS = 9999,
    FEW_NODES = 7,
    SETTLED_MS = 6000,  /* nodes have found one another, and a process is no longer new */
    OUTAGE_MS = 12000,  /* without a leader */
    READ_MS = 60,       /* a reading of the changes takes this time */
    MARGIN_PERCENT = 10 /* of drain: for links, turns and connections */
};

static cw_time_us_t usable_age(const node_fixture_t *node)
{
    return node->router.settings.drain * (100 - MARGIN_PERCENT) / 100;
}

static cw_time_us_t age(const node_fixture_t *node)
{
    return cw_router_now(&node->router) - node->router.server_view.evidence.valid_at;
}

/* All other nodes report. They are more capable than this one, so that it is no reader of its zone; but none of them
 * leads or sends what it has read. */
static void report_nodes(node_fixture_t *node, uint32_t count, uint32_t sequence)
{
    char       address[24];
    cw_peer_t *peer;
    uint32_t   index;

    for (index = 0; index < count; index++) {
        snprintf(address, sizeof(address), "10.1.%u.%u", index / 250, index % 250 + 1);
        node_fixture_receive_report(node, address, index % 2 == 0 ? "z1" : "z2", sequence);
    }
    for (peer = cw_peer_link_peers(node->router.link); peer != NULL; peer = peer->next) {
        peer->capability = cw_router_capability(&node->router) + 1;
    }
}

/* Lets time pass; each reading of the list is answered after READ_MS, with the same servers. Returns the greatest age
 * of the list. */
static cw_time_us_t run_without_leader(node_fixture_t *node, uint32_t nodes)
{
    static uint32_t   sequence = 2;
    cw_time_us_t      greatest = 0;
    cw_server_list_t *list;
    int64_t           passed;

    for (passed = 0; passed < OUTAGE_MS; passed += CW_TICK_MS) {
        if (passed % 500 == 0) {
            report_nodes(node, nodes, ++sequence);
        }
        node_fixture_tick(node, CW_TICK_MS);
        node->call_count = 0; /* no lock can be read or taken: there is no leader */
        node->router.leadership.pending = CW_LEADERSHIP_WAIT;
        greatest = age(node) > greatest ? age(node) : greatest;
        if (node->router.reading_servers &&
            cw_router_now(&node->router) - node->router.servers_read_at >= CW_MS(READ_MS)) {
            list = cw_server_list_copy_without(node->router.server_view.list, NULL, 0);
            cw_router_on_servers(&node->router, &(cw_servers_read_t){.list = list, .revision = ++node->revision});
        }
    }
    return greatest;
}

static node_fixture_t *node_among(uint32_t nodes, size_t servers)
{
    node_fixture_t *node = node_fixture_create();

    report_nodes(node, nodes, 1);
    node->router.peak_nodes.count = nodes;
    node_fixture_tick(node, CW_TICK_MS);
    node_fixture_tick(node, SETTLED_MS);
    report_nodes(node, nodes, 2);
    node->router.servers_read_at = cw_router_now(&node->router);
    node->router.reading_copy = false;
    node_fixture_read_servers(node, "s", servers, "10.0.1.1:80");
    return node;
}

/* Guards against: a node whose leader and readers fail goes by a list that grows older without bound (issue 74). */
START_TEST(a_node_of_a_large_fleet_renews_its_list_without_a_leader)
{
    node_fixture_t *node = node_among(FLEET_NODES, FLEET_SERVERS);

    ck_assert_int_le(run_without_leader(node, FLEET_NODES), usable_age(node));
    node_fixture_free(node);
}
END_TEST

START_TEST(a_node_of_a_small_fleet_renews_its_list_without_a_leader)
{
    node_fixture_t *node = node_among(FEW_NODES, 30);

    ck_assert_int_le(run_without_leader(node, FEW_NODES), usable_age(node));
    ck_assert_int_eq(node->list_read, CW_LIST_READ); /* whole at once if the history is forgotten: few nodes do so */
    node_fixture_free(node);
}
END_TEST

/* Lets time pass without a leader; each reading of the list ends in this way. */
static void run_with_readings(node_fixture_t *node, const cw_servers_read_t *read, int64_t duration_ms)
{
    static uint32_t sequence = 1000;
    int64_t         passed;

    for (passed = 0; passed < duration_ms; passed += CW_TICK_MS) {
        if (passed % 500 == 0) {
            report_nodes(node, FEW_NODES, ++sequence);
        }
        node_fixture_tick(node, CW_TICK_MS);
        node->call_count = 0;
        node->router.leadership.pending = CW_LEADERSHIP_WAIT;
        if (node->router.reading_servers) {
            cw_router_on_servers(&node->router, read);
        }
    }
}

/* Guards against: a node whose store answers unreadably takes it for out of reach, and goes on by an old list although
 * it is in touch (review/2: DRAIN). */
START_TEST(an_unreadable_answer_does_not_lift_the_bound)
{
    node_fixture_t *node = node_among(FEW_NODES, 3);
    cw_router_t    *router = &node->router;

    run_with_readings(node, &(cw_servers_read_t){.is_answered = true}, 3000);
    ck_assert(!cw_engine_list_is_usable(router->engine, cw_router_now(router)));
    ck_assert_int_le(cw_router_now(router) - router->servers_read_at,
                     router->settings.drain / 2); /* it goes on reading */
    run_with_readings(node, &(cw_servers_read_t){.is_answered = false}, 3000);
    ck_assert(cw_engine_list_is_usable(router->engine, cw_router_now(router)));
    node_fixture_free(node);
}
END_TEST

/* Guards against: an owner of keys whose leave is announced late gets requests for half of `drain` from then on, though
 * it may have left when the list was last valid (issue 74). */
START_TEST(an_owner_that_announced_its_leave_late_gets_no_request_beyond_the_drain_time)
{
    node_fixture_t    *node = node_among(FEW_NODES, 3);
    cw_router_t       *router = &node->router;
    const cw_server_t *server = cw_server_pool_find(router->pool, "i-000000");

    router->loop.time += 1300; /* the server left just after the list was read */
    cw_engine_apply_reported_leave(router->engine, server->hash);
    ck_assert(cw_server_accepts(server, true, cw_router_now(router)));
    router->loop.time += 600;
    ck_assert(!cw_server_accepts(server, true, cw_router_now(router)));
    node_fixture_free(node);
}
END_TEST

/* Guards against: a process that starts while nobody leads reads the list once, from a copy, and then not again until
 * there is a leader (review/REPORT.md). */
START_TEST(a_process_that_starts_without_a_leader_reads_the_list_before_the_bounds_apply)
{
    node_fixture_t *node = node_fixture_create();
    uint32_t        sequence = 0;
    int64_t         passed;

    for (passed = 0; passed < 3000; passed += CW_TICK_MS) { /* the shortest time after which the bounds apply */
        report_nodes(node, FEW_NODES, ++sequence);
        node_fixture_tick(node, CW_TICK_MS);
        node->call_count = 0;
        node->router.leadership.pending = CW_LEADERSHIP_WAIT;
        if (node->router.reading_servers &&
            cw_router_now(&node->router) - node->router.servers_read_at >= CW_MS(READ_MS)) {
            node_fixture_read_servers(node, "s", 3, "10.0.1.1:80");
        }
    }
    ck_assert_int_le(age(node), usable_age(node));
    node_fixture_free(node);
}
END_TEST

/* Delivers a heartbeat of a leader whose list has just been read. sent_ms: on the leader's clock. */
static void receive_heartbeat(node_fixture_t *node, uint64_t sent_ms)
{
    Cwp__LeaderHeartbeat heartbeat = CWP__LEADER_HEARTBEAT__INIT;
    Cwp__NodeReport      report = CWP__NODE_REPORT__INIT;
    Cwp__Datagram        datagram = CWP__DATAGRAM__INIT;
    static uint32_t      sequence = 1000;

    heartbeat.term = 5;
    heartbeat.able = true;
    heartbeat.servers = 1;
    heartbeat.servers_hash = node->router.server_view.hash;
    heartbeat.sent_ms = sent_ms;
    heartbeat.tables = node->router.view_tables_version;
    heartbeat.configuration_age_ms = 1; /* none */
    report.configuration = cw_router_version(&node->router);
    report.node = "leader";
    report.zone = "z2";
    report.incarnation = 5;
    report.sequence = ++sequence;
    report.leader = &heartbeat;
    datagram.content_case = CWP__DATAGRAM__CONTENT_REPORT;
    datagram.report = &report;
    node_fixture_receive(node, "10.0.0.77", &datagram);
}

/* Guards against: the age that a heartbeat states counts from its receipt, so that a list seems younger by as long as a
 * link, a relay or a socket has held the heartbeat up (issue 74, hypothesis 3). */
START_TEST(a_heartbeat_that_was_held_up_confirms_the_list_at_its_sending_only)
{
    node_fixture_t *node = node_among(FEW_NODES, 3);

    receive_heartbeat(node, 700000);
    ck_assert_int_eq(age(node), 0);
    node_fixture_tick(node, 1000);
    receive_heartbeat(node, 700100); /* held up for 900 ms */
    ck_assert_int_eq(age(node), CW_MS(900));
    ck_assert_int_eq(node->router.server_view.evidence.source, CW_LIST_SOURCE_LEADER);
    node_fixture_tick(node, CW_TICK_MS);
    receive_heartbeat(node, 701020);
    ck_assert_int_eq(age(node), 0);
    node_fixture_free(node);
}
END_TEST

/* Guards against: the same of the configuration and of the tables, so that a configuration seems to be the newest one
 * for longer than it may be (CONFIG). */
START_TEST(a_heartbeat_that_was_held_up_proves_configuration_and_tables_at_its_sending_only)
{
    node_fixture_t *node = node_among(FEW_NODES, 3);
    cw_router_t    *router = &node->router;

    ck_assert(cw_router_apply_configuration(router, node_fixture_configuration(3, "s"), "node"));
    router->view_term = 5;
    router->view_tables_version = 1;
    receive_heartbeat(node, 700000);
    ck_assert_int_eq(cw_configuration_freshness_age(&router->freshness, cw_router_now(router)), 0);
    ck_assert_int_eq(router->tables_valid_at, cw_router_now(router));
    node_fixture_tick(node, 1000);
    receive_heartbeat(node, 700100); /* held up for 900 ms */
    ck_assert_int_eq(cw_configuration_freshness_age(&router->freshness, cw_router_now(router)), CW_MS(900));
    ck_assert_int_eq(router->tables_valid_at, cw_router_now(router) - CW_MS(900));
    node_fixture_free(node);
}
END_TEST

/* Lets time pass until the node reads its list. */
static void await_reading(node_fixture_t *node)
{
    static uint32_t sequence = 100;
    uint32_t        reads = node->list_reads;

    while (node->list_reads == reads) {
        if (node->router.loop.time % 500 < CW_TICK_MS) {
            report_nodes(node, FLEET_NODES, ++sequence);
        }
        node_fixture_tick(node, CW_TICK_MS);
        node->call_count = 0;
        node->router.leadership.pending = CW_LEADERSHIP_WAIT;
    }
}

/* Guards against: all nodes of a large fleet read the whole list once the store has forgotten its history, or read it
 * whole for ever after. */
START_TEST(a_node_of_a_large_fleet_reads_changes_only_while_they_are_known)
{
    node_fixture_t *node = node_among(FLEET_NODES, FLEET_SERVERS);

    await_reading(node);
    ck_assert_int_eq(node->list_read, CW_LIST_READ_CHANGES);
    cw_router_on_servers(&node->router, &(cw_servers_read_t){.list = NULL, .needs_whole = true});
    ck_assert(!node->router.store_availability.is_lost); /* it has answered */
    await_reading(node);
    ck_assert_int_eq(node->list_read, CW_LIST_READ); /* in its turn, after seconds */
    ck_assert_int_gt(age(node), node->router.settings.drain);
    node->router.reading_servers = false;
    receive_heartbeat(node, 700000); /* the leader names this list as the newest */
    await_reading(node);
    ck_assert_int_eq(node->list_read, CW_LIST_READ_CHANGES);
    node_fixture_free(node);
}
END_TEST

int main(void)
{
    Suite *suite = suite_create("list age");
    TCase *cases = tcase_create("list age");

    tcase_set_timeout(cases, 60);
    tcase_add_test(cases, a_node_of_a_large_fleet_renews_its_list_without_a_leader);
    tcase_add_test(cases, a_node_of_a_small_fleet_renews_its_list_without_a_leader);
    tcase_add_test(cases, an_unreadable_answer_does_not_lift_the_bound);
    tcase_add_test(cases, an_owner_that_announced_its_leave_late_gets_no_request_beyond_the_drain_time);
    tcase_add_test(cases, a_process_that_starts_without_a_leader_reads_the_list_before_the_bounds_apply);
    tcase_add_test(cases, a_node_of_a_large_fleet_reads_changes_only_while_they_are_known);
    tcase_add_test(cases, a_heartbeat_that_was_held_up_confirms_the_list_at_its_sending_only);
    tcase_add_test(cases, a_heartbeat_that_was_held_up_proves_configuration_and_tables_at_its_sending_only);
    suite_add_tcase(suite, cases);
    return cw_test_main(suite);
}
