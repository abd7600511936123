/**
 * @file test_crash_suspects.c
 * @brief Which requests are taken to crash servers, and which are not, whatever ended beside them.
 */
#include "loop_fixture.h"
#include "retry/crash_suspects.h"

enum { KILLER = 77, INNOCENT = 78, WORK_MS = 20, COPIES = 40 };

static cw_crash_suspects_t *suspects;
static cw_time_us_t         now;
static uint32_t             next_server;
static uint32_t             seen; /* crashes told to the owner */

static void note_seen(void *context, const cw_crash_t *crash)
{
    (void)context;
    (void)crash;
    seen++;
}

static void setup(void)
{
    suspects = cw_crash_suspects_create(note_seen, NULL);
    now = CW_SECONDS(100);
    next_server = 1;
    seen = 0;
}

static void teardown(void)
{
    cw_crash_suspects_free(suspects);
}

/* The request is sent to another server, which is lost. Returns the server. */
static uint32_t lose(uint64_t request)
{
    cw_crash_t loss = {.request = request, .server = next_server++, .sent_at = now, .lost_at = now + CW_MS(WORK_MS)};

    now += CW_MS(WORK_MS);
    ck_assert(cw_crash_suspects_note_loss(suspects, &loss));
    return loss.server;
}

static void crash(uint64_t request)
{
    uint32_t server = lose(request);

    cw_crash_suspects_note_end(suspects, server, now);
}

static bool is_refused(uint64_t request)
{
    cw_time_us_t refused_for;

    return cw_crash_suspects_is_refused(suspects, request, now, &refused_for);
}

START_TEST(a_request_is_refused_after_three_crashes)
{
    cw_time_us_t refused_for;

    crash(KILLER);
    crash(KILLER);
    ck_assert(!is_refused(KILLER));
    crash(KILLER);
    ck_assert(cw_crash_suspects_is_refused(suspects, KILLER, now, &refused_for));
    ck_assert_int_eq(refused_for, CW_SECONDS(CW_SUSPECT_REFUSED_S));
    ck_assert_uint_eq(seen, 3);
    ck_assert(!is_refused(INNOCENT));
}
END_TEST

START_TEST(connections_that_are_reset_by_servers_that_live_prove_nothing)
{
    int index;

    for (index = 0; index < 2 * CW_CRASHES_MOST; index++) {
        (void)lose(KILLER);
    }
    now += CW_SECONDS(CW_LOSS_CONFIRM_S) + 1;
    cw_crash_suspects_tick(suspects, now);
    ck_assert(!cw_crash_suspects_has_any(suspects));
    ck_assert(!is_refused(KILLER));
}
END_TEST

START_TEST(servers_that_are_lost_together_count_once_for_a_popular_request)
{
    uint32_t first = next_server;
    uint32_t server;
    int      index;

    for (index = 0; index < COPIES; index++) { /* a zone loses its power with as many copies under way */
        cw_crash_t loss = {.request = INNOCENT, .server = next_server++, .sent_at = now, .lost_at = now + CW_MS(index)};

        ck_assert(cw_crash_suspects_note_loss(suspects, &loss));
    }
    now += CW_MS(COPIES);
    for (server = first; server < next_server; server++) {
        cw_crash_suspects_note_end(suspects, server, now);
    }
    ck_assert_uint_eq(cw_crash_suspects_crashes(suspects, INNOCENT), 1);
    ck_assert(!is_refused(INNOCENT));
}
END_TEST

START_TEST(hundreds_of_requests_at_one_crash_are_each_remembered_and_none_is_refused)
{
    uint32_t server = next_server++;
    uint64_t request;

    for (request = 1000; request < 1200; request++) {
        cw_crash_t loss = {.request = request, .server = server, .sent_at = now, .lost_at = now + CW_MS(1)};

        ck_assert(cw_crash_suspects_note_loss(suspects, &loss));
    }
    cw_crash_suspects_note_end(suspects, server, now + CW_MS(5));
    for (request = 1000; request < 1200; request++) {
        ck_assert_uint_eq(cw_crash_suspects_crashes(suspects, request), 1);
        ck_assert(!is_refused(request));
    }
}
END_TEST

START_TEST(an_answer_by_any_server_ends_the_chain)
{
    crash(INNOCENT);
    crash(INNOCENT);
    ck_assert(cw_crash_suspects_clear(suspects, INNOCENT, now));
    ck_assert(!cw_crash_suspects_clear(suspects, INNOCENT, now + 1)); /* known already */
    now += CW_MS(1);
    crash(INNOCENT);
    ck_assert_uint_eq(cw_crash_suspects_crashes(suspects, INNOCENT), 1);
}
END_TEST

START_TEST(an_answer_ends_a_refusal_that_was_wrong)
{
    crash(INNOCENT);
    crash(INNOCENT);
    crash(INNOCENT);
    ck_assert(cw_crash_suspects_clear(suspects, INNOCENT, now));
    ck_assert(!is_refused(INNOCENT));
}
END_TEST

START_TEST(a_late_report_from_before_an_answer_does_not_count)
{
    cw_crash_t late = {.request = INNOCENT, .server = 900, .sent_at = now, .lost_at = now + CW_MS(1)};

    crash(INNOCENT);
    ck_assert(cw_crash_suspects_clear(suspects, INNOCENT, now));
    cw_crash_suspects_note_reported(suspects, &late, now + CW_MS(300));
    ck_assert_uint_eq(cw_crash_suspects_crashes(suspects, INNOCENT), 0);
}
END_TEST

START_TEST(nodes_that_each_saw_a_part_refuse_it_together)
{
    cw_crash_t other = {.request = KILLER, .server = 900};

    crash(KILLER);
    other.sent_at = now + CW_MS(10);
    other.lost_at = now + CW_MS(30);
    cw_crash_suspects_note_reported(suspects, &other, now + CW_MS(200));
    cw_crash_suspects_note_reported(suspects, &other, now + CW_MS(600)); /* repeated, since datagrams are lost */
    ck_assert_uint_eq(cw_crash_suspects_crashes(suspects, KILLER), 2);
    now += CW_MS(700);
    crash(KILLER);
    ck_assert(is_refused(KILLER));
}
END_TEST

START_TEST(reports_may_come_in_any_order)
{
    cw_crash_t crashes[CW_CRASHES_MOST];
    int        index;

    for (index = 0; index < CW_CRASHES_MOST; index++) {
        crashes[index] = (cw_crash_t){.request = KILLER,
                                      .server = 900 + (uint32_t)index,
                                      .sent_at = now + CW_MS(100 * index),
                                      .lost_at = now + CW_MS(100 * index + WORK_MS)};
    }
    now += CW_SECONDS(1);
    for (index = CW_CRASHES_MOST; index > 0; index--) {
        cw_crash_suspects_note_reported(suspects, &crashes[index - 1], now);
    }
    ck_assert(is_refused(KILLER));
}
END_TEST

START_TEST(losses_that_are_not_proved_yet_keep_a_node_from_repeating_it)
{
    (void)lose(KILLER);
    (void)lose(KILLER);
    ck_assert(cw_crash_suspects_may_repeat(suspects, KILLER));
    (void)lose(KILLER);
    ck_assert(!cw_crash_suspects_may_repeat(suspects, KILLER));
    ck_assert(!is_refused(KILLER)); /* a caller's next request may still be sent */
    ck_assert(cw_crash_suspects_may_repeat(suspects, INNOCENT));
}
END_TEST

START_TEST(a_refusal_ends_and_one_more_crash_brings_it_back_for_longer)
{
    cw_time_us_t refused_for;

    crash(KILLER);
    crash(KILLER);
    crash(KILLER);
    now += CW_SECONDS(CW_SUSPECT_REFUSED_S);
    cw_crash_suspects_tick(suspects, now);
    ck_assert(!is_refused(KILLER));
    crash(KILLER);
    ck_assert(cw_crash_suspects_is_refused(suspects, KILLER, now, &refused_for));
    ck_assert_int_eq(refused_for, 2 * CW_SECONDS(CW_SUSPECT_REFUSED_S));
}
END_TEST

START_TEST(what_came_once_is_forgotten)
{
    crash(KILLER);
    now += CW_SECONDS(CW_SUSPECT_FORGET_S) + CW_SECONDS(1);
    cw_crash_suspects_tick(suspects, now);
    ck_assert_uint_eq(cw_crash_suspects_count(suspects), 0);
}
END_TEST

START_TEST(what_is_remembered_is_bounded)
{
    uint64_t request;

    for (request = 1000; request < 1000 + 2 * CW_SUSPECTS_MOST; request++) {
        crash(request);
    }
    ck_assert_uint_eq(cw_crash_suspects_count(suspects), CW_SUSPECTS_MOST);
    ck_assert_uint_eq(cw_crash_suspects_crashes(suspects, 1000), 0); /* the oldest went */
    for (request = 1; request <= CW_LOSSES_MOST; request++) {
        (void)lose(request);
    }
    ck_assert(!cw_crash_suspects_note_loss(suspects, &(cw_crash_t){.request = 1}));
}
END_TEST

int main(void)
{
    Suite *suite = suite_create("crash_suspects");
    TCase *cases = tcase_create("crash_suspects");

    tcase_add_checked_fixture(cases, setup, teardown);
    tcase_add_test(cases, a_request_is_refused_after_three_crashes);
    tcase_add_test(cases, connections_that_are_reset_by_servers_that_live_prove_nothing);
    tcase_add_test(cases, servers_that_are_lost_together_count_once_for_a_popular_request);
    tcase_add_test(cases, hundreds_of_requests_at_one_crash_are_each_remembered_and_none_is_refused);
    tcase_add_test(cases, an_answer_by_any_server_ends_the_chain);
    tcase_add_test(cases, an_answer_ends_a_refusal_that_was_wrong);
    tcase_add_test(cases, a_late_report_from_before_an_answer_does_not_count);
    tcase_add_test(cases, nodes_that_each_saw_a_part_refuse_it_together);
    tcase_add_test(cases, reports_may_come_in_any_order);
    tcase_add_test(cases, losses_that_are_not_proved_yet_keep_a_node_from_repeating_it);
    tcase_add_test(cases, a_refusal_ends_and_one_more_crash_brings_it_back_for_longer);
    tcase_add_test(cases, what_came_once_is_forgotten);
    tcase_add_test(cases, what_is_remembered_is_bounded);
    suite_add_tcase(suite, cases);
    return cw_test_main(suite);
}
