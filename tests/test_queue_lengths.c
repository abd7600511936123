/**
 * @file test_queue_lengths.c
 * @brief Requests that wait at other nodes: replaced by each report, expired, summed, and bounded.
 */
#include <check.h>

#include "balance/queue_lengths.h"
#include "loop_fixture.h"

enum { START_S = 100, VALIDITY_MS = 600, NODE = 1, OTHER_NODE = 2, ZONE = 3, MAPS = 11, TILES = 12 };

/* One report with one entry, as the node does it. */
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

START_TEST(entries_of_several_senders_are_summed_by_service)
{
    cw_queue_lengths_t lengths = {0};
    cw_time_us_t       now = CW_SECONDS(START_S);

    ck_assert(report(&lengths, near_node(NODE), MAPS, 3, now));
    ck_assert(report(&lengths, near_node(OTHER_NODE), MAPS, 4, now));
    ck_assert_uint_eq(cw_queue_lengths_sum(&lengths, MAPS), 7);
    ck_assert_uint_eq(cw_queue_lengths_sum(&lengths, TILES), 0);
}
END_TEST

START_TEST(a_report_replaces_the_one_before)
{
    cw_queue_lengths_t lengths = {0};
    cw_time_us_t       now = CW_SECONDS(START_S);

    (void)report(&lengths, near_node(NODE), MAPS, 3, now);
    (void)report(&lengths, near_node(NODE), TILES, 5, now + 1);
    ck_assert_uint_eq(cw_queue_lengths_sum(&lengths, MAPS), 0);
    ck_assert_uint_eq(cw_queue_lengths_sum(&lengths, TILES), 5);
}
END_TEST

START_TEST(an_empty_report_says_whether_there_was_something_before)
{
    cw_queue_lengths_t lengths = {0};
    cw_time_us_t       now = CW_SECONDS(START_S);

    ck_assert(!cw_queue_lengths_begin(&lengths, NODE, CW_MS(VALIDITY_MS), now));
    (void)report(&lengths, near_node(NODE), MAPS, 3, now);
    ck_assert(cw_queue_lengths_begin(&lengths, NODE, CW_MS(VALIDITY_MS), now));
    ck_assert_uint_eq(cw_queue_lengths_sum(&lengths, MAPS), 0);
}
END_TEST

START_TEST(an_entry_that_is_too_old_is_dropped_by_another_senders_report)
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

START_TEST(only_near_and_fresh_entries_are_given_out)
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

START_TEST(what_does_not_fit_is_refused_and_the_rest_stays)
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

    tcase_add_test(cases, entries_of_several_senders_are_summed_by_service);
    tcase_add_test(cases, a_report_replaces_the_one_before);
    tcase_add_test(cases, an_empty_report_says_whether_there_was_something_before);
    tcase_add_test(cases, an_entry_that_is_too_old_is_dropped_by_another_senders_report);
    tcase_add_test(cases, only_near_and_fresh_entries_are_given_out);
    tcase_add_test(cases, what_does_not_fit_is_refused_and_the_rest_stays);
    suite_add_tcase(suite, cases);
    return cw_test_main(suite);
}
