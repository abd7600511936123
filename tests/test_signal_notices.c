/**
 * @file test_signal_notices.c
 * @brief When notices about a server are sent: by the first node that sees a limit or a leave, not by every node.
 */
#include "loop_fixture.h"
#include "router/signal_notices.h"

static const cw_time_us_t start = CW_SECONDS(100);

/* Number of notices sent from `from` until `until`, looking every 10 ms. */
static size_t sent_until(cw_signal_notices_t *notices, cw_time_us_t from, cw_time_us_t until)
{
    uint32_t     servers[CW_SIGNAL_NOTICES_MAX];
    size_t       sent = 0;
    cw_time_us_t now;

    for (now = from; now < until; now += CW_MS(10)) {
        sent += cw_signal_notices_due(notices, servers, now);
    }
    return sent;
}

START_TEST(a_limit_is_sent_at_once_and_repeated)
{
    cw_signal_notices_t *notices = cw_signal_notices_create();
    uint32_t             servers[CW_SIGNAL_NOTICES_MAX];

    cw_signal_notices_record_limit(notices, 7, CW_LIMIT_BEGUN, start);
    ck_assert_uint_eq(cw_signal_notices_due(notices, servers, start), 1);
    ck_assert_uint_eq(servers[0], 7);
    ck_assert_uint_eq(sent_until(notices, start, start + CW_SECONDS(2)), 2);
    cw_signal_notices_free(notices);
}
END_TEST

START_TEST(a_limit_that_stays_in_force_is_sent_every_few_seconds)
{
    cw_signal_notices_t *notices = cw_signal_notices_create();
    size_t               sent = 0;
    int                  round;

    cw_signal_notices_record_limit(notices, 7, CW_LIMIT_BEGUN, start);
    for (round = 0; round < 1000; round++) { /* a hundred answers a second */
        cw_time_us_t now = start + round * CW_MS(10);

        cw_signal_notices_record_limit(notices, 7, CW_LIMIT_UNCHANGED, now);
        sent += sent_until(notices, now, now + CW_MS(10));
    }
    ck_assert_uint_eq(sent, 4 * 3); /* at 0, 3, 6 and 9 s */
    cw_signal_notices_free(notices);
}
END_TEST

START_TEST(a_limit_that_changes_with_each_answer_causes_few_notices)
{
    cw_signal_notices_t *notices = cw_signal_notices_create();
    size_t               sent = 0;
    int                  round;

    for (round = 0; round < 1000; round++) {
        cw_time_us_t now = start + round * CW_MS(10);

        cw_signal_notices_record_limit(notices, 7, CW_LIMIT_CHANGED, now);
        sent += sent_until(notices, now, now + CW_MS(10));
    }
    ck_assert_uint_le(sent, 3 * 20);
    ck_assert_uint_ge(sent, 19); /* one every half second: a further change does not delay the notice that is due */
    cw_signal_notices_free(notices);
}
END_TEST

START_TEST(a_change_right_after_a_notice_is_sent_a_little_later)
{
    cw_signal_notices_t *notices = cw_signal_notices_create();

    cw_signal_notices_record_received(notices, 7, start);
    cw_signal_notices_record_limit(notices, 7, CW_LIMIT_ENDED, start + CW_MS(10)); /* no further answer will state it */
    ck_assert_uint_eq(sent_until(notices, start, start + CW_MS(400)), 0);
    ck_assert_uint_eq(sent_until(notices, start + CW_MS(400), start + CW_SECONDS(2)), 3);
    cw_signal_notices_free(notices);
}
END_TEST

START_TEST(a_notice_of_another_node_is_not_repeated)
{
    cw_signal_notices_t *notices = cw_signal_notices_create();

    cw_signal_notices_record_received(notices, 7, start);
    cw_signal_notices_record_limit(notices, 7, CW_LIMIT_UNCHANGED, start + CW_MS(10));
    ck_assert_uint_eq(sent_until(notices, start, start + CW_SECONDS(1)), 0);
    cw_signal_notices_record_limit(notices, 7, CW_LIMIT_UNCHANGED,
                                   start + CW_SECONDS(3)); /* no node has sent one for long */
    ck_assert_uint_eq(sent_until(notices, start + CW_SECONDS(3), start + CW_SECONDS(4)), 3);
    cw_signal_notices_free(notices);
}
END_TEST

START_TEST(many_limits_at_once_are_sent_one_datagram_at_a_time)
{
    cw_signal_notices_t *notices = cw_signal_notices_create();
    uint32_t             servers[CW_SIGNAL_NOTICES_MAX];
    uint32_t             server;

    for (server = 1; server <= 2 * CW_SIGNAL_NOTICES_MAX; server++) {
        cw_signal_notices_record_limit(notices, server, CW_LIMIT_BEGUN, start);
    }
    ck_assert_uint_eq(cw_signal_notices_due(notices, servers, start), CW_SIGNAL_NOTICES_MAX);
    ck_assert_uint_eq(cw_signal_notices_due(notices, servers, start), 0); /* one datagram at a time */
    ck_assert_uint_eq(cw_signal_notices_due(notices, servers, start + CW_MS(50)), CW_SIGNAL_NOTICES_MAX);
    ck_assert_uint_eq(cw_signal_notices_due(notices, servers, start + CW_MS(100)), 0);
    cw_signal_notices_free(notices);
}
END_TEST

START_TEST(a_leave_is_sent_until_the_list_shows_it)
{
    cw_signal_notices_t *notices = cw_signal_notices_create();

    cw_signal_notices_record_leave(notices, 7, start);
    ck_assert_uint_eq(sent_until(notices, start, start + CW_SECONDS(2)), 3);
    ck_assert_uint_eq(sent_until(notices, start + CW_SECONDS(2), start + CW_SECONDS(14)), 4); /* at 3, 6, 9 and 12 s */
    cw_signal_notices_end_leave(notices, 7);
    ck_assert_uint_eq(sent_until(notices, start + CW_SECONDS(14), start + CW_SECONDS(60)), 0);
    cw_signal_notices_free(notices);
}
END_TEST

START_TEST(servers_known_only_from_notices_of_others_are_forgotten)
{
    cw_signal_notices_t *notices = cw_signal_notices_create();
    uint32_t             server;

    for (server = 1; server <= 1000; server++) {
        cw_signal_notices_record_received(notices, server, start);
    }
    (void)sent_until(notices, start, start + CW_SECONDS(11));
    ck_assert_uint_eq(cw_signal_notices_servers(notices), 0);
    cw_signal_notices_free(notices);
}
END_TEST

START_TEST(servers_that_state_no_limit_any_more_are_forgotten)
{
    cw_signal_notices_t *notices = cw_signal_notices_create();

    cw_signal_notices_record_limit(notices, 7, CW_LIMIT_BEGUN, start);
    (void)sent_until(notices, start, start + CW_SECONDS(2));
    cw_signal_notices_record_limit(notices, 8, CW_LIMIT_BEGUN, start + CW_SECONDS(20));
    (void)sent_until(notices, start + CW_SECONDS(20), start + CW_SECONDS(21));
    ck_assert_uint_eq(cw_signal_notices_servers(notices), 1);
    cw_signal_notices_free(notices);
}
END_TEST

int main(void)
{
    Suite *suite = suite_create("signal notices");
    TCase *cases = tcase_create("notices");

    tcase_add_test(cases, a_limit_is_sent_at_once_and_repeated);
    tcase_add_test(cases, a_limit_that_stays_in_force_is_sent_every_few_seconds);
    tcase_add_test(cases, a_limit_that_changes_with_each_answer_causes_few_notices);
    tcase_add_test(cases, a_change_right_after_a_notice_is_sent_a_little_later);
    tcase_add_test(cases, a_notice_of_another_node_is_not_repeated);
    tcase_add_test(cases, many_limits_at_once_are_sent_one_datagram_at_a_time);
    tcase_add_test(cases, a_leave_is_sent_until_the_list_shows_it);
    tcase_add_test(cases, servers_known_only_from_notices_of_others_are_forgotten);
    tcase_add_test(cases, servers_that_state_no_limit_any_more_are_forgotten);
    suite_add_tcase(suite, cases);
    return cw_test_main(suite);
}
