/**
 * @file send_allowance.c
 * @brief Token bucket that limits the bytes sent per second; send_allowance.h describes the rules.
 */
#include "base/send_allowance.h"

void cw_send_allowance_init(cw_send_allowance_t *allowance, double bytes_per_s, cw_time_us_t burst)
{
    *allowance = (cw_send_allowance_t){.bytes_per_s = bytes_per_s, .burst = burst};
}

void cw_send_allowance_refill(cw_send_allowance_t *allowance, cw_time_us_t now)
{
    double burst_bytes = allowance->bytes_per_s * (double)allowance->burst / 1e6;

    allowance->bytes += allowance->bytes_per_s * (double)(now - allowance->filled_at) / 1e6;
    allowance->bytes = allowance->bytes > burst_bytes ? burst_bytes : allowance->bytes;
    allowance->filled_at = now;
}

bool cw_send_allowance_has_any(const cw_send_allowance_t *allowance)
{
    return allowance->bytes_per_s == 0 || allowance->bytes > 0;
}

void cw_send_allowance_spend(cw_send_allowance_t *allowance, size_t bytes)
{
    allowance->bytes -= (double)bytes;
}
