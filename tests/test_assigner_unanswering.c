/**
 * @file test_assigner_unanswering.c
 * @brief Tests of probes, notices and limits beside servers that do not answer. Each guards against a fault of the
 * first mend of incident 77 (docs/incidents/orders-taken-late.md).
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "late_orders_fixture.h"
#include "loop_fixture.h"
#include "model/server_incarnation.h"

static const char *const unique[] = {"i-a@10.0.0.1:80", "i-b@10.0.0.2:80", "i-c@10.0.0.3:80", NULL};

/* Index of the last order of this kind to the server. */
static size_t last_order(const assigner_fixture_t *fixture, const char *id, cw_order_kind_t kind)
{
    size_t index = fixture->order_count;

    while (index > 0 &&
           (fixture->orders[index - 1].kind != kind || strcmp(fixture->orders[index - 1].server, id) != 0)) {
        index--;
    }
    ck_assert_uint_gt(index, 0);
    return index - 1;
}

static void answer_one(assigner_fixture_t *fixture, size_t index, cw_order_result_t result)
{
    cw_assigner_order_done(fixture->assigner, fixture->orders[index].id, result, NULL, fixture->now);
}

static bool answers(const assigner_fixture_t *fixture, const char *id)
{
    return cw_server_contacts_answers(cw_assigner_contacts(fixture->assigner), id);
}

/* The plan that is being written moves keys away from an owner that was granted nothing, without a former holder.
 * No tick visits the range, since 512 orders are in flight. The probe's answer still grants the keys, so that the owner
 * holds them beside the planned one. */
START_TEST(no_grant_leaves_that_the_plan_being_written_does_not_know_of)
{
    assigner_fixture_t *fixture = calloc(1, sizeof(*fixture));
    size_t              probe;
    size_t              sent;
    uint32_t            key;

    late_orders_begin(fixture, unique);
    (void)late_orders_move(fixture, "i-c");
    for (key = 100; key < 700; key++) {
        ck_assert(cw_assigner_plan_move(fixture->assigner, key, key, late_orders_server(fixture, "i-b")));
    }
    cw_assigner_plan_write(fixture->assigner, fixture->now);
    assigner_fixture_tick(fixture, CW_MS(LATE_ORDERS_TICK_MS));
    probe = last_order(fixture, "i-c", CW_ORDER_PROBE);
    fixture->delays_answers = true;
    ck_assert(cw_assigner_plan_move(fixture->assigner, 0, 99, late_orders_server(fixture, "i-b")));
    cw_assigner_plan_write(fixture->assigner, fixture->now);
    assigner_fixture_tick(fixture, CW_MS(LATE_ORDERS_TICK_MS));
    sent = fixture->order_count;
    answer_one(fixture, probe, CW_ORDER_DONE);
    ck_assert_uint_eq(late_orders_count_grants(fixture, "i-c", sent), 0);
    assigner_fixture_clear(fixture);
    free(fixture);
}
END_TEST

/* A deposed assigner sends nothing; the answer of a probe in flight still lets it send a first grant. */
START_TEST(a_deposed_assigner_sends_no_grant)
{
    assigner_fixture_t fixture;
    size_t             probe;
    size_t             sent;

    late_orders_begin(&fixture, unique);
    (void)late_orders_move(&fixture, "i-c");
    assigner_fixture_tick(&fixture, CW_MS(LATE_ORDERS_TICK_MS));
    probe = last_order(&fixture, "i-c", CW_ORDER_PROBE);
    json_object_set_new(fixture.object, "term", json_integer(99));
    fixture.revision++;
    cw_assigner_plan_rewrite(fixture.assigner);
    cw_assigner_plan_write(fixture.assigner, fixture.now);
    assigner_fixture_tick(&fixture, CW_MS(LATE_ORDERS_TICK_MS));
    assigner_fixture_tick(&fixture, CW_MS(LATE_ORDERS_TICK_MS));
    ck_assert_int_eq(cw_assigner_state(fixture.assigner), CW_ASSIGNER_DEPOSED);
    sent = fixture.order_count;
    answer_one(&fixture, probe, CW_ORDER_DONE);
    ck_assert_uint_eq(late_orders_count_grants(&fixture, "i-c", sent), 0);
    assigner_fixture_clear(&fixture);
}
END_TEST

/* The end of the wait for a probe that is older than one that was answered meanwhile makes the server count as one
 * that does not answer. */
START_TEST(an_older_lost_probe_does_not_undo_a_later_answer)
{
    assigner_fixture_t fixture;
    size_t             lost;

    late_orders_begin(&fixture, unique);
    (void)late_orders_move(&fixture, "i-c");
    assigner_fixture_tick(&fixture, CW_MS(LATE_ORDERS_TICK_MS));
    lost = last_order(&fixture, "i-c", CW_ORDER_PROBE);
    assigner_fixture_tick(&fixture, CW_MS(120));
    ck_assert_uint_gt(last_order(&fixture, "i-c", CW_ORDER_PROBE), lost);
    answer_one(&fixture, last_order(&fixture, "i-c", CW_ORDER_PROBE), CW_ORDER_DONE);
    answer_one(&fixture, last_order(&fixture, "i-c", CW_ORDER_GRANT), CW_ORDER_DONE);
    ck_assert_int_eq(assigner_fixture_range(&fixture, LATE_ORDERS_KEY)->phase, CW_RANGE_HELD);
    ck_assert(answers(&fixture, "i-c"));
    fixture.now += CW_MS(230);
    answer_one(&fixture, lost, CW_ORDER_UNANSWERED);
    ck_assert(answers(&fixture, "i-c"));
    assigner_fixture_clear(&fixture);
}
END_TEST

/* The same, for a range that waits for a newer probe: it counts as failing, so that the planner moves its keys on
 * at once. */
START_TEST(an_older_lost_probe_does_not_fail_a_range_that_waits_for_a_newer_one)
{
    enum { OTHER_KEY = 30000 };
    assigner_fixture_t fixture;
    size_t             lost;

    late_orders_begin(&fixture, unique);
    (void)late_orders_move(&fixture, "i-c");
    assigner_fixture_tick(&fixture, CW_MS(LATE_ORDERS_TICK_MS));
    lost = last_order(&fixture, "i-c", CW_ORDER_PROBE);
    assigner_fixture_tick(&fixture, CW_MS(120));
    answer_one(&fixture, last_order(&fixture, "i-c", CW_ORDER_PROBE), CW_ORDER_DONE);
    answer_one(&fixture, last_order(&fixture, "i-c", CW_ORDER_GRANT), CW_ORDER_DONE);
    ck_assert(cw_assigner_plan_move(fixture.assigner, OTHER_KEY, OTHER_KEY, late_orders_server(&fixture, "i-c")));
    cw_assigner_plan_write(fixture.assigner, fixture.now);
    assigner_fixture_tick(&fixture, CW_MS(LATE_ORDERS_TICK_MS));
    assigner_fixture_tick(&fixture, CW_MS(LATE_ORDERS_TICK_MS));
    answer_one(&fixture, last_order(&fixture, "i-b", CW_ORDER_RELEASE), CW_ORDER_DONE);
    assigner_fixture_tick(&fixture, CW_MS(LATE_ORDERS_TICK_MS));
    fixture.now += CW_MS(5);
    ck_assert(fixture.now - fixture.orders[last_order(&fixture, "i-c", CW_ORDER_PROBE)].sent_at == CW_MS(5));
    answer_one(&fixture, lost, CW_ORDER_UNANSWERED);
    ck_assert_int_eq(assigner_fixture_range(&fixture, OTHER_KEY)->failing_since, 0);
    assigner_fixture_clear(&fixture);
}
END_TEST

/* A server that missed one probe and owns nothing is asked no more, so that it counts as one that does not answer
 * (and gets no keys) until it is forgotten a minute later. */
START_TEST(a_server_without_keys_that_missed_an_answer_is_asked_again)
{
    static const char *const two[] = {"i-a@10.0.0.1:80", "i-b@10.0.0.2:80", NULL};
    assigner_fixture_t       fixture;

    late_orders_begin(&fixture, two);
    assigner_fixture_set_servers(&fixture, unique);
    (void)late_orders_move(&fixture, "i-c");
    late_orders_pass(&fixture, "i-c", 400);
    ck_assert(cw_assigner_plan_move(fixture.assigner, 0, 99, late_orders_server(&fixture, "i-b")));
    cw_assigner_plan_write(fixture.assigner, fixture.now);
    late_orders_pass(&fixture, "", 30000);
    ck_assert_str_eq(assigner_fixture_range(&fixture, LATE_ORDERS_KEY)->owner.id, "i-b");
    ck_assert_int_eq(assigner_fixture_range(&fixture, LATE_ORDERS_KEY)->phase, CW_RANGE_HELD);
    ck_assert_ptr_nonnull(cw_server_contacts_find(cw_assigner_contacts(fixture.assigner), "i-c"));
    ck_assert(answers(&fixture, "i-c"));
    assigner_fixture_clear(&fixture);
}
END_TEST

/* A leader that takes over knows nothing of the orders of the one before that got no answer. The former holder's
 * hold runs out by time alone 8.7 s later, while such a grant may be carried out for 13 s, and it is told nothing when
 * it answers again. */
START_TEST(a_former_holder_is_told_by_a_later_leader)
{
    assigner_fixture_t *fixture = calloc(1, sizeof(*fixture));
    size_t              sent;
    uint64_t            fence;
    cw_time_us_t        taken_over;

    late_orders_begin(fixture, unique);
    late_orders_pass(fixture, "i-a", LATE_ORDERS_RENEW_MS + 400);
    ck_assert_uint_gt(cw_server_contacts_open_orders(cw_assigner_contacts(fixture->assigner)), 0);
    assigner_fixture_take_over(fixture, 2);
    taken_over = fixture->now;
    late_orders_pass(fixture, "i-a", 1400);
    ck_assert(cw_assigner_plan_move(fixture->assigner, 0, 99, late_orders_server(fixture, "i-b")));
    cw_assigner_plan_write(fixture->assigner, fixture->now);
    while (assigner_fixture_range(fixture, LATE_ORDERS_KEY)->phase != CW_RANGE_HELD ||
           strcmp(assigner_fixture_range(fixture, LATE_ORDERS_KEY)->owner.id, "i-b") != 0) {
        late_orders_pass(fixture, "i-a", ASSIGNER_ORDER_TIMEOUT_MS);
        ck_assert(fixture->now - taken_over < CW_SECONDS(20));
    }
    fence = assigner_fixture_range(fixture, LATE_ORDERS_KEY)->owner.fence;
    sent = fixture->order_count;
    late_orders_pass(fixture, "", 2500);
    ck_assert_uint_ge(late_orders_count_releases(fixture, "i-a", fence, sent), 1);
    assigner_fixture_clear(fixture);
    free(fixture);
}
END_TEST

/* The notice is dropped when the keys are planned to go back to the former holder, though it is granted nothing and
 * its late grants are still open. */
START_TEST(a_former_holder_that_was_to_get_the_keys_back_and_did_not_is_told)
{
    assigner_fixture_t *fixture = calloc(1, sizeof(*fixture));
    size_t              sent;

    late_orders_begin(fixture, unique);
    late_orders_pass(fixture, "i-a", 2 * LATE_ORDERS_RENEW_MS);
    ck_assert(cw_assigner_plan_move(fixture->assigner, 0, 99, late_orders_server(fixture, "i-b")));
    cw_assigner_plan_write(fixture->assigner, fixture->now);
    late_orders_pass(fixture, "i-a", 6000);
    ck_assert_str_eq(assigner_fixture_range(fixture, LATE_ORDERS_KEY)->owner.id, "i-b");
    ck_assert_int_eq(assigner_fixture_range(fixture, LATE_ORDERS_KEY)->phase, CW_RANGE_HELD);
    ck_assert(cw_assigner_plan_move(fixture->assigner, 0, 99, late_orders_server(fixture, "i-a")));
    cw_assigner_plan_write(fixture->assigner, fixture->now);
    late_orders_pass(fixture, "i-a", 1000);
    ck_assert(cw_assigner_plan_move(fixture->assigner, 0, 99, late_orders_server(fixture, "i-c")));
    cw_assigner_plan_write(fixture->assigner, fixture->now);
    late_orders_pass(fixture, "i-a", 1000);
    ck_assert_str_eq(assigner_fixture_range(fixture, LATE_ORDERS_KEY)->owner.id, "i-c");
    ck_assert_int_eq(assigner_fixture_range(fixture, LATE_ORDERS_KEY)->phase, CW_RANGE_HELD);
    ck_assert(cw_server_contact_has_open_grant(cw_server_contacts_find(cw_assigner_contacts(fixture->assigner), "i-a"),
                                               0, 99, assigner_fixture_range(fixture, LATE_ORDERS_KEY)->owner.fence));
    sent = fixture->order_count;
    late_orders_pass(fixture, "", 3000);
    ck_assert_uint_ge(assigner_fixture_count(fixture, CW_ORDER_RELEASE, sent), 1);
    assigner_fixture_clear(fixture);
    free(fixture);
}
END_TEST

/* One server after the other (100 servers with names, one each tick) misses one renewal and answers its probe right
 * after the tick. No new fence is planned as long as a first probe was sent in each tick, so that the first server's
 * keys wait for longer than an owner may fail (1.2 s). */
START_TEST(new_fences_are_planned_while_other_servers_begin_to_fail)
{
    enum { SERVERS = 100 };
    assigner_fixture_t      *fixture = calloc(1, sizeof(*fixture));
    const cw_server_entry_t *entries[SERVERS];
    char                    *texts[SERVERS + 1] = {NULL};
    bool                     answered[SERVERS] = {false};
    cw_time_us_t             answered_at = 0;
    uint64_t                 fence;
    size_t                   index;
    int                      tick;

    for (index = 0; index < SERVERS; index++) {
        ck_assert_int_gt(asprintf(&texts[index], "s%03zu#1000@10.0.0.%zu:80", index, index + 1), 0);
    }
    assigner_fixture_init(fixture, 1);
    assigner_fixture_set_servers(fixture, (const char *const *)texts);
    assigner_fixture_tick(fixture, 0);
    for (index = 0; index < SERVERS; index++) {
        entries[index] = &fixture->servers->entries[index];
    }
    fixture->keeps_probes = true;
    cw_assigner_plan_first(fixture->assigner, entries, SERVERS, fixture->now);
    /* Grants in steps of a tick: server n answers its probe n ticks later. */
    for (tick = 0; tick < SERVERS + 10; tick++) {
        assigner_fixture_tick(fixture, CW_MS(LATE_ORDERS_TICK_MS));
        for (index = 0; index < fixture->order_count; index++) {
            const cw_order_t order = fixture->orders[index];
            int              number = atoi(order.server + 1);

            if (order.kind == CW_ORDER_PROBE && fixture->now - order.sent_at >= CW_MS(350)) {
                answer_one(fixture, index, CW_ORDER_UNANSWERED);
            }
            if (fixture->now - order.sent_at < CW_MS(340) && order.kind == CW_ORDER_PROBE && number <= tick &&
                !answered[number]) {
                answered[number] = true;
                answer_one(fixture, index, CW_ORDER_DONE);
                answer_one(fixture, fixture->order_count - 1, CW_ORDER_DONE);
            }
        }
        if (tick == 60) { /* stop here: renewals of server 0 begin at 1250 ms */
            break;
        }
    }
    fence = cw_assigner_ranges(fixture->assigner)->items[0].owner.fence;
    /* From now on grants get no answer in 350 ms, probes are answered 5 ms after each tick. */
    for (tick = 0; tick < 150; tick++) {
        assigner_fixture_tick(fixture, CW_MS(LATE_ORDERS_TICK_MS));
        fixture->now += CW_MS(5);
        for (index = 0; index < fixture->order_count; index++) {
            const cw_order_t order = fixture->orders[index];
            int              number = atoi(order.server + 1);

            if (order.kind == CW_ORDER_PROBE && number <= 60 && fixture->now - order.sent_at < CW_MS(10)) {
                answer_one(fixture, index, CW_ORDER_DONE);
                answered_at = answered_at == 0 && number == 0 ? fixture->now : answered_at;
            } else if (order.kind != CW_ORDER_RELEASE && fixture->now - order.sent_at >= CW_MS(350)) {
                answer_one(fixture, index, CW_ORDER_UNANSWERED);
            }
        }
        fixture->now -= CW_MS(5);
        if (cw_assigner_ranges(fixture->assigner)->items[0].owner.fence != fence) {
            break;
        }
    }
    ck_assert(answered_at != 0);
    ck_assert(fixture->now - answered_at < CW_MS(500));
    for (index = 0; index < SERVERS; index++) {
        free(texts[index]);
    }
    assigner_fixture_clear(fixture);
    free(fixture);
}
END_TEST

/* 2,000 of 5,000 servers stop. The releases of their 8,000 ranges wait 1.5 s each for an answer and fill the 512
 * orders that may be in flight, so that servers that answer are not renewed in time. */
static void play_many_silent(size_t *lapses, size_t *grants_beside_notices)
{
    enum { SERVERS = 5000, SILENT = 2000, RANGES = 20000, STOP_MS = 3000, MOVE_MS = 4800, END_MS = 20000 };
    assigner_fixture_t       *fixture = calloc(1, sizeof(*fixture));
    char                    **texts = calloc(SERVERS + 1, sizeof(char *));
    const cw_server_entry_t **entries = calloc(RANGES, sizeof(const cw_server_entry_t *));
    cw_time_us_t             *held_until = calloc(RANGES, sizeof(*held_until));
    cw_time_us_t              start;
    cw_time_us_t              longest = 0;
    cw_time_us_t              last_plan = 0;
    cw_time_us_t              gap = 0; /* longest between two grants of a range to a server that answers */
    size_t                    lapsed = 0;
    size_t                    index;
    int                       ms;

    for (index = 0; index < SERVERS; index++) {
        ck_assert_int_gt(asprintf(&texts[index], "i-%04zu@10.0.%zu.%zu:80", index, index / 200, index % 200 + 1), 0);
    }
    assigner_fixture_init(fixture, 1);
    assigner_fixture_set_servers(fixture, (const char *const *)texts);
    assigner_fixture_tick(fixture, 0);
    for (index = 0; index < RANGES; index++) {
        entries[index] = &fixture->servers->entries[index % SERVERS];
    }
    fixture->keeps_probes = true;
    start = fixture->now;
    cw_assigner_plan_first(fixture->assigner, entries, RANGES, fixture->now);
    for (ms = 0; ms < END_MS; ms += LATE_ORDERS_TICK_MS) {
        assigner_fixture_tick(fixture, CW_MS(LATE_ORDERS_TICK_MS));
        fixture->now += CW_MS(2);
        for (index = 0; index < fixture->order_count;) {
            cw_order_t        order = fixture->orders[index];
            bool              is_silent = atoi(order.server + 2) < SILENT && fixture->now - start > CW_MS(STOP_MS);
            cw_order_result_t result = is_silent ? CW_ORDER_UNANSWERED : CW_ORDER_DONE;

            if (is_silent && fixture->now - order.sent_at < order.timeout) {
                index++;
                continue;
            }
            fixture->orders[index] = fixture->orders[--fixture->order_count];
            if (order.kind == CW_ORDER_GRANT && !is_silent) {
                *grants_beside_notices += ms >= 12000 && ms < 15000 ? 1 : 0;
                size_t range = ((size_t)order.low * RANGES + CW_KEY_LAST) / (CW_KEY_LAST + 1);

                if (order.fence <= RANGES && held_until[range] != 0 && held_until[range] < fixture->now) {
                    lapsed++;
                    longest = fixture->now - held_until[range] > longest ? fixture->now - held_until[range] : longest;
                }
                if (order.fence <= RANGES && held_until[range] != 0) {
                    cw_time_us_t passed = fixture->now + order.hold - held_until[range];

                    gap = passed > gap ? passed : gap;
                }
                held_until[range] = fixture->now + order.hold;
            }
            cw_assigner_order_done(fixture->assigner, order.id, result, NULL, fixture->now);
        }
        fixture->now -= CW_MS(2);
        if (ms >= MOVE_MS && fixture->now - last_plan >= CW_MS(300) && cw_assigner_may_plan(fixture->assigner)) {
            const cw_range_list_t *ranges = cw_assigner_ranges(fixture->assigner);

            last_plan = fixture->now;
            for (index = 0; index < ranges->count; index++) {
                const cw_range_t *range = &ranges->items[index];

                if (atoi(range->owner.id + 2) < SILENT && range->failing_since != 0 &&
                    fixture->now - range->failing_since > CW_MS(1200)) {
                    (void)cw_assigner_plan_move(fixture->assigner, range->low, range->last,
                                                &fixture->servers->entries[SILENT + index % (SERVERS - SILENT)]);
                }
            }
            cw_assigner_plan_write(fixture->assigner, fixture->now);
        }
    }
    *lapses = lapsed;
    for (index = 0; index < SERVERS; index++) {
        free(texts[index]);
    }
    free(texts);
    free(entries);
    free(held_until);
    assigner_fixture_clear(fixture);
    free(fixture);
}

START_TEST(owners_that_answer_are_renewed_while_many_others_are_silent)
{
    size_t lapses;
    size_t grants = 0;

    play_many_silent(&lapses, &grants);
    ck_assert_uint_eq(lapses, 0);
}
END_TEST

/* The holds of the silent servers have run out, their keys are to be granted to others. The probes of the notices
 * to 2,000 former holders alone are more than the orders that may be in flight, so that little is granted or renewed.
 */
START_TEST(probes_of_former_holders_leave_room_for_grants)
{
    size_t lapses;
    size_t grants = 0;

    play_many_silent(&lapses, &grants);
    ck_assert_uint_gt(grants, 7200); /* 12,000 ranges of servers that answer, holds of 5 s, 3 s */
}
END_TEST

/* The notice to a#1000 goes to its address under its name, where a#2000 now holds the keys again with a higher
 * fence. A release is never refused, so that a#2000 drops them and the leader does not know. */
START_TEST(a_notice_does_not_release_keys_that_a_later_incarnation_holds_again)
{
    static const char *const first[] = {"a#1000@10.0.0.1:80", "b#1000@10.0.0.2:80", "c#1000@10.0.0.3:80", NULL};
    static const char *const second[] = {"a#2000@10.0.0.1:80", "b#1000@10.0.0.2:80", "c#1000@10.0.0.3:80", NULL};
    assigner_fixture_t      *fixture = calloc(1, sizeof(*fixture));
    const cw_range_t        *range;
    size_t                   sent;
    size_t                   index;
    size_t                   releases = 0;

    late_orders_begin(fixture, first);
    late_orders_pass(fixture, "a@1000", 2 * LATE_ORDERS_RENEW_MS);
    ck_assert(cw_assigner_plan_move(fixture->assigner, 0, 99, late_orders_server(fixture, "b@1000")));
    cw_assigner_plan_write(fixture->assigner, fixture->now);
    late_orders_pass(fixture, "a@1000", 6000);
    ck_assert_int_eq(assigner_fixture_range(fixture, LATE_ORDERS_KEY)->phase, CW_RANGE_HELD);
    assigner_fixture_set_servers(fixture, second);
    ck_assert(cw_assigner_plan_move(fixture->assigner, 0, 99, late_orders_server(fixture, "a@2000")));
    cw_assigner_plan_write(fixture->assigner, fixture->now);
    for (index = 0; index < 6; index++) { /* orders to a#1000 are still under way */
        size_t order;

        assigner_fixture_tick(fixture, CW_MS(LATE_ORDERS_TICK_MS));
        for (order = fixture->answered; order < fixture->order_count; order++) {
            if (strcmp(fixture->orders[order].server, "a@1000") != 0) {
                answer_one(fixture, order, CW_ORDER_DONE);
            }
        }
    }
    range = assigner_fixture_range(fixture, LATE_ORDERS_KEY);
    ck_assert_str_eq(range->owner.id, "a@2000");
    ck_assert_int_eq(range->phase, CW_RANGE_HELD);
    sent = fixture->order_count;
    late_orders_pass(fixture, "", 2000);
    for (index = sent; index < fixture->order_count; index++) {
        const cw_order_t *order = &fixture->orders[index];

        releases += order->kind == CW_ORDER_RELEASE && strcmp(order->address, "10.0.0.1:80") == 0 &&
                            order->low <= LATE_ORDERS_KEY
                        ? 1
                        : 0;
    }
    ck_assert_uint_eq(releases, 0);
    assigner_fixture_clear(fixture);
    free(fixture);
}
END_TEST

int main(void)
{
    Suite *suite = suite_create("assigner_unanswering");
    TCase *cases = tcase_create("assigner_unanswering");

    tcase_add_test(cases, no_grant_leaves_that_the_plan_being_written_does_not_know_of);
    tcase_add_test(cases, a_deposed_assigner_sends_no_grant);
    tcase_add_test(cases, an_older_lost_probe_does_not_undo_a_later_answer);
    tcase_add_test(cases, an_older_lost_probe_does_not_fail_a_range_that_waits_for_a_newer_one);
    tcase_add_test(cases, a_server_without_keys_that_missed_an_answer_is_asked_again);
    tcase_add_test(cases, a_former_holder_is_told_by_a_later_leader);
    tcase_add_test(cases, a_former_holder_that_was_to_get_the_keys_back_and_did_not_is_told);
    tcase_add_test(cases, new_fences_are_planned_while_other_servers_begin_to_fail);
    tcase_add_test(cases, owners_that_answer_are_renewed_while_many_others_are_silent);
    tcase_add_test(cases, probes_of_former_holders_leave_room_for_grants);
    tcase_add_test(cases, a_notice_does_not_release_keys_that_a_later_incarnation_holds_again);
    tcase_set_timeout(cases, 60);
    suite_add_tcase(suite, cases);
    return cw_test_main(suite);
}
