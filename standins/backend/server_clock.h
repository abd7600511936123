/**
 * @file server_clock.h
 * @brief A server's own monotonic clock: starts anew at boot and may run fast or slow against the machine's.
 */
#ifndef CEDARWINCH_STANDINS_SERVER_CLOCK_H
#define CEDARWINCH_STANDINS_SERVER_CLOCK_H

#include <stdint.h>

typedef struct cw_server_clock {
    int64_t boot_real_us;
    int64_t offset_us; /**< reading at boot */
    double  drift_ppm;
} cw_server_clock_t;

int64_t cw_server_clock_read(const cw_server_clock_t *clock, int64_t real_us);
/** Real time at which the clock shows a reading. */
int64_t cw_server_clock_real(const cw_server_clock_t *clock, int64_t clock_us);

#endif
