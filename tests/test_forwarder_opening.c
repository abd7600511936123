/**
 * @file test_forwarder_opening.c
 * @brief Tests of the forwarder with real journal replicas: openings of ranges, and what the former set knows.
 */
#include <check.h>
#include <stdlib.h>

#include "common/forwarder_world.h"

static void setup(void)
{
    world_create((world_options_t){0});
}

/* One finished and one unknown id under epoch 4 on the first set; forwarder 1 takes over with another set. */
static void take_over_with_entries(const int *own, const int *former, int64_t *time_ms)
{
    world_open_range(0, 4, world_set_all, world_set_none);
    *time_ms = world.now.wall_ms;
    world_request(0, 4, (world_request_t){.number = 1});
    world_request(0, 4, (world_request_t){.number = 2});
    world_deliver_all();
    world_respond(0, CW_SERVER_ANSWERED);
    world_respond(1, CW_SERVER_BROKEN);
    world_deliver_all();
    ck_assert_uint_eq(world.sent_count, 2);
    world_route(1, 1, 5, own, former);
}

START_TEST(entries_are_copied_before_the_range_opens)
{
    int64_t  time_ms;
    uint64_t moving;
    uint64_t finished;
    uint64_t unknown;

    world_destroy();
    world_create((world_options_t){.unfinished_first = _i == 1});
    take_over_with_entries(world_set_other, world_set_all, &time_ms);
    moving = world_request(1, 5, (world_request_t){.number = 1, .time_ms = time_ms});
    world_assert_reason(moving, CW_REASON_MOVING);
    finished = world_request(1, 5, (world_request_t){.number = 1, .time_ms = time_ms});
    unknown = world_request(1, 5, (world_request_t){.number = 2, .time_ms = time_ms});
    world_assert_reason(finished, CW_REASON_NONE);
    world_assert_reason(unknown, CW_REASON_STARTED_BEFORE);
    world_request(1, 5, (world_request_t){.number = 3, .time_ms = time_ms});
    world_deliver_all();
    ck_assert_uint_eq(world.sent_count, 3); /* a new id that is older than the take-over runs */
}
END_TEST

START_TEST(set_that_was_never_opened_is_not_trusted)
{
    int64_t  time_ms;
    uint64_t first;
    uint64_t fresh;

    take_over_with_entries(world_set_other, world_set_all, &time_ms); /* forwarder 1 never hears of its seals */
    while (world.network_count > 0) {
        cw__envelope__free_unpacked(world.network[--world.network_count], NULL);
    }
    world_route(2, 2, 6, world_set_third,
                world_set_other); /* the routes name the second set as if it held the journal */
    world_deliver_all();
    first = world_request(2, 6, (world_request_t){.number = 1, .time_ms = time_ms});
    world_assert_reason(first, CW_REASON_ID_TOO_OLD);
    world_advance(2 * SKEW_MS * CW_US_PER_MS);
    fresh = world_request(2, 6, (world_request_t){.number = 9});
    world_deliver_all();
    ck_assert_uint_eq(world.sent_count, 3);
    world_respond(2, CW_SERVER_ANSWERED);
    world_assert_reason(fresh, CW_REASON_NONE);
}
END_TEST

START_TEST(ids_are_given_up_when_the_former_set_is_lost)
{
    int64_t  time_ms;
    uint64_t moving;
    uint64_t given_up;

    take_over_with_entries(world_set_other, world_set_all, &time_ms);
    while (world.network_count > 0) {
        cw__envelope__free_unpacked(world.network[--world.network_count], NULL);
    }
    world.replica_cut[0] = world.replica_cut[1] = true;
    world.readiness = CW_RANGE_PENDING;
    world_route(2, 2, 6, world_set_other, world_set_all);
    world_deliver_all();
    world_advance(JOURNAL_TIMEOUT_US);
    world_deliver_all();
    ck_assert_uint_eq(cw_journal_entry_count(world.journals[3]), 0);
    world.readiness = CW_RANGE_READY; /* only now is it sure that no former forwarder starts anything */
    moving = world_request(2, 6, (world_request_t){.number = 8});
    world_assert_reason(moving, CW_REASON_MOVING);
    world_advance(JOURNAL_TIMEOUT_US);
    world_deliver_all();
    given_up = world_request(2, 6, (world_request_t){.number = 1, .time_ms = time_ms});
    world_assert_reason(given_up, CW_REASON_ID_TOO_OLD);
    world_advance(2 * SKEW_MS * CW_US_PER_MS);
    world_request(2, 6, (world_request_t){.number = 9});
    world_deliver_all();
    ck_assert_uint_eq(world.sent_count, 3);
}
END_TEST

START_TEST(routes_taken_back_to_an_older_set_are_not_trusted)
{
    int64_t  time_ms;
    uint64_t given_up;

    take_over_with_entries(world_set_other, world_set_all, &time_ms);
    world_deliver_all();
    world_request(1, 5, (world_request_t){.number = 3, .time_ms = time_ms});
    world_deliver_all();
    ck_assert_uint_eq(world.sent_count, 3);
    world_route(2, 2, 6, world_set_all, world_set_none); /* from a snapshot made before the set changed */
    world_deliver_all();
    given_up = world_request(2, 6, (world_request_t){.number = 3, .time_ms = time_ms});
    world_assert_reason(given_up, CW_REASON_ID_TOO_OLD);
    ck_assert_uint_eq(world.sent_count, 3);
}
END_TEST

START_TEST(new_range_opens_without_giving_up_ids)
{
    world_route(0, 0, 4, world_set_all, world_set_none);
    world_deliver_all();
    world_request(0, 4, (world_request_t){.number = 1});
    world_deliver_all();
    ck_assert_uint_eq(world.sent_count, 1);
}
END_TEST

START_TEST(set_opened_at_a_minority_is_copied_to_the_rest)
{
    int64_t  time_ms;
    uint64_t finished;

    take_over_with_entries(world_set_other, world_set_all, &time_ms);
    while (world.network[0]->body_case != CW__ENVELOPE__BODY_JOURNAL_COPY) {
        world_deliver_first();
    }
    world.replica_cut[3] = world.replica_cut[4] = true; /* the copies reach replica 2 only */
    world_deliver_all();
    world.replica_cut[3] = world.replica_cut[4] = false;
    world_route(2, 2, 6, world_set_other, world_set_all);
    world_deliver_all();
    world.replica_cut[2] = true;
    finished = world_request(2, 6, (world_request_t){.number = 1, .time_ms = time_ms});
    world_deliver_all();
    world_advance(JOURNAL_TIMEOUT_US / 3);
    world_assert_reason(finished, CW_REASON_NONE);
    ck_assert_uint_eq(world.sent_count, 2);
}
END_TEST

START_TEST(opening_waits_for_a_majority_of_the_former_set)
{
    int64_t  time_ms;
    uint64_t moving;
    uint64_t repeatable;

    world.replica_cut[0] = false;
    take_over_with_entries(world_set_other, world_set_all, &time_ms);
    world.replica_cut[0] = world.replica_cut[1] = true;
    world_deliver_all();
    world_advance(JOURNAL_TIMEOUT_US);
    moving = world_request(1, 5, (world_request_t){.number = 1, .time_ms = time_ms});
    world_assert_reason(moving, CW_REASON_MOVING);
    repeatable = world_request(1, 5, (world_request_t){.number = 7, .repeatable = true});
    ck_assert_uint_eq(world.sent_count, 3);
    world.replica_cut[0] = false;
    world_advance(JOURNAL_TIMEOUT_US);
    world_deliver_all();
    world_respond(2, CW_SERVER_ANSWERED);
    world_assert_reason(repeatable, CW_REASON_NONE);
    moving = world_request(1, 5, (world_request_t){.number = 1, .time_ms = time_ms});
    world_assert_reason(moving, CW_REASON_NONE);
    ck_assert_uint_eq(world.sent_count, 3);
}
END_TEST

int main(void)
{
    Suite   *suite = suite_create("openings of ranges");
    TCase   *tests = tcase_create("openings of ranges");
    SRunner *runner = srunner_create(suite);
    int      failed;

    tcase_add_checked_fixture(tests, setup, world_destroy);
    tcase_add_loop_test(tests, entries_are_copied_before_the_range_opens, 0, 2);
    tcase_add_test(tests, set_that_was_never_opened_is_not_trusted);
    tcase_add_test(tests, ids_are_given_up_when_the_former_set_is_lost);
    tcase_add_test(tests, routes_taken_back_to_an_older_set_are_not_trusted);
    tcase_add_test(tests, new_range_opens_without_giving_up_ids);
    tcase_add_test(tests, set_opened_at_a_minority_is_copied_to_the_rest);
    tcase_add_test(tests, opening_waits_for_a_majority_of_the_former_set);
    suite_add_tcase(suite, tests);
    srunner_run_all(runner, CK_NORMAL);
    failed = srunner_ntests_failed(runner);
    srunner_free(runner);
    return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
