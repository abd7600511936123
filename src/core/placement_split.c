/**
 * @file placement_split.c
 * @brief Which hot key gets a range of its own, so that its neighbours can be moved away from it.
 */
#include "core/placement_internal.h"

enum { RANGES_PER_CONFIGURED_MAX = 4 /**< bound on ranges made by splits */ };

static const double HOT_SHARE = 0.1; /* of the mean load of a server */
static const double HOT_LEAST = 5.0; /* requests per second */

static bool can_split(const cw_placement_range_t *range)
{
    return range->low < range->last && !range->pinned && range->server != 0 && range->load > 0 &&
           range->hot_key >= range->low && range->hot_key <= range->last;
}

double cw_placement_mean_load(const cw_placement_input_t *input)
{
    double load = 0;
    size_t usable = 0;
    size_t position;

    for (position = 0; position < input->range_count; position++) {
        load += input->ranges[position].load;
    }
    for (position = 0; position < input->server_count; position++) {
        usable += input->servers[position].usable ? 1 : 0;
    }
    return usable == 0 ? 0 : load / (double)usable;
}

double cw_placement_hot_bound(const cw_placement_input_t *input)
{
    double load = HOT_SHARE * cw_placement_mean_load(input);

    return load > HOT_LEAST ? load : HOT_LEAST;
}

size_t cw_placement_configured_ranges(const cw_placement_input_t *input)
{
    return input->service->ranges_per_server * input->server_count;
}

bool cw_placement_choose_split(const cw_placement_input_t *input, size_t *range)
{
    size_t ranges_max = RANGES_PER_CONFIGURED_MAX * cw_placement_configured_ranges(input);
    double bound = cw_placement_hot_bound(input);
    bool   found = false;
    size_t position;

    for (position = 0; position < input->range_count; position++) {
        if (can_split(&input->ranges[position]) && input->ranges[position].hot_load > bound) {
            *range = position;
            bound = input->ranges[position].hot_load;
            found = true;
        }
    }
    return found && input->range_count + 2 <= ranges_max;
}
