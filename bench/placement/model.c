/**
 * @file model.c
 * @brief Runs one scenario under one planner: ticks of the leader in between
 * arrivals, in order of time.
 */
#include "model.h"

#include <stdlib.h>
#include <string.h>

#include "cedarwinch/error.h"
#include "world.h"

static bool has_unplaced(const bench_world_t *world)
{
    size_t range;

    for (range = 0; range < world->range_count; range++) {
        if (world->ranges[range].owner == BENCH_NO_OWNER || bench_server_lost(world, world->ranges[range].owner) ||
            world->servers[world->ranges[range].owner].draining) {
            return true;
        }
    }
    return false;
}

static int tick(bench_world_t *world)
{
    int error = CW_OK;

    bench_apply_events(world);
    bench_note_losses(world);
    if (world->now % BENCH_REPORT_US == 0) {
        bench_report_loads(world);
    }
    if (world->changed || world->now >= world->rebalance_us || has_unplaced(world)) {
        world->changed = false;
        error = bench_place(world);
    }
    if (world->now > 0 && world->now % BENCH_WINDOW_US == 0) {
        bench_end_window(world);
    }
    return error;
}

static int run(bench_world_t *world)
{
    cw_time_us_t    end_us = (cw_time_us_t)world->scenario->duration_s * CW_US_PER_S;
    bench_arrival_t arrival;
    int             error = CW_OK;

    bench_requests_next(&world->requests, &arrival);
    for (world->now = 0; world->now <= end_us && error == CW_OK; world->now += BENCH_TICK_US) {
        error = tick(world);
        while (error == CW_OK && arrival.at_us < world->now + BENCH_TICK_US) {
            bench_serve(world, &arrival);
            bench_requests_next(&world->requests, &arrival);
        }
    }
    world->now = end_us;
    return error;
}

int bench_run(const bench_scenario_t *scenario, const bench_planner_t *planner, uint64_t seed, bench_result_t *result)
{
    bench_world_t *world = calloc(1, sizeof(*world));
    int            error;

    if (world == NULL) {
        return CW_ERROR_NO_MEMORY;
    }
    memset(result, 0, sizeof(*result));
    world->scenario = scenario;
    world->deployment = scenario->deployment;
    world->planner = planner;
    world->result = result;
    error = bench_requests_init(&world->requests, scenario, seed);
    if (error == CW_OK) {
        error = bench_world_init(world);
    }
    if (error == CW_OK) {
        error = run(world);
    }
    if (error == CW_OK) {
        error = bench_end_run(world);
    }
    bench_world_clear(world);
    free(world);
    return error;
}
