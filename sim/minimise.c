/**
 * @file minimise.c
 * @brief Greedy reduction of a fault list that breaks an invariant.
 */
#include <string.h>

#include "simulation.h"

static bool still_fails(const cw_simulation_options_t *options, const cw_fault_t *faults, size_t count)
{
    cw_simulation_options_t reduced = *options;
    cw_simulation_result_t  result;

    reduced.faults = faults;
    reduced.fault_count = count;
    reduced.trace = NULL;
    cw_simulation_run(&reduced, &result);
    return result.violation[0] != '\0';
}

size_t cw_faults_minimise(const cw_simulation_options_t *options, cw_fault_t *faults, size_t count)
{
    cw_fault_t without[CW_FAULTS_MAX];
    size_t     index = count;

    while (index-- > 0) {
        memcpy(without, faults, index * sizeof(*faults));
        memcpy(without + index, faults + index + 1, (count - index - 1) * sizeof(*faults));
        if (still_fails(options, without, count - 1)) {
            count--;
            memcpy(faults, without, count * sizeof(*faults));
        }
    }
    return count;
}
