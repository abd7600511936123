/**
 * @file test_forward_queue.c
 * @brief Updates that a relay forwards: only complete ones, within an allowance, to nodes that lack them.
 *
 * Pattern of load: a change of many pages, and a zone of hundreds of nodes.
 */
#include <stdlib.h>
#include <string.h>

#include "loop_fixture.h"
#include "router/forward_queue.h"

enum { NODES = 200, PAGE_BYTES = 5000, PAGES = 10, BYTES_PER_S = 1000000 };

static uint32_t pages_sent[NODES + 1]; /* number of pages sent, by address */
static uint64_t sent_bytes;
static bool     has_update[NODES + 1];

static size_t list_nodes(void *context, uint32_t **addresses)
{
    size_t index;

    (void)context;
    *addresses = calloc(NODES, sizeof(**addresses));
    for (index = 0; index < NODES; index++) {
        (*addresses)[index] = (uint32_t)index + 1;
    }
    return NODES;
}

static bool is_wanted(void *context, uint32_t address, const cw_forwarded_update_t *update)
{
    (void)context;
    (void)update;
    return !has_update[address];
}

static size_t send_pages(void *context, uint32_t address, const cw_datagram_batch_t *pages, size_t first, size_t count)
{
    (void)context;
    (void)pages;
    ck_assert_uint_eq(first, pages_sent[address]);
    ck_assert_uint_le(count, CW_FORWARD_PAGES_PER_TURN);
    pages_sent[address] += (uint32_t)count;
    sent_bytes += count * PAGE_BYTES;
    return count * PAGE_BYTES;
}

static cw_forward_queue_t *new_queue(void)
{
    cw_forward_queue_owner_t owner = {.list_nodes = list_nodes, .is_wanted = is_wanted, .send = send_pages};

    memset(pages_sent, 0, sizeof(pages_sent));
    memset(has_update, 0, sizeof(has_update));
    sent_bytes = 0;
    return cw_forward_queue_create(&owner);
}

static cw_forwarded_update_t update_of(uint64_t version)
{
    return (cw_forwarded_update_t){.is_list = true, .term = 1, .base = version - 1, .version = version, .pages = PAGES};
}

static bool add(cw_forward_queue_t *queue, uint64_t version, uint32_t page, cw_time_us_t now)
{
    static uint8_t        bytes[PAGE_BYTES];
    cw_datagram_batch_t   packed = {0};
    cw_forwarded_update_t update = update_of(version);
    bool                  added;

    cw_datagram_batch_add(&packed, 2, bytes, sizeof(bytes));
    added = cw_forward_queue_add(queue, &update, page, &packed, now);
    cw_bytes_clear(&packed.bytes);
    free(packed.lengths);
    return added;
}

static void add_all(cw_forward_queue_t *queue, uint64_t version, cw_time_us_t now)
{
    uint32_t page;

    for (page = 0; page < PAGES; page++) {
        ck_assert(add(queue, version, page, now));
    }
}

static cw_send_allowance_t new_allowance(cw_time_us_t now)
{
    cw_send_allowance_t allowance;

    cw_send_allowance_init(&allowance, BYTES_PER_S, CW_MS(200));
    allowance.filled_at = now;
    allowance.bytes = 1;
    return allowance;
}

START_TEST(nothing_is_forwarded_before_all_pages_are_received)
{
    cw_forward_queue_t *queue = new_queue();
    cw_send_allowance_t allowance = new_allowance(0);

    ck_assert(add(queue, 2, 0, 0));
    ck_assert(add(queue, 2, 2, 0));
    ck_assert(add(queue, 2, 2, 0)); /* repeated */
    cw_forward_queue_send(queue, &allowance, CW_SECONDS(1));
    ck_assert_uint_eq(sent_bytes, 0);
    cw_forward_queue_free(queue);
}
END_TEST

START_TEST(each_node_gets_each_page_once_within_the_allowance)
{
    cw_forward_queue_t *queue = new_queue();
    cw_send_allowance_t allowance = new_allowance(0);
    cw_time_us_t        now = 0;
    uint32_t            address;

    add_all(queue, 2, now);
    while (cw_forward_queue_waiting(queue) > 0) {
        cw_forward_queue_send(queue, &allowance, now);
        /* at most a burst above the rate, and the pages of one node that were begun within it */
        ck_assert_uint_le(sent_bytes, (uint64_t)(now * BYTES_PER_S / 1000000) + BYTES_PER_S / 5 + PAGES * PAGE_BYTES);
        now += CW_MS(20);
        ck_assert_int_lt(now, CW_SECONDS(15));
    }
    for (address = 1; address <= NODES; address++) {
        ck_assert_uint_eq(pages_sent[address], PAGES);
    }
    cw_forward_queue_free(queue);
}
END_TEST

START_TEST(a_node_gets_a_few_pages_in_a_turn_however_large_the_allowance_is)
{
    cw_forward_queue_t   *queue = new_queue();
    cw_send_allowance_t   allowance = {.bytes = 1e9, .bytes_per_s = 1e9, .burst = CW_SECONDS(1)};
    cw_datagram_batch_t   pages = {0};
    cw_forwarded_update_t update = update_of(2);
    static uint8_t        bytes[PAGE_BYTES];
    int                   page;

    for (page = 0; page < PAGES; page++) {
        cw_datagram_batch_add(&pages, 2, bytes, sizeof(bytes));
    }
    ck_assert(cw_forward_queue_add_receiver(queue, &update, &pages, 3, 0));
    ck_assert(cw_forward_queue_add_receiver(queue, &update, &pages, 9, 0));
    ck_assert(cw_forward_queue_add_receiver(queue, &update, &pages, 3, 0)); /* the node is being sent them already */
    cw_forward_queue_send(queue, &allowance, 1);
    ck_assert_uint_eq(pages_sent[3], CW_FORWARD_PAGES_PER_TURN);
    ck_assert_uint_eq(pages_sent[9], CW_FORWARD_PAGES_PER_TURN);
    cw_forward_queue_send(queue, &allowance, 2);
    cw_forward_queue_send(queue, &allowance, 3);
    ck_assert_uint_eq(pages_sent[3], PAGES);
    ck_assert_uint_eq(pages_sent[4], 0);
    ck_assert_uint_eq(cw_forward_queue_waiting(queue), 0);
    cw_bytes_clear(&pages.bytes);
    free(pages.lengths);
    cw_forward_queue_free(queue);
}
END_TEST

START_TEST(a_node_that_has_the_update_meanwhile_is_skipped)
{
    cw_forward_queue_t *queue = new_queue();
    cw_send_allowance_t allowance = new_allowance(0);

    add_all(queue, 2, 0);
    cw_forward_queue_send(queue, &allowance, CW_MS(20));
    memset(has_update, 1, sizeof(has_update)); /* the other relay has sent it */
    cw_forward_queue_send(queue, &allowance, CW_SECONDS(1));
    ck_assert_uint_eq(cw_forward_queue_waiting(queue), 0);
    ck_assert_uint_lt(pages_sent[NODES], PAGES);
    cw_forward_queue_free(queue);
}
END_TEST

/* Guards against a relay that begins with all nodes at once: it would have to send all pages to all of them, since none
 * could get the update completely from the other relay first. */
START_TEST(few_nodes_have_an_incomplete_update)
{
    cw_forward_queue_t *queue = new_queue();
    cw_send_allowance_t allowance = {.bytes = 1e9, .bytes_per_s = 1e9, .burst = CW_SECONDS(1)};
    uint32_t            address;
    size_t              begun = 0;

    add_all(queue, 2, 0);
    cw_forward_queue_send(queue, &allowance, 1);
    for (address = 1; address <= NODES; address++) {
        begun += pages_sent[address] > 0 ? 1 : 0;
    }
    ck_assert_uint_eq(begun, CW_FORWARD_INCOMPLETE_MAX);
    cw_forward_queue_free(queue);
}
END_TEST

START_TEST(a_short_update_is_sent_to_all_nodes_in_one_turn)
{
    cw_forward_queue_t   *queue = new_queue();
    cw_send_allowance_t   allowance = {.bytes = 1e9, .bytes_per_s = 1e9, .burst = CW_SECONDS(1)};
    cw_forwarded_update_t update = {.is_list = true, .term = 1, .base = 1, .version = 2, .pages = 1};
    static uint8_t        bytes[PAGE_BYTES];
    cw_datagram_batch_t   packed = {0};

    cw_datagram_batch_add(&packed, 2, bytes, sizeof(bytes));
    ck_assert(cw_forward_queue_add(queue, &update, 0, &packed, 0));
    cw_forward_queue_send(queue, &allowance, 1);
    ck_assert_uint_eq(sent_bytes, NODES * PAGE_BYTES);
    ck_assert_uint_eq(cw_forward_queue_waiting(queue), 0);
    cw_bytes_clear(&packed.bytes);
    free(packed.lengths);
    cw_forward_queue_free(queue);
}
END_TEST

START_TEST(an_update_that_waits_too_long_is_dropped)
{
    cw_forward_queue_t *queue = new_queue();
    cw_send_allowance_t allowance = new_allowance(0);

    ck_assert(add(queue, 2, 0, 0)); /* its other pages were lost */
    cw_forward_queue_send(queue, &allowance, CW_MS(CW_FORWARD_WAIT_MAX_MS) + 1);
    ck_assert_uint_eq(cw_forward_queue_waiting(queue), 0);
    cw_forward_queue_free(queue);
}
END_TEST

START_TEST(the_number_of_waiting_updates_is_bounded)
{
    cw_forward_queue_t *queue = new_queue();
    uint64_t            version;

    for (version = 2; version < 2 + CW_FORWARD_UPDATES_MAX; version++) {
        ck_assert(add(queue, version, 0, 0));
    }
    ck_assert(!add(queue, version, 0, 0));
    ck_assert(!add(queue, 2, PAGES, 0)); /* no such page */
    cw_forward_queue_free(queue);
}
END_TEST

int main(void)
{
    Suite *suite = suite_create("forward_queue");
    TCase *cases = tcase_create("forward_queue");

    tcase_add_test(cases, nothing_is_forwarded_before_all_pages_are_received);
    tcase_add_test(cases, each_node_gets_each_page_once_within_the_allowance);
    tcase_add_test(cases, a_node_gets_a_few_pages_in_a_turn_however_large_the_allowance_is);
    tcase_add_test(cases, a_node_that_has_the_update_meanwhile_is_skipped);
    tcase_add_test(cases, few_nodes_have_an_incomplete_update);
    tcase_add_test(cases, a_short_update_is_sent_to_all_nodes_in_one_turn);
    tcase_add_test(cases, an_update_that_waits_too_long_is_dropped);
    tcase_add_test(cases, the_number_of_waiting_updates_is_bounded);
    suite_add_tcase(suite, cases);
    return cw_test_main(suite);
}
