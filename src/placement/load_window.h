/**
 * @file load_window.h
 * @brief The keys of recent requests to one service, weighed by age: what the planner knows of load.
 */
#ifndef CEDARWINCH_PLACEMENT_LOAD_WINDOW_H
#define CEDARWINCH_PLACEMENT_LOAD_WINDOW_H

#include <stddef.h>
#include <stdint.h>

#include "base/time.h"

typedef struct cw_load_sample {
    uint32_t key;
    float    weight; /**< requests it stands for */
    uint32_t at_ms;
    uint32_t regions; /**< where these may go, as a mask (region_mask.h) */
    uint32_t from;    /**< bit of the region that they came from; 0: not known */
} cw_load_sample_t;

enum { CW_LOAD_SAMPLES_MAX = 8192 };

typedef struct cw_load_window {
    cw_load_sample_t *samples; /**< a ring */
    size_t            count;
    size_t            next;
    uint32_t          first_ms; /**< since when there has been load without a long pause */
    uint32_t          last_ms;
} cw_load_window_t;

/** A key with its share of the load, requests a second. */
typedef struct cw_key_load {
    uint32_t key;
    double   per_s;
} cw_key_load_t;

/** Requests for a key that are of some regions, requests a second: they may go there only, or come from there. */
typedef struct cw_bound_load {
    uint32_t key;
    uint32_t regions; /**< a mask; several entries of one key have different ones */
    double   per_s;
} cw_bound_load_t;

/** Requests for one key that were seen. */
typedef struct cw_key_report {
    uint32_t key;
    uint32_t regions; /**< where they may go (region_mask.h) */
    uint32_t from;    /**< bit of the region that they came from; 0: not known */
    double   weight;  /**< how many */
} cw_key_report_t;

void cw_load_window_add(cw_load_window_t *window, uint32_t key, double weight, cw_time_us_t now);
void cw_load_window_add_sample(cw_load_window_t *window, const cw_key_report_t *seen, cw_time_us_t now);
/** Standard error of a rate read from the window, requests a second: a Poisson count over its memory. */
double cw_load_error(double per_s);
/** Load of each key seen lately, in order of keys; returns how many. The array is to be freed. */
size_t cw_load_window_read(const cw_load_window_t *window, cw_time_us_t now, cw_key_load_t **loads);
/** Of it, what is bound to regions that are known, in order of keys. The array is to be freed. */
size_t cw_load_window_read_bound(const cw_load_window_t *window, cw_time_us_t now, cw_bound_load_t **loads);
/** Of it, what came from regions that are known, in order of keys. The array is to be freed. */
size_t cw_load_window_read_origins(const cw_load_window_t *window, cw_time_us_t now, cw_bound_load_t **loads);
size_t cw_bound_loads_first(const cw_bound_load_t *loads, size_t count, uint32_t key);
/** Index of the first of these at or above a key. */
size_t cw_key_loads_first(const cw_key_load_t *loads, size_t count, uint32_t key);
/** Load on keys low to last, requests a second. */
double cw_key_loads_between(const cw_key_load_t *loads, size_t count, uint32_t low, uint32_t last);
void   cw_load_window_clear(cw_load_window_t *window);

#endif
