/**
 * @file shared_budget.c
 * @brief Sliding counts of requests and repeats.
 */
#include "retry/shared_budget.h"

static cw_time_us_t bucket_length(const cw_budget_settings_t *settings)
{
    return settings->window / (CW_BUDGET_BUCKETS - 2);
}

static uint32_t bucket_at(cw_shared_budget_t *budget, const cw_budget_settings_t *settings, cw_time_us_t now)
{
    int64_t  number = now / bucket_length(settings);
    uint32_t index = (uint32_t)(number % CW_BUDGET_BUCKETS);

    if (budget->bucket[index] != number) {
        budget->bucket[index] = number;
        budget->requests[index] = 0;
        budget->repeats[index] = 0;
    }
    return index;
}

void cw_shared_budget_record_request(cw_shared_budget_t *budget, const cw_budget_settings_t *settings, cw_time_us_t now)
{
    budget->requests[bucket_at(budget, settings, now)]++;
}

void cw_shared_budget_withdraw_request(cw_shared_budget_t *budget, const cw_budget_settings_t *settings,
                                       cw_time_us_t now)
{
    int64_t newest = now / bucket_length(settings);
    int64_t number;

    for (number = newest; number > newest - CW_BUDGET_BUCKETS && number >= 0; number--) {
        uint32_t index = (uint32_t)(number % CW_BUDGET_BUCKETS);

        if (budget->bucket[index] == number && budget->requests[index] > 0) {
            budget->requests[index]--;
            return;
        }
    }
}

double cw_shared_budget_left(const cw_shared_budget_t *budget, const cw_budget_settings_t *settings, uint32_t nodes,
                             cw_time_us_t now)
{
    int64_t  newest = now / bucket_length(settings);
    uint32_t requests = 0;
    uint32_t repeats = 0;
    uint32_t index;

    for (index = 0; index < CW_BUDGET_BUCKETS; index++) {
        int64_t age = newest - budget->bucket[index];

        if (age < 0 || age >= CW_BUDGET_BUCKETS) {
            continue;
        }
        repeats += budget->repeats[index];
        if (age < CW_BUDGET_BUCKETS - 2) { /* repeats count for two more buckets, so the result is never too high */
            requests += budget->requests[index];
        }
    }
    return settings->share * (settings->ratio * requests + (nodes == 0 ? 0 : settings->extra / nodes)) - repeats;
}

bool cw_shared_budget_take(cw_shared_budget_t *budget, const cw_budget_settings_t *settings, uint32_t nodes,
                           cw_time_us_t now)
{
    uint32_t index;

    if (cw_shared_budget_left(budget, settings, nodes, now) < 1) {
        return false;
    }
    index = bucket_at(budget, settings, now);
    budget->repeats[index]++;
    return true;
}
