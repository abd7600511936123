/**
 * @file test_table_publication.c
 * @brief When changed assignments are published as tables, and what the leader states about the last tables until then.
 */
#include "loop_fixture.h"
#include "node_fixture.h"
#include "router/table_publication.h"

enum { NODES = 200, DATAGRAMS_PER_SECOND = 1000, SERVERS = 6 };

START_TEST(the_first_change_is_published_at_once_and_the_next_after_an_interval)
{
    cw_table_publication_t publication = {0};
    cw_time_us_t           now = CW_SECONDS(10);

    ck_assert(!cw_table_publication_is_due(&publication, NODES, DATAGRAMS_PER_SECOND, now));
    cw_table_publication_record_change(&publication, now);
    ck_assert(cw_table_publication_is_due(&publication, NODES, DATAGRAMS_PER_SECOND, now));
    cw_table_publication_done(&publication, now);
    cw_table_publication_record_change(&publication, now + 1);
    cw_table_publication_record_change(&publication, now + CW_MS(50));
    ck_assert_int_eq(publication.changed_at, now + 1); /* the published tables are outdated from the first change on */
    ck_assert(!cw_table_publication_is_due(&publication, NODES, DATAGRAMS_PER_SECOND, now + CW_MS(199)));
    ck_assert(cw_table_publication_is_due(&publication, NODES, DATAGRAMS_PER_SECOND, now + CW_MS(200)));
}
END_TEST

START_TEST(the_interval_is_the_time_that_sending_to_all_nodes_takes)
{
    cw_table_publication_t publication = {.published_at = CW_SECONDS(10)};

    cw_table_publication_record_change(&publication, CW_SECONDS(10));
    ck_assert(cw_table_publication_is_due(&publication, 2, DATAGRAMS_PER_SECOND, CW_SECONDS(10) + CW_MS(2)));
}
END_TEST

/* The report, with the heartbeat, that the leader would send now. */
static Cwp__Datagram *heartbeat_of(node_fixture_t *node, uint8_t *packed)
{
    cw_router_t *router = &node->router;
    size_t       length = cw_router_pack_report(router, 0, cw_router_now(router));

    ck_assert_uint_gt(length, 0);
    cw_peer_link_copy_packed(router->link, packed, length);
    return cwp__datagram__unpack(NULL, length, packed);
}

START_TEST(while_a_change_is_pending_the_heartbeat_dates_the_last_tables_before_it)
{
    static uint8_t              packed[65536];
    node_fixture_t             *node = node_fixture_create();
    cw_router_t                *router = &node->router;
    const Cwp__LeaderHeartbeat *heartbeat;
    Cwp__Datagram              *datagram;
    uint64_t                    tables;

    node_fixture_read_servers(node, "s", SERVERS, "10.0.1.1:80");
    ck_assert(cw_router_apply_configuration(router, node_fixture_configuration(1, "s"), "store"));
    node_fixture_lead(node);
    tables = router->leader_tables_version;
    cw_table_publication_done(&router->table_publication, cw_router_now(router));
    cw_table_publication_record_change(&router->table_publication, cw_router_now(router));
    router->loop.time += 70;
    datagram = heartbeat_of(node, packed);
    heartbeat = datagram->report->leader;
    ck_assert_uint_eq(heartbeat->tables, tables + 1);
    ck_assert_uint_eq(heartbeat->tables_hash, 0); /* no node has them yet */
    ck_assert_uint_ge(heartbeat->tables_replaced_ms[0], 70);
    cwp__datagram__free_unpacked(datagram, NULL);
    node_fixture_free(node);
}
END_TEST

int main(void)
{
    Suite *suite = suite_create("table_publication");
    TCase *cases = tcase_create("table_publication");

    tcase_add_test(cases, the_first_change_is_published_at_once_and_the_next_after_an_interval);
    tcase_add_test(cases, the_interval_is_the_time_that_sending_to_all_nodes_takes);
    tcase_add_test(cases, while_a_change_is_pending_the_heartbeat_dates_the_last_tables_before_it);
    suite_add_tcase(suite, cases);
    return cw_test_main(suite);
}
