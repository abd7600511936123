/**
 * @file test_node_start.c
 * @brief Tests that a node handles messages that arrive before it knows anything, in any order, and at the limits of
 * its arrays.
 *
 * Most of these tests pass if the node does not crash; under AddressSanitizer they also check that it accesses no
 * memory out of bounds (make BUILD=build-asan CFLAGS="-O1 -g -fsanitize=address,undefined"
 * LDFLAGS="-fsanitize=address,undefined").
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/resource.h>
#include <unistd.h>

#include "loop_fixture.h"
#include "node_fixture.h"
#include "router/loop_start.h"
#include "router/router_status.h"

enum {
    TERM = 7,
    MANY_LOADS = 600,       /* more than fit into a report */
    MANY_NODES = 1200,      /* more than may count slots, or send to cold servers */
    MANY_SERVICES = 20,     /* more than tables have room for */
    MANY_SERVERS = 2100,    /* of one service */
    HUGE_LIST = 40000,      /* servers */
    PAGES_MAX = 512,        /* of a list */
    LONG_FREEZE_MS = 120000 /* all peers are forgotten: among MANY_NODES, a peer may count as lost only after 60 s */
};

#define OTHER "10.0.0.9"

/* ---- datagrams ---- */

static void receive_heartbeat(node_fixture_t *node, uint64_t term, uint64_t servers, uint64_t tables)
{
    Cwp__LeaderHeartbeat heartbeat = CWP__LEADER_HEARTBEAT__INIT;
    Cwp__NodeReport      report = CWP__NODE_REPORT__INIT;
    Cwp__Datagram        datagram = CWP__DATAGRAM__INIT;
    static uint32_t      sequence;

    heartbeat.term = term;
    heartbeat.revision = term;
    heartbeat.able = true;
    heartbeat.servers = servers;
    heartbeat.tables = tables;
    heartbeat.servers_hash = 1;
    heartbeat.tables_hash = 1;
    heartbeat.configuration_age_ms = 1;
    report.node = OTHER;
    report.zone = "z2";
    report.incarnation = 5;
    report.sequence = ++sequence;
    report.configuration = 3;
    report.leader = &heartbeat;
    datagram.content_case = CWP__DATAGRAM__CONTENT_REPORT;
    datagram.report = &report;
    node_fixture_receive(node, OTHER, &datagram);
}

static void receive_servers(node_fixture_t *node, const Cwp__ServersPage *position, const char *id)
{
    Cwp__ServersPage page = *position;
    Cwp__ViewServer  server = CWP__VIEW_SERVER__INIT;
    Cwp__ViewServer *servers = &server;
    Cwp__Datagram    datagram = CWP__DATAGRAM__INIT;

    server.id = (char *)id;
    server.service = "s";
    server.address = "10.0.1.1:80";
    server.zone = "z1";
    server.capacity = 2;
    page.servers = &servers;
    page.n_servers = id == NULL ? 0 : 1;
    datagram.content_case = CWP__DATAGRAM__CONTENT_SERVERS;
    datagram.servers = &page;
    node_fixture_receive(node, OTHER, &datagram);
}

static Cwp__ServersPage page_position(uint64_t term, uint64_t number, uint64_t since, uint32_t page, uint32_t pages)
{
    Cwp__ServersPage position = CWP__SERVERS_PAGE__INIT;

    position.term = term;
    position.number = number;
    position.since = since;
    position.page = page;
    position.pages = pages;
    position.revision = number;
    return position;
}

static void receive_table(node_fixture_t *node, uint64_t term, uint32_t page, uint32_t pages, const char *service)
{
    Cwp__TablePage   table = CWP__TABLE_PAGE__INIT;
    Cwp__TableRange  range = CWP__TABLE_RANGE__INIT;
    Cwp__TableRange *ranges = &range;
    Cwp__Datagram    datagram = CWP__DATAGRAM__INIT;

    range.last = CW_KEY_LAST;
    range.server = cw_name_hash("i-000000");
    range.fence = 3;
    range.routable = true;
    table.term = term;
    table.number = 1;
    table.page = page;
    table.pages = pages;
    table.service = (char *)service;
    table.ranges = &ranges;
    table.n_ranges = 1;
    datagram.content_case = CWP__DATAGRAM__CONTENT_TABLE;
    datagram.table = &table;
    node_fixture_receive(node, OTHER, &datagram);
}

static void receive_slot_messages(node_fixture_t *node, const char *from)
{
    Cwp__SlotAsk    ask = CWP__SLOT_ASK__INIT;
    Cwp__SlotReply  reply = CWP__SLOT_REPLY__INIT;
    Cwp__SlotReturn returned = CWP__SLOT_RETURN__INIT;
    Cwp__Datagram   datagram = CWP__DATAGRAM__INIT;

    ask.ticket = 1;
    ask.service = cw_name_hash("s");
    ask.objective_ms = 500;
    ask.lease_ms = 1000;
    ask.wait_ms = 100;
    datagram.content_case = CWP__DATAGRAM__CONTENT_SLOT_ASK;
    datagram.slot_ask = &ask;
    node_fixture_receive(node, from, &datagram);
    reply.ticket = 1;
    datagram.content_case = CWP__DATAGRAM__CONTENT_SLOT_REPLY;
    datagram.slot_reply = &reply;
    node->router.loop.time++;
    if (node->router.settings.node[0] != '\0') { /* a reply that no request waits for is declined */
        cw_router_slots_tick(&node->router, cw_router_now(&node->router));
    }
    returned.ticket = 1;
    datagram.content_case = CWP__DATAGRAM__CONTENT_SLOT_RETURN;
    datagram.slot_return = &returned;
    node_fixture_receive(node, from, &datagram);
}

static void receive_notice(node_fixture_t *node)
{
    Cwp__StoreNotice notice = CWP__STORE_NOTICE__INIT;
    Cwp__Datagram    datagram = CWP__DATAGRAM__INIT;

    notice.configuration = 9;
    notice.servers_hash = 1;
    notice.tables_hash = 1;
    notice.configuration_age_ms = 5;
    datagram.content_case = CWP__DATAGRAM__CONTENT_STORE_NOTICE;
    datagram.store_notice = &notice;
    node_fixture_receive(node, OTHER, &datagram);
}

static void receive_ack(node_fixture_t *node)
{
    Cwp__ViewAck  ack = CWP__VIEW_ACK__INIT;
    Cwp__Datagram datagram = CWP__DATAGRAM__INIT;

    ack.incarnation = 5;
    ack.term = TERM;
    ack.servers = 100;
    datagram.content_case = CWP__DATAGRAM__CONTENT_ACK;
    datagram.ack = &ack;
    node_fixture_receive(node, OTHER, &datagram);
}

static void receive_configuration_page(node_fixture_t *node, uint64_t version, uint64_t since, uint32_t page,
                                       uint32_t pages)
{
    Cwp__ConfigurationPage    sent = CWP__CONFIGURATION_PAGE__INIT;
    Cwp__ConfiguredRoute      route = CWP__CONFIGURED_ROUTE__INIT;
    Cwp__ConfiguredRoute     *routes = &route;
    Cwp__ConfiguredService    service = CWP__CONFIGURED_SERVICE__INIT;
    Cwp__ConfiguredService   *services = &service;
    Cwp__RouteKey             gone = CWP__ROUTE_KEY__INIT;
    Cwp__RouteKey            *removed = &gone;
    Cwp__ConfigurationRequest request = CWP__CONFIGURATION_REQUEST__INIT;
    Cwp__Datagram             datagram = CWP__DATAGRAM__INIT;

    route.name = "r";
    route.host = "h";
    route.prefix = "/";
    service.name = "s";
    service.keyed = true;
    gone.host = "h";
    gone.prefix = "/gone";
    sent.version = version;
    sent.since = since;
    sent.page = page;
    sent.pages = pages;
    sent.routes = &routes;
    sent.n_routes = 1;
    sent.services = &services;
    sent.n_services = 1;
    sent.removed = &removed;
    sent.n_removed = 1;
    datagram.content_case = CWP__DATAGRAM__CONTENT_CONFIGURATION;
    datagram.configuration = &sent;
    node_fixture_receive(node, OTHER, &datagram);
    request.has = version;
    request.first_page = page;
    datagram.content_case = CWP__DATAGRAM__CONTENT_CONFIGURATION_REQUEST;
    datagram.configuration_request = &request;
    node_fixture_receive(node, OTHER, &datagram);
}

static void receive_samples(node_fixture_t *node, uint32_t key, uint32_t seen, uint32_t sequence)
{
    Cwp__NodeReport  report = CWP__NODE_REPORT__INIT;
    Cwp__KeySamples  samples = CWP__KEY_SAMPLES__INIT;
    Cwp__KeySamples *pointer = &samples;
    Cwp__Datagram    datagram = CWP__DATAGRAM__INIT;

    samples.service = cw_name_hash("s");
    samples.keys = &key;
    samples.n_keys = 1;
    samples.seen = seen;
    report.node = OTHER;
    report.zone = "z2";
    report.incarnation = 5;
    report.sequence = sequence;
    report.samples = &pointer;
    report.n_samples = 1;
    datagram.content_case = CWP__DATAGRAM__CONTENT_REPORT;
    datagram.report = &report;
    node_fixture_receive(node, OTHER, &datagram);
}

static void receive_all_kinds(node_fixture_t *node)
{
    Cwp__ServersPage changes = page_position(TERM, 9, 4, 0, 1);

    receive_ack(node);
    receive_notice(node);
    receive_slot_messages(node, OTHER);
    receive_servers(node, &changes, "i-000000");
    receive_table(node, TERM, 0, 1, "s");
    receive_configuration_page(node, 9, 8, 0, 1);
    receive_configuration_page(node, 9, 0, 1, 2);
    receive_heartbeat(node, TERM, 9, 2);
    receive_samples(node, 1, 10, 1000);
}

/* ---- tests ---- */

START_TEST(all_kinds_of_datagrams_are_received_before_anything_is_known)
{
    node_fixture_t *node = node_fixture_create();
    char           *status;

    receive_all_kinds(node);
    node_fixture_tick(node, 0);
    receive_all_kinds(node);
    node_fixture_tick(node, CW_TICK_MS);
    node_fixture_answer_store(node);
    ck_assert_uint_eq(node->router.view_term, TERM);
    /* It has received only changes of a list that it does not have. */
    ck_assert_ptr_null(node->router.server_view.list);
    ck_assert_ptr_null(node->router.configuration);
    status = cw_router_status(&node->router);
    ck_assert_ptr_nonnull(status);
    free(status);
    node_fixture_read_servers(node, "s", 3, "10.0.1.1:80");
    ck_assert(cw_router_apply_configuration(&node->router, node_fixture_configuration(1, "s"), "store"));
    receive_all_kinds(node);
    node_fixture_tick(node, CW_TICK_MS);
    ck_assert_uint_eq(cw_router_version(&node->router), 1);
    node_fixture_free(node);
}
END_TEST

START_TEST(a_list_is_empty_then_huge_then_empty)
{
    node_fixture_t *node = node_fixture_create();

    node_fixture_read_servers(node, "s", 0, "10.0.1.1:80");
    ck_assert_uint_eq(node->router.server_view.list->count, 0);
    node_fixture_tick(node, CW_TICK_MS);
    node_fixture_read_servers(node, "s", HUGE_LIST, "10.0.1.1:80");
    ck_assert_uint_eq(node->router.server_view.list->count, HUGE_LIST);
    node_fixture_tick(node, CW_TICK_MS);
    node_fixture_read_servers(node, "s", 0, "10.0.1.1:80");
    node_fixture_tick(node, CW_TICK_MS);
    node_fixture_tick(node, LONG_FREEZE_MS);
    ck_assert_uint_eq(node->router.server_view.list->count, 0); /* missing servers are kept for a bounded time only */
    node_fixture_free(node);
}
END_TEST

START_TEST(a_configuration_is_received_before_the_list_and_after_it)
{
    node_fixture_t *first = node_fixture_create();
    node_fixture_t *second = node_fixture_create();

    ck_assert(cw_router_apply_configuration(&first->router, node_fixture_configuration(1, "s"), "store"));
    node_fixture_lead(first); /* without a list of servers */
    node_fixture_read_servers(first, "s", 4, "10.0.1.1:80");
    node_fixture_lead(first);
    ck_assert_uint_eq(cw_assigner_ranges(first->router.assignments[0].assigner)->count, 4);
    node_fixture_read_servers(second, "s", 4, "10.0.1.1:80");
    node_fixture_lead(second); /* without a configuration */
    ck_assert(cw_router_apply_configuration(&second->router, node_fixture_configuration(1, "s"), "store"));
    node_fixture_lead(second);
    ck_assert_uint_eq(cw_assigner_ranges(second->router.assignments[0].assigner)->count, 4);
    node_fixture_free(first);
    node_fixture_free(second);
}
END_TEST

START_TEST(pages_are_received_out_of_order_twice_and_of_several_terms)
{
    node_fixture_t  *node = node_fixture_create();
    Cwp__ServersPage second = page_position(TERM, 5, 0, 1, 2);
    Cwp__ServersPage first = page_position(TERM, 5, 0, 0, 2);
    Cwp__ServersPage other_term = page_position(TERM + 1, 5, 0, 0, 3);
    Cwp__ServersPage early = page_position(TERM, 6, 5, 1, 2);

    receive_servers(node, &second, "i-b");
    receive_servers(node, &second, "i-b");
    receive_servers(node, &other_term, "i-x");
    receive_servers(node, &second, "i-b");
    receive_servers(node, &first, "i-a");
    ck_assert_uint_eq(node->router.server_view.list->count, 2);
    /* Not applied: the page before it, which names the removed servers, is missing. */
    receive_servers(node, &early, "i-c");
    ck_assert_uint_eq(node->router.server_view.list->count, 2);
    receive_servers(node, &first, "i-d"); /* an earlier version */
    ck_assert_uint_eq(node->router.server_view.list->count, 2);
    receive_table(node, TERM, 1, 2, "s");
    receive_table(node, TERM + 1, 0, 2, "t");
    receive_table(node, TERM, 1, 2, "s");
    receive_table(node, TERM, 0, 2, "t");
    ck_assert_uint_eq(node->router.tables.count, 2);
    node_fixture_tick(node, CW_TICK_MS);
    node_fixture_free(node);
}
END_TEST

START_TEST(transfers_have_the_greatest_number_of_pages_and_one_more)
{
    node_fixture_t *node = node_fixture_create();
    char            id[24];
    uint32_t        page;

    for (page = 0; page <= PAGES_MAX; page++) {
        Cwp__ServersPage too_many = page_position(TERM, 4, 0, page, PAGES_MAX + 1);

        receive_servers(node, &too_many, "i-x");
    }
    ck_assert_ptr_null(node->router.server_view.list);
    for (page = PAGES_MAX; page > 0; page--) {
        Cwp__ServersPage position = page_position(TERM, 5, 0, page - 1, PAGES_MAX);

        snprintf(id, sizeof(id), "i-%06u", page);
        receive_servers(node, &position, id);
    }
    ck_assert_uint_eq(node->router.server_view.list->count, PAGES_MAX);
    for (page = 0; page < MANY_SERVICES; page++) {
        snprintf(id, sizeof(id), "service-%u", page);
        receive_table(node, TERM, page, MANY_SERVICES, id);
    }
    ck_assert_uint_eq(node->router.tables.count, CW_TABLE_SERVICES_MAX);
    for (page = 0; page <= CW_CONFIGURATION_PAGES_MAX; page++) {
        receive_configuration_page(node, 3, 0, page, CW_CONFIGURATION_PAGES_MAX + 1);
    }
    ck_assert_ptr_null(node->router.configuration);
    for (page = CW_CONFIGURATION_PAGES_MAX; page > 0; page--) {
        receive_configuration_page(node, 3, 0, page - 1, CW_CONFIGURATION_PAGES_MAX);
    }
    ck_assert_uint_eq(cw_router_version(&node->router), 3);
    node_fixture_free(node);
}
END_TEST

START_TEST(report_has_more_entries_than_there_is_room_for)
{
    static Cwp__ServerLoad   loads[MANY_LOADS];
    static Cwp__ServerLoad  *load_pointers[MANY_LOADS];
    static Cwp__ServerPace   paces[MANY_LOADS];
    static Cwp__ServerPace  *pace_pointers[MANY_LOADS];
    static Cwp__QueueLength  queues[MANY_LOADS];
    static Cwp__QueueLength *queue_pointers[MANY_LOADS];
    node_fixture_t          *node = node_fixture_create();
    Cwp__NodeReport          report = CWP__NODE_REPORT__INIT;
    Cwp__Datagram            datagram = CWP__DATAGRAM__INIT;
    uint32_t                 index;

    for (index = 0; index < MANY_LOADS; index++) {
        loads[index] = (Cwp__ServerLoad)CWP__SERVER_LOAD__INIT;
        loads[index].server = index;
        loads[index].under_way = 3;
        load_pointers[index] = &loads[index];
        paces[index] = (Cwp__ServerPace)CWP__SERVER_PACE__INIT;
        paces[index].server = index;
        paces[index].served = 3;
        pace_pointers[index] = &paces[index];
        queues[index] = (Cwp__QueueLength)CWP__QUEUE_LENGTH__INIT;
        queues[index].service = index;
        queues[index].queued = 1;
        queue_pointers[index] = &queues[index];
    }
    report.incarnation = 5;
    report.loads = load_pointers;
    report.n_loads = MANY_LOADS;
    report.paces = pace_pointers;
    report.n_paces = MANY_LOADS;
    report.queues = queue_pointers;
    report.n_queues = MANY_LOADS;
    datagram.content_case = CWP__DATAGRAM__CONTENT_REPORT;
    datagram.report = &report;
    for (index = 1; index < 4; index++) {
        report.sequence = index;
        node_fixture_receive(node, OTHER, &datagram);
        node_fixture_receive(node, "10.0.0.10", &datagram);
        node_fixture_read_servers(node, "s", index, "10.0.1.1:80");
        node_fixture_tick(node, CW_TICK_MS);
    }
    ck_assert_uint_le(node->router.queue_lengths.count, CW_QUEUE_LENGTHS_MAX);
    ck_assert_uint_gt(cw_metric_value(CW_METRIC_ENTRIES_DROPPED), 0);
    node_fixture_free(node);
}
END_TEST

START_TEST(more_than_a_thousand_nodes_are_known_and_forgotten_after_a_freeze)
{
    node_fixture_t *node = node_fixture_create();
    char            address[24];
    uint32_t        index;

    for (index = 0; index < MANY_NODES; index++) {
        snprintf(address, sizeof(address), "10.1.%u.%u", index / 250, index % 250 + 1);
        node_fixture_receive_report(node, address, index % 2 == 0 ? "z1" : "z2", 1);
    }
    node_fixture_read_servers(node, "s", 30, "10.0.1.1:80");
    for (index = 0; index < 20; index++) {
        node_fixture_tick(node, CW_TICK_MS);
        receive_slot_messages(node, "10.1.0.7");
    }
    ck_assert_uint_eq(cw_peer_link_count_alive(node->router.link, CW_SECONDS(1), cw_router_now(&node->router)),
                      MANY_NODES);
    node_fixture_lead(node);
    node_fixture_tick(node, LONG_FREEZE_MS);
    ck_assert_ptr_null(cw_peer_link_peers(node->router.link));
    receive_slot_messages(node, "10.1.0.7");
    for (index = 0; index < 20; index++) {
        node_fixture_tick(node, CW_TICK_MS);
    }
    node_fixture_free(node);
}
END_TEST

START_TEST(leader_assigns_keys_to_each_of_thousands_of_servers)
{
    node_fixture_t *node = node_fixture_create();

    node_fixture_read_servers(node, "s", MANY_SERVERS, "10.0.1.1:80");
    ck_assert(cw_router_apply_configuration(&node->router, node_fixture_configuration(1, "s"), "store"));
    node_fixture_lead(node);
    ck_assert_uint_eq(cw_assigner_ranges(node->router.assignments[0].assigner)->count, MANY_SERVERS);
    node_fixture_free(node);
}
END_TEST

START_TEST(leader_ignores_samples_of_keys_that_do_not_exist)
{
    node_fixture_t *node = node_fixture_create();
    uint32_t        sequence;

    node_fixture_read_servers(node, "s", 4, "10.0.1.1:80");
    ck_assert(cw_router_apply_configuration(&node->router, node_fixture_configuration(1, "s"), "store"));
    node_fixture_lead(node);
    ck_assert_uint_eq(cw_assigner_ranges(node->router.assignments[0].assigner)->count, 4);
    for (sequence = 1; sequence < 60; sequence++) { /* so often that one such key alone would keep a server busy */
        receive_samples(node, CW_KEY_LAST + 1, 1000, 3 * sequence);
        receive_samples(node, UINT32_MAX, 1000, 3 * sequence + 1);
        receive_samples(node, 5, 1, 3 * sequence + 2); /* valid load, too */
        node_fixture_tick(node, CW_TICK_MS);
        node_fixture_answer_store(node);
        node_fixture_answer_orders(node, CW_ORDER_DONE);
    }
    ck_assert_uint_eq(cw_assigner_ranges(node->router.assignments[0].assigner)->count, 4);
    node_fixture_free(node);
}
END_TEST

START_TEST(status_is_returned_whatever_the_name_of_another_node)
{
    node_fixture_t *node = node_fixture_create();
    char           *status;

    memset(node->router.leader.node, 0xff, 4); /* not valid UTF-8 */
    status = cw_router_status(&node->router);
    ck_assert_ptr_nonnull(status);
    free(status);
    node_fixture_free(node);
}
END_TEST

/* Limits the process to the file descriptors in use and `more` others. Returns the limit before. */
static void limit_descriptors(struct rlimit *before, rlim_t more)
{
    struct rlimit limit;
    int           next = dup(0);

    close(next);
    ck_assert_int_eq(getrlimit(RLIMIT_NOFILE, before), 0);
    limit = *before;
    limit.rlim_cur = (rlim_t)next + more;
    ck_assert_int_eq(setrlimit(RLIMIT_NOFILE, &limit), 0);
}

/* ---- the first list ---- */

static void tick_during(node_fixture_t *node, int milliseconds)
{
    int passed;

    for (passed = 0; passed < milliseconds; passed += CW_TICK_MS) {
        node_fixture_tick(node, CW_TICK_MS);
    }
}

START_TEST(a_node_that_sees_a_leader_waits_for_its_list_and_does_not_read)
{
    node_fixture_t *node = node_fixture_create();

    node_fixture_tick(node, CW_TICK_MS);
    receive_heartbeat(node, TERM, 1, 0);
    tick_during(node, 500);
    ck_assert_uint_eq(node->list_reads, 0);
    node_fixture_free(node);
}
END_TEST

START_TEST(a_list_that_does_not_arrive_is_read)
{
    node_fixture_t *node = node_fixture_create();

    node_fixture_tick(node, CW_TICK_MS);
    receive_heartbeat(node, TERM, 1, 0);
    tick_during(node, 1000);
    ck_assert_uint_eq(node->list_reads, 1);
    node_fixture_free(node);
}
END_TEST

START_TEST(a_node_that_sees_no_leader_reads_soon)
{
    node_fixture_t *node = node_fixture_create();

    tick_during(node, 200);
    ck_assert_uint_eq(node->list_reads, 1);
    node_fixture_free(node);
}
END_TEST

/* ---- lists that become old at all nodes at the same time ---- */

/* Age of the list of a node with this name when the node begins to read it again. */
static cw_time_us_t age_when_read(const char *name, bool is_leader_received)
{
    node_fixture_t *node = node_fixture_create();
    cw_router_t    *router = &node->router;
    cw_time_us_t    begun;
    uint32_t        reads;

    (void)snprintf(router->settings.node, sizeof(router->settings.node), "%s", name);
    node_fixture_read_servers(node, "s", 3, "10.0.1.1:80");
    router->loop.time += 10000; /* the node is not new any more */
    begun = cw_router_now(router);
    router->server_view.evidence.valid_at = begun;
    reads = node->list_reads;
    while (node->list_reads == reads) {
        ck_assert_int_lt(cw_router_now(router) - begun, router->settings.drain);
        router->loop.time += CW_TICK_MS;
        router->leader.heartbeat_at = is_leader_received ? cw_router_now(router) : 0;
        router->reader.is_reader = false;
        cw_router_view_tick(router, cw_router_now(router));
    }
    begun = cw_router_now(router) - begun;
    node_fixture_free(node);
    return begun;
}

START_TEST(nodes_that_receive_heartbeats_do_not_all_read_at_once)
{
    enum { NODES = 40, AT_ONCE_MAX = NODES / 4 };
    cw_time_us_t drain = CW_SECONDS(2);
    size_t       at[100] = {0};
    char         name[16];
    int          index;

    for (index = 0; index < NODES; index++) {
        cw_time_us_t age;

        (void)snprintf(name, sizeof(name), "n-%d", index);
        age = age_when_read(name, true);
        ck_assert_int_le(age, drain * 85 / 100); /* the remaining time is for the read itself */
        at[age / CW_MS(CW_TICK_MS)]++;
    }
    for (index = 0; index < 100; index++) {
        ck_assert_uint_le(at[index], AT_ONCE_MAX);
    }
}
END_TEST

START_TEST(a_node_that_receives_no_heartbeat_does_not_wait_for_one)
{
    ck_assert_int_le(age_when_read("n-1", false), CW_SECONDS(2) * 60 / 100 + CW_MS(CW_TICK_MS));
}
END_TEST

/* ---- the leader's version, but other contents ---- */
/* ---- the leader's version, but other contents ---- */

static void receive_list(node_fixture_t *node, uint64_t version)
{
    Cwp__ServersPage page = CWP__SERVERS_PAGE__INIT;

    page.term = TERM;
    page.number = version;
    page.pages = 1;
    page.revision = 1;
    receive_servers(node, &page, "i-1");
}

/* Delivers heartbeats that name the version of the list, with a hash that differs from that of the list in force. */
static void receive_heartbeats(node_fixture_t *node, uint64_t version, int milliseconds)
{
    int passed;

    for (passed = 0; passed < milliseconds; passed += 200) {
        tick_during(node, 200);
        receive_heartbeat(node, TERM, version, 0);
    }
}

START_TEST(list_that_has_long_differed_under_the_leaders_version_is_requested_again)
{
    node_fixture_t *node = node_fixture_create();

    receive_list(node, 3);
    ck_assert_uint_eq(node->router.view_list_version, 3);
    receive_heartbeats(node, 3, 9000);
    ck_assert_uint_eq(node->router.view_list_version, 3);
    receive_heartbeats(node, 3, 2000);
    ck_assert_uint_eq(node->router.view_list_version, 0);
    node_fixture_free(node);
}
END_TEST

START_TEST(list_that_keeps_differing_is_requested_rarely)
{
    node_fixture_t *node = node_fixture_create();

    receive_list(node, 3);
    receive_heartbeats(node, 3, 11000);
    ck_assert_uint_eq(node->router.view_list_version, 0);
    receive_list(node, 3);
    receive_heartbeats(node, 3, 40000);
    ck_assert_uint_eq(node->router.view_list_version, 3);
    node_fixture_free(node);
}
END_TEST

START_TEST(tables_that_have_long_differed_under_the_leaders_version_are_requested_again)
{
    node_fixture_t *node = node_fixture_create();
    int             heartbeats;

    receive_table(node, TERM, 0, 1, "s");
    ck_assert_uint_ne(node->router.view_tables_version, 0);
    for (heartbeats = 0; heartbeats < 10; heartbeats++) {
        tick_during(node, 200);
        receive_heartbeat(node, TERM, 0, 1);
    }
    ck_assert_uint_eq(node->router.view_tables_version, 0);
    node_fixture_free(node);
}
END_TEST

START_TEST(loop_is_initialised_completely_or_not_at_all)
{
    struct rlimit before;
    uv_loop_t     loop;
    rlim_t        more;

    for (more = 0; more < CW_LOOP_DESCRIPTORS; more += 3) {
        limit_descriptors(&before, more);
        ck_assert_int_eq(cw_loop_start(&loop), UV_EMFILE);
        ck_assert_int_eq(setrlimit(RLIMIT_NOFILE, &before), 0);
    }
    ck_assert_int_eq(cw_loop_start(&loop), 0);
    ck_assert_int_eq(uv_loop_close(&loop), 0);
}
END_TEST

int main(void)
{
    Suite *suite = suite_create("node start");
    TCase *cases = tcase_create("before anything is known");

    tcase_set_timeout(cases, 60);
    tcase_add_test(cases, all_kinds_of_datagrams_are_received_before_anything_is_known);
    tcase_add_test(cases, a_list_is_empty_then_huge_then_empty);
    tcase_add_test(cases, a_configuration_is_received_before_the_list_and_after_it);
    tcase_add_test(cases, pages_are_received_out_of_order_twice_and_of_several_terms);
    tcase_add_test(cases, transfers_have_the_greatest_number_of_pages_and_one_more);
    tcase_add_test(cases, report_has_more_entries_than_there_is_room_for);
    tcase_add_test(cases, more_than_a_thousand_nodes_are_known_and_forgotten_after_a_freeze);
    tcase_add_test(cases, leader_assigns_keys_to_each_of_thousands_of_servers);
    tcase_add_test(cases, leader_ignores_samples_of_keys_that_do_not_exist);
    tcase_add_test(cases, status_is_returned_whatever_the_name_of_another_node);
    tcase_add_test(cases, a_node_that_sees_a_leader_waits_for_its_list_and_does_not_read);
    tcase_add_test(cases, a_list_that_does_not_arrive_is_read);
    tcase_add_test(cases, a_node_that_sees_no_leader_reads_soon);
    tcase_add_test(cases, nodes_that_receive_heartbeats_do_not_all_read_at_once);
    tcase_add_test(cases, a_node_that_receives_no_heartbeat_does_not_wait_for_one);
    tcase_add_test(cases, list_that_has_long_differed_under_the_leaders_version_is_requested_again);
    tcase_add_test(cases, list_that_keeps_differing_is_requested_rarely);
    tcase_add_test(cases, tables_that_have_long_differed_under_the_leaders_version_are_requested_again);
    tcase_add_test(cases, loop_is_initialised_completely_or_not_at_all);
    suite_add_tcase(suite, cases);
    return cw_test_main(suite);
}
