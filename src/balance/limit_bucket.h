/**
 * @file limit_bucket.h
 * @brief Token bucket of a server's rate limit: each request to the server costs one token.
 *
 * The bucket holds the tokens of a fraction of a second, at least one, and it starts empty. Otherwise each change of
 * the broker (slot_broker.h) would add a burst of a whole second's tokens. A rate close to zero still yields a token
 * now and then: without an answer no node would know that the limit has ended.
 *
 * No I/O, no clock.
 */
#ifndef CEDARWINCH_BALANCE_LIMIT_BUCKET_H
#define CEDARWINCH_BALANCE_LIMIT_BUCKET_H

#include <stdbool.h>
#include <stdint.h>

#include "base/time.h"

/** Zero-initialised: empty; time counts from the first refill. */
typedef struct cw_limit_bucket {
    double       tokens;
    cw_time_us_t filled_at; /**< time of the last refill; 0: never */
} cw_limit_bucket_t;

/** Adds the tokens for the time since the last refill. per_s: rate, above 0. */
void cw_limit_bucket_refill(cw_limit_bucket_t *bucket, double per_s, cw_time_us_t now);
/** True if there was a token at the last refill. */
bool cw_limit_bucket_has_token(const cw_limit_bucket_t *bucket);
/** Removes one token. */
void cw_limit_bucket_take(cw_limit_bucket_t *bucket);
/** Time from the last refill until there is a token for a request with `ahead` others before it. */
cw_time_us_t cw_limit_bucket_wait(const cw_limit_bucket_t *bucket, double per_s, uint32_t ahead);

#endif
