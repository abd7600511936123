/**
 * @file loop_start.h
 * @brief Initialises the node's event loop, or returns the reason why it cannot.
 *
 * libuv's loop needs file descriptors. A loop that could not get all of them appears to work: timers run, but the first
 * wait for a socket reads through NULL, or the library aborts. So if the machine has no descriptors left, the
 * initialisation is retried for a while; if it still fails, the process reports the error and ends.
 */
#ifndef CEDARWINCH_ROUTER_LOOP_START_H
#define CEDARWINCH_ROUTER_LOOP_START_H

#include <uv.h>

enum {
    /** File descriptors that must be free; a loop needs six: one for epoll, one for wake-ups, two pipes for signals. */
    CW_LOOP_DESCRIPTORS = 8,
    CW_LOOP_TRIES = 10,
    /** Interval between tries; a second in all, the shortest time after which a supervisor restarts the process. */
    CW_LOOP_RETRY_INTERVAL_MS = 100
};

/** Initialises the loop, which blocks for up to a second. Returns 0, or libuv's error of the last try. */
int cw_loop_start(uv_loop_t *loop);

#endif
