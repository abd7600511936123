/**
 * @file link_stalls.c
 * @brief A timer that compares when it runs with when it was due, and the processor time used meanwhile.
 */
#include "link_stalls.h"

#include <stdio.h>

enum { INTERVAL_MS = 100, STALL_MS = 300 };

static void on_timer(uv_timer_t *timer)
{
    link_stalls_t *stalls = timer->data;
    uint64_t       now_ms = uv_hrtime() / 1000000;
    uint64_t       passed_ms = now_ms - stalls->seen_ms;
    clock_t        used = clock();

    if (passed_ms >= INTERVAL_MS + STALL_MS) {
        fprintf(stderr, "cw-link: stood still for %llu ms, of which it had a processor for %llu ms\n",
                (unsigned long long)passed_ms,
                (unsigned long long)(used - stalls->used) * 1000 / (unsigned long long)CLOCKS_PER_SEC);
    }
    stalls->seen_ms = now_ms;
    stalls->used = used;
}

void link_stalls_watch(link_stalls_t *stalls, uv_loop_t *loop)
{
    uv_timer_init(loop, &stalls->timer);
    stalls->timer.data = stalls;
    stalls->seen_ms = uv_hrtime() / 1000000;
    stalls->used = clock();
    uv_timer_start(&stalls->timer, on_timer, INTERVAL_MS, INTERVAL_MS);
}
