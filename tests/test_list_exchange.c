/**
 * @file test_list_exchange.c
 * @brief Nodes of a zone that get the whole list from each other: which nodes are asked, failures, speed of spreading.
 *
 * The test simulates a zone of nodes in logical time. A request and a page take DELAY_STEPS steps each. A node sends
 * pages within its allowance, and what it sends faster than its link waits there. A node may be killed or frozen, or
 * may have another list by the time it is asked.
 */
#include <stdlib.h>
#include <string.h>

#include "loop_fixture.h"
#include "router/list_exchange.h"

enum {
    NODES_MAX = 50,
    PAGES = 48,        /* of a list of 3,000 servers, 64 to a page */
    PAGE_BYTES = 5120, /* 80 bytes per server */
    STEP_MS = 10,
    REPORT_MS = 800, /* interval between reports of a node in a zone of fifty (CW_LARGE_FLEET_DATAGRAMS_PER_SECOND) */
    HEARTBEAT_MS = 300,
    DELAY_STEPS = 1,
    EVENTS_MAX = 4096
};

static const cw_list_id_t newest = {.term = 5, .version = 40};
static const double       third_of_10_mbps = 10e6 / 8 / 3;

typedef struct zone_node {
    cw_list_exchange_t *exchange;
    cw_list_id_t        has;
    bool                received[PAGES];
    bool                is_dead;
    bool                is_frozen;
    uint32_t            requests_received; /**< requests received */
    size_t              bytes;             /**< bytes sent */
    uint32_t            pages_received;
    cw_time_us_t        link_free_at;
} zone_node_t;

typedef enum event_kind { EVENT_REQUEST, EVENT_PAGE, EVENT_REDIRECT } event_kind_t;

/** A datagram in transit. */
typedef struct wire_event {
    cw_time_us_t     at;
    event_kind_t     kind;
    uint32_t         from;
    uint32_t         to;
    cw_list_window_t window; /**< of a page: `first` is its number */
    uint32_t         other_holder;
} wire_event_t;

static zone_node_t  nodes[NODES_MAX];
static uint32_t     node_count;
static wire_event_t events[EVENTS_MAX];
static size_t       event_count;
static cw_time_us_t now;
static bool         is_leader_cut_off;
static uint32_t     requests_sent;

static uint32_t address_of(const zone_node_t *node)
{
    return (uint32_t)(node - nodes) + 1;
}

static zone_node_t *node_at(uint32_t address)
{
    ck_assert_uint_ge(address, 1);
    ck_assert_uint_le(address, node_count);
    return &nodes[address - 1];
}

static void put_event(wire_event_t event)
{
    ck_assert_uint_lt(event_count, EVENTS_MAX);
    events[event_count++] = event;
}

static void on_request(void *context, uint32_t address, const cw_list_window_t *window)
{
    requests_sent++;
    put_event((wire_event_t){.at = now + CW_MS(STEP_MS * DELAY_STEPS),
                             .kind = EVENT_REQUEST,
                             .from = address_of(context),
                             .to = address,
                             .window = *window});
}

static size_t on_send_pages(void *context, uint32_t address, const cw_list_window_t *window, bool *is_last)
{
    zone_node_t *node = context;
    uint32_t     page;
    size_t       bytes = 0;

    if (node->has.term != window->of.term || node->has.version != window->of.version) {
        return 0;
    }
    for (page = window->first; page < PAGES && page < window->first + window->count; page++) {
        cw_time_us_t start_at = node->link_free_at > now ? node->link_free_at : now;

        node->link_free_at = start_at + (cw_time_us_t)(PAGE_BYTES / (third_of_10_mbps * 3) * 1e6);
        bytes += PAGE_BYTES;
        put_event((wire_event_t){.at = node->link_free_at + CW_MS(STEP_MS * DELAY_STEPS),
                                 .kind = EVENT_PAGE,
                                 .from = address_of(node),
                                 .to = address,
                                 .window = {.of = window->of, .first = page, .count = 1}});
    }
    *is_last = page == PAGES;
    node->bytes += bytes;
    return bytes;
}

static void on_redirect(void *context, uint32_t address, cw_list_id_t of, uint32_t other_holder)
{
    put_event((wire_event_t){.at = now + CW_MS(STEP_MS * DELAY_STEPS),
                             .kind = EVENT_REDIRECT,
                             .from = address_of(context),
                             .to = address,
                             .window = {.of = of},
                             .other_holder = other_holder});
}

static void set_up_zone(uint32_t count, double bytes_per_s)
{
    uint32_t index;

    for (index = 0; index < NODES_MAX; index++) {
        cw_list_exchange_destroy(nodes[index].exchange);
    }
    memset(nodes, 0, sizeof(nodes));
    node_count = count;
    event_count = 0;
    requests_sent = 0;
    is_leader_cut_off = false;
    now = CW_SECONDS(1000);
    for (index = 0; index < count; index++) {
        cw_list_exchange_owner_t owner = {.context = &nodes[index],
                                          .request = on_request,
                                          .send_pages = on_send_pages,
                                          .redirect = on_redirect,
                                          .bytes_per_s = bytes_per_s,
                                          .own_address = index + 1};

        nodes[index].exchange = cw_list_exchange_create(&owner);
    }
}

static uint32_t first_missing(const zone_node_t *node)
{
    uint32_t page;

    for (page = 0; page < PAGES && node->received[page]; page++) {
    }
    return page;
}

static void receive_page(zone_node_t *node, const wire_event_t *event)
{
    uint32_t missing;

    node->pages_received++;
    node->received[event->window.first] = true;
    missing = first_missing(node);
    if (missing == PAGES) {
        node->has = event->window.of;
    }
    cw_list_exchange_page_received(node->exchange, event->window.of, missing, PAGES, now);
}

static void deliver(const wire_event_t *event)
{
    zone_node_t *node = node_at(event->to);

    if (node->is_dead) {
        return;
    }
    switch (event->kind) {
    case EVENT_REQUEST:
        node->requests_received++;
        cw_list_exchange_handle_request(node->exchange, event->from, &event->window, now);
        break;
    case EVENT_PAGE:
        receive_page(node, event);
        break;
    case EVENT_REDIRECT:
        cw_list_exchange_redirected(node->exchange, event->window.of, event->other_holder, now);
        break;
    }
}

/* Delivers the datagrams that have arrived. Datagrams to frozen nodes are kept until these run again. */
static void deliver_due(void)
{
    size_t kept = 0;
    size_t index;
    size_t due_count = 0;

    static wire_event_t due[EVENTS_MAX];

    for (index = 0; index < event_count; index++) {
        if (events[index].at <= now && !node_at(events[index].to)->is_frozen) {
            due[due_count++] = events[index];
        } else {
            events[kept++] = events[index];
        }
    }
    event_count = kept;
    for (index = 0; index < due_count; index++) {
        deliver(&due[index]);
    }
}

static void report(const zone_node_t *node)
{
    uint32_t index;

    for (index = 0; index < node_count; index++) {
        if (&nodes[index] != node && !nodes[index].is_dead && !nodes[index].is_frozen) {
            cw_list_exchange_record_holder(nodes[index].exchange, address_of(node), node->has, now);
        }
    }
}

static void run(int milliseconds)
{
    uint32_t index;

    for (; milliseconds > 0; milliseconds -= STEP_MS) {
        now += CW_MS(STEP_MS);
        deliver_due();
        for (index = 0; index < node_count; index++) {
            zone_node_t *node = &nodes[index];
            int64_t      step = now / CW_MS(STEP_MS) + index;

            if (node->is_dead || node->is_frozen) {
                continue;
            }
            if (step % (REPORT_MS / STEP_MS) == 0) {
                report(node);
            }
            if (step % (HEARTBEAT_MS / STEP_MS) == 0 && !is_leader_cut_off) {
                cw_list_exchange_set_wanted(node->exchange, newest, node->has, now);
            }
            cw_list_exchange_tick(node->exchange, now);
        }
    }
}

static void give_list(zone_node_t *node)
{
    memset(node->received, true, sizeof(node->received));
    node->has = newest;
}

static bool has_newest(const zone_node_t *node)
{
    return node->has.term == newest.term && node->has.version == newest.version;
}

static uint32_t count_with_list(void)
{
    uint32_t count = 0;
    uint32_t index;

    for (index = 0; index < node_count; index++) {
        count += has_newest(&nodes[index]) ? 1 : 0;
    }
    return count;
}

static uint32_t requests_of_all(void)
{
    uint32_t count = 0;
    uint32_t index;

    for (index = 0; index < node_count; index++) {
        count += nodes[index].requests_received;
    }
    return count;
}

/* ---- requests of one node ---- */

START_TEST(a_node_without_a_list_receives_it_from_a_node_of_its_zone)
{
    set_up_zone(2, 0);
    give_list(&nodes[0]);
    run(2000);
    ck_assert(has_newest(&nodes[1]));
    ck_assert_uint_eq(nodes[1].pages_received, PAGES);
    ck_assert_uint_eq(nodes[0].requests_received, PAGES / CW_LIST_WINDOW_PAGES);
}
END_TEST

START_TEST(a_node_with_a_list_of_the_term_waits_for_its_changes)
{
    set_up_zone(2, 0);
    give_list(&nodes[0]);
    nodes[1].has = (cw_list_id_t){.term = newest.term, .version = newest.version - 3};
    run(2000);
    ck_assert_uint_eq(nodes[0].requests_received, 0);
}
END_TEST

/* The third of three nodes lacks the list. In the tests below the node that it asks fails before the second window. */
static void set_up_two_holders(void)
{
    set_up_zone(3, 0);
    give_list(&nodes[0]);
    give_list(&nodes[1]);
}

/* Runs until some pages have been received from one of the two nodes that have the list, and returns that node. */
static zone_node_t *run_into_transfer(void)
{
    int steps;

    for (steps = 0; steps < 200 && nodes[2].pages_received < 4; steps++) {
        run(STEP_MS);
    }
    ck_assert_uint_ge(nodes[2].pages_received, 4);
    ck_assert(!has_newest(&nodes[2]));
    return nodes[0].bytes > 0 ? &nodes[0] : &nodes[1];
}

START_TEST(missing_pages_are_requested_from_the_next_node_when_one_is_killed)
{
    zone_node_t *asked;
    size_t       index;

    set_up_two_holders();
    asked = run_into_transfer();
    asked->is_dead = true;
    for (index = 0; index < event_count; index++) { /* datagrams that its link had not sent yet are lost */
        events[index].to = events[index].from == address_of(asked) ? address_of(asked) : events[index].to;
    }
    run(2000);
    ck_assert(has_newest(&nodes[2]));
    ck_assert_uint_eq(nodes[2].pages_received, PAGES);
}
END_TEST

START_TEST(the_next_node_replaces_a_frozen_one_whose_late_pages_do_no_harm)
{
    zone_node_t *asked;

    set_up_two_holders();
    asked = run_into_transfer();
    asked->is_frozen = true;
    run(2000);
    ck_assert(has_newest(&nodes[2]));
    asked->is_frozen = false;
    run(2000);
    ck_assert(has_newest(&nodes[2]));
    ck_assert_uint_le(nodes[2].pages_received, PAGES + CW_LIST_WINDOW_PAGES);
}
END_TEST

START_TEST(the_next_node_replaces_one_that_has_another_list_meanwhile)
{
    zone_node_t *asked;

    set_up_two_holders();
    asked = run_into_transfer();
    asked->has.version = newest.version - 1; /* it has started over with an earlier list */
    run(2000);
    ck_assert(has_newest(&nodes[2]));
}
END_TEST

START_TEST(nothing_is_requested_while_no_node_of_the_zone_has_the_list)
{
    set_up_zone(NODES_MAX, third_of_10_mbps);
    run(5000);
    ck_assert_uint_eq(requests_of_all(), 0);
}
END_TEST

START_TEST(nodes_cut_off_from_the_leader_request_nothing)
{
    set_up_zone(2, 0);
    run(1000);
    is_leader_cut_off = true;
    run(2000);
    give_list(&nodes[0]);
    run(5000);
    ck_assert_uint_eq(nodes[0].requests_received, 0);
}
END_TEST

START_TEST(a_node_without_replies_sends_requests_rarely)
{
    set_up_zone(3, 0);
    give_list(&nodes[0]);
    give_list(&nodes[1]);
    run(REPORT_MS);
    nodes[0].is_dead = true;
    nodes[1].is_dead = true;
    run(10000);
    ck_assert_uint_ge(requests_sent, 2);
    ck_assert_uint_le(requests_sent, 10); /* would be 33 without the slow retry */
}
END_TEST

START_TEST(a_late_page_of_an_earlier_term_changes_nothing)
{
    cw_list_id_t earlier = {.term = newest.term - 1, .version = newest.version + 9};

    set_up_two_holders();
    (void)run_into_transfer();
    cw_list_exchange_page_received(nodes[2].exchange, earlier, PAGES, PAGES, now);
    run(2000);
    ck_assert(has_newest(&nodes[2]));
    ck_assert_uint_eq(nodes[2].pages_received, PAGES);
}
END_TEST

START_TEST(a_heartbeat_of_an_earlier_term_is_ignored)
{
    cw_list_id_t earlier = {.term = newest.term - 1, .version = newest.version + 9};

    set_up_two_holders();
    (void)run_into_transfer();
    cw_list_exchange_set_wanted(nodes[2].exchange, earlier, (cw_list_id_t){0}, now);
    run(2000);
    ck_assert(has_newest(&nodes[2]));
    ck_assert_uint_eq(nodes[2].pages_received, PAGES);
}
END_TEST

START_TEST(a_transfer_continues_while_a_newer_list_is_named)
{
    cw_list_id_t newer = {.term = newest.term, .version = newest.version + 1};

    set_up_two_holders();
    (void)run_into_transfer();
    cw_list_exchange_set_wanted(nodes[2].exchange, newer, nodes[2].has, now);
    is_leader_cut_off = true; /* no further heartbeat arrives */
    run(900);
    ck_assert(has_newest(&nodes[2]));
    ck_assert_uint_eq(nodes[2].pages_received, PAGES);
}
END_TEST

START_TEST(a_list_that_was_received_whole_and_rejected_is_not_requested_again)
{
    uint32_t requests_received;

    set_up_zone(2, 0);
    give_list(&nodes[0]);
    run(2000);
    requests_received = nodes[0].requests_received;
    nodes[1].has = (cw_list_id_t){0}; /* it rejected the list, since it had read a later one */
    run(5000);
    ck_assert_uint_eq(nodes[0].requests_received, requests_received);
}
END_TEST

/* ---- a whole zone ---- */

START_TEST(the_list_reaches_all_nodes_of_a_zone_of_fifty_in_six_seconds)
{
    set_up_zone(NODES_MAX, third_of_10_mbps);
    give_list(&nodes[7]);
    give_list(&nodes[8]); /* the two relays have the list first */
    run(6000);
    ck_assert_uint_eq(count_with_list(), NODES_MAX);
}
END_TEST

START_TEST(a_node_sends_no_more_than_its_allowance)
{
    const int        seconds = 3;
    cw_list_window_t window = {.of = newest, .first = 0, .count = CW_LIST_WINDOW_PAGES};
    double           window_bytes = (double)CW_LIST_WINDOW_PAGES * PAGE_BYTES;
    int              steps;

    set_up_zone(2, third_of_10_mbps);
    give_list(&nodes[0]);
    give_list(&nodes[1]); /* so that it sends no requests of its own */
    for (steps = 0; steps < seconds * 1000 / STEP_MS; steps++) {
        cw_list_exchange_handle_request(nodes[0].exchange, address_of(&nodes[1]), &window, now);
        run(STEP_MS);
    }
    ck_assert_uint_le(nodes[0].bytes, (size_t)(third_of_10_mbps * (seconds + 0.2) + window_bytes));
    ck_assert_uint_ge(nodes[0].bytes, (size_t)(third_of_10_mbps * seconds - 2 * window_bytes));
}
END_TEST

int main(void)
{
    Suite *suite = suite_create("list_exchange");
    TCase *cases = tcase_create("list_exchange");

    tcase_add_test(cases, a_node_without_a_list_receives_it_from_a_node_of_its_zone);
    tcase_add_test(cases, a_node_with_a_list_of_the_term_waits_for_its_changes);
    tcase_add_test(cases, missing_pages_are_requested_from_the_next_node_when_one_is_killed);
    tcase_add_test(cases, the_next_node_replaces_a_frozen_one_whose_late_pages_do_no_harm);
    tcase_add_test(cases, the_next_node_replaces_one_that_has_another_list_meanwhile);
    tcase_add_test(cases, nothing_is_requested_while_no_node_of_the_zone_has_the_list);
    tcase_add_test(cases, nodes_cut_off_from_the_leader_request_nothing);
    tcase_add_test(cases, a_node_without_replies_sends_requests_rarely);
    tcase_add_test(cases, a_late_page_of_an_earlier_term_changes_nothing);
    tcase_add_test(cases, a_heartbeat_of_an_earlier_term_is_ignored);
    tcase_add_test(cases, a_transfer_continues_while_a_newer_list_is_named);
    tcase_add_test(cases, a_list_that_was_received_whole_and_rejected_is_not_requested_again);
    tcase_add_test(cases, the_list_reaches_all_nodes_of_a_zone_of_fifty_in_six_seconds);
    tcase_add_test(cases, a_node_sends_no_more_than_its_allowance);
    suite_add_tcase(suite, cases);
    return cw_test_main(suite);
}
