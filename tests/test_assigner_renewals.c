/**
 * @file test_assigner_renewals.c
 * @brief Renewals of grants: a server that restarts under its name gets no fence that it had before, and with many
 * owners renewals stay within their rate.
 */
#include <string.h>

#include "assigner_fixture.h"
#include "loop_fixture.h"

static const char *const two[] = {"i-a@10.0.0.1:80", "i-b@10.0.0.2:80", NULL};

/* ---- servers that restart under their names ---- */

static const char *const started[] = {"i-a#1000@10.0.0.1:80", "i-b#1000@10.0.0.2:80", NULL};
static const char *const restarted[] = {"i-a#2000@10.0.0.1:80", "i-b#1000@10.0.0.2:80", NULL};

static const cw_order_t *last_grant_to(const assigner_fixture_t *fixture, const char *address)
{
    size_t index;

    for (index = fixture->order_count; index > 0; index--) {
        const cw_order_t *order = &fixture->orders[index - 1];

        if (order->kind == CW_ORDER_GRANT && strcmp(order->address, address) == 0) {
            return order;
        }
    }
    ck_abort_msg("no grant to %s", address);
    return NULL;
}

static void begin_with(assigner_fixture_t *fixture, const char *const *servers)
{
    assigner_fixture_init(fixture, 1);
    assigner_fixture_set_servers(fixture, servers);
    assigner_fixture_settle(fixture);
}

/* Sends the next renewals of all ranges and gives them this result. */
static void renew(assigner_fixture_t *fixture, cw_order_result_t result)
{
    size_t sent = fixture->order_count;

    assigner_fixture_tick(fixture, CW_MS(1250));
    ck_assert_uint_gt(fixture->order_count, sent);
    assigner_fixture_answer(fixture, result, NULL);
}

START_TEST(an_owner_that_an_order_did_not_reach_gets_no_more_grants_with_its_fence)
{
    static const cw_order_result_t results[] = {CW_ORDER_NOT_SENT, CW_ORDER_UNANSWERED};
    assigner_fixture_t             fixture;
    uint64_t                       fence;
    uint32_t                       writes;
    size_t                         sent;
    size_t                         index;

    begin_with(&fixture, started);
    fence = last_grant_to(&fixture, "10.0.0.1:80")->fence;
    writes = fixture.writes;
    renew(&fixture, results[_i]);
    sent = fixture.order_count;
    assigner_fixture_tick(&fixture, CW_MS(500)); /* new fences are written first, for all ranges in one write */
    assigner_fixture_tick(&fixture, CW_MS(20));
    assigner_fixture_tick(&fixture, CW_MS(500));
    ck_assert_uint_eq(fixture.writes, writes + 1);
    ck_assert_uint_eq(assigner_fixture_count(&fixture, CW_ORDER_GRANT, sent), 2);
    for (index = sent; index < fixture.order_count; index++) { /* then they are granted to the same owners */
        ck_assert_uint_gt(fixture.orders[index].fence, fence);
    }
    ck_assert_str_eq(last_grant_to(&fixture, "10.0.0.1:80")->server, "i-a@1000");
    assigner_fixture_clear(&fixture);
}
END_TEST

START_TEST(a_new_fence_that_was_certainly_not_sent_is_granted_again)
{
    assigner_fixture_t fixture;
    uint64_t           fence;
    uint32_t           writes;

    begin_with(&fixture, started);
    renew(&fixture, CW_ORDER_NOT_SENT);
    assigner_fixture_tick(&fixture, CW_MS(500));
    assigner_fixture_tick(&fixture, CW_MS(20));
    assigner_fixture_tick(&fixture, CW_MS(500));
    fence = last_grant_to(&fixture, "10.0.0.1:80")->fence;
    writes = fixture.writes;
    assigner_fixture_answer(&fixture, CW_ORDER_NOT_SENT, NULL);
    assigner_fixture_tick(&fixture, CW_MS(500));
    assigner_fixture_answer(&fixture, CW_ORDER_NOT_SENT, NULL);
    assigner_fixture_tick(&fixture, CW_MS(500));
    ck_assert_uint_eq(last_grant_to(&fixture, "10.0.0.1:80")->fence, fence);
    ck_assert_uint_eq(fixture.writes, writes);
    assigner_fixture_clear(&fixture);
}
END_TEST

/* Guards against a renewal for the incarnation before that reaches the one after it: the server restarts under its name
 * between two renewals, and knows only its name (process/server_restarts_with_its_name.sh). */
START_TEST(renewals_are_bound_to_connections_from_before_the_last_confirmation)
{
    assigner_fixture_t fixture;
    const cw_order_t  *first;

    begin_with(&fixture, started);
    first = last_grant_to(&fixture, "10.0.0.1:80");
    ck_assert_int_eq(first->connected_by, 0);
    renew(&fixture, CW_ORDER_DONE);
    ck_assert_int_eq(last_grant_to(&fixture, "10.0.0.1:80")->connected_by, first->sent_at);
    assigner_fixture_clear(&fixture);
    begin_with(&fixture, two); /* their ids are used once */
    renew(&fixture, CW_ORDER_DONE);
    ck_assert_int_eq(last_grant_to(&fixture, "10.0.0.1:80")->connected_by, 0);
    assigner_fixture_clear(&fixture);
}
END_TEST

/* Guards against a renewal that finds no connection, since the one of the grant before it was opened after that grant
 * had been decided: owners were not renewed while the store was down (process/store_down.sh). */
START_TEST(a_renewal_may_use_the_connection_that_was_opened_for_the_grant_before_it)
{
    assigner_fixture_t fixture;
    const cw_order_t  *first;

    assigner_fixture_init(&fixture, 1);
    fixture.begin_delay = CW_MS(3);
    assigner_fixture_set_servers(&fixture, started);
    assigner_fixture_settle(&fixture);
    first = last_grant_to(&fixture, "10.0.0.1:80");
    renew(&fixture, CW_ORDER_DONE);
    ck_assert_int_eq(last_grant_to(&fixture, "10.0.0.1:80")->connected_by, first->sent_at + CW_MS(3));
    assigner_fixture_clear(&fixture);
}
END_TEST

START_TEST(an_owner_without_a_connection_from_before_gets_a_new_fence_and_is_served_meanwhile)
{
    assigner_fixture_t fixture;
    uint64_t           fence;
    uint32_t           writes;
    size_t             index;

    begin_with(&fixture, started);
    fence = last_grant_to(&fixture, "10.0.0.1:80")->fence;
    writes = fixture.writes;
    renew(&fixture, CW_ORDER_OTHER_CONNECTION);
    ck_assert_int_eq(assigner_fixture_range(&fixture, 50)->failing_since, 0);
    for (index = 0; index < 3; index++) {
        const cw_range_t *range = assigner_fixture_range(&fixture, 50);

        ck_assert(range->phase == CW_RANGE_HELD || range->keeps_serving);
        assigner_fixture_tick(&fixture, CW_MS(20));
    }
    ck_assert_uint_eq(fixture.writes, writes + 1);
    ck_assert_uint_gt(last_grant_to(&fixture, "10.0.0.1:80")->fence, fence);
    ck_assert_int_eq(last_grant_to(&fixture, "10.0.0.1:80")->connected_by, 0);
    assigner_fixture_clear(&fixture);
}
END_TEST

/* It has no connection from before, and the server may have restarted while no leader renewed. */
START_TEST(a_new_leader_gives_new_fences_to_owners_that_may_restart_with_their_names)
{
    assigner_fixture_t fixture;
    uint64_t           fence;
    size_t             sent;
    size_t             index;

    begin_with(&fixture, started);
    fence = last_grant_to(&fixture, "10.0.0.2:80")->fence;
    sent = fixture.order_count;
    assigner_fixture_take_over(&fixture, 2);
    for (index = 0; index < 5; index++) {
        assigner_fixture_tick(&fixture, CW_MS(20));
    }
    ck_assert_uint_eq(assigner_fixture_count(&fixture, CW_ORDER_GRANT, sent), 2);
    ck_assert_uint_gt(fixture.orders[sent].fence, fence);
    ck_assert_uint_gt(fixture.orders[sent + 1].fence, fence);
    ck_assert(assigner_fixture_range(&fixture, 50)->keeps_serving);
    assigner_fixture_clear(&fixture);
}
END_TEST

START_TEST(a_restarted_server_is_another_owner)
{
    assigner_fixture_t fixture;
    size_t             sent;

    begin_with(&fixture, started);
    assigner_fixture_set_servers(&fixture, restarted);
    sent = fixture.order_count;
    assigner_fixture_tick(&fixture, CW_MS(1250)); /* the former incarnation has ended and is not renewed */
    ck_assert_uint_eq(assigner_fixture_count(&fixture, CW_ORDER_GRANT, sent), 1);
    ck_assert_str_eq(fixture.orders[sent].server, "i-b@1000");
    cw_assigner_plan_move(fixture.assigner, 0, 32767, cw_server_list_find(fixture.servers, "i-a@2000"));
    cw_assigner_plan_write(fixture.assigner, fixture.now);
    assigner_fixture_tick(&fixture, CW_MS(20));
    sent = fixture.order_count;
    assigner_fixture_tick(&fixture, CW_MS(20)); /* the grant needs no wait */
    ck_assert_uint_eq(assigner_fixture_count(&fixture, CW_ORDER_RELEASE, sent), 0);
    ck_assert_str_eq(last_grant_to(&fixture, "10.0.0.1:80")->server, "i-a@2000");
    assigner_fixture_clear(&fixture);
}
END_TEST

START_TEST(an_owner_whose_id_is_used_once_is_granted_again_with_its_fence)
{
    assigner_fixture_t fixture;
    uint64_t           fence;
    uint32_t           writes;

    begin_with(&fixture, two);
    fence = last_grant_to(&fixture, "10.0.0.1:80")->fence;
    writes = fixture.writes;
    renew(&fixture, CW_ORDER_UNANSWERED);
    assigner_fixture_tick(&fixture, CW_MS(500));
    ck_assert_uint_eq(last_grant_to(&fixture, "10.0.0.1:80")->fence, fence);
    ck_assert_uint_eq(fixture.writes, writes);
    assigner_fixture_clear(&fixture);
}
END_TEST

/* ---- many owners ---- */

enum { RENEWALS_PER_SECOND = 1 };

START_TEST(with_many_ranges_renewals_stay_within_their_rate_and_holds_last_longer)
{
    assigner_fixture_t fixture;
    const cw_order_t  *first;
    const cw_order_t  *second;

    begin_with(&fixture, two);
    /* Two ranges: each is renewed once in two seconds. */
    cw_assigner_set_renewal_rate(fixture.assigner, RENEWALS_PER_SECOND);
    renew(&fixture, CW_ORDER_DONE);
    first = last_grant_to(&fixture, "10.0.0.1:80");
    ck_assert_int_eq(first->hold, CW_MS(5000 + 2000 - 1250));
    assigner_fixture_tick(&fixture, CW_MS(1990));
    ck_assert_ptr_eq(last_grant_to(&fixture, "10.0.0.1:80"), first);
    assigner_fixture_tick(&fixture, CW_MS(10));
    second = last_grant_to(&fixture, "10.0.0.1:80");
    ck_assert_ptr_ne(second, first);
    ck_assert_int_ge(first->sent_at + first->hold - second->sent_at, CW_MS(3750)); /* as with few ranges */
    assigner_fixture_clear(&fixture);
}
END_TEST

START_TEST(holds_are_never_longer_than_servers_accept)
{
    assigner_fixture_t fixture;
    const cw_order_t  *grant;

    begin_with(&fixture, two);
    cw_assigner_set_renewal_rate(fixture.assigner, 0.01);
    renew(&fixture, CW_ORDER_DONE);
    grant = last_grant_to(&fixture, "10.0.0.1:80");
    ck_assert_int_eq(grant->hold, CW_MS(8000));
    assigner_fixture_tick(&fixture, CW_MS(8000 - 3750) + CW_MS(1));
    ck_assert_ptr_ne(last_grant_to(&fixture, "10.0.0.1:80"), grant);
    assigner_fixture_clear(&fixture);
}
END_TEST

int main(void)
{
    Suite *suite = suite_create("assigner renewals");
    TCase *cases = tcase_create("assigner renewals");

    tcase_add_loop_test(cases, an_owner_that_an_order_did_not_reach_gets_no_more_grants_with_its_fence, 0, 2);
    tcase_add_test(cases, a_new_fence_that_was_certainly_not_sent_is_granted_again);
    tcase_add_test(cases, renewals_are_bound_to_connections_from_before_the_last_confirmation);
    tcase_add_test(cases, a_renewal_may_use_the_connection_that_was_opened_for_the_grant_before_it);
    tcase_add_test(cases, an_owner_without_a_connection_from_before_gets_a_new_fence_and_is_served_meanwhile);
    tcase_add_test(cases, a_new_leader_gives_new_fences_to_owners_that_may_restart_with_their_names);
    tcase_add_test(cases, a_restarted_server_is_another_owner);
    tcase_add_test(cases, an_owner_whose_id_is_used_once_is_granted_again_with_its_fence);
    tcase_add_test(cases, with_many_ranges_renewals_stay_within_their_rate_and_holds_last_longer);
    tcase_add_test(cases, holds_are_never_longer_than_servers_accept);
    suite_add_tcase(suite, cases);
    return cw_test_main(suite);
}
