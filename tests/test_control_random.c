/**
 * @file test_control_random.c
 * @brief Random walks of the control cluster under faults of nodes, servers, network and store. No key ever has two
 *        owners (checked after each step), and once the faults end every range is owned and every node agrees.
 */
#include <check.h>
#include <stdio.h>
#include <stdlib.h>

#include "common/control_cluster.h"

enum { WALKS = 100, FAULTS = 60, SECOND = CW_US_PER_S };

static uint64_t below(uint64_t bound)
{
    return cw_random_below(&cluster.random_state, bound);
}

/* One control replica is disturbed at a time, so that a majority is left, as was agreed. */
static void disturb_node(void)
{
    static cw_time_us_t disturbed_us;
    size_t              node = below(CLUSTER_NODES);
    size_t              position;

    if (cluster.now.monotonic_us < disturbed_us) {
        disturbed_us = 0; /* another walk */
    }
    if (cluster.now.monotonic_us - disturbed_us < 5 * SECOND) {
        return;
    }
    disturbed_us = cluster.now.monotonic_us;
    for (position = 0; position < CLUSTER_NODES; position++) {
        cluster.nodes[position].paused = cluster.nodes[position].cut = false;
        cluster.nodes[position].group = 0;
    }
    switch (below(4)) {
    case 0:
        cluster.nodes[node].paused = true;
        break;
    case 1:
        cluster.nodes[node].cut = true;
        break;
    case 2:
        cluster_restart_node(node);
        break;
    default:
        cluster.nodes[node].paused = true;
        cluster.nodes[node].group = 1;
        cluster.nodes[(node + 3) % CLUSTER_NODES].group = 1; /* of the same zone */
        break;
    }
}

static void disturb_server(void)
{
    cluster_server_t *server = &cluster.servers[below(CLUSTER_SERVERS)];

    switch (below(5)) {
    case 0:
        cluster_restart_server((size_t)(server - cluster.servers));
        break;
    case 1:
        server->draining = !server->draining;
        break;
    case 2:
        server->drain_us = (cw_time_us_t)below(2 * SECOND);
        break;
    default:
        server->cut = !server->cut;
        break;
    }
}

static void disturb_store(void)
{
    cluster.store_mode = (cluster_store_mode_t)below(4);
}

static void operate(void)
{
    char  text[2048];
    char  server[16];
    char *plan;

    if (cluster_leader() == NULL) {
        return;
    }
    if (below(3) == 0) {
        snprintf(server, sizeof(server), "t/s/s%u%s", (unsigned)below(CLUSTER_SERVERS), below(2) == 0 ? " off" : "");
        cluster_ask("drain", server, NULL);
        return;
    }
    cluster_intent(text, sizeof(text), 2 + below(CLUSTER_SERVERS - 1));
    cluster_ask("plan", text, NULL);
    if (cluster.answer_status != 200) {
        return;
    }
    plan = cluster_answer_text("plan");
    cluster_ask("confirm", plan, NULL);
    free(plan);
}

/* One of a few keys becomes hot, or cools down: ranges are split and merged. */
static void change_load(void)
{
    const cw_control_state_t *state = cluster_leader() == NULL ? NULL : cluster_state();
    const cw_key_hash_t       key = (below(4) + 1) << 60;
    const Cw__RangeInfo      *range = state == NULL ? NULL : cw_control_state_find_range(state, cluster_service(), key);
    const Cw__ServerInfo     *server = range == NULL ? NULL : cw_control_state_server(state, range->server);
    Cw__KeyLoad               hot = CW__KEY_LOAD__INIT;
    Cw__KeyLoad              *hot_list[] = {&hot};
    Cw__RangeLoad             load = CW__RANGE_LOAD__INIT;

    if (server == NULL || server->forwarder == 0) {
        return;
    }
    hot.key_hash = key;
    hot.requests_per_second = below(2) == 0 ? 0 : 8;
    load.range = range->id;
    load.requests_per_second = hot.requests_per_second;
    load.n_hot_keys = 1;
    load.hot_keys = hot_list;
    cw_agent_report_load(cluster.nodes[server->forwarder - 1].agent, &load);
}

static void heal(void)
{
    size_t position;

    for (position = 0; position < CLUSTER_NODES; position++) {
        cluster.nodes[position].paused = cluster.nodes[position].cut = false;
        cluster.nodes[position].group = 0;
    }
    for (position = 0; position < CLUSTER_SERVERS; position++) {
        cluster.servers[position].cut = false;
        cluster.servers[position].draining = false;
    }
    cluster.drop_percent = cluster.duplicate_percent = 0;
    cluster.store_mode = STORE_OK;
}

static bool has_leader(void)
{
    return cluster_leader() != NULL;
}

START_TEST(random_walk)
{
    size_t fault;
    size_t position;
    char   server[16];

    cluster_create((uint64_t)_i + 1, _i % 3 == 0 ? 5000 : 1500);
    cluster_accept(4);
    for (fault = 0; fault < FAULTS; fault++) {
        cluster.drop_percent = (uint32_t)below(10);
        cluster.duplicate_percent = (uint32_t)below(10);
        change_load();
        switch (below(5)) {
        case 0:
        case 1:
            disturb_node();
            break;
        case 2:
            disturb_server();
            break;
        case 3:
            disturb_store();
            break;
        default:
            operate();
            break;
        }
        cluster_run((cw_time_us_t)below(SECOND));
    }
    heal();
    cluster_run(10 * SECOND);
    ck_assert_msg(cluster_run_until(has_leader, 10 * SECOND), "walk %d ends without a leader", _i);
    for (position = 0; position < CLUSTER_SERVERS; position++) {
        snprintf(server, sizeof(server), "t/s/s%zu off", position);
        cluster_ask("drain", server, NULL);
        cluster_run(SECOND);
    }
    ck_assert_msg(cluster_run_until(cluster_settled, 20 * SECOND), "walk %d ends with unowned ranges", _i);
    ck_assert_uint_eq(cw_control_state_tenant(cluster_state(), "t")->version, cluster_object("config/t")->version);
    cluster_free();
}
END_TEST

int main(void)
{
    Suite   *suite = suite_create("control, random walks");
    TCase   *tests = tcase_create("control, random walks");
    SRunner *runner = srunner_create(suite);
    int      failed;

    tcase_set_timeout(tests, 120);
    tcase_add_loop_test(tests, random_walk, 0, WALKS);
    suite_add_tcase(suite, tests);
    srunner_run_all(runner, CK_NORMAL);
    failed = srunner_ntests_failed(runner);
    srunner_free(runner);
    return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
