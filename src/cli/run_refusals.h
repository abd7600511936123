/**
 * @file run_refusals.h
 * @brief What a run's logs say of callers that were turned away or waited: refusals by reason and by tenant, answers
 * that waited for their turn, and bytes sent between nodes by distance.
 *
 * Bounded: of reasons and of tenants the largest are named, the rest is a sum.
 */
#ifndef CEDARWINCH_CLI_RUN_REFUSALS_H
#define CEDARWINCH_CLI_RUN_REFUSALS_H

#include <stdint.h>
#include <stdio.h>

#include "cli/log_lines.h"
#include "model/zone_region.h"

enum { CW_REFUSALS_NAMED = 20, CW_REFUSALS_TEXT_MAX = 128 };

typedef struct cw_refusal_count {
    char     name[CW_REFUSALS_TEXT_MAX];
    uint32_t count;
} cw_refusal_count_t;

/** The largest first. */
typedef struct cw_refusal_counts {
    cw_refusal_count_t items[CW_REFUSALS_NAMED];
    size_t             count;
    size_t             others;     /**< names besides */
    uint32_t           others_sum; /**< of theirs */
} cw_refusal_counts_t;

typedef struct cw_run_refusals {
    cw_refusal_counts_t reasons; /**< "status reason", with a tenant's rate also the mode of its limit */
    cw_refusal_counts_t tenants; /**< refusals of their callers, where a line names the tenant */
    uint32_t            waited;  /**< answers that waited 50 ms or more for an earlier one of their connection */
    double              waited_longest_ms;
    char                waited_request[CW_REFUSALS_TEXT_MAX]; /**< the longest one's id */
    char                waited_for[CW_REFUSALS_TEXT_MAX];     /**< and the one that it waited for */
    uint64_t            sent_bytes[CW_DISTANCES]; /**< between nodes, by processes that have ended by themselves */
    uint32_t            ended;                    /**< so many */
} cw_run_refusals_t;

void cw_run_refusals_make(cw_run_refusals_t *refusals, const cw_log_lines_t *lines);
void cw_run_refusals_write_text(const cw_run_refusals_t *refusals, FILE *out);
void cw_run_refusals_write_html(const cw_run_refusals_t *refusals, FILE *out);

#endif
