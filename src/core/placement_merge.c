/**
 * @file placement_merge.c
 * @brief Which neighbouring ranges become one again after their hot keys cooled down.
 *
 * Ranges are merged only while there are more than the service's settings ask for, and never into one that is wider
 * than those would be. Both have to be cold, so that the merged range is not split again at once. A single key that
 * lies at another server than its neighbour is moved there first; anything wider stays where it is.
 *
 * Only services without non-repeatable requests have ranges merged: their journals may differ, and what was started
 * under two sets of replicas could not be told for the merged range.
 */
#include "core/placement_internal.h"

static const double COLD_SHARE = 0.5;   /* of the load from which on a key is hot */
static const double LOAD_SHARE = 1.0;   /* of the mean load of a configured range */
static const double WIDTH_SLACK = 1.01; /* configured ranges differ by rounding */

typedef struct merge_bounds {
    double load;
    double hot_load;
    double width;
} merge_bounds_t;

static double width_of(const cw_placement_range_t *left, const cw_placement_range_t *right)
{
    return (double)(right->last - left->low);
}

static bool is_free(const cw_placement_range_t *range)
{
    return !range->pinned && range->server != 0;
}

static bool can_merge(const cw_placement_range_t *left, const merge_bounds_t *bounds)
{
    const cw_placement_range_t *right = left + 1;

    return is_free(left) && is_free(right) && left->last + 1 == right->low && left->hot_load < bounds->hot_load &&
           right->hot_load < bounds->hot_load && left->load + right->load <= bounds->load &&
           width_of(left, right) <= bounds->width;
}

static bool is_usable(const cw_placement_input_t *input, cw_server_id_t server)
{
    size_t position;

    for (position = 0; position < input->server_count; position++) {
        if (input->servers[position].id == server) {
            return input->servers[position].usable;
        }
    }
    return false;
}

/* Says what to do about a pair of ranges. False: nothing. */
static bool choose_step(const cw_placement_input_t *input, size_t left, cw_placement_merge_t *merge)
{
    const cw_placement_range_t *ranges = &input->ranges[left];
    size_t                      single = ranges[0].low == ranges[0].last ? 0 : 1;

    merge->left = left;
    merge->move_first = ranges[0].server != ranges[1].server;
    if (!merge->move_first) {
        return is_usable(input, ranges[0].server);
    }
    merge->moved = left + single;
    merge->to = ranges[1 - single].server;
    return ranges[single].low == ranges[single].last && is_usable(input, merge->to);
}

bool cw_placement_choose_merge(const cw_placement_input_t *input, cw_placement_merge_t *merge)
{
    size_t         configured = cw_placement_configured_ranges(input);
    double         mean = cw_placement_mean_load(input);
    merge_bounds_t bounds;
    size_t         position;

    if (input->service->n_non_repeatable > 0 || input->range_count <= configured || configured == 0) {
        return false;
    }
    bounds.hot_load = COLD_SHARE * cw_placement_hot_bound(input);
    bounds.load = LOAD_SHARE * mean / input->service->ranges_per_server;
    bounds.load = bounds.load > bounds.hot_load ? bounds.load : bounds.hot_load;
    bounds.width = WIDTH_SLACK * (double)UINT64_MAX / (double)configured;
    for (position = 0; position + 1 < input->range_count; position++) {
        if (can_merge(&input->ranges[position], &bounds) && choose_step(input, position, merge)) {
            return true;
        }
    }
    return false;
}
