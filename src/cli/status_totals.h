/**
 * @file status_totals.h
 * @brief Sums over the nodes that `status` asked: refusals by reason and tenant, tenants' limits, bytes by distance.
 *
 * The size is bounded: each node reports its largest tenants and a sum of the others; of all of these the largest are
 * shown by name.
 */
#ifndef CEDARWINCH_CLI_STATUS_TOTALS_H
#define CEDARWINCH_CLI_STATUS_TOTALS_H

#include <jansson.h>
#include <stdio.h>

enum { CW_STATUS_TENANTS_NAMED = 20 /**< tenants shown by name */ };

/** The sums, as JSON objects: all NULL at first, freed by cw_status_totals_clear. */
typedef struct cw_status_totals {
    json_t *refused;   /**< {reason: count} */
    json_t *tenants;   /**< name: {requests, refused, limit, modes: {mode: nodes}, counted_by: {node: nodes}} */
    json_t *sent;      /**< {distance: bytes} */
    json_t *pipelines; /**< {pipelined: count, answers_waited: count} */
} cw_status_totals_t;

/** Adds the status of one node. A field that it lacks, as that of an older version does, counts as 0. */
void cw_status_totals_add(cw_status_totals_t *totals, const json_t *status);
/** Prints the sums. */
void cw_status_totals_print(const cw_status_totals_t *totals, FILE *out);
/** Frees the sums and sets them to NULL. */
void cw_status_totals_clear(cw_status_totals_t *totals);

#endif
