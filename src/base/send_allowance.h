/**
 * @file send_allowance.h
 * @brief Token bucket that limits the bytes sent per second.
 *
 * Sending is permitted while the allowance is above zero, and the whole size is subtracted, so the allowance may become
 * negative; then nothing more is sent until it has grown above zero again. A datagram larger than the burst can
 * therefore still be sent.
 *
 * The module does no I/O and reads no clock.
 */
#ifndef CEDARWINCH_BASE_SEND_ALLOWANCE_H
#define CEDARWINCH_BASE_SEND_ALLOWANCE_H

#include <stdbool.h>
#include <stddef.h>

#include "base/time.h"

/** State of the bucket. */
typedef struct cw_send_allowance {
    double       bytes_per_s; /**< 0: unlimited */
    cw_time_us_t burst;       /**< the allowance never exceeds what is added in this time */
    double       bytes;       /**< the allowance: bytes that may be sent now; may be negative */
    cw_time_us_t filled_at;   /**< time of the last refill */
} cw_send_allowance_t;

/** Makes an empty bucket, last filled at time 0 (the clock's start): the first refill gives a process a whole burst. */
void cw_send_allowance_init(cw_send_allowance_t *allowance, double bytes_per_s, cw_time_us_t burst);
/** Adds the bytes for the time since the last refill. */
void cw_send_allowance_refill(cw_send_allowance_t *allowance, cw_time_us_t now);
/** Whether anything may be sent now. */
bool cw_send_allowance_has_any(const cw_send_allowance_t *allowance);
/** Subtracts bytes that were sent. */
void cw_send_allowance_spend(cw_send_allowance_t *allowance, size_t bytes);

#endif
