/**
 * @file test_assigner_restore.c
 * @brief Tests that no key gets two owners, and no fence is given twice, after the store has come back from a copy with
 * an earlier record of assignments, or with none.
 */
#include <string.h>

#include "assigner_fixture.h"
#include "loop_fixture.h"
#include "model/store_epoch.h"

static const char *const two[] = {"i-a@10.0.0.1:80", "i-b@10.0.0.2:80", NULL};

static assigner_fixture_t fixture;
static json_t            *copy; /* the record before the move */
static uint64_t           copy_revision;

static const cw_server_entry_t *server(const char *id)
{
    const cw_server_entry_t *entry = cw_server_list_find(fixture.servers, id);

    ck_assert_ptr_nonnull(entry);
    return entry;
}

static void tick_some(void)
{
    int turn;

    for (turn = 0; turn < 4; turn++) {
        assigner_fixture_tick(&fixture, CW_MS(20));
    }
}

/* Moves keys 0 to 99 from i-a to i-b and confirms the orders. */
static void move_keys(void)
{
    cw_assigner_plan_move(fixture.assigner, 0, 99, server("i-b"));
    cw_assigner_plan_write(fixture.assigner, fixture.now);
    tick_some();
    assigner_fixture_answer(&fixture, CW_ORDER_DONE, NULL); /* the release */
    tick_some();
    assigner_fixture_answer(&fixture, CW_ORDER_DONE, NULL); /* the grant */
    ck_assert_str_eq(assigner_fixture_range(&fixture, 50)->owner.id, "i-b");
}

/* A leader in epoch 1 assigns the halves of the keys, a copy is taken, and keys are moved. */
static void setup(void)
{
    assigner_fixture_init(&fixture, 1);
    fixture.epoch = 1;
    assigner_fixture_set_servers(&fixture, two);
    assigner_fixture_settle(&fixture);
    copy = json_deep_copy(fixture.object);
    copy_revision = fixture.revision;
    move_keys();
}

static void teardown(void)
{
    json_decref(copy);
    assigner_fixture_clear(&fixture);
}

static void restore(void)
{
    assigner_fixture_restore(&fixture, json_incref(copy), copy_revision);
}

/* What a new leader knows that has seen the restore just now. */
static void see_loss(void)
{
    fixture.loss.is_seen = true;
    fixture.loss.holds_until = fixture.now + CW_MS(3000) + CW_MS(8260);
}

static uint64_t highest_fence(size_t until)
{
    uint64_t highest = 0;
    size_t   index;

    for (index = 0; index < until; index++) {
        highest = fixture.orders[index].fence > highest ? fixture.orders[index].fence : highest;
    }
    return highest;
}

/* Checks that all grants sent since order `from` have fences above all that were sent before. */
static void check_new_fences(size_t from)
{
    size_t index;

    for (index = from; index < fixture.order_count; index++) {
        ck_assert_uint_gt(fixture.orders[index].fence, highest_fence(from));
    }
}

static uint64_t stored_number(const char *name)
{
    return (uint64_t)json_integer_value(json_object_get(fixture.object, name));
}

START_TEST(a_leader_writes_its_own_state_again_over_the_record_of_a_copy)
{
    size_t sent = fixture.order_count;

    restore();
    cw_assigner_plan_move(fixture.assigner, 100, 199, server("i-b"));
    cw_assigner_plan_write(fixture.assigner, fixture.now);
    tick_some();
    ck_assert_str_eq(assigner_fixture_range(&fixture, 50)->owner.id, "i-b"); /* the lost move is not undone */
    ck_assert_str_eq(assigner_fixture_range(&fixture, 150)->owner.id, "i-b");
    ck_assert_uint_eq(stored_number("epoch"), 2);
    check_new_fences(sent);
}
END_TEST

START_TEST(a_leader_creates_its_record_again_if_the_copy_has_none)
{
    assigner_fixture_restore(&fixture, NULL, 5);
    cw_assigner_plan_move(fixture.assigner, 100, 199, server("i-b"));
    cw_assigner_plan_write(fixture.assigner, fixture.now);
    tick_some();
    ck_assert_ptr_nonnull(fixture.object);
    ck_assert_int_eq(cw_assigner_state(fixture.assigner), CW_ASSIGNER_READY);
    ck_assert_str_eq(assigner_fixture_range(&fixture, 50)->owner.id, "i-b");
}
END_TEST

START_TEST(a_plan_that_was_being_written_at_the_restore_is_written_after_it)
{
    fixture.fail_next = CW_STORE_UNKNOWN;
    fixture.done_before_fail = true; /* acknowledged by nobody, and lost */
    cw_assigner_plan_move(fixture.assigner, 100, 199, server("i-b"));
    cw_assigner_plan_write(fixture.assigner, fixture.now);
    assigner_fixture_tick(&fixture, CW_MS(20));
    fixture.done_before_fail = false;
    restore();
    tick_some();
    ck_assert_str_eq(assigner_fixture_range(&fixture, 50)->owner.id, "i-b");
    ck_assert_str_eq(assigner_fixture_range(&fixture, 150)->owner.id, "i-b");
    ck_assert_uint_eq(stored_number("epoch"), 2);
}
END_TEST

START_TEST(a_write_under_a_revision_that_is_given_out_again_is_no_commit)
{
    uint64_t known = fixture.revision;

    restore();
    fixture.revision = known; /* that of the leader's record in the lost state */
    cw_assigner_plan_move(fixture.assigner, 100, 199, server("i-b"));
    cw_assigner_plan_write(fixture.assigner, fixture.now);
    assigner_fixture_tick(&fixture, CW_MS(20)); /* done under the same count, in another epoch */
    ck_assert_str_eq(assigner_fixture_range(&fixture, 150)->owner.id, "i-a");
    tick_some();
    ck_assert_str_eq(assigner_fixture_range(&fixture, 150)->owner.id, "i-b");
    ck_assert_uint_eq(stored_number("epoch"), 2);
}
END_TEST

START_TEST(a_late_write_of_before_does_not_replace_the_leaders_state)
{
    restore();
    cw_assigner_begin_term(fixture.assigner, 1030, &fixture.loss);
    tick_some();
    json_decref(fixture.object); /* a write of the lost state, whose condition was a count that is given out again */
    fixture.object = json_deep_copy(copy);
    fixture.revision++;
    cw_assigner_plan_move(fixture.assigner, 100, 199, server("i-b"));
    cw_assigner_plan_write(fixture.assigner, fixture.now);
    tick_some();
    ck_assert_str_eq(assigner_fixture_range(&fixture, 50)->owner.id, "i-b");
    ck_assert_uint_eq(stored_number("term"), 1030);
}
END_TEST

START_TEST(a_leader_that_goes_on_renews_without_a_gap_and_writes_the_record_in_its_new_term)
{
    size_t sent = fixture.order_count;

    restore();
    cw_assigner_begin_term(fixture.assigner, 1030, &fixture.loss);
    tick_some();
    ck_assert_uint_eq(stored_number("term"), 1030);
    ck_assert_uint_eq(stored_number("epoch"), 2);
    ck_assert(cw_range_is_routable(assigner_fixture_range(&fixture, 50)));
    assigner_fixture_tick(&fixture, CW_MS(1300));
    ck_assert_uint_eq(assigner_fixture_count(&fixture, CW_ORDER_GRANT, sent), 3); /* the three ranges */
}
END_TEST

START_TEST(a_new_leader_waits_for_the_holds_that_an_outdated_record_does_not_show)
{
    size_t sent = fixture.order_count;

    restore();
    see_loss();
    assigner_fixture_take_over(&fixture, 1030);
    tick_some();
    ck_assert_int_eq(cw_assigner_state(fixture.assigner), CW_ASSIGNER_READY);
    assigner_fixture_tick(&fixture, CW_MS(8000 + ASSIGNER_ORDER_TIMEOUT_MS));
    ck_assert_uint_eq(assigner_fixture_count(&fixture, CW_ORDER_GRANT, sent), 0);
    assigner_fixture_tick(&fixture, CW_MS(300));
    ck_assert_uint_eq(assigner_fixture_count(&fixture, CW_ORDER_GRANT, sent), 2);
    check_new_fences(sent);
}
END_TEST

START_TEST(a_leader_that_takes_over_during_the_wait_waits_too)
{
    size_t sent = fixture.order_count;

    restore();
    see_loss();
    assigner_fixture_take_over(&fixture, 1030);
    tick_some();
    assigner_fixture_take_over(&fixture, 1031);
    tick_some();
    assigner_fixture_tick(&fixture, CW_MS(8000 + ASSIGNER_ORDER_TIMEOUT_MS));
    ck_assert_uint_eq(assigner_fixture_count(&fixture, CW_ORDER_GRANT, sent), 0);
    assigner_fixture_tick(&fixture, CW_MS(300));
    ck_assert_uint_eq(assigner_fixture_count(&fixture, CW_ORDER_GRANT, sent), 2);
    check_new_fences(sent);
}
END_TEST

START_TEST(after_the_wait_the_record_is_as_any_other)
{
    size_t sent;

    restore();
    see_loss();
    assigner_fixture_take_over(&fixture, 1030);
    tick_some();
    ck_assert(!cw_assigner_is_stale(fixture.assigner, fixture.now));
    assigner_fixture_tick(&fixture, CW_MS(8300 + ASSIGNER_ORDER_TIMEOUT_MS));
    assigner_fixture_answer(&fixture, CW_ORDER_DONE, NULL);
    ck_assert(cw_assigner_is_stale(fixture.assigner, fixture.now));
    cw_assigner_plan_rewrite(fixture.assigner);
    cw_assigner_plan_write(fixture.assigner, fixture.now);
    tick_some();
    sent = fixture.order_count;
    assigner_fixture_take_over(&fixture, 1031);
    tick_some();
    ck_assert_uint_eq(assigner_fixture_count(&fixture, CW_ORDER_GRANT, sent), 2); /* renewed at once */
}
END_TEST

START_TEST(a_new_leader_without_a_record_after_a_restore_waits_and_gives_new_fences)
{
    const cw_server_entry_t *entries[2];
    size_t                   sent = fixture.order_count;

    assigner_fixture_restore(&fixture, NULL, 5);
    see_loss();
    assigner_fixture_take_over(&fixture, 1030);
    tick_some();
    entries[0] = server("i-b");
    entries[1] = server("i-a");
    ck_assert_int_eq(cw_assigner_state(fixture.assigner), CW_ASSIGNER_EMPTY);
    cw_assigner_plan_first(fixture.assigner, entries, 2, fixture.now);
    tick_some();
    assigner_fixture_tick(&fixture, CW_MS(11000));
    ck_assert_uint_eq(assigner_fixture_count(&fixture, CW_ORDER_GRANT, sent), 0);
    assigner_fixture_tick(&fixture, CW_MS(300));
    ck_assert_uint_eq(assigner_fixture_count(&fixture, CW_ORDER_GRANT, sent), 2);
    check_new_fences(sent);
}
END_TEST

START_TEST(a_record_of_a_release_without_epochs_is_outdated_after_a_restore_only)
{
    size_t sent = fixture.order_count;

    json_object_del(fixture.object, "epoch");
    assigner_fixture_take_over(&fixture, 2);
    tick_some();
    ck_assert_uint_gt(assigner_fixture_count(&fixture, CW_ORDER_GRANT, sent), 0); /* adopted */
    json_object_del(fixture.object, "epoch");
    sent = fixture.order_count;
    see_loss();
    assigner_fixture_take_over(&fixture, 1030);
    tick_some();
    ck_assert_uint_eq(assigner_fixture_count(&fixture, CW_ORDER_GRANT, sent), 0);
}
END_TEST

START_TEST(a_deposed_assigner_adopts_the_later_record_in_a_term_above_it)
{
    json_object_set_new(fixture.object, "term", json_integer(7));
    fixture.revision++;
    cw_assigner_plan_move(fixture.assigner, 100, 199, server("i-b"));
    cw_assigner_plan_write(fixture.assigner, fixture.now);
    tick_some();
    ck_assert_int_eq(cw_assigner_state(fixture.assigner), CW_ASSIGNER_DEPOSED);
    ck_assert_uint_eq(cw_assigner_later_term(fixture.assigner), 7);
    cw_assigner_begin_term(fixture.assigner, 8, &fixture.loss);
    tick_some();
    ck_assert_int_eq(cw_assigner_state(fixture.assigner), CW_ASSIGNER_READY);
    ck_assert_uint_eq(stored_number("term"), 8);
}
END_TEST

int main(void)
{
    Suite *suite = suite_create("assigner after a restore");
    TCase *cases = tcase_create("assigner after a restore");

    tcase_add_checked_fixture(cases, setup, teardown);
    tcase_add_test(cases, a_leader_writes_its_own_state_again_over_the_record_of_a_copy);
    tcase_add_test(cases, a_leader_creates_its_record_again_if_the_copy_has_none);
    tcase_add_test(cases, a_plan_that_was_being_written_at_the_restore_is_written_after_it);
    tcase_add_test(cases, a_write_under_a_revision_that_is_given_out_again_is_no_commit);
    tcase_add_test(cases, a_late_write_of_before_does_not_replace_the_leaders_state);
    tcase_add_test(cases, a_leader_that_goes_on_renews_without_a_gap_and_writes_the_record_in_its_new_term);
    tcase_add_test(cases, a_new_leader_waits_for_the_holds_that_an_outdated_record_does_not_show);
    tcase_add_test(cases, a_leader_that_takes_over_during_the_wait_waits_too);
    tcase_add_test(cases, after_the_wait_the_record_is_as_any_other);
    tcase_add_test(cases, a_new_leader_without_a_record_after_a_restore_waits_and_gives_new_fences);
    tcase_add_test(cases, a_record_of_a_release_without_epochs_is_outdated_after_a_restore_only);
    tcase_add_test(cases, a_deposed_assigner_adopts_the_later_record_in_a_term_above_it);
    suite_add_tcase(suite, cases);
    return cw_test_main(suite);
}
