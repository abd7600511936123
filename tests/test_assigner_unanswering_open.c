/**
 * @file test_assigner_unanswering_open.c
 * @brief What is left of an unanswered order at a change of the leader, and at a leader that stood still.
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

/* The same if the leader changes after the former holder's hold has run out: nobody tells it. */
START_TEST(a_notice_outlives_a_change_of_the_leader)
{
    assigner_fixture_t *fixture = calloc(1, sizeof(*fixture));
    size_t              sent;

    late_orders_begin(fixture, unique);
    late_orders_pass(fixture, "i-a", 2 * LATE_ORDERS_RENEW_MS);
    ck_assert(cw_assigner_plan_move(fixture->assigner, 0, 99, late_orders_server(fixture, "i-b")));
    cw_assigner_plan_write(fixture->assigner, fixture->now);
    late_orders_pass(fixture, "i-a", 6000);
    ck_assert_int_eq(assigner_fixture_range(fixture, LATE_ORDERS_KEY)->phase, CW_RANGE_HELD);
    cw_assigner_plan_rewrite(fixture->assigner); /* as the planner does a second after a move has ended */
    cw_assigner_plan_write(fixture->assigner, fixture->now);
    assigner_fixture_tick(fixture, CW_MS(LATE_ORDERS_TICK_MS));
    assigner_fixture_take_over(fixture, 2);
    sent = fixture->order_count;
    late_orders_pass(fixture, "", 3000);
    ck_assert_uint_ge(assigner_fixture_count(fixture, CW_ORDER_RELEASE, sent), 1);
    assigner_fixture_clear(fixture);
    free(fixture);
}
END_TEST

/* An answer to a probe that this process reads 340 ms after it sent the probe lets a first grant leave. The server
 * may have given it 339 ms ago. */
START_TEST(a_first_grant_needs_an_answer_that_is_not_old)
{
    assigner_fixture_t fixture;
    size_t             sent;

    late_orders_begin(&fixture, unique);
    (void)late_orders_move(&fixture, "i-c");
    assigner_fixture_tick(&fixture, CW_MS(LATE_ORDERS_TICK_MS));
    fixture.now += CW_MS(340); /* the leader stood still */
    sent = fixture.order_count;
    answer_one(&fixture, last_order(&fixture, "i-c", CW_ORDER_PROBE), CW_ORDER_DONE);
    ck_assert_uint_eq(late_orders_count_grants(&fixture, "i-c", sent), 0);
    assigner_fixture_clear(&fixture);
}
END_TEST

int main(void)
{
    Suite *suite = suite_create("assigner_unanswering_open");
    TCase *cases = tcase_create("assigner_unanswering_open");

    tcase_add_test(cases, a_notice_outlives_a_change_of_the_leader);
    tcase_add_test(cases, a_first_grant_needs_an_answer_that_is_not_old);
    suite_add_tcase(suite, cases);
    return cw_test_main(suite);
}
