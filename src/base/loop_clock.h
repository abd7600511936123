/**
 * @file loop_clock.h
 * @brief Time of the process's event loop, which goes on while the machine is suspended.
 *
 * libuv's time stands on CLOCK_MONOTONIC, which stops while a machine is suspended; CLOCK_BOOTTIME goes on. Leases,
 * tokens, deadlines and the age of what a node knows must not last longer by it, so their time is the loop's time and
 * what the machine was suspended since the clock began. After a suspension all of them are as old as after a freeze of
 * the process, before anything is served or ordered: the two clocks are compared at the first look after each wait of
 * the loop. libuv's timers go by the loop's time alone, and fire later by what was suspended.
 *
 * A process has one loop with such a clock; the time of other loops is libuv's.
 */
#ifndef CEDARWINCH_BASE_LOOP_CLOCK_H
#define CEDARWINCH_BASE_LOOP_CLOCK_H

#include <uv.h>

#include "base/time.h"

/** Time for which the machine has been suspended since its boot, or a little less; never more. */
typedef cw_time_us_t (*cw_suspended_reader_t)(void *context);

/** The clock of this loop from now on. read: NULL for the system's clocks. Returns 0 or a libuv error. */
int cw_loop_clock_begin(uv_loop_t *loop, cw_suspended_reader_t read, void *context);
/** The loop is closed, or its clock is libuv's again. */
void cw_loop_clock_end(void);

/** Time of the loop, microseconds. */
cw_time_us_t cw_loop_now(const uv_loop_t *loop);

/** Suspended time that was found since the last call; what is shorter than a few milliseconds is kept for the next. */
cw_time_us_t cw_loop_clock_take_suspension(void);

#endif
