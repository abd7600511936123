/**
 * @file time.h
 * @brief Time as the modules use it: microseconds of this process's monotonic clock.
 */
#ifndef CEDARWINCH_BASE_TIME_H
#define CEDARWINCH_BASE_TIME_H

#include <stdint.h>

/** A moment or a duration, in microseconds. */
typedef int64_t cw_time_us_t;

/** Durations in microseconds. */
#define CW_MS(value)      ((cw_time_us_t)(value)*1000)
#define CW_SECONDS(value) ((cw_time_us_t)(value)*1000000)

/** A moment that is never reached. */
#define CW_NEVER INT64_MAX

#endif
