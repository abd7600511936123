/**
 * @file body_budget.c
 * @brief Limit of the memory for request bodies.
 */
#include "net/body_budget.h"

bool cw_body_budget_reserve(cw_body_budget_t *budget, size_t bytes)
{
    if (budget->reserved_bytes > budget->limit_bytes || bytes > budget->limit_bytes - budget->reserved_bytes) {
        return false;
    }
    budget->reserved_bytes += bytes;
    return true;
}

void cw_body_budget_release(cw_body_budget_t *budget, size_t bytes)
{
    budget->reserved_bytes = bytes < budget->reserved_bytes ? budget->reserved_bytes - bytes : 0;
}
