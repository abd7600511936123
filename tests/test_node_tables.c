/**
 * @file test_node_tables.c
 * @brief Tests of until when a node routes by its tables: what confirms them, and which records it takes.
 */
#include <string.h>

#include "loop_fixture.h"
#include "node_fixture.h"

static void heartbeat(node_fixture_t *node, uint32_t sequence, uint64_t tables, const uint32_t *ages, size_t count)
{
    Cwp__NodeReport      report = CWP__NODE_REPORT__INIT;
    Cwp__LeaderHeartbeat leader = CWP__LEADER_HEARTBEAT__INIT;
    Cwp__Datagram        datagram = CWP__DATAGRAM__INIT;

    leader.term = 5;
    leader.able = true;
    leader.tables = tables;
    leader.tables_replaced_ms = (uint32_t *)ages;
    leader.n_tables_replaced_ms = count;
    report.node = "10.0.0.10";
    report.zone = "z1";
    report.incarnation = 1;
    report.sequence = sequence;
    report.leader = &leader;
    datagram.content_case = CWP__DATAGRAM__CONTENT_REPORT;
    datagram.report = &report;
    node_fixture_receive(node, "10.0.0.10", &datagram);
}

/* Guards against tables that count as valid from now by a heartbeat that was sent seconds ago: the node stood still,
 * and the heartbeat waited in its socket. */
START_TEST(a_heartbeat_from_the_backlog_does_not_confirm_tables_from_now)
{
    node_fixture_t *node = node_fixture_create();

    ck_assert(cw_router_apply_configuration(&node->router, node_fixture_configuration(1, "s"), "store"));
    heartbeat(node, 1, 3, NULL, 0);
    node->router.view_term = 5;
    node->router.view_tables_version = 3;
    node->router.tables_valid_at = 0;
    cw_router_relay_tick(&node->router, cw_router_now(&node->router));
    node->router.loop.time += 6000;
    ck_assert(cw_router_reads_backlog(&node->router, cw_router_now(&node->router)));
    heartbeat(node, 2, 3, NULL, 0);
    ck_assert_int_le(node->router.tables_valid_at, cw_router_now(&node->router) - CW_SECONDS(4));
    node_fixture_free(node);
}
END_TEST

/* The same with a notice of a reader of the zone. */
START_TEST(a_notice_from_the_backlog_does_not_confirm_tables_from_now)
{
    node_fixture_t  *node = node_fixture_create();
    Cwp__StoreNotice notice = CWP__STORE_NOTICE__INIT;
    Cwp__Datagram    datagram = CWP__DATAGRAM__INIT;
    cw_time_us_t     before;

    node_fixture_receive_report(node, "10.0.0.10", "z1", 1);
    node->router.tables_hash = 77;
    node->router.tables_valid_at = before = cw_router_now(&node->router);
    cw_router_relay_tick(&node->router, cw_router_now(&node->router));
    node->router.loop.time += 6000;
    ck_assert(cw_router_reads_backlog(&node->router, cw_router_now(&node->router)));
    notice.tables_hash = 77;
    notice.tables_age_ms = 10;
    datagram.content_case = CWP__DATAGRAM__CONTENT_STORE_NOTICE;
    datagram.store_notice = &notice;
    node_fixture_receive(node, "10.0.0.10", &datagram);
    ck_assert_int_eq(node->router.tables_valid_at, before);
    node_fixture_free(node);
}
END_TEST

/* A node without a leader reads the records of two services. The first reply sets the validity of the tables of all
 * services; the second one, asked for at the same time, is then not newer and is dropped, while the old table of its
 * service counts as valid again. */
START_TEST(each_services_record_that_is_read_is_used)
{
    node_fixture_t     *node = node_fixture_create();
    cw_configuration_t *configuration = node_fixture_configuration(1, "s");
    cw_service_t       *second = cw_configuration_add_service(configuration);

    second->name = strdup("t");
    second->keyed = true;
    cw_configuration_seal(configuration);
    node_fixture_read_servers(node, "s", 4, "10.0.1.1:80");
    ck_assert(cw_router_apply_configuration(&node->router, configuration, "store"));
    node->record =
        json_pack("{s:i, s:i, s:s, s:i, s:i, s:b, s:[[i, i, s, s, i]]}", "term", 1, "write", 3, "writer", "1",
                  "last_fence", 9, "epoch", 1, "waiting", 0, "ranges", 0, CW_KEY_LAST, "i-000000", "10.0.1.1:80", 9);
    node_fixture_answer_store(node);
    node->router.started_at = cw_router_now(&node->router) - CW_SECONDS(100);
    node->router.tables_valid_at = cw_router_now(&node->router) - CW_SECONDS(20); /* tables of a leader of long ago */
    node->router.tables_read_at = 0;
    node->router.loop.time += 20;
    cw_router_view_tick(&node->router, cw_router_now(&node->router));
    ck_assert_uint_eq(node->router.table_reads_pending, 2);
    node_fixture_answer_store(node);
    ck_assert_int_eq(node->router.tables_valid_at, cw_router_now(&node->router)); /* they count as valid from now */
    ck_assert_uint_eq(cw_key_tables_service(&node->router.tables, "s")->count, 1);
    ck_assert_uint_eq(cw_key_tables_service(&node->router.tables, "t")->count, 1);
    node_fixture_free(node);
}
END_TEST

int main(void)
{
    Suite *suite = suite_create("tables of a node");
    TCase *cases = tcase_create("tables of a node");

    tcase_add_test(cases, a_heartbeat_from_the_backlog_does_not_confirm_tables_from_now);
    tcase_add_test(cases, a_notice_from_the_backlog_does_not_confirm_tables_from_now);
    tcase_add_test(cases, each_services_record_that_is_read_is_used);
    suite_add_tcase(suite, cases);
    return cw_test_main(suite);
}
