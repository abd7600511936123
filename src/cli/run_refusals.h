/**
 * @file run_refusals.h
 * @brief Part of a run's report: refusals by reason and by tenant, answers that waited for an earlier one of their
 * connection, and bytes sent between nodes by distance.
 *
 * The size is bounded: the most frequent reasons and tenants are named, all others are one sum.
 */
#ifndef CEDARWINCH_CLI_RUN_REFUSALS_H
#define CEDARWINCH_CLI_RUN_REFUSALS_H

#include <stdint.h>
#include <stdio.h>

#include "cli/log_lines.h"
#include "model/zone_region.h"

enum {
    CW_REFUSALS_NAMED = 20,    /**< names shown */
    CW_REFUSALS_TEXT_MAX = 128 /**< bytes of a name, NUL included */
};

/** A reason or a tenant, and its refusals. */
typedef struct cw_refusal_count {
    char     name[CW_REFUSALS_TEXT_MAX];
    uint32_t count;
} cw_refusal_count_t;

/** Refusals by name, the most frequent first. */
typedef struct cw_refusal_counts {
    cw_refusal_count_t items[CW_REFUSALS_NAMED];
    size_t             count;
    size_t             others;     /**< number of the names that are not in `items` */
    uint32_t           others_sum; /**< refusals of these */
} cw_refusal_counts_t;

/** The counts of one run. */
typedef struct cw_run_refusals {
    cw_refusal_counts_t reasons; /**< named "STATUS REASON", and for a tenant's rate ", MODE" of its limit */
    cw_refusal_counts_t tenants; /**< by tenant, of the lines from which the tenant is known */
    uint32_t            waited;  /**< answers that waited 50 ms or more for an earlier one of their connection */
    double              waited_longest_ms;                    /**< the longest such wait */
    char                waited_request[CW_REFUSALS_TEXT_MAX]; /**< id of the request that waited longest */
    char                waited_for[CW_REFUSALS_TEXT_MAX];     /**< id of the request that it waited for */
    uint64_t            sent_bytes[CW_DISTANCES]; /**< to other nodes, by processes that ended by themselves */
    uint32_t            ended;                    /**< number of these processes */
} cw_run_refusals_t;

/** Counts the lines of a run. */
void cw_run_refusals_make(cw_run_refusals_t *refusals, const cw_log_lines_t *lines);
/** Writes the counts as tables of text or of HTML. */
void cw_run_refusals_write_text(const cw_run_refusals_t *refusals, FILE *out);
void cw_run_refusals_write_html(const cw_run_refusals_t *refusals, FILE *out);

#endif
