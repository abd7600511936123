/**
 * @file test_server_contact.c
 * @brief Tests of what the leader knows of orders without an answer: when each is over.
 */
#include "assignment/server_contact.h"

#include <stdio.h>

#include "loop_fixture.h"

enum { LATE_ORDER_S = 13 };

static const cw_time_us_t start = CW_SECONDS(100);

static cw_order_t order_of(uint64_t id, cw_order_kind_t kind, uint32_t low, uint32_t last, uint64_t fence)
{
    cw_order_t order = {.id = id,
                        .kind = kind,
                        .low = low,
                        .last = last,
                        .fence = fence,
                        .hold = kind == CW_ORDER_GRANT ? CW_SECONDS(5) : 0,
                        .sent_at = start};

    snprintf(order.server, sizeof(order.server), "i-a");
    return order;
}

/* Contacts with one grant of keys 0 to 99, fence 10, that got no answer 350 ms after it was sent. */
static cw_server_contacts_t *with_open_grant(void)
{
    cw_server_contacts_t *contacts = cw_server_contacts_create(CW_SECONDS(LATE_ORDER_S));
    cw_order_t            grant = order_of(1, CW_ORDER_GRANT, 0, 99, 10);

    cw_server_contacts_record(contacts, &grant, CW_ORDER_UNANSWERED, start + CW_MS(350));
    return contacts;
}

static void record(cw_server_contacts_t *contacts, const cw_order_t *order, cw_order_result_t result)
{
    cw_server_contacts_record(contacts, order, result, start + CW_SECONDS(1));
}

START_TEST(an_order_without_an_answer_is_open_until_the_latest_time_plus_its_hold)
{
    cw_server_contacts_t *contacts = with_open_grant();
    cw_time_us_t          over_at = cw_order_hold_end(start + CW_MS(350) + CW_SECONDS(LATE_ORDER_S), CW_SECONDS(5));

    cw_server_contacts_expire(contacts, over_at - 1);
    ck_assert_uint_eq(cw_server_contacts_open_orders(contacts), 1);
    cw_server_contacts_expire(contacts, over_at);
    ck_assert_uint_eq(cw_server_contacts_open_orders(contacts), 0);
    cw_server_contacts_free(contacts);
}
END_TEST

START_TEST(an_answered_higher_fence_on_one_key_ends_an_open_grant)
{
    cw_server_contacts_t *contacts = with_open_grant();
    cw_order_t            release = order_of(2, CW_ORDER_RELEASE, 99, 200, 11);

    record(contacts, &release, CW_ORDER_DONE);
    ck_assert_uint_eq(cw_server_contacts_open_orders(contacts), 0);
    cw_server_contacts_free(contacts);
}
END_TEST

START_TEST(answers_that_show_no_higher_fence_on_its_keys_leave_a_grant_open)
{
    cw_server_contacts_t *contacts = with_open_grant();
    cw_order_t            same = order_of(2, CW_ORDER_GRANT, 0, 99, 10);
    cw_order_t            other_keys = order_of(3, CW_ORDER_RELEASE, 100, 200, 11);
    cw_order_t            refused = order_of(4, CW_ORDER_GRANT, 0, 99, 11);
    cw_order_t            fenced_beyond = order_of(5, CW_ORDER_GRANT, 50, 150, 11);

    record(contacts, &same, CW_ORDER_DONE);
    record(contacts, &other_keys, CW_ORDER_DONE);
    record(contacts, &refused, CW_ORDER_REFUSED);
    record(contacts, &fenced_beyond, CW_ORDER_FENCED); /* the higher fence may be on key 150 */
    ck_assert_uint_eq(cw_server_contacts_open_orders(contacts), 1);
    cw_server_contacts_free(contacts);
}
END_TEST

START_TEST(a_fenced_order_on_keys_of_the_grant_ends_it)
{
    cw_server_contacts_t *contacts = with_open_grant();
    cw_order_t            fenced = order_of(2, CW_ORDER_GRANT, 20, 30, 10);

    record(contacts, &fenced, CW_ORDER_FENCED);
    ck_assert_uint_eq(cw_server_contacts_open_orders(contacts), 0);
    cw_server_contacts_free(contacts);
}
END_TEST

START_TEST(a_release_without_an_answer_is_not_refused_later)
{
    cw_server_contacts_t *contacts = cw_server_contacts_create(CW_SECONDS(LATE_ORDER_S));
    cw_order_t            release = order_of(1, CW_ORDER_RELEASE, 0, 99, 11);
    cw_order_t            grant = order_of(2, CW_ORDER_GRANT, 0, 99, 12);

    record(contacts, &release, CW_ORDER_UNANSWERED);
    record(contacts, &grant, CW_ORDER_DONE);
    ck_assert_uint_eq(cw_server_contacts_open_orders(contacts), 1);
    cw_server_contacts_free(contacts);
}
END_TEST

START_TEST(the_end_of_the_incarnation_ends_its_orders)
{
    cw_server_contacts_t *contacts = with_open_grant();
    cw_order_t            release = order_of(2, CW_ORDER_RELEASE, 500, 600, 9);

    record(contacts, &release, CW_ORDER_OTHER_INCARNATION);
    ck_assert_uint_eq(cw_server_contacts_open_orders(contacts), 0);
    cw_server_contacts_free(contacts);
}
END_TEST

START_TEST(a_server_is_unanswering_from_its_first_unanswered_order_to_its_next_answer)
{
    cw_server_contacts_t *contacts = with_open_grant();
    cw_order_t            grant = order_of(2, CW_ORDER_GRANT, 0, 99, 10);
    cw_order_t            not_sent = order_of(3, CW_ORDER_GRANT, 0, 99, 10);

    record(contacts, &grant, CW_ORDER_UNANSWERED);
    ck_assert_int_eq(cw_server_contacts_find(contacts, "i-a")->unanswered_since, start + CW_MS(350));
    record(contacts, &not_sent, CW_ORDER_NOT_SENT);
    ck_assert_uint_eq(cw_server_contacts_unanswering(contacts), 1);
    ck_assert_uint_eq(cw_server_contacts_open_orders(contacts), 2);
    record(contacts, &not_sent, CW_ORDER_REFUSED);
    ck_assert_uint_eq(cw_server_contacts_unanswering(contacts), 0);
    ck_assert_int_eq(cw_server_contacts_find(contacts, "i-a")->answered_at, start + CW_SECONDS(1));
    cw_server_contacts_free(contacts);
}
END_TEST

int main(void)
{
    Suite *suite = suite_create("server_contact");
    TCase *cases = tcase_create("server_contact");

    tcase_add_test(cases, an_order_without_an_answer_is_open_until_the_latest_time_plus_its_hold);
    tcase_add_test(cases, an_answered_higher_fence_on_one_key_ends_an_open_grant);
    tcase_add_test(cases, answers_that_show_no_higher_fence_on_its_keys_leave_a_grant_open);
    tcase_add_test(cases, a_fenced_order_on_keys_of_the_grant_ends_it);
    tcase_add_test(cases, a_release_without_an_answer_is_not_refused_later);
    tcase_add_test(cases, the_end_of_the_incarnation_ends_its_orders);
    tcase_add_test(cases, a_server_is_unanswering_from_its_first_unanswered_order_to_its_next_answer);
    suite_add_tcase(suite, cases);
    return cw_test_main(suite);
}
