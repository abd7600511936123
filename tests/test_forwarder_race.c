/**
 * @file test_forwarder_race.c
 * @brief Deposed forwarders race with new ones, over a network that loses, repeats and reorders: no id runs twice.
 */
#include <check.h>
#include <stdlib.h>
#include <string.h>

#include "common/forwarder_world.h"

static void setup(void)
{
    world_create((world_options_t){0});
}

enum { RACE_IDS = 6, RACE_STEPS = 900, RACE_SEEDS = 400 };

typedef struct race {
    uint64_t   random_state;
    uint64_t   variant;            /**< how the journal sets change */
    const int *former;             /**< former journal set, as the routes name it */
    uint64_t   epochs[FORWARDERS]; /**< 0: the forwarder has not heard of its epoch yet */
} race_t;

static void race_route(race_t *race, int forwarder)
{
    static const int *const sets[][FORWARDERS] = {
        {world_set_all, world_set_all, world_set_all},
        {world_set_all, world_set_other, world_set_all},
        {world_set_all, world_set_other, world_set_other},
        {world_set_all, world_set_other, world_set_third},
    };
    const int *const *own = sets[race->variant];

    if (forwarder > 0 && own[forwarder] != own[forwarder - 1]) {
        race->former = own[forwarder - 1];
    }
    race->epochs[forwarder] = 4 + (uint64_t)forwarder;
    world_route(forwarder, forwarder, race->epochs[forwarder], own[forwarder], race->former);
}

static void race_network(race_t *race)
{
    size_t   position;
    uint64_t fate;

    if (world.network_count == 0) {
        return;
    }
    position = cw_random_below(&race->random_state, world.network_count);
    fate = cw_random_below(&race->random_state, 100);
    if (fate < 4) {
        cw__envelope__free_unpacked(world.network[position], NULL);
        world.network[position] = world.network[--world.network_count];
    } else {
        world_deliver_at(position, fate < 8 && world.network[position]->to != GATEWAY);
    }
}

static void race_request(race_t *race, int64_t time_ms)
{
    int      forwarder = (int)cw_random_below(&race->random_state, FORWARDERS);
    uint32_t number = 1 + (uint32_t)cw_random_below(&race->random_state, RACE_IDS);

    if (race->epochs[forwarder] != 0 && world.last_gateway_id < ANSWERS_MAX - 1) {
        world_request(forwarder, race->epochs[forwarder],
                      (world_request_t){.number = number, .time_ms = time_ms, .timeout_us = 300000});
    }
}

static void race_server(race_t *race)
{
    static const cw_server_result_t results[] = {CW_SERVER_ANSWERED, CW_SERVER_BROKEN, CW_SERVER_REFUSED,
                                                 CW_SERVER_NOT_SENT};
    size_t                          index;

    for (index = 0; index < world.sent_count; index++) {
        if (!world.sent[index].over && cw_random_below(&race->random_state, 3) == 0) {
            world_respond(index, results[cw_random_below(&race->random_state, 4)]);
            return;
        }
    }
}

static bool same_id(const world_sent_t *left, const world_sent_t *right)
{
    return memcmp(left->request_id, right->request_id, CW_REQUEST_ID_BYTES) == 0;
}

static void race_check(void)
{
    const Cw__ForwardResponse *answer;
    size_t                     left;
    size_t                     right;

    for (left = 0; left < world.sent_count; left++) {
        answer = world_answer_to(world.sent[left].gateway_request);
        ck_assert(answer == NULL || answer->outcome != CW__OUTCOME__OUTCOME_NOT_RUN || !world.sent[left].may_have_run);
        for (right = left + 1; right < world.sent_count; right++) {
            ck_assert_uint_ne(world.sent[left].gateway_request, world.sent[right].gateway_request);
            ck_assert_msg(!same_id(&world.sent[left], &world.sent[right]) || !world.sent[left].may_have_run ||
                              !world.sent[right].may_have_run,
                          "forwarders %d and %d both ran an id", world.sent[left].forwarder,
                          world.sent[right].forwarder);
        }
    }
}

static size_t race_runs[FORWARDERS];

static void race_step(race_t *race, int64_t time_ms)
{
    uint64_t action = cw_random_below(&race->random_state, 100);

    if (action < 70) {
        race_network(race);
    } else if (action < 80) {
        race_request(race, time_ms);
    } else if (action < 90) {
        race_server(race);
    } else {
        world_advance(8000);
    }
}

static void race_run(uint64_t seed)
{
    race_t  race = {.random_state = seed, .variant = seed / 2 % 4, .former = world_set_none};
    int64_t time_ms;
    int     first_change = 200;
    int     second_change = 201 + (int)cw_random_below(&race.random_state, 300);
    int     restart = (int)cw_random_below(&race.random_state, 2 * RACE_STEPS);
    int     step;
    size_t  index;

    race_route(&race, 0);
    world_deliver_all();
    world_advance(2 * CW_US_PER_S);
    time_ms = world.now.wall_ms;
    for (step = 0; step < RACE_STEPS; step++) {
        if (step == first_change || step == second_change) {
            race_route(&race, step == first_change ? 1 : 2);
        }
        if (step == restart) {
            world_restart_replica(2); /* the one that is in most sets; a majority of each stays */
        }
        race_step(&race, time_ms);
    }
    world_deliver_all();
    race_check();
    for (index = 0; index < world.sent_count; index++) {
        race_runs[world.sent[index].forwarder]++;
    }
}

/* Many seeds in one process, so that the last assertion can see that the race reaches what it is for. */
START_TEST(no_id_runs_twice_when_forwarders_race)
{
    uint64_t seed;

    memset(race_runs, 0, sizeof(race_runs));
    for (seed = 1; seed <= RACE_SEEDS; seed++) {
        world_destroy();
        world_create((world_options_t){.unfinished_first = seed % 2 == 0});
        race_run(seed);
    }
    ck_assert_uint_gt(race_runs[0], RACE_SEEDS);
    ck_assert_uint_gt(race_runs[1], RACE_SEEDS / 4);
    ck_assert_uint_gt(race_runs[2], RACE_SEEDS / 4);
}
END_TEST

int main(void)
{
    Suite   *suite = suite_create("forwarder race");
    TCase   *tests = tcase_create("forwarder race");
    SRunner *runner = srunner_create(suite);
    int      failed;

    tcase_add_checked_fixture(tests, setup, world_destroy);
    tcase_set_timeout(tests, 60);
    tcase_add_test(tests, no_id_runs_twice_when_forwarders_race);
    suite_add_tcase(suite, tests);
    srunner_run_all(runner, CK_NORMAL);
    failed = srunner_ntests_failed(runner);
    srunner_free(runner);
    return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
