/**
 * @file timer_heap.h
 * @brief Binary min-heap of intrusive timers: set, move and cancel in O(log n), look at the earliest in O(1).
 *
 * Timers due at the same time come out in the order in which they were set, so runs are reproducible. Also serves as
 * a queue ordered by deadline.
 */
#ifndef CEDARWINCH_TIMER_HEAP_H
#define CEDARWINCH_TIMER_HEAP_H

#include "cedarwinch/types.h"

/** Time that never comes: what an empty heap answers. */
#define CW_TIME_NEVER INT64_MAX

/** Embedded in the object that it belongs to; all zero: not set. */
typedef struct cw_timer {
    cw_time_us_t due_us;
    uint64_t     order;    /**< breaks ties */
    size_t       position; /**< place in the heap, from 1; 0: not in it */
} cw_timer_t;

/** All zero: an empty heap. */
typedef struct cw_timer_heap {
    cw_timer_t **timers;
    size_t       count;
    size_t       capacity;
    uint64_t     next_order;
} cw_timer_heap_t;

/** The object of a type that embeds a timer as its member. */
#define CW_TIMER_OWNER(timer, type, member) ((type *)(void *)((char *)(timer)-offsetof(type, member)))

/** Frees the heap's own memory. The timers are the caller's. */
void cw_timer_heap_clear(cw_timer_heap_t *heap);
/** Makes room for a number of timers, so that cw_timer_heap_set cannot fail below it. */
int cw_timer_heap_reserve(cw_timer_heap_t *heap, size_t capacity);
/** Sets a timer, or moves one that is set. Moving never fails. */
int  cw_timer_heap_set(cw_timer_heap_t *heap, cw_timer_t *timer, cw_time_us_t due_us);
void cw_timer_heap_cancel(cw_timer_heap_t *heap, cw_timer_t *timer); /**< does nothing when it is not set */
bool cw_timer_is_set(const cw_timer_t *timer);
/** Earliest timer, NULL: none. */
cw_timer_t *cw_timer_heap_first(const cw_timer_heap_t *heap);
/** Due time of the earliest timer, CW_TIME_NEVER: none. */
cw_time_us_t cw_timer_heap_next(const cw_timer_heap_t *heap);
/** Number of timers due at or before a time: O(n). */
size_t cw_timer_heap_count_due(const cw_timer_heap_t *heap, cw_time_us_t due_us);
/** Takes the earliest timer out if it is due; NULL: none is. */
cw_timer_t *cw_timer_heap_take_due(cw_timer_heap_t *heap, cw_time_us_t now);

#endif
