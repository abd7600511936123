/**
 * @file test_missed_leaves.c
 * @brief What one node has missed of servers that leave does not come into force at others (review/3: DRAIN).
 *
 * By hand, for more seeds: build/tests/test_missed_leaves FIRST COUNT.
 */
#include <stdio.h>
#include <stdlib.h>

#include "loop_fixture.h"
#include "view_sim.h"

enum { SEEDS = 12, DURATION_MS = 16000 };

/** A size of a fleet, with its bound `drain`. */
typedef struct fleet {
    size_t  nodes;
    size_t  servers;
    int64_t drain_ms;
    int     seeds_part; /* one of so many seeds is played */
} fleet_t;

static const fleet_t fleets[] = {
    {8, 27, 2000, 1}, {11, 36, 2000, 1}, {60, 600, 3000, 3}, {295, 2900, 3000, 6}, {985, 9999, 4000, 12}};

#define COUNT(list) ((int)(sizeof(list) / sizeof((list)[0])))

static int first_seed = 1;
static int seed_count = SEEDS;

static void play(const fleet_t *fleet, int seed, int64_t leader_cut_ms, int64_t other_faults)
{
    view_sim_setup_t  setup = {.seed = (uint64_t)seed,
                               .nodes = fleet->nodes,
                               .servers_of_fleet = fleet->servers,
                               .drain_ms = fleet->drain_ms,
                               .duration_ms = DURATION_MS,
                               .leader_cut_ms = leader_cut_ms,
                               .other_faults = other_faults};
    view_sim_result_t result = view_sim_run(&setup);

    ck_assert_msg(result.late == 0,
                  "%zu nodes, seed %d, leader cut off for %lld ms, %lld other faults: used up to %lld ms after a leave",
                  fleet->nodes, seed, (long long)leader_cut_ms, (long long)other_faults, (long long)result.latest_ms);
    ck_assert_uint_gt(result.judged, result.held); /* nodes in touch hold back seldom */
    ck_assert_uint_gt(result.left, 5);
}

static bool is_played(const fleet_t *fleet, int seed)
{
    return (seed - first_seed) % fleet->seeds_part == 0;
}

/* The leading node is cut off from the store for less and for longer than its list may be used. */
START_TEST(leaves_that_a_cut_off_leader_has_missed)
{
    static const int64_t cuts_ms[] = {700, 1200, 1800, 2400, 3300, 6500};
    const fleet_t       *fleet = &fleets[_i];
    int                  seed;

    for (seed = first_seed; seed < first_seed + seed_count; seed++) {
        if (is_played(fleet, seed)) {
            play(fleet, seed, cuts_ms[seed % COUNT(cuts_ms)], 0);
        }
    }
}
END_TEST

/* Leader, readers and others are cut off from the store and from one another, one way too, in series and overlapping,
 * beside changes of the leader. */
START_TEST(leaves_that_leaders_readers_and_others_have_missed)
{
    const fleet_t *fleet = &fleets[_i];
    int            seed;

    for (seed = first_seed; seed < first_seed + seed_count; seed++) {
        if (is_played(fleet, seed)) {
            play(fleet, seed, seed % 2 == 0 ? 2400 : 0, 4 + seed % 12);
        }
    }
}
END_TEST

int main(int argument_count, char **arguments)
{
    Suite *suite = suite_create("missed leaves");
    TCase *cases = tcase_create("missed leaves");

    if (argument_count == 3) {
        first_seed = atoi(arguments[1]);
        seed_count = atoi(arguments[2]);
    }
    tcase_set_timeout(cases, 0);
    tcase_add_loop_test(cases, leaves_that_a_cut_off_leader_has_missed, 0, COUNT(fleets));
    tcase_add_loop_test(cases, leaves_that_leaders_readers_and_others_have_missed, 0, COUNT(fleets));
    suite_add_tcase(suite, cases);
    return cw_test_main(suite);
}
