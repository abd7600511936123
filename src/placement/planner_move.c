/**
 * @file planner_move.c
 * @brief One move: which range may move, what the move has to earn, and what it changes in the plan.
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

/* What the move of a piece has to earn: keys that change hands have a price each, and requests for them wait or are
 * refused meanwhile. */
double cw_planner_price(const cw_planner_t *planner, const cw_planner_piece_t *piece)
{
    double share = (double)(piece->last - piece->low + 1) / (CW_KEY_LAST + 1);

    return planner->settings->gain_min + planner->settings->move_price * share * planner->per_s +
           planner->settings->interruption * piece->per_s;
}

static void note_move(cw_planner_t *planner, const cw_planner_piece_t *piece, const cw_planner_server_t *to)
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
    cw_assigner_plan_move(planner->assigner, piece->low, piece->last, to->entry, planner->list);
    note_move(planner, piece, to);
    if (from != NULL) {
        from->per_s -= piece->per_s;
        from->keys -= piece->last - piece->low + 1;
        cw_planner_price_load(from);
    }
    to->per_s += piece->per_s;
    to->keys += piece->last - piece->low + 1;
    cw_planner_price_load(to);
    planner->changes++;
}

bool cw_planner_is_moveable(const cw_planner_t *planner, const cw_range_t *range)
{
    return cw_assigner_is_settled(planner->assigner, range, planner->now) &&
           planner->now - range->moved_at > planner->settings->rest;
}
