/**
 * @file retry_budget.c
 * @brief Retry budget: saved shares first, then the floor.
 */
#include "cedarwinch/retry_budget.h"

enum { HUNDREDTHS = 100 };

void cw_retry_budget_init(cw_retry_budget_t *budget, uint32_t percent, cw_time_us_t now)
{
    cw_token_bucket_init(&budget->floor, CW_RETRY_FLOOR_PER_SECOND, CW_RETRY_FLOOR_BURST, now);
    budget->percent = percent;
    budget->hundredths = 0;
}

void cw_retry_budget_deposit(cw_retry_budget_t *budget)
{
    budget->hundredths += budget->percent;
    if (budget->hundredths > (uint64_t)CW_RETRY_SAVED_MAX * HUNDREDTHS) {
        budget->hundredths = (uint64_t)CW_RETRY_SAVED_MAX * HUNDREDTHS;
    }
}

bool cw_retry_budget_withdraw(cw_retry_budget_t *budget, cw_time_us_t now)
{
    if (budget->hundredths >= HUNDREDTHS) {
        budget->hundredths -= HUNDREDTHS;
        return true;
    }
    return cw_token_bucket_take(&budget->floor, now);
}
