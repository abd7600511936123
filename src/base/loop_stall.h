/**
 * @file loop_stall.h
 * @brief Detects that the process's event loop has not looked at its sockets for a while, because the process was
 * stopped or not scheduled, or because its callbacks took long.
 *
 * After such a stall nobody knows when the bytes that are read now have arrived, timers fire before the sockets are
 * read, and callers may have left unnoticed. Whatever decides by time or passes work on uses this module to ask how old
 * the loop's knowledge of its sockets is.
 *
 * A process has one loop that is watched, the one of base/loop_clock.h, whose time is used.
 */
#ifndef CEDARWINCH_BASE_LOOP_STALL_H
#define CEDARWINCH_BASE_LOOP_STALL_H

#include <stdbool.h>
#include <uv.h>

#include "base/time.h"

enum {
    /** A turn of the loop that takes longer is a stall. Ticks end each wait after 20 ms, so a healthy turn is shorter.
     */
    CW_LOOP_STALL_MS = 100
};

/** Starts to watch the loop. Returns 0 or a libuv error. */
int cw_loop_stall_begin(uv_loop_t *loop);
/** Ends the watch, before the loop is closed. */
void cw_loop_stall_end(void);

/** Time at which the loop last looked at its sockets before the present turn. Bytes that the present turn reads have
 * not arrived earlier. Present time if the loop is not watched. */
cw_time_us_t cw_loop_stall_last_look(const uv_loop_t *loop);
/** Number of the last look, for cw_loop_stall_has_looked_since; 0 if the loop is not watched. */
uint64_t cw_loop_stall_look_number(const uv_loop_t *loop);
/** True if the loop has looked at its sockets once more since the turn in which it had this number of looks. Counted
 * and not timed, since the loop's time may be read anew within a turn. Always true if the loop is not watched. */
bool cw_loop_stall_has_looked_since(const uv_loop_t *loop, uint64_t number);
/** True if that is longer ago than CW_LOOP_STALL_MS. */
bool cw_loop_stall_is_behind(const uv_loop_t *loop);

/** For callbacks of timers that judge what the sockets have or have not brought: after a stall timers run before the
 * sockets are read. If the loop is behind, restarts the timer so that it fires after they were read, and returns true;
 * the callback then returns. is_postponed: state of this timer, at first false; it is never postponed twice in a row.
 */
bool cw_loop_stall_postpone(uv_timer_t *timer, uv_timer_cb callback, bool *is_postponed);

/** The same for a timer that repeats, of which the loop has one (the node's tick): returns true if the loop is behind,
 * so that this tick is left out. Never true twice in a row. */
bool cw_loop_stall_skips_tick(void);

/** Returns the duration of the stalls since the last call, for the log and the metrics. */
cw_time_us_t cw_loop_stall_take(void);

#endif
