/**
 * @file test_quota_first_start.c
 * @brief Tests tenants' limits while a deployment starts for the first time: no leader has announced a number of nodes
 * yet.
 *
 * Guards against tenants that get next to nothing for the first 3 s of a deployment, and against limits that are
 * exceeded since the first leader and another node both count.
 */
#include <check.h>
#include <stdio.h>
#include <stdlib.h>

#include "quota_sim.h"

enum {
    FLEETS = 5,
    SEEDS = 4,
    PLAY_S = 14, /* the leader announces a number after 10 s, and each tenant then gets a counting node of its own */
    LARGE_FLEET = 81
};

static const size_t fleets[FLEETS] = {2, 3, 4, 9, 15};
static const double rate = 100;
static const double small_rate = 10;
static const double hot_factor = 4;

typedef struct deployment {
    quota_sim_t *sim;
    size_t       nodes;
    size_t       hot_tenant;
    size_t       small_tenant;
} deployment_t;

/* No node has started yet. The first one leads 200 ms after the play begins. */
static deployment_t create_deployment(size_t nodes, uint64_t seed)
{
    deployment_t deployment = {.sim = quota_sim_create(nodes, nodes, seed), .nodes = nodes};
    quota_sim_t *sim = deployment.sim;
    size_t       index;

    for (index = 0; index < nodes; index++) {
        quota_sim_kill(sim, index);
    }
    sim->reconnect_range = CW_MS(300);
    sim->new_nodes_decline = true;
    sim->size_known_after = -1;
    sim->first_led_at = sim->now + CW_MS(200);
    deployment.hot_tenant = quota_sim_add_tenant(sim, rate, rate, rate * hot_factor);
    deployment.small_tenant = quota_sim_add_tenant(sim, small_rate, 0, small_rate * hot_factor);
    return deployment;
}

static void start_nodes(const deployment_t *deployment, double interval_s)
{
    size_t index;

    for (index = 0; index < deployment->nodes; index++) {
        quota_sim_start(deployment->sim, index);
        quota_sim_run(deployment->sim, interval_s);
    }
}

static double used(const deployment_t *deployment, size_t tenant, double from_s, double to_s)
{
    double limit = deployment->sim->tenants[tenant].limit.rate_per_s * (to_s - from_s);

    return (double)quota_sim_ran(deployment->sim, tenant, from_s, to_s) / limit;
}

static void check_limits_hold(const deployment_t *deployment, const char *name)
{
    double hot_excess = quota_sim_excess(deployment->sim, deployment->hot_tenant, 0);
    double small_excess = quota_sim_excess(deployment->sim, deployment->small_tenant, 0);

    printf("%s, %zu nodes: hot excess %.0f, used %.2f; small excess %.0f, used %.2f (from 0.5 to 3 s)\n", name,
           deployment->nodes, hot_excess, used(deployment, deployment->hot_tenant, 0.5, 3), small_excess,
           used(deployment, deployment->small_tenant, 0.5, 3));
    fflush(stdout);
    ck_assert_double_le(hot_excess, 0);
    ck_assert_double_le(small_excess, 0);
}

START_TEST(limits_are_used_in_the_first_seconds_of_a_deployment)
{
    deployment_t deployment = create_deployment(fleets[_i % FLEETS], (uint64_t)_i);

    start_nodes(&deployment, 0.005);
    quota_sim_run(deployment.sim, PLAY_S);
    check_limits_hold(&deployment, "first start");
    ck_assert_double_ge(used(&deployment, deployment.hot_tenant, 0.5, 3), 0.9);
    ck_assert_double_ge(used(&deployment, deployment.small_tenant, 0.5, 3), 0.9);
    ck_assert_double_ge(used(&deployment, deployment.hot_tenant, 3, PLAY_S), 0.9); /* across the change of counters */
    quota_sim_free(deployment.sim);
}
END_TEST

START_TEST(limits_hold_while_nodes_start_one_after_the_other)
{
    deployment_t deployment = create_deployment(fleets[_i % FLEETS], (uint64_t)_i);

    start_nodes(&deployment, 6.0 / (double)deployment.nodes);
    quota_sim_run(deployment.sim, PLAY_S - 6);
    check_limits_hold(&deployment, "one after the other");
    quota_sim_free(deployment.sim);
}
END_TEST

/* The nodes already count tenants by what they have received when a leader appears. */
START_TEST(limits_hold_when_the_first_leader_appears_late)
{
    deployment_t deployment = create_deployment(fleets[_i % FLEETS], (uint64_t)_i);

    deployment.sim->first_led_at += CW_SECONDS(3) + CW_MS(500) * (_i % SEEDS);
    start_nodes(&deployment, 0.005);
    quota_sim_run(deployment.sim, PLAY_S);
    check_limits_hold(&deployment, "first leader late");
    ck_assert_double_ge(used(&deployment, deployment.hot_tenant, 3.5, PLAY_S), 0.8);
    quota_sim_free(deployment.sim);
}
END_TEST

START_TEST(limits_hold_when_the_first_leader_ends_early)
{
    deployment_t deployment = create_deployment(fleets[_i % FLEETS], (uint64_t)_i);

    start_nodes(&deployment, 0.005);
    quota_sim_run(deployment.sim, 2 + 0.5 * (_i % SEEDS));
    quota_sim_kill(deployment.sim, 0);
    quota_sim_run(deployment.sim, PLAY_S - 4);
    check_limits_hold(&deployment, "first leader ends");
    quota_sim_free(deployment.sim);
}
END_TEST

/* Cuts the first leader from one other node, in one direction or both. */
START_TEST(limits_hold_while_the_first_leader_is_cut_from_a_node)
{
    deployment_t deployment = create_deployment(fleets[1 + _i % (FLEETS - 1)], (uint64_t)_i);

    start_nodes(&deployment, 0.005);
    quota_sim_run(deployment.sim, 1 + 0.5 * (_i % SEEDS));
    quota_sim_lose(deployment.sim, 0, 1, _i % 3 == 0 ? 0 : 1);
    quota_sim_lose(deployment.sim, 1, 0, _i % 3 == 1 ? 0 : 1);
    quota_sim_run(deployment.sim, PLAY_S - 4);
    check_limits_hold(&deployment, "first leader cut");
    quota_sim_free(deployment.sim);
}
END_TEST

/* So many nodes would ask too much of the leader: they go by their own parts until they rely on what they receive. */
START_TEST(limits_hold_at_the_first_start_of_many_nodes)
{
    deployment_t deployment = create_deployment(LARGE_FLEET, (uint64_t)_i);

    start_nodes(&deployment, 0.005);
    quota_sim_run(deployment.sim, PLAY_S);
    check_limits_hold(&deployment, "many nodes");
    quota_sim_free(deployment.sim);
}
END_TEST

int main(void)
{
    Suite   *suite = suite_create("quota, first start");
    TCase   *cases = tcase_create("simulation");
    SRunner *runner;
    int      failed;

    tcase_set_timeout(cases, 60);
    tcase_add_loop_test(cases, limits_are_used_in_the_first_seconds_of_a_deployment, 0, FLEETS * SEEDS);
    tcase_add_loop_test(cases, limits_hold_while_nodes_start_one_after_the_other, 0, FLEETS * SEEDS);
    tcase_add_loop_test(cases, limits_hold_when_the_first_leader_appears_late, 0, FLEETS * SEEDS);
    tcase_add_loop_test(cases, limits_hold_when_the_first_leader_ends_early, 0, FLEETS * SEEDS);
    tcase_add_loop_test(cases, limits_hold_while_the_first_leader_is_cut_from_a_node, 0, 12 * SEEDS);
    tcase_add_loop_test(cases, limits_hold_at_the_first_start_of_many_nodes, 0, SEEDS);
    suite_add_tcase(suite, cases);
    runner = srunner_create(suite);
    srunner_run_all(runner, CK_NORMAL);
    failed = srunner_ntests_failed(runner);
    srunner_free(runner);
    return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
