/**
 * @file server_clock.c
 * @brief A server's own monotonic clock.
 */
#include "server_clock.h"

#include <math.h>

static const double millionth = 1e-6;

int64_t cw_server_clock_read(const cw_server_clock_t *clock, int64_t real_us)
{
    double elapsed = (double)(real_us - clock->boot_real_us);

    return clock->offset_us + llround(elapsed * (1 + clock->drift_ppm * millionth));
}

int64_t cw_server_clock_real(const cw_server_clock_t *clock, int64_t clock_us)
{
    double elapsed = (double)(clock_us - clock->offset_us);

    return clock->boot_real_us + llround(elapsed / (1 + clock->drift_ppm * millionth));
}
