/**
 * @file ownership_measures.h
 * @brief Three measures of a service divided by key: imbalance of load across owners, churn of key ownership, and
 * unavailable time of keys. A node counts them while it leads; the sums over all nodes are those of the whole system.
 *
 *  - Imbalance: load of the busiest owner divided by the mean of all owners, weighted by its duration. It is counted
 *    while there is enough load for a meaningful value.
 *  - Churn: keys whose owner changed, as a share of all keys (1: as if each key had moved once); the share of the load
 *    on them at that time; and the keys among them that are cold, which means that the new owner got no handover from
 *    the former one. The first assignment of a key is not a move.
 *  - Unavailable: a key is unavailable while requests for it may not be sent to its owner, or while the owner does not
 *    answer the leader's orders. Counted in key-seconds, and as the longest uninterrupted time. If ranges with
 *    different unavailable times are merged, the longer time counts for both.
 *
 * No I/O, no clock.
 */
#ifndef CEDARWINCH_PLACEMENT_OWNERSHIP_MEASURES_H
#define CEDARWINCH_PLACEMENT_OWNERSHIP_MEASURES_H

#include "assignment/range.h"
#include "placement/load_window.h"

/** State of a range at the last observation. */
typedef struct cw_range_observation {
    uint32_t     low;
    uint32_t     last;
    uint64_t     owner;             /**< hash of its id; 0: none */
    bool         is_moving;         /**< its owner has changed and has not confirmed the grant yet */
    cw_time_us_t unavailable_since; /**< 0: it is available */
} cw_range_observation_t;

/** The measures of one service since this node's start. All zeros: none. */
typedef struct cw_ownership_measures {
    double                  imbalance;             /**< latest value; 0: no load */
    double                  imbalance_weighted_s;  /**< sum of imbalance times its duration in seconds */
    double                  imbalance_s;           /**< sum of these durations in seconds */
    double                  moved_keys;            /**< each key counts once per move */
    double                  moved_cold_keys;       /**< those whose new owner got no handover */
    double                  moved_load;            /**< sum of the moved keys' shares of the load */
    double                  unavailable_key_s;     /**< unavailable time of all keys, in key-seconds */
    double                  unavailable_longest_s; /**< longest uninterrupted unavailable time of a key */
    cw_range_observation_t *observations;          /**< the ranges at the last observation, sorted by key */
    size_t                  observation_count;
    cw_time_us_t            observed_at; /**< time of the last observation of the ranges; 0: none yet */
    cw_time_us_t            load_at;     /**< time of the last observation of the load; 0: none yet */
    cw_key_load_t          *loads;       /**< latest reading of the load window */
    size_t                  load_count;
} cw_ownership_measures_t;

/** Frees the memory and resets all measures. */
void cw_ownership_measures_clear(cw_ownership_measures_t *measures);
/** Observes the present ranges and counts the changes since the previous observation. */
void cw_ownership_measures_observe(cw_ownership_measures_t *measures, const cw_range_list_t *ranges, cw_time_us_t now);
/** Observes the load on the ranges; called about once per second. */
void cw_ownership_measures_observe_load(cw_ownership_measures_t *measures, const cw_range_list_t *ranges,
                                        const cw_load_window_t *window, cw_time_us_t now);
/** Time-weighted mean of the imbalance; 0: not known. */
double cw_ownership_measures_imbalance(const cw_ownership_measures_t *measures);

#endif
