/**
 * @file ownership_measures.c
 * @brief Imbalance, churn and unavailable time.
 */
#include "placement/ownership_measures.h"

#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

static const double load_min_per_s = 5; /* with less load single requests determine the imbalance */

void cw_ownership_measures_clear(cw_ownership_measures_t *measures)
{
    free(measures->observations);
    free(measures->loads);
    memset(measures, 0, sizeof(*measures));
}

static double seconds(cw_time_us_t time)
{
    return (double)time / 1e6;
}

static uint64_t owner_hash(const cw_range_t *range)
{
    return range->owner.id[0] == '\0' ? 0 : XXH3_64bits(range->owner.id, strlen(range->owner.id));
}

/* ---- churn ---- */

static double load_between(const cw_ownership_measures_t *measures, uint32_t low, uint32_t last)
{
    return cw_key_loads_between(measures->loads, measures->load_count, low, last);
}

static void count_move(cw_ownership_measures_t *measures, uint32_t low, uint32_t last)
{
    double all = load_between(measures, 0, CW_KEY_LAST);

    measures->moved_keys += last - low + 1;
    if (all >= load_min_per_s) {
        measures->moved_load += load_between(measures, low, last) / all;
    }
}

/* ---- comparison of a range with the previous observation of its keys ---- */

static void compare_part(cw_ownership_measures_t *measures, const cw_range_t *range,
                         const cw_range_observation_t *before, cw_range_observation_t *present)
{
    uint32_t low = before->low > range->low ? before->low : range->low;
    uint32_t last = before->last < range->last ? before->last : range->last;
    bool     has_moved = before->owner != 0 && before->owner != present->owner;

    if (has_moved) {
        count_move(measures, low, last);
    }
    if (has_moved || before->is_moving) {
        present->is_moving = range->phase != CW_RANGE_HELD;
        if (!present->is_moving && range->handover[0] == '\0') {
            measures->moved_cold_keys += last - low + 1;
        }
    }
    if (present->unavailable_since != 0 && before->unavailable_since != 0 &&
        before->unavailable_since < present->unavailable_since) {
        present->unavailable_since = before->unavailable_since;
    }
}

static bool is_available(const cw_range_t *range)
{
    return cw_range_is_routable(range) && range->failing_since == 0;
}

/* `first`: index of the first previously observed range that may overlap this one; both lists are sorted by key. */
static cw_range_observation_t observe_range(cw_ownership_measures_t *measures, const cw_range_t *range, size_t *first,
                                            cw_time_us_t now)
{
    cw_range_observation_t observation = {.low = range->low,
                                          .last = range->last,
                                          .owner = owner_hash(range),
                                          .unavailable_since = is_available(range) ? 0 : now};
    size_t                 index;

    while (*first < measures->observation_count && measures->observations[*first].last < range->low) {
        (*first)++;
    }
    for (index = *first; index < measures->observation_count && measures->observations[index].low <= range->last;
         index++) {
        compare_part(measures, range, &measures->observations[index], &observation);
    }
    return observation;
}

static void count_unavailable(cw_ownership_measures_t *measures, const cw_range_observation_t *observation,
                              cw_time_us_t now)
{
    cw_time_us_t from =
        observation->unavailable_since > measures->observed_at ? observation->unavailable_since : measures->observed_at;
    double gap_s = seconds(now - observation->unavailable_since);

    if (observation->unavailable_since == 0) {
        return;
    }
    measures->unavailable_key_s += (observation->last - observation->low + 1) * seconds(now - from);
    if (gap_s > measures->unavailable_longest_s) {
        measures->unavailable_longest_s = gap_s;
    }
}

void cw_ownership_measures_observe(cw_ownership_measures_t *measures, const cw_range_list_t *ranges, cw_time_us_t now)
{
    cw_range_observation_t *observations = calloc(ranges->count + 1, sizeof(*observations));
    size_t                  first = 0;
    size_t                  index;

    if (observations == NULL) {
        abort();
    }
    for (index = 0; index < ranges->count; index++) {
        observations[index] = observe_range(measures, &ranges->items[index], &first, now);
        if (measures->observed_at != 0) {
            count_unavailable(measures, &observations[index], now);
        }
    }
    free(measures->observations);
    measures->observations = observations;
    measures->observation_count = ranges->count;
    measures->observed_at = now;
}

/* ---- imbalance ---- */

/** Load on ranges of one owner. */
typedef struct owner_load {
    uint64_t owner;
    double   per_s;
} owner_load_t;

static int compare_owners(const void *left, const void *right)
{
    const owner_load_t *first = left;
    const owner_load_t *second = right;

    return (first->owner > second->owner) - (first->owner < second->owner);
}

/* Loads of the ranges, sorted by owner. */
static owner_load_t *loads_by_owner(const cw_ownership_measures_t *measures, const cw_range_list_t *ranges)
{
    owner_load_t *loads = calloc(ranges->count + 1, sizeof(*loads));
    size_t        index;

    if (loads == NULL) {
        abort();
    }
    for (index = 0; index < ranges->count; index++) {
        loads[index].owner = owner_hash(&ranges->items[index]);
        loads[index].per_s = load_between(measures, ranges->items[index].low, ranges->items[index].last);
    }
    qsort(loads, ranges->count, sizeof(*loads), compare_owners);
    return loads;
}

static double busiest_over_mean(const cw_ownership_measures_t *measures, const cw_range_list_t *ranges)
{
    owner_load_t *loads = loads_by_owner(measures, ranges);
    size_t        owners = 0;
    double        all = 0;
    double        most = 0;
    size_t        index = 0;

    while (index < ranges->count) {
        uint64_t owner = loads[index].owner;
        double   per_s = 0;

        for (; index < ranges->count && loads[index].owner == owner; index++) {
            per_s += loads[index].per_s;
        }
        owners++;
        all += per_s;
        most = per_s > most ? per_s : most;
    }
    free(loads);
    return owners == 0 || all < load_min_per_s ? 0 : most * (double)owners / all;
}

void cw_ownership_measures_observe_load(cw_ownership_measures_t *measures, const cw_range_list_t *ranges,
                                        const cw_load_window_t *window, cw_time_us_t now)
{
    free(measures->loads);
    measures->load_count = cw_load_window_read(window, now, &measures->loads);
    if (measures->load_at != 0 && measures->imbalance > 0) {
        measures->imbalance_weighted_s += measures->imbalance * seconds(now - measures->load_at);
        measures->imbalance_s += seconds(now - measures->load_at);
    }
    measures->imbalance = busiest_over_mean(measures, ranges);
    measures->load_at = now;
}

double cw_ownership_measures_imbalance(const cw_ownership_measures_t *measures)
{
    return measures->imbalance_s > 0 ? measures->imbalance_weighted_s / measures->imbalance_s : 0;
}
