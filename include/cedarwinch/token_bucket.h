/**
 * @file token_bucket.h
 * @brief Token bucket in integer arithmetic: a rate limit with a burst.
 */
#ifndef CEDARWINCH_TOKEN_BUCKET_H
#define CEDARWINCH_TOKEN_BUCKET_H

#include "cedarwinch/types.h"

typedef struct cw_token_bucket {
    uint64_t     rate;         /**< tokens per second; 0: no limit */
    uint64_t     burst;        /**< tokens that a full bucket holds */
    uint64_t     micro_tokens; /**< level, in millionths of a token */
    cw_time_us_t filled_us;    /**< time up to which the level is reckoned */
} cw_token_bucket_t;

/** Starts full. */
void cw_token_bucket_init(cw_token_bucket_t *bucket, uint64_t rate, uint64_t burst, cw_time_us_t now);
/** Changes the limit; tokens beyond the new burst are lost. A bucket that had no limit starts full. */
void cw_token_bucket_limit(cw_token_bucket_t *bucket, uint64_t rate, uint64_t burst, cw_time_us_t now);
/** Takes one token if there is one. */
bool cw_token_bucket_take(cw_token_bucket_t *bucket, cw_time_us_t now);
/** Time until a token is there, 0: now. */
int64_t cw_token_bucket_wait_us(const cw_token_bucket_t *bucket);

#endif
