/**
 * @file time.h
 * @brief Time as the core sees it: microseconds of this process's monotonic clock.
 */
#ifndef CEDARWINCH_BASE_TIME_H
#define CEDARWINCH_BASE_TIME_H

#include <stdint.h>

typedef int64_t cw_time_us_t;

#define CW_MS(value)      ((cw_time_us_t)(value)*1000)
#define CW_SECONDS(value) ((cw_time_us_t)(value)*1000000)

/** Later than any moment. */
#define CW_NEVER INT64_MAX

#endif
