/**
 * @file test_configuration_exchange.c
 * @brief Nodes that get the configuration from each other: changes, losses, too large versions, readers of the store.
 *
 * Two exchanges are connected by a simulated wire that packs and counts datagrams, and drops them where a test
 * requires.
 */
#include <stdio.h>
#include <string.h>

#include "loop_fixture.h"
#include "router/configuration_exchange.h"
#include "router/store_reader.h"

enum { ASKING, ANSWERING, NODES, TEXT_MAX = 64 };

/** One node of the simulation. */
typedef struct node {
    cw_configuration_exchange_t *exchange;
    cw_configuration_t          *in_force; /**< NULL: none */
    uint32_t                     too_large;
} node_t;

static node_t       nodes[NODES];
static node_t      *extra_nodes; /* further nodes, at the addresses after `nodes` */
static uint32_t     extra_count;
static uint32_t     sent;        /* datagrams sent */
static uint32_t     routes_sent; /* routes in the pages sent */
static uint32_t     drop_next;   /* number of next datagrams to drop */
static uint32_t     drop_every;  /* every so many-th datagram is dropped; 0: none */
static cw_time_us_t wire_now;
static uint32_t     last_receiver; /* address that the last datagram was sent to */

static node_t *node_at(uint32_t address)
{
    return address <= NODES ? &nodes[address - 1] : &extra_nodes[address - NODES - 1];
}

static uint32_t address_of(const node_t *node)
{
    bool is_extra = extra_count > 0 && node >= extra_nodes && node < extra_nodes + extra_count;

    return is_extra ? (uint32_t)(node - extra_nodes) + NODES + 1 : (uint32_t)(node - nodes) + 1;
}

static void deliver(node_t *from, node_t *to, const Cwp__Datagram *datagram)
{
    uint32_t from_address = address_of(from);

    if (datagram->content_case == CWP__DATAGRAM__CONTENT_CONFIGURATION) {
        routes_sent += (uint32_t)datagram->configuration->n_routes;
        cw_configuration_exchange_handle_page(to->exchange, from_address, datagram->configuration, wire_now);
    } else {
        cw_configuration_exchange_handle_request(to->exchange, from_address, datagram->configuration_request, wire_now);
    }
}

static void on_send(void *context, uint32_t address, const Cwp__Datagram *datagram)
{
    static uint8_t packed[64 * 1024];
    size_t         length = cwp__datagram__get_packed_size(datagram);
    Cwp__Datagram *copy;

    sent++;
    last_receiver = address;
    if (drop_next > 0) {
        drop_next--;
        return;
    }
    if (drop_every != 0 && sent % drop_every == 0) {
        return;
    }
    if (address > NODES + extra_count) {
        return;
    }
    ck_assert_uint_lt(length, sizeof(packed));
    cwp__datagram__pack(datagram, packed);
    copy = cwp__datagram__unpack(NULL, length, packed);
    ck_assert_ptr_nonnull(copy);
    deliver(context, node_at(address), copy);
    cwp__datagram__free_unpacked(copy, NULL);
}

static void use(node_t *node, cw_configuration_t *configuration)
{
    cw_configuration_release(node->in_force);
    node->in_force = configuration;
    cw_configuration_exchange_set(node->exchange, configuration);
}

static void on_received(void *context, cw_configuration_t *configuration)
{
    use(context, configuration);
}

static void on_too_large(void *context)
{
    ((node_t *)context)->too_large++;
}

static void set_up_with_allowance(double bytes_per_s)
{
    size_t index;

    memset(nodes, 0, sizeof(nodes));
    sent = 0;
    routes_sent = 0;
    drop_next = 0;
    drop_every = 0;
    wire_now = 0;
    for (index = 0; index < NODES; index++) {
        cw_configuration_exchange_owner_t owner = {&nodes[index], on_send, on_received, on_too_large, bytes_per_s};

        nodes[index].exchange = cw_configuration_exchange_create(&owner);
    }
}

static void set_up(void)
{
    set_up_with_allowance(0); /* unlimited */
}

/* Replaces the answering node by one that has sent nothing and keeps no versions. */
static void set_up_answering_again(void)
{
    cw_configuration_exchange_owner_t owner = {&nodes[ANSWERING], on_send, on_received, on_too_large, 0};

    nodes[ANSWERING].exchange = cw_configuration_exchange_create(&owner);
}

/* Routes /0/ to /count-1/ without `left_out`; the route `changed` is bound to another service. */
static cw_configuration_t *configuration_of(uint64_t version, int count, int left_out, int changed)
{
    cw_configuration_t *configuration = cw_configuration_create(version);
    cw_service_t       *service = cw_configuration_add_service(configuration);
    int                 index;

    service->name = strdup("maps");
    service->keyed = true;
    service->warm_time = CW_SECONDS(5);
    configuration->limits.body_bytes = 4096;
    for (index = 0; index < count; index++) {
        char        text[TEXT_MAX];
        cw_route_t *route;

        if (index == left_out) {
            continue;
        }
        route = cw_configuration_add_route(configuration);
        snprintf(text, sizeof(text), "r%d", index);
        route->name = strdup(text);
        snprintf(text, sizeof(text), "/%d/", index);
        route->prefix = strdup(text);
        route->host = strdup(index % 2 == 0 ? "even.example" : "odd.example");
        route->timeout = CW_MS(1500);
        route->max_attempts = 2;
        route->repeatable = index % 3 == 0;
        cw_route_add_part(route, index == changed ? "refunds" : "maps", 1);
        cw_route_add_part(route, "hires", 0.5);
    }
    cw_configuration_seal(configuration);
    return configuration;
}

static void assert_same(const cw_configuration_t *left, const cw_configuration_t *right)
{
    size_t index;

    ck_assert_ptr_nonnull(left);
    ck_assert_uint_eq(left->version, right->version);
    ck_assert_uint_eq(left->route_count, right->route_count);
    for (index = 0; index < left->route_count; index++) {
        ck_assert(cw_route_same(&left->routes[index], &right->routes[index]));
    }
    ck_assert_uint_eq(left->service_count, right->service_count);
    ck_assert_str_eq(left->services[0].name, right->services[0].name);
    ck_assert(left->services[0].keyed);
    ck_assert_int_eq(left->services[0].warm_time, right->services[0].warm_time);
    ck_assert_uint_eq(left->limits.body_bytes, right->limits.body_bytes);
}

static void record_answering_node(uint64_t version, bool is_same_zone, cw_time_us_t now)
{
    cw_configuration_exchange_record_holder(nodes[ASKING].exchange, ANSWERING + 1, version, is_same_zone, now);
}

START_TEST(a_node_without_a_configuration_receives_the_whole_configuration)
{
    set_up();
    use(&nodes[ANSWERING], configuration_of(7, 100, -1, -1));
    record_answering_node(7, true, 0);
    assert_same(nodes[ASKING].in_force, nodes[ANSWERING].in_force);
    ck_assert_uint_eq(routes_sent, 100);
}
END_TEST

START_TEST(only_what_changed_is_sent_to_a_node_with_an_earlier_version)
{
    set_up();
    use(&nodes[ASKING], configuration_of(7, 1000, -1, -1));
    use(&nodes[ANSWERING], configuration_of(7, 1000, -1, -1));
    use(&nodes[ANSWERING], configuration_of(9, 1001, 500, 3)); /* one added, one removed, one changed */
    record_answering_node(9, true, 0);
    assert_same(nodes[ASKING].in_force, nodes[ANSWERING].in_force);
    ck_assert_uint_eq(routes_sent, 2);
}
END_TEST

START_TEST(a_change_too_large_for_datagrams_is_left_to_the_store)
{
    set_up();
    use(&nodes[ANSWERING], configuration_of(7, CW_CONFIGURATION_PAGES_MAX * CW_CONFIGURATION_PAGE_ITEMS + 1, -1, -1));
    record_answering_node(7, true, 0);
    ck_assert_ptr_null(nodes[ASKING].in_force);
    ck_assert_uint_eq(nodes[ASKING].too_large, 1);
    ck_assert_uint_eq(sent, 2);
}
END_TEST

/* Advances the time until the asking node has the version, at most by `limit`. */
static void run_until(uint64_t version, cw_time_us_t limit)
{
    cw_time_us_t end = wire_now + limit;

    while (wire_now < end && (nodes[ASKING].in_force == NULL || nodes[ASKING].in_force->version < version)) {
        wire_now += CW_MS(20);
        cw_configuration_exchange_tick(nodes[ASKING].exchange, wire_now);
    }
}

START_TEST(a_large_change_comes_from_another_node_and_not_from_the_store)
{
    set_up();
    use(&nodes[ASKING], configuration_of(7, 1400, -1, -1));
    use(&nodes[ANSWERING], configuration_of(7, 1400, -1, -1));
    use(&nodes[ANSWERING], configuration_of(9, 2800, 3, -1));
    record_answering_node(9, true, 0);
    run_until(9, CW_SECONDS(1));
    assert_same(nodes[ASKING].in_force, nodes[ANSWERING].in_force);
    ck_assert_uint_eq(nodes[ASKING].too_large, 0);
    ck_assert_uint_eq(routes_sent, 1400);
}
END_TEST

START_TEST(many_removed_routes_fit_into_datagrams)
{
    set_up();
    use(&nodes[ASKING], configuration_of(7, 2800, -1, -1));
    use(&nodes[ANSWERING], configuration_of(7, 2800, -1, -1));
    use(&nodes[ANSWERING], configuration_of(9, 10, -1, -1));
    record_answering_node(9, true, 0);
    run_until(9, CW_SECONDS(1));
    assert_same(nodes[ASKING].in_force, nodes[ANSWERING].in_force);
    ck_assert_uint_eq(routes_sent, 0);
}
END_TEST

START_TEST(a_large_change_arrives_despite_losses)
{
    set_up();
    use(&nodes[ANSWERING], configuration_of(7, 2000, -1, -1));
    drop_every = 7;
    record_answering_node(7, true, 0);
    run_until(7, CW_SECONDS(5));
    assert_same(nodes[ASKING].in_force, nodes[ANSWERING].in_force);
    ck_assert_uint_lt(routes_sent, 3 * 2000);
}
END_TEST

START_TEST(a_large_transfer_is_not_restarted_when_newer_versions_appear)
{
    uint64_t version;

    set_up();
    use(&nodes[ANSWERING], configuration_of(7, 2000, -1, -1));
    drop_every = 7;
    record_answering_node(7, true, 0);
    for (version = 8; version < 14; version++) { /* the answering node keeps eight versions */
        run_until(version, CW_MS(60));
        use(&nodes[ANSWERING], configuration_of(version, 2000, -1, (int)version));
        record_answering_node(version, true, wire_now);
    }
    run_until(13, CW_SECONDS(5));
    assert_same(nodes[ASKING].in_force, nodes[ANSWERING].in_force);
    ck_assert_uint_lt(routes_sent, 3 * 2000);
}
END_TEST

/* Guards against: while versions follow one another, a transfer begins anew each time the sending node drops the
 * version that it sends, and so never ends. */
START_TEST(a_transfer_ends_while_versions_follow_25_times_a_second)
{
    enum { VERSIONS_MS = 40, STORM_MS = 2000 };
    uint64_t     version = 7;
    cw_time_us_t next = 0;

    set_up_with_allowance(200000); /* the transfer takes about half a second */
    use(&nodes[ANSWERING], configuration_of(version, 2000, -1, -1));
    record_answering_node(version, true, 0);
    while (wire_now < CW_MS(STORM_MS) && nodes[ASKING].in_force == NULL) {
        run_until(version + 1, CW_MS(20));
        if (wire_now >= next) {
            version++;
            next = wire_now + CW_MS(VERSIONS_MS);
            use(&nodes[ANSWERING], configuration_of(version, 2000, -1, (int)version));
            record_answering_node(version, true, wire_now);
        }
    }
    ck_assert_ptr_nonnull(nodes[ASKING].in_force);
    ck_assert_uint_lt(routes_sent, 2 * 2000);
}
END_TEST

/* Guards against: each newer version that a node of another zone announces begins the wait for a node of the own zone
 * anew, so nothing is requested until the versions end. */
START_TEST(a_request_is_not_put_off_by_newer_versions)
{
    uint64_t version;

    set_up();
    use(&nodes[ASKING], configuration_of(1, 10, -1, -1));
    use(&nodes[ANSWERING], configuration_of(50, 10, -1, 3));
    for (version = 2; version < 12; version++) { /* one each 40 ms */
        record_answering_node(version, false, wire_now);
        run_until(50, CW_MS(40));
    }
    ck_assert_uint_eq(nodes[ASKING].in_force->version, 50);
}
END_TEST

/* Guards against: a node asks for the missing page of a whole configuration, and the node that it asks now sends only
 * the changes, which are fewer pages: nothing was sent, again and again. */
START_TEST(a_node_that_sends_other_pages_of_the_version_begins_with_the_first)
{
    set_up();
    use(&nodes[ASKING], configuration_of(1, 100, -1, -1));
    use(&nodes[ANSWERING], configuration_of(9, 100, -1, 3)); /* it does not keep version 1: three pages */
    drop_every = 4;                                          /* the request, two pages; the third is lost */
    record_answering_node(9, true, wire_now);
    ck_assert_uint_eq(nodes[ASKING].in_force->version, 1);
    drop_every = 0;
    cw_configuration_release(nodes[ANSWERING].in_force);
    nodes[ANSWERING].in_force = NULL;
    set_up_answering_again();
    use(&nodes[ANSWERING], configuration_of(1, 100, -1, -1));
    use(&nodes[ANSWERING], configuration_of(9, 100, -1, 3)); /* one page since version 1 */
    run_until(9, CW_SECONDS(1));
    ck_assert_uint_eq(nodes[ASKING].in_force->version, 9);
}
END_TEST

START_TEST(a_node_sends_no_more_than_its_allowance)
{
    set_up_with_allowance(20000); /* a route takes about 60 bytes */
    use(&nodes[ANSWERING], configuration_of(7, 5000, -1, -1));
    record_answering_node(7, true, 0);
    run_until(7, CW_SECONDS(2));
    ck_assert_ptr_null(nodes[ASKING].in_force);
    ck_assert_uint_gt(routes_sent, 300);
    ck_assert_uint_lt(routes_sent, 2000);
    run_until(7, CW_SECONDS(60));
    assert_same(nodes[ASKING].in_force, nodes[ANSWERING].in_force);
}
END_TEST

/* Fifty nodes ask one node whose allowance suffices for two transfers per second. */
START_TEST(a_node_beyond_its_allowance_redirects_to_one_that_has_the_version)
{
    enum { MANY = 50 };
    static node_t       others[MANY];
    cw_configuration_t *whole;
    size_t              holder_count = 0;
    size_t              index;

    set_up_with_allowance(200000);
    extra_nodes = others;
    extra_count = MANY;
    whole = configuration_of(7, 1400, -1, -1); /* about 84 KB */
    use(&nodes[ANSWERING], whole);
    for (index = 0; index < MANY; index++) {
        cw_configuration_exchange_owner_t owner = {&others[index], on_send, on_received, on_too_large, 200000};

        others[index].exchange = cw_configuration_exchange_create(&owner);
        cw_configuration_exchange_record_holder(others[index].exchange, ANSWERING + 1, 7, true, wire_now);
    }
    while (wire_now < CW_SECONDS(12) && holder_count < MANY) {
        wire_now += CW_MS(20);
        holder_count = 0;
        for (index = 0; index < MANY; index++) {
            cw_configuration_exchange_tick(others[index].exchange, wire_now);
            holder_count += others[index].in_force != NULL ? 1 : 0;
        }
    }
    extra_count = 0;
    ck_assert_uint_eq(holder_count, MANY); /* that node alone would need twice the time */
}
END_TEST

START_TEST(a_lost_request_is_repeated)
{
    cw_time_us_t now = 0;
    int          tries;

    set_up();
    use(&nodes[ANSWERING], configuration_of(7, 100, -1, -1));
    drop_next = 1;
    record_answering_node(7, true, now);
    ck_assert_ptr_null(nodes[ASKING].in_force);
    for (tries = 0; tries < 3 && nodes[ASKING].in_force == NULL; tries++) {
        now += CW_MS(200);
        cw_configuration_exchange_tick(nodes[ASKING].exchange, now);
    }
    assert_same(nodes[ASKING].in_force, nodes[ANSWERING].in_force);
}
END_TEST

START_TEST(a_node_of_the_same_zone_is_asked_first)
{
    set_up();
    use(&nodes[ANSWERING], configuration_of(7, 10, -1, -1));
    cw_configuration_exchange_record_holder(nodes[ASKING].exchange, 99, 7, false, 0);
    ck_assert_uint_eq(sent, 0); /* a node of the same zone may still be found */
    record_answering_node(7, true, CW_MS(10));
    ck_assert_uint_eq(sent, 2);
    assert_same(nodes[ASKING].in_force, nodes[ANSWERING].in_force);
}
END_TEST

START_TEST(a_node_that_does_not_reply_is_replaced_by_the_next_holder)
{
    set_up();
    use(&nodes[ANSWERING], configuration_of(7, 10, -1, -1));
    cw_configuration_exchange_record_holder(nodes[ASKING].exchange, 99, 7, true, 0); /* no node has this address */
    ck_assert_uint_eq(last_receiver, 99);
    record_answering_node(7, false, CW_MS(50));
    cw_configuration_exchange_tick(nodes[ASKING].exchange, CW_MS(200));
    assert_same(nodes[ASKING].in_force, nodes[ANSWERING].in_force);
}
END_TEST

START_TEST(an_older_version_is_neither_requested_nor_sent)
{
    Cwp__ConfigurationRequest request = CWP__CONFIGURATION_REQUEST__INIT;

    set_up();
    use(&nodes[ASKING], configuration_of(9, 10, -1, -1));
    use(&nodes[ANSWERING], configuration_of(7, 10, -1, -1));
    record_answering_node(7, true, 0);
    ck_assert_uint_eq(sent, 0);
    request.has = 9;
    cw_configuration_exchange_handle_request(nodes[ANSWERING].exchange, ASKING + 1, &request, 0);
    ck_assert_uint_eq(sent, 0);
    ck_assert_uint_eq(nodes[ASKING].in_force->version, 9);
}
END_TEST

START_TEST(pages_over_another_base_are_ignored)
{
    Cwp__ConfigurationPage page = CWP__CONFIGURATION_PAGE__INIT;

    set_up();
    use(&nodes[ASKING], configuration_of(7, 10, -1, -1));
    page.version = 9;
    page.since = 8;
    page.pages = 1;
    cw_configuration_exchange_handle_page(nodes[ASKING].exchange, ANSWERING + 1, &page, 0);
    ck_assert_uint_eq(nodes[ASKING].in_force->version, 7);
}
END_TEST

START_TEST(the_most_capable_nodes_read_the_store)
{
    cw_store_reader_candidate_t small = {.address = 1, .capability = 100};
    cw_store_reader_candidate_t large = {.address = 2, .capability = 500};
    cw_store_reader_candidate_t equal = {.address = 3, .capability = 500};

    ck_assert(cw_store_reader_precedes(&large, &small));
    ck_assert(!cw_store_reader_precedes(&small, &large));
    ck_assert(cw_store_reader_precedes(&large, &equal));
    ck_assert(!cw_store_reader_precedes(&equal, &large));
    ck_assert_uint_eq(cw_store_reader_count(4), 1);
    ck_assert_uint_eq(cw_store_reader_count(50), 2);
}
END_TEST

int main(void)
{
    Suite *suite = suite_create("configuration_exchange");
    TCase *cases = tcase_create("configuration_exchange");

    tcase_add_test(cases, a_node_without_a_configuration_receives_the_whole_configuration);
    tcase_add_test(cases, only_what_changed_is_sent_to_a_node_with_an_earlier_version);
    tcase_add_test(cases, a_change_too_large_for_datagrams_is_left_to_the_store);
    tcase_add_test(cases, a_large_change_comes_from_another_node_and_not_from_the_store);
    tcase_add_test(cases, many_removed_routes_fit_into_datagrams);
    tcase_add_test(cases, a_large_change_arrives_despite_losses);
    tcase_add_test(cases, a_large_transfer_is_not_restarted_when_newer_versions_appear);
    tcase_add_test(cases, a_transfer_ends_while_versions_follow_25_times_a_second);
    tcase_add_test(cases, a_request_is_not_put_off_by_newer_versions);
    tcase_add_test(cases, a_node_that_sends_other_pages_of_the_version_begins_with_the_first);
    tcase_add_test(cases, a_node_sends_no_more_than_its_allowance);
    tcase_add_test(cases, a_node_beyond_its_allowance_redirects_to_one_that_has_the_version);
    tcase_add_test(cases, a_lost_request_is_repeated);
    tcase_add_test(cases, a_node_of_the_same_zone_is_asked_first);
    tcase_add_test(cases, a_node_that_does_not_reply_is_replaced_by_the_next_holder);
    tcase_add_test(cases, an_older_version_is_neither_requested_nor_sent);
    tcase_add_test(cases, pages_over_another_base_are_ignored);
    tcase_add_test(cases, the_most_capable_nodes_read_the_store);
    suite_add_tcase(suite, cases);
    return cw_test_main(suite);
}
