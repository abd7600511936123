/**
 * @file traffic.h
 * @brief Requests of one run: when, for which key, how long. The same whatever
 * the planner does.
 */
#ifndef CEDARWINCH_BENCH_PLACEMENT_TRAFFIC_H
#define CEDARWINCH_BENCH_PLACEMENT_TRAFFIC_H

#include "model.h"

typedef struct bench_arrival {
    cw_time_us_t at_us;
    size_t       key;
    cw_time_us_t service_us;
} bench_arrival_t;

typedef struct bench_requests {
    const bench_scenario_t *scenario;
    uint64_t                random;
    double                  clock_us;
    double                 *shares; /**< cumulative popularity of keys */
    cw_key_hash_t          *hashes;
    size_t                 *few; /**< keys under hearing now */
    size_t                  period;
} bench_requests_t;

int  bench_requests_init(bench_requests_t *requests, const bench_scenario_t *scenario, uint64_t seed);
void bench_requests_clear(bench_requests_t *requests);
void bench_requests_next(bench_requests_t *requests, bench_arrival_t *arrival);

/** How many keys are under hearing at once, and for how long. */
enum { BENCH_FEW = 8, BENCH_FEW_PERIOD_S = 300 };

#endif
