/**
 * @file lease_events.c
 * @brief Logical time with a heap of events, pseudo-random numbers, and violations.
 */
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>

#include "lease_internal.h"

enum { INITIAL_EVENTS = 256 };

static bool comes_before(const sim_event_t *left, const sim_event_t *right)
{
    return left->at != right->at ? left->at < right->at : left->sequence < right->sequence;
}

void sim_schedule(sim_world_t *world, cw_time_us_t at, void (*run)(sim_world_t *world, void *data), void *data)
{
    size_t index = world->event_count;

    if (world->event_count == world->event_capacity) {
        world->event_capacity = world->event_capacity == 0 ? INITIAL_EVENTS : 2 * world->event_capacity;
        world->events = realloc(world->events, world->event_capacity * sizeof(*world->events));
        if (world->events == NULL) {
            abort();
        }
    }
    world->events[world->event_count++] =
        (sim_event_t){.at = at, .sequence = world->event_sequence++, .run = run, .data = data};
    while (index > 0 && comes_before(&world->events[index], &world->events[(index - 1) / 2])) {
        sim_event_t event = world->events[index];

        world->events[index] = world->events[(index - 1) / 2];
        world->events[(index - 1) / 2] = event;
        index = (index - 1) / 2;
    }
}

static void sift_down(sim_world_t *world)
{
    size_t index = 0;

    for (;;) {
        size_t      least = index;
        size_t      child = 2 * index + 1;
        sim_event_t event = world->events[index];

        if (child < world->event_count && comes_before(&world->events[child], &world->events[least])) {
            least = child;
        }
        if (child + 1 < world->event_count && comes_before(&world->events[child + 1], &world->events[least])) {
            least = child + 1;
        }
        if (least == index) {
            return;
        }
        world->events[index] = world->events[least];
        world->events[least] = event;
        index = least;
    }
}

bool sim_step(sim_world_t *world)
{
    sim_event_t event;

    if (world->event_count == 0) {
        return false;
    }
    event = world->events[0];
    world->events[0] = world->events[--world->event_count];
    sift_down(world);
    if (event.at > world->now) {
        world->now = event.at;
    }
    event.run(world, event.data);
    return true;
}

/* The generator splitmix64. */
static uint64_t next_random(uint64_t *state)
{
    uint64_t value = (*state += 0x9e3779b97f4a7c15u);

    value = (value ^ (value >> 30)) * 0xbf58476d1ce4e5b9u;
    value = (value ^ (value >> 27)) * 0x94d049bb133111ebu;
    return value ^ (value >> 31);
}

uint64_t sim_random_below(sim_world_t *world, uint64_t bound)
{
    return next_random(&world->random) % bound;
}

double sim_random_fraction(sim_world_t *world)
{
    return (double)(next_random(&world->random) >> 11) / 9007199254740992.0;
}

bool sim_random_bool(sim_world_t *world, double chance)
{
    return sim_random_fraction(world) < chance;
}

bool sim_has_faults(const sim_world_t *world)
{
    return world->now < world->settings.faults_end_at;
}

void sim_trace(const sim_world_t *world, const char *format, ...)
{
    va_list arguments;

    if (world->settings.trace) {
        printf("%9.3f ", (double)world->now / 1e6);
        va_start(arguments, format);
        vprintf(format, arguments);
        va_end(arguments);
        printf("\n");
    }
}

void sim_violation(sim_world_t *world, const char *format, ...)
{
    va_list arguments;

    if (world->result->violations < CW_SIM_VIOLATIONS_MAX) {
        va_start(arguments, format);
        vsnprintf(world->result->violation[world->result->violations], sizeof(world->result->violation[0]), format,
                  arguments);
        va_end(arguments);
    }
    world->result->violations++;
    sim_trace(world, "VIOLATION");
}
