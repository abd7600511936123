/**
 * @file loop_clock.h
 * @brief Clock of the process's event loop that includes the time for which the machine was suspended.
 *
 * libuv's time is CLOCK_MONOTONIC, which stops while a machine is suspended; CLOCK_BOOTTIME does not stop. A suspension
 * must not prolong leases, tokens, deadlines or the validity of a node's data. They therefore use this clock: the
 * loop's time plus the time for which the machine was suspended since the clock began. After a suspension they have
 * expired as they would have after a freeze of the process, before any request is served and any order is sent: the two
 * clocks are compared when the time is read for the first time after each wait of the loop. libuv's timers use the
 * loop's time alone and fire later by the suspended time.
 *
 * A process has one loop with such a clock; the time of its other loops is libuv's.
 */
#ifndef CEDARWINCH_BASE_LOOP_CLOCK_H
#define CEDARWINCH_BASE_LOOP_CLOCK_H

#include <uv.h>

#include "base/time.h"

/** Returns the time for which the machine has been suspended since its boot. The result may be slightly too small, but
 * never too large. */
typedef cw_time_us_t (*cw_suspended_reader_t)(void *context);

/** Attaches the clock to a loop. read: source of the suspended time, for tests; NULL: the system's clocks. context:
 * passed to `read`. Returns 0 or a libuv error. */
int cw_loop_clock_begin(uv_loop_t *loop, cw_suspended_reader_t read, void *context);
/** Detaches the clock, before the loop is closed or to return it to libuv's time. */
void cw_loop_clock_end(void);

/** Current time of a loop in microseconds: this clock if it is attached to the loop, else libuv's time. */
cw_time_us_t cw_loop_now(const uv_loop_t *loop);

/** The same, read from the system now. The time of cw_loop_now is that at which the present turn of the loop began, or
 * its wait ended; a process that has little of a processor, or that was stopped within the turn, is later. For
 * decisions that must not be made late, and for the age of what is read now. Later calls of cw_loop_now return at least
 * this time. Without the clock attached: the loop's time. */
cw_time_us_t cw_loop_refresh(uv_loop_t *loop);

/** The time now, read from the system without changing the loop's time, which other code takes for the end of the
 * loop's wait. For the moment at which something has arrived within a turn. Without the clock attached: the loop's
 * time. */
cw_time_us_t cw_loop_read(const uv_loop_t *loop);

/** Returns the suspended time that was found since the last call, for the log and the metrics. Less than 10 ms counts
 * as 0 and is added to the result of a later call. */
cw_time_us_t cw_loop_clock_take_suspension(void);

#endif
