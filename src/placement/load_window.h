/**
 * @file load_window.h
 * @brief The keys of recent requests to one service, weighted by age, from which the planner estimates load.
 */
#ifndef CEDARWINCH_PLACEMENT_LOAD_WINDOW_H
#define CEDARWINCH_PLACEMENT_LOAD_WINDOW_H

#include <stddef.h>
#include <stdint.h>

#include "base/time.h"

/** Requests for one key that were reported together. */
typedef struct cw_load_sample {
    uint32_t key;
    float    weight;  /**< number of requests that it represents */
    uint32_t at_ms;   /**< when they were reported */
    uint32_t regions; /**< regions that the requests may be sent to, as a mask (region_mask.h) */
    uint32_t from;    /**< bit of the region that the requests came from; 0: not known */
} cw_load_sample_t;

enum { CW_LOAD_SAMPLES_MAX = 8192 };

/** The latest samples of one service, CW_LOAD_SAMPLES_MAX at most. All zeros: none. */
typedef struct cw_load_window {
    cw_load_sample_t *samples; /**< ring buffer */
    size_t            count;
    size_t            next;
    uint32_t          first_ms; /**< time of the first sample after the last long time without load */
    uint32_t          last_ms;  /**< time of the latest sample */
} cw_load_window_t;

/** Load of one key in requests per second. */
typedef struct cw_key_load {
    uint32_t key;
    double   per_s;
} cw_key_load_t;

/** Load of one key, in requests per second, that may be sent to some regions only, or that comes from a region. */
typedef struct cw_region_load {
    uint32_t key;
    uint32_t regions; /**< a mask; entries of one key have different masks */
    double   per_s;
} cw_region_load_t;

/** Requests for one key, as a node reports them. */
typedef struct cw_key_report {
    uint32_t key;
    uint32_t regions; /**< regions that they may be sent to, as a mask (region_mask.h) */
    uint32_t from;    /**< bit of the region that they came from; 0: not known */
    double   weight;  /**< number of requests */
} cw_key_report_t;

/** Adds requests for a key without regions. */
void cw_load_window_add(cw_load_window_t *window, uint32_t key, double weight, cw_time_us_t now);
/** Adds requests for a key. */
void cw_load_window_add_sample(cw_load_window_t *window, const cw_key_report_t *report, cw_time_us_t now);
/** Standard error, in requests per second, of a rate read from the window: that of a Poisson count over the window's
 * time constant. */
double cw_load_error(double per_s);
/** Reads the load of each recently requested key, sorted by key. Returns the number of keys; the caller frees the
 * array.
 */
size_t cw_load_window_read(const cw_load_window_t *window, cw_time_us_t now, cw_key_load_t **loads);
/** Reads the part of the load that is restricted to known regions, sorted by key. The caller frees the array. */
size_t cw_load_window_read_restricted(const cw_load_window_t *window, cw_time_us_t now, cw_region_load_t **loads);
/** Reads the part of the load that came from known regions, sorted by key. The caller frees the array. */
size_t cw_load_window_read_origins(const cw_load_window_t *window, cw_time_us_t now, cw_region_load_t **loads);
/** Index of the first of the loads at or above a key. */
size_t cw_region_loads_first(const cw_region_load_t *loads, size_t count, uint32_t key);
/** Index of the first of the loads at or above a key. */
size_t cw_key_loads_first(const cw_key_load_t *loads, size_t count, uint32_t key);
/** Load on keys low to last in requests per second. */
double cw_key_loads_between(const cw_key_load_t *loads, size_t count, uint32_t low, uint32_t last);
/** Frees the samples, so that the window is empty. */
void cw_load_window_clear(cw_load_window_t *window);

#endif
