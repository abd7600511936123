/**
 * @file send_allowance.h
 * @brief How many bytes may be sent now: a token bucket that grows with time up to a burst.
 *
 * What is sent is taken off whole, so that the allowance may go below zero; then nothing more is sent until time has
 * brought it back above zero. So a datagram larger than the burst can still be sent.
 *
 * No I/O, no clock.
 */
#ifndef CEDARWINCH_BASE_SEND_ALLOWANCE_H
#define CEDARWINCH_BASE_SEND_ALLOWANCE_H

#include <stdbool.h>
#include <stddef.h>

#include "base/time.h"

typedef struct cw_send_allowance {
    double       bytes_per_s; /**< 0: any number may be sent */
    cw_time_us_t burst;       /**< the allowance is at most what so much time brings */
    double       bytes;       /**< that may be sent now */
    cw_time_us_t filled_at;
} cw_send_allowance_t;

/** Empty, as of the start of the clock: a process has a whole burst at its first refill. */
void cw_send_allowance_init(cw_send_allowance_t *allowance, double bytes_per_s, cw_time_us_t burst);
/** Adds what the time since the last refill has brought. */
void cw_send_allowance_refill(cw_send_allowance_t *allowance, cw_time_us_t now);
bool cw_send_allowance_has_any(const cw_send_allowance_t *allowance);
/** So many bytes were sent. */
void cw_send_allowance_spend(cw_send_allowance_t *allowance, size_t bytes);

#endif
