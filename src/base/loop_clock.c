/**
 * @file loop_clock.c
 * @brief Compares CLOCK_BOOTTIME with CLOCK_MONOTONIC after each wait of the loop.
 */
#include "base/loop_clock.h"

#include <stdbool.h>
#include <stddef.h>
#include <time.h>

enum {
    NOTABLE_MS = 10 /* two readings of the clocks differ by what the process waits for its turn between them */
};

/** The one clock of this process. */
static struct {
    const uv_loop_t      *loop; /* NULL: none */
    uv_prepare_t          before_wait;
    bool                  has_waited;  /* the loop, since the clocks were compared, */
    uint64_t              compared_ms; /* which was at this time of the loop */
    cw_suspended_reader_t read;
    void                 *context;
    cw_time_us_t          at_begin;  /* suspended since boot when the clock began */
    cw_time_us_t          suspended; /* since then */
    cw_time_us_t          taken;     /* of it, told by cw_loop_clock_take_suspension */
} loop_clock;

static cw_time_us_t read_clock(clockid_t clock)
{
    struct timespec time = {0};

    (void)clock_gettime(clock, &time); /* fails for unknown clocks only: both are Linux's since 2.6.39 */
    return CW_SECONDS(time.tv_sec) + time.tv_nsec / 1000;
}

/* CLOCK_MONOTONIC is read last: whatever passes between the two makes the difference smaller. */
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
    loop_clock.taken = 0;
    loop_clock.has_waited = true;
    return 0;
}

void cw_loop_clock_end(void)
{
    (void)uv_prepare_stop(&loop_clock.before_wait); /* always 0 */
    loop_clock.loop = NULL;
}

/* Never back: a reading may be a little short. */
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

cw_time_us_t cw_loop_clock_take_suspension(void)
{
    cw_time_us_t found = loop_clock.suspended - loop_clock.taken;

    if (found < CW_MS(NOTABLE_MS)) {
        return 0;
    }
    loop_clock.taken = loop_clock.suspended;
    return found;
}
