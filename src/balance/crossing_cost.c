/**
 * @file crossing_cost.c
 * @brief Calculates the cost of sending a request to another region.
 */
#include "balance/crossing_cost.h"

static const double bytes_per_mb = 1e6;

cw_time_us_t cw_crossing_cost(const cw_crossing_settings_t *settings, size_t bytes)
{
    return settings->round_trip + (cw_time_us_t)((double)bytes / bytes_per_mb * settings->ms_per_mb * 1000);
}

bool cw_crossing_should_wait(const cw_crossing_input_t *input)
{
    return input->wait != CW_CROSSING_NO_SLOT && input->wait <= input->cost &&
           input->wait + input->mean_time <= input->objective_left;
}
