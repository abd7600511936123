/**
 * @file control_split.c
 * @brief Gives a hot key a range of its own, so that its neighbours can be moved away from it.
 *
 * The parts stay with the server of the whole, under a new fence. They keep its journal replicas; requests that were
 * started under the whole's fence are found there, since entries are kept by key hash.
 */
#include <stdlib.h>
#include <string.h>

#include "cedarwinch/intent.h"
#include "core/control_assign.h"

enum { RANGES_PER_CONFIGURED_MAX = 4 /**< bound on ranges made by splits */ };

static const double HOT_SHARE = 0.5; /* of the mean load of a server */
static const double HOT_LEAST = 5.0; /* requests per second */

static bool can_split(const cw_pass_t *pass, size_t position)
{
    const Cw__RangeInfo    *range = pass->ranges[position];
    const cw_range_track_t *track = cw_control_range_track(pass->control, range->id);

    return track != NULL && range->state == CW__RANGE_STATE__RANGE_GRANTED && range->low < range->last &&
           !pass->items[position].pinned && pass->items[position].server != 0 && track->hot_key >= range->low &&
           track->hot_key <= range->last && pass->items[position].load > 0 &&
           !cw_command_has_range(pass->builder, range->id);
}

/* Range with the hottest key that is worth a split; range_count: none. */
static size_t hottest(const cw_pass_t *pass)
{
    double                  bound = HOT_SHARE * pass->load / (double)pass->usable_count;
    const cw_range_track_t *track;
    size_t                  found = pass->range_count;
    size_t                  position;

    bound = bound > HOT_LEAST ? bound : HOT_LEAST;
    for (position = 0; position < pass->range_count; position++) {
        if (!can_split(pass, position)) {
            continue;
        }
        track = cw_control_range_track(pass->control, pass->ranges[position]->id);
        if (track->hot_load > bound) {
            found = position;
            bound = track->hot_load;
        }
    }
    return found;
}

static void add_part(cw_pass_t *pass, const Cw__RangeInfo *whole, cw_key_hash_t low, cw_key_hash_t last,
                     const char *reason)
{
    Cw__RangeInfo part = *whole;

    part.id = 0;
    part.low = low;
    part.last = last;
    part.reason = (char *)reason;
    cw_command_add_range(pass->builder, &part);
}

bool cw_control_split_hot(cw_pass_t *pass)
{
    size_t               ranges_max = RANGES_PER_CONFIGURED_MAX * pass->service->ranges_per_server * pass->server_count;
    size_t               position = hottest(pass);
    const Cw__RangeInfo *whole;
    cw_key_hash_t        key;

    if (position == pass->range_count || pass->range_count + 2 > ranges_max) {
        return false;
    }
    whole = pass->ranges[position];
    key = cw_control_range_track(pass->control, whole->id)->hot_key;
    cw_command_remove_range(pass->builder, whole->id);
    if (key > whole->low) {
        add_part(pass, whole, whole->low, key - 1, "split: beside a hot key");
    }
    add_part(pass, whole, key, key, "split: hot key");
    if (key < whole->last) {
        add_part(pass, whole, key + 1, whole->last, "split: beside a hot key");
    }
    return true;
}
