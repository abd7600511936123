/**
 * @file shared_budget.h
 * @brief The retry budget of one service on one node: this node's share of what all nodes together may spend.
 *
 * In any window, all nodes together may send at most `ratio` times the requests of that window plus `extra` attempts
 * beyond the first attempt of each request. A node may spend the part that its own requests allow and an equal part of
 * `extra`. It does not ask the other nodes at the moment of a retry, so the bound also holds while nodes are cut off
 * from one another. The number of nodes is the largest one known recently.
 */
#ifndef CEDARWINCH_RETRY_SHARED_BUDGET_H
#define CEDARWINCH_RETRY_SHARED_BUDGET_H

#include <stdbool.h>
#include <stdint.h>

#include "base/time.h"

/** Time buckets of the sliding window; two more are kept than one window has. */
enum { CW_BUDGET_BUCKETS = 24 };

/** Settings of a retry budget. */
typedef struct cw_budget_settings {
    double       ratio;  /**< repeats allowed for each request of the window */
    double       extra;  /**< further repeats in each window, for all nodes together */
    cw_time_us_t window; /**< length of the sliding window */
    double       share; /**< part of the allowance that is used, to leave a reserve for attempts that are not counted */
} cw_budget_settings_t;

/** Sliding counts of one service. */
typedef struct cw_shared_budget {
    int64_t  bucket[CW_BUDGET_BUCKETS]; /**< number of the time interval that each bucket counts */
    uint32_t requests[CW_BUDGET_BUCKETS];
    uint32_t repeats[CW_BUDGET_BUCKETS];
} cw_shared_budget_t;

/** Counts a request for the service. */
void cw_shared_budget_record_request(cw_shared_budget_t *budget, const cw_budget_settings_t *settings,
                                     cw_time_us_t now);
/** Takes back the record of one request, which another node records instead. */
void cw_shared_budget_withdraw_request(cw_shared_budget_t *budget, const cw_budget_settings_t *settings,
                                       cw_time_us_t now);
/** Charges one repeat to the budget; returns false if the budget does not allow it. nodes: number of nodes; 0 while
 * unknown, and then no part of `extra` is used. */
bool cw_shared_budget_take(cw_shared_budget_t *budget, const cw_budget_settings_t *settings, uint32_t nodes,
                           cw_time_us_t now);
/** Number of repeats that the budget allows now. */
double cw_shared_budget_left(const cw_shared_budget_t *budget, const cw_budget_settings_t *settings, uint32_t nodes,
                             cw_time_us_t now);

#endif
