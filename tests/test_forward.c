/**
 * @file test_forward.c
 * @brief What a relay sends to nodes of its zone: changes unchanged, whole lists on request, whole tables never.
 */
#include <arpa/inet.h>

#include "loop_fixture.h"
#include "node_fixture.h"

enum { TERM = 5, LIST_VERSION = 3, TABLES_VERSION = 4, STEPS = 60 };

static uint64_t sent_to_zone(const node_fixture_t *node, Cwp__Datagram__ContentCase kind)
{
    return cw_peer_link_traffic(node->router.link)->datagrams[kind][CW_DISTANCE_ZONE];
}

/* Adds a node that has read the list and a record of assignments in the store itself, so that it has no version of
 * either. */
static cw_peer_t *add_reader(node_fixture_t *node)
{
    cw_peer_t *peer;

    node_fixture_receive_report(node, "10.0.0.10", "z1", 1);
    peer = cw_peer_link_find(node->router.link, inet_addr("10.0.0.10"));
    ck_assert_ptr_nonnull(peer);
    peer->distance = CW_DISTANCE_ZONE;
    peer->term = TERM;
    peer->servers = 0;
    peer->tables = 0;
    return peer;
}

static void set_tables(node_fixture_t *node)
{
    cw_range_t      range = {.low = 0, .last = CW_KEY_LAST, .phase = CW_RANGE_HELD};
    cw_range_list_t ranges = {.items = &range, .count = 1};

    ck_assert(cw_key_tables_update(&node->router.tables, "docks", &ranges, TABLES_VERSION));
    node->router.view_tables_version = TABLES_VERSION;
}

/* Receives a heartbeat: the leader's list has the version of this node's list. */
static void receive_heartbeat(node_fixture_t *node)
{
    Cwp__LeaderHeartbeat heartbeat = CWP__LEADER_HEARTBEAT__INIT;

    heartbeat.term = TERM;
    heartbeat.servers = LIST_VERSION;
    heartbeat.servers_hash = node->router.server_view.hash;
    cw_router_list_exchange_heartbeat(&node->router, &heartbeat, cw_router_now(&node->router));
}

static void receive_request(node_fixture_t *node)
{
    Cwp__ListRequest request = CWP__LIST_REQUEST__INIT;
    Cwp__Datagram    datagram = CWP__DATAGRAM__INIT;

    request.term = TERM;
    request.number = LIST_VERSION;
    datagram.content_case = CWP__DATAGRAM__CONTENT_LIST_REQUEST;
    datagram.list_request = &request;
    node_fixture_receive(node, "10.0.0.10", &datagram);
}

START_TEST(whole_lists_are_sent_on_request_and_whole_tables_never)
{
    node_fixture_t *node = node_fixture_create();
    int             step;

    node_fixture_read_servers(node, "docks", 6, "10.0.1.1:80");
    (void)add_reader(node);
    node->router.settings.link_mbps = 100;
    node->router.view_term = TERM;
    node->router.view_list_version = LIST_VERSION;
    set_tables(node);
    receive_heartbeat(node);
    for (step = 0; step < STEPS; step++) {
        node_fixture_tick(node, CW_TICK_MS);
    }
    ck_assert_uint_eq(sent_to_zone(node, CWP__DATAGRAM__CONTENT_SERVERS), 0);
    receive_request(node);
    for (step = 0; step < STEPS; step++) {
        node_fixture_tick(node, CW_TICK_MS);
    }
    ck_assert_uint_eq(sent_to_zone(node, CWP__DATAGRAM__CONTENT_SERVERS), 1);
    ck_assert_uint_eq(sent_to_zone(node, CWP__DATAGRAM__CONTENT_TABLE), 0);
    node_fixture_free(node);
}
END_TEST

/* Receives a page of changes that the leader sends to this relay. Returns the length of the page as it is forwarded. */
static size_t receive_page_to_forward(node_fixture_t *node)
{
    Cwp__ServersPage page = CWP__SERVERS_PAGE__INIT;
    Cwp__ViewServer  server = CWP__VIEW_SERVER__INIT;
    Cwp__ViewServer *servers[] = {&server};
    Cwp__Datagram    datagram = CWP__DATAGRAM__INIT;

    server.id = "i-1";
    server.service = "docks";
    server.address = "10.0.1.1:80";
    server.zone = "z1";
    page.term = TERM;
    page.number = LIST_VERSION;
    page.pages = 1;
    page.servers = servers;
    page.n_servers = 1;
    datagram.content_case = CWP__DATAGRAM__CONTENT_SERVERS;
    datagram.servers = &page;
    page.pass_on = true;
    node_fixture_receive(node, "10.0.2.1", &datagram);
    page.pass_on = false; /* as in the page that is forwarded */
    return cwp__datagram__get_packed_size(&datagram);
}

START_TEST(forwarded_pages_are_taken_from_the_allowance)
{
    const double    before = 10000;
    node_fixture_t *node = node_fixture_create();
    size_t          length;

    (void)add_reader(node);
    node->router.push_allowance = (cw_send_allowance_t){
        .bytes_per_s = before, .burst = CW_SECONDS(1), .bytes = before, .filled_at = cw_router_now(&node->router)};
    length = receive_page_to_forward(node);
    ck_assert_uint_eq(sent_to_zone(node, CWP__DATAGRAM__CONTENT_SERVERS), 1);
    ck_assert_double_eq(node->router.push_allowance.bytes, before - (double)length);
    node_fixture_free(node);
}
END_TEST

int main(void)
{
    Suite *suite = suite_create("forward");
    TCase *cases = tcase_create("forward");

    tcase_add_test(cases, whole_lists_are_sent_on_request_and_whole_tables_never);
    tcase_add_test(cases, forwarded_pages_are_taken_from_the_allowance);
    suite_add_tcase(suite, cases);
    return cw_test_main(suite);
}
