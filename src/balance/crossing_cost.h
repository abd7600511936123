/**
 * @file crossing_cost.h
 * @brief How long a request may wait in its own region before it is worth sending it to another one.
 *
 * Bytes between regions have a price, and the way there takes time. Both are told as a time: a request that would wait
 * less than that stays. A large body is worth a long wait, a short request next to none.
 *
 * No I/O, no clock.
 */
#ifndef CEDARWINCH_BALANCE_CROSSING_COST_H
#define CEDARWINCH_BALANCE_CROSSING_COST_H

#include <stdbool.h>
#include <stddef.h>

#include "base/time.h"

typedef struct cw_crossing_settings {
    double       ms_per_mb; /**< waiting, in milliseconds, that a megabyte across a border is worth */
    cw_time_us_t way;       /**< there and back */
} cw_crossing_settings_t;

/** bytes: of the request and its answer. */
cw_time_us_t cw_crossing_cost(const cw_crossing_settings_t *settings, size_t bytes);

/** What is known of a request that could be served in its own region, later. */
typedef struct cw_crossing_input {
    cw_time_us_t cost;           /**< of crossing */
    cw_time_us_t wait;           /**< for a slot in the region; CW_CROSSING_NO_SLOT: none will come */
    cw_time_us_t usual;          /**< time of such a request at a server */
    cw_time_us_t objective_left; /**< until its objective */
} cw_crossing_input_t;

#define CW_CROSSING_NO_SLOT INT64_MAX

/** Does it wait here? Not for more than crossing costs; nor beyond its objective, which the other region may meet. */
bool cw_crossing_should_wait(const cw_crossing_input_t *input);

#endif
