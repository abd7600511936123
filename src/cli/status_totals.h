/**
 * @file status_totals.h
 * @brief Sums over the nodes that `status` asked: who is refused why, tenants at their limits, bytes by distance.
 *
 * Bounded: each node gives its largest tenants and a sum of the rest; of all of them the largest are named here.
 */
#ifndef CEDARWINCH_CLI_STATUS_TOTALS_H
#define CEDARWINCH_CLI_STATUS_TOTALS_H

#include <jansson.h>
#include <stdio.h>

enum { CW_STATUS_TENANTS_NAMED = 20 };

/** All NULL at first; cw_status_totals_clear frees. */
typedef struct cw_status_totals {
    json_t *refused;   /**< reason: count */
    json_t *tenants;   /**< name: {requests, refused, limit, modes: {mode: nodes}, counted_by: {node: nodes}} */
    json_t *sent;      /**< distance: bytes */
    json_t *pipelines; /**< pipelined, answers_waited */
} cw_status_totals_t;

/** Adds one node's status. What it does not state (an older node) counts as nothing. */
void cw_status_totals_add(cw_status_totals_t *totals, const json_t *status);
void cw_status_totals_print(const cw_status_totals_t *totals, FILE *out);
void cw_status_totals_clear(cw_status_totals_t *totals);

#endif
