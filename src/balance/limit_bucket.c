/**
 * @file limit_bucket.c
 * @brief Token bucket of a server's rate limit.
 */
#include "balance/limit_bucket.h"

enum { BUCKET_DEPTH_MS = 200 /* the bucket holds the tokens of this time */ };

/* Rates are decimal fractions and time is in whole microseconds, so sums are rounded: a token counts as complete when
 * it is this close to one. */
static const double token_threshold = 1 - 1e-6;

void cw_limit_bucket_refill(cw_limit_bucket_t *bucket, double per_s, cw_time_us_t now)
{
    double depth = per_s * BUCKET_DEPTH_MS / 1000;

    if (bucket->filled_at != 0 && now > bucket->filled_at) {
        bucket->tokens += per_s * (double)(now - bucket->filled_at) / 1e6;
    }
    depth = depth < 1 ? 1 : depth;
    bucket->tokens = bucket->tokens > depth ? depth : bucket->tokens;
    bucket->filled_at = now;
}

bool cw_limit_bucket_has_token(const cw_limit_bucket_t *bucket)
{
    return bucket->tokens >= token_threshold;
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
