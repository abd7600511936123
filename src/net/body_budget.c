/**
 * @file body_budget.c
 * @brief Bytes of callers' bodies that a node holds.
 */
#include "net/body_budget.h"

bool cw_body_budget_reserve(cw_body_budget_t *budget, size_t bytes)
{
    if (budget->held > budget->most || bytes > budget->most - budget->held) {
        return false;
    }
    budget->held += bytes;
    return true;
}

void cw_body_budget_release(cw_body_budget_t *budget, size_t bytes)
{
    budget->held = bytes < budget->held ? budget->held - bytes : 0;
}
