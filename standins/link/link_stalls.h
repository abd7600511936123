/**
 * @file link_stalls.h
 * @brief Reports on standard error when the proxy stood still: then everything that passes through it is late, and what
 * a test finds meanwhile is not told apart from a cut of all links.
 */
#ifndef CEDARWINCH_LINK_STALLS_H
#define CEDARWINCH_LINK_STALLS_H

#include <time.h>
#include <uv.h>

/** Watch over a loop. */
typedef struct link_stalls {
    uv_timer_t timer;
    uint64_t   seen_ms; /**< last run of the timer */
    clock_t    used;    /**< processor time of the process until then */
} link_stalls_t;

/** Begins to watch the loop. */
void link_stalls_watch(link_stalls_t *stalls, uv_loop_t *loop);

#endif
