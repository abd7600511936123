/**
 * @file baselines.h
 * @brief Ways to place ranges that the product's planner is compared with.
 */
#ifndef CEDARWINCH_BENCH_PLACEMENT_BASELINES_H
#define CEDARWINCH_BENCH_PLACEMENT_BASELINES_H

#include "cedarwinch/placement.h"

/** The planner as first landed. */
int  bench_first_plan(const cw_placement_input_t *input, cw_placement_result_t *result);
bool bench_first_split(const cw_placement_input_t *input, size_t *range);

/** Consistent hashing, 100 points on the ring for each server. */
int bench_ring_plan(const cw_placement_input_t *input, cw_placement_result_t *result);

/** Consistent hashing with bounded loads: no server above 1.25 of the mean,
 * overflow goes on along the ring. */
int bench_bounded_plan(const cw_placement_input_t *input, cw_placement_result_t *result);

#endif
