/**
 * @file test_crash_suspects.c
 * @brief Which requests are recognized as crashing servers, and which are not although servers ended while they ran.
 */
#include "loop_fixture.h"
#include "retry/crash_suspects.h"

enum { KILLER = 77, INNOCENT = 78, WORK_MS = 20, COPIES = 40 };

static cw_crash_suspects_t *suspects;
static cw_time_us_t         now;
static uint32_t             next_server;
static uint32_t             observed; /* crashes reported to the callback */

static void count_crash(void *context, const cw_crash_t *crash)
{
    (void)context;
    (void)crash;
    observed++;
}

static void setup(void)
{
    suspects = cw_crash_suspects_create(count_crash, NULL);
    now = CW_SECONDS(100);
    next_server = 1;
    observed = 0;
}

static void teardown(void)
{
    cw_crash_suspects_free(suspects);
}

/* Sends the request to another server, which is then lost; returns that server. */
static uint32_t lose(uint64_t request)
{
    cw_crash_t loss = {.request = request, .server = next_server++, .sent_at = now, .lost_at = now + CW_MS(WORK_MS)};

    now += CW_MS(WORK_MS);
    ck_assert(cw_crash_suspects_record_loss(suspects, &loss));
    return loss.server;
}

static void crash(uint64_t request)
{
    uint32_t server = lose(request);

    cw_crash_suspects_record_end(suspects, server, now);
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
    ck_assert_uint_eq(observed, 3);
    ck_assert(!is_refused(INNOCENT));
}
END_TEST

START_TEST(connections_reset_by_live_servers_do_not_count_as_crashes)
{
    int index;

    for (index = 0; index < 2 * CW_CRASHES_MAX; index++) {
        (void)lose(KILLER);
    }
    now += CW_SECONDS(CW_LOSS_CONFIRM_S) + 1;
    cw_crash_suspects_tick(suspects, now);
    ck_assert(!cw_crash_suspects_has_any(suspects));
    ck_assert(!is_refused(KILLER));
}
END_TEST

START_TEST(servers_lost_at_the_same_time_count_once_for_a_popular_request)
{
    uint32_t first = next_server;
    uint32_t server;
    int      index;

    for (index = 0; index < COPIES; index++) { /* as when a zone loses power with this many copies in flight */
        cw_crash_t loss = {.request = INNOCENT, .server = next_server++, .sent_at = now, .lost_at = now + CW_MS(index)};

        ck_assert(cw_crash_suspects_record_loss(suspects, &loss));
    }
    now += CW_MS(COPIES);
    for (server = first; server < next_server; server++) {
        cw_crash_suspects_record_end(suspects, server, now);
    }
    ck_assert_uint_eq(cw_crash_suspects_crashes(suspects, INNOCENT), 1);
    ck_assert(!is_refused(INNOCENT));
}
END_TEST

START_TEST(all_requests_at_one_crash_are_remembered_and_none_is_refused)
{
    uint32_t server = next_server++;
    uint64_t request;

    for (request = 1000; request < 1200; request++) {
        cw_crash_t loss = {.request = request, .server = server, .sent_at = now, .lost_at = now + CW_MS(1)};

        ck_assert(cw_crash_suspects_record_loss(suspects, &loss));
    }
    cw_crash_suspects_record_end(suspects, server, now + CW_MS(5));
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
    ck_assert(!cw_crash_suspects_clear(suspects, INNOCENT, now + 1)); /* the answer is known already */
    now += CW_MS(1);
    crash(INNOCENT);
    ck_assert_uint_eq(cw_crash_suspects_crashes(suspects, INNOCENT), 1);
}
END_TEST

START_TEST(an_answer_ends_a_wrong_refusal)
{
    crash(INNOCENT);
    crash(INNOCENT);
    crash(INNOCENT);
    ck_assert(cw_crash_suspects_clear(suspects, INNOCENT, now));
    ck_assert(!is_refused(INNOCENT));
}
END_TEST

START_TEST(a_late_report_of_a_crash_before_an_answer_does_not_count)
{
    cw_crash_t late = {.request = INNOCENT, .server = 900, .sent_at = now, .lost_at = now + CW_MS(1)};

    crash(INNOCENT);
    ck_assert(cw_crash_suspects_clear(suspects, INNOCENT, now));
    cw_crash_suspects_record_reported(suspects, &late, now + CW_MS(300));
    ck_assert_uint_eq(cw_crash_suspects_crashes(suspects, INNOCENT), 0);
}
END_TEST

START_TEST(crashes_reported_by_other_nodes_count_towards_a_refusal)
{
    cw_crash_t other = {.request = KILLER, .server = 900};

    crash(KILLER);
    other.sent_at = now + CW_MS(10);
    other.lost_at = now + CW_MS(30);
    cw_crash_suspects_record_reported(suspects, &other, now + CW_MS(200));
    cw_crash_suspects_record_reported(
        suspects, &other, now + CW_MS(600)); /* the report is sent repeatedly, since datagrams may be lost */
    ck_assert_uint_eq(cw_crash_suspects_crashes(suspects, KILLER), 2);
    now += CW_MS(700);
    crash(KILLER);
    ck_assert(is_refused(KILLER));
}
END_TEST

START_TEST(reports_may_come_in_any_order)
{
    cw_crash_t crashes[CW_CRASHES_MAX];
    int        index;

    for (index = 0; index < CW_CRASHES_MAX; index++) {
        crashes[index] = (cw_crash_t){.request = KILLER,
                                      .server = 900 + (uint32_t)index,
                                      .sent_at = now + CW_MS(100 * index),
                                      .lost_at = now + CW_MS(100 * index + WORK_MS)};
    }
    now += CW_SECONDS(1);
    for (index = CW_CRASHES_MAX; index > 0; index--) {
        cw_crash_suspects_record_reported(suspects, &crashes[index - 1], now);
    }
    ck_assert(is_refused(KILLER));
}
END_TEST

START_TEST(unconfirmed_losses_prevent_a_repeat)
{
    (void)lose(KILLER);
    (void)lose(KILLER);
    ck_assert(cw_crash_suspects_may_repeat(suspects, KILLER));
    (void)lose(KILLER);
    ck_assert(!cw_crash_suspects_may_repeat(suspects, KILLER));
    ck_assert(!is_refused(KILLER)); /* the next request of a caller may still be sent */
    ck_assert(cw_crash_suspects_may_repeat(suspects, INNOCENT));
}
END_TEST

START_TEST(a_refusal_ends_and_one_more_crash_starts_a_longer_one)
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

START_TEST(a_request_with_a_single_crash_is_forgotten)
{
    crash(KILLER);
    now += CW_SECONDS(CW_SUSPECT_FORGET_S) + CW_SECONDS(1);
    cw_crash_suspects_tick(suspects, now);
    ck_assert_uint_eq(cw_crash_suspects_count(suspects), 0);
}
END_TEST

START_TEST(the_number_of_remembered_requests_and_losses_is_bounded)
{
    uint64_t request;

    for (request = 1000; request < 1000 + 2 * CW_SUSPECTS_MAX; request++) {
        crash(request);
    }
    ck_assert_uint_eq(cw_crash_suspects_count(suspects), CW_SUSPECTS_MAX);
    ck_assert_uint_eq(cw_crash_suspects_crashes(suspects, 1000), 0); /* the oldest one was forgotten */
    for (request = 1; request <= CW_LOSSES_MAX; request++) {
        (void)lose(request);
    }
    ck_assert(!cw_crash_suspects_record_loss(suspects, &(cw_crash_t){.request = 1}));
}
END_TEST

int main(void)
{
    Suite *suite = suite_create("crash_suspects");
    TCase *cases = tcase_create("crash_suspects");

    tcase_add_checked_fixture(cases, setup, teardown);
    tcase_add_test(cases, a_request_is_refused_after_three_crashes);
    tcase_add_test(cases, connections_reset_by_live_servers_do_not_count_as_crashes);
    tcase_add_test(cases, servers_lost_at_the_same_time_count_once_for_a_popular_request);
    tcase_add_test(cases, all_requests_at_one_crash_are_remembered_and_none_is_refused);
    tcase_add_test(cases, an_answer_by_any_server_ends_the_chain);
    tcase_add_test(cases, an_answer_ends_a_wrong_refusal);
    tcase_add_test(cases, a_late_report_of_a_crash_before_an_answer_does_not_count);
    tcase_add_test(cases, crashes_reported_by_other_nodes_count_towards_a_refusal);
    tcase_add_test(cases, reports_may_come_in_any_order);
    tcase_add_test(cases, unconfirmed_losses_prevent_a_repeat);
    tcase_add_test(cases, a_refusal_ends_and_one_more_crash_starts_a_longer_one);
    tcase_add_test(cases, a_request_with_a_single_crash_is_forgotten);
    tcase_add_test(cases, the_number_of_remembered_requests_and_losses_is_bounded);
    suite_add_tcase(suite, cases);
    return cw_test_main(suite);
}
