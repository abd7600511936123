/**
 * @file meter.h
 * @brief Processor time, instructions and memory of stretches of this process.
 *
 * Where the kernel grants hardware counters, user instructions and cycles are read; cycles are turned into time by the
 * clock rate measured at the start. Else the processor clock of the process is read and instructions are 0.
 */
#ifndef CEDARWINCH_CAPACITY_METER_H
#define CEDARWINCH_CAPACITY_METER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

typedef struct cw_capacity_meter {
    int    counter;       /**< descriptor of the counters; -1: none */
    double cycles_per_us; /**< measured */
    /** What one start and stop add by themselves. */
    double own_instructions;
    double own_us;
} cw_capacity_meter_t;

typedef struct cw_capacity_mark {
    uint64_t instructions;
    uint64_t cycles;
    uint64_t clock_ns;
} cw_capacity_mark_t;

/** Sum over stretches. */
typedef struct cw_capacity_cost {
    double   instructions;
    double   us;
    uint64_t stretches;
} cw_capacity_cost_t;

void cw_capacity_meter_open(cw_capacity_meter_t *meter);
void cw_capacity_meter_close(cw_capacity_meter_t *meter);
bool cw_capacity_meter_counts(const cw_capacity_meter_t *meter); /**< are there hardware counters? */
void cw_capacity_meter_start(const cw_capacity_meter_t *meter, cw_capacity_mark_t *mark);
/** Adds the stretch since the start. */
void cw_capacity_meter_stop(const cw_capacity_meter_t *meter, const cw_capacity_mark_t *mark, cw_capacity_cost_t *cost);
/** Bytes allocated now, with the allocator's own overhead (allocator.c). */
size_t cw_capacity_memory(void);

#endif
