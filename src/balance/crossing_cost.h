/**
 * @file crossing_cost.h
 * @brief Decides how long a request waits in its own region before it is sent to another region.
 *
 * Traffic between regions costs money and adds network delay. Both are expressed as one time, the crossing cost: a
 * request whose wait would be shorter stays in its region. A large body justifies a long wait, a short request almost
 * none.
 *
 * No I/O, no clock.
 */
#ifndef CEDARWINCH_BALANCE_CROSSING_COST_H
#define CEDARWINCH_BALANCE_CROSSING_COST_H

#include <stdbool.h>
#include <stddef.h>

#include "base/time.h"

/** Price of sending a request to another region. */
typedef struct cw_crossing_settings {
    double       ms_per_mb;  /**< milliseconds of waiting that equal the cost of one megabyte between regions */
    cw_time_us_t round_trip; /**< network round-trip time */
} cw_crossing_settings_t;

/** Cost of sending a request to another region, as a time. bytes: size of the request and its answer together. */
cw_time_us_t cw_crossing_cost(const cw_crossing_settings_t *settings, size_t bytes);

/** A request that could be served in its own region after a wait. */
typedef struct cw_crossing_input {
    cw_time_us_t cost;      /**< result of cw_crossing_cost */
    cw_time_us_t wait;      /**< expected wait for a slot in the region; CW_CROSSING_NO_SLOT: no slot is expected */
    cw_time_us_t mean_time; /**< mean time that such a request takes at a server */
    cw_time_us_t objective_left; /**< time left until its latency objective */
} cw_crossing_input_t;

/** Value of cw_crossing_input_t.wait: no slot is expected in the region. */
#define CW_CROSSING_NO_SLOT INT64_MAX

/** True if the request should wait in its region: the wait must not exceed the crossing cost, and the request must
 * still meet its latency objective, since another region may meet it. */
bool cw_crossing_should_wait(const cw_crossing_input_t *input);

#endif
