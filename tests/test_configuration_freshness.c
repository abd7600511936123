/**
 * @file test_configuration_freshness.c
 * @brief Evidence that the configuration in force is the newest one, and when a node in each role checks it.
 */
#include <check.h>
#include <stdlib.h>

#include "loop_fixture.h"
#include "model/configuration_timing.h"
#include "router/configuration_freshness.h"

enum { WITHIN_S = 2, START_S = 100 };

static cw_configuration_freshness_t with_version(uint64_t version)
{
    cw_configuration_freshness_t freshness;

    cw_configuration_freshness_init(&freshness, CW_SECONDS(WITHIN_S));
    cw_configuration_freshness_set(&freshness, version);
    return freshness;
}

static cw_time_us_t watch(const cw_configuration_freshness_t *freshness, cw_configuration_role_t role, cw_time_us_t now)
{
    return cw_configuration_freshness_watch(freshness, role, now);
}

START_TEST(a_node_without_evidence_checks_in_every_role)
{
    cw_configuration_freshness_t freshness = with_version(4);
    cw_time_us_t                 now = CW_SECONDS(START_S);

    ck_assert_int_gt(watch(&freshness, CW_CONFIGURATION_FOLLOWER, now), 0);
    ck_assert_int_gt(watch(&freshness, CW_CONFIGURATION_READER, now), 0);
    ck_assert_int_le(watch(&freshness, CW_CONFIGURATION_READER, now), watch(&freshness, CW_CONFIGURATION_CHECKER, now));
}
END_TEST

START_TEST(with_fresh_evidence_followers_do_not_watch_and_readers_wait_long_but_the_checker_checks)
{
    cw_configuration_freshness_t freshness = with_version(4);
    cw_time_us_t                 now = CW_SECONDS(START_S);

    cw_configuration_freshness_confirm(&freshness, 4, now);
    ck_assert_int_eq(watch(&freshness, CW_CONFIGURATION_FOLLOWER, now), 0);
    ck_assert_int_gt(watch(&freshness, CW_CONFIGURATION_READER, now), CW_SECONDS(20));
    ck_assert_int_lt(watch(&freshness, CW_CONFIGURATION_CHECKER, now), CW_SECONDS(WITHIN_S) / 2);
}
END_TEST

/* A watch that is never answered, a read, and sending to the other nodes have to fit into the time for a change. */
START_TEST(readers_and_then_followers_check_early_enough)
{
    cw_configuration_freshness_t freshness = with_version(4);
    cw_time_us_t                 now = CW_SECONDS(START_S);
    cw_time_us_t                 reader_at = now;
    cw_time_us_t                 follower_at = now;

    cw_configuration_freshness_confirm(&freshness, 4, now);
    while (watch(&freshness, CW_CONFIGURATION_READER, reader_at) > CW_SECONDS(1)) {
        reader_at += CW_MS(1);
    }
    while (watch(&freshness, CW_CONFIGURATION_FOLLOWER, follower_at) == 0) {
        follower_at += CW_MS(1);
    }
    ck_assert_int_lt(reader_at, follower_at);
    ck_assert_int_lt(follower_at - now, CW_SECONDS(WITHIN_S) * 3 / 4);
}
END_TEST

/* Age of the evidence, in percent of the time for a change, at which a node in this role begins to check. */
static int64_t doubt_percent(cw_configuration_role_t role)
{
    cw_configuration_freshness_t freshness = with_version(4);
    cw_time_us_t                 now = CW_SECONDS(START_S);
    cw_time_us_t                 usual;

    cw_configuration_freshness_confirm(&freshness, 4, now);
    usual = watch(&freshness, role, now);
    while (watch(&freshness, role, now) == usual) {
        now += CW_MS(1);
    }
    return (now - CW_SECONDS(START_S)) * 100 / CW_SECONDS(WITHIN_S);
}

static int64_t hold_percent(cw_configuration_role_t role)
{
    cw_configuration_freshness_t freshness = with_version(4);

    return watch(&freshness, role, CW_SECONDS(START_S)) * 100 / CW_SECONDS(WITHIN_S);
}

/* Guards against: a node in doubt begins a call that gets no answer, and gives it up only after the time for a change
 * is over. Each sum: doubt, the lost call, a pause, a reading that is answered within what is left. */
START_TEST(one_lost_call_to_the_store_fits_into_the_time_for_a_change)
{
    int64_t lost_call = CW_CONFIGURATION_SLACK_PERCENT + CW_CONFIGURATION_RETRY_PERCENT;

    ck_assert_int_le(doubt_percent(CW_CONFIGURATION_FOLLOWER) + hold_percent(CW_CONFIGURATION_FOLLOWER) + lost_call,
                     95);
    ck_assert_int_le(doubt_percent(CW_CONFIGURATION_READER) + hold_percent(CW_CONFIGURATION_READER) + lost_call +
                         CW_CONFIGURATION_SENDING_PERCENT,
                     95);
    ck_assert_int_le(hold_percent(CW_CONFIGURATION_CHECKER) + 2 * lost_call + CW_CONFIGURATION_SENDING_PERCENT, 95);
    ck_assert_int_le(CW_CONFIGURATION_EXCHANGE_PERCENT + lost_call, 95);
}
END_TEST

/* Guards against: evidence that nodes send each other grows younger with each datagram's delay, and never grows old on
 * slow nodes although none of them asks the store. */
START_TEST(evidence_is_passed_on_in_one_direction)
{
    ck_assert(!cw_configuration_role_takes_readers_evidence(CW_CONFIGURATION_CHECKER));
    ck_assert(!cw_configuration_role_takes_readers_evidence(CW_CONFIGURATION_READER));
    ck_assert(cw_configuration_role_takes_readers_evidence(CW_CONFIGURATION_FOLLOWER));
}
END_TEST

/* Guards against: while versions follow one another, or a large one is being received, each node asks the store for
 * what it knows already. */
START_TEST(a_node_that_knows_of_the_newest_version_does_not_ask_the_store_for_it)
{
    cw_configuration_freshness_t freshness = with_version(4);
    cw_time_us_t                 now = CW_SECONDS(START_S);
    cw_time_us_t                 later = now + CW_SECONDS(WITHIN_S);

    cw_configuration_freshness_confirm(&freshness, 4, now);
    cw_configuration_freshness_confirm(&freshness, 9, later);
    ck_assert_int_eq(watch(&freshness, CW_CONFIGURATION_FOLLOWER, later), 0);
    ck_assert_int_eq(cw_configuration_freshness_age(&freshness, later), CW_SECONDS(WITHIN_S)); /* stated to others */
    ck_assert_int_gt(watch(&freshness, CW_CONFIGURATION_FOLLOWER, later + CW_SECONDS(WITHIN_S)), 0);
}
END_TEST

START_TEST(evidence_for_a_version_not_in_force_counts_only_once_it_is)
{
    cw_configuration_freshness_t freshness = with_version(4);
    cw_time_us_t                 now = CW_SECONDS(START_S);

    cw_configuration_freshness_confirm(&freshness, 9, now);
    ck_assert_int_ge(cw_configuration_freshness_age(&freshness, now), now);
    cw_configuration_freshness_set(&freshness, 7);
    ck_assert_int_ge(cw_configuration_freshness_age(&freshness, now), now);
    cw_configuration_freshness_set(&freshness, 11);
    ck_assert_int_eq(cw_configuration_freshness_age(&freshness, now), 0);
}
END_TEST

START_TEST(evidence_for_an_older_version_counts_and_never_lowers_complete_at)
{
    cw_configuration_freshness_t freshness = with_version(8);
    cw_time_us_t                 now = CW_SECONDS(START_S);

    cw_configuration_freshness_confirm(&freshness, 6, now);
    ck_assert_int_eq(cw_configuration_freshness_age(&freshness, now), 0);
    cw_configuration_freshness_confirm(&freshness, 8, now - CW_SECONDS(1));
    ck_assert_int_eq(cw_configuration_freshness_age(&freshness, now), 0);
    cw_configuration_freshness_confirm(&freshness, 9, now + CW_SECONDS(1));
    ck_assert_int_eq(cw_configuration_freshness_age(&freshness, now), 0);
}
END_TEST

START_TEST(ages_are_passed_between_nodes_and_an_unknown_age_stays_unknown)
{
    cw_configuration_freshness_t here = with_version(8);
    cw_configuration_freshness_t there = with_version(8);
    cw_time_us_t                 now = CW_SECONDS(START_S);

    cw_configuration_freshness_unpack(&there, 8, cw_configuration_freshness_pack(&here, now), now);
    ck_assert_int_eq(there.complete_at, 0);
    cw_configuration_freshness_confirm(&here, 8, now - CW_MS(300));
    cw_configuration_freshness_unpack(&there, 8, cw_configuration_freshness_pack(&here, now), now);
    ck_assert_int_eq(cw_configuration_freshness_age(&there, now), CW_MS(300));
}
END_TEST

int main(void)
{
    Suite *suite = suite_create("configuration freshness");
    TCase *cases = tcase_create("freshness");

    tcase_add_test(cases, a_node_without_evidence_checks_in_every_role);
    tcase_add_test(cases, with_fresh_evidence_followers_do_not_watch_and_readers_wait_long_but_the_checker_checks);
    tcase_add_test(cases, readers_and_then_followers_check_early_enough);
    tcase_add_test(cases, one_lost_call_to_the_store_fits_into_the_time_for_a_change);
    tcase_add_test(cases, evidence_is_passed_on_in_one_direction);
    tcase_add_test(cases, a_node_that_knows_of_the_newest_version_does_not_ask_the_store_for_it);
    tcase_add_test(cases, evidence_for_a_version_not_in_force_counts_only_once_it_is);
    tcase_add_test(cases, evidence_for_an_older_version_counts_and_never_lowers_complete_at);
    tcase_add_test(cases, ages_are_passed_between_nodes_and_an_unknown_age_stays_unknown);
    suite_add_tcase(suite, cases);
    return cw_test_main(suite);
}
