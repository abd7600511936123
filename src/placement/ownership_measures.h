/**
 * @file ownership_measures.h
 * @brief The three measures of a service divided by key: imbalance of load across owners, churn of key ownership, and
 * unavailable time of keys. The leader counts them while it leads; sums over all nodes are those of the whole system.
 *
 *  - Imbalance: load of the busiest owner over the mean of all owners, weighted by the time it stood so, while there is
 *    load enough for a figure.
 *  - Churn: keys whose owner changed, as a share of all keys (1: as if each key had moved once), the share of the load
 *    that was on them then, and the keys among them whose new owner got them without what the former one knew (cold).
 *    A key's first owner is no move.
 *  - Unavailable: a key is unavailable while requests for it may not go to its owner, or the owner does not answer the
 *    leader's orders. Counted in key-seconds, and the longest time without a pause. Where ranges with different gaps
 *    are joined, the longer gap is taken for both.
 *
 * No I/O, no clock.
 */
#ifndef CEDARWINCH_PLACEMENT_OWNERSHIP_MEASURES_H
#define CEDARWINCH_PLACEMENT_OWNERSHIP_MEASURES_H

#include "assignment/range.h"
#include "placement/load_window.h"

/** What was seen of a range last. */
typedef struct cw_range_seen {
    uint32_t     low;
    uint32_t     last;
    uint64_t     owner;             /**< hash of its id; 0: none */
    bool         is_moving;         /**< its owner has changed and has not taken it yet */
    cw_time_us_t unavailable_since; /**< 0: it is available */
} cw_range_seen_t;

typedef struct cw_ownership_measures {
    double           imbalance;            /**< as last looked at; 0: no load */
    double           imbalance_weighted_s; /**< sum over time: imbalance times seconds */
    double           imbalance_s;          /**< over so many seconds */
    double           moved_keys;
    double           moved_cold_keys;
    double           moved_load; /**< sum of shares of the load */
    double           unavailable_key_s;
    double           unavailable_longest_s;
    cw_range_seen_t *seen;
    size_t           seen_count;
    cw_time_us_t     looked_at;
    cw_time_us_t     load_at;
    cw_key_load_t   *loads; /**< as last read */
    size_t           load_count;
} cw_ownership_measures_t;

void cw_ownership_measures_clear(cw_ownership_measures_t *measures);
/** Looks at the ranges as they are now. Takes what has changed since the last look for what happened in between. */
void cw_ownership_measures_observe(cw_ownership_measures_t *measures, const cw_range_list_t *ranges, cw_time_us_t now);
/** Looks at the load on the ranges; once a second or so. */
void cw_ownership_measures_observe_load(cw_ownership_measures_t *measures, const cw_range_list_t *ranges,
                                        const cw_load_window_t *window, cw_time_us_t now);
/** Mean of the imbalance over time; 0: not known. */
double cw_ownership_measures_imbalance(const cw_ownership_measures_t *measures);

#endif
