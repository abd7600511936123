/**
 * @file bench.h
 * @brief What the measurements share, and the measurements.
 *
 * Each measurement runs the core's state machines on modelled ports and adds series to the results. Time is logical;
 * messages are packed, counted and unpacked as between nodes.
 */
#ifndef CEDARWINCH_CAPACITY_BENCH_H
#define CEDARWINCH_CAPACITY_BENCH_H

#include "meter.h"
#include "results.h"

typedef struct cw_capacity_bench {
    cw_capacity_meter_t   meter;
    cw_capacity_results_t results;
    size_t                nodes_max;   /**< largest number of hollow relays */
    size_t                nodes_run;   /**< largest number that was run */
    size_t                nodes_real;  /**< of these, those that ran the real relay */
    size_t                memory_most; /**< allocated with them, bytes */
} cw_capacity_bench_t;

typedef void (*cw_capacity_measure_t)(cw_capacity_bench_t *bench);

void cw_capacity_measure_relay(cw_capacity_bench_t *bench);
void cw_capacity_measure_state(cw_capacity_bench_t *bench);
void cw_capacity_measure_gateway(cw_capacity_bench_t *bench);
void cw_capacity_measure_forwarder(cw_capacity_bench_t *bench);
void cw_capacity_measure_raft(cw_capacity_bench_t *bench);
void cw_capacity_measure_control(cw_capacity_bench_t *bench);
void cw_capacity_measure_control_changes(cw_capacity_bench_t *bench);
void cw_capacity_measure_failover(cw_capacity_bench_t *bench);

#endif
