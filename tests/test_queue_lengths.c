/**
 * @file test_queue_lengths.c
 * @brief Numbers of requests waiting at other nodes: replacement by reports, expiry, sums and the bound on entries.
 */
#include <check.h>

#include "balance/queue_lengths.h"
#include "loop_fixture.h"

enum { START_S = 100, VALIDITY_MS = 600, NODE = 1, OTHER_NODE = 2, ZONE = 3, MAPS = 11, TILES = 12 };

/* Receives a report with one entry, in the way the node does. */
static bool report(cw_queue_lengths_t *lengths, cw_queue_sender_t sender, uint32_t service, uint32_t queued,
                   cw_time_us_t now)
{
    cw_queue_length_t length = {.sender = sender, .service = service, .queued = queued, .at = now};

    (void)cw_queue_lengths_begin(lengths, sender.id, CW_MS(VALIDITY_MS), now);
    return cw_queue_lengths_add(lengths, &length);
}

static cw_queue_sender_t near_node(uint64_t id)
{
    return (cw_queue_sender_t){.id = id, .is_near = true};
}

static void add_queued(void *context, const cw_queue_length_t *length)
{
    uint32_t *sum = context;

    *sum += length->queued;
}

START_TEST(sums_entries_of_several_senders_by_service)
{
    cw_queue_lengths_t lengths = {0};
    cw_time_us_t       now = CW_SECONDS(START_S);

    ck_assert(report(&lengths, near_node(NODE), MAPS, 3, now));
    ck_assert(report(&lengths, near_node(OTHER_NODE), MAPS, 4, now));
    ck_assert_uint_eq(cw_queue_lengths_sum(&lengths, MAPS), 7);
    ck_assert_uint_eq(cw_queue_lengths_sum(&lengths, TILES), 0);
}
END_TEST

START_TEST(report_replaces_the_earlier_one_of_its_sender)
{
    cw_queue_lengths_t lengths = {0};
    cw_time_us_t       now = CW_SECONDS(START_S);

    (void)report(&lengths, near_node(NODE), MAPS, 3, now);
    (void)report(&lengths, near_node(NODE), TILES, 5, now + 1);
    ck_assert_uint_eq(cw_queue_lengths_sum(&lengths, MAPS), 0);
    ck_assert_uint_eq(cw_queue_lengths_sum(&lengths, TILES), 5);
}
END_TEST

START_TEST(beginning_a_report_returns_whether_there_were_entries)
{
    cw_queue_lengths_t lengths = {0};
    cw_time_us_t       now = CW_SECONDS(START_S);

    ck_assert(!cw_queue_lengths_begin(&lengths, NODE, CW_MS(VALIDITY_MS), now));
    (void)report(&lengths, near_node(NODE), MAPS, 3, now);
    ck_assert(cw_queue_lengths_begin(&lengths, NODE, CW_MS(VALIDITY_MS), now));
    ck_assert_uint_eq(cw_queue_lengths_sum(&lengths, MAPS), 0);
}
END_TEST

START_TEST(report_of_another_sender_removes_expired_entries)
{
    cw_queue_lengths_t lengths = {0};
    cw_time_us_t       now = CW_SECONDS(START_S);

    (void)report(&lengths, near_node(NODE), MAPS, 3, now);
    (void)report(&lengths, near_node(OTHER_NODE), MAPS, 4, now + CW_MS(VALIDITY_MS) - 1);
    ck_assert_uint_eq(cw_queue_lengths_sum(&lengths, MAPS), 7);
    (void)report(&lengths, near_node(OTHER_NODE), MAPS, 4, now + CW_MS(VALIDITY_MS));
    ck_assert_uint_eq(cw_queue_lengths_sum(&lengths, MAPS), 4);
}
END_TEST

START_TEST(each_near_visits_only_near_and_valid_entries)
{
    cw_queue_lengths_t lengths = {0};
    cw_queue_sender_t  zone = {.id = ZONE, .is_near = false};
    cw_time_us_t       now = CW_SECONDS(START_S);
    uint32_t           sum = 0;

    (void)report(&lengths, near_node(NODE), MAPS, 3, now);
    (void)report(&lengths, zone, MAPS, 40, now + CW_MS(1));
    (void)report(&lengths, near_node(OTHER_NODE), MAPS, 500, now + CW_MS(1));
    cw_queue_lengths_each_near(&lengths, CW_MS(VALIDITY_MS), now + CW_MS(VALIDITY_MS), add_queued, &sum);
    ck_assert_uint_eq(sum, 500);
}
END_TEST

START_TEST(entry_that_does_not_fit_is_refused_and_others_stay)
{
    cw_queue_lengths_t lengths = {0};
    cw_time_us_t       now = CW_SECONDS(START_S);
    uint64_t           sender;

    for (sender = 1; sender <= CW_QUEUE_LENGTHS_MAX; sender++) {
        ck_assert(report(&lengths, near_node(sender), MAPS, 1, now));
    }
    ck_assert(!report(&lengths, near_node(sender), MAPS, 1, now));
    ck_assert_uint_eq(cw_queue_lengths_sum(&lengths, MAPS), CW_QUEUE_LENGTHS_MAX);
}
END_TEST

int main(void)
{
    Suite *suite = suite_create("queue lengths");
    TCase *cases = tcase_create("lengths");

    tcase_add_test(cases, sums_entries_of_several_senders_by_service);
    tcase_add_test(cases, report_replaces_the_earlier_one_of_its_sender);
    tcase_add_test(cases, beginning_a_report_returns_whether_there_were_entries);
    tcase_add_test(cases, report_of_another_sender_removes_expired_entries);
    tcase_add_test(cases, each_near_visits_only_near_and_valid_entries);
    tcase_add_test(cases, entry_that_does_not_fit_is_refused_and_others_stay);
    suite_add_tcase(suite, cases);
    return cw_test_main(suite);
}
