/**
 * @file test_assigner_late_orders.c
 * @brief Tests of what a leader sends to servers that do not answer. They may stand still, and carry out whatever was
 * sent to them when they go on.
 */
#include <string.h>

#include "late_orders_fixture.h"
#include "loop_fixture.h"

static const char *const unique[] = {"i-a@10.0.0.1:80", "i-b@10.0.0.2:80", "i-c@10.0.0.3:80", NULL};
/* Servers that keep their names over restarts. */
static const char *const named[] = {"a#1000@10.0.0.1:80", "b#1000@10.0.0.2:80", "c#1000@10.0.0.3:80", NULL};

/* Guards against OWNER: each unanswered renewal of a server that keeps its name led to another fence, granted once; the
 * server took all of them when it went on, after another server had a higher one. */
START_TEST(a_server_that_does_not_answer_gets_no_other_fence)
{
    assigner_fixture_t fixture;
    uint64_t           fence;

    late_orders_begin(&fixture, named);
    fence = assigner_fixture_range(&fixture, LATE_ORDERS_KEY)->owner.fence;
    late_orders_pass(&fixture, "a@1000", 3 * LATE_ORDERS_RENEW_MS);
    ck_assert_uint_eq(assigner_fixture_range(&fixture, LATE_ORDERS_KEY)->owner.fence, fence);
    assigner_fixture_clear(&fixture);
}
END_TEST

/* Guards against two holders: renewals without an answer went on every half second, and each gave a hold when the
 * server went on. */
START_TEST(a_server_that_does_not_answer_gets_no_other_renewal)
{
    assigner_fixture_t fixture;
    size_t             sent;

    late_orders_begin(&fixture, unique);
    sent = fixture.order_count;
    late_orders_pass(&fixture, "i-a", 4 * LATE_ORDERS_RENEW_MS);
    ck_assert_uint_eq(late_orders_count_grants(&fixture, "i-a", sent), 1);
    assigner_fixture_clear(&fixture);
}
END_TEST

/* The owner is granted its keys again as soon as it answers. */
START_TEST(a_server_that_answers_again_is_granted_its_keys)
{
    assigner_fixture_t fixture;
    size_t             sent;

    late_orders_begin(&fixture, named);
    late_orders_pass(&fixture, "a@1000", 2 * LATE_ORDERS_RENEW_MS);
    sent = fixture.order_count;
    assigner_fixture_tick(&fixture, CW_MS(1000));
    late_orders_answer(&fixture, "", CW_ORDER_DONE);
    assigner_fixture_tick(&fixture, CW_MS(LATE_ORDERS_TICK_MS));
    late_orders_answer(&fixture, "", CW_ORDER_DONE);
    assigner_fixture_tick(&fixture, CW_MS(LATE_ORDERS_TICK_MS));
    late_orders_answer(&fixture, "", CW_ORDER_DONE);
    ck_assert_uint_eq(late_orders_count_grants(&fixture, "a@1000", sent), 1);
    ck_assert_int_eq(assigner_fixture_range(&fixture, LATE_ORDERS_KEY)->phase, CW_RANGE_HELD);
    assigner_fixture_clear(&fixture);
}
END_TEST

/* Guards against OWNER: a server that stands still was granted keys that it had not had, and took them late, below the
 * fence of the server that got them in its place. */
START_TEST(a_server_is_granted_keys_only_when_it_has_just_answered)
{
    assigner_fixture_t fixture;
    size_t             sent;

    late_orders_begin(&fixture, unique);
    sent = late_orders_move(&fixture, "i-c");
    assigner_fixture_tick(&fixture, CW_MS(LATE_ORDERS_TICK_MS));
    ck_assert_uint_eq(late_orders_count_grants(&fixture, "i-c", sent), 0);
    late_orders_pass(&fixture, "i-c", 1000);
    ck_assert_uint_eq(late_orders_count_grants(&fixture, "i-c", sent), 0);
    assigner_fixture_tick(&fixture, CW_MS(1000));
    late_orders_answer(&fixture, "", CW_ORDER_DONE);
    ck_assert_uint_eq(late_orders_count_grants(&fixture, "i-c", sent), 1); /* at once, not at the next tick */
    assigner_fixture_clear(&fixture);
}
END_TEST

/* Nothing was granted to the server that did not answer, so that no hold has to run out. */
START_TEST(keys_of_a_server_that_never_answered_move_without_a_wait)
{
    assigner_fixture_t fixture;
    size_t             sent;

    late_orders_begin(&fixture, unique);
    (void)late_orders_move(&fixture, "i-c");
    late_orders_pass(&fixture, "i-c", 1000);
    sent = fixture.order_count;
    ck_assert(cw_assigner_plan_move(fixture.assigner, 0, 99, late_orders_server(&fixture, "i-b")));
    cw_assigner_plan_write(fixture.assigner, fixture.now);
    assigner_fixture_tick(&fixture, CW_MS(LATE_ORDERS_TICK_MS));
    assigner_fixture_tick(&fixture, CW_MS(LATE_ORDERS_TICK_MS));
    late_orders_answer(&fixture, "", CW_ORDER_DONE);
    assigner_fixture_tick(&fixture, CW_MS(LATE_ORDERS_TICK_MS));
    late_orders_answer(&fixture, "", CW_ORDER_DONE);
    ck_assert_uint_eq(late_orders_count_grants(&fixture, "i-b", sent), 1);
    ck_assert_int_eq(assigner_fixture_range(&fixture, LATE_ORDERS_KEY)->phase, CW_RANGE_HELD);
    assigner_fixture_clear(&fixture);
}
END_TEST

/* Guards against OWNER: a first grant waited for a new connection after the owner had answered, and the owner stopped
 * meanwhile. */
START_TEST(a_first_grant_leaves_soon_after_the_answer_on_its_connection)
{
    assigner_fixture_t fixture;
    const cw_order_t  *first;
    size_t             sent;

    late_orders_begin(&fixture, unique);
    (void)late_orders_move(&fixture, "i-c");
    late_orders_pass(&fixture, "i-c", 1000);
    assigner_fixture_tick(&fixture, CW_MS(1000));
    sent = fixture.order_count;
    late_orders_answer(&fixture, "", CW_ORDER_DONE);
    first = &fixture.orders[sent];
    ck_assert_str_eq(first->server, "i-c");
    ck_assert_int_eq(first->kind, CW_ORDER_GRANT);
    ck_assert(!first->fresh);
    for (; sent < fixture.order_count; sent++) {
        const cw_order_t *order = &fixture.orders[sent];

        ck_assert(order->kind != CW_ORDER_GRANT || order->low > LATE_ORDERS_KEY ||
                  order->leave_by <= fixture.now + CW_MS(50));
    }
    assigner_fixture_clear(&fixture);
}
END_TEST

/* Guards against two holders: nothing was sent to a former holder after its hold had run out, so that it did not refuse
 * a grant that it took late. */
START_TEST(a_former_holder_is_told_when_it_answers_again)
{
    assigner_fixture_t fixture;
    size_t             sent;
    uint64_t           fence;

    late_orders_begin(&fixture, unique);
    late_orders_pass(&fixture, "i-a", 2 * LATE_ORDERS_RENEW_MS);
    ck_assert(cw_assigner_plan_move(fixture.assigner, 0, 99, late_orders_server(&fixture, "i-b")));
    cw_assigner_plan_write(fixture.assigner, fixture.now);
    late_orders_pass(&fixture, "i-a", 6000);
    ck_assert_str_eq(assigner_fixture_range(&fixture, LATE_ORDERS_KEY)->owner.id, "i-b");
    ck_assert_int_eq(assigner_fixture_range(&fixture, LATE_ORDERS_KEY)->phase, CW_RANGE_HELD);
    fence = assigner_fixture_range(&fixture, LATE_ORDERS_KEY)->owner.fence;
    sent = fixture.order_count;
    late_orders_pass(&fixture, "", 2000);
    ck_assert_uint_eq(late_orders_count_releases(&fixture, "i-a", fence, sent), 1);
    sent = fixture.order_count;
    late_orders_pass(&fixture, "", 5000);
    ck_assert_uint_eq(late_orders_count_releases(&fixture, "i-a", fence, sent), 0); /* it has answered */
    assigner_fixture_clear(&fixture);
}
END_TEST

int main(void)
{
    Suite *suite = suite_create("assigner_late_orders");
    TCase *cases = tcase_create("assigner_late_orders");

    tcase_add_test(cases, a_server_that_does_not_answer_gets_no_other_fence);
    tcase_add_test(cases, a_server_that_does_not_answer_gets_no_other_renewal);
    tcase_add_test(cases, a_server_that_answers_again_is_granted_its_keys);
    tcase_add_test(cases, a_server_is_granted_keys_only_when_it_has_just_answered);
    tcase_add_test(cases, keys_of_a_server_that_never_answered_move_without_a_wait);
    tcase_add_test(cases, a_first_grant_leaves_soon_after_the_answer_on_its_connection);
    tcase_add_test(cases, a_former_holder_is_told_when_it_answers_again);
    suite_add_tcase(suite, cases);
    return cw_test_main(suite);
}
