/**
 * @file timer_heap.c
 * @brief Binary min-heap of intrusive timers, kept as an array whose root is at index 1.
 */
#include "cedarwinch/timer_heap.h"

#include <stdlib.h>

#include "cedarwinch/error.h"

enum { FIRST_CAPACITY = 64, ROOT = 1 };

static bool is_before(const cw_timer_t *left, const cw_timer_t *right)
{
    if (left->due_us != right->due_us) {
        return left->due_us < right->due_us;
    }
    return left->order < right->order;
}

static void place(cw_timer_heap_t *heap, cw_timer_t *timer, size_t position)
{
    heap->timers[position] = timer;
    timer->position = position;
}

static void sift_up(cw_timer_heap_t *heap, cw_timer_t *timer)
{
    size_t position = timer->position;

    while (position > ROOT && is_before(timer, heap->timers[position / 2])) {
        place(heap, heap->timers[position / 2], position);
        position /= 2;
    }
    place(heap, timer, position);
}

static void sift_down(cw_timer_heap_t *heap, cw_timer_t *timer)
{
    size_t position = timer->position;
    size_t child;

    while ((child = position * 2) <= heap->count) {
        if (child < heap->count && is_before(heap->timers[child + 1], heap->timers[child])) {
            child++;
        }
        if (!is_before(heap->timers[child], timer)) {
            break;
        }
        place(heap, heap->timers[child], position);
        position = child;
    }
    place(heap, timer, position);
}

void cw_timer_heap_clear(cw_timer_heap_t *heap)
{
    free(heap->timers);
    *heap = (cw_timer_heap_t){0};
}

int cw_timer_heap_reserve(cw_timer_heap_t *heap, size_t capacity)
{
    cw_timer_t **timers;

    if (capacity <= heap->capacity) {
        return CW_OK;
    }
    timers = realloc(heap->timers, (capacity + ROOT) * sizeof(cw_timer_t *));
    if (timers == NULL) {
        return CW_ERROR_NO_MEMORY;
    }
    heap->timers = timers;
    heap->capacity = capacity;
    return CW_OK;
}

int cw_timer_heap_set(cw_timer_heap_t *heap, cw_timer_t *timer, cw_time_us_t due_us)
{
    int error;

    if (timer->position == 0) {
        if (heap->count == heap->capacity) {
            error = cw_timer_heap_reserve(heap, heap->capacity == 0 ? FIRST_CAPACITY : heap->capacity * 2);
            if (error != CW_OK) {
                return error;
            }
        }
        place(heap, timer, ++heap->count);
    }
    timer->due_us = due_us;
    timer->order = heap->next_order++;
    sift_up(heap, timer);
    sift_down(heap, timer);
    return CW_OK;
}

void cw_timer_heap_cancel(cw_timer_heap_t *heap, cw_timer_t *timer)
{
    cw_timer_t *last;
    size_t      hole = timer->position;

    if (hole == 0) {
        return;
    }
    last = heap->timers[heap->count--];
    timer->position = 0;
    if (last != timer) {
        place(heap, last, hole);
        sift_up(heap, last);
        sift_down(heap, last);
    }
}

bool cw_timer_is_set(const cw_timer_t *timer)
{
    return timer->position != 0;
}

cw_timer_t *cw_timer_heap_first(const cw_timer_heap_t *heap)
{
    return heap->count == 0 ? NULL : heap->timers[ROOT];
}

cw_time_us_t cw_timer_heap_next(const cw_timer_heap_t *heap)
{
    return heap->count == 0 ? CW_TIME_NEVER : heap->timers[ROOT]->due_us;
}

size_t cw_timer_heap_count_due(const cw_timer_heap_t *heap, cw_time_us_t due_us)
{
    size_t due = 0;
    size_t position;

    for (position = ROOT; position <= heap->count; position++) {
        if (heap->timers[position]->due_us <= due_us) {
            due++;
        }
    }
    return due;
}

cw_timer_t *cw_timer_heap_take_due(cw_timer_heap_t *heap, cw_time_us_t now)
{
    cw_timer_t *first = cw_timer_heap_first(heap);

    if (first == NULL || first->due_us > now) {
        return NULL;
    }
    cw_timer_heap_cancel(heap, first);
    return first;
}
