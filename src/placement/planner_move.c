/**
 * @file planner_move.c
 * @brief A single move: whether a range may be moved, the price of a move, and its effect on the plan.
 */
#include <string.h>

#include "base/text.h"
#include "placement/planner_internal.h"

cw_planner_server_t *cw_planner_server_of(const cw_planner_t *planner, const char *id)
{
    size_t low = 0;
    size_t high = planner->server_count;

    while (low < high) {
        size_t middle = low + (high - low) / 2;
        int    order = strcmp(planner->servers[middle].entry->id, id);

        if (order == 0) {
            return &planner->servers[middle];
        }
        if (order < 0) {
            low = middle + 1;
        } else {
            high = middle;
        }
    }
    return NULL;
}

double cw_planner_load_between(const cw_planner_t *planner, uint32_t low, uint32_t last)
{
    return cw_key_loads_between(planner->loads, planner->load_count, low, last);
}

/* The price has a part for each moved key, and a part for the requests that wait or are refused during the move. */
double cw_planner_move_price(const cw_planner_t *planner, const cw_planner_piece_t *piece)
{
    double share = (double)(piece->last - piece->low + 1) / (CW_KEY_LAST + 1);

    return planner->settings->gain_min + planner->settings->move_price * share * planner->per_s +
           planner->settings->interruption * piece->per_s;
}

static void apply_move(cw_planner_t *planner, const cw_planner_piece_t *piece, const cw_planner_server_t *to)
{
    size_t      index = (size_t)(cw_range_list_find(&planner->ranges, piece->low) - planner->ranges.items);
    cw_range_t *range;

    if (cw_range_list_split(&planner->ranges, index, piece->low)) {
        index++;
    }
    (void)cw_range_list_split(&planner->ranges, index, piece->last + 1); /* false: the range ends there already */
    range = &planner->ranges.items[index];
    cw_text_copy(range->owner.id, sizeof(range->owner.id), to->entry->id);
    range->moved_at = planner->now;
    range->phase = CW_RANGE_RELEASING;
}

void cw_planner_move(cw_planner_t *planner, const cw_planner_piece_t *piece, cw_planner_server_t *from,
                     cw_planner_server_t *to)
{
    if (!cw_assigner_plan_move(planner->assigner, piece->low, piece->last, to->entry)) {
        return;
    }
    apply_move(planner, piece, to);
    if (from != NULL) {
        from->per_s -= piece->per_s;
        from->keys -= piece->last - piece->low + 1;
        cw_planner_update_marginal(from);
    }
    to->per_s += piece->per_s;
    to->keys += piece->last - piece->low + 1;
    cw_planner_update_marginal(to);
    planner->changes++;
}

bool cw_planner_is_moveable(const cw_planner_t *planner, const cw_range_t *range)
{
    return cw_assigner_is_settled(planner->assigner, range, planner->now) &&
           planner->now - range->moved_at > planner->settings->min_stay;
}
