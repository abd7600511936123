/**
 * @file body_budget.h
 * @brief Bytes of callers' bodies that a node holds, over all connections, and who may read on.
 *
 * A body is reserved when its length is known (or piece by piece, where it comes in chunks). One that does not fit now
 * waits: its connection is not read, which holds its sender up. One that cannot fit in time is refused with 503 before
 * any of it is passed on.
 *
 * No I/O, no clock.
 */
#ifndef CEDARWINCH_NET_BODY_BUDGET_H
#define CEDARWINCH_NET_BODY_BUDGET_H

#include <stdbool.h>
#include <stddef.h>

typedef struct cw_body_budget {
    size_t most; /**< bytes */
    size_t held;
} cw_body_budget_t;

/** False: there is no room for so many bytes now. */
bool cw_body_budget_reserve(cw_body_budget_t *budget, size_t bytes);
void cw_body_budget_release(cw_body_budget_t *budget, size_t bytes);

#endif
