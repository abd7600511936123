/**
 * @file test_forwarder.c
 * @brief Tests of the forwarder with real journal replicas: queue, journal and load.
 */
#include <check.h>
#include <stdlib.h>
#include <string.h>

#include "common/forwarder_world.h"

static void setup(void)
{
    world_create((world_options_t){0});
}

/* ------------------------------------------------------------------------------------------------ queue, route -- */

START_TEST(repeatable_request_needs_no_journal)
{
    uint64_t first;

    world_route(0, 0, 4, world_set_all, world_set_none);
    first = world_request(0, 4, (world_request_t){.repeatable = true});
    ck_assert_uint_eq(world.sent_count, 1);
    world_respond(0, CW_SERVER_ANSWERED);
    world_assert_reason(first, CW_REASON_NONE);
    ck_assert_uint_eq(world_answer_to(first)->body.len, 2);
    ck_assert(cw_forwarder_idle(world.forwarders[0]));
}
END_TEST

START_TEST(wrong_route_is_refused_as_not_run)
{
    uint64_t other_fence;
    uint64_t not_owner;
    uint64_t pending;

    world_route(0, 0, 4, world_set_all, world_set_none);
    other_fence = world_request(0, 5, (world_request_t){.repeatable = true});
    not_owner = world_request(1, 4, (world_request_t){.repeatable = true});
    world.readiness = CW_RANGE_PENDING;
    pending = world_request(0, 4, (world_request_t){.repeatable = true});
    world_assert_reason(other_fence, CW_REASON_STALE_ROUTE);
    ck_assert(world_answer_to(other_fence)->stale_route);
    world_assert_reason(not_owner, CW_REASON_STALE_ROUTE);
    world_assert_reason(pending, CW_REASON_MOVING);
    ck_assert_uint_eq(world.sent_count, 0);
}
END_TEST

/* The gateway took "not run" as final: the network's second copy must not run. */
START_TEST(request_refused_as_not_run_does_not_run_when_delivered_again)
{
    uint64_t refused;

    world_route(0, 0, 4, world_set_all, world_set_none);
    world.readiness = CW_RANGE_PENDING;
    refused = world_request(0, 4, (world_request_t){.repeatable = true});
    world_assert_reason(refused, CW_REASON_MOVING);
    world.readiness = CW_RANGE_READY;
    world.last_gateway_id = refused - 1;
    ck_assert_uint_eq(world_request(0, 4, (world_request_t){.repeatable = true}), refused);
    ck_assert_uint_eq(world.sent_count, 0);
    world_request(0, 4, (world_request_t){.repeatable = true});
    ck_assert_uint_eq(world.sent_count, 1);
}
END_TEST

START_TEST(earliest_deadline_is_sent_first_within_slots)
{
    uint64_t late;
    uint64_t early;
    int      index;

    world_open_range(0, 4, world_set_all, world_set_none);
    for (index = 0; index < IN_FLIGHT; index++) {
        world_request(0, 4, (world_request_t){.repeatable = true});
    }
    late = world_request(0, 4, (world_request_t){.repeatable = true, .timeout_us = 4000000});
    early = world_request(0, 4, (world_request_t){.repeatable = true, .timeout_us = 3000000});
    ck_assert_uint_eq(world.sent_count, IN_FLIGHT);
    world_respond(0, CW_SERVER_ANSWERED);
    world_respond(1, CW_SERVER_ANSWERED);
    ck_assert_uint_eq(world.sent_count, IN_FLIGHT + 2);
    ck_assert_uint_eq(world.sent[IN_FLIGHT].gateway_request, early);
    ck_assert_uint_eq(world.sent[IN_FLIGHT + 1].gateway_request, late);
}
END_TEST

START_TEST(request_that_cannot_be_answered_in_time_is_refused_at_once)
{
    uint64_t hopeless;
    int      index;

    world_open_range(0, 4, world_set_all, world_set_none);
    world_request(0, 4, (world_request_t){.repeatable = true});
    world_advance(1000000);
    world_respond(0, CW_SERVER_ANSWERED); /* service time: 1 s */
    for (index = 0; index < IN_FLIGHT; index++) {
        world_request(0, 4, (world_request_t){.repeatable = true});
    }
    hopeless = world_request(0, 4, (world_request_t){.repeatable = true, .timeout_us = 1500000});
    world_assert_reason(hopeless, CW_REASON_DEADLINE);
    ck_assert_uint_gt(world_answer_to(hopeless)->retry_after_ms, 0);
    hopeless = world_request(0, 4, (world_request_t){.repeatable = true, .timeout_us = 2200000});
    world_assert_reason(hopeless, CW_REASON_DEADLINE); /* 2 s by the average, which may well lag by a tenth */
    ck_assert_uint_eq(world.sent_count, 1 + IN_FLIGHT);
}
END_TEST

START_TEST(server_that_sheds_gets_no_more_than_its_slots)
{
    int index;

    world_open_range(0, 4, world_set_all, world_set_none);
    for (index = 0; index < IN_FLIGHT + 2; index++) {
        world_request(0, 4, (world_request_t){.repeatable = true});
    }
    world.refusal = "shed";
    world_respond(2, CW_SERVER_REFUSED);
    ck_assert_uint_eq(world.sent_count, IN_FLIGHT);
    world_respond(0, CW_SERVER_ANSWERED);
    ck_assert_uint_eq(world.sent_count, IN_FLIGHT + 1);
}
END_TEST

START_TEST(queued_request_ends_at_its_deadline)
{
    uint64_t queued;

    world_open_range(0, 4, world_set_all, world_set_none);
    world_request(0, 4, (world_request_t){.repeatable = true});
    world_request(0, 4, (world_request_t){.repeatable = true});
    world_request(0, 4, (world_request_t){.repeatable = true});
    queued = world_request(0, 4, (world_request_t){.repeatable = true, .timeout_us = 500000});
    ck_assert_int_eq(cw_forwarder_next_tick(world.forwarders[0]), world.now.monotonic_us + 500000);
    world_advance(500000);
    world_assert_reason(queued, CW_REASON_DEADLINE);
    world_respond(0, CW_SERVER_ANSWERED);
    ck_assert_uint_eq(world.sent_count, IN_FLIGHT);
}
END_TEST

START_TEST(lost_range_refuses_what_was_not_sent)
{
    uint64_t flying;
    uint64_t queued;

    world_open_range(0, 4, world_set_all, world_set_none);
    flying = world_request(0, 4, (world_request_t){.repeatable = true});
    world_request(0, 4, (world_request_t){.repeatable = true});
    world_request(0, 4, (world_request_t){.repeatable = true});
    queued = world_request(0, 4, (world_request_t){.repeatable = true});
    world_route(0, 1, 5, world_set_all, world_set_none);
    world_assert_reason(queued, CW_REASON_STALE_ROUTE);
    ck_assert_ptr_null(world_answer_to(flying));
    world_respond(0, CW_SERVER_ANSWERED);
    world_assert_reason(flying, CW_REASON_NONE);
    ck_assert_uint_eq(world.sent_count, IN_FLIGHT);
}
END_TEST

START_TEST(cancel_drops_queued_and_is_passed_on_for_sent)
{
    Cw__Envelope      envelope = CW__ENVELOPE__INIT;
    Cw__ForwardCancel cancel = CW__FORWARD_CANCEL__INIT;

    world_open_range(0, 4, world_set_all, world_set_none);
    cancel.gateway_incarnation = 900;
    envelope.body_case = CW__ENVELOPE__BODY_FORWARD_CANCEL;
    envelope.forward_cancel = &cancel;
    cancel.id = world_request(0, 4, (world_request_t){.number = 1});
    cw_forwarder_receive(world.forwarders[0], &envelope, world.now);
    world_deliver_all();
    ck_assert_uint_eq(world.sent_count, 0);
    cancel.id = world_request(0, 4, (world_request_t){.number = 2});
    world_deliver_all();
    cw_forwarder_receive(world.forwarders[0], &envelope, world.now);
    ck_assert_uint_eq(world.cancelled_count, 1);
    world_respond(0, CW_SERVER_BROKEN);
    world_deliver_all();
    ck_assert_uint_eq(world.answer_count, 0);
    ck_assert(cw_forwarder_idle(world.forwarders[0]));
}
END_TEST

START_TEST(new_server_starts_with_half_of_its_slots)
{
    world_route(0, 0, 0, world_set_all, world_set_none); /* range granted later than the forwarder was named */
    world_request(0, 1, (world_request_t){.repeatable = true});
    world_request(0, 1, (world_request_t){.repeatable = true});
    world_request(0, 1, (world_request_t){.repeatable = true});
    ck_assert_uint_eq(world.sent_count, SLOTS / 2 + 1);
    world_advance(CW_US_PER_S);
    ck_assert_uint_eq(world.sent_count, IN_FLIGHT);
}
END_TEST

/* ----------------------------------------------------------------------------------------------------- journal -- */

START_TEST(nothing_is_sent_before_a_majority_and_the_id_stays_usable)
{
    uint64_t first;
    uint64_t again;
    int64_t  time_ms;

    world_open_range(0, 4, world_set_all, world_set_none);
    world.replica_cut[1] = world.replica_cut[2] = true;
    time_ms = world.now.wall_ms;
    first = world_request(0, 4, (world_request_t){.number = 1});
    world_deliver_all();
    ck_assert_uint_eq(world.sent_count, 0);
    world.replica_cut[0] = true; /* the release is lost */
    world_advance(JOURNAL_TIMEOUT_US / 3);
    world_advance(JOURNAL_TIMEOUT_US / 3);
    world_advance(JOURNAL_TIMEOUT_US / 3);
    world_assert_reason(first, CW_REASON_JOURNAL_UNAVAILABLE);
    memset(world.replica_cut, 0, sizeof(world.replica_cut));
    again = world_request(0, 4, (world_request_t){.number = 1, .time_ms = time_ms});
    world_deliver_all();
    ck_assert_uint_eq(world.sent_count, 1);
    world_respond(0, CW_SERVER_ANSWERED);
    world_assert_reason(again, CW_REASON_NONE);
}
END_TEST

START_TEST(repeated_id_is_replayed_in_progress_reused_or_unknown)
{
    int64_t  time_ms;
    uint64_t in_progress;
    uint64_t reused;
    uint64_t replayed;
    uint64_t unknown;

    world_open_range(0, 4, world_set_all, world_set_none);
    time_ms = world.now.wall_ms;
    world_request(0, 4, (world_request_t){.number = 1, .digest = 7});
    world_deliver_all();
    in_progress = world_request(0, 4, (world_request_t){.number = 1, .time_ms = time_ms, .digest = 7});
    world_respond(0, CW_SERVER_ANSWERED);
    world_deliver_all();
    reused = world_request(0, 4, (world_request_t){.number = 1, .time_ms = time_ms, .digest = 8});
    world_assert_reason(in_progress, CW_REASON_IN_PROGRESS);
    world_assert_reason(reused, CW_REASON_ID_REUSED);
    replayed = world_request(0, 4, (world_request_t){.number = 1, .time_ms = time_ms, .digest = 7});
    world_assert_reason(replayed, CW_REASON_NONE);
    ck_assert_uint_eq(world_answer_to(replayed)->body.len, 2);
    world_request(0, 4, (world_request_t){.number = 2, .time_ms = time_ms});
    world_deliver_all();
    world_respond(1, CW_SERVER_BROKEN);
    unknown = world_request(0, 4, (world_request_t){.number = 2, .time_ms = time_ms});
    world_assert_reason(unknown, CW_REASON_STARTED_BEFORE);
    ck_assert_uint_eq(world.sent_count, 2);
}
END_TEST

START_TEST(deadline_after_a_duplicate_is_not_called_not_run)
{
    int64_t  time_ms;
    uint64_t again;

    world_open_range(0, 4, world_set_all, world_set_none);
    time_ms = world.now.wall_ms;
    world_request(0, 4, (world_request_t){.number = 1});
    world_deliver_all();
    world_respond(0, CW_SERVER_BROKEN);
    world_deliver_all();
    world.replica_cut[1] = world.replica_cut[2] = true;
    again = world_request(0, 4, (world_request_t){.number = 1, .time_ms = time_ms, .timeout_us = 1000});
    world_deliver_all();
    world_advance(1000);
    world_assert_reason(again, CW_REASON_STARTED_BEFORE);
}
END_TEST

START_TEST(large_answer_is_not_replayed_in_part)
{
    int64_t  time_ms;
    uint64_t again;

    world_open_range(0, 4, world_set_all, world_set_none);
    time_ms = world.now.wall_ms;
    world.answer_length = CW_JOURNAL_ANSWER_MAX + 1;
    world_request(0, 4, (world_request_t){.number = 1});
    world_deliver_all();
    world_respond(0, CW_SERVER_ANSWERED);
    world_deliver_all();
    again = world_request(0, 4, (world_request_t){.number = 1, .time_ms = time_ms});
    world_assert_reason(again, CW_REASON_STARTED_BEFORE);
}
END_TEST

START_TEST(baseline_journals_repeatable_requests_too)
{
    int64_t time_ms;

    world_destroy();
    world_create((world_options_t){.journal_everything = true});
    world_open_range(0, 4, world_set_all, world_set_none);
    time_ms = world.now.wall_ms;
    world_request(0, 4, (world_request_t){.number = 1, .repeatable = true, .timeout_us = INT64_MAX});
    ck_assert_uint_eq(world.sent_count, 0);
    world_deliver_all();
    ck_assert_uint_eq(world.sent_count, 1);
    world_respond(0, CW_SERVER_ANSWERED);
    world_deliver_all();
    ck_assert_uint_eq(cw_journal_entry_count(world.journals[0]), 1);
    world_request(0, 4, (world_request_t){.number = 1, .time_ms = time_ms, .repeatable = true});
    world_deliver_all();
    ck_assert_uint_eq(world.sent_count, 2);
}
END_TEST

START_TEST(refused_by_the_server_may_run_again)
{
    int64_t  time_ms;
    uint64_t first;
    uint64_t again;

    world_open_range(0, 4, world_set_all, world_set_none);
    time_ms = world.now.wall_ms;
    first = world_request(0, 4, (world_request_t){.number = 1});
    world_deliver_all();
    world_respond(0, CW_SERVER_REFUSED);
    world_assert_reason(first, CW_REASON_SERVER_REFUSED);
    ck_assert(world_answer_to(first)->stale_route);
    again = world_request(0, 4, (world_request_t){.number = 1, .time_ms = time_ms});
    world_deliver_all();
    ck_assert_uint_eq(world.sent_count, 2);
    world_respond(1, CW_SERVER_BROKEN);
    world_assert_reason(again, CW_REASON_CONNECTION_LOST);
}
END_TEST

START_TEST(id_time_is_bounded_on_both_sides)
{
    uint64_t future;
    uint64_t old;

    world_open_range(0, 4, world_set_all, world_set_none);
    future = world_request(0, 4, (world_request_t){.number = 1, .time_ms = world.now.wall_ms + SKEW_MS + 1});
    old = world_request(0, 4, (world_request_t){.number = 2, .time_ms = world.now.wall_ms - WINDOW_MS - 1});
    world_assert_reason(future, CW_REASON_ID_IN_FUTURE);
    world_assert_reason(old, CW_REASON_ID_TOO_OLD);
    world_request(0, 4, (world_request_t){.number = 3, .time_ms = world.now.wall_ms + SKEW_MS});
    world_deliver_all();
    ck_assert_uint_eq(world.sent_count, 1);
}
END_TEST

START_TEST(deposed_forwarder_is_refused_by_the_seal)
{
    uint64_t deposed;
    uint64_t later;

    world_open_range(0, 4, world_set_all, world_set_none);
    world_open_range(1, 5, world_set_all, world_set_none);
    deposed = world_request(0, 4, (world_request_t){.number = 1});
    world_assert_reason(deposed, CW_REASON_STALE_ROUTE);
    later = world_request(0, 4, (world_request_t){.number = 2, .repeatable = true});
    world_assert_reason(later, CW_REASON_STALE_ROUTE);
    ck_assert_uint_eq(world.sent_count, 0);
}
END_TEST

/* -------------------------------------------------------------------------------------------------------- load -- */

static void check_load(void *context, const Cw__RangeLoad *load)
{
    *(int *)context += 1;
    ck_assert_double_gt(load->requests_per_second, 30.0);
    ck_assert_uint_ge(load->n_hot_keys, 1);
    ck_assert_uint_eq(load->hot_keys[0]->key_hash, 42);
    ck_assert_double_gt(load->hot_keys[0]->requests_per_second, 10.0);
    ck_assert_double_lt(load->hot_keys[0]->requests_per_second, 20.0);
}

START_TEST(hot_key_is_found_among_many)
{
    int visits = 0;
    int step;

    world_open_range(0, 4, world_set_all, world_set_none);
    for (step = 0; step < 1000; step++) { /* 50 requests per second, 16.7 of them for one key */
        uint64_t key_hash = step % 3 == 0 ? 42 : 1000 + (uint64_t)step;

        world_request(0, 4, (world_request_t){.repeatable = true, .key_hash = key_hash});
        while (!cw_forwarder_idle(world.forwarders[0])) {
            world_respond(world.sent_count - 1, CW_SERVER_ANSWERED);
        }
        world.sent_count = 0;
        world_advance(20000);
        while (world.network_count > 0) {
            cw__envelope__free_unpacked(world.network[--world.network_count], NULL);
        }
    }
    cw_forwarder_each_load(world.forwarders[0], check_load, &visits, world.now);
    ck_assert_int_eq(visits, 1);
}
END_TEST

int main(void)
{
    Suite   *suite = suite_create("forwarder");
    TCase   *tests = tcase_create("forwarder");
    SRunner *runner = srunner_create(suite);
    int      failed;

    tcase_add_checked_fixture(tests, setup, world_destroy);
    tcase_add_test(tests, repeatable_request_needs_no_journal);
    tcase_add_test(tests, wrong_route_is_refused_as_not_run);
    tcase_add_test(tests, request_refused_as_not_run_does_not_run_when_delivered_again);
    tcase_add_test(tests, earliest_deadline_is_sent_first_within_slots);
    tcase_add_test(tests, request_that_cannot_be_answered_in_time_is_refused_at_once);
    tcase_add_test(tests, server_that_sheds_gets_no_more_than_its_slots);
    tcase_add_test(tests, queued_request_ends_at_its_deadline);
    tcase_add_test(tests, lost_range_refuses_what_was_not_sent);
    tcase_add_test(tests, cancel_drops_queued_and_is_passed_on_for_sent);
    tcase_add_test(tests, new_server_starts_with_half_of_its_slots);
    tcase_add_test(tests, nothing_is_sent_before_a_majority_and_the_id_stays_usable);
    tcase_add_test(tests, repeated_id_is_replayed_in_progress_reused_or_unknown);
    tcase_add_test(tests, deadline_after_a_duplicate_is_not_called_not_run);
    tcase_add_test(tests, large_answer_is_not_replayed_in_part);
    tcase_add_test(tests, baseline_journals_repeatable_requests_too);
    tcase_add_test(tests, refused_by_the_server_may_run_again);
    tcase_add_test(tests, id_time_is_bounded_on_both_sides);
    tcase_add_test(tests, deposed_forwarder_is_refused_by_the_seal);
    tcase_add_test(tests, hot_key_is_found_among_many);
    suite_add_tcase(suite, tests);
    srunner_run_all(runner, CK_NORMAL);
    failed = srunner_ntests_failed(runner);
    srunner_free(runner);
    return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
