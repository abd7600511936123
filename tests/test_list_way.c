/**
 * @file test_list_way.c
 * @brief In simulated fleets up to 985 nodes and 9,999 servers, no node in touch would send by a list whose true age
 * exceeds `drain`, less what a connection and a link take.
 */
#include "list_way_sim.h"
#include "loop_fixture.h"

enum {
    SEEDS = 6,
    STORE_READS_PER_S = 16000, /* what the store of the largest deployment takes */
    CONNECTION_PERCENT = 5     /* of drain, for a new connection and the link to the server */
};

/** A deployment. */
typedef struct fleet {
    size_t  nodes;
    size_t  servers;
    int64_t drain_ms;
    int64_t settle_ms;
    bool    is_paged;
} fleet_t;

static const fleet_t fleets[] = {{8, 27, 2000, 3000, false},
                                 {79, 229, 2500, 3000, true},
                                 {295, 727, 3000, 4000, true},
                                 {985, 9999, 4000, 5000, true},
                                 {985, 9999, 3000, 4000, true}};

enum { FLEETS = sizeof(fleets) / sizeof(fleets[0]) };

/* Test number: fleets and seeds. */
static list_way_setup_t setup_of(int number)
{
    const fleet_t *fleet = &fleets[number % FLEETS];

    return (list_way_setup_t){.seed = (uint32_t)(number / FLEETS) + 1,
                              .nodes = fleet->nodes,
                              .servers = fleet->servers,
                              .drain_ms = fleet->drain_ms,
                              .settle_ms = fleet->settle_ms,
                              .is_paged = fleet->is_paged,
                              .duration_ms = 20000,
                              .queue_ms = 20};
}

static list_way_result_t run(const list_way_setup_t *setup)
{
    list_way_result_t result = list_way_sim_run(setup);

    ck_assert_int_le(result.oldest_ms, setup->drain_ms * (100 - CONNECTION_PERCENT) / 100);
    ck_assert_uint_gt(result.allowed, 0);
    return result;
}

START_TEST(in_calm_no_node_holds_requests_back_or_reads)
{
    list_way_setup_t  setup = setup_of(_i);
    list_way_result_t result = run(&setup);

    ck_assert_uint_eq(result.held, 0);
    ck_assert_uint_eq(result.reads, 0);
}
END_TEST

START_TEST(messages_are_held_up_and_lost)
{
    list_way_setup_t  setup = setup_of(_i);
    list_way_result_t result;

    setup.queue_ms = 500; /* the longest queue of a link at which a machine still counts as undisturbed */
    setup.loss = 0.2;
    result = run(&setup);
    ck_assert_uint_le(result.held * 100, result.allowed); /* at most one request in a hundred waits */
}
END_TEST

START_TEST(the_leader_fails)
{
    list_way_setup_t setup = setup_of(_i);

    setup.leader_fails_at_ms = 5000;
    setup.leader_fails_for_ms = 8000;
    (void)run(&setup);
}
END_TEST

START_TEST(the_leader_and_all_readers_fail)
{
    list_way_setup_t  setup = setup_of(_i);
    list_way_result_t result;

    setup.leader_fails_at_ms = 5000;
    setup.leader_fails_for_ms = 8000;
    setup.readers_fail = true;
    result = run(&setup);
    ck_assert_uint_le(result.held * 100, result.allowed);
    ck_assert_uint_le(result.most_reads, STORE_READS_PER_S / 2);
}
END_TEST

/* All nodes would have to read the whole list, and take turns: those whose turn is later hold their requests back. */
START_TEST(the_history_is_forgotten_while_the_leader_and_all_readers_fail)
{
    list_way_setup_t setup = setup_of(_i);

    setup.has_no_history = true;
    setup.leader_fails_at_ms = 5000;
    setup.leader_fails_for_ms = 8000;
    setup.readers_fail = true;
    (void)run(&setup);
}
END_TEST

START_TEST(the_leader_alone_does_not_reach_the_store)
{
    list_way_setup_t setup = setup_of(_i);

    setup.leader_cut_at_ms = 5000;
    setup.leader_cut_for_ms = 8000;
    setup.readers_fail = _i % 2 == 0;
    (void)run(&setup);
}
END_TEST

START_TEST(the_store_fails)
{
    list_way_setup_t setup = setup_of(_i);

    setup.store_fails_at_ms = 5000;
    setup.store_fails_for_ms = 4500;
    (void)run(&setup);
}
END_TEST

START_TEST(the_store_fails_while_there_is_no_leader)
{
    list_way_setup_t setup = setup_of(_i);

    setup.leader_fails_at_ms = 4000;
    setup.leader_fails_for_ms = 9000;
    setup.readers_fail = true;
    setup.store_fails_at_ms = 5000;
    setup.store_fails_for_ms = 2500;
    (void)run(&setup);
}
END_TEST

START_TEST(all_nodes_start_from_copies_without_a_leader)
{
    list_way_setup_t setup = setup_of(_i);

    setup.starts_from_copies = true;
    setup.leader_fails_at_ms = 0;
    setup.leader_fails_for_ms = 8000;
    setup.readers_fail = true;
    (void)run(&setup);
}
END_TEST

int main(void)
{
    Suite *suite = suite_create("the lists' way");
    TCase *cases = tcase_create("the lists' way");

    tcase_set_timeout(cases, 120);
    tcase_add_loop_test(cases, in_calm_no_node_holds_requests_back_or_reads, 0, FLEETS * SEEDS);
    tcase_add_loop_test(cases, messages_are_held_up_and_lost, 0, FLEETS * SEEDS);
    tcase_add_loop_test(cases, the_leader_fails, 0, FLEETS * SEEDS);
    tcase_add_loop_test(cases, the_leader_and_all_readers_fail, 0, FLEETS * SEEDS);
    tcase_add_loop_test(cases, the_history_is_forgotten_while_the_leader_and_all_readers_fail, 0, FLEETS * SEEDS);
    tcase_add_loop_test(cases, the_leader_alone_does_not_reach_the_store, 0, FLEETS * SEEDS);
    tcase_add_loop_test(cases, the_store_fails, 0, FLEETS * SEEDS);
    tcase_add_loop_test(cases, the_store_fails_while_there_is_no_leader, 0, FLEETS * SEEDS);
    tcase_add_loop_test(cases, all_nodes_start_from_copies_without_a_leader, 0, FLEETS * SEEDS);
    suite_add_tcase(suite, cases);
    return cw_test_main(suite);
}
