/**
 * @file world.c
 * @brief The simulation's event loop: logical time, event order, trace and digest.
 *
 * Rules:
 * - Events run in order of due time, then of scheduling. An event of a paused process waits for the end of the pause,
 *   in the same order; one of a process that has ended is dropped.
 * - Time only moves to the next event. The first broken invariant ends the run.
 */
#include "world.h"

#include <stdarg.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

enum { SHORT_LEASE_MS = 1500, LONG_LEASE_MS = 4000 };

void cw_simulation_options_default(cw_simulation_options_t *options)
{
    memset(options, 0, sizeof(*options));
    options->seed = 1;
    options->nodes = 5;
    options->lease_ms = SHORT_LEASE_MS;
    options->duration_us = 30 * CW_US_PER_S;
}

void cw_simulation_options_for_seed(cw_simulation_options_t *options, uint64_t seed)
{
    cw_simulation_options_default(options);
    options->seed = seed;
    options->lease_ms = seed % 3 == 0 ? LONG_LEASE_MS : SHORT_LEASE_MS;
}

sim_event_t *sim_schedule(sim_world_t *world, const char *name, cw_time_us_t at_us, sim_event_run_t run,
                          sim_process_t *process, uint64_t life)
{
    sim_event_t *event = calloc(1, sizeof(*event));

    if (event == NULL) {
        abort();
    }
    event->name = name;
    event->run = run;
    event->process = process;
    event->life = life;
    if (cw_timer_heap_set(&world->events, &event->timer, at_us < world->now ? world->now : at_us) != CW_OK) {
        abort();
    }
    return event;
}

void sim_event_set_data(sim_event_t *event, const void *data, size_t length)
{
    event->data = malloc(length + 1);
    if (event->data == NULL) {
        abort();
    }
    memcpy(event->data, data, length);
    event->length = length;
}

void sim_event_free(sim_event_t *event)
{
    free(event->data);
    free(event);
}

void sim_violation(sim_world_t *world, const char *format, ...)
{
    va_list arguments;

    if (world->result->violation[0] != '\0') {
        return;
    }
    va_start(arguments, format);
    vsnprintf(world->result->violation, sizeof(world->result->violation), format, arguments);
    va_end(arguments);
    sim_trace(world, "VIOLATION %s", world->result->violation);
}

void sim_trace(sim_world_t *world, const char *format, ...)
{
    va_list arguments;

    if (world->options.trace == NULL) {
        return;
    }
    fprintf(world->options.trace, "%10.6f ", (double)world->now / CW_US_PER_S);
    va_start(arguments, format);
    vfprintf(world->options.trace, format, arguments);
    va_end(arguments);
    fputc('\n', world->options.trace);
}

cw_time_us_t sim_between(sim_world_t *world, cw_time_us_t low, cw_time_us_t high)
{
    return low + (cw_time_us_t)cw_random_below(&world->random, (uint64_t)(high - low + 1));
}

bool sim_chance(sim_world_t *world, unsigned per_thousand)
{
    return cw_random_below(&world->random, 1000) < per_thousand;
}

static void add_to_digest(sim_world_t *world, const sim_event_t *event)
{
    uint64_t facts[4] = {(uint64_t)world->now, XXH3_64bits(event->name, strlen(event->name)),
                         event->process == NULL ? UINT64_MAX : event->process->endpoint,
                         event->length == 0 ? 0 : XXH3_64bits(event->data, event->length)};

    world->result->digest = XXH3_64bits_withSeed(facts, sizeof(facts), world->result->digest);
    world->result->events++;
}

static bool is_dead(const sim_event_t *event)
{
    const sim_process_t *process = event->process;

    return process != NULL && (!process->running || (event->life != 0 && event->life != process->life));
}

/* What waited for a process comes in order when it wakes up, but its timer may run before or after all of that. */
static void defer(sim_world_t *world, sim_event_t *event)
{
    cw_time_us_t due_us = event->process->paused_until;

    if (event->kept && sim_chance(world, 500)) {
        due_us++;
    }
    (void)cw_timer_heap_set(&world->events, &event->timer, due_us);
}

static void run_event(sim_world_t *world, sim_event_t *event)
{
    if (is_dead(event)) {
        if (!event->kept) {
            sim_event_free(event);
        }
        return;
    }
    if (event->process != NULL && event->process->paused_until > world->now) {
        defer(world, event);
        return;
    }
    add_to_digest(world, event);
    event->run(world, event);
    if (!event->kept) {
        sim_event_free(event);
    }
}

static void run_until(sim_world_t *world, cw_time_us_t end_us)
{
    cw_timer_t *timer;

    while (world->result->violation[0] == '\0' && cw_timer_heap_next(&world->events) <= end_us) {
        world->now = cw_timer_heap_next(&world->events);
        timer = cw_timer_heap_take_due(&world->events, world->now);
        run_event(world, CW_TIMER_OWNER(timer, sim_event_t, timer));
    }
    world->now = end_us;
}

static void start_all(sim_world_t *world)
{
    size_t index;

    sim_checks_start(world);
    sim_servers_init(world);
    world->host_count = world->options.nodes;
    for (index = 0; index < world->host_count; index++) {
        sim_host_init(world, index);
    }
    for (index = 0; index < world->host_count; index++) {
        sim_host_start(&world->hosts[index]);
    }
    sim_operators_start(world);
    sim_administrator_start(world);
    sim_callers_start(world);
    sim_faults_schedule(world);
}

static void free_all(sim_world_t *world)
{
    cw_timer_t *timer;
    size_t      index;

    for (index = 0; index < world->host_count; index++) {
        sim_host_kill(&world->hosts[index]);
    }
    for (index = 0; index < world->server_count; index++) {
        sim_server_kill(&world->servers[index]);
    }
    while ((timer = cw_timer_heap_take_due(&world->events, INT64_MAX)) != NULL) {
        sim_event_free(CW_TIMER_OWNER(timer, sim_event_t, timer));
    }
    cw_timer_heap_clear(&world->events);
    sim_platform_clear(world);
    sim_checks_free(world);
}

int cw_simulation_run(const cw_simulation_options_t *options, cw_simulation_result_t *result)
{
    sim_world_t *world;

    if (options->nodes == 0 || options->nodes > SIM_NODES_MAX) {
        return CW_ERROR_INVALID;
    }
    world = calloc(1, sizeof(*world));
    if (world == NULL) {
        return CW_ERROR_NO_MEMORY;
    }
    memset(result, 0, sizeof(*result));
    world->options = *options;
    world->result = result;
    world->random = options->seed;
    start_all(world);
    run_until(world, options->duration_us);
    if (result->violation[0] == '\0') {
        sim_heal(world);
        run_until(world, options->duration_us + SIM_HEAL_US);
    }
    if (result->violation[0] == '\0') {
        sim_checks_end(world);
    }
    sim_callers_end(world);
    sim_operators_end(world);
    sim_administrator_end(world);
    free_all(world);
    free(world);
    return CW_OK;
}
