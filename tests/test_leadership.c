/**
 * @file test_leadership.c
 * @brief Tests of the leader's lock: which node may take it at which time, and when authority ends.
 */
#include <stdio.h>
#include <string.h>

#include "lease/leadership.h"
#include "loop_fixture.h"

#define HOLD CW_MS(3000)

static cw_leadership_settings_t settings_of(const char *node, uint64_t incarnation)
{
    cw_leadership_settings_t settings = {.incarnation = incarnation,
                                         .hold = HOLD,
                                         .renew_every = CW_MS(750),
                                         .heartbeat_timeout = CW_MS(900),
                                         .read_every = CW_MS(400),
                                         .is_first_start = true};

    snprintf(settings.node, sizeof(settings.node), "%s", node);
    snprintf(settings.address, sizeof(settings.address), "10.0.0.1");
    return settings;
}

static cw_leadership_t new_leadership(const char *node, uint64_t incarnation, cw_time_us_t now)
{
    cw_leadership_t          leadership;
    cw_leadership_settings_t settings = settings_of(node, incarnation);

    cw_leadership_init(&leadership, &settings, now);
    return leadership;
}

static void reply(cw_leadership_t *leadership, cw_store_result_t result, uint64_t revision, const cw_lock_t *lock,
                  cw_time_us_t now)
{
    cw_store_reply_t answer = {.result = result, .epoch = cw_store_revision_epoch(revision), .revision = revision};

    answer.value = lock == NULL ? NULL : cw_lock_to_json(lock);
    cw_leadership_replied(leadership, leadership->call, &answer, now);
    json_decref(answer.value);
}

static cw_lock_t lock_of(const char *node, uint64_t incarnation, uint64_t term)
{
    cw_lock_t lock = {.incarnation = incarnation, .term = term, .beat = 5};

    snprintf(lock.node, sizeof(lock.node), "%s", node);
    snprintf(lock.address, sizeof(lock.address), "10.0.0.2");
    return lock;
}

/* Returns a leader that has created the lock at `now`. */
static cw_leadership_t new_leader(cw_time_us_t now)
{
    cw_leadership_t leadership = new_leadership("n1", 11, now);

    ck_assert_int_eq(cw_leadership_tick(&leadership, now), CW_LEADERSHIP_READ);
    reply(&leadership, CW_STORE_NOT_FOUND, 0, NULL, now);
    ck_assert_int_eq(cw_leadership_tick(&leadership, now), CW_LEADERSHIP_CREATE);
    reply(&leadership, CW_STORE_DONE, 1, NULL, now);
    ck_assert(cw_leadership_has_authority(&leadership, now));
    return leadership;
}

START_TEST(authority_counts_from_the_sending_of_the_acknowledged_write)
{
    cw_leadership_t leadership = new_leader(0);
    cw_time_us_t    sent = CW_MS(800);

    ck_assert_int_eq(cw_leadership_tick(&leadership, sent), CW_LEADERSHIP_REPLACE);
    reply(&leadership, CW_STORE_DONE, 2, NULL, sent + CW_MS(600));
    ck_assert(cw_leadership_has_authority(&leadership, sent + HOLD - 1));
    ck_assert(!cw_leadership_has_authority(&leadership, sent + HOLD));
}
END_TEST

START_TEST(an_unanswered_write_gives_no_authority_even_when_it_was_done)
{
    cw_leadership_t leadership = new_leader(0);
    cw_lock_t       written;

    ck_assert_int_eq(cw_leadership_tick(&leadership, CW_MS(800)), CW_LEADERSHIP_REPLACE);
    written = leadership.write;
    reply(&leadership, CW_STORE_UNKNOWN, 0, NULL, CW_MS(2000));
    ck_assert_int_eq(cw_leadership_tick(&leadership, CW_MS(2100)), CW_LEADERSHIP_READ);
    reply(&leadership, CW_STORE_DONE, 2, &written, CW_MS(2200));
    ck_assert(leadership.leading);
    ck_assert(!cw_leadership_has_authority(&leadership, HOLD));
    ck_assert_int_eq(cw_leadership_tick(&leadership, CW_MS(2200)), CW_LEADERSHIP_REPLACE);
    ck_assert_uint_eq(leadership.revision, 2);
    reply(&leadership, CW_STORE_DONE, 3, NULL, CW_MS(2300));
    ck_assert(cw_leadership_has_authority(&leadership, CW_MS(2200) + HOLD - 1));
}
END_TEST

START_TEST(a_follower_waits_until_the_unchanged_lock_has_expired)
{
    cw_leadership_t leadership = new_leadership("n1", 11, 0);
    cw_lock_t       lock = lock_of("n2", 22, 4);
    cw_time_us_t    now = 0;

    while (now < HOLD + CW_MS(50)) {
        if (cw_leadership_tick(&leadership, now) != CW_LEADERSHIP_WAIT) {
            ck_assert_int_eq(leadership.pending, CW_LEADERSHIP_READ);
            reply(&leadership, CW_STORE_DONE, 9, &lock, now);
        }
        now += CW_MS(10);
    }
    while (cw_leadership_tick(&leadership, now) != CW_LEADERSHIP_REPLACE) {
        if (leadership.pending != CW_LEADERSHIP_WAIT) {
            reply(&leadership, CW_STORE_DONE, 9, &lock, now);
        }
        now += CW_MS(10);
    }
    ck_assert_int_ge(now, HOLD * 102 / 100);
    ck_assert_uint_eq(leadership.revision, 9);
    ck_assert_uint_eq(leadership.write.term, 5);
}
END_TEST

START_TEST(a_changed_revision_restarts_the_wait)
{
    cw_leadership_t leadership = new_leadership("n1", 11, 0);
    cw_lock_t       lock = lock_of("n2", 22, 4);

    ck_assert_int_eq(cw_leadership_tick(&leadership, 0), CW_LEADERSHIP_READ);
    reply(&leadership, CW_STORE_DONE, 9, &lock, 0);
    ck_assert_int_eq(cw_leadership_tick(&leadership, CW_MS(2900)), CW_LEADERSHIP_READ);
    reply(&leadership, CW_STORE_DONE, 10, &lock, CW_MS(2900));
    ck_assert_int_ne(cw_leadership_tick(&leadership, CW_MS(3400)), CW_LEADERSHIP_REPLACE);
}
END_TEST

START_TEST(the_lock_of_an_earlier_incarnation_of_this_node_is_taken_immediately)
{
    cw_leadership_t leadership = new_leadership("n1", 11, 0);
    cw_lock_t       lock = lock_of("n1", 10, 4);

    ck_assert_int_eq(cw_leadership_tick(&leadership, 0), CW_LEADERSHIP_READ);
    reply(&leadership, CW_STORE_DONE, 9, &lock, 0);
    ck_assert_int_eq(cw_leadership_tick(&leadership, CW_MS(400)), CW_LEADERSHIP_REPLACE);
}
END_TEST

START_TEST(a_leader_whose_heartbeats_arrive_keeps_the_lock)
{
    cw_leadership_t leadership = new_leadership("n1", 11, 0);
    cw_time_us_t    now;

    for (now = 0; now < CW_SECONDS(20); now += CW_MS(100)) {
        cw_leadership_receive_heartbeat(&leadership, 3, 9, true, now);
        ck_assert_int_eq(cw_leadership_tick(&leadership, now), CW_LEADERSHIP_WAIT);
    }
}
END_TEST

START_TEST(the_lock_is_read_when_heartbeats_have_no_authority)
{
    cw_leadership_t leadership = new_leadership("n1", 11, 0);

    cw_leadership_receive_heartbeat(&leadership, 3, 9, true, 0);
    cw_leadership_receive_heartbeat(&leadership, 3, 9, false, CW_MS(1000));
    ck_assert_int_eq(cw_leadership_tick(&leadership, CW_MS(1000)), CW_LEADERSHIP_READ);
}
END_TEST

START_TEST(a_conflict_with_another_holder_ends_authority)
{
    cw_leadership_t leadership = new_leader(0);
    cw_lock_t       lock = lock_of("n2", 22, 2);

    ck_assert_int_eq(cw_leadership_tick(&leadership, CW_MS(800)), CW_LEADERSHIP_REPLACE);
    reply(&leadership, CW_STORE_CONFLICT, 7, &lock, CW_MS(900));
    ck_assert(!leadership.leading);
    ck_assert(!cw_leadership_has_authority(&leadership, CW_MS(900)));
}
END_TEST

START_TEST(resigning_ends_authority_immediately_and_writes_a_vacant_lock)
{
    cw_leadership_t leadership = new_leader(0);

    cw_leadership_resign(&leadership, CW_MS(100));
    ck_assert(!cw_leadership_has_authority(&leadership, CW_MS(100)));
    ck_assert_int_eq(cw_leadership_tick(&leadership, CW_MS(100)), CW_LEADERSHIP_REPLACE);
    ck_assert(leadership.write.vacant);
    reply(&leadership, CW_STORE_DONE, 2, NULL, CW_MS(110));
    ck_assert(!leadership.leading);
    ck_assert_int_eq(cw_leadership_tick(&leadership, CW_SECONDS(60)), CW_LEADERSHIP_WAIT);
}
END_TEST

START_TEST(a_vacant_lock_is_taken_immediately)
{
    cw_leadership_t leadership = new_leadership("n1", 11, 0);
    cw_lock_t       lock = lock_of("n2", 22, 4);

    lock.vacant = true;
    ck_assert_int_eq(cw_leadership_tick(&leadership, 0), CW_LEADERSHIP_READ);
    reply(&leadership, CW_STORE_DONE, 9, &lock, 0);
    ck_assert_int_eq(cw_leadership_tick(&leadership, 0), CW_LEADERSHIP_REPLACE);
}
END_TEST

START_TEST(an_unreadable_lock_is_taken_only_after_a_hold)
{
    cw_leadership_t  leadership = new_leadership("n1", 11, 0);
    cw_lock_t        lock = lock_of("n2", 22, 4);
    cw_store_reply_t answer = {.result = CW_STORE_DONE, .revision = 10};
    cw_time_us_t     now = CW_MS(400);

    ck_assert_int_eq(cw_leadership_tick(&leadership, 0), CW_LEADERSHIP_READ);
    reply(&leadership, CW_STORE_DONE, 9, &lock, 0);
    ck_assert_int_eq(cw_leadership_tick(&leadership, now), CW_LEADERSHIP_READ);
    answer.value = json_pack("{s:s}", "holder", "of another form");
    cw_leadership_replied(&leadership, leadership.call, &answer, now);
    for (; now < CW_MS(400) + HOLD; now += CW_MS(20)) { /* the writer may have authority until this time */
        cw_leadership_action_t action = cw_leadership_tick(&leadership, now);

        ck_assert_int_ne(action, CW_LEADERSHIP_REPLACE);
        if (action == CW_LEADERSHIP_READ) {
            cw_leadership_replied(&leadership, leadership.call, &answer, now);
        }
    }
    now += CW_MS(500);
    if (cw_leadership_tick(&leadership, now) == CW_LEADERSHIP_READ) {
        cw_leadership_replied(&leadership, leadership.call, &answer, now);
        ck_assert_int_eq(cw_leadership_tick(&leadership, now), CW_LEADERSHIP_REPLACE);
    }
    ck_assert_uint_eq(leadership.write.term, 5); /* above the last term that is known */
    json_decref(answer.value);
}
END_TEST

START_TEST(an_unreadable_lock_is_taken_with_a_term_above_that_of_heartbeats)
{
    cw_leadership_t  leadership = new_leadership("n1", 11, 0);
    cw_lock_t        lock = lock_of("n2", 22, 4);
    cw_store_reply_t answer = {.result = CW_STORE_DONE, .revision = 10};
    cw_time_us_t     now = CW_MS(1500);

    ck_assert_int_eq(cw_leadership_tick(&leadership, 0), CW_LEADERSHIP_READ);
    reply(&leadership, CW_STORE_DONE, 9, &lock, 0);
    /* The lock is not read while heartbeats arrive. */
    cw_leadership_receive_heartbeat(&leadership, 7, 9, true, CW_MS(500));
    answer.value = json_pack("{s:s}", "holder", "of another form");
    for (; now < CW_SECONDS(10); now += CW_MS(20)) {
        cw_leadership_action_t action = cw_leadership_tick(&leadership, now);

        if (action == CW_LEADERSHIP_REPLACE) {
            break;
        }
        if (action == CW_LEADERSHIP_READ) {
            cw_leadership_replied(&leadership, leadership.call, &answer, now);
        }
    }
    ck_assert_uint_eq(leadership.write.term, 8);
    json_decref(answer.value);
}
END_TEST

START_TEST(a_node_lets_a_more_capable_one_try_first)
{
    cw_leadership_t leadership = new_leadership("n1", 11, 0);
    cw_lock_t       lock = lock_of("n2", 22, 4);

    cw_leadership_set_take_delay(&leadership, CW_MS(500));
    lock.vacant = true;
    ck_assert_int_eq(cw_leadership_tick(&leadership, 0), CW_LEADERSHIP_READ);
    reply(&leadership, CW_STORE_DONE, 9, &lock, 0);
    /* The lock may be taken later; until that time it is not read in every tick. */
    ck_assert_int_eq(cw_leadership_tick(&leadership, CW_MS(20)), CW_LEADERSHIP_WAIT);
    ck_assert_int_eq(cw_leadership_tick(&leadership, CW_MS(400)), CW_LEADERSHIP_READ);
    reply(&leadership, CW_STORE_DONE, 9, &lock, CW_MS(400));
    ck_assert_int_eq(cw_leadership_tick(&leadership, CW_MS(800)), CW_LEADERSHIP_REPLACE);
}
END_TEST

START_TEST(a_node_takes_its_own_earlier_lock_immediately_despite_a_more_capable_one)
{
    cw_leadership_t leadership = new_leadership("n1", 11, 0);
    cw_lock_t       lock = lock_of("n1", 10, 4);

    cw_leadership_set_take_delay(&leadership, CW_MS(500));
    ck_assert_int_eq(cw_leadership_tick(&leadership, 0), CW_LEADERSHIP_READ);
    reply(&leadership, CW_STORE_DONE, 9, &lock, 0);
    ck_assert_int_eq(cw_leadership_tick(&leadership, CW_MS(400)), CW_LEADERSHIP_REPLACE);
}
END_TEST

START_TEST(after_stepping_down_a_node_follows_and_may_lead_again_later)
{
    cw_leadership_t leadership = new_leader(0);
    cw_lock_t       vacant;

    cw_leadership_step_down(&leadership, CW_MS(100), CW_SECONDS(6));
    ck_assert_int_eq(cw_leadership_tick(&leadership, CW_MS(100)), CW_LEADERSHIP_REPLACE);
    vacant = leadership.write;
    reply(&leadership, CW_STORE_DONE, 2, NULL, CW_MS(110));
    ck_assert_int_eq(cw_leadership_tick(&leadership, CW_SECONDS(5)), CW_LEADERSHIP_WAIT);
    ck_assert_int_ne(cw_leadership_tick(&leadership, CW_SECONDS(7)), CW_LEADERSHIP_WAIT);
    (void)vacant;
}
END_TEST

START_TEST(a_lock_is_decoded_as_encoded)
{
    cw_lock_t lock = lock_of("n2", 0xfedcba9876543210u, 4);
    cw_lock_t back;
    json_t   *value = cw_lock_to_json(&lock);

    memset(&back, 0, sizeof(back));
    ck_assert(cw_lock_from_json(&back, value));
    ck_assert_str_eq(back.node, "n2");
    ck_assert(back.incarnation == lock.incarnation);
    ck_assert_uint_eq(back.term, 4);
    json_object_del(value, "term");
    ck_assert(!cw_lock_from_json(&back, value));
    json_decref(value);
}
END_TEST

/* Returns the number of calls in a time in which the store answers none of them. */
static unsigned int count_calls(cw_leadership_t *leadership, cw_time_us_t from, cw_time_us_t time)
{
    unsigned int calls = 0;
    cw_time_us_t now;

    for (now = from; now < from + time; now += CW_MS(20)) {
        if (cw_leadership_tick(leadership, now) != CW_LEADERSHIP_WAIT) {
            calls++;
            reply(leadership, CW_STORE_UNKNOWN, 0, NULL, now);
        }
    }
    return calls;
}

START_TEST(followers_call_an_unresponsive_store_less_and_less_often)
{
    cw_leadership_t alone = new_leadership("n1", 11, 0);
    cw_leadership_t one_of_many = new_leadership("n1", 11, 0);

    cw_leadership_set_followers(&one_of_many, 80);
    ck_assert_uint_le(count_calls(&alone, 0, CW_SECONDS(4)), 14);
    ck_assert_uint_le(count_calls(&one_of_many, 0, CW_SECONDS(4)), 7);
}
END_TEST

START_TEST(nodes_that_start_together_read_the_lock_at_different_times)
{
    cw_leadership_settings_t settings = settings_of("n1", 700123);
    cw_leadership_t          leadership;

    settings.first_read_within = CW_SECONDS(1);
    cw_leadership_init(&leadership, &settings, CW_SECONDS(5));
    ck_assert_int_eq(cw_leadership_tick(&leadership, CW_SECONDS(5) + 700122), CW_LEADERSHIP_WAIT);
    /* Another node has become the leader. */
    cw_leadership_receive_heartbeat(&leadership, 1, 9, true, CW_SECONDS(5) + 600000);
    ck_assert_int_eq(cw_leadership_tick(&leadership, CW_SECONDS(5) + 700123), CW_LEADERSHIP_WAIT);
    cw_leadership_init(&leadership, &settings, CW_SECONDS(5));
    ck_assert_int_eq(cw_leadership_tick(&leadership, CW_SECONDS(5) + 700123), CW_LEADERSHIP_READ);
}
END_TEST

START_TEST(followers_read_a_vacant_lock_at_different_times)
{
    cw_leadership_t follower = new_leadership("n1", 111111, 0);

    cw_leadership_set_followers(&follower, 80);
    cw_leadership_receive_heartbeat(&follower, 1, 9, true, CW_SECONDS(1));
    cw_leadership_receive_step_down(&follower, CW_SECONDS(1));
    ck_assert_int_eq(cw_leadership_tick(&follower, CW_SECONDS(1) + CW_MS(50)), CW_LEADERSHIP_WAIT);
    ck_assert_int_eq(cw_leadership_tick(&follower, CW_SECONDS(1) + CW_MS(50) + 111111), CW_LEADERSHIP_READ);
}
END_TEST

START_TEST(a_leader_keeps_trying_to_renew_its_lease)
{
    cw_leadership_t leader = new_leader(0);
    unsigned int    calls = count_calls(&leader, 0, HOLD);

    ck_assert_uint_ge(calls, 8);
    ck_assert_uint_le(calls, 15);
}
END_TEST

/* Returns a follower that has read the lock once: another node holds it, with revision 7. */
static cw_leadership_t new_follower(uint32_t followers, cw_time_us_t now)
{
    cw_leadership_t leadership = new_leadership("n2", 22, now);
    cw_lock_t       lock = lock_of("n1", 11, 3);

    cw_leadership_set_followers(&leadership, followers);
    ck_assert_int_eq(cw_leadership_tick(&leadership, now), CW_LEADERSHIP_READ);
    reply(&leadership, CW_STORE_DONE, 7, &lock, now);
    return leadership;
}

START_TEST(with_many_followers_an_old_read_is_repeated_before_the_lock_is_taken)
{
    cw_time_us_t    now = CW_SECONDS(100);
    cw_leadership_t leadership = new_follower(300, now);
    cw_lock_t       lock = lock_of("n1", 11, 3);

    now += CW_SECONDS(8); /* the hold has expired long ago */
    ck_assert_int_eq(cw_leadership_tick(&leadership, now), CW_LEADERSHIP_READ);
    reply(&leadership, CW_STORE_DONE, 7, &lock, now);
    ck_assert_int_eq(cw_leadership_tick(&leadership, now), CW_LEADERSHIP_REPLACE);
}
END_TEST

START_TEST(an_old_copy_of_the_lock_is_ignored)
{
    cw_time_us_t    now = CW_SECONDS(100);
    cw_leadership_t leadership = new_follower(4, now);
    cw_lock_t       older = lock_of("n0", 9, 2);

    now += CW_MS(1000);
    ck_assert_int_eq(cw_leadership_tick(&leadership, now), CW_LEADERSHIP_READ);
    reply(&leadership, CW_STORE_DONE, 5, &older, now);
    ck_assert_uint_eq(leadership.revision, 7);
    ck_assert_str_eq(leadership.lock.node, "n1");
    ck_assert_int_eq(leadership.seen_at, CW_SECONDS(100));
}
END_TEST

START_TEST(the_lock_of_an_earlier_incarnation_is_taken_right_after_the_read)
{
    cw_time_us_t    now = CW_SECONDS(100);
    cw_leadership_t leadership = new_leadership("n2", 22, now);
    cw_lock_t       lock = lock_of("n2", 21, 3);

    cw_leadership_set_followers(&leadership, 300);
    ck_assert_int_eq(cw_leadership_tick(&leadership, now), CW_LEADERSHIP_READ);
    reply(&leadership, CW_STORE_DONE, 7, &lock, now);
    ck_assert_int_eq(cw_leadership_tick(&leadership, now), CW_LEADERSHIP_REPLACE);
}
END_TEST

START_TEST(a_deferring_node_reads_the_lock_a_hold_later)
{
    cw_time_us_t    now = CW_SECONDS(100);
    cw_leadership_t leadership = new_follower(4, now);

    cw_leadership_receive_heartbeat(&leadership, 3, 7, true, now);
    cw_leadership_set_take_delay(&leadership, CW_MS(500));
    ck_assert_int_eq(cw_leadership_tick(&leadership, now + HOLD), CW_LEADERSHIP_WAIT);
    ck_assert_int_ne(cw_leadership_tick(&leadership, now + HOLD + CW_MS(900)), CW_LEADERSHIP_WAIT);
}
END_TEST

/* ---- restores of the store ---- */

/* Returns the revision of a count in an epoch. */
static uint64_t at(uint64_t epoch, uint64_t count)
{
    return cw_store_revision_join(epoch, count);
}

/* The store has no lock in this epoch. */
static void reply_absent(cw_leadership_t *leadership, uint64_t epoch, cw_time_us_t now)
{
    cw_store_reply_t answer = {.result = CW_STORE_NOT_FOUND, .epoch = epoch};

    cw_leadership_replied(leadership, leadership->call, &answer, now);
}

/* Returns a follower that has read this lock in epoch 1 at time 0. */
static cw_leadership_t new_follower_of(const cw_lock_t *lock)
{
    cw_leadership_t leadership = new_leadership("n1", 11, 0);

    ck_assert_int_eq(cw_leadership_tick(&leadership, 0), CW_LEADERSHIP_READ);
    reply(&leadership, CW_STORE_DONE, at(1, 50), lock, 0);
    return leadership;
}

/* Returns a leader that took the lock in epoch 1 at time 0, with authority until HOLD. */
static cw_leadership_t new_leader_in_epoch(void)
{
    cw_leadership_t leadership = new_leadership("n1", 11, 0);

    ck_assert_int_eq(cw_leadership_tick(&leadership, 0), CW_LEADERSHIP_READ);
    reply_absent(&leadership, 1, 0);
    ck_assert_int_eq(cw_leadership_tick(&leadership, 0), CW_LEADERSHIP_CREATE);
    reply(&leadership, CW_STORE_DONE, at(1, 50), NULL, 0);
    ck_assert(cw_leadership_has_authority(&leadership, HOLD - 1));
    return leadership;
}

/* Answers reads with this lock until the node writes it. Returns the time of the write. */
static cw_time_us_t time_of_take(cw_leadership_t *leadership, uint64_t revision, const cw_lock_t *lock,
                                 cw_time_us_t now)
{
    while (cw_leadership_tick(leadership, now) != CW_LEADERSHIP_REPLACE) {
        if (leadership->pending != CW_LEADERSHIP_WAIT) {
            reply(leadership, CW_STORE_DONE, revision, lock, now);
        }
        now += CW_MS(10);
    }
    return now;
}

START_TEST(the_lock_of_a_copy_is_taken_only_after_a_hold)
{
    cw_lock_t       lock = lock_of("n2", 22, 4);
    cw_leadership_t leadership = new_follower_of(&lock);
    cw_time_us_t    restored = CW_SECONDS(20); /* the lock of before is unchanged for long */

    lock.epoch_stamp = cw_store_epoch_stamp(1);
    ck_assert(cw_leadership_observe_epoch(&leadership, 2, restored));
    ck_assert_int_ge(time_of_take(&leadership, at(2, 40), &lock, restored), restored + HOLD * 102 / 100);
    ck_assert_uint_eq(leadership.revision, at(2, 40));
    ck_assert_uint_gt(leadership.write.term, 4 + 1000); /* terms of the lost state are not used again */
    ck_assert_uint_eq(leadership.write.epoch_stamp, cw_store_epoch_stamp(2));
}
END_TEST

START_TEST(a_vacant_lock_of_a_copy_is_taken_only_after_a_hold)
{
    cw_lock_t       lock = lock_of("n2", 22, 4);
    cw_leadership_t leadership = new_follower_of(&lock);

    lock.epoch_stamp = cw_store_epoch_stamp(1);
    lock.vacant = true;
    (void)cw_leadership_observe_epoch(&leadership, 2, CW_SECONDS(20));
    ck_assert_int_ge(time_of_take(&leadership, at(2, 40), &lock, CW_SECONDS(20)), CW_SECONDS(20) + HOLD * 102 / 100);
}
END_TEST

START_TEST(the_lock_of_an_earlier_incarnation_in_a_copy_is_taken_only_after_a_hold)
{
    cw_lock_t       lock = lock_of("n1", 10, 4);
    cw_lock_t       other = lock_of("n2", 22, 4);
    cw_leadership_t leadership = new_follower_of(&other);

    lock.epoch_stamp = cw_store_epoch_stamp(1);
    (void)cw_leadership_observe_epoch(&leadership, 2, CW_SECONDS(20));
    ck_assert_int_ge(time_of_take(&leadership, at(2, 40), &lock, CW_SECONDS(20)), CW_SECONDS(20) + HOLD * 102 / 100);
}
END_TEST

START_TEST(a_leader_with_authority_at_a_restore_takes_the_lock_again_at_once)
{
    cw_leadership_t leadership = new_leader_in_epoch();
    cw_lock_t       copy = leadership.lock;
    uint64_t        term = leadership.lock.term;
    cw_time_us_t    restored = HOLD - CW_MS(100);

    ck_assert(cw_leadership_observe_epoch(&leadership, 2, restored));
    ck_assert_int_eq(cw_leadership_tick(&leadership, restored), CW_LEADERSHIP_READ);
    reply(&leadership, CW_STORE_DONE, at(2, 40), &copy, restored + CW_MS(5));
    ck_assert(leadership.leading);
    ck_assert_int_eq(cw_leadership_tick(&leadership, restored + CW_MS(5)), CW_LEADERSHIP_REPLACE);
    ck_assert_uint_eq(leadership.revision, at(2, 40));
    ck_assert_uint_gt(leadership.write.term, term);
    reply(&leadership, CW_STORE_DONE, at(2, 41), NULL, restored + CW_MS(10));
    ck_assert(cw_leadership_has_authority(&leadership, restored + HOLD));
    ck_assert_int_eq(cw_leadership_tick(&leadership, restored + CW_MS(900)), CW_LEADERSHIP_REPLACE);
    ck_assert_uint_eq(leadership.write.term, leadership.lock.term); /* from then on as usual */
}
END_TEST

/* Lets a leader take the lock of this copy again after a restore. Returns its term. */
static uint64_t term_after_restore(cw_leadership_t *leadership, uint64_t epoch, const cw_lock_t *copy, cw_time_us_t now)
{
    (void)cw_leadership_observe_epoch(leadership, epoch, now);
    ck_assert_int_eq(cw_leadership_tick(leadership, now), CW_LEADERSHIP_READ);
    reply(leadership, CW_STORE_DONE, at(epoch, 40), copy, now);
    ck_assert_int_eq(cw_leadership_tick(leadership, now), CW_LEADERSHIP_REPLACE);
    reply(leadership, CW_STORE_DONE, at(epoch, 41), NULL, now);
    return leadership->lock.term;
}

/* Guards against: a leader that has lived through restores counts earlier ones twice, so that the terms, and with them
 * the fences, of a process that starts later are below (OWNER, review/1). */
START_TEST(terms_after_restores_do_not_depend_on_what_a_process_has_lived_through)
{
    cw_leadership_t living = new_leader_in_epoch();
    cw_lock_t       copy = living.lock;
    cw_leadership_t started;
    uint64_t        first = term_after_restore(&living, 2, &copy, CW_MS(500));
    uint64_t        second = term_after_restore(&living, 3, &copy, CW_MS(1000));

    ck_assert_uint_gt(first, copy.term);
    ck_assert_uint_gt(second, first);
    started = new_leadership("n2", 22, 0);
    ck_assert_int_eq(cw_leadership_tick(&started, 0), CW_LEADERSHIP_READ);
    reply(&started, CW_STORE_DONE, at(4, 40), &copy, 0);
    (void)time_of_take(&started, at(4, 40), &copy, 0);
    ck_assert_uint_gt(started.write.term, second);
}
END_TEST

START_TEST(a_leader_with_authority_creates_a_lost_lock_again_at_once)
{
    cw_leadership_t leadership = new_leader_in_epoch();

    (void)cw_leadership_observe_epoch(&leadership, 2, CW_MS(1000));
    ck_assert_int_eq(cw_leadership_tick(&leadership, CW_MS(1000)), CW_LEADERSHIP_READ);
    reply_absent(&leadership, 2, CW_MS(1005));
    ck_assert_int_eq(cw_leadership_tick(&leadership, CW_MS(1005)), CW_LEADERSHIP_CREATE);
    ck_assert(leadership.leading);
}
END_TEST

START_TEST(a_leader_without_authority_at_a_restore_is_a_follower)
{
    cw_leadership_t leadership = new_leader_in_epoch();
    cw_lock_t       copy = leadership.lock;
    cw_time_us_t    restored = HOLD + CW_MS(100);

    (void)cw_leadership_observe_epoch(&leadership, 2, restored);
    ck_assert_int_eq(cw_leadership_tick(&leadership, restored), CW_LEADERSHIP_READ);
    reply(&leadership, CW_STORE_DONE, at(2, 40), &copy, restored + CW_MS(5));
    ck_assert(!leadership.leading);
    ck_assert_int_ge(time_of_take(&leadership, at(2, 40), &copy, restored + CW_MS(5)), restored + HOLD * 102 / 100);
}
END_TEST

START_TEST(a_leader_whose_authority_ends_before_it_has_taken_the_lock_again_is_a_follower)
{
    cw_leadership_t leadership = new_leader_in_epoch();
    cw_lock_t       copy = leadership.lock;
    cw_time_us_t    restored = HOLD - CW_MS(100);

    (void)cw_leadership_observe_epoch(&leadership, 2, restored);
    ck_assert_int_eq(cw_leadership_tick(&leadership, restored), CW_LEADERSHIP_READ);
    reply(&leadership, CW_STORE_DONE, at(2, 40), &copy, restored + CW_MS(5));
    ck_assert_int_eq(cw_leadership_tick(&leadership, restored + CW_MS(5)), CW_LEADERSHIP_REPLACE);
    reply(&leadership, CW_STORE_REFUSED, 0, NULL, restored + CW_MS(10));
    ck_assert_int_eq(cw_leadership_tick(&leadership, HOLD + CW_MS(200)), CW_LEADERSHIP_READ);
    reply(&leadership, CW_STORE_DONE, at(2, 40), &copy, HOLD + CW_MS(205));
    ck_assert(!leadership.leading);
    ck_assert_int_ge(time_of_take(&leadership, at(2, 40), &copy, HOLD + CW_MS(205)), restored + HOLD * 102 / 100);
}
END_TEST

START_TEST(a_late_write_of_an_earlier_epoch_makes_nobody_the_leader)
{
    cw_leadership_t leadership = new_leader_in_epoch();
    cw_lock_t       other = lock_of("n2", 22, 2000);
    cw_lock_t       late;

    ck_assert_int_eq(cw_leadership_tick(&leadership, CW_MS(800)), CW_LEADERSHIP_REPLACE);
    late = leadership.write;
    reply(&leadership, CW_STORE_UNKNOWN, 0, NULL, CW_MS(2000));
    other.epoch_stamp = cw_store_epoch_stamp(2);
    (void)cw_leadership_observe_epoch(&leadership, 2, CW_SECONDS(8));
    ck_assert_int_eq(cw_leadership_tick(&leadership, CW_SECONDS(8)), CW_LEADERSHIP_READ);
    reply(&leadership, CW_STORE_DONE, at(2, 50), &other, CW_SECONDS(8)); /* the count of the write's condition */
    ck_assert(!leadership.leading);
    ck_assert_int_ge(time_of_take(&leadership, at(2, 51), &late, CW_SECONDS(9)), CW_SECONDS(9) + HOLD * 102 / 100);
    ck_assert_uint_gt(leadership.write.term, 2000);
}
END_TEST

START_TEST(a_write_that_is_done_in_a_later_epoch_gives_no_authority)
{
    cw_leadership_t leadership = new_leader_in_epoch();

    ck_assert_int_eq(cw_leadership_tick(&leadership, CW_MS(2900)), CW_LEADERSHIP_REPLACE);
    reply(&leadership, CW_STORE_DONE, at(2, 51), NULL, CW_MS(2950));
    ck_assert(!cw_leadership_has_authority(&leadership, HOLD));
    ck_assert_int_eq(cw_leadership_tick(&leadership, CW_MS(2950)), CW_LEADERSHIP_READ);
}
END_TEST

START_TEST(a_lock_that_is_lost_is_created_only_after_a_hold)
{
    cw_lock_t       lock = lock_of("n2", 22, 4);
    cw_leadership_t leadership = new_follower_of(&lock);
    cw_time_us_t    now = CW_SECONDS(20);

    (void)cw_leadership_observe_epoch(&leadership, 2, now);
    ck_assert_int_eq(cw_leadership_tick(&leadership, now), CW_LEADERSHIP_READ);
    reply_absent(&leadership, 2, now);
    while (cw_leadership_tick(&leadership, now) != CW_LEADERSHIP_CREATE) {
        now += CW_MS(10);
    }
    ck_assert_int_ge(now, CW_SECONDS(20) + HOLD * 102 / 100);
    ck_assert_uint_gt(leadership.write.term, 4 + 1000);
}
END_TEST

START_TEST(followers_create_a_lost_lock_at_different_times)
{
    cw_lock_t    lock = lock_of("n2", 22, 4);
    cw_time_us_t times[2];
    int          index;

    for (index = 0; index < 2; index++) {
        cw_leadership_t leadership = new_follower_of(&lock);
        cw_time_us_t    now = CW_SECONDS(20);

        leadership.settings.incarnation = index == 0 ? 11 : 1234567;
        cw_leadership_set_followers(&leadership, 1000);
        (void)cw_leadership_observe_epoch(&leadership, 2, now);
        ck_assert_int_eq(cw_leadership_tick(&leadership, now), CW_LEADERSHIP_READ);
        reply_absent(&leadership, 2, now);
        while (cw_leadership_tick(&leadership, now) != CW_LEADERSHIP_CREATE) {
            now += CW_MS(10);
        }
        times[index] = now;
    }
    ck_assert_int_gt(times[1] - times[0], CW_MS(500));
}
END_TEST

START_TEST(a_node_that_starts_later_than_the_fleet_creates_a_missing_lock_only_after_a_hold)
{
    cw_leadership_settings_t settings = settings_of("n1", 11);
    cw_leadership_t          leadership;
    cw_time_us_t             now = CW_MS(500);

    settings.is_first_start = false;
    cw_leadership_init(&leadership, &settings, 0);
    ck_assert_int_eq(cw_leadership_tick(&leadership, now), CW_LEADERSHIP_READ);
    reply_absent(&leadership, 1, now);
    while (cw_leadership_tick(&leadership, now) != CW_LEADERSHIP_CREATE) {
        now += CW_MS(10);
    }
    ck_assert_int_ge(now, CW_MS(500) + HOLD * 102 / 100);
}
END_TEST

START_TEST(a_call_in_flight_at_a_restore_is_given_up)
{
    cw_leadership_t  leadership = new_leader_in_epoch();
    cw_store_reply_t late = {.result = CW_STORE_DONE, .epoch = 1, .revision = at(1, 51)};
    uint64_t         call;

    ck_assert_int_eq(cw_leadership_tick(&leadership, CW_MS(800)), CW_LEADERSHIP_REPLACE);
    call = leadership.call;
    (void)cw_leadership_observe_epoch(&leadership, 2, CW_MS(1500));
    ck_assert_int_eq(cw_leadership_tick(&leadership, CW_MS(1500)), CW_LEADERSHIP_READ);
    cw_leadership_replied(&leadership, call, &late, CW_MS(1600));
    ck_assert_int_eq(leadership.pending, CW_LEADERSHIP_READ);
    ck_assert_uint_eq(leadership.revision, at(1, 50));
}
END_TEST

START_TEST(a_leader_that_finds_a_later_term_takes_one_above_it_if_the_lock_is_its_own)
{
    cw_leadership_t leadership = new_leader_in_epoch();
    cw_lock_t       own = leadership.lock;

    cw_leadership_receive_term(&leadership, 7700, CW_MS(100));
    ck_assert_int_eq(cw_leadership_tick(&leadership, CW_MS(100)), CW_LEADERSHIP_READ);
    reply(&leadership, CW_STORE_DONE, at(1, 50), &own, CW_MS(105));
    ck_assert_int_eq(cw_leadership_tick(&leadership, CW_MS(105)), CW_LEADERSHIP_REPLACE);
    ck_assert_uint_eq(leadership.write.term, 7701);
}
END_TEST

int main(void)
{
    Suite *suite = suite_create("leadership");
    TCase *cases = tcase_create("leadership");

    tcase_add_test(cases, authority_counts_from_the_sending_of_the_acknowledged_write);
    tcase_add_test(cases, an_unanswered_write_gives_no_authority_even_when_it_was_done);
    tcase_add_test(cases, a_follower_waits_until_the_unchanged_lock_has_expired);
    tcase_add_test(cases, a_changed_revision_restarts_the_wait);
    tcase_add_test(cases, the_lock_of_an_earlier_incarnation_of_this_node_is_taken_immediately);
    tcase_add_test(cases, a_leader_whose_heartbeats_arrive_keeps_the_lock);
    tcase_add_test(cases, followers_call_an_unresponsive_store_less_and_less_often);
    tcase_add_test(cases, nodes_that_start_together_read_the_lock_at_different_times);
    tcase_add_test(cases, followers_read_a_vacant_lock_at_different_times);
    tcase_add_test(cases, a_leader_keeps_trying_to_renew_its_lease);
    tcase_add_test(cases, the_lock_is_read_when_heartbeats_have_no_authority);
    tcase_add_test(cases, a_conflict_with_another_holder_ends_authority);
    tcase_add_test(cases, resigning_ends_authority_immediately_and_writes_a_vacant_lock);
    tcase_add_test(cases, a_vacant_lock_is_taken_immediately);
    tcase_add_test(cases, an_unreadable_lock_is_taken_only_after_a_hold);
    tcase_add_test(cases, an_unreadable_lock_is_taken_with_a_term_above_that_of_heartbeats);
    tcase_add_test(cases, a_node_lets_a_more_capable_one_try_first);
    tcase_add_test(cases, a_node_takes_its_own_earlier_lock_immediately_despite_a_more_capable_one);
    tcase_add_test(cases, after_stepping_down_a_node_follows_and_may_lead_again_later);
    tcase_add_test(cases, a_lock_is_decoded_as_encoded);
    tcase_add_test(cases, with_many_followers_an_old_read_is_repeated_before_the_lock_is_taken);
    tcase_add_test(cases, an_old_copy_of_the_lock_is_ignored);
    tcase_add_test(cases, the_lock_of_an_earlier_incarnation_is_taken_right_after_the_read);
    tcase_add_test(cases, a_deferring_node_reads_the_lock_a_hold_later);
    tcase_add_test(cases, the_lock_of_a_copy_is_taken_only_after_a_hold);
    tcase_add_test(cases, a_vacant_lock_of_a_copy_is_taken_only_after_a_hold);
    tcase_add_test(cases, the_lock_of_an_earlier_incarnation_in_a_copy_is_taken_only_after_a_hold);
    tcase_add_test(cases, a_leader_with_authority_at_a_restore_takes_the_lock_again_at_once);
    tcase_add_test(cases, terms_after_restores_do_not_depend_on_what_a_process_has_lived_through);
    tcase_add_test(cases, a_leader_with_authority_creates_a_lost_lock_again_at_once);
    tcase_add_test(cases, a_leader_without_authority_at_a_restore_is_a_follower);
    tcase_add_test(cases, a_leader_whose_authority_ends_before_it_has_taken_the_lock_again_is_a_follower);
    tcase_add_test(cases, a_late_write_of_an_earlier_epoch_makes_nobody_the_leader);
    tcase_add_test(cases, a_write_that_is_done_in_a_later_epoch_gives_no_authority);
    tcase_add_test(cases, a_lock_that_is_lost_is_created_only_after_a_hold);
    tcase_add_test(cases, followers_create_a_lost_lock_at_different_times);
    tcase_add_test(cases, a_node_that_starts_later_than_the_fleet_creates_a_missing_lock_only_after_a_hold);
    tcase_add_test(cases, a_call_in_flight_at_a_restore_is_given_up);
    tcase_add_test(cases, a_leader_that_finds_a_later_term_takes_one_above_it_if_the_lock_is_its_own);
    suite_add_tcase(suite, cases);
    return cw_test_main(suite);
}
