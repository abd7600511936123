/**
 * @file test_assigner.c
 * @brief Tests that assignments are written before orders are sent, and that a range is granted to another server only
 * when its former holder has certainly stopped serving it.
 */
#include <string.h>

#include "assigner_fixture.h"
#include "loop_fixture.h"

static const char *const two[] = {"i-a@10.0.0.1:80", "i-b@10.0.0.2:80", NULL};

static const cw_server_entry_t *server(const assigner_fixture_t *fixture, const char *id)
{
    const cw_server_entry_t *entry = cw_server_list_find(fixture->servers, id);

    ck_assert_ptr_nonnull(entry);
    return entry;
}

/* Moves the first keys of the lower half from i-a to i-b, until the write is done and the release is sent. */
static void begin_move(assigner_fixture_t *fixture)
{
    cw_assigner_plan_move(fixture->assigner, 0, 99, server(fixture, "i-b"));
    cw_assigner_plan_write(fixture->assigner, fixture->now);
    assigner_fixture_tick(fixture, CW_MS(20));
    assigner_fixture_tick(fixture, CW_MS(20));
}

START_TEST(no_order_before_the_record_is_written)
{
    assigner_fixture_t       fixture;
    const cw_server_entry_t *entries[2];

    assigner_fixture_init(&fixture, 1);
    assigner_fixture_set_servers(&fixture, two);
    assigner_fixture_tick(&fixture, 0);
    entries[0] = server(&fixture, "i-a");
    entries[1] = server(&fixture, "i-b");
    fixture.delays_answers = true;
    cw_assigner_plan_first(fixture.assigner, entries, 2, fixture.now);
    assigner_fixture_tick(&fixture, CW_MS(20));
    assigner_fixture_tick(&fixture, CW_MS(500));
    ck_assert_uint_eq(fixture.order_count, 0);
    assigner_fixture_answer_store(&fixture);
    assigner_fixture_tick(&fixture, CW_MS(20));
    ck_assert_uint_eq(assigner_fixture_count(&fixture, CW_ORDER_GRANT, 0), 2);
    ck_assert_str_eq(fixture.orders[0].server, "i-a");
    assigner_fixture_clear(&fixture);
}
END_TEST

START_TEST(a_move_releases_then_grants_with_the_handover_and_a_higher_fence)
{
    assigner_fixture_t fixture;
    size_t             sent;

    assigner_fixture_init(&fixture, 1);
    assigner_fixture_set_servers(&fixture, two);
    assigner_fixture_settle(&fixture);
    sent = fixture.order_count;
    begin_move(&fixture);
    ck_assert_uint_eq(assigner_fixture_count(&fixture, CW_ORDER_RELEASE, sent), 1);
    ck_assert_uint_eq(assigner_fixture_count(&fixture, CW_ORDER_GRANT, sent), 0);
    ck_assert_str_eq(fixture.orders[sent].server, "i-a");
    assigner_fixture_answer(&fixture, CW_ORDER_DONE, "token");
    assigner_fixture_tick(&fixture, CW_MS(20));
    ck_assert_str_eq(fixture.orders[fixture.order_count - 1].server, "i-b");
    ck_assert_str_eq(fixture.orders[fixture.order_count - 1].handover, "token");
    ck_assert_uint_gt(fixture.orders[fixture.order_count - 1].fence, 2);
    assigner_fixture_answer(&fixture, CW_ORDER_DONE, NULL);
    ck_assert_int_eq(assigner_fixture_range(&fixture, 50)->phase, CW_RANGE_HELD);
    assigner_fixture_clear(&fixture);
}
END_TEST

START_TEST(unresponsive_former_holder_is_replaced_after_its_hold_has_expired)
{
    assigner_fixture_t fixture;
    cw_time_us_t       granted_at;
    size_t             sent;

    assigner_fixture_init(&fixture, 1);
    assigner_fixture_set_servers(&fixture, two);
    assigner_fixture_settle(&fixture);
    granted_at = fixture.now;
    begin_move(&fixture);
    sent = fixture.order_count;
    while (assigner_fixture_range(&fixture, 50)->phase == CW_RANGE_RELEASING) {
        assigner_fixture_answer(&fixture, CW_ORDER_UNANSWERED, NULL);
        assigner_fixture_tick(&fixture, CW_MS(50));
    }
    ck_assert_int_ge(fixture.now - granted_at, CW_MS(5100) - CW_MS(60));
    ck_assert_uint_gt(fixture.order_count, sent);
    assigner_fixture_clear(&fixture);
}
END_TEST

/* Guards against keys that stay without an owner until a release has timed out, which does not change their state any
 * more: the former holder does not answer, and its hold ends meanwhile. */
START_TEST(a_release_without_an_answer_does_not_delay_the_grant_after_the_hold)
{
    assigner_fixture_t fixture;

    assigner_fixture_init(&fixture, 1);
    assigner_fixture_set_servers(&fixture, two);
    assigner_fixture_settle(&fixture);
    begin_move(&fixture);
    while (assigner_fixture_range(&fixture, 50)->phase == CW_RANGE_RELEASING) {
        assigner_fixture_tick(&fixture, CW_MS(50)); /* the release stays unanswered */
    }
    assigner_fixture_tick(&fixture, CW_MS(20));
    assigner_fixture_answer(&fixture, CW_ORDER_DONE, NULL); /* those of the release and of the grant after it */
    ck_assert_int_eq(assigner_fixture_range(&fixture, 50)->phase, CW_RANGE_HELD);
    ck_assert_uint_eq(assigner_fixture_range(&fixture, 50)->orders, 0);
    assigner_fixture_clear(&fixture);
}
END_TEST

/* The list may be older than the record, and name the server that had the address before. An order to the address
 * tells.
 */
START_TEST(another_id_at_the_address_in_a_list_proves_nothing)
{
    static const char *const replaced[] = {"i-c@10.0.0.1:80", "i-b@10.0.0.2:80", NULL};
    assigner_fixture_t       fixture;

    assigner_fixture_init(&fixture, 1);
    assigner_fixture_set_servers(&fixture, two);
    assigner_fixture_settle(&fixture);
    begin_move(&fixture);
    assigner_fixture_answer(&fixture, CW_ORDER_UNANSWERED, NULL);
    assigner_fixture_set_servers(&fixture, replaced);
    assigner_fixture_tick(&fixture, CW_MS(20));
    ck_assert_int_eq(assigner_fixture_range(&fixture, 50)->phase, CW_RANGE_RELEASING);
    assigner_fixture_tick(&fixture, CW_MS(200)); /* the release is sent again */
    assigner_fixture_answer(&fixture, CW_ORDER_OTHER_INCARNATION, NULL);
    ck_assert_int_eq(assigner_fixture_range(&fixture, 50)->phase, CW_RANGE_GRANTING);
    assigner_fixture_clear(&fixture);
}
END_TEST

/* The later incarnation may hold the keys itself: a grant names the server only by its name. It answers the release. */
START_TEST(a_later_incarnation_of_the_same_server_has_to_release)
{
    static const char *const started[] = {"i-a#1000@10.0.0.1:80", "i-b#1000@10.0.0.2:80", NULL};
    static const char *const restarted[] = {"i-a#2000@10.0.0.1:80", "i-b#1000@10.0.0.2:80", NULL};
    assigner_fixture_t       fixture;

    assigner_fixture_init(&fixture, 1);
    assigner_fixture_set_servers(&fixture, started);
    assigner_fixture_settle(&fixture);
    cw_assigner_plan_move(fixture.assigner, 0, 99, server(&fixture, "i-b@1000"));
    cw_assigner_plan_write(fixture.assigner, fixture.now);
    assigner_fixture_tick(&fixture, CW_MS(20));
    assigner_fixture_set_servers(&fixture, restarted);
    assigner_fixture_tick(&fixture, CW_MS(20));
    ck_assert_int_eq(assigner_fixture_range(&fixture, 50)->phase, CW_RANGE_RELEASING);
    assigner_fixture_answer(&fixture, CW_ORDER_DONE, NULL);
    ck_assert_int_eq(assigner_fixture_range(&fixture, 50)->phase, CW_RANGE_GRANTING);
    assigner_fixture_clear(&fixture);
}
END_TEST

START_TEST(an_order_answered_by_another_incarnation_proves_the_end)
{
    assigner_fixture_t fixture;

    assigner_fixture_init(&fixture, 1);
    assigner_fixture_set_servers(&fixture, two);
    assigner_fixture_settle(&fixture);
    begin_move(&fixture);
    assigner_fixture_answer(&fixture, CW_ORDER_OTHER_INCARNATION, NULL);
    assigner_fixture_tick(&fixture, CW_MS(20));
    ck_assert_int_eq(assigner_fixture_range(&fixture, 50)->phase, CW_RANGE_GRANTING);
    assigner_fixture_clear(&fixture);
}
END_TEST

START_TEST(a_missing_entry_proves_nothing)
{
    static const char *const one[] = {"i-b@10.0.0.2:80", NULL};
    assigner_fixture_t       fixture;

    assigner_fixture_init(&fixture, 1);
    assigner_fixture_set_servers(&fixture, two);
    assigner_fixture_settle(&fixture);
    begin_move(&fixture);
    assigner_fixture_answer(&fixture, CW_ORDER_UNANSWERED, NULL);
    assigner_fixture_set_servers(&fixture, one);
    assigner_fixture_tick(&fixture, CW_MS(20));
    ck_assert_int_eq(assigner_fixture_range(&fixture, 50)->phase, CW_RANGE_RELEASING);
    assigner_fixture_clear(&fixture);
}
END_TEST

START_TEST(a_new_leader_writes_the_record_before_it_renews)
{
    assigner_fixture_t fixture;
    uint32_t           writes;
    size_t             sent;

    assigner_fixture_init(&fixture, 1);
    assigner_fixture_set_servers(&fixture, two);
    assigner_fixture_settle(&fixture);
    writes = fixture.writes;
    sent = fixture.order_count;
    assigner_fixture_take_over(&fixture, 2);
    fixture.delays_answers = true;
    assigner_fixture_tick(&fixture, CW_MS(20));
    assigner_fixture_answer_store(&fixture); /* the read */
    assigner_fixture_tick(&fixture, CW_MS(20));
    ck_assert_uint_eq(fixture.order_count, sent);
    ck_assert_uint_eq(fixture.writes, writes + 1);
    assigner_fixture_answer_store(&fixture); /* the write */
    assigner_fixture_tick(&fixture, CW_MS(20));
    ck_assert_uint_eq(assigner_fixture_count(&fixture, CW_ORDER_GRANT, sent), 2);
    ck_assert_uint_eq(fixture.orders[sent].fence, fixture.orders[0].fence);
    ck_assert(assigner_fixture_range(&fixture, 50)->keeps_serving);
    assigner_fixture_clear(&fixture);
}
END_TEST

START_TEST(a_slow_store_does_not_lengthen_the_holds_that_a_former_leader_gave)
{
    assigner_fixture_t fixture;
    cw_time_us_t       led_since;
    size_t             sent;

    assigner_fixture_init(&fixture, 1);
    assigner_fixture_set_servers(&fixture, two);
    assigner_fixture_settle(&fixture);
    sent = fixture.order_count;
    assigner_fixture_take_over(&fixture, 2);
    fixture.delays_answers = true;
    assigner_fixture_tick(&fixture, CW_MS(20));
    led_since = fixture.now;
    assigner_fixture_answer_store(&fixture); /* the read */
    assigner_fixture_tick(&fixture, CW_MS(20));
    assigner_fixture_tick(&fixture, CW_MS(2000)); /* the write takes the store two seconds */
    assigner_fixture_answer_store(&fixture);
    assigner_fixture_tick(&fixture, CW_MS(20));
    ck_assert_uint_eq(assigner_fixture_count(&fixture, CW_ORDER_GRANT, sent), 2);
    assigner_fixture_answer(&fixture, CW_ORDER_NOT_SENT, "");
    ck_assert_int_lt(assigner_fixture_range(&fixture, 50)->hold_until, led_since + CW_MS(8000) + CW_MS(1000));
    assigner_fixture_clear(&fixture);
}
END_TEST

START_TEST(a_late_write_of_the_former_leader_is_read_and_adopted)
{
    assigner_fixture_t fixture;
    json_t            *late;
    size_t             sent;

    assigner_fixture_init(&fixture, 1);
    assigner_fixture_set_servers(&fixture, two);
    assigner_fixture_settle(&fixture);
    late = json_deep_copy(fixture.object);
    json_object_set_new(late, "write", json_integer(77));
    sent = fixture.order_count;
    assigner_fixture_take_over(&fixture, 2);
    fixture.delays_answers = true;
    assigner_fixture_tick(&fixture, CW_MS(20));
    assigner_fixture_answer_store(&fixture); /* read: the old record */
    json_decref(fixture.object);             /* the former leader's write is done now */
    fixture.object = late;
    fixture.revision++;
    assigner_fixture_tick(&fixture, CW_MS(20)); /* the write with the old revision has a conflict */
    assigner_fixture_answer_store(&fixture);
    ck_assert_int_ne(cw_assigner_state(fixture.assigner), CW_ASSIGNER_READY);
    assigner_fixture_tick(&fixture, CW_MS(20));
    assigner_fixture_answer_store(&fixture); /* read again */
    assigner_fixture_tick(&fixture, CW_MS(20));
    assigner_fixture_answer_store(&fixture); /* written with its own term */
    ck_assert_int_eq(cw_assigner_state(fixture.assigner), CW_ASSIGNER_READY);
    ck_assert_uint_eq(fixture.order_count, sent);
    assigner_fixture_clear(&fixture);
}
END_TEST

START_TEST(an_assigner_whose_record_a_later_leader_wrote_is_deposed)
{
    assigner_fixture_t fixture;
    size_t             sent;

    assigner_fixture_init(&fixture, 3);
    assigner_fixture_set_servers(&fixture, two);
    assigner_fixture_settle(&fixture);
    json_object_set_new(fixture.object, "term", json_integer(9));
    fixture.revision++;
    sent = fixture.order_count;
    begin_move(&fixture);
    assigner_fixture_tick(&fixture, CW_MS(20));
    ck_assert_int_eq(cw_assigner_state(fixture.assigner), CW_ASSIGNER_DEPOSED);
    assigner_fixture_tick(&fixture, CW_SECONDS(2));
    ck_assert_uint_eq(assigner_fixture_count(&fixture, CW_ORDER_RELEASE, sent), 0);
    assigner_fixture_clear(&fixture);
}
END_TEST

START_TEST(the_outcome_of_an_unanswered_write_is_read)
{
    assigner_fixture_t fixture;
    uint32_t           writes;

    assigner_fixture_init(&fixture, 1);
    assigner_fixture_set_servers(&fixture, two);
    assigner_fixture_settle(&fixture);
    writes = fixture.writes;
    fixture.fail_next = CW_STORE_UNKNOWN;
    fixture.done_before_fail = true;
    begin_move(&fixture);
    assigner_fixture_tick(&fixture, CW_MS(20));
    ck_assert_uint_eq(fixture.writes, writes + 1);
    ck_assert_int_eq(assigner_fixture_range(&fixture, 50)->phase, CW_RANGE_RELEASING);
    fixture.fail_next = CW_STORE_UNKNOWN;
    fixture.done_before_fail = false;
    cw_assigner_plan_move(fixture.assigner, 40000, 40099, server(&fixture, "i-a"));
    cw_assigner_plan_write(fixture.assigner, fixture.now);
    assigner_fixture_tick(&fixture, CW_MS(20));
    assigner_fixture_tick(&fixture, CW_MS(20)); /* read: the write has not been done so far */
    assigner_fixture_tick(&fixture, CW_MS(20)); /* so the same write is repeated */
    ck_assert_uint_eq(fixture.writes, writes + 2);
    ck_assert_str_eq(assigner_fixture_range(&fixture, 40050)->owner.id, "i-a");
    assigner_fixture_clear(&fixture);
}
END_TEST

START_TEST(owners_are_renewed_while_a_write_has_no_outcome)
{
    assigner_fixture_t fixture;
    size_t             sent;

    assigner_fixture_init(&fixture, 1);
    assigner_fixture_set_servers(&fixture, two);
    assigner_fixture_settle(&fixture);
    fixture.delays_answers = true;
    cw_assigner_plan_move(fixture.assigner, 0, 99, server(&fixture, "i-b"));
    cw_assigner_plan_write(fixture.assigner, fixture.now);
    sent = fixture.order_count;
    assigner_fixture_tick(&fixture, CW_MS(1300));
    ck_assert_uint_eq(assigner_fixture_count(&fixture, CW_ORDER_GRANT, sent), 2);
    ck_assert_uint_eq(assigner_fixture_count(&fixture, CW_ORDER_RELEASE, sent), 0);
    assigner_fixture_clear(&fixture);
}
END_TEST

START_TEST(a_fenced_grant_gets_the_highest_fence)
{
    assigner_fixture_t fixture;
    size_t             sent;

    assigner_fixture_init(&fixture, 1);
    assigner_fixture_set_servers(&fixture, two);
    assigner_fixture_settle(&fixture);
    sent = fixture.order_count;
    assigner_fixture_tick(&fixture, CW_MS(1300));
    assigner_fixture_answer(&fixture, CW_ORDER_FENCED, NULL);
    assigner_fixture_tick(&fixture, CW_MS(20));
    assigner_fixture_tick(&fixture, CW_MS(300));
    ck_assert_uint_gt(fixture.orders[fixture.order_count - 1].fence, fixture.orders[sent].fence);
    assigner_fixture_clear(&fixture);
}
END_TEST

START_TEST(an_unanswered_order_keeps_a_range_from_being_moved_for_balance)
{
    assigner_fixture_t fixture;

    assigner_fixture_init(&fixture, 1);
    assigner_fixture_set_servers(&fixture, two);
    assigner_fixture_settle(&fixture);
    ck_assert(cw_assigner_is_settled(fixture.assigner, assigner_fixture_range(&fixture, 50), fixture.now));
    assigner_fixture_tick(&fixture, CW_MS(1300));
    assigner_fixture_answer(&fixture, CW_ORDER_UNANSWERED, NULL);
    assigner_fixture_tick(&fixture, CW_MS(200));
    assigner_fixture_answer(&fixture, CW_ORDER_DONE, NULL);
    ck_assert(!cw_assigner_is_settled(fixture.assigner, assigner_fixture_range(&fixture, 50), fixture.now));
    ck_assert(
        cw_assigner_is_settled(fixture.assigner, assigner_fixture_range(&fixture, 50), fixture.now + CW_SECONDS(22)));
    assigner_fixture_clear(&fixture);
}
END_TEST

START_TEST(an_order_that_was_not_sent_does_not_lengthen_the_wait)
{
    assigner_fixture_t fixture;
    cw_time_us_t       before;

    assigner_fixture_init(&fixture, 1);
    assigner_fixture_set_servers(&fixture, two);
    assigner_fixture_settle(&fixture);
    before = assigner_fixture_range(&fixture, 50)->hold_until;
    assigner_fixture_tick(&fixture, CW_MS(1300));
    ck_assert_int_gt(assigner_fixture_range(&fixture, 50)->hold_until, before);
    assigner_fixture_answer(&fixture, CW_ORDER_NOT_SENT, NULL);
    ck_assert_int_eq(assigner_fixture_range(&fixture, 50)->hold_until, before);
    assigner_fixture_clear(&fixture);
}
END_TEST

/* Guards against a fault found by the simulator with seed 307. The renewals of an owner were unanswered until its hold
 * had expired, and it was replaced immediately. The owner carried out one of these renewals later, and a node that had
 * not received the move still sent requests to it. */
START_TEST(after_unanswered_orders_a_move_waits_until_tables_expire)
{
    assigner_fixture_t fixture;
    cw_time_us_t       moved_at;
    size_t             index;

    assigner_fixture_init(&fixture, 1);
    assigner_fixture_set_servers(&fixture, two);
    assigner_fixture_settle(&fixture);
    for (index = 0; index < 55; index++) { /* eight seconds: holds of the first orders have expired */
        assigner_fixture_tick(&fixture, CW_MS(150));
        assigner_fixture_answer(&fixture, index < 15 ? CW_ORDER_UNANSWERED : CW_ORDER_NOT_SENT, NULL);
    }
    begin_move(&fixture);
    moved_at = fixture.now;
    while (assigner_fixture_range(&fixture, 50)->phase == CW_RANGE_RELEASING) {
        assigner_fixture_answer(&fixture, CW_ORDER_NOT_SENT, NULL);
        assigner_fixture_tick(&fixture, CW_MS(50));
    }
    ck_assert_int_ge(fixture.now - moved_at, CW_MS(4000));
    assigner_fixture_clear(&fixture);
}
END_TEST

START_TEST(no_order_without_authority)
{
    assigner_fixture_t fixture;
    size_t             sent;

    assigner_fixture_init(&fixture, 1);
    assigner_fixture_set_servers(&fixture, two);
    assigner_fixture_settle(&fixture);
    sent = fixture.order_count;
    fixture.now += CW_SECONDS(4);
    cw_assigner_tick(fixture.assigner, fixture.servers, false, false, fixture.now);
    ck_assert_uint_eq(fixture.order_count, sent);
    assigner_fixture_clear(&fixture);
}
END_TEST

START_TEST(holds_are_lengthened_immediately_when_the_store_does_not_answer)
{
    assigner_fixture_t fixture;
    size_t             sent;

    assigner_fixture_init(&fixture, 1);
    assigner_fixture_set_servers(&fixture, two);
    assigner_fixture_settle(&fixture);
    sent = fixture.order_count;
    fixture.now += CW_MS(100);
    cw_assigner_tick(fixture.assigner, fixture.servers, true, true, fixture.now);
    ck_assert_uint_eq(fixture.order_count, sent + 2);
    ck_assert_int_eq(fixture.orders[sent].hold, CW_MS(8000));
    assigner_fixture_clear(&fixture);
}
END_TEST

START_TEST(merged_ranges_are_still_served_with_a_new_fence)
{
    assigner_fixture_t fixture;
    uint64_t           fence;

    assigner_fixture_init(&fixture, 1);
    assigner_fixture_set_servers(&fixture, two);
    assigner_fixture_settle(&fixture);
    begin_move(&fixture);
    assigner_fixture_answer(&fixture, CW_ORDER_DONE, NULL);
    assigner_fixture_tick(&fixture, CW_MS(20));
    assigner_fixture_answer(&fixture, CW_ORDER_DONE, NULL);
    cw_assigner_plan_move(fixture.assigner, 100, 32767, server(&fixture, "i-b"));
    cw_assigner_plan_write(fixture.assigner, fixture.now);
    assigner_fixture_tick(&fixture, CW_MS(20));
    assigner_fixture_tick(&fixture, CW_MS(20));
    assigner_fixture_answer(&fixture, CW_ORDER_DONE, NULL);
    assigner_fixture_tick(&fixture, CW_MS(20));
    assigner_fixture_answer(&fixture, CW_ORDER_DONE, NULL);
    fence = assigner_fixture_range(&fixture, 200)->owner.fence;
    ck_assert(cw_assigner_plan_merge(fixture.assigner, 0));
    cw_assigner_plan_write(fixture.assigner, fixture.now);
    assigner_fixture_tick(&fixture, CW_MS(20));
    ck_assert_uint_eq(assigner_fixture_range(&fixture, 50)->last, 32767);
    ck_assert_uint_gt(assigner_fixture_range(&fixture, 50)->owner.fence, fence);
    ck_assert(assigner_fixture_range(&fixture, 50)->keeps_serving);
    ck_assert_int_eq(assigner_fixture_range(&fixture, 50)->former.id[0], '\0');
    assigner_fixture_clear(&fixture);
}
END_TEST

START_TEST(keys_of_an_unreadable_record_are_granted_after_former_holds_have_ended)
{
    const cw_server_entry_t *entries[2];
    assigner_fixture_t       fixture;
    size_t                   sent;

    assigner_fixture_init(&fixture, 1);
    assigner_fixture_set_servers(&fixture, two);
    assigner_fixture_settle(&fixture);
    json_object_set_new(fixture.object, "ranges", json_string("of another form"));
    assigner_fixture_take_over(&fixture, 2);
    sent = fixture.order_count;
    assigner_fixture_tick(
        &fixture,
        CW_MS(20)); /* leads from now on: earlier grants arrive within their timeout, and hold 8 s, plus 2 % drift */
    assigner_fixture_tick(&fixture, CW_MS(20));
    ck_assert_int_eq(cw_assigner_state(fixture.assigner), CW_ASSIGNER_EMPTY);
    entries[0] = server(&fixture, "i-b"); /* each half goes to the server that did not have it before */
    entries[1] = server(&fixture, "i-a");
    cw_assigner_plan_first(fixture.assigner, entries, 2, fixture.now);
    assigner_fixture_tick(&fixture, CW_MS(20));
    assigner_fixture_tick(&fixture, CW_MS(20));
    assigner_fixture_tick(&fixture, CW_MS(8000 + ASSIGNER_ORDER_TIMEOUT_MS));
    ck_assert_uint_eq(assigner_fixture_count(&fixture, CW_ORDER_GRANT, sent), 0);
    assigner_fixture_tick(&fixture, CW_MS(300));
    ck_assert_uint_eq(assigner_fixture_count(&fixture, CW_ORDER_GRANT, sent), 2);
    assigner_fixture_clear(&fixture);
}
END_TEST

/* Plans to exchange the halves of the keys between two servers. */
static void assign_crosswise(assigner_fixture_t *fixture)
{
    const cw_server_entry_t *entries[2] = {server(fixture, "i-b"), server(fixture, "i-a")};

    ck_assert_int_eq(cw_assigner_state(fixture->assigner), CW_ASSIGNER_EMPTY);
    cw_assigner_plan_first(fixture->assigner, entries, 2, fixture->now);
    assigner_fixture_tick(fixture, CW_MS(20));
    assigner_fixture_tick(fixture, CW_MS(20));
}

/* Overwrites the record by an invalid value with a later revision. */
static void overwrite_record(assigner_fixture_t *fixture)
{
    json_object_set_new(fixture->object, "ranges", json_string("of another form"));
    fixture->revision++;
}

START_TEST(fences_are_above_those_of_an_unreadable_record)
{
    assigner_fixture_t fixture;
    uint64_t           highest;

    assigner_fixture_init(&fixture, 1);
    assigner_fixture_set_servers(&fixture, two);
    assigner_fixture_settle(&fixture);
    begin_move(&fixture);
    highest = fixture.orders[fixture.order_count - 1].fence + 1; /* the fence of the move in progress */
    overwrite_record(&fixture);
    assigner_fixture_take_over(&fixture, 2);
    assigner_fixture_tick(&fixture, CW_MS(20));
    assigner_fixture_tick(&fixture, CW_MS(20));
    assign_crosswise(&fixture);
    assigner_fixture_tick(&fixture, CW_MS(8300 + ASSIGNER_ORDER_TIMEOUT_MS));
    ck_assert_int_eq(fixture.orders[fixture.order_count - 1].kind, CW_ORDER_GRANT);
    ck_assert_uint_gt(fixture.orders[fixture.order_count - 1].fence, highest);
    ck_assert_uint_gt(fixture.orders[fixture.order_count - 2].fence, highest);
    assigner_fixture_clear(&fixture);
}
END_TEST

START_TEST(a_record_overwritten_during_adoption_gives_no_grant_before_holds_have_ended)
{
    assigner_fixture_t fixture;
    size_t             sent;

    assigner_fixture_init(&fixture, 1);
    assigner_fixture_set_servers(&fixture, two);
    assigner_fixture_settle(&fixture);
    assigner_fixture_take_over(&fixture, 2);
    sent = fixture.order_count;
    assigner_fixture_tick(&fixture, CW_MS(20)); /* the record is read, to be adopted */
    overwrite_record(&fixture);
    assigner_fixture_tick(&fixture, CW_MS(20)); /* the write fails by its condition */
    assigner_fixture_tick(&fixture, CW_MS(20));
    assign_crosswise(&fixture);
    assigner_fixture_tick(&fixture, CW_MS(7900 + ASSIGNER_ORDER_TIMEOUT_MS));
    ck_assert_uint_eq(assigner_fixture_count(&fixture, CW_ORDER_GRANT, sent), 0);
    assigner_fixture_tick(&fixture, CW_MS(400));
    ck_assert_uint_eq(assigner_fixture_count(&fixture, CW_ORDER_GRANT, sent), 2);
    assigner_fixture_clear(&fixture);
}
END_TEST

START_TEST(a_record_overwritten_under_a_leader_gives_no_grant_before_its_own_holds_have_ended)
{
    assigner_fixture_t fixture;
    size_t             sent;

    assigner_fixture_init(&fixture, 1);
    assigner_fixture_set_servers(&fixture, two);
    assigner_fixture_settle(&fixture);
    assigner_fixture_tick(&fixture, CW_SECONDS(20)); /* the ranges are renewed: these holds have just begun */
    overwrite_record(&fixture);
    begin_move(&fixture);
    assigner_fixture_tick(&fixture, CW_MS(20));
    sent = fixture.order_count;
    assign_crosswise(&fixture);
    assigner_fixture_tick(&fixture, CW_MS(7900 + ASSIGNER_ORDER_TIMEOUT_MS));
    ck_assert_uint_eq(assigner_fixture_count(&fixture, CW_ORDER_GRANT, sent), 0);
    assigner_fixture_tick(&fixture, CW_MS(400));
    ck_assert_uint_eq(assigner_fixture_count(&fixture, CW_ORDER_GRANT, sent), 2);
    assigner_fixture_clear(&fixture);
}
END_TEST

START_TEST(a_record_is_decoded_as_encoded_and_a_malformed_one_is_refused)
{
    cw_assignment_record_t record = {.term = 3, .write = 4, .writer = 0xabcdef0123456789u, .last_fence = 9};
    cw_assignment_record_t back;
    cw_range_t            *range = cw_range_list_add(&record.ranges);
    json_t                *value;

    range->last = CW_KEY_LAST;
    strcpy(range->owner.id, "i-a");
    strcpy(range->former.id, "i-b");
    range->former.fence = 2;
    value = cw_assignment_record_to_json(&record);
    ck_assert(cw_assignment_record_from_json(&back, value));
    ck_assert(back.writer == record.writer);
    ck_assert_str_eq(back.ranges.items[0].former.id, "i-b");
    cw_range_list_clear(&back.ranges);
    json_array_set_new(json_array_get(json_object_get(value, "ranges"), 0), 0, json_integer(5)); /* a gap */
    ck_assert(!cw_assignment_record_from_json(&back, value));
    json_decref(value);
    cw_range_list_clear(&record.ranges);
}
END_TEST

int main(void)
{
    Suite *suite = suite_create("assigner");
    TCase *cases = tcase_create("assigner");

    tcase_add_test(cases, no_order_before_the_record_is_written);
    tcase_add_test(cases, a_move_releases_then_grants_with_the_handover_and_a_higher_fence);
    tcase_add_test(cases, unresponsive_former_holder_is_replaced_after_its_hold_has_expired);
    tcase_add_test(cases, a_release_without_an_answer_does_not_delay_the_grant_after_the_hold);
    tcase_add_test(cases, another_id_at_the_address_in_a_list_proves_nothing);
    tcase_add_test(cases, a_later_incarnation_of_the_same_server_has_to_release);
    tcase_add_test(cases, an_order_answered_by_another_incarnation_proves_the_end);
    tcase_add_test(cases, a_missing_entry_proves_nothing);
    tcase_add_test(cases, a_new_leader_writes_the_record_before_it_renews);
    tcase_add_test(cases, a_slow_store_does_not_lengthen_the_holds_that_a_former_leader_gave);
    tcase_add_test(cases, a_late_write_of_the_former_leader_is_read_and_adopted);
    tcase_add_test(cases, an_assigner_whose_record_a_later_leader_wrote_is_deposed);
    tcase_add_test(cases, the_outcome_of_an_unanswered_write_is_read);
    tcase_add_test(cases, owners_are_renewed_while_a_write_has_no_outcome);
    tcase_add_test(cases, a_fenced_grant_gets_the_highest_fence);
    tcase_add_test(cases, an_unanswered_order_keeps_a_range_from_being_moved_for_balance);
    tcase_add_test(cases, an_order_that_was_not_sent_does_not_lengthen_the_wait);
    tcase_add_test(cases, after_unanswered_orders_a_move_waits_until_tables_expire);
    tcase_add_test(cases, no_order_without_authority);
    tcase_add_test(cases, holds_are_lengthened_immediately_when_the_store_does_not_answer);
    tcase_add_test(cases, merged_ranges_are_still_served_with_a_new_fence);
    tcase_add_test(cases, keys_of_an_unreadable_record_are_granted_after_former_holds_have_ended);
    tcase_add_test(cases, fences_are_above_those_of_an_unreadable_record);
    tcase_add_test(cases, a_record_overwritten_during_adoption_gives_no_grant_before_holds_have_ended);
    tcase_add_test(cases, a_record_overwritten_under_a_leader_gives_no_grant_before_its_own_holds_have_ended);
    tcase_add_test(cases, a_record_is_decoded_as_encoded_and_a_malformed_one_is_refused);
    suite_add_tcase(suite, cases);
    return cw_test_main(suite);
}
