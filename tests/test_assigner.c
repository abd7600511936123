/**
 * @file test_assigner.c
 * @brief Assignments: written before they are ordered, moved only when the former holder surely let go.
 */
#include <string.h>

#include "assigner_fixture.h"
#include "loop_fixture.h"

static const char *const two[] = {"i-a@10.0.0.1:80", "i-b@10.0.0.2:80", NULL};

static const cw_server_entry_t *server(const assigner_world_t *world, const char *id)
{
    const cw_server_entry_t *entry = cw_server_list_find(world->servers, id);

    ck_assert_ptr_nonnull(entry);
    return entry;
}

/* Moves the lower half's first keys from i-a to i-b; the write is done, the release is sent. */
static void begin_move(assigner_world_t *world)
{
    cw_assigner_plan_move(world->assigner, 0, 99, server(world, "i-b"), world->servers);
    cw_assigner_plan_write(world->assigner, world->now);
    assigner_world_tick(world, CW_MS(20));
    assigner_world_tick(world, CW_MS(20));
}

START_TEST(no_order_before_the_record_is_written)
{
    assigner_world_t         world;
    const cw_server_entry_t *entries[2];

    assigner_world_init(&world, 1);
    assigner_world_servers(&world, two);
    assigner_world_tick(&world, 0);
    entries[0] = server(&world, "i-a");
    entries[1] = server(&world, "i-b");
    world.hold_answers = true;
    cw_assigner_plan_first(world.assigner, entries, 2, world.now);
    assigner_world_tick(&world, CW_MS(20));
    assigner_world_tick(&world, CW_MS(500));
    ck_assert_uint_eq(world.order_count, 0);
    assigner_world_answer_store(&world);
    assigner_world_tick(&world, CW_MS(20));
    ck_assert_uint_eq(assigner_world_count(&world, CW_ORDER_GRANT, 0), 2);
    ck_assert_str_eq(world.orders[0].server, "i-a");
    assigner_world_clear(&world);
}
END_TEST

START_TEST(a_move_releases_then_grants_with_the_handover_and_a_higher_fence)
{
    assigner_world_t world;
    size_t           sent;

    assigner_world_init(&world, 1);
    assigner_world_servers(&world, two);
    assigner_world_settle(&world);
    sent = world.order_count;
    begin_move(&world);
    ck_assert_uint_eq(assigner_world_count(&world, CW_ORDER_RELEASE, sent), 1);
    ck_assert_uint_eq(assigner_world_count(&world, CW_ORDER_GRANT, sent), 0);
    ck_assert_str_eq(world.orders[sent].server, "i-a");
    assigner_world_answer(&world, CW_ORDER_DONE, "token");
    assigner_world_tick(&world, CW_MS(20));
    ck_assert_str_eq(world.orders[world.order_count - 1].server, "i-b");
    ck_assert_str_eq(world.orders[world.order_count - 1].handover, "token");
    ck_assert_uint_gt(world.orders[world.order_count - 1].fence, 2);
    assigner_world_answer(&world, CW_ORDER_DONE, NULL);
    ck_assert_int_eq(assigner_world_range(&world, 50)->phase, CW_RANGE_HELD);
    assigner_world_clear(&world);
}
END_TEST

START_TEST(a_silent_former_holder_is_waited_out)
{
    assigner_world_t world;
    cw_time_us_t     granted_at;
    size_t           sent;

    assigner_world_init(&world, 1);
    assigner_world_servers(&world, two);
    assigner_world_settle(&world);
    granted_at = world.now;
    begin_move(&world);
    sent = world.order_count;
    while (assigner_world_range(&world, 50)->phase == CW_RANGE_RELEASING) {
        assigner_world_answer(&world, CW_ORDER_UNANSWERED, NULL);
        assigner_world_tick(&world, CW_MS(50));
    }
    ck_assert_int_ge(world.now - granted_at, CW_MS(5100) - CW_MS(60));
    ck_assert_uint_gt(world.order_count, sent);
    assigner_world_clear(&world);
}
END_TEST

START_TEST(another_life_at_the_address_proves_the_end)
{
    static const char *const replaced[] = {"i-c@10.0.0.1:80", "i-b@10.0.0.2:80", NULL};
    assigner_world_t         world;

    assigner_world_init(&world, 1);
    assigner_world_servers(&world, two);
    assigner_world_settle(&world);
    begin_move(&world);
    assigner_world_answer(&world, CW_ORDER_UNANSWERED, NULL);
    assigner_world_servers(&world, replaced);
    assigner_world_tick(&world, CW_MS(20));
    ck_assert_int_eq(assigner_world_range(&world, 50)->phase, CW_RANGE_GRANTING);
    assigner_world_clear(&world);
}
END_TEST

START_TEST(an_order_that_reached_another_life_proves_the_end)
{
    assigner_world_t world;

    assigner_world_init(&world, 1);
    assigner_world_servers(&world, two);
    assigner_world_settle(&world);
    begin_move(&world);
    assigner_world_answer(&world, CW_ORDER_OTHER_INCARNATION, NULL);
    assigner_world_tick(&world, CW_MS(20));
    ck_assert_int_eq(assigner_world_range(&world, 50)->phase, CW_RANGE_GRANTING);
    assigner_world_clear(&world);
}
END_TEST

START_TEST(a_missing_entry_proves_nothing)
{
    static const char *const one[] = {"i-b@10.0.0.2:80", NULL};
    assigner_world_t         world;

    assigner_world_init(&world, 1);
    assigner_world_servers(&world, two);
    assigner_world_settle(&world);
    begin_move(&world);
    assigner_world_answer(&world, CW_ORDER_UNANSWERED, NULL);
    assigner_world_servers(&world, one);
    assigner_world_tick(&world, CW_MS(20));
    ck_assert_int_eq(assigner_world_range(&world, 50)->phase, CW_RANGE_RELEASING);
    assigner_world_clear(&world);
}
END_TEST

START_TEST(a_new_leader_writes_the_record_before_it_renews)
{
    assigner_world_t world;
    uint32_t         writes;
    size_t           sent;

    assigner_world_init(&world, 1);
    assigner_world_servers(&world, two);
    assigner_world_settle(&world);
    writes = world.writes;
    sent = world.order_count;
    assigner_world_take_over(&world, 2);
    world.hold_answers = true;
    assigner_world_tick(&world, CW_MS(20));
    assigner_world_answer_store(&world); /* the read */
    assigner_world_tick(&world, CW_MS(20));
    ck_assert_uint_eq(world.order_count, sent);
    ck_assert_uint_eq(world.writes, writes + 1);
    assigner_world_answer_store(&world); /* the write */
    assigner_world_tick(&world, CW_MS(20));
    ck_assert_uint_eq(assigner_world_count(&world, CW_ORDER_GRANT, sent), 2);
    ck_assert_uint_eq(world.orders[sent].fence, world.orders[0].fence);
    ck_assert(assigner_world_range(&world, 50)->keeps_serving);
    assigner_world_clear(&world);
}
END_TEST

START_TEST(a_slow_store_does_not_lengthen_the_holds_that_a_former_leader_gave)
{
    assigner_world_t world;
    cw_time_us_t     led_since;
    size_t           sent;

    assigner_world_init(&world, 1);
    assigner_world_servers(&world, two);
    assigner_world_settle(&world);
    sent = world.order_count;
    assigner_world_take_over(&world, 2);
    world.hold_answers = true;
    assigner_world_tick(&world, CW_MS(20));
    led_since = world.now;
    assigner_world_answer_store(&world); /* the read */
    assigner_world_tick(&world, CW_MS(20));
    assigner_world_tick(&world, CW_MS(2000)); /* the store takes its time over the write */
    assigner_world_answer_store(&world);
    assigner_world_tick(&world, CW_MS(20));
    ck_assert_uint_eq(assigner_world_count(&world, CW_ORDER_GRANT, sent), 2);
    assigner_world_answer(&world, CW_ORDER_NOT_SENT, "");
    ck_assert_int_lt(assigner_world_range(&world, 50)->hold_until, led_since + CW_MS(8000) + CW_MS(1000));
    assigner_world_clear(&world);
}
END_TEST

START_TEST(a_late_write_of_the_former_leader_is_read_and_adopted_again)
{
    assigner_world_t world;
    json_t          *late;
    size_t           sent;

    assigner_world_init(&world, 1);
    assigner_world_servers(&world, two);
    assigner_world_settle(&world);
    late = json_deep_copy(world.object);
    json_object_set_new(late, "write", json_integer(77));
    sent = world.order_count;
    assigner_world_take_over(&world, 2);
    world.hold_answers = true;
    assigner_world_tick(&world, CW_MS(20));
    assigner_world_answer_store(&world); /* read: the old record */
    json_decref(world.object);           /* and now the former leader's write lands */
    world.object = late;
    world.revision++;
    assigner_world_tick(&world, CW_MS(20)); /* the write under the old revision: a conflict */
    assigner_world_answer_store(&world);
    ck_assert_int_ne(cw_assigner_state(world.assigner), CW_ASSIGNER_READY);
    assigner_world_tick(&world, CW_MS(20));
    assigner_world_answer_store(&world); /* read anew */
    assigner_world_tick(&world, CW_MS(20));
    assigner_world_answer_store(&world); /* written with its own term */
    ck_assert_int_eq(cw_assigner_state(world.assigner), CW_ASSIGNER_READY);
    ck_assert_uint_eq(world.order_count, sent);
    assigner_world_clear(&world);
}
END_TEST

START_TEST(a_assigner_whose_record_a_later_leader_wrote_is_deposed)
{
    assigner_world_t world;
    size_t           sent;

    assigner_world_init(&world, 3);
    assigner_world_servers(&world, two);
    assigner_world_settle(&world);
    json_object_set_new(world.object, "term", json_integer(9));
    world.revision++;
    sent = world.order_count;
    begin_move(&world);
    assigner_world_tick(&world, CW_MS(20));
    ck_assert_int_eq(cw_assigner_state(world.assigner), CW_ASSIGNER_DEPOSED);
    assigner_world_tick(&world, CW_SECONDS(2));
    ck_assert_uint_eq(assigner_world_count(&world, CW_ORDER_RELEASE, sent), 0);
    assigner_world_clear(&world);
}
END_TEST

START_TEST(a_write_without_an_answer_is_settled_by_reading)
{
    assigner_world_t world;
    uint32_t         writes;

    assigner_world_init(&world, 1);
    assigner_world_servers(&world, two);
    assigner_world_settle(&world);
    writes = world.writes;
    world.fail_next = CW_STORE_UNKNOWN;
    world.done_before_fail = true;
    begin_move(&world);
    assigner_world_tick(&world, CW_MS(20));
    ck_assert_uint_eq(world.writes, writes + 1);
    ck_assert_int_eq(assigner_world_range(&world, 50)->phase, CW_RANGE_RELEASING);
    world.fail_next = CW_STORE_UNKNOWN;
    world.done_before_fail = false;
    cw_assigner_plan_move(world.assigner, 40000, 40099, server(&world, "i-a"), world.servers);
    cw_assigner_plan_write(world.assigner, world.now);
    assigner_world_tick(&world, CW_MS(20));
    assigner_world_tick(&world, CW_MS(20)); /* read: not done so far */
    assigner_world_tick(&world, CW_MS(20)); /* so the same write once more */
    ck_assert_uint_eq(world.writes, writes + 2);
    ck_assert_str_eq(assigner_world_range(&world, 40050)->owner.id, "i-a");
    assigner_world_clear(&world);
}
END_TEST

START_TEST(owners_are_renewed_while_a_write_has_no_outcome)
{
    assigner_world_t world;
    size_t           sent;

    assigner_world_init(&world, 1);
    assigner_world_servers(&world, two);
    assigner_world_settle(&world);
    world.hold_answers = true;
    cw_assigner_plan_move(world.assigner, 0, 99, server(&world, "i-b"), world.servers);
    cw_assigner_plan_write(world.assigner, world.now);
    sent = world.order_count;
    assigner_world_tick(&world, CW_MS(1300));
    ck_assert_uint_eq(assigner_world_count(&world, CW_ORDER_GRANT, sent), 2);
    ck_assert_uint_eq(assigner_world_count(&world, CW_ORDER_RELEASE, sent), 0);
    assigner_world_clear(&world);
}
END_TEST

START_TEST(a_fenced_grant_gets_a_fence_above_all)
{
    assigner_world_t world;
    size_t           sent;

    assigner_world_init(&world, 1);
    assigner_world_servers(&world, two);
    assigner_world_settle(&world);
    sent = world.order_count;
    assigner_world_tick(&world, CW_MS(1300));
    assigner_world_answer(&world, CW_ORDER_FENCED, NULL);
    assigner_world_tick(&world, CW_MS(20));
    assigner_world_tick(&world, CW_MS(300));
    ck_assert_uint_gt(world.orders[world.order_count - 1].fence, world.orders[sent].fence);
    assigner_world_clear(&world);
}
END_TEST

START_TEST(an_unanswered_order_keeps_a_range_from_being_moved_for_balance)
{
    assigner_world_t world;

    assigner_world_init(&world, 1);
    assigner_world_servers(&world, two);
    assigner_world_settle(&world);
    ck_assert(cw_assigner_is_settled(world.assigner, assigner_world_range(&world, 50), world.now));
    assigner_world_tick(&world, CW_MS(1300));
    assigner_world_answer(&world, CW_ORDER_UNANSWERED, NULL);
    assigner_world_tick(&world, CW_MS(200));
    assigner_world_answer(&world, CW_ORDER_DONE, NULL);
    ck_assert(!cw_assigner_is_settled(world.assigner, assigner_world_range(&world, 50), world.now));
    ck_assert(cw_assigner_is_settled(world.assigner, assigner_world_range(&world, 50), world.now + CW_SECONDS(22)));
    assigner_world_clear(&world);
}
END_TEST

START_TEST(an_order_that_never_left_does_not_lengthen_the_wait)
{
    assigner_world_t world;
    cw_time_us_t     before;

    assigner_world_init(&world, 1);
    assigner_world_servers(&world, two);
    assigner_world_settle(&world);
    before = assigner_world_range(&world, 50)->hold_until;
    assigner_world_tick(&world, CW_MS(1300));
    ck_assert_int_gt(assigner_world_range(&world, 50)->hold_until, before);
    assigner_world_answer(&world, CW_ORDER_NOT_SENT, NULL);
    ck_assert_int_eq(assigner_world_range(&world, 50)->hold_until, before);
    assigner_world_clear(&world);
}
END_TEST

/* Simulator, seed 307: an owner whose renewals went unanswered until its hold had run out was replaced at once; one of
 * those renewals was carried out later, and a node that had not heard of the move still sent to it. */
START_TEST(after_unanswered_orders_tables_are_waited_out)
{
    assigner_world_t world;
    cw_time_us_t     moved_at;
    size_t           index;

    assigner_world_init(&world, 1);
    assigner_world_servers(&world, two);
    assigner_world_settle(&world);
    for (index = 0; index < 55; index++) { /* eight seconds: what the first orders may have granted has run out */
        assigner_world_tick(&world, CW_MS(150));
        assigner_world_answer(&world, index < 15 ? CW_ORDER_UNANSWERED : CW_ORDER_NOT_SENT, NULL);
    }
    begin_move(&world);
    moved_at = world.now;
    while (assigner_world_range(&world, 50)->phase == CW_RANGE_RELEASING) {
        assigner_world_answer(&world, CW_ORDER_NOT_SENT, NULL);
        assigner_world_tick(&world, CW_MS(50));
    }
    ck_assert_int_ge(world.now - moved_at, CW_MS(4000));
    assigner_world_clear(&world);
}
END_TEST

START_TEST(no_order_without_authority)
{
    assigner_world_t world;
    size_t           sent;

    assigner_world_init(&world, 1);
    assigner_world_servers(&world, two);
    assigner_world_settle(&world);
    sent = world.order_count;
    world.now += CW_SECONDS(4);
    cw_assigner_tick(world.assigner, world.servers, false, false, world.now);
    ck_assert_uint_eq(world.order_count, sent);
    assigner_world_clear(&world);
}
END_TEST

START_TEST(holds_are_lengthened_at_once_when_the_store_falls_silent)
{
    assigner_world_t world;
    size_t           sent;

    assigner_world_init(&world, 1);
    assigner_world_servers(&world, two);
    assigner_world_settle(&world);
    sent = world.order_count;
    world.now += CW_MS(100);
    cw_assigner_tick(world.assigner, world.servers, true, true, world.now);
    ck_assert_uint_eq(world.order_count, sent + 2);
    ck_assert_int_eq(world.orders[sent].hold, CW_MS(8000));
    assigner_world_clear(&world);
}
END_TEST

START_TEST(joined_ranges_serve_on_under_a_new_fence)
{
    assigner_world_t world;
    uint64_t         fence;

    assigner_world_init(&world, 1);
    assigner_world_servers(&world, two);
    assigner_world_settle(&world);
    begin_move(&world);
    assigner_world_answer(&world, CW_ORDER_DONE, NULL);
    assigner_world_tick(&world, CW_MS(20));
    assigner_world_answer(&world, CW_ORDER_DONE, NULL);
    cw_assigner_plan_move(world.assigner, 100, 32767, server(&world, "i-b"), world.servers);
    cw_assigner_plan_write(world.assigner, world.now);
    assigner_world_tick(&world, CW_MS(20));
    assigner_world_tick(&world, CW_MS(20));
    assigner_world_answer(&world, CW_ORDER_DONE, NULL);
    assigner_world_tick(&world, CW_MS(20));
    assigner_world_answer(&world, CW_ORDER_DONE, NULL);
    fence = assigner_world_range(&world, 200)->owner.fence;
    ck_assert(cw_assigner_plan_merge(world.assigner, 0));
    cw_assigner_plan_write(world.assigner, world.now);
    assigner_world_tick(&world, CW_MS(20));
    ck_assert_uint_eq(assigner_world_range(&world, 50)->last, 32767);
    ck_assert_uint_gt(assigner_world_range(&world, 50)->owner.fence, fence);
    ck_assert(assigner_world_range(&world, 50)->keeps_serving);
    ck_assert_int_eq(assigner_world_range(&world, 50)->former.id[0], '\0');
    assigner_world_clear(&world);
}
END_TEST

START_TEST(keys_whose_record_cannot_be_read_are_granted_when_former_holds_have_surely_ended)
{
    const cw_server_entry_t *entries[2];
    assigner_world_t         world;
    size_t                   sent;

    assigner_world_init(&world, 1);
    assigner_world_servers(&world, two);
    assigner_world_settle(&world);
    json_object_set_new(world.object, "ranges", json_string("of another form"));
    assigner_world_take_over(&world, 2);
    sent = world.order_count;
    assigner_world_tick(&world, CW_MS(20)); /* leads from now on: holds given before last 8 s at most, and 2 % more */
    assigner_world_tick(&world, CW_MS(20));
    ck_assert_int_eq(cw_assigner_state(world.assigner), CW_ASSIGNER_EMPTY);
    entries[0] = server(&world, "i-b"); /* each half goes to the other server than before */
    entries[1] = server(&world, "i-a");
    cw_assigner_plan_first(world.assigner, entries, 2, world.now);
    assigner_world_tick(&world, CW_MS(20));
    assigner_world_tick(&world, CW_MS(20));
    assigner_world_tick(&world, CW_MS(8000));
    ck_assert_uint_eq(assigner_world_count(&world, CW_ORDER_GRANT, sent), 0);
    assigner_world_tick(&world, CW_MS(300));
    ck_assert_uint_eq(assigner_world_count(&world, CW_ORDER_GRANT, sent), 2);
    assigner_world_clear(&world);
}
END_TEST

/* Of two servers with half of the keys each, each is to get the other's half. */
static void assign_crosswise(assigner_world_t *world)
{
    const cw_server_entry_t *entries[2] = {server(world, "i-b"), server(world, "i-a")};

    ck_assert_int_eq(cw_assigner_state(world->assigner), CW_ASSIGNER_EMPTY);
    cw_assigner_plan_first(world->assigner, entries, 2, world->now);
    assigner_world_tick(world, CW_MS(20));
    assigner_world_tick(world, CW_MS(20));
}

/* The record is overwritten by something that is none, under a later revision. */
static void overwrite_record(assigner_world_t *world)
{
    json_object_set_new(world->object, "ranges", json_string("of another form"));
    world->revision++;
}

START_TEST(fences_rise_above_those_of_a_record_that_cannot_be_read)
{
    assigner_world_t world;
    uint64_t         highest;

    assigner_world_init(&world, 1);
    assigner_world_servers(&world, two);
    assigner_world_settle(&world);
    begin_move(&world);
    highest = world.orders[world.order_count - 1].fence + 1; /* of the move under way */
    overwrite_record(&world);
    assigner_world_take_over(&world, 2);
    assigner_world_tick(&world, CW_MS(20));
    assigner_world_tick(&world, CW_MS(20));
    assign_crosswise(&world);
    assigner_world_tick(&world, CW_MS(8300));
    ck_assert_int_eq(world.orders[world.order_count - 1].kind, CW_ORDER_GRANT);
    ck_assert_uint_gt(world.orders[world.order_count - 1].fence, highest);
    ck_assert_uint_gt(world.orders[world.order_count - 2].fence, highest);
    assigner_world_clear(&world);
}
END_TEST

START_TEST(a_record_that_is_spoilt_while_it_is_adopted_gives_no_grant_before_holds_have_ended)
{
    assigner_world_t world;
    size_t           sent;

    assigner_world_init(&world, 1);
    assigner_world_servers(&world, two);
    assigner_world_settle(&world);
    assigner_world_take_over(&world, 2);
    sent = world.order_count;
    assigner_world_tick(&world, CW_MS(20)); /* read: to be adopted */
    overwrite_record(&world);
    assigner_world_tick(&world, CW_MS(20)); /* the write fails by its condition */
    assigner_world_tick(&world, CW_MS(20));
    assign_crosswise(&world);
    assigner_world_tick(&world, CW_MS(7900));
    ck_assert_uint_eq(assigner_world_count(&world, CW_ORDER_GRANT, sent), 0);
    assigner_world_tick(&world, CW_MS(400));
    ck_assert_uint_eq(assigner_world_count(&world, CW_ORDER_GRANT, sent), 2);
    assigner_world_clear(&world);
}
END_TEST

START_TEST(a_record_that_is_spoilt_under_a_leader_gives_no_grant_before_its_own_holds_have_ended)
{
    assigner_world_t world;
    size_t           sent;

    assigner_world_init(&world, 1);
    assigner_world_servers(&world, two);
    assigner_world_settle(&world);
    assigner_world_tick(&world, CW_SECONDS(20)); /* renewed: these holds have just begun */
    overwrite_record(&world);
    begin_move(&world);
    assigner_world_tick(&world, CW_MS(20));
    sent = world.order_count;
    assign_crosswise(&world);
    assigner_world_tick(&world, CW_MS(7900));
    ck_assert_uint_eq(assigner_world_count(&world, CW_ORDER_GRANT, sent), 0);
    assigner_world_tick(&world, CW_MS(400));
    ck_assert_uint_eq(assigner_world_count(&world, CW_ORDER_GRANT, sent), 2);
    assigner_world_clear(&world);
}
END_TEST

START_TEST(a_record_survives_its_text_and_a_broken_one_is_refused)
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

/* ---- servers that start again under their names ---- */

static const char *const born[] = {"i-a#1000@10.0.0.1:80", "i-b#1000@10.0.0.2:80", NULL};
static const char *const born_again[] = {"i-a#2000@10.0.0.1:80", "i-b#1000@10.0.0.2:80", NULL};

static const cw_order_t *last_grant_to(const assigner_world_t *world, const char *address)
{
    size_t index;

    for (index = world->order_count; index > 0; index--) {
        const cw_order_t *order = &world->orders[index - 1];

        if (order->kind == CW_ORDER_GRANT && strcmp(order->address, address) == 0) {
            return order;
        }
    }
    ck_abort_msg("no grant to %s", address);
    return NULL;
}

static void begin_with(assigner_world_t *world, const char *const *servers)
{
    assigner_world_init(world, 1);
    assigner_world_servers(world, servers);
    assigner_world_settle(world);
}

/* The next renewals of all ranges are sent, and end so. */
static void renew(assigner_world_t *world, cw_order_result_t result)
{
    size_t sent = world->order_count;

    assigner_world_tick(world, CW_MS(1250));
    ck_assert_uint_gt(world->order_count, sent);
    assigner_world_answer(world, result, NULL);
}

START_TEST(an_owner_that_an_order_did_not_reach_is_granted_nothing_more_under_its_fence)
{
    static const cw_order_result_t results[] = {CW_ORDER_NOT_SENT, CW_ORDER_UNANSWERED};
    assigner_world_t               world;
    uint64_t                       fence;
    uint32_t                       writes;
    size_t                         sent;
    size_t                         index;

    begin_with(&world, born);
    fence = last_grant_to(&world, "10.0.0.1:80")->fence;
    writes = world.writes;
    renew(&world, results[_i]);
    sent = world.order_count;
    assigner_world_tick(&world, CW_MS(500)); /* the new fences are written first, for all ranges at once, */
    assigner_world_tick(&world, CW_MS(20));
    assigner_world_tick(&world, CW_MS(500));
    ck_assert_uint_eq(world.writes, writes + 1);
    ck_assert_uint_eq(assigner_world_count(&world, CW_ORDER_GRANT, sent), 2);
    for (index = sent; index < world.order_count; index++) { /* and granted to the same owners */
        ck_assert_uint_gt(world.orders[index].fence, fence);
    }
    ck_assert_str_eq(last_grant_to(&world, "10.0.0.1:80")->server, "i-a@1000");
    assigner_world_clear(&world);
}
END_TEST

START_TEST(a_new_fence_that_surely_reached_nobody_is_granted_again)
{
    assigner_world_t world;
    uint64_t         fence;
    uint32_t         writes;

    begin_with(&world, born);
    renew(&world, CW_ORDER_NOT_SENT);
    assigner_world_tick(&world, CW_MS(500));
    assigner_world_tick(&world, CW_MS(20));
    assigner_world_tick(&world, CW_MS(500));
    fence = last_grant_to(&world, "10.0.0.1:80")->fence;
    writes = world.writes;
    assigner_world_answer(&world, CW_ORDER_NOT_SENT, NULL);
    assigner_world_tick(&world, CW_MS(500));
    assigner_world_answer(&world, CW_ORDER_NOT_SENT, NULL);
    assigner_world_tick(&world, CW_MS(500));
    ck_assert_uint_eq(last_grant_to(&world, "10.0.0.1:80")->fence, fence);
    ck_assert_uint_eq(world.writes, writes);
    assigner_world_clear(&world);
}
END_TEST

START_TEST(a_server_born_again_is_another_owner)
{
    assigner_world_t world;
    size_t           sent;

    begin_with(&world, born);
    assigner_world_servers(&world, born_again);
    sent = world.order_count;
    assigner_world_tick(&world, CW_MS(1250)); /* the former incarnation has ended: it is not renewed */
    ck_assert_uint_eq(assigner_world_count(&world, CW_ORDER_GRANT, sent), 1);
    ck_assert_str_eq(world.orders[sent].server, "i-b@1000");
    cw_assigner_plan_move(world.assigner, 0, 32767, server(&world, "i-a@2000"), world.servers);
    cw_assigner_plan_write(world.assigner, world.now);
    assigner_world_tick(&world, CW_MS(20));
    sent = world.order_count;
    assigner_world_tick(&world, CW_MS(20)); /* nothing is waited for */
    ck_assert_uint_eq(assigner_world_count(&world, CW_ORDER_RELEASE, sent), 0);
    ck_assert_str_eq(last_grant_to(&world, "10.0.0.1:80")->server, "i-a@2000");
    assigner_world_clear(&world);
}
END_TEST

START_TEST(an_owner_whose_id_names_one_incarnation_is_granted_again_under_its_fence)
{
    assigner_world_t world;
    uint64_t         fence;
    uint32_t         writes;

    begin_with(&world, two);
    fence = last_grant_to(&world, "10.0.0.1:80")->fence;
    writes = world.writes;
    renew(&world, CW_ORDER_UNANSWERED);
    assigner_world_tick(&world, CW_MS(500));
    ck_assert_uint_eq(last_grant_to(&world, "10.0.0.1:80")->fence, fence);
    ck_assert_uint_eq(world.writes, writes);
    assigner_world_clear(&world);
}
END_TEST

/* ---- many owners ---- */

enum { RENEWALS_A_SECOND = 1 };

START_TEST(with_many_ranges_renewals_stay_in_their_budget_and_holds_outlast_them)
{
    assigner_world_t  world;
    const cw_order_t *first;
    const cw_order_t *second;

    begin_with(&world, two);
    cw_assigner_set_renewal_rate(world.assigner, RENEWALS_A_SECOND); /* two ranges: one renewal each in two seconds */
    renew(&world, CW_ORDER_DONE);
    first = last_grant_to(&world, "10.0.0.1:80");
    ck_assert_int_eq(first->hold, CW_MS(5000 + 2000 - 1250));
    assigner_world_tick(&world, CW_MS(1990));
    ck_assert_ptr_eq(last_grant_to(&world, "10.0.0.1:80"), first);
    assigner_world_tick(&world, CW_MS(10));
    second = last_grant_to(&world, "10.0.0.1:80");
    ck_assert_ptr_ne(second, first);
    ck_assert_int_ge(first->sent_at + first->hold - second->sent_at, CW_MS(3750)); /* as with few ranges */
    assigner_world_clear(&world);
}
END_TEST

START_TEST(holds_are_never_longer_than_servers_take)
{
    assigner_world_t  world;
    const cw_order_t *grant;

    begin_with(&world, two);
    cw_assigner_set_renewal_rate(world.assigner, 0.01);
    renew(&world, CW_ORDER_DONE);
    grant = last_grant_to(&world, "10.0.0.1:80");
    ck_assert_int_eq(grant->hold, CW_MS(8000));
    assigner_world_tick(&world, CW_MS(8000 - 3750) + CW_MS(1));
    ck_assert_ptr_ne(last_grant_to(&world, "10.0.0.1:80"), grant);
    assigner_world_clear(&world);
}
END_TEST

int main(void)
{
    Suite *suite = suite_create("assigner");
    TCase *cases = tcase_create("assigner");

    tcase_add_test(cases, no_order_before_the_record_is_written);
    tcase_add_test(cases, a_move_releases_then_grants_with_the_handover_and_a_higher_fence);
    tcase_add_test(cases, a_silent_former_holder_is_waited_out);
    tcase_add_test(cases, another_life_at_the_address_proves_the_end);
    tcase_add_test(cases, an_order_that_reached_another_life_proves_the_end);
    tcase_add_test(cases, a_missing_entry_proves_nothing);
    tcase_add_test(cases, a_new_leader_writes_the_record_before_it_renews);
    tcase_add_test(cases, a_slow_store_does_not_lengthen_the_holds_that_a_former_leader_gave);
    tcase_add_test(cases, a_late_write_of_the_former_leader_is_read_and_adopted_again);
    tcase_add_test(cases, a_assigner_whose_record_a_later_leader_wrote_is_deposed);
    tcase_add_test(cases, a_write_without_an_answer_is_settled_by_reading);
    tcase_add_test(cases, owners_are_renewed_while_a_write_has_no_outcome);
    tcase_add_test(cases, a_fenced_grant_gets_a_fence_above_all);
    tcase_add_test(cases, an_unanswered_order_keeps_a_range_from_being_moved_for_balance);
    tcase_add_test(cases, an_order_that_never_left_does_not_lengthen_the_wait);
    tcase_add_test(cases, after_unanswered_orders_tables_are_waited_out);
    tcase_add_test(cases, no_order_without_authority);
    tcase_add_test(cases, holds_are_lengthened_at_once_when_the_store_falls_silent);
    tcase_add_test(cases, joined_ranges_serve_on_under_a_new_fence);
    tcase_add_test(cases, keys_whose_record_cannot_be_read_are_granted_when_former_holds_have_surely_ended);
    tcase_add_test(cases, fences_rise_above_those_of_a_record_that_cannot_be_read);
    tcase_add_test(cases, a_record_that_is_spoilt_while_it_is_adopted_gives_no_grant_before_holds_have_ended);
    tcase_add_test(cases, a_record_that_is_spoilt_under_a_leader_gives_no_grant_before_its_own_holds_have_ended);
    tcase_add_test(cases, a_record_survives_its_text_and_a_broken_one_is_refused);
    tcase_add_loop_test(cases, an_owner_that_an_order_did_not_reach_is_granted_nothing_more_under_its_fence, 0, 2);
    tcase_add_test(cases, a_new_fence_that_surely_reached_nobody_is_granted_again);
    tcase_add_test(cases, a_server_born_again_is_another_owner);
    tcase_add_test(cases, an_owner_whose_id_names_one_incarnation_is_granted_again_under_its_fence);
    tcase_add_test(cases, with_many_ranges_renewals_stay_in_their_budget_and_holds_outlast_them);
    tcase_add_test(cases, holds_are_never_longer_than_servers_take);
    suite_add_tcase(suite, cases);
    return cw_test_main(suite);
}
