/**
 * @file process.c
 * @brief Lives, pauses and clocks of simulated processes.
 *
 * Each life draws a clock that starts at an offset of its own and runs fast or slow within half the drift bound, so
 * that any two clocks differ by at most the bound.
 */
#include "world.h"

enum { PARTS_PER_MILLION = 1000000, OFFSET_MAX_US = 1000 * CW_US_PER_S };

void sim_process_start(sim_world_t *world, sim_process_t *process)
{
    process->life++;
    process->running = true;
    process->paused_until = 0;
    process->born_us = world->now;
    process->drift_ppm = sim_between(world, -SIM_DRIFT_PPM / 2, SIM_DRIFT_PPM / 2);
    process->clock_offset_us = sim_between(world, CW_US_PER_S, OFFSET_MAX_US);
    process->wall_skew_ms = sim_between(world, -SIM_WALL_SKEW_MS / 2, SIM_WALL_SKEW_MS / 2);
}

int64_t sim_process_clock_at(const sim_process_t *process, cw_time_us_t true_us)
{
    int64_t passed = true_us - process->born_us;

    return process->clock_offset_us + passed + passed * process->drift_ppm / PARTS_PER_MILLION;
}

int64_t sim_process_clock(const sim_world_t *world, const sim_process_t *process)
{
    return sim_process_clock_at(process, world->now);
}

cw_time_us_t sim_process_true_time(const sim_process_t *process, int64_t clock_us)
{
    int64_t passed = clock_us - process->clock_offset_us;

    return process->born_us + passed * PARTS_PER_MILLION / (PARTS_PER_MILLION + process->drift_ppm) + 1;
}

void sim_process_pause(sim_world_t *world, sim_process_t *process, cw_time_us_t duration_us)
{
    if (process->running && process->paused_until < world->now + duration_us) {
        process->paused_until = world->now + duration_us;
        sim_trace(world, "endpoint %zu paused for %ld us", process->endpoint, (long)duration_us);
    }
}
