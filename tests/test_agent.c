/**
 * @file test_agent.c
 * @brief Tests of the agent: readings and renewals, heartbeats and the loads in them.
 */
#include <check.h>
#include <stdlib.h>

#include "cedarwinch/error.h"
#include "common/agent_world.h"

START_TEST(reads_then_renews_once_an_interval)
{
    agent_world_apply_configuration();
    agent_world_apply_forwarder(NODE, INCARNATION);
    ck_assert_uint_eq(agent_world.call_count, 1);
    ck_assert_int_eq(agent_world.calls[0].kind, CW_SERVER_READ_STATE);
    agent_world_answer(CW_SERVER_READ_STATE, 0, SERVER_INCARNATION, 0, NULL, 0);
    agent_world_tick_after(0);
    ck_assert_uint_eq(agent_world_last_sent(CW__ENVELOPE__BODY_HEARTBEAT)->heartbeat->n_servers, 1);
    ck_assert_int_eq(agent_world_last_sent(CW__ENVELOPE__BODY_HEARTBEAT)->heartbeat->servers[0]->clock_us,
                     agent_world_server_clock());
    agent_world_reply(true, LEADER, agent_world_server_clock() + LEASE_US);
    agent_world_reply(true, LEADER, agent_world_server_clock() + LEASE_US);
    ck_assert_uint_eq(agent_world.call_count, 2);
    ck_assert_int_eq(agent_world.calls[1].kind, CW_SERVER_RENEW_LEASE);
    ck_assert_int_eq(agent_world.calls[1].lease_end_us, agent_world_server_clock() + LEASE_US);
    agent_world_tick_after(HEARTBEAT_US);
    agent_world_reply(true, LEADER, agent_world_server_clock() + LEASE_US);
    ck_assert_uint_eq(agent_world.call_count, 2); /* one renewal call at a time; the later one waits for it */
    agent_world_answer(CW_SERVER_RENEW_LEASE, 0, SERVER_INCARNATION,
                       agent_world_server_clock() + LEASE_US - HEARTBEAT_US, NULL, 0);
    ck_assert_uint_eq(agent_world.call_count, 3);
    agent_world_answer(CW_SERVER_RENEW_LEASE, 0, SERVER_INCARNATION, agent_world_server_clock() + LEASE_US, NULL, 0);
    agent_world_tick_after(HEARTBEAT_US);
    ck_assert_uint_eq(agent_world.call_count, 3);
}
END_TEST

START_TEST(lost_reply_costs_one_interval)
{
    size_t before;

    agent_world_begin_forwarding();
    agent_world_tick_after(0);
    agent_world_reply(true, LEADER, agent_world_server_clock() + LEASE_US);
    agent_world.now.monotonic_us += 1000;
    agent_world_answer(CW_SERVER_RENEW_LEASE, 0, SERVER_INCARNATION, agent_world_server_clock() + LEASE_US, NULL, 0);
    agent_world_tick_after(HEARTBEAT_US); /* no reply to this one */
    ck_assert_uint_eq(agent_world.call_count, 2);
    agent_world_tick_after(HEARTBEAT_US);
    ck_assert_uint_eq(agent_world.call_count, 3);
    ck_assert_int_eq(agent_world.calls[2].kind, CW_SERVER_READ_STATE);
    agent_world.now.monotonic_us += 1000;
    agent_world_answer(CW_SERVER_READ_STATE, 0, SERVER_INCARNATION,
                       agent_world_server_clock() + LEASE_US - HEARTBEAT_US, NULL, 0);
    agent_world_tick_after(0);
    ck_assert_int_eq(agent_world_last_sent(CW__ENVELOPE__BODY_HEARTBEAT)->heartbeat->servers[0]->clock_us,
                     agent_world_server_clock());
    before = agent_world.sent_count;
    cw_agent_set_state(agent_world.agent, CW__NODE_STATE__NODE_LEAVING);
    agent_world_tick_after(HEARTBEAT_US / 2); /* an early heartbeat, but the server was read lately */
    ck_assert_uint_eq(agent_world.sent_count, before + 1);
    ck_assert_uint_eq(agent_world.call_count, 3);
}
END_TEST

START_TEST(lease_counts_from_before_the_reading)
{
    int64_t lease_end_us;

    agent_world_begin_forwarding();
    agent_world_order(true, 40, 7);
    lease_end_us = agent_world_server_clock() + LEASE_US;
    agent_world.now.monotonic_us += 200000;
    agent_world_answer(CW_SERVER_GRANT, 0, SERVER_INCARNATION, lease_end_us, (cw_range_id_t[]){40}, 1);
    ck_assert_int_le(cw_agent_lease_left_us(agent_world.agent, agent_world.server_id, agent_world.now),
                     lease_end_us - agent_world_server_clock() - 200000);
    ck_assert_int_gt(cw_agent_lease_left_us(agent_world.agent, agent_world.server_id, agent_world.now),
                     lease_end_us - agent_world_server_clock() - 210000);
    ck_assert_int_eq(cw_agent_lease_left_us(agent_world.agent, agent_world.server_id + 1, agent_world.now), 0);
}
END_TEST

START_TEST(unreachable_server_is_told_soon)
{
    size_t before;

    agent_world_begin_forwarding();
    agent_world_tick_after(HEARTBEAT_US);
    agent_world_reply(true, LEADER, agent_world_server_clock() + LEASE_US);
    before = agent_world.sent_count;
    agent_world_answer(CW_SERVER_RENEW_LEASE, CW_ERROR_TIMEOUT, 0, 0, NULL, 0);
    ck_assert_int_le(cw_agent_next_tick(agent_world.agent), agent_world.now.monotonic_us);
    agent_world_tick_after(0);
    ck_assert_uint_eq(agent_world.sent_count, before + 1);
    ck_assert(!agent_world_last_sent(CW__ENVELOPE__BODY_HEARTBEAT)->heartbeat->servers[0]->reachable);
    /* late */
    agent_world_answer(CW_SERVER_RENEW_LEASE, 0, SERVER_INCARNATION, agent_world_server_clock() + LEASE_US, NULL, 0);
    agent_world_tick_after(HEARTBEAT_US);
    ck_assert(!agent_world_last_sent(CW__ENVELOPE__BODY_HEARTBEAT)->heartbeat->servers[0]->reachable);
}
END_TEST

START_TEST(heartbeat_goes_to_a_new_leader_at_once)
{
    size_t i;

    agent_world_tick_after(0);
    agent_world_tick_after(HEARTBEAT_US / 3);
    ck_assert_uint_eq(agent_world.sent_count, 1);
    cw_agent_set_leader(agent_world.agent, 2);
    agent_world_tick_after(0);
    ck_assert_uint_eq(agent_world.sent_count, 2);
    ck_assert_uint_eq(agent_world.sent[1]->to, 2);
    agent_world_tick_after(HEARTBEAT_US);
    agent_world_reply(false, 3, 0);
    agent_world_tick_after(0);
    ck_assert_uint_eq(agent_world_last_sent(CW__ENVELOPE__BODY_HEARTBEAT)->to, 3);
    cw_agent_set_leader(agent_world.agent, 2); /* told before, not news */
    agent_world_tick_after(HEARTBEAT_US);
    ck_assert_uint_eq(agent_world_last_sent(CW__ENVELOPE__BODY_HEARTBEAT)->to, 3);
    cw_agent_set_leader(agent_world.agent, 0); /* the teller lost it, but a reply had named a newer one */
    agent_world_tick_after(HEARTBEAT_US);
    ck_assert_uint_eq(agent_world_last_sent(CW__ENVELOPE__BODY_HEARTBEAT)->to, 3);
    for (i = 0; i < 900; i++) { /* two nodes that name each other for 0.9 s: at most twice an interval */
        agent_world_reply(false, agent_world_last_sent(CW__ENVELOPE__BODY_HEARTBEAT)->to == 2 ? 3 : 2, 0);
        agent_world_tick_after(1000);
    }
    ck_assert_uint_le(agent_world.sent_count, 6 + 7);
    ck_assert_uint_ge(agent_world.sent_count, 6 + 6);
}
END_TEST

START_TEST(load_is_told_sparsely)
{
    Cw__RangeLoad load = CW__RANGE_LOAD__INIT;
    size_t        told = 0;
    int           beat;

    load.range = 40;
    for (beat = 0; beat < 32; beat++) { /* 9.6 s */
        load.requests_per_second = beat < 4 ? 100 + beat : 150;
        cw_agent_report_load(agent_world.agent, &load);
        agent_world_tick_after(HEARTBEAT_US);
        told += agent_world_last_sent(CW__ENVELOPE__BODY_HEARTBEAT)->heartbeat->n_loads;
    }
    ck_assert_uint_eq(told, 3); /* the first, the change, once more after 5 s */
}
END_TEST

START_TEST(heartbeats_stay_in_the_budget)
{
    Cw__KeyLoad   key = CW__KEY_LOAD__INIT;
    Cw__KeyLoad  *keys[] = {&key, &key, &key, &key, &key};
    Cw__RangeLoad load = CW__RANGE_LOAD__INIT;
    int           beat;

    agent_world_begin_forwarding();
    key.key_hash = UINT64_MAX;
    key.requests_per_second = 1.5;
    load.n_hot_keys = 5;
    load.hot_keys = keys;
    agent_world_tick_after(HEARTBEAT_US);
    agent_world.sent_bytes = 0;
    for (beat = 0; beat < 10; beat++) { /* 3 s */
        for (load.range = 1; load.range <= 100; load.range++) {
            load.requests_per_second = 10 + beat * 10;
            cw_agent_report_load(agent_world.agent, &load);
        }
        agent_world_tick_after(HEARTBEAT_US);
    }
    ck_assert_uint_lt(agent_world.sent_bytes / 3, 2000);
}
END_TEST

int main(void)
{
    Suite   *suite = suite_create("agent");
    TCase   *tests = tcase_create("agent");
    SRunner *runner = srunner_create(suite);
    int      failed;

    tcase_add_checked_fixture(tests, agent_world_set_up, agent_world_tear_down);
    tcase_add_test(tests, reads_then_renews_once_an_interval);
    tcase_add_test(tests, lost_reply_costs_one_interval);
    tcase_add_test(tests, lease_counts_from_before_the_reading);
    tcase_add_test(tests, unreachable_server_is_told_soon);
    tcase_add_test(tests, heartbeat_goes_to_a_new_leader_at_once);
    tcase_add_test(tests, load_is_told_sparsely);
    tcase_add_test(tests, heartbeats_stay_in_the_budget);
    suite_add_tcase(suite, tests);
    srunner_run_all(runner, CK_NORMAL);
    failed = srunner_ntests_failed(runner);
    srunner_free(runner);
    return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
