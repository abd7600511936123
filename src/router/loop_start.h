/**
 * @file loop_start.h
 * @brief Makes the node's event loop, or says why it cannot.
 *
 * libuv's loop needs descriptors. One that was only half made looks whole: timers run, and the first wait for a socket
 * reads through NULL, or the library aborts. So a machine that has none left for a moment is given some time, and then
 * the process ends with a word.
 */
#ifndef CEDARWINCH_ROUTER_LOOP_START_H
#define CEDARWINCH_ROUTER_LOOP_START_H

#include <uv.h>

enum {
    CW_LOOP_DESCRIPTORS = 8, /**< a loop takes one for epoll, one for wake-ups, two pipes for signals: six */
    CW_LOOP_TRIES = 10,
    CW_LOOP_PAUSE_MS =
        100 /**< between them: a second in all, the least that a supervisor waits before it starts again */
};

/** 0, or libuv's error of the last try. */
int cw_loop_start(uv_loop_t *loop);

#endif
