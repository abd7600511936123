/**
 * @file test_simulation.c
 * @brief Whole nodes in the simulator: invariants over a fixed set of seeds, replay, and the time without service after
 *        one loss. Longer runs: make soak.
 */
#include <check.h>
#include <stdlib.h>

#include "../sim/simulation.h"
#include "cedarwinch/log.h"

enum {
    SEEDS = 12,
    ROUGH_SEEDS = 6,
    LOSS_SEEDS = 6,
    PLANNED_STOPS = 5, /**< of each node */
    PLANNED_ENDS = 13, /**< and of each server */
    DEPOSED_SEEDS = 15,
    DEPOSED_LEASE_MS = 4000,
    LOSS_AT_US = 20 * CW_US_PER_S,
    LOSS_FOR_US = 10 * CW_US_PER_S,
    SERVED_AGAIN_US = 3 * CW_US_PER_S
};

static void setup(void)
{
    cw_log_set_level(CW_LOG_ERROR);
}

static void run(uint64_t seed, bool rough, cw_simulation_result_t *result)
{
    cw_simulation_options_t options;
    cw_fault_t              faults[CW_FAULTS_MAX];

    cw_simulation_options_for_seed(&options, seed);
    options.faults = faults;
    options.fault_count = cw_faults_generate(seed, options.duration_us, options.nodes, rough, faults);
    ck_assert_int_eq(cw_simulation_run(&options, result), 0);
    ck_assert_msg(result->violation[0] == '\0', "seed %lu%s: %s", (unsigned long)seed, rough ? " --rough" : "",
                  result->violation);
}

START_TEST(invariants_hold_under_faults)
{
    cw_simulation_result_t result;

    run((uint64_t)_i, false, &result);
    ck_assert_uint_gt(result.answered, 500);
    ck_assert_uint_gt(result.non_repeatable_effects, 100);
    ck_assert_uint_gt(result.grants, 20);
    ck_assert_uint_gt(result.confirmed, 2);
    ck_assert_uint_ge(result.leaders, 1);
}
END_TEST

START_TEST(invariants_hold_when_much_is_lost_at_once)
{
    cw_simulation_result_t result;

    run((uint64_t)_i, true, &result);
    ck_assert_uint_gt(result.effects, 100);
}
END_TEST

START_TEST(seed_replays_exactly)
{
    cw_simulation_result_t first;
    cw_simulation_result_t second;
    cw_simulation_result_t other;

    run(3, false, &first);
    run(3, false, &second);
    run(4, false, &other);
    ck_assert_uint_eq(first.digest, second.digest);
    ck_assert_uint_eq(first.events, second.events);
    ck_assert_uint_eq(first.answered, second.answered);
    ck_assert_int_eq(first.longest_gap_us, second.longest_gap_us);
    ck_assert_uint_ne(first.digest, other.digest);
}
END_TEST

/* Keys are asked for about ten times a second; the longest time without an answer includes planned moves. */
START_TEST(keys_are_served_again_soon_after_a_loss)
{
    static const cw_fault_kind_t kinds[] = {CW_FAULT_LEADER_KILL, CW_FAULT_FORWARDER_KILL, CW_FAULT_SERVER_KILL};
    cw_simulation_options_t      options;
    cw_simulation_result_t       result;
    cw_fault_t                   fault = {LOSS_AT_US, kinds[_i % 3], (uint32_t)(_i / 3), 0, LOSS_FOR_US, 0};

    cw_simulation_options_default(&options);
    options.seed = (uint64_t)_i / 3 + 1;
    options.faults = &fault;
    options.fault_count = 1;
    ck_assert_int_eq(cw_simulation_run(&options, &result), 0);
    ck_assert_str_eq(result.violation, "");
    ck_assert_msg(result.longest_gap_us < SERVED_AGAIN_US, "fault %d, seed %d: %ld us without service", _i % 3,
                  _i / 3 + 1, (long)result.longest_gap_us);
    ck_assert(result.served_at_end);
}
END_TEST

/* A planned stop ends in time with every caller answered; a server that leaves gets no new work after a few seconds. */
START_TEST(planned_ends_cut_nothing_off)
{
    cw_simulation_options_t options;
    cw_simulation_result_t  result;
    cw_fault_t              fault = {LOSS_AT_US, CW_FAULT_NODE_STOP, (uint32_t)_i, 0, LOSS_FOR_US, 0};

    if (_i >= PLANNED_STOPS) {
        fault.kind = CW_FAULT_SERVER_LEAVE;
    }
    cw_simulation_options_default(&options);
    options.seed = (uint64_t)_i + 1;
    options.faults = &fault;
    options.fault_count = 1;
    ck_assert_int_eq(cw_simulation_run(&options, &result), 0);
    ck_assert_str_eq(result.violation, "");
    ck_assert_uint_eq(result.lost_with_gateway, 0);
    ck_assert_uint_eq(result.stops_cut, 0);
    ck_assert_uint_eq(result.work_while_leaving, 0);
    ck_assert_int_lt(result.longest_gap_us, SERVED_AGAIN_US);
    ck_assert(result.served_at_end);
}
END_TEST

/* With leases of 4 s, a paused leader that wakes up with heartbeats waiting has the time to misuse them. */
START_TEST(deposed_leader_lengthens_no_lease)
{
    cw_simulation_options_t options;
    cw_simulation_result_t  result;
    cw_fault_t              faults[CW_FAULTS_MAX];

    cw_simulation_options_default(&options);
    options.seed = (uint64_t)_i;
    options.lease_ms = DEPOSED_LEASE_MS;
    options.faults = faults;
    options.fault_count = cw_faults_deposed_leader(options.seed, LOSS_AT_US, faults);
    ck_assert_int_eq(cw_simulation_run(&options, &result), 0);
    ck_assert_msg(result.violation[0] == '\0', "seed %d: %s", _i, result.violation);
    ck_assert_uint_ge(result.leaders, 1);
}
END_TEST

int main(void)
{
    Suite   *suite = suite_create("simulation");
    TCase   *tests = tcase_create("simulation");
    SRunner *runner = srunner_create(suite);
    int      failed;

    tcase_set_timeout(tests, 60);
    tcase_add_checked_fixture(tests, setup, NULL);
    tcase_add_loop_test(tests, invariants_hold_under_faults, 1, SEEDS + 1);
    tcase_add_loop_test(tests, invariants_hold_when_much_is_lost_at_once, 1, ROUGH_SEEDS + 1);
    tcase_add_test(tests, seed_replays_exactly);
    tcase_add_loop_test(tests, keys_are_served_again_soon_after_a_loss, 0, 3 * LOSS_SEEDS);
    tcase_add_loop_test(tests, planned_ends_cut_nothing_off, 0, PLANNED_ENDS);
    tcase_add_loop_test(tests, deposed_leader_lengthens_no_lease, 1, DEPOSED_SEEDS + 1);
    suite_add_tcase(suite, tests);
    srunner_run_all(runner, CK_NORMAL);
    failed = srunner_ntests_failed(runner);
    srunner_free(runner);
    return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
