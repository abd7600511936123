/**
 * @file loop_clock.c
 * @brief Measures suspensions: compares CLOCK_BOOTTIME with CLOCK_MONOTONIC after each wait of the loop.
 */
#include "base/loop_clock.h"

#include <stdbool.h>
#include <stddef.h>
#include <time.h>

enum {
    NANOSECONDS_PER_US = 1000,
    NANOSECONDS_PER_MS = 1000000,
    SUSPENSION_MIN_MS = 10 /* shorter differences occur when the process is not scheduled between the two readings */
};

/** The clock of this process. */
static struct {
    const uv_loop_t      *loop; /* the loop that the clock is attached to; NULL: none */
    uv_prepare_t          before_wait;
    bool                  has_waited;  /* the loop has waited since the clocks were compared */
    uint64_t              compared_ms; /* time of the loop at the last comparison */
    cw_suspended_reader_t read;
    void                 *context;
    cw_time_us_t          at_begin;  /* suspended time since boot when the clock began */
    cw_time_us_t          suspended; /* suspended time since the clock began */
    cw_time_us_t          reported;  /* part of `suspended` that cw_loop_clock_take_suspension has returned */
} loop_clock;

static cw_time_us_t read_clock(clockid_t clock)
{
    struct timespec time = {0};

    (void)clock_gettime(clock, &time); /* fails only for unknown clocks: Linux has both since 2.6.39 */
    return CW_SECONDS(time.tv_sec) + time.tv_nsec / 1000;
}

/* CLOCK_MONOTONIC is read last: time that passes between the two readings makes the result smaller, never larger. */
static cw_time_us_t read_suspended(void *context)
{
    cw_time_us_t with_suspension = read_clock(CLOCK_BOOTTIME);

    (void)context;
    return with_suspension - read_clock(CLOCK_MONOTONIC);
}

static void on_before_wait(uv_prepare_t *prepare)
{
    (void)prepare;
    loop_clock.has_waited = true;
}

int cw_loop_clock_begin(uv_loop_t *loop, cw_suspended_reader_t read, void *context)
{
    int error = uv_prepare_init(loop, &loop_clock.before_wait);

    if (error == 0) {
        error = uv_prepare_start(&loop_clock.before_wait, on_before_wait);
    }
    if (error != 0) {
        return error;
    }
    uv_unref((uv_handle_t *)&loop_clock.before_wait);
    loop_clock.loop = loop;
    loop_clock.read = read == NULL ? read_suspended : read;
    loop_clock.context = context;
    loop_clock.at_begin = loop_clock.read(context);
    loop_clock.suspended = 0;
    loop_clock.reported = 0;
    loop_clock.has_waited = true;
    return 0;
}

void cw_loop_clock_end(void)
{
    (void)uv_prepare_stop(&loop_clock.before_wait); /* always 0 */
    loop_clock.loop = NULL;
}

/* The suspended time never decreases: a reading may be slightly too small. */
static void compare_clocks(void)
{
    cw_time_us_t suspended = loop_clock.read(loop_clock.context) - loop_clock.at_begin;

    loop_clock.has_waited = false;
    loop_clock.compared_ms = uv_now(loop_clock.loop);
    if (suspended > loop_clock.suspended) {
        loop_clock.suspended = suspended;
    }
}

cw_time_us_t cw_loop_now(const uv_loop_t *loop)
{
    if (loop != loop_clock.loop) {
        return CW_MS(uv_now(loop));
    }
    if (loop_clock.has_waited || uv_now(loop) != loop_clock.compared_ms) {
        compare_clocks();
    }
    return CW_MS(uv_now(loop)) + loop_clock.suspended;
}

cw_time_us_t cw_loop_refresh(uv_loop_t *loop)
{
    if (loop == loop_clock.loop && uv_hrtime() / NANOSECONDS_PER_MS > uv_now(loop)) {
        uv_update_time(loop);
    }
    return cw_loop_now(loop);
}

cw_time_us_t cw_loop_read(const uv_loop_t *loop)
{
    cw_time_us_t now = cw_loop_now(loop);
    cw_time_us_t read = (cw_time_us_t)(uv_hrtime() / NANOSECONDS_PER_US) + loop_clock.suspended;

    return loop == loop_clock.loop && read > now ? read : now;
}

cw_time_us_t cw_loop_clock_take_suspension(void)
{
    cw_time_us_t found = loop_clock.suspended - loop_clock.reported;

    if (found < CW_MS(SUSPENSION_MIN_MS)) {
        return 0;
    }
    loop_clock.reported = loop_clock.suspended;
    return found;
}
