/**
 * @file test_push.c
 * @brief What a leader sends in one turn of its loop to nodes that lack different parts of the list and the tables.
 */
#include <arpa/inet.h>
#include <stdio.h>

#include "loop_fixture.h"
#include "node_fixture.h"

enum { TURNS = 20, SERVERS = 200, NODES = 6 };

/* Which state a node has, compared with the leader's. */
typedef enum possession { HAS_NEWEST, LACKS_CHANGE, LACKS_TWO_CHANGES, LACKS_ALL } possession_t;

static cw_peer_t *node_of(node_fixture_t *node, int index)
{
    char       address[INET_ADDRSTRLEN];
    cw_peer_t *peer;

    snprintf(address, sizeof(address), "10.0.2.%d", index + 1);
    node_fixture_receive_report(node, address, "z1", 1);
    peer = cw_peer_link_find(node->router.link, inet_addr(address));
    ck_assert_ptr_nonnull(peer);
    peer->distance = CW_DISTANCE_ZONE;
    peer->last_received_at = cw_router_now(&node->router);
    peer->is_lost = false;
    return peer;
}

static void set_possession(node_fixture_t *node, int index, possession_t possession)
{
    const cw_router_t *router = &node->router;
    cw_peer_t         *peer = node_of(node, index);
    uint64_t           lacks = possession == LACKS_TWO_CHANGES ? 2 : possession == LACKS_CHANGE ? 1 : 0;

    peer->term = router->leadership.lock.term;
    peer->servers = possession == LACKS_ALL ? 0 : router->leader_list_version - lacks;
    peer->tables = possession == LACKS_ALL ? 0 : router->leader_tables_version - lacks;
    peer->servers_push = (cw_push_state_t){0};
    peer->tables_push = (cw_push_state_t){0};
}

/* A leader whose list has changed twice; the first change is larger than the second. */
static node_fixture_t *leader(void)
{
    node_fixture_t *node = node_fixture_create();
    int             index;

    node->router.settings.link_mbps = 100000;
    ck_assert(cw_router_apply_configuration(&node->router, node_fixture_configuration(1, "docks"), "store"));
    node_fixture_read_servers(node, "docks", SERVERS, "10.0.1.1:80");
    node_fixture_lead(node);
    for (index = 0; index < NODES; index++) {
        set_possession(node, index, HAS_NEWEST);
    }
    node_fixture_read_servers(node, "docks", SERVERS + 9, "10.0.1.1:80");
    node_fixture_read_servers(node, "docks", SERVERS + 10, "10.0.1.1:80");
    ck_assert_uint_gt(node->router.leader_list_version, 2);
    ck_assert_uint_gt(node->router.leader_tables_version, 0);
    return node;
}

static uint64_t bytes_of(const node_fixture_t *node, Cwp__Datagram__ContentCase kind)
{
    return cw_peer_link_traffic(node->router.link)->bytes[kind][CW_DISTANCE_ZONE];
}

static uint64_t push(node_fixture_t *node, Cwp__Datagram__ContentCase kind, const possession_t possessions[NODES])
{
    uint64_t before;
    int      index;

    for (index = 0; index < NODES; index++) {
        set_possession(node, index, possessions[index]);
    }
    node->router.push_allowance.bytes = 1e9;
    before = bytes_of(node, kind);
    if (kind == CWP__DATAGRAM__CONTENT_SERVERS) {
        cw_router_push_servers(&node->router, cw_router_now(&node->router));
    } else {
        cw_router_push_tables(&node->router, cw_router_now(&node->router));
    }
    for (index = 0; index < TURNS; index++) { /* many pages are sent over several turns */
        cw_router_forward_tick(&node->router, cw_router_now(&node->router));
    }
    return bytes_of(node, kind) - before;
}

START_TEST(each_node_is_sent_what_it_lacks_of_the_list)
{
    static const possession_t one_whole[NODES] = {LACKS_ALL};
    static const possession_t one_change[NODES] = {LACKS_CHANGE};
    static const possession_t two_changes[NODES] = {LACKS_TWO_CHANGES};
    static const possession_t mixed[NODES] = {LACKS_ALL,  LACKS_CHANGE,      LACKS_TWO_CHANGES,
                                              HAS_NEWEST, LACKS_TWO_CHANGES, LACKS_ALL};
    node_fixture_t           *node = leader();
    uint64_t                  whole = push(node, CWP__DATAGRAM__CONTENT_SERVERS, one_whole);
    uint64_t                  change = push(node, CWP__DATAGRAM__CONTENT_SERVERS, one_change);
    uint64_t                  changes = push(node, CWP__DATAGRAM__CONTENT_SERVERS, two_changes);

    ck_assert_uint_gt(change, 0);
    ck_assert_uint_gt(changes, change);
    ck_assert_uint_gt(whole, changes);
    ck_assert_uint_eq(push(node, CWP__DATAGRAM__CONTENT_SERVERS, mixed), 2 * whole + change + 2 * changes);
    node_fixture_free(node);
}
END_TEST

START_TEST(each_node_is_sent_what_it_lacks_of_the_tables)
{
    static const possession_t one_whole[NODES] = {LACKS_ALL};
    static const possession_t one_change[NODES] = {LACKS_CHANGE};
    static const possession_t mixed[NODES] = {LACKS_ALL, LACKS_CHANGE, LACKS_ALL, HAS_NEWEST, LACKS_CHANGE, LACKS_ALL};
    node_fixture_t           *node = leader();
    uint64_t                  whole = push(node, CWP__DATAGRAM__CONTENT_TABLE, one_whole);
    uint64_t                  change = push(node, CWP__DATAGRAM__CONTENT_TABLE, one_change);

    ck_assert_uint_gt(change, 0);
    ck_assert_uint_gt(whole, change);
    ck_assert_uint_eq(push(node, CWP__DATAGRAM__CONTENT_TABLE, mixed), 3 * whole + 2 * change);
    node_fixture_free(node);
}
END_TEST

START_TEST(a_later_turn_sends_the_list_of_that_time)
{
    static const possession_t one_whole[NODES] = {LACKS_ALL};
    node_fixture_t           *node = leader();
    uint64_t                  whole = push(node, CWP__DATAGRAM__CONTENT_SERVERS, one_whole);

    node_fixture_read_servers(node, "docks", 2 * SERVERS, "10.0.1.1:80");
    ck_assert_uint_gt(push(node, CWP__DATAGRAM__CONTENT_SERVERS, one_whole), whole);
    node_fixture_free(node);
}
END_TEST

static void receive_from_process(node_fixture_t *node, uint64_t incarnation, uint32_t sequence)
{
    Cwp__NodeReport report = CWP__NODE_REPORT__INIT;
    Cwp__Datagram   datagram = CWP__DATAGRAM__INIT;

    report.node = "started-anew";
    report.zone = "z1";
    report.incarnation = incarnation;
    report.sequence = sequence;
    datagram.content_case = CWP__DATAGRAM__CONTENT_REPORT;
    datagram.report = &report;
    node_fixture_receive(node, "10.0.2.1", &datagram);
}

static uint64_t push_nodes(node_fixture_t *node)
{
    uint64_t before = bytes_of(node, CWP__DATAGRAM__CONTENT_NODES);

    node->router.push_allowance.bytes = 1e9;
    cw_router_push_nodes(&node->router, cw_router_now(&node->router));
    return bytes_of(node, CWP__DATAGRAM__CONTENT_NODES) - before;
}

/* Guards against a fault after the restart of a whole zone: what the leader had sent to the former processes counted as
 * sent to the new ones, so these did not learn of one another, and each of them got the list from outside the zone. */
START_TEST(a_restarted_process_is_sent_the_other_nodes_at_once)
{
    node_fixture_t *node = leader();

    receive_from_process(node, 7, 1);
    ck_assert_uint_gt(push_nodes(node), 0);
    receive_from_process(node, 7, 2);
    ck_assert_uint_eq(push_nodes(node), 0);
    receive_from_process(node, 8, 1);
    ck_assert_uint_gt(push_nodes(node), 0);
    node_fixture_free(node);
}
END_TEST

/* Guards against a fault after a restart: the new process had to wait until pages sent to its predecessor would have
 * been sent again. */
START_TEST(a_restarted_process_is_sent_the_list_at_once)
{
    static const possession_t one_whole[NODES] = {LACKS_ALL};
    node_fixture_t           *node = leader();
    uint64_t                  whole = push(node, CWP__DATAGRAM__CONTENT_SERVERS, one_whole);
    uint64_t                  before = bytes_of(node, CWP__DATAGRAM__CONTENT_SERVERS);

    receive_from_process(node, 7, 1);
    cw_router_push_servers(&node->router, cw_router_now(&node->router));
    receive_from_process(node, 8, 1);
    cw_router_push_servers(&node->router, cw_router_now(&node->router));
    ck_assert_uint_eq(bytes_of(node, CWP__DATAGRAM__CONTENT_SERVERS) - before, 2 * whole);
    node_fixture_free(node);
}
END_TEST

int main(void)
{
    Suite *suite = suite_create("push");
    TCase *cases = tcase_create("push");

    tcase_add_test(cases, each_node_is_sent_what_it_lacks_of_the_list);
    tcase_add_test(cases, each_node_is_sent_what_it_lacks_of_the_tables);
    tcase_add_test(cases, a_later_turn_sends_the_list_of_that_time);
    tcase_add_test(cases, a_restarted_process_is_sent_the_other_nodes_at_once);
    tcase_add_test(cases, a_restarted_process_is_sent_the_list_at_once);
    suite_add_tcase(suite, cases);
    return cw_test_main(suite);
}
