/**
 * @file token_bucket.c
 * @brief Token bucket. The level is kept in millionths of a token, so that microseconds times rate is exact.
 */
#include "cedarwinch/token_bucket.h"

/* Adds what has run in since the last call. A time that went backwards adds nothing. */
static void fill(cw_token_bucket_t *bucket, cw_time_us_t now)
{
    uint64_t full = bucket->burst * CW_US_PER_S;
    uint64_t missing = full - bucket->micro_tokens;
    uint64_t elapsed_us;

    if (now <= bucket->filled_us || bucket->rate == 0) {
        return;
    }
    elapsed_us = (uint64_t)(now - bucket->filled_us);
    bucket->filled_us = now;
    if (elapsed_us > missing / bucket->rate) {
        bucket->micro_tokens = full;
    } else {
        bucket->micro_tokens += elapsed_us * bucket->rate;
    }
}

void cw_token_bucket_init(cw_token_bucket_t *bucket, uint64_t rate, uint64_t burst, cw_time_us_t now)
{
    bucket->rate = rate;
    bucket->burst = burst;
    bucket->micro_tokens = burst * CW_US_PER_S;
    bucket->filled_us = now;
}

void cw_token_bucket_limit(cw_token_bucket_t *bucket, uint64_t rate, uint64_t burst, cw_time_us_t now)
{
    if (bucket->rate == rate && bucket->burst == burst) {
        return;
    }
    if (bucket->rate == 0) {
        cw_token_bucket_init(bucket, rate, burst, now);
        return;
    }
    fill(bucket, now);
    bucket->rate = rate;
    bucket->burst = burst;
    bucket->filled_us = now;
    if (bucket->micro_tokens > burst * CW_US_PER_S) {
        bucket->micro_tokens = burst * CW_US_PER_S;
    }
}

bool cw_token_bucket_take(cw_token_bucket_t *bucket, cw_time_us_t now)
{
    if (bucket->rate == 0) {
        return true;
    }
    fill(bucket, now);
    if (bucket->micro_tokens < CW_US_PER_S) {
        return false;
    }
    bucket->micro_tokens -= CW_US_PER_S;
    return true;
}

int64_t cw_token_bucket_wait_us(const cw_token_bucket_t *bucket)
{
    if (bucket->rate == 0 || bucket->micro_tokens >= CW_US_PER_S) {
        return 0;
    }
    return (int64_t)((CW_US_PER_S - bucket->micro_tokens + bucket->rate - 1) / bucket->rate);
}
