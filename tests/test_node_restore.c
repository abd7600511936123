/**
 * @file test_node_restore.c
 * @brief Tests of a whole node when the store comes back from a copy: the leader goes on with its owners, and messages
 * of other nodes count by the epoch in them.
 */
#include "loop_fixture.h"
#include "node_fixture.h"

enum { TERM = 7, SERVERS = 4 };

#define OTHER "10.0.0.9"

static node_fixture_t *node;

static void setup(void)
{
    node = node_fixture_create();
    cw_router_on_store_epoch(&node->router, 0);
}

static void teardown(void)
{
    node_fixture_free(node);
}

/* The store comes back from a copy that has nothing of this node's, and one of the adapter's answers shows it. */
static void restore(void)
{
    node->epoch++;
    node->revision = 0;
    cw_router_on_store_epoch(&node->router, node->epoch);
}

static void lead(void)
{
    node_fixture_read_servers(node, "s", SERVERS, "10.0.1.1:80");
    ck_assert(cw_router_apply_configuration(&node->router, node_fixture_configuration(1, "s"), "store"));
    node_fixture_lead(node);
    ck_assert(cw_router_has_authority(&node->router, cw_router_now(&node->router)));
}

static void answer_calls(int turns)
{
    while (turns-- > 0) {
        node_fixture_tick(node, CW_TICK_MS);
        node_fixture_answer_store(node);
    }
}

static const cw_range_list_t *ranges(void)
{
    ck_assert_uint_eq(node->router.assignment_count, 1);
    return cw_assigner_ranges(node->router.assignments[0].assigner);
}

static void receive_page(uint64_t number, uint32_t epoch, uint64_t count, const char *id)
{
    Cwp__ServersPage page = CWP__SERVERS_PAGE__INIT;
    Cwp__ViewServer  server = CWP__VIEW_SERVER__INIT;
    Cwp__ViewServer *servers = &server;
    Cwp__Datagram    datagram = CWP__DATAGRAM__INIT;

    page.term = TERM;
    page.number = number;
    page.pages = 1;
    page.revision = count;
    page.revision_epoch = epoch;
    server.id = (char *)id;
    server.service = "s";
    server.address = "10.0.1.1:80";
    server.zone = "z1";
    server.capacity = 2;
    page.servers = &servers;
    page.n_servers = 1;
    datagram.content_case = CWP__DATAGRAM__CONTENT_SERVERS;
    datagram.servers = &page;
    node_fixture_receive(node, OTHER, &datagram);
}

static bool lists(const char *id)
{
    return node->router.server_view.list != NULL && cw_server_list_find(node->router.server_view.list, id) != NULL;
}

START_TEST(a_leader_keeps_its_owners_and_fences_in_a_new_term)
{
    uint64_t term;
    uint64_t fence;

    lead();
    term = node->router.leadership.lock.term;
    fence = ranges()->items[0].owner.fence;
    restore();
    answer_calls(6);
    ck_assert(cw_router_has_authority(&node->router, cw_router_now(&node->router)));
    ck_assert_uint_gt(node->router.leadership.lock.term, term);
    ck_assert_uint_eq(ranges()->count, SERVERS);
    ck_assert_uint_eq(ranges()->items[0].owner.fence, fence);
    ck_assert_int_eq(cw_assigner_state(node->router.assignments[0].assigner), CW_ASSIGNER_READY);
    ck_assert_uint_gt(node->router.leader_tables_version, 0); /* published in the new term */
}
END_TEST

START_TEST(answers_to_orders_sent_before_the_new_term_still_count)
{
    size_t index;

    node_fixture_read_servers(node, "s", SERVERS, "10.0.1.1:80");
    ck_assert(cw_router_apply_configuration(&node->router, node_fixture_configuration(1, "s"), "store"));
    node_fixture_lead_unanswered(node);
    ck_assert_uint_eq(node->order_count, SERVERS);
    restore();
    answer_calls(6);
    node_fixture_answer_orders(node, CW_ORDER_DONE);
    for (index = 0; index < SERVERS; index++) {
        ck_assert_int_eq(ranges()->items[index].phase, CW_RANGE_HELD);
        ck_assert_uint_eq(ranges()->items[index].orders, 0);
    }
}
END_TEST

START_TEST(a_leader_without_authority_forgets_its_owners)
{
    lead();
    node_fixture_tick(node, 4000); /* its renewals get no answer */
    restore();
    answer_calls(6);
    ck_assert(!node->router.leadership.leading);
    ck_assert_uint_eq(node->router.assignment_count, 0);
}
END_TEST

START_TEST(a_page_of_a_later_epoch_is_newer_whatever_its_count)
{
    receive_page(1, 1, 359, "i-before");
    ck_assert(lists("i-before"));
    receive_page(2, 2, 345, "i-after");
    ck_assert(lists("i-after"));
    receive_page(3, 1, 400, "i-late");
    ck_assert(!lists("i-late"));
}
END_TEST

START_TEST(a_page_of_a_release_without_epochs_is_of_the_present_one_until_a_restore_was_seen)
{
    receive_page(1, 0, 359, "i-before");
    ck_assert(lists("i-before"));
    restore();
    receive_page(2, 2, 345, "i-after");
    ck_assert(lists("i-after"));
    receive_page(3, 0, 400, "i-unknown");
    ck_assert(!lists("i-unknown"));
}
END_TEST

START_TEST(a_restore_that_a_heartbeat_shows_counts_as_seen)
{
    Cwp__LeaderHeartbeat heartbeat = CWP__LEADER_HEARTBEAT__INIT;
    Cwp__NodeReport      report = CWP__NODE_REPORT__INIT;
    Cwp__Datagram        datagram = CWP__DATAGRAM__INIT;

    heartbeat.term = TERM;
    heartbeat.revision = 40;
    heartbeat.revision_epoch = 3; /* epoch 2 */
    heartbeat.able = true;
    report.node = OTHER;
    report.zone = "z2";
    report.incarnation = 5;
    report.sequence = 1;
    report.leader = &heartbeat;
    datagram.content_case = CWP__DATAGRAM__CONTENT_REPORT;
    datagram.report = &report;
    node_fixture_receive(node, OTHER, &datagram);
    ck_assert(node->router.leadership.epochs.has_changed);
    ck_assert_uint_eq(node->router.leadership.revision, cw_store_revision_join(2, 40));
}
END_TEST

int main(void)
{
    Suite *suite = suite_create("node after a restore");
    TCase *cases = tcase_create("node after a restore");

    tcase_add_checked_fixture(cases, setup, teardown);
    tcase_add_test(cases, a_leader_keeps_its_owners_and_fences_in_a_new_term);
    tcase_add_test(cases, answers_to_orders_sent_before_the_new_term_still_count);
    tcase_add_test(cases, a_leader_without_authority_forgets_its_owners);
    tcase_add_test(cases, a_page_of_a_later_epoch_is_newer_whatever_its_count);
    tcase_add_test(cases, a_page_of_a_release_without_epochs_is_of_the_present_one_until_a_restore_was_seen);
    tcase_add_test(cases, a_restore_that_a_heartbeat_shows_counts_as_seen);
    suite_add_tcase(suite, cases);
    return cw_test_main(suite);
}
