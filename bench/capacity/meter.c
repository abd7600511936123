/**
 * @file meter.c
 * @brief Reading of hardware counters and processor clock.
 */
#include "meter.h"

#include <linux/perf_event.h>
#include <string.h>
#include <sys/syscall.h>
#include <time.h>
#include <unistd.h>

enum { CALIBRATION_LOOPS = 20000000, CALIBRATION_STRETCHES = 20000, NS_PER_S = 1000000000, NS_PER_US = 1000 };

/** Layout of a group read of two counters. */
typedef struct counter_group {
    uint64_t count;
    uint64_t values[2];
} counter_group_t;

static uint64_t processor_clock_ns(void)
{
    struct timespec now;

    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &now);
    return (uint64_t)now.tv_sec * NS_PER_S + (uint64_t)now.tv_nsec;
}

static int open_counter(uint64_t config, int group)
{
    struct perf_event_attr attributes;

    memset(&attributes, 0, sizeof(attributes));
    attributes.type = PERF_TYPE_HARDWARE;
    attributes.size = sizeof(attributes);
    attributes.config = config;
    attributes.exclude_kernel = 1;
    attributes.exclude_hv = 1;
    attributes.read_format = PERF_FORMAT_GROUP;
    return (int)syscall(SYS_perf_event_open, &attributes, 0, -1, group, 0);
}

static bool read_counters(int counter, counter_group_t *group)
{
    return read(counter, group, sizeof(*group)) == (ssize_t)sizeof(*group) && group->count == 2;
}

static void open_counters(cw_capacity_meter_t *meter)
{
    counter_group_t group;

    meter->counter = open_counter(PERF_COUNT_HW_INSTRUCTIONS, -1);
    if (meter->counter < 0) {
        return;
    }
    if (open_counter(PERF_COUNT_HW_CPU_CYCLES, meter->counter) < 0 || !read_counters(meter->counter, &group) ||
        group.values[0] == 0) {
        close(meter->counter);
        meter->counter = -1;
    }
}

/** Clock rate: cycles of a loop over its processor time. */
static void calibrate_rate(cw_capacity_meter_t *meter)
{
    cw_capacity_mark_t before;
    cw_capacity_mark_t after;
    volatile uint64_t  sum = 0;
    uint64_t           start_ns = processor_clock_ns();
    uint64_t           loop;

    cw_capacity_meter_start(meter, &before);
    for (loop = 0; loop < CALIBRATION_LOOPS; loop++) {
        sum += loop;
    }
    cw_capacity_meter_start(meter, &after);
    meter->cycles_per_us =
        (double)(after.cycles - before.cycles) * NS_PER_US / (double)(processor_clock_ns() - start_ns);
}

static void calibrate_own_cost(cw_capacity_meter_t *meter)
{
    cw_capacity_mark_t mark;
    cw_capacity_cost_t cost = {0};
    int                stretch;

    for (stretch = 0; stretch < CALIBRATION_STRETCHES; stretch++) {
        cw_capacity_meter_start(meter, &mark);
        cw_capacity_meter_stop(meter, &mark, &cost);
    }
    meter->own_instructions = cost.instructions / CALIBRATION_STRETCHES;
    meter->own_us = cost.us / CALIBRATION_STRETCHES;
}

void cw_capacity_meter_open(cw_capacity_meter_t *meter)
{
    memset(meter, 0, sizeof(*meter));
    open_counters(meter);
    if (cw_capacity_meter_counts(meter)) {
        calibrate_rate(meter);
    }
    calibrate_own_cost(meter);
}

void cw_capacity_meter_close(cw_capacity_meter_t *meter)
{
    if (meter->counter >= 0) {
        close(meter->counter);
        meter->counter = -1;
    }
}

bool cw_capacity_meter_counts(const cw_capacity_meter_t *meter)
{
    return meter->counter >= 0;
}

void cw_capacity_meter_start(const cw_capacity_meter_t *meter, cw_capacity_mark_t *mark)
{
    counter_group_t group = {0};

    memset(mark, 0, sizeof(*mark));
    if (cw_capacity_meter_counts(meter) && read_counters(meter->counter, &group)) {
        mark->instructions = group.values[0];
        mark->cycles = group.values[1];
        return;
    }
    mark->clock_ns = processor_clock_ns();
}

void cw_capacity_meter_stop(const cw_capacity_meter_t *meter, const cw_capacity_mark_t *mark, cw_capacity_cost_t *cost)
{
    cw_capacity_mark_t now;

    cw_capacity_meter_start(meter, &now);
    cost->stretches++;
    cost->instructions += (double)(now.instructions - mark->instructions) - meter->own_instructions;
    if (cw_capacity_meter_counts(meter)) {
        cost->us += (double)(now.cycles - mark->cycles) / meter->cycles_per_us - meter->own_us;
    } else {
        cost->us += (double)(now.clock_ns - mark->clock_ns) / NS_PER_US - meter->own_us;
    }
}
