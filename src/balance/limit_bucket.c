/**
 * @file limit_bucket.c
 * @brief Tokens of a server's rate limit.
 */
#include "balance/limit_bucket.h"

enum { DEPTH_MS = 200 };

/* Rates are decimal fractions, and time comes in microseconds: a token that is nearly there is there. */
static const double nearly_one = 1 - 1e-6;

void cw_limit_bucket_refill(cw_limit_bucket_t *bucket, double per_s, cw_time_us_t now)
{
    double depth = per_s * DEPTH_MS / 1000;

    if (bucket->filled_at != 0 && now > bucket->filled_at) {
        bucket->tokens += per_s * (double)(now - bucket->filled_at) / 1e6;
    }
    depth = depth < 1 ? 1 : depth;
    bucket->tokens = bucket->tokens > depth ? depth : bucket->tokens;
    bucket->filled_at = now;
}

bool cw_limit_bucket_has_token(const cw_limit_bucket_t *bucket)
{
    return bucket->tokens >= nearly_one;
}

void cw_limit_bucket_take(cw_limit_bucket_t *bucket)
{
    bucket->tokens -= 1;
}

cw_time_us_t cw_limit_bucket_wait(const cw_limit_bucket_t *bucket, double per_s, uint32_t ahead)
{
    double missing = ahead + 1 - bucket->tokens;

    return missing <= 0 ? 0 : (cw_time_us_t)(missing * 1e6 / per_s + 0.5);
}
