/**
 * @file planners.c
 * @brief The planners that are compared.
 */
#include <string.h>

#include "baselines.h"
#include "model.h"

enum { RING_RANGES = 4096 };

const bench_planner_t bench_planners[] = {
    {.name = "ring", .plan = bench_ring_plan, .move_pause_us = CW_US_PER_S, .ranges = RING_RANGES},
    {.name = "bounded",
     .plan = bench_bounded_plan,
     .move_pause_us = CW_US_PER_S,
     .asks_servers = true,
     .ranges = RING_RANGES},
    {.name = "first",
     .plan = bench_first_plan,
     .split = bench_first_split,
     .move_pause_us = CW_US_PER_S,
     .split_pause_us = 5 * CW_US_PER_S,
     .shape_pause_us = 5 * CW_US_PER_S,
     .forgets_loads = true,
     .bounds_moves = true},
    {.name = "present",
     .plan = cw_placement_plan,
     .split = cw_placement_choose_split,
     .merge = cw_placement_choose_merge,
     .move_pause_us = CW_PLACEMENT_BALANCE_PAUSE_US,
     .split_pause_us = CW_PLACEMENT_SPLIT_PAUSE_US,
     .shape_pause_us = CW_PLACEMENT_MERGE_PAUSE_US,
     .bounds_moves = true},
};
const size_t bench_planner_count = sizeof(bench_planners) / sizeof(bench_planners[0]);

const bench_planner_t *bench_find_planner(const char *name)
{
    size_t position;

    for (position = 0; position < bench_planner_count; position++) {
        if (strcmp(bench_planners[position].name, name) == 0) {
            return &bench_planners[position];
        }
    }
    return NULL;
}
