/**
 * @file placement.h
 * @brief Placement planner: which server should own each range of a service. Deterministic from its inputs.
 */
#ifndef CEDARWINCH_PLACEMENT_H
#define CEDARWINCH_PLACEMENT_H

#include "cedarwinch/types.h"

typedef struct cw_placement_server {
    cw_server_id_t id;
    const char    *zone;
    bool           usable; /**< alive and not draining */
} cw_placement_server_t;

typedef struct cw_placement_range {
    cw_range_id_t  id; /**< 0: not created yet */
    cw_key_hash_t  low;
    cw_key_hash_t  last;
    cw_server_id_t server; /**< present owner; 0: none */
    double         load;   /**< requests per second, decayed */
    bool           pinned; /**< counts for its owner, but is not moved now */
} cw_placement_range_t;

typedef struct cw_placement_input {
    const Cw__ServiceConfiguration *service;
    const cw_placement_server_t    *servers;
    size_t                          server_count;
    const cw_placement_range_t     *ranges;
    size_t                          range_count;
    size_t                          moves_allowed; /**< moves of healthy ranges; forced moves are not bounded */
} cw_placement_input_t;

typedef struct cw_placement_move {
    size_t         range; /**< index into the input's ranges */
    cw_server_id_t to;
    bool           forced; /**< owner missing, draining or gone */
    char           reason[96];
} cw_placement_move_t;

typedef struct cw_placement_result {
    cw_placement_move_t *moves;
    size_t               move_count;
    double               imbalance_before; /**< busiest over mean; 1 when idle */
    double               imbalance_after;
    double               churn;          /**< share of the key space that moves */
    double               unavailable_ms; /**< expected, summed over moved ranges */
} cw_placement_result_t;

int  cw_placement_plan(const cw_placement_input_t *input, cw_placement_result_t *result);
void cw_placement_result_clear(cw_placement_result_t *result);

#endif
