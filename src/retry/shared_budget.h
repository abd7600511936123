/**
 * @file shared_budget.h
 * @brief One service's retry budget on one node: this node's share of what all nodes together may spend.
 *
 * All nodes together may send, in any window, `ratio` times the requests of that window plus `extra` arrivals beyond
 * the first of each request. A node may spend its own requests' part and an equal part of `extra`. It needs no word
 * from the others at the moment of a retry, so the sum holds also while nodes are cut off from one another; the number
 * of nodes is the largest known lately.
 */
#ifndef CEDARWINCH_RETRY_SHARED_BUDGET_H
#define CEDARWINCH_RETRY_SHARED_BUDGET_H

#include <stdbool.h>
#include <stdint.h>

#include "base/time.h"

enum { CW_BUDGET_SLOTS = 24 };

typedef struct cw_budget_settings {
    double       ratio;
    double       extra; /**< for all nodes together */
    cw_time_us_t window;
    double       share; /**< part of the allowance that is used, to leave room for what is not seen */
} cw_budget_settings_t;

typedef struct cw_shared_budget {
    int64_t  slot[CW_BUDGET_SLOTS]; /**< number of the time slot counted here */
    uint32_t requests[CW_BUDGET_SLOTS];
    uint32_t repeats[CW_BUDGET_SLOTS];
} cw_shared_budget_t;

/** A request for the service came. */
void cw_shared_budget_note_request(cw_shared_budget_t *budget, const cw_budget_settings_t *settings, cw_time_us_t now);
/** Takes room for one more arrival; false: there is none. nodes: 0 while not known; then nothing of `extra` is used. */
bool cw_shared_budget_take(cw_shared_budget_t *budget, const cw_budget_settings_t *settings, uint32_t nodes,
                           cw_time_us_t now);
/** Arrivals that could be repeated now. */
double cw_shared_budget_left(const cw_shared_budget_t *budget, const cw_budget_settings_t *settings, uint32_t nodes,
                             cw_time_us_t now);

#endif
