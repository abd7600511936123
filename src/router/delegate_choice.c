/**
 * @file delegate_choice.c
 * @brief Counts the nodes by distance and paths, and ranks them by hash.
 */
#include "router/delegate_choice.h"

#include <stdbool.h>
#include <xxhash.h>

/** Nodes that are considered: those with these paths, up to this distance. */
typedef struct scope {
    cw_delegate_paths_t paths;
    cw_distance_t       distance;
} scope_t;

static bool is_in_scope(const cw_delegate_candidate_t *candidate, const scope_t *scope)
{
    return candidate->paths == scope->paths && candidate->distance <= scope->distance;
}

static size_t count_in_scope(const cw_delegate_candidate_t *candidates, size_t count, const scope_t *scope)
{
    size_t found = 0;
    size_t index;

    for (index = 0; index < count; index++) {
        found += is_in_scope(&candidates[index], scope) ? 1 : 0;
    }
    return found;
}

/* Number of nodes up to this distance, the choosing one included. */
static size_t count_nodes(const cw_delegate_candidate_t *candidates, size_t count, cw_distance_t distance)
{
    size_t found = 1;
    size_t index;

    for (index = 0; index < count; index++) {
        found += candidates[index].distance <= distance ? 1 : 0;
    }
    return found;
}

/* Widens the scope from the zone until it has nodes enough to carry the load of the others. False: it has none at all.
 */
static bool choose_scope(const cw_delegate_candidate_t *candidates, size_t count, cw_delegate_paths_t paths,
                         scope_t *scope)
{
    scope->paths = paths;
    for (scope->distance = CW_DISTANCE_ZONE; scope->distance < CW_DISTANCE_REMOTE; scope->distance++) {
        if (count_in_scope(candidates, count, scope) * 2 >= count_nodes(candidates, count, scope->distance)) {
            return true;
        }
    }
    return count_in_scope(candidates, count, scope) > 0;
}

static uint64_t rank_of(uint32_t own, uint32_t address)
{
    uint32_t pair[2] = {own, address};

    return XXH3_64bits(pair, sizeof(pair));
}

/* Inserts an address into the sorted array, which keeps those of the lowest ranks. */
static size_t insert(uint32_t *chosen, size_t count, uint32_t own, uint32_t address)
{
    uint64_t rank = rank_of(own, address);
    size_t   position = count;
    size_t   index;

    while (position > 0 && rank_of(own, chosen[position - 1]) > rank) {
        position--;
    }
    if (position == CW_DELEGATES_MAX) {
        return count;
    }
    count = count < CW_DELEGATES_MAX ? count + 1 : count;
    for (index = count - 1; index > position; index--) {
        chosen[index] = chosen[index - 1];
    }
    chosen[position] = address;
    return count;
}

size_t cw_delegates_choose(const cw_delegate_candidate_t *candidates, size_t count, uint32_t own,
                           uint32_t chosen[CW_DELEGATES_MAX])
{
    scope_t scope;
    size_t  chosen_count = 0;
    size_t  index;

    if (!choose_scope(candidates, count, CW_DELEGATE_OPEN, &scope) &&
        !choose_scope(candidates, count, CW_DELEGATE_UNKNOWN, &scope)) {
        return 0;
    }
    for (index = 0; index < count; index++) {
        if (is_in_scope(&candidates[index], &scope)) {
            chosen_count = insert(chosen, chosen_count, own, candidates[index].address);
        }
    }
    return chosen_count;
}
