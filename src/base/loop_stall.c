/**
 * @file loop_stall.c
 * @brief Measures the time between two waits of the loop.
 */
#include "base/loop_stall.h"

#include <stddef.h>

#include "base/loop_clock.h"

/** The watch of this process's loop. */
static struct {
    const uv_loop_t *loop; /* NULL: none */
    uv_check_t       after_wait;
    cw_time_us_t     looked_at;   /* end of the last wait whose callbacks have run */
    uint64_t         look_number; /* number of such waits */
    bool         is_unsure;    /* the last wait ended a stall, perhaps by a signal and without looking at the sockets */
    bool         skipped_tick; /* the last tick was left out */
    cw_time_us_t stalled;      /* stalls since cw_loop_stall_take */
} loop_stall;

/* Runs after the callbacks of the sockets. The loop's time is still that of the end of its wait. A wait is interrupted
 * when a stopped process continues, and libuv then returns without looking at the sockets if its time is over. So the
 * wait that ends a stall does not count as a look; the next one does. */
static void on_after_wait(uv_check_t *check)
{
    cw_time_us_t now = cw_loop_now(check->loop);
    cw_time_us_t gap = now - loop_stall.looked_at;
    bool         ends_stall = gap > CW_MS(CW_LOOP_STALL_MS) && !loop_stall.is_unsure;

    if (ends_stall) {
        loop_stall.stalled += gap;
    } else {
        loop_stall.looked_at = now;
        loop_stall.look_number++;
    }
    loop_stall.is_unsure = ends_stall;
}

int cw_loop_stall_begin(uv_loop_t *loop)
{
    int error = uv_check_init(loop, &loop_stall.after_wait);

    if (error == 0) {
        error = uv_check_start(&loop_stall.after_wait, on_after_wait);
    }
    if (error != 0) {
        return error;
    }
    uv_unref((uv_handle_t *)&loop_stall.after_wait);
    loop_stall.loop = loop;
    loop_stall.looked_at = cw_loop_now(loop);
    loop_stall.look_number = 0;
    loop_stall.is_unsure = false;
    loop_stall.stalled = 0;
    return 0;
}

void cw_loop_stall_end(void)
{
    (void)uv_check_stop(&loop_stall.after_wait); /* always 0 */
    loop_stall.loop = NULL;
}

cw_time_us_t cw_loop_stall_last_look(const uv_loop_t *loop)
{
    return loop == loop_stall.loop ? loop_stall.looked_at : cw_loop_now(loop);
}

uint64_t cw_loop_stall_look_number(const uv_loop_t *loop)
{
    return loop == loop_stall.loop ? loop_stall.look_number : 0;
}

/* The turn in which the number was taken ends with a look of its own. */
bool cw_loop_stall_has_looked_since(const uv_loop_t *loop, uint64_t number)
{
    return loop != loop_stall.loop || loop_stall.look_number > number + 1;
}

bool cw_loop_stall_is_behind(const uv_loop_t *loop)
{
    return cw_loop_now(loop) - cw_loop_stall_last_look(loop) > CW_MS(CW_LOOP_STALL_MS);
}

bool cw_loop_stall_postpone(uv_timer_t *timer, uv_timer_cb callback, bool *is_postponed)
{
    *is_postponed = !*is_postponed && cw_loop_stall_is_behind(timer->loop);
    if (*is_postponed) { /* a timer of 0 ms would run before the sockets are read */
        uv_timer_start(timer, callback, 1, 0);
    }
    return *is_postponed;
}

bool cw_loop_stall_skips_tick(void)
{
    loop_stall.skipped_tick =
        loop_stall.loop != NULL && !loop_stall.skipped_tick && cw_loop_stall_is_behind(loop_stall.loop);
    return loop_stall.skipped_tick;
}

cw_time_us_t cw_loop_stall_take(void)
{
    cw_time_us_t stalled = loop_stall.stalled;

    loop_stall.stalled = 0;
    return stalled;
}
