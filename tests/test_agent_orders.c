/**
 * @file test_agent_orders.c
 * @brief Tests of the agent: grants and revocations, and which ranges they make ready.
 */
#include <check.h>
#include <stdlib.h>

#include "common/agent_world.h"

START_TEST(ready_under_exactly_the_accepted_fence_while_lease_lives)
{
    const Cw__GrantReport *report;

    agent_world_begin_forwarding();
    agent_world_order(true, 40, 7);
    ck_assert_int_eq(agent_world_readiness(40, 7), CW_RANGE_PENDING);
    agent_world_order(true, 40, 7);
    ck_assert_uint_eq(agent_world.call_count, 2);
    agent_world_answer(CW_SERVER_GRANT, 0, SERVER_INCARNATION, agent_world_server_clock() + LEASE_US,
                       (cw_range_id_t[]){40}, 1);
    ck_assert_int_eq(agent_world_readiness(40, 7), CW_RANGE_READY);
    ck_assert_int_eq(agent_world_readiness(40, 6), CW_RANGE_NOT_MINE);
    ck_assert_int_eq(agent_world_readiness(40, 8), CW_RANGE_NOT_MINE);
    agent_world_order(true, 40, 7); /* the report was lost: told again without a call */
    ck_assert_uint_eq(agent_world.call_count, 2);
    ck_assert_uint_eq(agent_world_count_sent(CW__ENVELOPE__BODY_GRANT_REPORT), 2);
    report = agent_world_last_sent(CW__ENVELOPE__BODY_GRANT_REPORT)->grant_report;
    ck_assert_uint_eq(report->accepted[0], 40);
    ck_assert_uint_eq(report->accepted_fences[0]->index, 7);
    agent_world_tick_after(LEASE_US);
    ck_assert_int_eq(agent_world_readiness(40, 7), CW_RANGE_PENDING);
}
END_TEST

START_TEST(revoke_stops_at_once_and_delayed_grant_does_not_revive)
{
    agent_world_begin_forwarding();
    agent_world_grant_accepted(40, 7);
    agent_world_order(false, 40, 6); /* of an older fence */
    ck_assert_int_eq(agent_world_readiness(40, 7), CW_RANGE_READY);
    agent_world_order(false, 40, 7);
    ck_assert_int_eq(agent_world_readiness(40, 7), CW_RANGE_REVOKED);
    agent_world_order(true, 40, 7);
    ck_assert_int_eq(agent_world_readiness(40, 7), CW_RANGE_REVOKED);
    ck_assert_uint_eq(agent_world_count_sent(CW__ENVELOPE__BODY_REVOKE_REPORT), 0);
    agent_world_answer(CW_SERVER_REVOKE, 0, SERVER_INCARNATION, agent_world_server_clock() + LEASE_US,
                       (cw_range_id_t[]){40}, 1);
    ck_assert_uint_eq(agent_world_last_sent(CW__ENVELOPE__BODY_REVOKE_REPORT)->revoke_report->fences[0]->index, 7);
    agent_world_order(false, 40, 7);
    ck_assert_uint_eq(agent_world_count_sent(CW__ENVELOPE__BODY_REVOKE_REPORT), 2);
    ck_assert_int_eq(agent_world.calls[agent_world.call_count - 1].kind, CW_SERVER_REVOKE);
    agent_world_grant_accepted(40, 9);
    ck_assert_int_eq(agent_world_readiness(40, 9), CW_RANGE_READY);
}
END_TEST

/* Any number may stand in a message. */
START_TEST(drain_time_of_an_order_is_bounded)
{
    static const int64_t wild_ms[] = {INT64_MAX, INT64_MAX / CW_US_PER_MS, INT64_MIN};

    agent_world_begin_forwarding();
    agent_world_grant_accepted(40, 7);
    agent_world.drain_ms = wild_ms[_i];
    agent_world_order(false, 40, 7);
    agent_world.drain_ms = 0;
    ck_assert_int_eq(agent_world.calls[agent_world.call_count - 1].kind, CW_SERVER_REVOKE);
    ck_assert_int_gt(agent_world.calls[agent_world.call_count - 1].timeout_us, 0);
    ck_assert_int_le(agent_world.calls[agent_world.call_count - 1].timeout_us, INT64_C(3600) * CW_US_PER_S);
}
END_TEST

START_TEST(revoke_call_waits_for_grant_call)
{
    agent_world_begin_forwarding();
    agent_world_order(true, 40, 7);
    agent_world_order(false, 40, 7);
    ck_assert_int_eq(agent_world.calls[agent_world.call_count - 1].kind, CW_SERVER_GRANT);
    agent_world_answer(CW_SERVER_GRANT, 0, SERVER_INCARNATION, agent_world_server_clock() + LEASE_US,
                       (cw_range_id_t[]){40}, 1);
    ck_assert_int_eq(agent_world_readiness(40, 7), CW_RANGE_REVOKED);
    agent_world_order(false, 40, 7);
    ck_assert_int_eq(agent_world.calls[agent_world.call_count - 1].kind, CW_SERVER_REVOKE);
}
END_TEST

START_TEST(restarted_server_holds_nothing)
{
    agent_world_begin_forwarding();
    agent_world_grant_accepted(40, 7);
    agent_world_tick_after(HEARTBEAT_US);
    agent_world_tick_after(HEARTBEAT_US);
    agent_world.server_clock_offset = -agent_world.now.monotonic_us + 5000;
    agent_world_answer(CW_SERVER_READ_STATE, 0, NEXT_SERVER_INCARNATION, 0, NULL, 0);
    ck_assert_int_eq(agent_world_readiness(40, 7), CW_RANGE_PENDING);
    ck_assert_int_le(cw_agent_lease_left_us(agent_world.agent, agent_world.server_id, agent_world.now), 0);
    agent_world_order(true, 40, 8); /* meant for the former life */
    ck_assert_int_ne(agent_world.calls[agent_world.call_count - 1].kind, CW_SERVER_GRANT);
    agent_world_answer(CW_SERVER_READ_STATE, 0, NEXT_SERVER_INCARNATION, agent_world_server_clock() + LEASE_US, NULL,
                       0);
    ck_assert_int_gt(cw_agent_lease_left_us(agent_world.agent, agent_world.server_id, agent_world.now), 0);
    ck_assert_int_eq(agent_world_readiness(40, 7), CW_RANGE_PENDING);
    agent_world_tick_after(HEARTBEAT_US / 2);
    ck_assert_uint_eq(agent_world_last_sent(CW__ENVELOPE__BODY_HEARTBEAT)->heartbeat->servers[0]->incarnation,
                      NEXT_SERVER_INCARNATION);
}
END_TEST

START_TEST(grant_taken_by_another_incarnation_does_not_count)
{
    agent_world_begin_forwarding();
    agent_world_order(true, 40, 7);
    agent_world.now.monotonic_us += 1000;
    agent_world_answer(CW_SERVER_GRANT, 0, NEXT_SERVER_INCARNATION, agent_world_server_clock() + LEASE_US,
                       (cw_range_id_t[]){40}, 1);
    ck_assert_int_eq(agent_world_readiness(40, 7), CW_RANGE_PENDING);
    ck_assert_uint_eq(agent_world_count_sent(CW__ENVELOPE__BODY_GRANT_REPORT), 0);
}
END_TEST

START_TEST(lapsed_lease_drops_ranges_for_good)
{
    agent_world_begin_forwarding();
    agent_world_grant_accepted(40, 7);
    agent_world_tick_after(HEARTBEAT_US);
    agent_world_tick_after(HEARTBEAT_US);
    agent_world_answer(CW_SERVER_READ_STATE, 0, SERVER_INCARNATION, agent_world_server_clock(), NULL, 0);
    ck_assert_int_eq(agent_world_readiness(40, 7), CW_RANGE_PENDING);
    agent_world_tick_after(HEARTBEAT_US);
    agent_world_tick_after(HEARTBEAT_US);
    agent_world_answer(CW_SERVER_READ_STATE, 0, SERVER_INCARNATION, agent_world_server_clock() + LEASE_US, NULL, 0);
    ck_assert_int_gt(cw_agent_lease_left_us(agent_world.agent, agent_world.server_id, agent_world.now), 0);
    /* a new lease does not bring the old grant back */
    ck_assert_int_eq(agent_world_readiness(40, 7), CW_RANGE_PENDING);
    agent_world_grant_accepted(41, 9);
    ck_assert_int_eq(agent_world_readiness(41, 9), CW_RANGE_READY);
    ck_assert_int_eq(agent_world_readiness(40, 7), CW_RANGE_PENDING);
}
END_TEST

START_TEST(grant_behind_an_unseen_lapse_drops_earlier_ranges)
{
    const Cw__GrantReport *report;

    agent_world_begin_forwarding();
    agent_world_grant_accepted(40, 7);
    agent_world.now.monotonic_us += LEASE_US;
    agent_world_grant_accepted(41, 9);
    ck_assert_int_eq(agent_world_readiness(41, 9), CW_RANGE_READY);
    ck_assert_int_eq(agent_world_readiness(40, 7), CW_RANGE_PENDING);
    report = agent_world_last_sent(CW__ENVELOPE__BODY_GRANT_REPORT)->grant_report;
    ck_assert_uint_eq(report->n_refused, 1);
    ck_assert_uint_eq(report->refused[0], 40);
}
END_TEST

START_TEST(server_that_moves_away_is_forgotten)
{
    agent_world_begin_forwarding();
    agent_world_order(true, 40, 7);
    agent_world_apply_forwarder(OTHER_NODE, INCARNATION);
    ck_assert_int_eq(agent_world_readiness(40, 7), CW_RANGE_NOT_MINE);
    agent_world_answer(CW_SERVER_GRANT, 0, SERVER_INCARNATION, agent_world_server_clock() + LEASE_US,
                       (cw_range_id_t[]){40}, 1);
    ck_assert_int_eq(agent_world_readiness(40, 7), CW_RANGE_NOT_MINE);
    ck_assert_uint_eq(agent_world_count_sent(CW__ENVELOPE__BODY_GRANT_REPORT), 0);
    agent_world_apply_forwarder(NODE, INCARNATION + 1); /* this node's former life */
    ck_assert_int_eq(cw_agent_lease_left_us(agent_world.agent, agent_world.server_id, agent_world.now), 0);
    ck_assert_uint_eq(agent_world.call_count, 2);
}
END_TEST

START_TEST(late_completion_of_a_given_up_call_is_ignored)
{
    agent_world_begin_forwarding();
    agent_world_order(true, 40, 7);
    agent_world_tick_after(10 * HEARTBEAT_US);
    agent_world_answer(CW_SERVER_GRANT, 0, SERVER_INCARNATION, agent_world_server_clock() + LEASE_US,
                       (cw_range_id_t[]){40}, 1);
    ck_assert_int_eq(agent_world_readiness(40, 7), CW_RANGE_PENDING);
    agent_world_tick_after(HEARTBEAT_US);
    ck_assert(!agent_world_last_sent(CW__ENVELOPE__BODY_HEARTBEAT)->heartbeat->servers[0]->reachable);
}
END_TEST

START_TEST(order_ahead_of_the_routes_is_obeyed_later)
{
    cw_range_id_t range;

    agent_world_apply_configuration();
    for (range = 1; range <= 200; range++) { /* bounded: only the last ones are kept */
        agent_world_order(true, range, 7);
        agent_world_order(true, range, 7);
    }
    ck_assert_uint_eq(agent_world.call_count, 0);
    agent_world_apply_forwarder(NODE, INCARNATION);
    ck_assert_uint_eq(agent_world.call_count, 1 + 64);
    agent_world_answer(CW_SERVER_GRANT, 0, SERVER_INCARNATION, agent_world_server_clock() + LEASE_US,
                       (cw_range_id_t[]){200}, 1);
    ck_assert_int_eq(agent_world_readiness(200, 7), CW_RANGE_READY);
    ck_assert_int_eq(agent_world_readiness(1, 7), CW_RANGE_NOT_MINE);
}
END_TEST

START_TEST(routed_range_without_order_is_pending)
{
    Cw__RangeInfo  range = CW__RANGE_INFO__INIT;
    Cw__RangeInfo *ranges[] = {&range};
    Cw__Command    command = CW__COMMAND__INIT;

    agent_world_begin_forwarding();
    range.service = agent_world.service_id;
    range.server = agent_world.server_id;
    range.last = UINT64_MAX;
    range.tenant = "t";
    range.state = CW__RANGE_STATE__RANGE_GRANTED;
    command.n_ranges = 1;
    command.ranges = ranges;
    agent_world_apply(&command);
    ck_assert_int_eq(agent_world_readiness(agent_world.log_index << 16, agent_world.log_index), CW_RANGE_PENDING);
    ck_assert_int_eq(agent_world_readiness(agent_world.log_index << 16, agent_world.log_index + 1), CW_RANGE_NOT_MINE);
}
END_TEST

int main(void)
{
    Suite   *suite = suite_create("orders to an agent");
    TCase   *tests = tcase_create("orders to an agent");
    SRunner *runner = srunner_create(suite);
    int      failed;

    tcase_add_checked_fixture(tests, agent_world_set_up, agent_world_tear_down);
    tcase_add_test(tests, ready_under_exactly_the_accepted_fence_while_lease_lives);
    tcase_add_test(tests, revoke_stops_at_once_and_delayed_grant_does_not_revive);
    tcase_add_loop_test(tests, drain_time_of_an_order_is_bounded, 0, 3);
    tcase_add_test(tests, revoke_call_waits_for_grant_call);
    tcase_add_test(tests, restarted_server_holds_nothing);
    tcase_add_test(tests, grant_taken_by_another_incarnation_does_not_count);
    tcase_add_test(tests, lapsed_lease_drops_ranges_for_good);
    tcase_add_test(tests, grant_behind_an_unseen_lapse_drops_earlier_ranges);
    tcase_add_test(tests, server_that_moves_away_is_forgotten);
    tcase_add_test(tests, late_completion_of_a_given_up_call_is_ignored);
    tcase_add_test(tests, order_ahead_of_the_routes_is_obeyed_later);
    tcase_add_test(tests, routed_range_without_order_is_pending);
    suite_add_tcase(suite, tests);
    srunner_run_all(runner, CK_NORMAL);
    failed = srunner_ntests_failed(runner);
    srunner_free(runner);
    return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
