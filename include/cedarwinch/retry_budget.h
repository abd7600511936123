/**
 * @file retry_budget.h
 * @brief Bound on retries as a share of the requests, so that retries cannot multiply an overload.
 *
 * Each request puts a share of one retry into the budget; each retry takes a whole one out. A small floor that refills
 * with time lets a caller with few requests retry too.
 */
#ifndef CEDARWINCH_RETRY_BUDGET_H
#define CEDARWINCH_RETRY_BUDGET_H

#include "cedarwinch/token_bucket.h"

enum {
    CW_RETRY_FLOOR_PER_SECOND = 2,
    CW_RETRY_FLOOR_BURST = 10,
    CW_RETRY_SAVED_MAX = 100 /**< retries that earlier requests may have saved up */
};

typedef struct cw_retry_budget {
    cw_token_bucket_t floor;
    uint32_t          percent;    /**< retries for each hundred requests */
    uint64_t          hundredths; /**< saved, in hundredths of a retry */
} cw_retry_budget_t;

void cw_retry_budget_init(cw_retry_budget_t *budget, uint32_t percent, cw_time_us_t now);
void cw_retry_budget_deposit(cw_retry_budget_t *budget); /**< for each request taken in */
/** Takes out one retry; false: none is left, and nothing was taken. */
bool cw_retry_budget_withdraw(cw_retry_budget_t *budget, cw_time_us_t now);

#endif
