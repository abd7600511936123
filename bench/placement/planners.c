/**
 * @file planners.c
 * @brief The planners that are compared.
 */
#include <string.h>

#include "baselines.h"
#include "model.h"

enum { RING_RANGES = 4096 };

const bench_planner_t bench_planners[] = {
    {.name = "ring", .plan = bench_ring_plan, .ranges = RING_RANGES},
    {.name = "bounded", .plan = bench_bounded_plan, .ranges = RING_RANGES, .asks_servers = true},
    {.name = "first",
     .plan = bench_first_plan,
     .split = bench_first_split,
     .forgets_loads = true,
     .bounds_moves = true},
    {.name = "present", .plan = cw_placement_plan, .split = cw_placement_choose_split, .bounds_moves = true},
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
