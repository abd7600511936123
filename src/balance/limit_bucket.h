/**
 * @file limit_bucket.h
 * @brief Token bucket of a server's rate limit: one token lets one request go to it.
 *
 * It holds what a fraction of a second brings, at least one token, so that nodes may follow one another in counting
 * without adding a second's burst each. It begins empty, for the same reason. A rate close to zero brings a token now
 * and then all the same: without an answer nobody would learn that the limit has ended.
 *
 * No I/O, no clock.
 */
#ifndef CEDARWINCH_BALANCE_LIMIT_BUCKET_H
#define CEDARWINCH_BALANCE_LIMIT_BUCKET_H

#include <stdbool.h>
#include <stdint.h>

#include "base/time.h"

/** All zeros: it begins with the first refill. */
typedef struct cw_limit_bucket {
    double       tokens;
    cw_time_us_t filled_at; /**< 0: not yet */
} cw_limit_bucket_t;

/** Adds what the time since the last refill has brought, at a rate above 0. */
void cw_limit_bucket_refill(cw_limit_bucket_t *bucket, double per_s, cw_time_us_t now);
/** Is there a token? As of the last refill. */
bool cw_limit_bucket_has_token(const cw_limit_bucket_t *bucket);
void cw_limit_bucket_take(cw_limit_bucket_t *bucket);
/** Time until there is a token for one that comes behind so many others. As of the last refill. */
cw_time_us_t cw_limit_bucket_wait(const cw_limit_bucket_t *bucket, double per_s, uint32_t ahead);

#endif
